package shard

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/fairshare"
	"lovagestand.example/lovagestand/job"
)

const (
	// planInterval is the minimum pause between two passes, so that one pass
	// handles several events.
	planInterval = 8 * time.Millisecond
	// idleInterval is how long the planner waits for an event before it runs a pass
	// without one.
	idleInterval = 200 * time.Millisecond
	// planPauseFactor times the duration of a pass is the minimum pause after it. It
	// bounds the share of time that passes take.
	planPauseFactor = 2
	// maxStepsPerPass is the maximum number of steps that one pass considers; see
	// [dispatch.Window].
	maxStepsPerPass = 250
	// longestWaitsPerPass is how many of these are the steps that have waited longest, of
	// which some get the first turn.
	longestWaitsPerPass = 8
	// maxHeldStepsPerPass bounds how many of them are considered because their room is held.
	maxHeldStepsPerPass = maxStepsPerPass / 2
	// wholeQueueInterval is after how many passes at most one considers steps of the whole
	// queue if there are more than maxStepsPerPass. A pass that has started nothing is
	// followed by such a pass at once.
	wholeQueueInterval = 8
	// expiredHeadroom is the fraction of the processors that jobs too late to be of use
	// leave free.
	expiredHeadroom = 0.2
	// ticketMargin is how long before its expiry a ticket is no longer used, because
	// the order that carries it must arrive before the expiry.
	ticketMargin = 150 * time.Millisecond
	// The tickets of a gang are renewed ahead of its reserved start by the expected
	// duration of an advice request for renewAheadWorkers workers plus
	// renewAheadMargin; see [dispatch.Step.RenewAhead].
	renewAheadWorkers = 20
	renewAheadMargin  = 100 * time.Millisecond
)

// planLoop runs a planning pass whenever something has changed, and after idleInterval
// without a change, or earlier if a wait for locality ends.
func (s *Shard) planLoop(ctx context.Context) {
	next := idleInterval
	for {
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.wakeup:
		case <-timer.C:
		}
		timer.Stop()
		begun := time.Now()
		next = s.plan()
		took := time.Since(begun)
		s.recordPass(took)
		if !pause.For(ctx, max(planInterval, planPauseFactor*took)) {
			return
		}
	}
}

// pass is the state of one planning pass. The indexes of dispatchWorkers and workers
// correspond, as do those of dispatchSteps and waiting.
type pass struct {
	now             time.Time
	workers         []*worker
	dispatchWorkers []dispatch.Worker
	waiting         []waitingStep
	// unplaceable holds the waiting steps that no worker can hold or that policy allows on
	// too few workers.
	unplaceable []waitingStep
	// held holds the recovered jobs that wait for workers of a former owner; see
	// [Shard.anyTaskMayRun].
	held          []*jobEntry
	dispatchSteps []dispatch.Step
	adviceClients []AdviceClient
	// holdRenewals is [dispatch.Load.HoldRenewals].
	holdRenewals bool
	// uneven is [dispatch.Load.Uneven].
	uneven bool
	// policies are the policies of the teams in force, configured is false if none have
	// been read yet. teams holds the teams with waiting steps.
	policies   Teams
	configured bool
	teams      map[lovagestand.TeamName]*passTeam
	// unknown is what unknown runs may hold; it is computed on first use.
	unknown unknownUsage
	// waitsForLocality reports whether steps may wait for workers near their data.
	waitsForLocality bool
	// divisions holds the division of each service with waiting steps among the teams.
	divisions map[string]*division
	// spareDivisions holds those of the former pass, whose memory is used again.
	spareDivisions map[string]*division
	// runs holds the runs that the pass may preempt; their IDs are the indexes. gangs
	// holds the gangs among them.
	runs  []*placement
	gangs map[gangKey]*dispatch.GangRun
	// refs, indexes and candidates hold the slices of all steps, one after the other, and
	// ordered is where the waiting steps are put in order. They are used again in each pass.
	refs       []job.StepRef
	indexes    []int
	releases   []dispatch.Release
	placements []*placement
	// dispatchRuns holds the runs of the workers that the pass may preempt.
	dispatchRuns []dispatch.Run
	ordered      []waitingStep
	keys         []sortKey
	// recordsWaits reports whether the pass records since when its steps wait.
	recordsWaits bool
	// summarizes reports whether the pass logs a summary. watched holds the steps that it
	// may then name.
	summarizes bool
	watched    []*watchedStep
	// waitingJobs is the number of jobs with waiting steps, set where summarizes is.
	waitingJobs int
}

