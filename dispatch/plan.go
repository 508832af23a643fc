package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Worker is the state of a worker that [Plan] needs.
type Worker struct {
	Service  string
	Rack     lovagestand.RackName
	Labels   []string
	Capacity lovagestand.Resources
	Free     lovagestand.Resources
	// Open indicates that the worker accepts new tasks.
	Open bool
	// Slowness is the factor by which tasks take longer here than usual, or than expected
	// at Speed where that is set.
	Slowness float64
	// Speed is how much faster than usual the machine of the worker is; 0 where it is not
	// known. It is set only if [Load.Uneven] is.
	Speed float64
	// Quiet indicates that no task has started here recently, so that the crash of the
	// worker after the start of a suspect shows that the suspect has caused it.
	Quiet bool
	// OnTrial indicates that a suspect has just started here. The worker is not open.
	OnTrial bool
	// SharesTrials indicates that further suspects may start here beside those on trial, and
	// CrashTimes holds when these would crash the worker: as long after their start as their
	// former run had lasted.
	SharesTrials bool
	CrashTimes   []time.Time

	// reservedFrom is when a gang is expected to start here. Tasks that end before
	// then may use all free resources, longer ones only spare, the resources that
	// remain free once the gang has started.
	reservedFrom time.Time
	spare        lovagestand.Resources
	// starts is the number of tasks that the pass starts here. keptFor is the number of
	// the step whose suspects the worker is kept for; 0 for none.
	starts, keptFor int
	// class is the worker's class by speed, set only if [Load.Uneven] is.
	class speedClass
}

// Release is the expected release of a task's resources when the task ends.
type Release struct {
	At    time.Time
	Frees lovagestand.Resources
	// Spread is the standard deviation of At.
	Spread time.Duration
}

// Candidate is a worker that the policy service has allowed for a step.
type Candidate struct {
	Worker int
	// HasTicket indicates that a valid ticket for the worker is available.
	HasTicket bool
	// TicketUntil is until when the ticket can be used. Only [Preempt] uses it.
	TicketUntil time.Time
}

// Step is a step with tasks that wait for a worker.
type Step struct {
	Tasks int
	// Suspects is how many of the tasks may crash the worker that starts them. They are
	// the first of the step.
	Suspects int
	// CrashAges holds after which time each suspect would crash its worker, by its former run.
	// Such suspects may share a worker with those of other steps; nil if they may not.
	CrashAges []time.Duration
	Needs     lovagestand.Resources
	Gang      bool
	SameRack  bool
	// Service limits the step to the workers of one service; empty means any.
	Service      string
	Label        string
	Affinity     lovagestand.RackName
	MaxPerWorker int
	// Placed is the number of the step's tasks by worker, for MaxPerWorker.
	Placed map[int]int
	// Avoid contains the workers on which a task of the step has failed.
	Avoid map[int]bool
	// NeedsTickets indicates that a task needs a ticket to start. Candidates are
	// then the workers that policy allows, nil before the first advice.
	NeedsTickets bool
	Candidates   []Candidate
	// AdviceKnown reports whether a worker was covered by an advice reply, whether
	// it was allowed or not. A nil function reports false for all workers.
	AdviceKnown func(worker int) bool
	// Seed varies the order of workers that are otherwise equal, so that different
	// steps request advice on different workers.
	Seed uint64
	// AdvicePending contains the workers named in pending advice calls.
	AdvicePending map[int]bool
	// AllowedShare is the fraction of the workers that policy usually allows for
	// steps of this kind.
	AllowedShare float64
	// RenewAhead is how long before a reserved start tickets are renewed, so that
	// the reserved workers are not idle while the call is pending.
	RenewAhead time.Duration
	// RunTime is the expected run time of one task.
	RunTime time.Duration
	// Tier and Score order the steps of a pass: the lowest tier first, and within a tier
	// the highest score; see [Score].
	Tier  int
	Score float64
	// Held contains a worker for each task of a gang whose tickets were requested when
	// there was room for it. The room is held until HeldUntil; see [Load.HoldRenewals].
	Held      []int
	HeldUntil time.Time
	// LongAdvice indicates that advice calls of the step occupy a client for so long that
	// only some of the clients serve them.
	LongAdvice bool
	// Expired indicates that the job is too late to be of use.
	Expired bool
	// Team is the team of the step's job; nil if it has none.
	Team *Team
	// Locality is what the step gains near its data or within one rack; nil if it does not
	// wait for that.
	Locality *Locality
	// Work describes the remaining work of the step's job. Only [Preempt] uses it.
	Work Work
	// Kept is for how many tasks of the step room is kept on each worker after a
	// preemption. No other step is given that room.
	Kept map[int]int
	// Waited is for how long tasks of the step could have started and none has.
	Waited time.Duration

	// firstTurn is the place of the step among those that are decided before others, from 1;
	// 0 if it is not. See grantFirstTurns.
	firstTurn int
	// trialTurn indicates that the step is the suspect that is decided before others. See
	// grantTrialTurn.
	trialTurn bool
	// number identifies the step in the pass; it starts at 1.
	number int
	// class is the class of workers on which a gang runs.
	class speedClass
	// deferral is 1 for a step that can wait for those that cannot, set only if
	// [Load.Uneven] is.
	deferral int
}

