package shard

import (
	"cmp"
	"context"
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
	// maxStepsPerPass is the maximum number of steps that one pass considers, in the
	// order of tier and score.
	maxStepsPerPass = 250
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
	dispatchSteps   []dispatch.Step
	adviceClients   []AdviceClient
	// holdRenewals is [dispatch.Load.HoldRenewals].
	holdRenewals bool
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
	// runs holds the runs that the pass may preempt; their IDs are the indexes. gangs
	// holds the gangs among them.
	runs  []*placement
	gangs map[gangKey]*dispatch.GangRun
}

// waitingStep is a step with tasks that can start. The suspects of a step that is not a
// gang are a waiting step of their own.
type waitingStep struct {
	entry *jobEntry
	ref   job.StepRef
	// indexes are those of the tasks, the suspects first.
	indexes  []int
	suspects int
	score    float64
	// expired is [dispatch.Work.Expired].
	expired bool
	// tier is that of the step by the entitlement of the job's team.
	tier fairshare.Tier
}

// plan runs one planning pass: it places waiting tasks and requests advice. It returns
// after which time without an event the next pass is due.
func (s *Shard) plan() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.newPass()
	defer s.recordTeams(p)
	s.summarize(p)
	s.backlog = nil
	s.endBeyondPeriods(p.now)
	if len(p.waiting) == 0 || !s.deps.Assured() {
		return idleInterval
	}
	s.orderWaiting(p)
	s.selectWithinQuotas(p)
	return s.decide(p, s.considerSteps(p))
}

// newPass returns a pass with the workers and all steps that wait.
func (s *Shard) newPass() *pass {
	p := &pass{now: time.Now(), waitsForLocality: s.waitsForLocality()}
	p.policies, p.configured = s.teams()
	for _, e := range s.live {
		// Tasks of a recovered job may still be running on workers, so none is placed
		// until all runs of former terms are known. The quota of a team is not known
		// without a configuration.
		if e.durable && (!e.recovered || s.resolved) && (p.configured || e.team == "") {
			s.collectWaitingSteps(p, e)
		}
	}
	s.collectWorkers(p)
	s.dropKeptRoom(p)
	return p
}

// orderWaiting sorts the steps that wait by tier and score.
func (s *Shard) orderWaiting(p *pass) {
	slices.SortFunc(p.waiting, func(a, b waitingStep) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.entry.id, b.entry.id))
	})
	s.assignTiers(p)
}

// considerSteps limits the waiting steps to those that the pass considers, and returns the
// load of the pass.
func (s *Shard) considerSteps(p *pass) dispatch.Load {
	// Only some workers are on trial at a time; further suspects would keep other steps
	// out of the pass.
	suspectSteps := 0
	p.waiting = slices.DeleteFunc(p.waiting, func(w waitingStep) bool {
		if w.suspects > 0 {
			suspectSteps++
		}
		return w.suspects > 0 && suspectSteps > min(len(s.workers), maxStepsPerPass/2)
	})
	p.waiting = p.waiting[:min(len(p.waiting), maxStepsPerPass)]
	for _, w := range p.waiting {
		p.dispatchSteps = append(p.dispatchSteps, s.dispatchStep(p, w))
	}
	s.withholdKeptRoom(p)
	p.adviceClients = s.deps.AdviceClients()
	p.holdRenewals = p.policies.Enabled
	return s.load(p)
}

// decide places tasks and requests advice for a load, and returns after which time without
// an event the next pass is due.
func (s *Shard) decide(p *pass, load dispatch.Load) time.Duration {
	next := p.now.Add(idleInterval)
	decisions := dispatch.Plan(load)
	for _, d := range decisions {
		w := p.waiting[d.Step]
		if len(d.Workers) > 0 {
			s.placeTasks(p, w, d.Workers)
		}
		if len(d.AdviceFor) > 0 {
			s.requestAdvice(p, w, d)
		}
		if d.Wait.Tasks > 0 {
			s.recordLocalityWait(p, w)
			next = earlier(next, d.Wait.Until)
		}
	}
	s.preempt(p, load, decisions)
	return max(planInterval, next.Sub(p.now))
}