// newPass returns a pass that uses the slices of the former one again.
func (s *Shard) newPass() *pass {
	p := &s.reused
	clear(p.waiting[:cap(p.waiting)])
	clear(p.ordered[:cap(p.ordered)])
	clear(p.unplaceable[:cap(p.unplaceable)])
	clear(p.dispatchSteps[:cap(p.dispatchSteps)])
	clear(p.held[:cap(p.held)])
	clear(p.runs[:cap(p.runs)])
	clear(p.placements[:cap(p.placements)])
	clear(p.dispatchRuns)
	*p = pass{
		spareDivisions: p.divisions,
		now:            time.Now(), waitsForLocality: s.waitsForLocality(), dispatchWorkers: p.dispatchWorkers[:0], waiting: p.waiting[:0], ordered: p.ordered[:0], unplaceable: p.unplaceable[:0], held: p.held[:0],
		dispatchSteps: p.dispatchSteps[:0], runs: p.runs[:0], refs: p.refs[:0], indexes: p.indexes[:0], releases: p.releases[:0], keys: p.keys[:0], placements: p.placements[:0], dispatchRuns: p.dispatchRuns[:0],
	}
	p.policies, p.configured = s.teams()
	return p
}

// waitingStep is a step with tasks that can start. The suspects of a step that is not a
// gang are a waiting step of their own.
type waitingStep struct {
	entry *jobEntry
	ref   job.StepRef
	step  *job.Step
	// tasks is the number of tasks. indexes are those of the tasks, the suspects first; nil
	// for all startable tasks of the step.
	tasks    int
	indexes  []int
	suspects int
	runTime  time.Duration
	needs    lovagestand.Resources
	// gang and longRunning are those of step.
	gang, longRunning bool
	score             float64
	// expired is [dispatch.Work.Expired].
	expired bool
	// tier is that of the step by the entitlement of the job's team.
	tier fairshare.Tier
	// division is that of the service, team the index of the job's team there.
	division *division
	team     int
	// cause is why the step is unplaceable.
	cause unplaceableCause
}

// plan runs one planning pass: it places waiting tasks and requests advice. It returns
// after which time without an event the next pass is due.
func (s *Shard) plan() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.newPass()
	p.recordsWaits = true
	defer s.recordTeams(p)
	s.collect(p)
	s.setSpeeds(p)
	s.dropKeptRoom(p)
	s.summarize(p)
	s.dropUnplaceable(p)
	s.moveUnplaceable(p)
	s.watch(p)
	defer s.summarizeWaits(p)
	s.recordWaits(p)
	s.backlog = nil
	s.endBeyondPeriods(p.now)
	next := s.placeWaiting(p)
	s.evacuate(p)
	return next
}

// placeWaiting places tasks of the waiting steps of a pass. It returns the time until the
// next pass unless something changes.
func (s *Shard) placeWaiting(p *pass) time.Duration {
	if len(p.waiting) == 0 {
		return idleInterval
	}
	if !s.deps.Assured() {
		p.explainAll(WaitsForAssurance)
		return idleInterval
	}
	p.sortByScore()
	s.assignTiers(p)
	if p.divisions != nil {
		s.recordBacklogs(p)
		s.recordBeyond(p)
		p.sortByTier()
	}
	s.balance(p)
	s.selectWithinQuotas(p)
	s.recordDemand(p)
	s.explainHeld(p)
	load := s.load(p)
	s.passNumber++
	s.wholeQueue = s.passNumber%wholeQueueInterval == 0
	next := p.now.Add(idleInterval)
	considered, indexes := p.watchedSteps()
	decisions, explanations := dispatch.PlanExplained(load, indexes)
	for n, w := range considered {
		w.reason = s.refine(p, w.entry.team, p.waiting[indexes[n]].tier, explanations[n].Reason)
	}
	for i := range decisions {
		d := &decisions[i]
		w := &p.waiting[d.Step]
		if d.FirstTurn {
			s.firstTurnPausedUntil = p.now.Add(dispatch.FirstTurnPause(w.needs.Times(int64(len(d.Workers))), w.runTime, p.capacity()))
			s.deps.Recorder.Count("firstTurns", string(w.entry.route))
			s.log.Info().Str("step", w.entry.progress.Job().StepName(w.ref.Occurrence, w.ref.Step)).Int("tasks", len(d.Workers)).Dur("waited", w.waited(p.now)).Msg("step starts before others because it has waited long")
		}
		if len(d.Workers) > 0 {
			s.placeTasks(p, *w, d.Workers)
		}
		if len(d.AdviceFor) > 0 {
			s.requestAdvice(p, *w, *d)
		}
		if d.Wait.Tasks > 0 {
			s.recordLocalityWait(p, *w)
			next = earlier(next, d.Wait.Until)
		}
	}
	s.wholeQueue = s.wholeQueue || !slices.ContainsFunc(decisions, func(d dispatch.Decision) bool { return len(d.Workers) > 0 })
	s.preempt(p, load, decisions)
	return max(planInterval, next.Sub(p.now))
}

