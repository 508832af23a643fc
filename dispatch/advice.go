package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// requestAdvice decides on calls for advice about workers, as far as calls are left in
// this pass.
func (p *planner) requestAdvice(index int, workers []int) {
	for call := range slices.Chunk(workers, maxWorkersPerCall) {
		if p.AdviceCalls <= 0 {
			return
		}
		p.AdviceCalls--
		p.decisions = append(p.decisions, Decision{Step: index, AdviceFor: call})
	}
}

// renewAhead renews the tickets for workers on which a gang is about to start.
func (p *planner) renewAhead(index int, s *Step, workers []int, start time.Time) {
	if len(s.AdvicePending) > 0 || len(workers) == 0 || start.Sub(p.Now) > s.RenewAhead {
		return
	}
	for _, c := range s.Candidates {
		if c.HasTicket && slices.Contains(workers, c.Worker) {
			return
		}
	}
	p.requestAdvice(index, p.extendRenewal(s, nil))
}

// renewTickets renews tickets for workers that have room but no valid ticket, and
// keeps that room for the step.
func (p *planner) renewTickets(index int, s *Step, placed int) {
	rest := *s
	if !s.Gang {
		rest.Tasks -= placed
	}
	wanted := p.allocate(&rest, p.renewable(s))
	if s.Gang && len(wanted) < s.Tasks || len(wanted) == 0 {
		p.deallocate(s, wanted)
		if p.requestMoreAdvice(index, s) {
			return
		}
		workers, start := p.reserve(s)
		p.renewAhead(index, s, workers, start)
		return
	}
	if len(s.AdvicePending) == 0 {
		slices.Sort(wanted)
		p.requestAdvice(index, p.extendRenewal(s, slices.Compact(wanted)))
	}
}

// renewable returns the workers on which the step may soon start: while calls
// are under way those with a ticket and those named, so that the room kept is
// the room asked for.
func (p *planner) renewable(s *Step) []int {
	if len(s.AdvicePending) == 0 {
		return p.eligible(s, false)
	}
	var workers []int
	for _, c := range s.Candidates {
		if (c.HasTicket || s.AdvicePending[c.Worker]) && p.mayStart(s, c.Worker) {
			workers = append(workers, c.Worker)
		}
	}
	return workers
}

// extendRenewal adds to the workers wanted others known to be allowed, since one
// more costs little next to the call: those with room, and for a gang, whose
// room may be gone when the answer arrives, those without.
func (p *planner) extendRenewal(s *Step, wanted []int) []int {
	limit := max(maxWorkersPerCall, len(wanted))
	add := func(matches func(worker int) bool) {
		for _, c := range s.Candidates {
			if len(wanted) < limit && matches(c.Worker) && !slices.Contains(wanted, c.Worker) {
				wanted = append(wanted, c.Worker)
			}
		}
	}
	add(func(worker int) bool { return p.fits(s, worker) })
	if s.Gang {
		add(func(worker int) bool { return p.Workers[worker].Open })
	}
	return wanted
}

// requestMoreAdvice asks about workers of which the policy's answer is not known, where
// those allowed cannot hold the step, or could together with those of the
// others that policy is likely to allow.
func (p *planner) requestMoreAdvice(index int, s *Step) bool {
	if len(s.AdvicePending) > 0 || p.AdviceCalls <= 0 {
		return false
	}
	more := p.withoutAdvice(s)
	if len(more) == 0 || !p.infeasible(s) && !p.likelyFits(s, more) {
		return false
	}
	p.requestAdvice(index, s.limitToCall(more))
	return true
}

// infeasible reports whether the workers known to be allowed could not hold the
// step even if they were empty.
func (p *planner) infeasible(s *Step) bool {
	room := 0
	for _, c := range s.Candidates {
		if w := &p.Workers[c.Worker]; w.Open {
			room += slotsIn(w.Capacity, s)
		}
	}
	if s.Gang {
		return room < s.Tasks
	}
	return room == 0
}