// matches reports whether a worker has the service and the label that the step
// requires.
func (s *Step) matches(w *Worker) bool {
	return s.runsOn(w) && Shape{Service: s.Service, Label: s.Label}.matches(w)
}

// Decision is what one pass decides for a step. A step may have several.
type Decision struct {
	// Step is the index of the step.
	Step int
	// Workers contains the index of a worker for each task to start.
	Workers []int
	// AdviceFor contains the indexes of the workers to name in one advice call.
	AdviceFor []int
	// IfIdle indicates that the call is to be made only through an idle client.
	IfIdle bool
	// Hold contains a worker for each task of a gang whose tickets AdviceFor renews, alone or
	// with other calls. The room there is to be held until all replies; see
	// [Load.HoldRenewals].
	Hold []int
	// Wait is set if tasks wait that could start elsewhere.
	Wait Wait
	// FirstTurn indicates that Workers were given to a step that was decided before others of
	// higher rank; see [Load.FirstTurnPaused].
	FirstTurn bool
}

const (
	// minReservations and workersPerReservation bound the gangs that reserve
	// workers in one pass: one for every workersPerReservation workers, but at
	// least minReservations.
	minReservations       = 2
	workersPerReservation = 60
	// reservationHorizon is the longest time from now to a reserved start.
	reservationHorizon = 10 * time.Second
	// maxWorkersPerCall and minWorkersPerCall bound the workers that one advice
	// call names.
	maxWorkersPerCall = 96
	minWorkersPerCall = 48
	// hashMultiplier hashes a seed and a worker index (Fibonacci hashing): it is
	// the odd number closest to 2^64 divided by the golden ratio.
	hashMultiplier = 0x9e3779b97f4a7c15
	// workersPerTask is how many workers an advice call names for each task,
	// within those bounds.
	workersPerTask = 5
	// maxInitialCalls bounds the concurrent calls of a gang's first request for
	// advice. The workers named should be likely to have initialRoomFactor times
	// the room that the gang needs, since some of it is taken before the replies
	// arrive.
	maxInitialCalls   = 3
	initialRoomFactor = 1.5
	// slownessPenalty is added to a worker's cost for each unit of slowness above
	// 1. A worker that takes twice as long is chosen only if its share of free
	// processors after the placement is smaller by this much.
	slownessPenalty = 0.4
	// affinityBonus is subtracted from the cost of workers on the rack that holds
	// the step's data, if the step has no Locality.
	affinityBonus = 2
	// avoidPenalty is added to the cost of workers on which a task of the step has
	// failed.
	avoidPenalty = 4
)