// collect adds the waiting steps and the workers to the pass.
func (s *Shard) collect(p *pass) {
	anyTaskMayRun := s.anyTaskMayRun()
	for _, e := range s.live {
		// Tasks of a recovered job may still be running on workers. The quota of a team is
		// not known without a configuration.
		if !e.durable || e.move.leaving() || !p.configured && e.team != "" {
			continue
		}
		if e.recovered && anyTaskMayRun {
			p.held = append(p.held, e)
			continue
		}
		s.collectWaitingSteps(p, e)
	}
	s.collectWorkers(p)
}

// capacity returns the capacity of all workers.
func (p *pass) capacity() lovagestand.Resources {
	var sum lovagestand.Resources
	for i := range p.dispatchWorkers {
		sum = sum.Add(p.dispatchWorkers[i].Capacity)
	}
	return sum
}

// sortByScore sorts the waiting steps by score, highest first, and then by job.
func (p *pass) sortByScore() {
	p.keys = p.keys[:0]
	for i := range p.waiting {
		p.keys = append(p.keys, sortKey{score: p.waiting[i].score, id: p.waiting[i].entry.id, index: i})
	}
	slices.SortFunc(p.keys, func(a, b sortKey) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.index, b.index))
	})
	p.ordered = p.ordered[:0]
	for _, k := range p.keys {
		p.ordered = append(p.ordered, p.waiting[k.index])
	}
	p.waiting, p.ordered = p.ordered, p.waiting
}

// sortByTier sorts the waiting steps by tier. Steps of one tier keep their order.
func (p *pass) sortByTier() {
	p.ordered = p.ordered[:0]
	for tier := fairshare.Guaranteed; tier <= fairshare.Beyond; tier++ {
		for i := range p.waiting {
			if p.waiting[i].tier == tier {
				p.ordered = append(p.ordered, p.waiting[i])
			}
		}
	}
	p.waiting, p.ordered = p.ordered, p.waiting
}

// sortKey is what a waiting step is sorted by. Sorting keys is cheaper than to move steps.
type sortKey struct {
	score float64
	id    job.ID
	index int
}

// load returns the load of the pass for the dispatcher: some of the waiting steps, which
// are in order and for which the quotas leave room. It changes nothing but the pass.
func (s *Shard) load(p *pass) dispatch.Load {
	s.limitSuspects(p)
	s.limitSteps(p)
	for i := range p.waiting {
		p.dispatchSteps = append(p.dispatchSteps, s.dispatchStep(p, &p.waiting[i]))
	}
	s.withholdKeptRoom(p)
	p.adviceClients = s.deps.AdviceClients()
	p.holdRenewals = p.plansAdvice()
	return dispatch.Load{
		Now: p.now, Workers: p.dispatchWorkers, Steps: p.dispatchSteps,
		Releases:        func(i int) []dispatch.Release { return s.releases(p, p.workers[i]) },
		AdviceCalls:     s.freeAdviceCalls(p.adviceClients, p.now, p.adviceBacklog()),
		LongAdviceCalls: s.freeLongAdviceCalls(p), IdleAdviceClients: s.idleAdviceClients(p.adviceClients, p.now),
		HoldRenewals: p.holdRenewals, ExpiredHeadroom: p.expiredHeadroom(), Uneven: p.uneven, FirstTurnPaused: p.now.Before(s.firstTurnPausedUntil),
	}
}

// limitSuspects removes waiting suspects beyond those for which there may be room: only some
// workers are on trial at a time, and further suspects would keep other steps out of the pass.
// Those with room take turns, see [dispatch.Window]: one that cannot start keeps none of those
// behind it from being considered.
func (s *Shard) limitSuspects(p *pass) {
	var suspects []int
	for i := range p.waiting {
		if p.waiting[i].suspects > 0 {
			suspects = append(suspects, i)
		}
	}
	limit := min(len(s.workers), maxStepsPerPass/2)
	if len(suspects) <= limit {
		return
	}
	hasRoom := p.roomCheck()
	window := dispatch.Window(len(suspects), limit, func(n int) bool { return hasRoom(suspects[n]) }, func(n int) int64 { return p.lastConsidered(suspects[n]) })
	considered := make(map[int]bool, len(window))
	for _, n := range window {
		considered[suspects[n]] = true
		s.recordConsidered(p, suspects[n])
	}
	if oldest, found := p.longestWaitingSuspect(hasRoom); found {
		considered[oldest] = true
	}
	p.ordered = p.ordered[:0]
	for i := range p.waiting {
		if p.waiting[i].suspects == 0 || considered[i] {
			p.ordered = append(p.ordered, p.waiting[i])
		}
	}
	p.waiting, p.ordered = p.ordered, p.waiting
}

