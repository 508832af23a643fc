package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// requestAdvice adds decisions to request advice on workers, until the advice
// calls of this pass are used up.
func (p *planner) requestAdvice(index int, workers []int) {
	for call := range slices.Chunk(workers, maxWorkersPerCall) {
		if !p.mayRequestAdvice(&p.Steps[index]) {
			return
		}
		p.countAdviceCall(&p.Steps[index])
		p.decisions = append(p.decisions, Decision{Step: index, AdviceFor: call, IfIdle: p.HoldRenewals && p.Steps[index].Expired})
	}
}

// renewAhead requests new tickets when a gang is about to start on workers that
// are reserved for it, unless a call is pending or one of the workers still has
// a ticket.
func (p *planner) renewAhead(index int, s *Step, workers []int, start time.Time) {
	if len(s.AdvicePending) > 0 || len(workers) == 0 || start.Sub(p.Now) > s.RenewAhead {
		return
	}
	for _, c := range s.Candidates {
		if c.HasTicket && slices.Contains(workers, c.Worker) {
			return
		}
	}
	// A call for no workers in particular names all candidates if they are few.
	var reserved []int
	if p.HoldRenewals || len(s.Candidates) > maxWorkersPerCall {
		reserved = slices.Clone(workers)
		slices.Sort(reserved)
		reserved = slices.Compact(reserved)
	}
	p.requestRenewal(index, s, reserved, workers)
}

// renewTickets requests new tickets for the tasks that were not placed, and keeps
// room for them on workers that policy allows, with or without a valid ticket.
// Where the room does not suffice it requests advice on more workers, or reserves
// workers for a gang. The parameter placed is how many tasks this pass has placed.
func (p *planner) renewTickets(index int, s *Step, placed int) {
	rest := s
	if !s.Gang && placed > 0 {
		remaining := *s
		remaining.Tasks -= placed
		rest = &remaining
	}
	wanted := p.allocate(rest, p.renewable(s))
	if s.Gang && len(wanted) < s.Tasks || len(wanted) == 0 {
		p.deallocate(s, wanted)
		if p.requestMoreAdvice(index, s) {
			return
		}
		workers, start := p.reserve(s)
		if s.firstTurn > 0 && workers == nil {
			p.requestFurtherAdvice(index, s)
			return
		}
		p.renewAhead(index, s, workers, start)
		return
	}
	if len(s.AdvicePending) > 0 {
		return
	}
	hold := slices.Clone(wanted)
	slices.Sort(wanted)
	p.requestRenewal(index, s, slices.Compact(wanted), hold)
}

// requestRenewal requests new tickets for the workers wanted and others. The parameter
// hold contains a worker for each task of a gang, where its room is to be held.
func (p *planner) requestRenewal(index int, s *Step, wanted, hold []int) {
	first := len(p.decisions)
	p.requestAdvice(index, p.extendRenewal(s, s.withoutTicketFirst(wanted)))
	if !p.HoldRenewals || !s.Gang || s.Expired {
		return
	}
	calls := p.decisions[first:]
	for n := range calls {
		calls[n].Hold = hold
	}
}

// withoutTicketFirst returns the workers of a renewal, those without a valid ticket first if
// one call does not name all of them: the pass may have no further call for the others.
func (s *Step) withoutTicketFirst(workers []int) []int {
	if len(workers) <= maxWorkersPerCall {
		return workers
	}
	ticketed := map[int]bool{}
	for _, c := range s.Candidates {
		ticketed[c.Worker] = c.HasTicket
	}
	sorted := slices.Clone(workers)
	slices.SortStableFunc(sorted, func(a, b int) int {
		switch {
		case ticketed[a] == ticketed[b]:
			return 0
		case ticketed[b]:
			return -1
		}
		return 1
	})
	return sorted
}

// renewable returns the workers on which room is kept for the step. While advice
// calls are pending these are only the workers with a ticket and the workers named
// in the calls, so that the room is kept where the new tickets will be valid.
func (p *planner) renewable(s *Step) []int {
	if len(s.AdvicePending) == 0 {
		return p.eligible(s, false)
	}
	workers := p.scratch.eligible[:0]
	for _, c := range s.Candidates {
		if (c.HasTicket || s.AdvicePending[c.Worker]) && p.mayStart(s, c.Worker) {
			workers = append(workers, c.Worker)
		}
	}
	p.scratch.eligible = workers
	return workers
}