// load returns the load of the pass for the dispatcher.
func (s *Shard) load(p *pass) dispatch.Load {
	return dispatch.Load{
		Now: p.now, Workers: p.dispatchWorkers, Steps: p.dispatchSteps,
		Releases:        func(i int) []dispatch.Release { return p.workers[i].releases(p.now, s.statsByRoute) },
		AdviceCalls:     s.freeAdviceCalls(p.adviceClients, p.now, p.adviceBacklog()),
		LongAdviceCalls: s.freeLongAdviceCalls(p), IdleAdviceClients: s.idleAdviceClients(p.adviceClients, p.now),
		HoldRenewals: p.holdRenewals, ExpiredHeadroom: p.expiredHeadroom(),
	}
}

// expiredHeadroom is [dispatch.Load.ExpiredHeadroom] for the pass.
func (p *pass) expiredHeadroom() float64 {
	if p.holdRenewals {
		return expiredHeadroom
	}
	return 0
}

// collectWorkers adds the workers to the pass, ordered by name.
func (s *Shard) collectWorkers(p *pass) {
	for _, w := range s.workers {
		p.workers = append(p.workers, w)
	}
	slices.SortFunc(p.workers, func(a, b *worker) int { return cmp.Compare(a.info.Name, b.info.Name) })
	p.dispatchWorkers = make([]dispatch.Worker, len(p.workers))
	for i, w := range p.workers {
		w.passIndex = i
		p.dispatchWorkers[i] = dispatch.Worker{
			Service: w.info.Service, Rack: w.info.Rack, Labels: w.info.Labels, Capacity: w.info.Capacity, Free: w.free,
			Open: w.open(p.now), Slowness: w.slowness, Quiet: p.now.Sub(w.lastPlacedAt) > crashWindow, OnTrial: p.now.Before(w.trialUntil),
		}
	}
}

// releases returns when the runs on the worker are expected to end and what each
// frees, soonest first.
func (w *worker) releases(now time.Time, stats map[lovagestand.RouteName]*routeStats) []dispatch.Release {
	releases := make([]dispatch.Release, 0, len(w.placements))
	for _, p := range w.placements {
		releases = append(releases, dispatch.Release{At: p.expectedEnd(now), Spread: p.endSpread(now, stats), Frees: p.needs})
	}
	slices.SortFunc(releases, func(a, b dispatch.Release) int { return a.At.Compare(b.At) })
	return releases
}

// expectedEnd estimates when a run ends. An overdue run is estimated to need another
// quarter of the time that it has run so far.
func (p *placement) expectedEnd(now time.Time) time.Time {
	if p.stopRequested {
		return now
	}
	end := p.placedAt.Add(p.expectedRunTime)
	if end.After(now) {
		return end
	}
	return now.Add(now.Sub(p.placedAt) / 4)
}