// longestWaitingSuspect returns the index of the suspect with room that has waited longest, of
// those that may share a worker. Each pass considers it, since a worker is kept for it from pass
// to pass.
func (p *pass) longestWaitingSuspect(hasRoom func(i int) bool) (int, bool) {
	oldest := -1
	for i := range p.waiting {
		w := &p.waiting[i]
		if w.suspects == 0 || oldest >= 0 && w.waited(p.now) <= p.waiting[oldest].waited(p.now) {
			continue
		}
		if hasRoom(i) && w.entry.sharedCrashAges(w.ref, w.indexes[:w.suspects]) != nil {
			oldest = i
		}
	}
	return oldest, oldest >= 0
}

// roomCheck returns a function that reports whether a worker has room for a task of a waiting
// step.
func (p *pass) roomCheck() func(i int) bool {
	rooms := map[dispatch.Shape]bool{}
	return func(i int) bool {
		shape := shapeOf(p.waiting[i].entry, p.waiting[i].step)
		room, known := rooms[shape]
		if !known {
			room = shape.HasRoom(p.dispatchWorkers)
			rooms[shape] = room
		}
		return room
	}
}

// lastConsidered returns the number of the last pass that considered a waiting step in turn.
func (p *pass) lastConsidered(i int) int64 {
	if st := p.waiting[i].entry.steps[p.waiting[i].ref]; st != nil {
		return st.lastConsidered
	}
	return 0
}

// recordConsidered records that the pass considers a waiting step in turn. A pass of
// [Shard.Where] takes no turns.
func (s *Shard) recordConsidered(p *pass, i int) {
	if p.recordsWaits {
		p.waiting[i].entry.step(p.waiting[i].ref).lastConsidered = s.passNumber
	}
}

// shapeOf returns the shape of the tasks of a step.
func shapeOf(e *jobEntry, step *job.Step) dispatch.Shape {
	return dispatch.Shape{Service: e.service, Label: step.Label, Needs: step.Needs, MaxPerWorker: step.MaxPerWorker}
}

// dropUnplaceable removes the waiting steps that no worker of the shard can hold, even if it
// were empty, and the gangs that all workers together cannot hold. Workers on which policy
// does not allow a step, and absent ones, do not count for it. They wait until other workers
// join. Until then they count neither as demand nor against the steps of a pass.
func (s *Shard) dropUnplaceable(p *pass) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w waitingStep) bool {
		if w.cause = s.unplaceableCause(p, &w); w.cause == causeNone {
			return false
		}
		p.unplaceable = append(p.unplaceable, w)
		return true
	})
}

// unplaceableCause is why the workers of a shard cannot hold a waiting step.
type unplaceableCause int

const (
	causeNone unplaceableCause = iota
	// causeTooSmall means that no worker is large enough, or all together are too small.
	causeTooSmall
	// causeDenied means that policy allows the step on too few workers.
	causeDenied
	// causeAbsent means that too many of the workers are absent.
	causeAbsent
)

// unplaceableCause returns why the workers of the shard cannot hold a waiting step, causeNone
// if they can. The answer is kept for a version of the fleet and until there is more advice,
// since policy does not change its answers for a step.
func (s *Shard) unplaceableCause(p *pass, w *waitingStep) unplaceableCause {
	st := w.entry.steps[w.ref]
	if p.recordsWaits {
		st = w.recordWait(st, p.now)
	}
	if st == nil {
		return s.computeCause(p, w, nil)
	}
	if st.causeVersion != s.fleetVersion || st.causeDecided != len(st.decided) {
		st.cause, st.causeVersion, st.causeDecided = s.computeCause(p, w, st), s.fleetVersion, len(st.decided)
	}
	return st.cause
}

// computeCause is [Shard.unplaceableCause] for a step with a state, which may be nil.
func (s *Shard) computeCause(p *pass, w *waitingStep, st *stepState) unplaceableCause {
	switch {
	case !s.computePlaceable(p, w):
		return causeTooSmall
	case !w.fitsWithout(p, st.denies):
		return causeDenied
	case !w.fitsWithout(p, func(held *worker) bool { return held.absent || st.denies(held) }):
		return causeAbsent
	}
	return causeNone
}

// denies reports whether policy does not allow the step on a worker. Where its answer is not
// known, it may.
func (st *stepState) denies(held *worker) bool {
	if st == nil || !st.decided[held] {
		return false
	}
	_, allowed := st.tickets[held]
	return !allowed
}

