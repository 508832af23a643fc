package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// ask decides on calls for advice about workers, as far as calls are left in
// this pass.
func (p *planner) ask(index int, workers []int) {
	for call := range slices.Chunk(workers, maxAsk) {
		if p.AdviceCalls <= 0 {
			return
		}
		p.AdviceCalls--
		p.decisions = append(p.decisions, Decision{Step: index, AdviceFor: call})
	}
}

// askAhead renews the tickets for workers on which a gang is about to start.
func (p *planner) askAhead(index int, s *Step, workers []int, start time.Time) {
	if len(s.AdvicePending) > 0 || len(workers) == 0 || start.Sub(p.Now) > s.RenewAhead {
		return
	}
	for _, c := range s.Candidates {
		if c.HasTicket && slices.Contains(workers, c.Worker) {
			return
		}
	}
	p.ask(index, p.renewal(s, nil))
}

// askAgain renews tickets for workers that have room but no valid ticket, and
// keeps that room for the step.
func (p *planner) askAgain(index int, s *Step, placed int) {
	rest := *s
	if !s.Gang {
		rest.Tasks -= placed
	}
	wanted := p.choose(&rest, p.renewable(s))
	if s.Gang && len(wanted) < s.Tasks || len(wanted) == 0 {
		p.giveBack(s, wanted)
		if p.askMore(index, s) {
			return
		}
		workers, start := p.reserve(s)
		p.askAhead(index, s, workers, start)
		return
	}
	if len(s.AdvicePending) == 0 {
		slices.Sort(wanted)
		p.ask(index, p.renewal(s, slices.Compact(wanted)))
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
		if (c.HasTicket || s.AdvicePending[c.Worker]) && p.allowed(s, c.Worker) {
			workers = append(workers, c.Worker)
		}
	}
	return workers
}

// renewal adds to the workers wanted others known to be allowed, since one
// more costs little next to the call: those with room, and for a gang, whose
// room may be gone when the answer arrives, those without.
func (p *planner) renewal(s *Step, wanted []int) []int {
	most := max(maxAsk, len(wanted))
	add := func(suits func(worker int) bool) {
		for _, c := range s.Candidates {
			if len(wanted) < most && suits(c.Worker) && !slices.Contains(wanted, c.Worker) {
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

// askMore asks about workers of which the policy's answer is not known, where
// those allowed cannot hold the step, or could together with those of the
// others that policy is likely to allow.
func (p *planner) askMore(index int, s *Step) bool {
	if len(s.AdvicePending) > 0 || p.AdviceCalls <= 0 {
		return false
	}
	more := p.unasked(s)
	if len(more) == 0 || !p.hopeless(s) && !p.roomWith(s, more) {
		return false
	}
	p.ask(index, s.firstOf(more))
	return true
}

// hopeless reports whether the workers known to be allowed could not hold the
// step even if they were empty.
func (p *planner) hopeless(s *Step) bool {
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

// roomWith reports whether the workers known to be allowed have room for the
// step now, together with the part of others that policy is likely to allow.
func (p *planner) roomWith(s *Step, others []int) bool {
	known := 0
	for _, c := range s.Candidates {
		if p.allowed(s, c.Worker) {
			known += slotsIn(p.Workers[c.Worker].Free, s)
		}
	}
	unknown := 0
	for _, i := range others {
		if p.allowed(s, i) {
			unknown += slotsIn(p.Workers[i].Free, s)
		}
	}
	if s.Gang {
		return float64(known)+s.AllowedShare*float64(unknown) >= float64(s.Tasks)
	}
	return unknown > 0
}

// slotsIn returns how many tasks of a step fit into an amount of resources.
func slotsIn(r lovagestand.Resources, s *Step) int {
	n := s.Tasks
	for _, pair := range [][2]int64{
		{r.MilliCPU, s.Needs.MilliCPU}, {r.MemoryMiB, s.Needs.MemoryMiB}, {r.Accelerators, s.Needs.Accelerators},
	} {
		if pair[1] > 0 {
			n = min(n, int(max(0, pair[0])/pair[1]))
		}
	}
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return n
}

// toAsk names the workers to ask about first: for a gang as many as are likely
// to allow it room enough.
func (p *planner) toAsk(s *Step) []int {
	workers := p.unasked(s)
	n := len(s.firstOf(workers))
	if !s.Gang {
		return workers[:n]
	}
	needed := spareRoom * float64(s.Tasks)
	for i, w := range workers {
		if i >= n && needed <= 0 || i == firstCalls*maxAsk {
			return workers[:i]
		}
		needed -= s.AllowedShare * float64(slotsIn(p.Workers[w].Free, s))
	}
	return workers
}

// firstOf returns as many workers as one call for advice should name.
func (s *Step) firstOf(workers []int) []int {
	return workers[:min(len(workers), max(minAsk, min(maxAsk, askPerTask*s.Tasks)))]
}

// unasked returns the workers of which the policy's answer is not known, those
// that are likely to have room soonest first.
func (p *planner) unasked(s *Step) []int {
	type ranked struct {
		worker int
		at     time.Time
		spread uint64
	}
	var ranking []ranked
	for i := range p.Workers {
		w := &p.Workers[i]
		if !w.Open || s.AdvicePending[i] || s.AdviceKnown != nil && s.AdviceKnown(i) || !s.suits(w) || !s.Needs.Fits(w.Capacity) {
			continue
		}
		times := p.slots(s, i, 1)
		if len(times) == 0 {
			continue
		}
		ranking = append(ranking, ranked{worker: i, at: times[0], spread: (s.Seed + uint64(i)) * spreadFactor})
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

// slots returns when a worker has room for one, two and more tasks of a step,
// as far as the expected ends tell.
func (p *planner) slots(s *Step, worker, most int) []time.Time {
	w := &p.Workers[worker]
	free := w.Free
	var times []time.Time
	at := p.Now
	next := 0
	for len(times) < most {
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
