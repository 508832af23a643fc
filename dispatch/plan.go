package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Worker is a worker as the plan sees it.
type Worker struct {
	Service  string
	Rack     lovagestand.RackName
	Labels   []string
	Capacity lovagestand.Resources
	Free     lovagestand.Resources
	// Open says that the worker may take new tasks.
	Open bool
	// Slowness is how many times as long as usual tasks run here.
	Slowness float64

	// reservedFrom is when a gang is to start here; shorter tasks may run
	// until then, longer ones only within spare, the room that is left then.
	reservedFrom time.Time
	spare        lovagestand.Resources
}

// Release is an expected end of a task.
type Release struct {
	At    time.Time
	Frees lovagestand.Resources
}

// Candidate is a worker that policy allows for a step.
type Candidate struct {
	Worker int
	// HasTicket says that a ticket for it is at hand and valid.
	HasTicket bool
}

// Step is a step with tasks that wait for a worker.
type Step struct {
	Tasks    int
	Needs    lovagestand.Resources
	Gang     bool
	SameRack bool
	// Service is the one whose workers may run the step; empty for any.
	Service      string
	Label        string
	Affinity     lovagestand.RackName
	MaxPerWorker int
	// Placed counts the step's tasks by worker, for MaxPerWorker.
	Placed map[int]int
	// Avoid are workers on which a task of the step has failed.
	Avoid map[int]bool
	// NeedsTickets says that tasks need tickets; Candidates are then the workers
	// known to be allowed, nil before the first advice.
	NeedsTickets bool
	Candidates   []Candidate
	// AdviceKnown reports whether the policy's answer for a worker is known; nil for
	// none.
	AdviceKnown func(worker int) bool
	// Seed spreads the workers that different steps ask about.
	Seed uint64
	// AdvicePending are the workers that calls for advice under way name.
	AdvicePending map[int]bool
	// AllowedShare is the part of the workers that policy usually allows for
	// steps of this kind.
	AllowedShare float64
	// RenewAhead is how long before a reserved start tickets are renewed, so
	// that the room is not idle while the call is under way.
	RenewAhead time.Duration
	// RunTime is how long one task is expected to run.
	RunTime time.Duration
	Score   float64
}

// matches reports whether a worker may run the step, now or later.
func (s *Step) matches(w *Worker) bool {
	return (s.Service == "" || w.Service == s.Service) && (s.Label == "" || slices.Contains(w.Labels, s.Label))
}

// Decision is what becomes of one step in this pass.
type Decision struct {
	// Step is the index of the step.
	Step int
	// Workers has the worker of each task to start, by index.
	Workers []int
	// AdviceFor lists workers about which to ask for advice.
	AdviceFor []int
}

const (
	// minReservations and workersPerReservation bound how many gangs that do
	// not fit reserve workers.
	minReservations       = 2
	workersPerReservation = 60
	// reservationHorizon is how far ahead a reservation may lie.
	reservationHorizon = 10 * time.Second
	// maxWorkersPerCall and minAsk bound how many workers one call for advice names.
	maxWorkersPerCall = 96
	minWorkersPerCall = 48
	// hashMultiplier mixes seeds and workers: an odd number near the golden
	// ratio of 64 bits.
	hashMultiplier = 0x9e3779b97f4a7c15
	// workersPerTask is how many workers are named for each task.
	workersPerTask = 5
	// maxInitialCalls bounds the calls with which a gang's first workers are asked
	// about side by side, and spareRoom is how much room, times what the gang
	// needs, they should have: some of it is gone when the answers arrive.
	maxInitialCalls   = 3
	initialRoomFactor = 1.5
	// slownessPenalty is how much packing a slow worker must save.
	slownessPenalty = 0.4
	// affinityBonus prefers workers next to the data.
	affinityBonus = 2
	// avoidPenalty keeps tasks off workers on which one of their step failed.
	avoidPenalty = 4
)

// Load is what one pass decides about.
type Load struct {
	Now     time.Time
	Workers []Worker
	// Releases returns when running tasks of a worker are expected to end,
	// soonest first; nil for never.
	Releases func(worker int) []Release
	Steps    []Step
	// AdviceCalls bounds the calls for advice that the pass decides on.
	AdviceCalls int
}

// planner works through the steps of one pass.
type planner struct {
	Load
	releases     [][]Release
	reservations int
	decisions    []Decision
}

// Plan decides for all steps, best score first. It changes the free resources
// of workers to what is left.
func Plan(l Load) []Decision {
	p := &planner{Load: l, releases: make([][]Release, len(l.Workers))}
	p.reservations = max(minReservations, len(l.Workers)/workersPerReservation)
	order := make([]int, len(l.Steps))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(l.Steps[b].Score, l.Steps[a].Score) })
	for _, i := range order {
		p.decide(i, &l.Steps[i])
	}
	return p.decisions
}

func (p *planner) decide(index int, s *Step) {
	if s.NeedsTickets && s.Candidates == nil {
		if len(s.AdvicePending) == 0 {
			p.requestAdvice(index, p.initialAdvice(s))
		}
		return
	}
	chosen := p.allocate(s, p.eligible(s, true))
	if len(chosen) == s.Tasks || !s.NeedsTickets && len(chosen) > 0 && !s.Gang {
		p.decisions = append(p.decisions, Decision{Step: index, Workers: chosen})
		return
	}
	if !s.Gang && len(chosen) > 0 {
		p.decisions = append(p.decisions, Decision{Step: index, Workers: chosen})
	} else {
		p.deallocate(s, chosen)
	}
	if s.NeedsTickets {
		p.renewTickets(index, s, len(chosen))
		return
	}
	p.reserve(s)
}