// fitsWithout reports whether the workers that are not about to leave, without those left out,
// can hold the step.
func (w *waitingStep) fitsWithout(p *pass, leftOut func(*worker) bool) bool {
	shape, missing := shapeOf(w.entry, w.step), w.step.MinStart()
	for i, held := range p.workers {
		if !held.info.Ready || leftOut(held) {
			continue
		}
		if missing -= shape.Slots(p.dispatchWorkers[i:i+1], missing); missing <= 0 {
			return true
		}
	}
	return false
}

// recordWait records since when the step waits, in its state if it has one, and returns the
// state.
func (w *waitingStep) recordWait(st *stepState, now time.Time) *stepState {
	if st == nil {
		st = w.entry.step(w.ref)
	}
	if st.waitingSince.IsZero() {
		st.waitingSince = w.entry.waitingSince(w.ref, now)
	}
	return st
}

// waitingSince returns since when a step waits that is first found to do so now. That of a job
// of which nothing has run began when the job was accepted or due, so that a change of the
// owner does not end the wait.
func (e *jobEntry) waitingSince(ref job.StepRef, now time.Time) time.Time {
	if e.started || e.ordered || e.progress.Started() {
		return now
	}
	since := later(e.progress.Accepted(), e.progress.Due(ref.Occurrence))
	if since.After(now) {
		return now
	}
	return since
}

// waited returns how long the step has waited; see [dispatch.Step.Waited].
func (w *waitingStep) waited(now time.Time) time.Duration {
	if st := w.entry.steps[w.ref]; st != nil && !st.waitingSince.IsZero() {
		return now.Sub(st.waitingSince)
	}
	return 0
}

// computePlaceable reports whether the workers of the shard are large enough for a step.
func (s *Shard) computePlaceable(p *pass, w *waitingStep) bool {
	if s.slotsVersion != s.fleetVersion {
		s.slotsVersion, s.slots, s.ready = s.fleetVersion, map[slotsKey]bool{}, nil
	}
	key := slotsKey{shape: shapeOf(w.entry, w.step), tasks: w.step.MinStart()}
	fits, known := s.slots[key]
	if !known {
		fits = key.shape.Slots(s.holders(p), key.tasks) == key.tasks
		s.slots[key] = fits
	}
	return fits
}

// holders returns the workers of the shard that are not about to leave.
func (s *Shard) holders(p *pass) []dispatch.Worker {
	if s.ready == nil {
		list := make([]lovagestand.FleetWorker, 0, len(p.workers))
		for _, w := range p.workers {
			list = append(list, w.info)
		}
		s.ready = holders(list)
	}
	return s.ready
}

// slotsKey is a number of tasks of a shape.
type slotsKey struct {
	shape dispatch.Shape
	tasks int
}

// limitSteps leaves in the pass the waiting steps that it considers: the first ones, or
// those of [dispatch.Window], and in any case those whose room is held and the longest waits.
func (s *Shard) limitSteps(p *pass) {
	if len(p.waiting) <= maxStepsPerPass {
		return
	}
	always := p.heldSteps()
	for _, i := range p.longestWaits() {
		if !slices.Contains(always, i) {
			always = append(always, i)
		}
	}
	hasRoom := p.roomCheck()
	if oldest, found := p.longestWaitingSuspect(hasRoom); found && !slices.Contains(always, oldest) {
		always = append(always, oldest)
	}
	if !s.wholeQueue {
		p.limitTo(firstIndexes(maxStepsPerPass), always)
		return
	}
	window := dispatch.Window(len(p.waiting), maxStepsPerPass, hasRoom, p.lastConsidered)
	for _, i := range window {
		s.recordConsidered(p, i)
	}
	p.limitTo(window, always)
}

// heldSteps returns the indexes of the steps whose room is held while their tickets are
// renewed. A pass that did not consider them would give the room to others.
func (p *pass) heldSteps() []int {
	var held []int
	for i := range p.waiting {
		st := p.waiting[i].entry.steps[p.waiting[i].ref]
		if st != nil && p.now.Before(st.heldUntil) && len(held) < maxHeldStepsPerPass {
			held = append(held, i)
		}
	}
	return held
}

// longestWaits returns the indexes of the longestWaitsPerPass steps that have waited longest,
// without suspects.
func (p *pass) longestWaits() []int {
	var longest []int
	waits := make([]time.Duration, len(p.waiting))
	for i := range p.waiting {
		if p.waiting[i].suspects > 0 {
			continue
		}
		waits[i] = p.waiting[i].waited(p.now)
		at := len(longest)
		for at > 0 && waits[longest[at-1]] < waits[i] {
			at--
		}
		if at < longestWaitsPerPass {
			longest = slices.Insert(longest, at, i)
			longest = longest[:min(len(longest), longestWaitsPerPass)]
		}
	}
	return longest
}