// extendRenewal fills a call for the workers wanted with other workers that policy
// allows, since one more worker adds little to the cost of the call. Workers with
// room come first. A gang's room may be taken before the reply arrives, so its call
// also names workers without room.
func (p *planner) extendRenewal(s *Step, wanted []int) []int {
	limit := max(maxWorkersPerCall, len(wanted))
	if p.HoldRenewals && s.Gang && !s.Expired && len(wanted) > 0 {
		limit = len(wanted) + len(wanted)/heldMarginShare + 1
	}
	named := p.scratch.workers(len(p.Workers))
	for _, worker := range wanted {
		named[worker] = true
	}
	add := func(matches func(worker int) bool) {
		for _, c := range s.Candidates {
			if len(wanted) == limit {
				return
			}
			if !named[c.Worker] && matches(c.Worker) {
				named[c.Worker] = true
				wanted = append(wanted, c.Worker)
			}
		}
	}
	add(func(worker int) bool { return p.fits(s, worker) })
	if s.Gang {
		add(func(worker int) bool { return p.Workers[worker].Open && s.runsOn(&p.Workers[worker]) })
	}
	return wanted
}

// requestMoreAdvice requests advice on further workers and reports whether it did.
// It does so if the step is infeasible on the workers known to be allowed, or if
// the further workers that policy is likely to allow make it fit now.
func (p *planner) requestMoreAdvice(index int, s *Step) bool {
	if len(s.AdvicePending) > 0 || !p.mayRequestAdvice(s) {
		return false
	}
	if !p.infeasible(s) && !p.likelyFits(s) {
		return false
	}
	return p.requestFurtherAdvice(index, s)
}

// requestFurtherAdvice requests advice on workers on which there is none yet, unless a call is
// pending, and reports whether it did.
func (p *planner) requestFurtherAdvice(index int, s *Step) bool {
	if len(s.AdvicePending) > 0 || !p.mayRequestAdvice(s) {
		return false
	}
	more := p.withoutAdvice(s, s.callSize())
	if len(more) == 0 {
		return false
	}
	p.requestAdvice(index, firstWorkers(more, s.callSize()))
	return true
}

// requestIdleAdvice requests advice on further workers for the steps, in this order,
// that were given nothing in this pass, one call for each client that is still idle.
// It answers the load of a fleet whose allowed workers are kept full by steps of
// higher score: a gang of low score hardly ever finds room on all of them at once.
func (p *planner) requestIdleAdvice(order []int) {
	idle := p.IdleAdviceClients
	served := make(map[int]bool)
	for _, d := range p.decisions {
		served[d.Step] = served[d.Step] || len(d.Workers) > 0 || len(d.AdviceFor) > 0
		if len(d.AdviceFor) > 0 {
			idle--
		}
	}
	for _, i := range order {
		s := &p.Steps[i]
		if idle <= 0 || p.AdviceCalls <= 0 {
			return
		}
		if !p.mayRequestAdvice(s) || served[i] || !s.NeedsTickets || s.Candidates == nil || len(s.AdvicePending) > 0 {
			continue
		}
		if s, _ = p.withinQuota(s); s == nil {
			continue
		}
		if more := p.withoutAdvice(s, s.callSize()); len(more) > 0 {
			p.countAdviceCall(s)
			idle--
			p.decisions = append(p.decisions, Decision{Step: i, AdviceFor: firstWorkers(more, s.callSize()), IfIdle: true})
		}
	}
}

// infeasible reports whether the workers known to be allowed could not hold the
// step even if they were empty.
func (p *planner) infeasible(s *Step) bool {
	room := 0
	for _, c := range s.Candidates {
		if w := &p.Workers[c.Worker]; w.Open && s.runsOn(w) {
			room += slotsIn(w.Capacity, s)
		}
	}
	if s.Gang {
		return room < s.Tasks
	}
	return room == 0
}

