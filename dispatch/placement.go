package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// allocate allocates room for the tasks of a step on eligible workers and returns
// the worker of each task, fewer than the step has where the room does not suffice.
// A same-rack gang is allocated on one rack if any has room for all of it.
func (p *planner) allocate(s *Step, eligible []int) []int {
	if s.Gang && s.SameRack {
		for _, rack := range p.racks(eligible) {
			chosen := p.allocateOn(s, rack)
			if len(chosen) == s.Tasks {
				return chosen
			}
			p.deallocate(s, chosen)
		}
	}
	return p.allocateOn(s, eligible)
}

// eligible returns the workers on which a task of the step may start now, whether
// or not they have room for it. If the step needs tickets and ticketed is set, only
// workers with a valid ticket are eligible. The result is valid until the next call.
func (p *planner) eligible(s *Step, ticketed bool) []int {
	eligible := p.scratch.eligible[:0]
	defer func() { p.scratch.eligible = eligible }()
	if s.NeedsTickets {
		for _, c := range s.Candidates {
			if (c.HasTicket || !ticketed) && p.mayStart(s, c.Worker) {
				eligible = append(eligible, c.Worker)
			}
		}
		return eligible
	}
	for i := range p.Workers {
		if p.mayStart(s, i) {
			eligible = append(eligible, i)
		}
	}
	return eligible
}

// mayStart reports whether a task of the step may start on a worker now, whether or
// not the worker has room for it. It checks service, label and reservations, but not
// the ticket.
func (p *planner) mayStart(s *Step, worker int) bool {
	w := &p.Workers[worker]
	if !w.Open && !p.sharesTrial(s, w) || w.keptFor != 0 && w.keptFor != s.number || !s.matches(w) {
		return false
	}
	return !p.delaysReservation(s, w) || s.Needs.Fits(w.spare)
}

// delaysReservation reports whether a task of the step is expected to run beyond
// the start for which the worker is reserved.
func (p *planner) delaysReservation(s *Step, w *Worker) bool {
	return !w.reservedFrom.IsZero() && p.Now.Add(s.runTimeOn(w)).After(w.reservedFrom)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * max(factor, 1))
}

// racks groups workers by rack, racks with more workers first.
func (p *planner) racks(eligible []int) [][]int {
	byRack := map[lovagestand.RackName][]int{}
	for _, i := range eligible {
		byRack[p.Workers[i].Rack] = append(byRack[p.Workers[i].Rack], i)
	}
	racks := make([][]int, 0, len(byRack))
	for _, rack := range byRack {
		racks = append(racks, rack)
	}
	slices.SortFunc(racks, func(a, b []int) int {
		return cmp.Or(cmp.Compare(len(b), len(a)), cmp.Compare(a[0], b[0]))
	})
	return racks
}

// allocateOn allocates room for the tasks of a step on the eligible workers of the
// lowest cost, until all tasks are allocated or no worker has room.
func (p *planner) allocateOn(s *Step, eligible []int) []int {
	var chosen []int
	count := map[int]int{}
	for len(chosen) < min(s.Suspects, s.Tasks) && p.fitsQuota(s) {
		worker, ok := p.trialWorker(s, eligible, count)
		if !ok {
			return chosen
		}
		p.take(s, worker)
		chosen = append(chosen, worker)
		count[worker]++
	}
	if len(chosen) == s.Tasks || !p.fitsQuota(s) {
		return chosen
	}
	options := p.scratch.options[:0]
	for _, i := range eligible {
		if cost, ok := p.costWithRoom(s, i, count[i]); ok {
			options = append(options, option{worker: i, placed: count[i], cost: cost})
		}
	}
	p.scratch.options = options
	for len(chosen) < s.Tasks && len(options) > 0 && p.fitsQuota(s) {
		best := 0
		for n := range options {
			if options[n].cost < options[best].cost {
				best = n
			}
		}
		o := &options[best]
		p.take(s, o.worker)
		chosen = append(chosen, o.worker)
		// A start changes the cost of no other worker.
		var ok bool
		o.placed++
		if o.cost, ok = p.costWithRoom(s, o.worker, o.placed); !ok {
			options = slices.Delete(options, best, best+1)
		}
	}
	return chosen
}