// firstIndexes returns the first n indexes.
func firstIndexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// limitTo leaves as many steps in the pass as a window has, in their order: the given ones,
// and the first ones of the window beside them.
func (p *pass) limitTo(window, always []int) {
	indexes := slices.Clone(always)
	for _, i := range window {
		if len(indexes) < len(window) && !slices.Contains(always, i) {
			indexes = append(indexes, i)
		}
	}
	slices.Sort(indexes)
	p.ordered = p.ordered[:0]
	for _, i := range indexes {
		p.ordered = append(p.ordered, p.waiting[i])
	}
	p.waiting, p.ordered = p.ordered, p.waiting
}

// expiredHeadroom is [dispatch.Load.ExpiredHeadroom] for the pass.
func (p *pass) expiredHeadroom() float64 {
	if p.holdRenewals {
		return expiredHeadroom
	}
	return 0
}

// sortedWorkers returns the workers, ordered by name.
func (s *Shard) sortedWorkers() []*worker {
	if s.workersByName == nil {
		s.workersByName = slices.SortedFunc(maps.Values(s.workers), compareWorkers)
		s.fleetVersion++
	}
	return s.workersByName
}

// collectWorkers adds the workers to the pass, ordered by name.
func (s *Shard) collectWorkers(p *pass) {
	p.workers = s.sortedWorkers()
	s.findStuck(p)
	for i, w := range p.workers {
		w.passIndex = i
		open := s.open(w, p.now)
		if p.recordsWaits {
			s.updateAbsence(w, open, p.now)
		}
		described := dispatch.Worker{
			Service: w.info.Service, Rack: w.info.Rack, Labels: w.info.Labels, Capacity: w.info.Capacity, Free: w.free,
			Open: open, Slowness: w.slowness, Quiet: p.now.Sub(w.lastPlacedAt) > crashWindow, OnTrial: p.now.Before(w.trialUntil),
		}
		if described.OnTrial && s.openForTrials(w, p.now) {
			described.CrashTimes, described.SharesTrials = w.crashTimes()
		}
		p.dispatchWorkers = append(p.dispatchWorkers, described)
	}
}

// releases returns when the runs on the worker are expected to end and what each
// frees, soonest first. The result is not nil.
func (s *Shard) releases(p *pass, w *worker) []dispatch.Release {
	first := len(p.releases)
	runs := s.runsOn(w)
	p.releases = slices.Grow(p.releases, max(1, len(runs)))
	for i := range runs {
		r := &runs[i]
		p.releases = append(p.releases, dispatch.Release{At: r.expectedEnd(p.now), Spread: r.endSpread(p.now, r.stats), Frees: r.needs})
	}
	releases := p.releases[first:len(p.releases):len(p.releases)]
	slices.SortFunc(releases, func(a, b dispatch.Release) int { return a.At.Compare(b.At) })
	return releases
}

// workerRun is what a pass needs of each run on a worker.
type workerRun struct {
	runTimes
	needs       lovagestand.Resources
	longRunning bool
	stats       *routeStats
	team        lovagestand.TeamName
	teamNumber  int
}

// runsOn returns the runs on a worker by their expected ends. They are kept until worker.runs
// is reset.
func (s *Shard) runsOn(w *worker) []workerRun {
	if w.runs != nil {
		return w.runs
	}
	w.runs = make([]workerRun, 0, len(w.placements))
	for _, p := range w.placements {
		w.runs = append(w.runs, workerRun{
			runTimes: p.times(), needs: p.needs, longRunning: p.longRunning, stats: s.statsOf(p.entry), team: p.entry.team, teamNumber: s.teamNumber(p.entry),
		})
	}
	slices.SortFunc(w.runs, func(a, b workerRun) int { return a.placedAt.Add(a.expected).Compare(b.placedAt.Add(b.expected)) })
	return w.runs
}

// runTimes are the times of a run by which its end is expected.
type runTimes struct {
	placedAt      time.Time
	expected      time.Duration
	stopRequested bool
}

// times returns the times by which the end of the run is expected.
func (p *placement) times() runTimes {
	return runTimes{placedAt: p.placedAt, expected: p.expectedRunTime, stopRequested: p.stopRequested}
}

// expectedEnd estimates when a run ends. An overdue run is estimated to need another
// quarter of the time that it has run so far.
func (r runTimes) expectedEnd(now time.Time) time.Time {
	if r.stopRequested {
		return now
	}
	end := r.placedAt.Add(r.expected)
	if end.After(now) {
		return end
	}
	return now.Add(now.Sub(r.placedAt) / 4)
}

