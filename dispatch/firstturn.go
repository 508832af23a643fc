package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// While at least ampleShare of the processors are free, steps that have waited for
	// maxOvertaken may get the first turn, as many as need the free processors together. On
	// fuller workers one step at a time may get it after maxOvertakenLoaded: the room that a
	// late step takes there is missing to others that would be in time.
	maxOvertaken       = 5 * time.Second
	maxOvertakenLoaded = 30 * time.Second
	ampleShare         = 0.4
	// overrunFactor is by how much runs may exceed their expected times without delaying a
	// first turn: tasks that fill the workers reserved for it must end in this part of the
	// time until its expected start.
	overrunFactor = 2
	// maxFirstTurnWait is the longest time to the expected start of a step that has the first
	// turn. Long-running tasks end later, so that a step which needs their room does not keep
	// the turn from others.
	maxFirstTurnWait = time.Hour
)

// grantFirstTurns selects the steps that are decided before all others. It answers the load of
// a step that needs much room at one time, such as a wide gang, below a stream of steps of
// higher rank: these take each part of the room as it becomes free, and the tickets of the
// gang expire before it is complete. The steps that have waited longest go first, so that the
// number of steps that overtake any step is bounded.
func (p *planner) grantFirstTurns() {
	limit, room := maxOvertakenLoaded, int64(0)
	if float64(p.free) >= ampleShare*float64(p.capacity) {
		limit, room = maxOvertaken, p.free
	}
	var waiting []int
	for i := range p.Steps {
		p.Steps[i].firstTurn = false
		if p.Steps[i].Waited >= limit {
			waiting = append(waiting, i)
		}
	}
	if room == 0 && p.FirstTurnPaused {
		return
	}
	slices.SortStableFunc(waiting, func(a, b int) int { return cmp.Compare(p.Steps[b].Waited, p.Steps[a].Waited) })
	for _, i := range waiting {
		s := &p.Steps[i]
		if !p.mayHaveFirstTurn(s) {
			continue
		}
		s.firstTurn = true
		if room -= s.leastNeeds().MilliCPU; room <= 0 {
			return
		}
	}
}

// mayHaveFirstTurn reports whether the first turn would help a step. It does not where the
// step waits for something else than room that others take: for the outcome of a trial, its
// team's quota, long-running tasks, or more workers that policy allows. A team beyond its
// entitlement waits for the others while the workers are loaded.
func (p *planner) mayHaveFirstTurn(s *Step) bool {
	if s.Suspects > 0 || s.Tier > 0 && !p.idle || !s.Team.fits(s.leastNeeds()) || !p.needsMuchAtOnce(s) {
		return false
	}
	if s.NeedsTickets && (s.Candidates == nil || len(s.AdvicePending) > 0 || len(p.withoutAdvice(s, 1)) > 0) {
		return true
	}
	workers, start := p.earliestStart(s.atOnce(), p.eligible(s, false))
	return workers != nil && start.Sub(p.Now) <= maxFirstTurnWait
}

// needsMuchAtOnce reports whether a step may find no room although much is free in all: it is
// a gang, or a task of it needs more than ampleShare of each worker.
func (p *planner) needsMuchAtOnce(s *Step) bool {
	if s.Gang && s.Tasks > 1 {
		return true
	}
	return !slices.ContainsFunc(p.Workers, func(w Worker) bool {
		return w.Open && s.matches(&w) && float64(s.Needs.MilliCPU) <= ampleShare*float64(w.Capacity.MilliCPU) &&
			float64(s.Needs.MemoryMiB) <= ampleShare*float64(w.Capacity.MemoryMiB) && float64(s.Needs.Accelerators) <= ampleShare*float64(w.Capacity.Accelerators)
	})
}

// leastNeeds returns the least that must be free for the step to start.
func (s *Step) leastNeeds() lovagestand.Resources {
	if s.Gang {
		return s.Needs.Times(int64(s.Tasks))
	}
	return s.Needs
}

// atOnce returns the step with the tasks that must start at one time.
func (s *Step) atOnce() *Step {
	if s.Gang {
		return s
	}
	one := *s
	one.Tasks = 1
	return &one
}

// reserveFirst reserves workers for a step that has the first turn, without regard to when it
// is expected to start. Other tasks may use them in the meantime, but not until the expected
// start, since each that runs longer than expected would delay it again.
func (p *planner) reserveFirst(s *Step) ([]int, time.Time) {
	workers, start := p.earliestStart(s.atOnce(), p.eligible(s, false))
	if workers == nil {
		return nil, time.Time{}
	}
	until := p.Now.Add(start.Sub(p.Now) / overrunFactor)
	for _, i := range workers {
		p.reserveOn(i, s.Needs, until)
	}
	p.reserveQuota(s, start)
	return workers, start
}
