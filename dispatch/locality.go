package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Locality describes what a step with Affinity, or a gang with SameRack, gains near: on
// the rack of its data, or within one rack. Without it (nil), the step never waits and a
// constant is subtracted from the cost of workers near its data.
type Locality struct {
	Factor FarFactor
	// Work is the remaining work and the age of the step's job.
	Work Work
	// Since is when the step first waited; zero if it has not waited yet. Its whole wait is
	// bounded from then.
	Since time.Time
	// Active reports whether a task of the job runs.
	Active bool
}

// FarFactor is the factor by which tasks take longer elsewhere than near, with its
// evidence.
type FarFactor struct {
	Value float64
	// Near and Far count the completed tasks that the factor was learned from.
	Near, Far int
	// Spread is the standard deviation of the logarithm of the factor.
	Spread float64
}

// Wait is the decision that tasks which could start elsewhere now wait for room near.
type Wait struct {
	Tasks int
	// Until is when the tasks start elsewhere if no room near has become free.
	Until time.Time
	// Saves is how much earlier the step is expected to end than if no task waited.
	Saves time.Duration
}

const (
	// maxLocalityWait bounds the whole wait of a step. maxIdleWait bounds it while no task of
	// its job runs and less than loadedShare of the processors or of the memory of its
	// service is in use: a job of which nothing runs for 3 s counts as lost if half of the
	// service is free, and advice and the order to start take part of that time.
	maxLocalityWait = 8 * time.Second
	maxIdleWait     = 1500 * time.Millisecond
	loadedShare     = 0.6
	// waitGridSize is the number of durations of a wait that are compared.
	waitGridSize = 16
	// maxSlots bounds the slots that are considered for a wait, maxClaims the claims on one
	// worker beyond which it has no room for steps behind, maxWaitDecisions the steps of a
	// pass that are considered for a wait, and maxRacks the racks that are considered for a
	// gang. They bound the duration of a pass.
	maxSlots, maxClaims, maxWaitDecisions, maxRacks = 64, 16, 64, 3
	// certainDeviations is the number of standard deviations beyond which an expected end
	// counts as certain.
	certainDeviations = 4
	// farCostWeight is the weight of what a choice costs others while demand exceeds the
	// free capacity: the additional run time elsewhere, and the time for which room is
	// kept idle for a gang. It is below 1 because others may not fit into that room.
	farCostWeight = 0.5
	// farPenalty is added to a worker's cost for each unit by which a task takes longer
	// there. A factor of 1.5 outweighs every difference in packing.
	farPenalty = 2
	// localityDiscount is how many standard deviations are subtracted from the logarithm of
	// the learned factor: the wait is certain, and the gain is not.
	localityDiscount = 0.5
)

// waitShares are the largest waits by priority, as shares of the time that a start near
// saves. A wait of the whole saving costs at most as much again as the start elsewhere
// that it delays. Priorities beyond the list have the last share.
var waitShares = []float64{0.25, 0.6, 1}

// urgentWaitShare bounds the wait of steps of priority 0, as a share of their run time
// elsewhere. So a wait that does not pay delays them by no more than that, also where the
// expected ends of other tasks are wrong.
const urgentWaitShare = 0.2

// minSavings are the smallest savings for which steps wait, by priority, as shares of the
// run time elsewhere. They cover the errors of expected run times and ends. Priorities
// beyond the list have the last share.
var minSavings = []float64{0.05, 0.05, 0.04}

// discounted returns the factor that decisions use.
func (f FarFactor) discounted() float64 {
	return max(1, f.Value*math.Exp(-localityDiscount*f.Spread))
}

// MaxWait returns the longest wait of a step that has not waited yet, if its tasks run for
// near on workers near and for far elsewhere.
func (l *Locality) MaxWait(near, far time.Duration) time.Duration {
	wait := min(maxLocalityWait, time.Duration(byPriority(waitShares, l.Work.Priority)*float64(far-near)))
	if l.Work.Priority <= 0 {
		wait = min(wait, time.Duration(urgentWaitShare*float64(far)))
	}
	return wait
}