// collectWaitingSteps adds the steps of a job that have tasks to start to the pass. A
// gang is added only if all of its tasks can start.
func (s *Shard) collectWaitingSteps(p *pass, e *jobEntry) {
	p.refs, _ = e.progress.AppendStartable(p.refs[:0], p.now)
	if len(p.refs) == 0 {
		return
	}
	s.updateService(e)
	for _, ref := range p.refs {
		w := waitingStep{entry: e, ref: ref, step: e.progress.JobStep(ref.Step)}
		s.collectTasks(p, &w)
		if w.tasks == 0 || w.step.Gang && w.tasks < w.step.Count {
			continue
		}
		// A next owner must know of the crash before the task crashes another worker.
		mayStart := e.crashPosition <= s.writtenPosition
		if w.step.Gang && w.suspects > 0 && !mayStart {
			continue
		}
		s.measureWork(e, ref)
		work := s.work(p.now, e, ref)
		w.score, w.expired = dispatch.Score(work), work.Expired()
		w.runTime, w.needs, w.gang, w.longRunning = s.runTime(e, *w.step), w.step.Needs, w.step.Gang, w.step.LongRunning
		if !w.step.Gang && w.suspects > 0 {
			trials := w
			trials.indexes, trials.tasks = w.indexes[:w.suspects], w.suspects
			if mayStart {
				p.waiting = append(p.waiting, trials)
			}
			w.indexes, w.tasks, w.suspects = w.indexes[w.suspects:], w.tasks-w.suspects, 0
		}
		if w.tasks > 0 {
			p.waiting = append(p.waiting, w)
		}
	}
}

// collectTasks sets the tasks of a waiting step that can start. Their indexes are not needed
// yet unless some are suspects.
func (s *Shard) collectTasks(p *pass, w *waitingStep) {
	e := w.entry
	if !e.progress.Crashed() && len(e.heldRuns) == len(e.active) {
		w.tasks = e.progress.WaitingCount(w.ref)
		return
	}
	first := len(p.indexes)
	p.indexes = e.startable(p.indexes, w.ref)
	w.indexes = p.indexes[first:len(p.indexes):len(p.indexes)]
	w.tasks = len(w.indexes)
	w.suspects = e.moveSuspectsFirst(w.ref, w.indexes)
}

// moveSuspectsFirst moves the tasks of a step that may crash their workers before the
// others, and returns how many they are.
func (e *jobEntry) moveSuspectsFirst(ref job.StepRef, indexes []int) int {
	suspects := 0
	for n, i := range indexes {
		if e.progress.Crashes(job.Task{Occurrence: ref.Occurrence, Step: ref.Step, Index: i}).Suspect() {
			copy(indexes[suspects+1:n+1], indexes[suspects:n])
			indexes[suspects] = i
			suspects++
		}
	}
	return suspects
}

// dispatchStep describes a waiting step for the dispatcher.
func (s *Shard) dispatchStep(p *pass, w *waitingStep) dispatch.Step {
	e, st, step := w.entry, w.entry.step(w.ref), w.step
	policy, calls := e.progress.Policy(), &s.statsOf(e).callTimes
	out := dispatch.Step{
		Tasks: w.tasks, Suspects: w.suspects, Needs: step.Needs, Gang: step.Gang, SameRack: step.SameRack, Service: e.service, Label: step.Label,
		Affinity: step.Affinity, MaxPerWorker: step.MaxPerWorker, NeedsTickets: policy.Advice.Needed(), AllowedShare: s.statsOf(e).allowedShare(),
		RenewAhead: calls.expected(policy.Advice.Cost(renewAheadWorkers)) + renewAheadMargin,
		RunTime:    w.runTime, Waited: w.waited(p.now), Tier: int(w.tier), Score: w.score, Expired: w.expired, LongAdvice: calls.expected(policy.Advice.Cost(minLongCallWorkers)) > longCallThreshold, Seed: xxhash.Sum64String(string(e.id)), Team: p.team(e.team), Locality: s.localityOf(p, w, step),
		Work: s.work(p.now, e, w.ref), Kept: s.keptFor(w),
	}
	if step.LongRunning {
		// Every second without the task counts, so it does not wait for the start of
		// a gang.
		out.RunTime = 0
	}
	if p.now.Before(st.heldUntil) {
		out.HeldUntil = st.heldUntil
		for _, held := range st.held {
			if s.workers[held.info.Name] == held {
				out.Held = append(out.Held, held.passIndex)
			}
		}
	}
	for name := range st.avoid {
		if w := s.workers[name]; w != nil {
			if out.Avoid == nil {
				out.Avoid = map[int]bool{}
			}
			out.Avoid[w.passIndex] = true
		}
	}
	for w := range st.pendingRequests {
		if s.workers[w.info.Name] != w {
			continue
		}
		if out.AdvicePending == nil {
			out.AdvicePending = map[int]bool{}
		}
		out.AdvicePending[w.passIndex] = true
	}
	if w.suspects > 0 {
		out.CrashAges = e.sharedCrashAges(w.ref, w.indexes[:w.suspects])
	}
	s.setAllowed(p, st, &out)
	return out
}