// Load is the input of one pass.
type Load struct {
	Now     time.Time
	Workers []Worker
	// Releases returns the expected releases of the tasks that run on a worker,
	// soonest first. If the function is nil, no task is expected to end.
	Releases func(worker int) []Release
	Steps    []Step
	// AdviceCalls is the largest number of advice calls that the pass may decide
	// on.
	AdviceCalls int
	// LongAdviceCalls is how many of these calls may be for steps with LongAdvice, if
	// HoldRenewals is set.
	LongAdviceCalls int
	// HoldRenewals plans advice as a scarce resource. It answers the load of gangs whose
	// advice calls take as long as the tasks of other steps run: without it, other steps
	// take the room while the tickets are being renewed, and the tickets expire unused.
	HoldRenewals bool
	// ExpiredHeadroom is the fraction of the processors of open workers that steps of
	// expired jobs leave free. It answers the load of a backlog of jobs that are too late
	// to be of use: without it, they fill each trough of the load and the next burst finds
	// no room.
	ExpiredHeadroom float64
	// Uneven indicates that the speeds of the workers differ much. It answers the load of
	// gangs with members on slow workers: without it, the fast ones are idle for most of the
	// gang's run time.
	Uneven bool
	// FirstTurnPaused indicates that no step is decided before others because it has waited
	// long, unless much room is free. A pause after each start of such a step bounds what late
	// steps take from others.
	FirstTurnPaused bool
	// IdleAdviceClients is how many clients have no call to make. They are used to
	// request advice on further workers for steps that wait.
	IdleAdviceClients int
	// beforeDecision, if set, is called before the decision on each step. It changes
	// nothing; see [Explain].
	beforeDecision func(p *planner, step int)
}

// planner holds the state of one pass.
type planner struct {
	Load
	// releases caches the results of Load.Releases by worker.
	releases [][]Release
	// reservations is how many more gangs may reserve workers.
	reservations int
	// trials is how many more workers may be given to suspects, and held reports
	// whether one was kept for a task of the step that is being decided.
	trials    int
	held      bool
	decisions []Decision
	// free and capacity are the processors of the open workers. idle reports whether the
	// pass began with less than half of the processors of all workers in use.
	free, capacity int64
	idle           bool
	// claims holds the room that steps wait for, by worker.
	claims map[int][]claim
	// othersWait reports whether the pass began with more demand than free capacity, and
	// loaded with most of the capacity of a service in use. They are set only if a step has
	// Locality.
	othersWait bool
	loaded     map[string]bool
	// waitDecisions is how many steps the pass has considered for a wait near their data.
	waitDecisions int
	// classChoices is for how many more gangs the pass chooses a class of workers.
	classChoices int
	// classRooms is reused by the choices; it is indexed by interval and class.
	classRooms []classRoom
	scratch    scratch
}

// scratch holds slices that are used again for each step, because the garbage of a pass with
// hundreds of waiting steps took as long as its decisions.
type scratch struct {
	eligible []int
	options  []option
	slots    []slot
	ranking  []ranked
	marks    []bool
}

// workers returns a false for each of a number of workers. It is valid until the next call.
func (s *scratch) workers(count int) []bool {
	s.marks = slices.Grow(s.marks[:0], count)[:count]
	clear(s.marks)
	return s.marks
}