// byPriority returns the share of a priority.
func byPriority(shares []float64, priority int) float64 {
	return shares[min(max(0, priority), len(shares)-1)]
}

// lateness returns what the delay of a job by d costs, as a share of its value that is
// lost, in time: losing all of the value counts like a delay by the job's objective.
func (w Work) lateness(d time.Duration) time.Duration {
	if w.Objective <= 0 {
		return 0
	}
	w.Age += d
	return time.Duration((1 - timeliness(w)) * float64(w.Objective))
}

// slot is room for one task that becomes free on a worker. The time at is expected; its
// standard deviation is spread.
type slot struct {
	worker int
	at     time.Time
	spread time.Duration
}

// freeBy returns the probability that the slot is free after d, given that it is not free
// now if it is expected later. The slot is expected after mean; before is the probability
// without that condition that it is free now.
func (s slot) freeBy(d, mean time.Duration, before float64) float64 {
	late := float64(d-mean) / float64(max(1, s.spread))
	switch {
	case mean <= 0 || late > certainDeviations || s.spread <= 0 && d >= mean:
		return 1
	case late < -certainDeviations:
		return 0
	}
	return (normal(late) - before) / (1 - before)
}

// normal is the cumulative distribution function of the standard normal distribution.
func normal(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

// supply is the distribution of the number of free slots over time: at the time of each
// index, the mean and the variance of how many are free.
type supply struct {
	step           time.Duration
	mean, variance [waitGridSize + 1]float64
}

func supplyOf(slots []slot, now time.Time, horizon time.Duration) supply {
	out := supply{step: horizon / waitGridSize}
	for _, s := range slots {
		mean := s.at.Sub(now)
		before := normal(-float64(mean) / float64(max(1, s.spread)))
		for i := range out.mean {
			p := s.freeBy(time.Duration(i)*out.step, mean, before)
			out.mean[i] += p
			out.variance[i] += p * (1 - p)
		}
	}
	return out
}

// atLeast returns the probability that n slots are free at an index.
func (s *supply) atLeast(n, index int) float64 {
	excess := s.mean[index] - float64(n) + 0.5
	if s.variance[index] < 1e-9 {
		if excess >= 0 {
			return 1
		}
		return 0
	}
	return normal(excess / math.Sqrt(s.variance[index]))
}

// choice is the input of the decision between a start elsewhere now and a wait.
type choice struct {
	work Work
	// near and far are the expected run times near and elsewhere.
	near, far time.Duration
	// othersWait reports whether demand exceeds the free capacity, so that capacity that
	// the choice uses is missing to others. keepsRoom reports whether slots are kept idle
	// until all of them are free.
	othersWait, keepsRoom bool
}

// best returns for how long a task, or a gang as a whole, should wait until n slots are
// free, and how much earlier than elsewhere it is expected to end, counting what its job
// earns and what others lose. It returns 0 if a start elsewhere now is better.
func (c choice) best(s supply, n int) (time.Duration, time.Duration) {
	othersWeight := 0.0
	if c.othersWait {
		othersWeight = farCostWeight
	}
	extra := time.Duration(othersWeight * float64(c.far-c.near))
	nearCost := func(after time.Duration) time.Duration { return after + c.near + c.work.lateness(after) }
	farCost := func(after time.Duration) time.Duration {
		return after + c.far + extra + c.work.lateness(after+c.far-c.near)
	}
	now := farCost(0)
	bestWait, saves := time.Duration(0), time.Duration(byPriority(minSavings, c.work.Priority)*float64(c.far))
	// started is the expected cost of the outcomes in which the wait has ended, and idle
	// the expected time for which room was kept.
	before, idle := s.atLeast(n, 0), 0.0
	started := before * float64(nearCost(0))
	for i := 1; i <= waitGridSize; i++ {
		after := time.Duration(i) * s.step
		p := max(before, s.atLeast(n, i))
		// Room that becomes free within a step of the grid counts from its middle.
		started += (p - before) * float64(nearCost(after-s.step/2))
		if c.keepsRoom {
			idle += othersWeight * (1 - p) * min(1, s.mean[i]/float64(n)) * float64(s.step)
		}
		before = p
		cost := started + (1-p)*float64(farCost(after)) + idle
		if saving := now - time.Duration(cost); saving > saves {
			bestWait, saves = after, saving
		}
	}
	return bestWait, saves
}

// near reports whether a worker is on the rack of the step's data. For a step without
// affinity no single worker is.
func (s *Step) near(w *Worker) bool {
	return s.Affinity != "" && w.Rack == s.Affinity
}

// localityCost is the part of a worker's cost that stands for the longer run time away
// from the step's data.
func (s *Step) localityCost(w *Worker) float64 {
	switch {
	case s.Affinity == "":
		return 0
	case s.Locality == nil && s.near(w):
		return -affinityBonus
	case s.Locality != nil && !s.near(w):
		return farPenalty * (s.Locality.Factor.discounted() - 1)
	}
	return 0
}

// choiceFor returns the input of the decision on the waiting tasks of a step, and the time
// for which they may still wait. The parameter active is whether a task of the job runs.
func (p *planner) choiceFor(s *Step, active bool) (choice, time.Duration) {
	l := s.Locality
	c := choice{
		work: l.Work, near: s.RunTime, far: time.Duration(float64(s.RunTime) * l.Factor.discounted()),
		othersWait: l.Work.Priority > 0 && p.othersWait, keepsRoom: s.Gang,
	}
	limit := l.MaxWait(c.near, c.far)
	if !active && !p.loaded[s.Service] {
		limit = min(limit, maxIdleWait)
	}
	if !l.Since.IsZero() {
		limit -= p.Now.Sub(l.Since)
	}
	return c, limit
}

// loadedServices returns the services of whose capacity most is in use. The empty name
// stands for all workers.
func (l *Load) loadedServices() map[string]bool {
	capacity, used := map[string]lovagestand.Resources{}, map[string]lovagestand.Resources{}
	for i := range l.Workers {
		w := &l.Workers[i]
		for _, service := range []string{"", w.Service} {
			capacity[service] = capacity[service].Add(w.Capacity)
			used[service] = used[service].Add(w.Capacity.Sub(w.Free))
		}
	}
	loaded := map[string]bool{}
	for service, c := range capacity {
		u := used[service]
		loaded[service] = float64(u.MilliCPU) >= loadedShare*float64(c.MilliCPU) && float64(u.MemoryMiB) >= loadedShare*float64(c.MemoryMiB)
	}
	return loaded
}

// overloaded reports whether the tasks that wait need more processors than are free.
func (l *Load) overloaded() bool {
	free, demand := int64(0), int64(0)
	for i := range l.Workers {
		if l.Workers[i].Open {
			free += max(0, l.Workers[i].Free.MilliCPU)
		}
	}
	for i := range l.Steps {
		demand += int64(l.Steps[i].Tasks) * l.Steps[i].Needs.MilliCPU
	}
	return demand > free
}

// decideByLocality decides a step with Locality: its tasks start near, start elsewhere or
// wait.
func (p *planner) decideByLocality(index int, s *Step) {
	if s.Gang {
		p.decideGangByLocality(index, s)
		return
	}
	var near, far []int
	for _, i := range p.eligible(s, true) {
		if s.near(&p.Workers[i]) {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	chosen := p.allocateOn(s, near)
	rest := *s
	rest.Tasks -= len(chosen)
	if rest.Tasks == 0 {
		p.place(index, chosen)
		return
	}
	rest.Placed = s.placedWith(chosen)
	elsewhere := p.allocateOn(&rest, far)
	wait, slots := p.waitNear(&rest, len(elsewhere), s.Locality.Active || len(chosen) > 0)
	if wait.Tasks > 0 {
		kept := len(elsewhere) - wait.Tasks
		p.deallocate(s, elsewhere[kept:])
		elsewhere = elsewhere[:kept]
	}
	p.place(index, append(chosen, elsewhere...))
	rest.Tasks -= len(elsewhere)
	if rest.Tasks == 0 {
		return
	}
	if wait.Tasks == 0 {
		p.claim(&rest, slots, p.Now.Add(maxLocalityWait))
		if s.NeedsTickets {
			p.renewTickets(index, s, s.Tasks-rest.Tasks)
		}
		return
	}
	p.claim(&rest, slots, wait.Until)
	p.decisions = append(p.decisions, Decision{Step: index, Wait: wait})
	p.renewNear(index, s, slots)
}

// placedWith returns the number of the step's tasks by worker, with those that start now.
func (s *Step) placedWith(workers []int) map[int]int {
	if s.MaxPerWorker <= 0 || len(workers) == 0 {
		return s.Placed
	}
	placed := maps.Clone(s.Placed)
	if placed == nil {
		placed = map[int]int{}
	}
	for _, i := range workers {
		placed[i]++
	}
	return placed
}

// place adds the decision to start tasks of a step on workers.
func (p *planner) place(index int, workers []int) {
	if len(workers) > 0 {
		p.decisions = append(p.decisions, Decision{Step: index, Workers: workers})
	}
}

// waitNear decides how many of the waiting tasks of a step wait for room near although
// elsewhere of them could start now. It returns the slots near, soonest first. The
// parameter active is whether a task of the job runs; if none does, the first task that
// starts near makes longer waits of the others possible.
func (p *planner) waitNear(s *Step, elsewhere int, active bool) (Wait, []slot) {
	if p.waitDecisions >= maxWaitDecisions {
		return Wait{}, nil
	}
	p.waitDecisions++
	var slots []slot
	for _, i := range p.eligible(s, false) {
		if s.near(&p.Workers[i]) {
			slots = append(slots, p.slotsOn(s, i, s.Tasks)...)
		}
	}
	slots = soonest(slots)
	c, first := p.choiceFor(s, active)
	if elsewhere == 0 || first <= 0 {
		return Wait{}, slots
	}
	_, limit := p.choiceFor(s, true)
	supply := supplyOf(slots, p.Now, first)
	var wait Wait
	for n := 1; n <= s.Tasks; n++ {
		if n == 2 && limit > first {
			supply = supplyOf(slots, p.Now, limit)
		}
		until, saves := c.best(supply, n)
		if until <= 0 {
			break
		}
		// The tasks that cannot start elsewhere now take the first slots.
		if n > s.Tasks-elsewhere {
			wait = Wait{Tasks: wait.Tasks + 1, Until: p.Now.Add(until), Saves: saves}
		}
	}
	return wait, slots
}

func soonest(slots []slot) []slot {
	slices.SortStableFunc(slots, func(a, b slot) int { return a.at.Compare(b.at) })
	return slots[:min(len(slots), maxSlots)]
}

// decideGangByLocality decides a gang: it starts near as a whole, starts elsewhere or
// split over racks, or keeps room near and waits.
func (p *planner) decideGangByLocality(index int, s *Step) {
	eligible := p.eligible(s, true)
	for _, rack := range p.nearRacks(s, eligible) {
		chosen := p.allocateOn(s, rack)
		if len(chosen) == s.Tasks {
			p.place(index, chosen)
			return
		}
		p.deallocate(s, chosen)
	}
	split := p.allocate(s, eligible)
	if len(split) < s.Tasks {
		p.deallocate(s, split)
		if s.NeedsTickets {
			p.renewTickets(index, s, 0)
		} else {
			p.reserve(s)
		}
		return
	}
	// The room that the split gang would take is free for the members that wait.
	p.deallocate(s, split)
	wait, workers, start := p.waitForRack(s)
	if wait.Tasks == 0 {
		for _, i := range split {
			p.take(s, i)
		}
		p.place(index, split)
		return
	}
	p.reservations--
	for _, i := range workers {
		p.reserveOn(i, s.Needs, start)
	}
	p.decisions = append(p.decisions, Decision{Step: index, Wait: wait})
	if s.NeedsTickets {
		p.renewAhead(index, s, workers, start)
	}
}

// nearRacks returns the workers of each rack on which the whole gang is near.
func (p *planner) nearRacks(s *Step, workers []int) [][]int {
	racks := p.racks(workers)
	if s.Affinity == "" {
		return racks
	}
	return slices.DeleteFunc(racks, func(rack []int) bool { return !s.near(&p.Workers[rack[0]]) })
}

// waitForRack decides whether a gang that could start elsewhere now waits for one rack. It
// returns the workers on which room is kept, one for each task, and the expected start.
func (p *planner) waitForRack(s *Step) (Wait, []int, time.Time) {
	c, limit := p.choiceFor(s, s.Locality.Active)
	if limit <= 0 || p.reservations <= 0 {
		return Wait{}, nil, time.Time{}
	}
	var wait Wait
	var kept []slot
	for _, slots := range p.soonestRacks(s) {
		until, saves := c.best(supplyOf(slots, p.Now, limit), s.Tasks)
		if until > 0 && saves > wait.Saves {
			wait = Wait{Tasks: s.Tasks, Until: p.Now.Add(until), Saves: saves}
			kept = slots[:s.Tasks]
		}
	}
	if wait.Tasks == 0 {
		return wait, nil, time.Time{}
	}
	var workers []int
	for _, k := range kept {
		workers = append(workers, k.worker)
	}
	return wait, workers, kept[s.Tasks-1].at
}

// preferRack returns the workers of one rack and the expected start there, if the gang is
// expected to end sooner than with a start on workers of any racks.
func (p *planner) preferRack(s *Step, eligible, workers []int, start time.Time) ([]int, time.Time) {
	_, limit := p.choiceFor(s, s.Locality.Active)
	latest := start.Add(limit)
	for _, rack := range p.nearRacks(s, eligible) {
		onRack, at := p.earliestStart(s, rack)
		if onRack != nil && at.Before(latest) {
			workers, start, latest = onRack, at, at
		}
	}
	return workers, start
}

// soonestRacks returns the slots on the racks that are expected to have room for a whole
// gang first.
func (p *planner) soonestRacks(s *Step) [][]slot {
	var racks [][]slot
	for _, rack := range p.nearRacks(s, p.eligible(s, false)) {
		var slots []slot
		for _, i := range rack {
			slots = append(slots, p.slotsOn(s, i, s.Tasks)...)
		}
		slots = soonest(slots)
		if len(slots) >= s.Tasks {
			racks = append(racks, slots)
		}
	}
	slices.SortStableFunc(racks, func(a, b []slot) int { return a[s.Tasks-1].at.Compare(b[s.Tasks-1].at) })
	return racks[:min(len(racks), maxRacks)]
}

// renewNear requests new tickets for the workers near a step that waits, shortly before
// room is expected there.
func (p *planner) renewNear(index int, s *Step, slots []slot) {
	if !s.NeedsTickets || len(s.AdvicePending) > 0 || len(slots) == 0 || slots[0].at.Sub(p.Now) > s.RenewAhead {
		return
	}
	var workers []int
	for _, k := range slots {
		workers = append(workers, k.worker)
	}
	slices.Sort(workers)
	workers = slices.Compact(workers)
	for _, c := range s.Candidates {
		if c.HasTicket && slices.Contains(workers, c.Worker) {
			return
		}
	}
	p.requestAdvice(index, p.extendRenewal(s, workers))
}

// claim is room near a step that waits, from an expected start to an expected end.
type claim struct {
	from, to time.Time
	step     *Step
}

// claim records the slots until a time that the waiting tasks of a step are expected to
// take, so that steps behind it do not wait for the same room.
func (p *planner) claim(s *Step, slots []slot, until time.Time) {
	if p.claims == nil {
		p.claims = map[int][]claim{}
	}
	for _, k := range slots[:min(len(slots), s.Tasks)] {
		if k.at.After(until) {
			return
		}
		p.claims[k.worker] = append(p.claims[k.worker], claim{from: k.at, to: k.at.Add(s.RunTime), step: s})
	}
}

// change is a change of the free room of a worker. Positive changes are releases.
type change struct {
	at     time.Time
	spread time.Duration
	sign   int64
	frees  [3]int64
}

// slotsOn returns when a worker is expected to have room for tasks of a step, beside the
// claims of steps that wait ahead of it, up to limit.
func (p *planner) slotsOn(s *Step, worker, limit int) []slot {
	slots := p.unticketedSlots(s, worker, limit)
	if !s.NeedsTickets || slices.ContainsFunc(s.Candidates, func(c Candidate) bool { return c.Worker == worker && c.HasTicket }) {
		return slots
	}
	// A new ticket must arrive first.
	renewed := p.Now.Add(s.RenewAhead)
	for i := range slots {
		if slots[i].at.Before(renewed) {
			slots[i].at = renewed
		}
	}
	return slots
}

// unticketedSlots returns the slots of a worker, whether or not the step has a ticket.
func (p *planner) unticketedSlots(s *Step, worker, limit int) []slot {
	if len(p.claims[worker]) == 0 {
		return p.unclaimedSlots(s, worker, limit)
	}
	if len(p.claims[worker]) >= maxClaims {
		return nil
	}
	// No wait lasts longer, so later slots do not matter.
	horizon := p.Now.Add(2 * maxLocalityWait)
	changes := p.changesOn(worker)
	var slots []slot
	for len(slots) < limit && (s.MaxPerWorker <= 0 || s.Placed[worker]+len(slots) < s.MaxPerWorker) {
		k, ok := p.lastingSlot(s, worker, changes)
		if !ok || k.at.After(horizon) {
			return slots
		}
		slots = append(slots, k)
		changes = addClaim(changes, claim{from: k.at, to: k.at.Add(s.RunTime), step: s})
	}
	return slots
}

// unclaimedSlots returns the slots of a worker that no other step waits for.
func (p *planner) unclaimedSlots(s *Step, worker, limit int) []slot {
	var slots []slot
	releases := p.releasesOf(worker)
	for _, at := range p.slotTimes(s, worker, limit) {
		k := slot{worker: worker, at: at}
		for _, r := range releases {
			if r.At.Equal(at) {
				k.spread = r.Spread
			}
		}
		slots = append(slots, k)
	}
	return slots
}

// changesOn returns the expected changes of a worker's free room, in order.
func (p *planner) changesOn(worker int) []change {
	var changes []change
	for _, r := range p.releasesOf(worker) {
		at := r.At
		if at.Before(p.Now) {
			at = p.Now
		}
		changes = append(changes, change{at: at, spread: r.Spread, sign: 1, frees: [3]int64{r.Frees.MilliCPU, r.Frees.MemoryMiB, r.Frees.Accelerators}})
	}
	for _, c := range p.claims[worker] {
		changes = addClaim(changes, c)
	}
	return changes
}

func addClaim(changes []change, c claim) []change {
	needs := [3]int64{c.step.Needs.MilliCPU, c.step.Needs.MemoryMiB, c.step.Needs.Accelerators}
	changes = append(changes, change{at: c.from, sign: -1, frees: needs}, change{at: c.to, sign: 1, frees: needs})
	// At the same time, releases come first.
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(b.sign, a.sign)) })
	return changes
}

// lastingSlot returns the first time from which a task of a step has room on a worker for
// its run time.
func (p *planner) lastingSlot(s *Step, worker int, changes []change) (slot, bool) {
	w := &p.Workers[worker]
	free := [3]int64{w.Free.MilliCPU, w.Free.MemoryMiB, w.Free.Accelerators}
	needs := [3]int64{s.Needs.MilliCPU, s.Needs.MemoryMiB, s.Needs.Accelerators}
	fits := func() bool {
		for i := range free {
			if needs[i] > 0 && free[i] < needs[i] {
				return false
			}
		}
		return true
	}
	found := fits()
	k := slot{worker: worker, at: p.Now}
	for _, c := range changes {
		if found && !c.at.Before(k.at.Add(s.RunTime)) {
			return k, true
		}
		for i := range free {
			free[i] += c.sign * c.frees[i]
		}
		switch {
		case !fits():
			found = false
		case !found:
			found, k = true, slot{worker: worker, at: c.at, spread: c.spread}
		}
	}
	return k, found
}