// option is a worker with room for a further task of the step that is being allocated.
type option struct {
	worker int
	// placed is the number of tasks of the step that the pass has allocated there.
	placed int
	cost   float64
}

// costWithRoom returns the cost of a worker for a further task of a step, of which the pass
// has allocated some there. It returns false if the worker has no room or may be given none.
func (p *planner) costWithRoom(s *Step, worker, allocated int) (float64, bool) {
	if !p.hasRoom(s, &p.Workers[worker]) || s.MaxPerWorker > 0 && s.Placed[worker]+allocated >= s.MaxPerWorker {
		return 0, false
	}
	return p.cost(s, worker), true
}

// cheapest returns the eligible worker of the lowest cost that has room for a task of the
// step and may be given one more. The function cost returns false for a worker that is out
// of the question. The parameter count is how many tasks of the step the pass has allocated
// on each worker.
func (p *planner) cheapest(s *Step, eligible []int, count map[int]int, cost func(worker int) (float64, bool)) (int, bool) {
	best, bestCost := -1, 0.0
	for _, i := range eligible {
		if !p.hasRoom(s, &p.Workers[i]) || s.MaxPerWorker > 0 && s.Placed[i]+count[i] >= s.MaxPerWorker {
			continue
		}
		if c, ok := cost(i); ok && (best < 0 || c < bestCost) {
			best, bestCost = i, c
		}
	}
	return best, best >= 0
}

// hasRoom reports whether a worker has room for a task of the step, beside what is
// reserved there for a gang.
func (p *planner) hasRoom(s *Step, w *Worker) bool {
	return s.Needs.Fits(w.Free) && (!p.delaysReservation(s, w) || s.Needs.Fits(w.spare))
}

// take takes the room for one task of a step on a worker.
func (p *planner) take(s *Step, worker int) {
	w := &p.Workers[worker]
	w.Free = w.Free.Sub(s.Needs)
	p.free -= s.Needs.MilliCPU
	if p.delaysReservation(s, w) {
		w.spare = w.spare.Sub(s.Needs)
	}
	w.starts++
	p.takeQuota(s, 1)
}

// cost ranks workers with room for a task; the lowest cost is best. It prefers full
// workers to empty ones and fast ones to slow ones.
func (p *planner) cost(s *Step, worker int) float64 {
	return p.freeShare(s, worker) + p.penalty(s, worker)
}

// freeShare returns the share of a worker's processors that is free beside a task.
func (p *planner) freeShare(s *Step, worker int) float64 {
	w := &p.Workers[worker]
	return float64(w.Free.Sub(s.Needs).MilliCPU) / float64(max(1, w.Capacity.MilliCPU))
}

// penalty is the part of the cost of a worker that does not depend on its load.
func (p *planner) penalty(s *Step, worker int) float64 {
	w := &p.Workers[worker]
	cost := slownessPenalty * (max(w.Slowness, 1) - 1)
	cost += s.localityCost(w)
	cost += p.speedCost(s, w)
	if s.Avoid[worker] {
		cost += avoidPenalty
	}
	return cost
}

// deallocate undoes the allocations of a step on workers.
func (p *planner) deallocate(s *Step, workers []int) {
	for n, i := range workers {
		w := &p.Workers[i]
		w.starts--
		p.takeQuota(s, -1)
		if n < s.Suspects && w.keptFor != 0 && !p.held {
			w.keptFor = 0
			if w.Open {
				p.trials++
			}
		}
		w.Free = w.Free.Add(s.Needs)
		p.free += s.Needs.MilliCPU
		if p.delaysReservation(s, w) {
			w.spare = w.spare.Add(s.Needs)
		}
	}
}

func (p *planner) fits(s *Step, worker int) bool {
	return p.mayStart(s, worker) && s.Needs.Fits(p.Workers[worker].Free)
}