// Plan decides which tasks start now and which advice to request, highest score
// first. It reduces the free resources of l.Workers and the headroom of the teams by
// what it places and by the room that it keeps for steps whose tickets are being
// renewed.
func Plan(l Load) []Decision {
	p := &planner{Load: l, releases: make([][]Release, len(l.Workers))}
	p.reservations = max(minReservations, len(l.Workers)/workersPerReservation)
	p.classify()
	p.trials = trialsLeft(l.Workers)
	used, total := int64(0), int64(0)
	for i := range l.Workers {
		w := &l.Workers[i]
		used += w.Capacity.Sub(w.Free).MilliCPU
		total += w.Capacity.MilliCPU
		if w.Open {
			p.free += w.Free.MilliCPU
			p.capacity += w.Capacity.MilliCPU
		}
	}
	p.idle = 2*used < total
	if slices.ContainsFunc(l.Steps, func(s Step) bool { return s.Locality != nil }) {
		p.othersWait, p.loaded = l.overloaded(), l.loadedServices()
	}
	for i := range l.Steps {
		l.Steps[i].number = i + 1
		p.withholdKept(&l.Steps[i], l.Steps[i].Kept)
	}
	p.grantFirstTurns()
	p.grantTrialTurn()
	order := stepOrder(l.Steps)
	p.holdForRenewals()
	for _, i := range order {
		if p.beforeDecision != nil {
			p.beforeDecision(p, i)
		}
		p.decideWithKept(i, &l.Steps[i])
	}
	p.requestIdleAdvice(order)
	for i := range p.decisions {
		d := &p.decisions[i]
		d.FirstTurn = len(d.Workers) > 0 && p.Steps[d.Step].firstTurn > 0
	}
	return p.decisions
}

// stepOrder returns the indexes of the steps in the order in which a pass decides.
func stepOrder(steps []Step) []int {
	order := make([]int, len(steps))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(steps[a].turn(), steps[b].turn()), cmp.Compare(steps[a].firstTurn, steps[b].firstTurn), cmp.Compare(steps[a].Tier, steps[b].Tier), cmp.Compare(steps[a].deferral, steps[b].deferral), cmp.Compare(steps[b].Score, steps[a].Score))
	})
	return order
}

// withholdKept withholds the room that is kept for a step from all steps. The free
// resources of a worker become negative while the preempted runs are being stopped.
func (p *planner) withholdKept(s *Step, kept map[int]int) {
	for worker, tasks := range kept {
		w := &p.Workers[worker]
		w.Free = w.Free.Sub(s.Needs.Times(int64(tasks)))
	}
}

// decideWithKept decides for a step that may use the room that is kept for it. It leaves
// in s.Kept what the step has not used.
func (p *planner) decideWithKept(index int, s *Step) {
	if len(s.Kept) == 0 {
		p.decide(index, s)
		return
	}
	rest := make(map[int]int, len(s.Kept))
	for worker, tasks := range s.Kept {
		w := &p.Workers[worker]
		w.Free = w.Free.Add(s.Needs.Times(int64(tasks)))
		rest[worker] = tasks
	}
	decided := len(p.decisions)
	p.decide(index, s)
	for _, d := range p.decisions[decided:] {
		for _, worker := range d.Workers {
			if rest[worker] > 0 {
				rest[worker]--
			}
		}
	}
	s.Kept = rest
	p.withholdKept(s, rest)
}

func (p *planner) decide(index int, s *Step) {
	if s.awaitsRenewal() || p.leavesNoHeadroom(s) {
		return
	}
	p.chooseClass(s)
	s, held := p.withinQuota(s)
	if held > 0 {
		p.Steps[index].Team.HeldTasks += held
	}
	if s == nil {
		p.reserveQuota(&p.Steps[index], p.Now)
		return
	}
	if s.firstTurn > 0 {
		// The rest of a step that is no gang waits for its turn.
		s = s.atOnce()
	}
	if s.NeedsTickets && s.Candidates == nil {
		if len(s.AdvicePending) == 0 && p.mayRequestAdvice(s) && s.Team.admitAdvice(s) {
			p.requestAdvice(index, p.initialAdvice(s))
		}
		return
	}
	p.held = false
	if s.Locality != nil && s.Suspects == 0 {
		p.decideByLocality(index, s)
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
	switch {
	case p.held:
	case s.NeedsTickets:
		p.renewTickets(index, s, len(chosen))
	default:
		p.reserve(s)
	}
}
