package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// While at least ampleShare is free of what a step needs, on the workers that may run it,
	// the step may get the first turn after maxOvertaken, and others as well, as many as need
	// what is free together. On fuller workers one step at a time may get it after
	// maxOvertakenLoaded: the room that a late step takes there is missing to others that
	// would be in time.
	maxOvertaken       = 5 * time.Second
	maxOvertakenLoaded = 30 * time.Second
	ampleShare         = 0.4
	// loadedTurnShare is the part of the capacity that first turns take at most where room is
	// not ample. minTurnPause and maxTurnPause bound the pause after each of them.
	loadedTurnShare = 0.05
	minTurnPause    = time.Second
	maxTurnPause    = time.Minute
	// maxEarlyTurns is how many steps may have the first turn beside these that do not start
	// soon: without advice, or with an expected start after firstTurnHorizon. They take
	// nothing from others now. Long-running tasks end after maxFirstTurnWait, so that a step
	// which needs their room gets no turn.
	maxEarlyTurns    = 2
	firstTurnHorizon = 30 * time.Second
	maxFirstTurnWait = time.Hour
	// Tasks that fill the workers reserved for a first turn must end in the time until its
	// expected start, divided by overrunFactor, since runs may take longer than expected, and
	// fillMargin before.
	overrunFactor = 2
	fillMargin    = 500 * time.Millisecond
)

// grantFirstTurns selects the steps that are decided before all others. It answers the load of
// a step that needs much room at one time, such as a wide gang, below a stream of steps of
// higher rank: these take each part of the room as it becomes free, and the tickets of the
// gang expire before it is complete. Those of the oldest jobs go first, so that the number of
// steps that overtake any step is bounded.
func (p *planner) grantFirstTurns() {
	var waiting []int
	for i := range p.Steps {
		s := &p.Steps[i]
		s.firstTurn = 0
		if s.Waited >= maxOvertaken && p.mayHaveFirstTurn(s) {
			waiting = append(waiting, i)
		}
	}
	// A gang that has lost a run keeps the place that its job has by its age.
	slices.SortStableFunc(waiting, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.Steps[b].Work.Age, p.Steps[a].Work.Age), cmp.Compare(p.Steps[b].Waited, p.Steps[a].Waited))
	})
	turns := firstTurns{early: maxEarlyTurns}
	for i := range p.Workers {
		if p.Workers[i].Open {
			turns.room = turns.room.Add(p.Workers[i].Free)
		}
	}
	if !p.FirstTurnPaused {
		turns.loaded = 1
	}
	for _, i := range waiting {
		p.grantFirstTurn(&turns, &p.Steps[i])
	}
}

// firstTurns is what a pass grants of first turns.
type firstTurns struct {
	granted int
	// early and loaded are how many more steps may have the first turn that do not start
	// soon, and for which there is no ample room.
	early, loaded int
	// room is what the others leave of the free resources. One of them may need more.
	room    lovagestand.Resources
	started bool
}

// grantFirstTurn grants a step the first turn if it may have it.
func (p *planner) grantFirstTurn(t *firstTurns, s *Step) {
	ample := p.hasAmpleRoom(s)
	if ample && !p.needsMuchAtOnce(s) || !ample && s.Waited < maxOvertakenLoaded {
		return
	}
	mayStartSoon := t.loaded > 0
	if ample {
		mayStartSoon = !t.started || s.leastNeeds().Fits(t.room)
	}
	// It is costly to look for a start.
	if !mayStartSoon && t.early == 0 {
		return
	}
	start := p.startOf(s)
	switch {
	case start == startsLate && t.early > 0:
		t.early--
	case start != startsSoon || !mayStartSoon:
		return
	case ample:
		t.started, t.room = true, t.room.Sub(s.leastNeeds())
	default:
		t.loaded--
	}
	t.granted++
	s.firstTurn = t.granted
}