// likelyFits reports whether a gang is likely to fit now on the workers known to be
// allowed together with the share of those without advice that policy usually allows. For
// a step that is not a gang it reports whether the latter have room for one task.
func (p *planner) likelyFits(s *Step) bool {
	otherSlots := 0
	for i := range p.Workers {
		slots := slotsIn(p.Workers[i].Free, s)
		if slots == 0 || !p.mayStart(s, i) || !p.mayBeNamed(s, i) {
			continue
		}
		if _, ok := p.firstSlot(s, i); !ok {
			continue
		}
		otherSlots += slots
		if !s.Gang {
			return true
		}
	}
	if !s.Gang {
		return false
	}
	allowedSlots := 0
	for _, c := range s.Candidates {
		if p.mayStart(s, c.Worker) {
			allowedSlots += slotsIn(p.Workers[c.Worker].Free, s)
		}
	}
	return float64(allowedSlots)+s.AllowedShare*float64(otherSlots) >= float64(s.Tasks)
}

// mayBeNamed reports whether an advice call of a step may name a worker.
func (p *planner) mayBeNamed(s *Step, worker int) bool {
	w := &p.Workers[worker]
	return w.Open && !s.AdvicePending[worker] && (s.AdviceKnown == nil || !s.AdviceKnown(worker)) && s.matches(w) && s.Needs.Fits(w.Capacity)
}

// slotsIn returns how many tasks of a step fit into an amount of resources.
func slotsIn(r lovagestand.Resources, s *Step) int {
	n := tasksIn(r, s.Needs, s.Tasks)
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return n
}

// tasksIn returns how many of a number of tasks together need no more than an amount of
// resources.
func tasksIn(r, needs lovagestand.Resources, tasks int) int {
	n := tasks
	for _, amount := range [...][2]int64{
		{r.MilliCPU, needs.MilliCPU}, {r.MemoryMiB, needs.MemoryMiB}, {r.Accelerators, needs.Accelerators},
	} {
		switch {
		case amount[1] <= 0:
		case amount[0] < amount[1]:
			return min(n, 0)
		default:
			n = min(n, int(min(amount[0]/amount[1], int64(n))))
		}
	}
	return n
}

// initialAdvice returns the workers named in the first calls of a step: one call's
// worth, and for a gang enough that the share usually allowed has room for it.
func (p *planner) initialAdvice(s *Step) []int {
	if !s.Gang {
		return firstWorkers(p.withoutAdvice(s, s.callSize()), s.callSize())
	}
	const limit = maxInitialCalls * maxWorkersPerCall
	workers := firstWorkers(p.withoutAdvice(s, limit), limit)
	n := min(s.callSize(), len(workers))
	missing := initialRoomFactor * float64(s.Tasks)
	for i, w := range workers {
		if i >= n && missing <= 0 {
			return workers[:i]
		}
		missing -= s.AllowedShare * float64(slotsIn(p.Workers[w].Free, s))
	}
	return workers
}

// callSize returns how many workers one advice call should name.
func (s *Step) callSize() int {
	return max(minWorkersPerCall, min(maxWorkersPerCall, workersPerTask*s.Tasks))
}

// withoutAdvice returns the workers on which there is no advice yet and that are
// expected to have room for a task, in no particular order. Workers that have room later may
// be missing if there are limit workers that have room now. The result is valid until the
// next call.
func (p *planner) withoutAdvice(s *Step, limit int) []ranked {
	ranking := slices.Grow(p.scratch.ranking[:0], len(p.Workers))
	nearFirst := s.Locality != nil && s.Affinity != ""
	now := 0
	for i := range p.Workers {
		if !p.mayBeNamed(s, i) {
			continue
		}
		if now >= limit && !nearFirst && !p.mayFitNow(s, i) {
			continue
		}
		if at, ok := p.firstSlot(s, i); ok {
			wait := at.Sub(p.Now)
			if wait <= 0 {
				now++
			}
			ranking = append(ranking, ranked{
				worker: i, far: nearFirst && !s.near(&p.Workers[i]),
				wait: wait, spread: (s.Seed + uint64(i)) * hashMultiplier,
			})
		}
	}
	p.scratch.ranking = ranking
	return ranking
}