// collectWaitingSteps adds the steps of a job that have tasks to start to the pass. A
// gang is added only if all of its tasks can start.
func (s *Shard) collectWaitingSteps(p *pass, e *jobEntry) {
	refs, _ := e.progress.Startable(p.now)
	j := e.progress.Job()
	for _, ref := range refs {
		step := j.Steps[ref.Step]
		indexes := e.startable(ref)
		if len(indexes) == 0 || step.Gang && len(indexes) < step.Count {
			continue
		}
		suspects := e.moveSuspectsFirst(ref, indexes)
		// A next owner must know of the crash before the task crashes another worker.
		mayStart := e.crashPosition <= s.writtenPosition
		if step.Gang && suspects > 0 && !mayStart {
			continue
		}
		s.measureWork(e, ref)
		work := s.work(p.now, e, ref)
		w := waitingStep{entry: e, ref: ref, indexes: indexes, suspects: suspects, score: dispatch.Score(work), expired: work.Expired()}
		if !step.Gang && suspects > 0 {
			trials := w
			trials.indexes = indexes[:suspects]
			if mayStart {
				p.waiting = append(p.waiting, trials)
			}
			w.indexes, w.suspects = indexes[suspects:], 0
		}
		if len(w.indexes) > 0 {
			p.waiting = append(p.waiting, w)
		}
	}
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
func (s *Shard) dispatchStep(p *pass, w waitingStep) dispatch.Step {
	e, st := w.entry, w.entry.step(w.ref)
	j := e.progress.Job()
	step := j.Steps[w.ref.Step]
	out := dispatch.Step{
		Tasks: len(w.indexes), Suspects: w.suspects, Needs: step.Needs, Gang: step.Gang, SameRack: step.SameRack, Service: j.Policy.Service, Label: step.Label,
		Affinity: step.Affinity, MaxPerWorker: step.MaxPerWorker, NeedsTickets: j.Policy.Advice.Needed(), AllowedShare: s.stats(e.route).allowedShare(),
		RenewAhead: j.Policy.Advice.Cost(renewAheadWorkers) + renewAheadMargin,
		RunTime:    s.runTime(e, step), Tier: int(w.tier), Score: w.score, Expired: w.expired, LongAdvice: j.Policy.Advice.Cost(minLongCallWorkers) > longCallThreshold, Seed: xxhash.Sum64String(string(e.id)), Team: p.team(e.team), Locality: s.localityOf(p, w, step),
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
	if step.MaxPerWorker > 0 {
		out.Placed = map[int]int{}
		for name, n := range st.placed {
			if w := s.workers[name]; w != nil {
				out.Placed[w.passIndex] = n
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
	if out.NeedsTickets && st.advised {
		out.Candidates = s.candidates(p, st)
		out.AdviceKnown = func(i int) bool { return st.decided[p.workers[i]] }
	}
	return out
}

// candidates returns the workers that the policy allows for a step, and whether a
// usable ticket is available for each.
func (s *Shard) candidates(p *pass, st *stepState) []dispatch.Candidate {
	candidates := make([]dispatch.Candidate, 0, len(st.tickets))
	for w, t := range st.tickets {
		if s.workers[w.info.Name] == w {
			candidates = append(candidates, dispatch.Candidate{Worker: w.passIndex, HasTicket: t.until.After(p.now.Add(ticketMargin)), TicketUntil: t.until.Add(-ticketMargin)})
		}
	}
	slices.SortFunc(candidates, func(a, b dispatch.Candidate) int { return cmp.Compare(a.Worker, b.Worker) })
	return candidates
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
	j := e.progress.Job()
	accepted := e.progress.Accepted()
	if due := j.Schedule.Due(ref.Occurrence); !due.IsZero() {
		accepted = due
	}
	return dispatch.Work{
		Priority: j.Policy.Priority, Age: now.Sub(accepted), Objective: e.objective, LatestObjective: s.latestObjective(e), CriticalPath: e.criticalPath,
		Total: e.totalCoreTime, Remaining: e.remainingCoreTime, Mean: s.meanCoreTime(e),
	}
}

// placeTasks starts waiting tasks of a step on the chosen workers. The members of a
// gang share one run number.
func (s *Shard) placeTasks(p *pass, waiting waitingStep, workers []int) {
	e := waiting.entry
	st := e.step(waiting.ref)
	step := e.progress.Job().Steps[waiting.ref.Step]
	expectedRunTime := s.runTime(e, step)
	st.held, st.heldUntil = nil, time.Time{}
	localityOn, farFactor, near := p.localityOn(step, workers), s.stats(e.route).locality.factor().Value, 0
	for n, i := range workers {
		task := job.Task{Occurrence: waiting.ref.Occurrence, Step: waiting.ref.Step, Index: waiting.indexes[n]}
		run := e.progress.NextRun(task)
		if step.Gang && n > 0 {
			run--
		}
		w := p.workers[i]
		switch where := localityOn(i); where {
		case localityFar:
			s.place(e, task, run, w, st.tickets[w], time.Duration(farFactor*float64(expectedRunTime)), where, farFactor)
		default:
			if where == localityNear {
				near++
			}
			s.place(e, task, run, w, st.tickets[w], expectedRunTime, where, 0)
		}
		s.useKeptRoom(p.now, waiting, w)
	}
	s.recordLocalityWaitEnd(p, waiting, len(workers), near)
}