// setAllowed sets what limits the workers on which tasks of a step may start.
func (s *Shard) setAllowed(p *pass, st *stepState, to *dispatch.Step) {
	if to.MaxPerWorker > 0 {
		to.Placed = s.placedByIndex(st)
	}
	if to.NeedsTickets && st.advised {
		to.Candidates = s.candidates(p, st)
		to.AdviceKnown = func(i int) bool { return st.decided[p.workers[i]] }
	}
}

// candidates are the workers that the policy allows for a step. They are valid for a version
// of the fleet, until the first usable ticket expires and until a new one arrives.
type candidates struct {
	list         []dispatch.Candidate
	fleetVersion int64
	until        time.Time
}

// candidates returns the workers that the policy allows for a step, by name, and whether a
// usable ticket is available for each. The result is not nil.
func (s *Shard) candidates(p *pass, st *stepState) []dispatch.Candidate {
	usable := p.now.Add(ticketMargin)
	c := &st.candidates
	if c.list != nil && c.fleetVersion == s.fleetVersion && (c.until.IsZero() || c.until.After(usable)) {
		return c.list
	}
	*c = candidates{list: c.list[:0], fleetVersion: s.fleetVersion}
	if c.list == nil {
		c.list = make([]dispatch.Candidate, 0, len(st.tickets))
	}
	for _, t := range st.ticketsByName() {
		if t.removed {
			continue
		}
		hasTicket := t.until.After(usable)
		if hasTicket && (c.until.IsZero() || t.until.Before(c.until)) {
			c.until = t.until
		}
		c.list = append(c.list, dispatch.Candidate{Worker: t.passIndex, HasTicket: hasTicket, TicketUntil: t.until.Add(-ticketMargin)})
	}
	return c.list
}

// score returns the score by which a step is ordered among the waiting steps.
func (s *Shard) score(now time.Time, e *jobEntry, ref job.StepRef) float64 {
	s.measureWork(e, ref)
	return dispatch.Score(s.work(now, e, ref))
}

// measureWork measures the remaining work of a job if it may have changed.
func (s *Shard) measureWork(e *jobEntry, ref job.StepRef) {
	if e.workStale || e.measuredOccurrence != ref.Occurrence || e.remainingCoreTime == 0 {
		e.remainingCoreTime, e.criticalPath = e.progress.RemainingWork(ref.Occurrence, func(step job.Step) time.Duration { return s.runTime(e, step) })
		e.measuredOccurrence, e.workStale = ref.Occurrence, false
	}
}

// work describes the remaining work of a job as last measured.
func (s *Shard) work(now time.Time, e *jobEntry, ref job.StepRef) dispatch.Work {
	accepted := e.progress.Accepted()
	if due := e.progress.Due(ref.Occurrence); !due.IsZero() {
		accepted = due
	}
	return dispatch.Work{
		Priority: e.progress.Policy().Priority, Age: now.Sub(accepted), Objective: e.objective, LatestObjective: s.latestObjective(e), CriticalPath: e.criticalPath,
		Total: e.totalCoreTime, Remaining: e.remainingCoreTime, Mean: s.meanCoreTime(e),
	}
}

// placeTasks starts waiting tasks of a step on the chosen workers. The members of a
// gang share one run number.
func (s *Shard) placeTasks(p *pass, waiting waitingStep, workers []int) {
	e := waiting.entry
	st := e.step(waiting.ref)
	step := waiting.step
	usualRunTime, speedOn := waiting.runTime, p.speedOn(*step, workers)
	indexes := waiting.indexes
	if indexes == nil {
		indexes = e.startable(nil, waiting.ref)
	}
	st.held, st.heldUntil = nil, time.Time{}
	localityOn, farFactor, near := p.localityOn(step, workers), s.stats(e.route).locality.factor().Value, 0
	for n, i := range workers {
		task := job.Task{Occurrence: waiting.ref.Occurrence, Step: waiting.ref.Step, Index: indexes[n]}
		run := e.progress.NextRun(task)
		if step.Gang && n > 0 {
			run--
		}
		w := p.workers[i]
		expectedRunTime := atSpeed(usualRunTime, speedOn(i))
		switch where := localityOn(i); where {
		case localityFar:
			s.place(e, task, run, w, st.tickets[w], time.Duration(farFactor*float64(expectedRunTime)), where, farFactor)
		default:
			if where == localityNear {
				near++
			}
			s.place(e, task, run, w, st.tickets[w], expectedRunTime, where, 0)
		}
		e.setSpeed(task, speedOn(i))
		s.useKeptRoom(p.now, waiting, w)
	}
	s.recordLocalityWaitEnd(p, waiting, len(workers), near)
}