// likelyFits reports whether the workers known to be allowed have room for the
// step now, together with the part of others that policy is likely to allow.
func (p *planner) likelyFits(s *Step, others []int) bool {
	allowedSlots := 0
	for _, c := range s.Candidates {
		if p.mayStart(s, c.Worker) {
			allowedSlots += slotsIn(p.Workers[c.Worker].Free, s)
		}
	}
	otherSlots := 0
	for _, i := range others {
		if p.mayStart(s, i) {
			otherSlots += slotsIn(p.Workers[i].Free, s)
		}
	}
	if s.Gang {
		return float64(allowedSlots)+s.AllowedShare*float64(otherSlots) >= float64(s.Tasks)
	}
	return otherSlots > 0
}

// slotsIn returns how many tasks of a step fit into an amount of resources.
func slotsIn(r lovagestand.Resources, s *Step) int {
	n := s.Tasks
	for _, amount := range [][2]int64{
		{r.MilliCPU, s.Needs.MilliCPU}, {r.MemoryMiB, s.Needs.MemoryMiB}, {r.Accelerators, s.Needs.Accelerators},
	} {
		if amount[1] > 0 {
			n = min(n, int(max(0, amount[0])/amount[1]))
		}
	}
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return n
}

// initialAdvice names the workers to ask about first: for a gang as many as are likely
// to allow it room enough.
func (p *planner) initialAdvice(s *Step) []int {
	workers := p.withoutAdvice(s)
	n := len(s.limitToCall(workers))
	if !s.Gang {
		return workers[:n]
	}
	missing := initialRoomFactor * float64(s.Tasks)
	for i, w := range workers {
		if i >= n && missing <= 0 || i == maxInitialCalls*maxWorkersPerCall {
			return workers[:i]
		}
		missing -= s.AllowedShare * float64(slotsIn(p.Workers[w].Free, s))
	}
	return workers
}

// limitToCall returns as many workers as one call for advice should name.
func (s *Step) limitToCall(workers []int) []int {
	return workers[:min(len(workers), max(minWorkersPerCall, min(maxWorkersPerCall, workersPerTask*s.Tasks)))]
}

// withoutAdvice returns the workers of which the policy's answer is not known, those
// that are likely to have room soonest first.
func (p *planner) withoutAdvice(s *Step) []int {
	type ranked struct {
		worker int
		at     time.Time
		spread uint64
	}
	var ranking []ranked
	for i := range p.Workers {
		w := &p.Workers[i]
		if !w.Open || s.AdvicePending[i] || s.AdviceKnown != nil && s.AdviceKnown(i) || !s.matches(w) || !s.Needs.Fits(w.Capacity) {
			continue
		}
		times := p.slotTimes(s, i, 1)
		if len(times) == 0 {
			continue
		}
		ranking = append(ranking, ranked{worker: i, at: times[0], spread: (s.Seed + uint64(i)) * hashMultiplier})
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.spread, b.spread))
	})
	workers := make([]int, len(ranking))
	for i := range workers {
		workers[i] = ranking[i].worker
	}
	return workers
}

// slotTimes returns when a worker has room for one, two and more tasks of a step,
// as far as the expected ends tell.
func (p *planner) slotTimes(s *Step, worker, limit int) []time.Time {
	w := &p.Workers[worker]
	free := w.Free
	var times []time.Time
	at := p.Now
	next := 0
	for len(times) < limit {
		if s.MaxPerWorker > 0 && s.Placed[worker]+len(times) >= s.MaxPerWorker {
			return times
		}
		for !s.Needs.Fits(free) {
			releases := p.releasesOf(worker)
			if next == len(releases) {
				return times
			}
			free = free.Add(releases[next].Frees)
			if releases[next].At.After(at) {
				at = releases[next].At
			}
			next++
		}
		free = free.Sub(s.Needs)
		times = append(times, at)
	}
	return times
}
