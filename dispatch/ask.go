package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// ask decides on a call for advice, if one is left in this pass.
func (p *planner) ask(index int, workers []int) {
	if p.Asks <= 0 || len(workers) == 0 {
		return
	}
	p.Asks--
	p.decisions = append(p.decisions, Decision{Step: index, Ask: workers})
}

// askAhead renews the tickets for workers on which a gang is about to start.
func (p *planner) askAhead(index int, s *Step, workers []int, start time.Time) {
	if s.Asking || len(workers) == 0 || start.Sub(p.Now) > s.AskAhead {
		return
	}
	for _, c := range s.Candidates {
		if c.Permitted && slices.Contains(workers, c.Worker) {
			return
		}
	}
	p.ask(index, p.allCandidates(s))
}

// allCandidates returns the open workers that are known to be allowed.
func (p *planner) allCandidates(s *Step) []int {
	var workers []int
	for _, c := range s.Candidates {
		if p.Workers[c.Worker].Open && len(workers) < maxAsk {
			workers = append(workers, c.Worker)
		}
	}
	return workers
}

// askAgain renews tickets for workers that have room but no valid ticket, and
// keeps that room for the step.
func (p *planner) askAgain(index int, s *Step, placed int) {
	rest := *s
	if !s.Gang {
		rest.Tasks -= placed
	}
	wanted := p.choose(&rest, false)
	if s.Gang && len(wanted) < s.Tasks || len(wanted) == 0 {
		p.giveBack(s, wanted)
		if p.askMore(index, s) {
			return
		}
		workers, start := p.reserve(s)
		p.askAhead(index, s, workers, start)
		return
	}
	if !s.Asking {
		slices.Sort(wanted)
		p.ask(index, p.withRoom(s, slices.Compact(wanted)))
	}
}

// askMore asks about workers of which the policy's answer is not known, where
// those allowed cannot hold the step or others could hold it now.
func (p *planner) askMore(index int, s *Step) bool {
	if s.Asking || p.Asks <= 0 {
		return false
	}
	more := p.toAsk(s)
	if len(more) == 0 || !p.hopeless(s) && !p.roomAmong(s, more) {
		return false
	}
	p.ask(index, more)
	return true
}

// withRoom adds to the workers asked about the others that have room, since
// one more costs little next to the call.
func (p *planner) withRoom(s *Step, wanted []int) []int {
	for _, c := range s.Candidates {
		if len(wanted) >= maxAsk {
			break
		}
		if !slices.Contains(wanted, c.Worker) && p.fits(s, c.Worker) {
			wanted = append(wanted, c.Worker)
		}
	}
	return wanted
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

// roomAmong reports whether workers not asked about have room now.
func (p *planner) roomAmong(s *Step, workers []int) bool {
	room := 0
	for _, i := range workers {
		if p.allowed(s, i) {
			room += slotsIn(p.Workers[i].Free, s)
		}
	}
	if s.Gang {
		return room >= s.Tasks
	}
	return room > 0
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

// toAsk names the workers that are likely to have room soonest.
func (p *planner) toAsk(s *Step) []int {
	type ranked struct {
		worker int
		at     time.Time
		spread uint64
	}
	var ranking []ranked
	for i := range p.Workers {
		w := &p.Workers[i]
		if !w.Open || s.Asked != nil && s.Asked(i) || !s.suits(w) || !s.Needs.Fits(w.Capacity) {
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
	n := min(len(ranking), max(minAsk, min(maxAsk, askPerTask*s.Tasks)))
	workers := make([]int, n)
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