// mayFitNow reports whether a worker may have room for a task of a step now, counting runs
// that are expected to have ended.
func (p *planner) mayFitNow(s *Step, worker int) bool {
	if s.Needs.Fits(p.Workers[worker].Free) {
		return true
	}
	releases := p.releasesOf(worker)
	return len(releases) > 0 && !releases[0].At.After(p.Now)
}

// ranked is a worker on which there is no advice yet.
type ranked struct {
	worker int
	// far reports whether the worker is not near the data of a step that may wait for it.
	// Near workers come first.
	far bool
	// wait is the expected time until the worker has room for a task. Workers with equal
	// waits are ordered by spread.
	wait   time.Duration
	spread uint64
}

func compareRanked(a, b ranked) int {
	if a.far != b.far {
		if b.far {
			return -1
		}
		return 1
	}
	if a.wait != b.wait {
		return cmp.Compare(a.wait, b.wait)
	}
	return cmp.Compare(a.spread, b.spread)
}

// firstWorkers returns the first n workers of a ranking in order, or all if there are
// fewer. It reorders the ranking.
func firstWorkers(ranking []ranked, n int) []int {
	n = min(n, len(ranking))
	selectFirst(ranking, n)
	slices.SortFunc(ranking[:n], compareRanked)
	workers := make([]int, n)
	for i := range workers {
		workers[i] = ranking[i].worker
	}
	return workers
}

// selectFirst moves the first n entries to the front, in no particular order
// (quickselect). Sorting the whole ranking for every step took most of a pass.
func selectFirst(ranking []ranked, n int) {
	for low, high := 0, len(ranking)-1; low < high; {
		pivot := ranking[(low+high)/2]
		i, j := low, high
		for i <= j {
			for compareRanked(ranking[i], pivot) < 0 {
				i++
			}
			for compareRanked(pivot, ranking[j]) < 0 {
				j--
			}
			if i <= j {
				ranking[i], ranking[j] = ranking[j], ranking[i]
				i++
				j--
			}
		}
		switch {
		case n <= j:
			high = j
		case n > i:
			low = i
		default:
			return
		}
	}
}

// firstSlot returns when a worker is expected to have room for one task of a step. It
// returns false if it is not expected to have any.
func (p *planner) firstSlot(s *Step, worker int) (time.Time, bool) {
	if s.MaxPerWorker > 0 && s.Placed[worker] >= s.MaxPerWorker {
		return time.Time{}, false
	}
	free, at := p.Workers[worker].Free, p.Now
	if s.Needs.Fits(free) {
		return at, true
	}
	for _, r := range p.releasesOf(worker) {
		free = free.Add(r.Frees)
		if r.At.After(at) {
			at = r.At
		}
		if s.Needs.Fits(free) {
			return at, true
		}
	}
	return time.Time{}, false
}

// slotTimes returns when a worker is expected to have room for one, two and more
// tasks of a step, up to limit.
func (p *planner) slotTimes(s *Step, worker, limit int) []time.Time {
	var times []time.Time
	p.eachSlot(s, worker, limit, func(at time.Time) bool {
		times = append(times, at)
		return true
	})
	return times
}

// eachSlot calls a function with the times at which a worker is expected to have room for
// one, two and more tasks of a step, up to limit or until the function returns false.
func (p *planner) eachSlot(s *Step, worker, limit int, slot func(at time.Time) bool) {
	free := p.Workers[worker].Free
	at := p.Now
	var releases []Release
	for n, next := 0, 0; n < limit; n++ {
		if s.MaxPerWorker > 0 && s.Placed[worker]+n >= s.MaxPerWorker {
			return
		}
		for !s.Needs.Fits(free) {
			if next == 0 {
				releases = p.releasesOf(worker)
			}
			if next == len(releases) {
				return
			}
			free = free.Add(releases[next].Frees)
			if releases[next].At.After(at) {
				at = releases[next].At
			}
			next++
		}
		free = free.Sub(s.Needs)
		if !slot(at) {
			return
		}
	}
}