// FirstTurnPause returns for how long [Load.FirstTurnPaused] is to be set after tasks have
// started because of a first turn: so long that these take loadedTurnShare of the capacity.
func FirstTurnPause(needs lovagestand.Resources, runTime time.Duration, capacity lovagestand.Resources) time.Duration {
	share := max(shareOf(needs.MilliCPU, capacity.MilliCPU), shareOf(needs.MemoryMiB, capacity.MemoryMiB), shareOf(needs.Accelerators, capacity.Accelerators))
	return max(minTurnPause, min(maxTurnPause, time.Duration(share/loadedTurnShare*float64(runTime))))
}

// mayHaveFirstTurn reports whether the first turn may help a step. It does not where the step
// waits for the outcome of a trial or its team's quota. A team beyond its entitlement waits
// for the others while the workers are loaded.
func (p *planner) mayHaveFirstTurn(s *Step) bool {
	return (s.Suspects == 0 || s.Gang) && (s.Tier == 0 || p.idle) && s.Team.fits(s.leastNeeds())
}

// turnStart tells when a step is expected to start if it has the first turn.
type turnStart int

const (
	neverStarts turnStart = iota
	startsLate
	startsSoon
)

// startOf returns when a step is expected to start if it has the first turn.
func (p *planner) startOf(s *Step) turnStart {
	if !s.NeedsTickets || s.Candidates != nil {
		workers, start := p.earliestStart(s.atOnce(), p.eligible(s, false))
		switch wait := start.Sub(p.Now); {
		case workers != nil && wait <= firstTurnHorizon:
			return startsSoon
		case workers != nil && wait <= maxFirstTurnWait:
			return startsLate
		}
	}
	if s.NeedsTickets && (len(s.AdvicePending) > 0 || len(p.withoutAdvice(s, 1)) > 0) {
		return startsLate
	}
	return neverStarts
}

// hasAmpleRoom reports whether ampleShare is free of each resource that a step needs, on the
// workers that may run it.
func (p *planner) hasAmpleRoom(s *Step) bool {
	var free, capacity lovagestand.Resources
	for _, i := range p.eligible(s, false) {
		free, capacity = free.Add(p.Workers[i].Free), capacity.Add(p.Workers[i].Capacity)
	}
	return (s.Needs.MilliCPU == 0 || shareOf(free.MilliCPU, capacity.MilliCPU) >= ampleShare) &&
		(s.Needs.MemoryMiB == 0 || shareOf(free.MemoryMiB, capacity.MemoryMiB) >= ampleShare) &&
		(s.Needs.Accelerators == 0 || shareOf(free.Accelerators, capacity.Accelerators) >= ampleShare)
}

// needsMuchAtOnce reports whether a step may find no room although ampleShare is free: it is a
// gang, or a task of it needs more than that of each worker. A step without advice counts,
// since it may be kept from calls for advice all the same.
func (p *planner) needsMuchAtOnce(s *Step) bool {
	if s.Gang && s.Tasks > 1 || s.NeedsTickets && s.Candidates == nil {
		return true
	}
	return !slices.ContainsFunc(p.eligible(s, false), func(worker int) bool {
		c := p.Workers[worker].Capacity
		return max(shareOf(s.Needs.MilliCPU, c.MilliCPU), shareOf(s.Needs.MemoryMiB, c.MemoryMiB), shareOf(s.Needs.Accelerators, c.Accelerators)) <= ampleShare
	})
}

// shareOf returns a part of a whole as a fraction; 1 if there is a part of nothing.
func shareOf(part, whole int64) float64 {
	switch {
	case whole > 0:
		return float64(part) / float64(whole)
	case part > 0:
		return 1
	}
	return 0
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
	eligible := p.eligible(s, false)
	workers, start := p.earliestStart(s.atOnce(), eligible)
	if workers == nil {
		return nil, time.Time{}
	}
	if s.Gang && s.Locality != nil {
		workers, start = p.preferRack(s, eligible, workers, start)
	}
	until := p.Now.Add(max(0, start.Sub(p.Now)/overrunFactor-fillMargin))
	for _, i := range workers {
		p.reserveOn(i, s.Needs, until)
	}
	p.reserveQuota(s, start)
	return workers, start
}
