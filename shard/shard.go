package shard

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
	"lovagestand.example/lovagestand/quota"
	"lovagestand.example/lovagestand/shares"
	"lovagestand.example/lovagestand/speed"
)

// AdviceClient is an instance that can request advice from the policy service. It
// serves one call at a time.
type AdviceClient struct {
	Instance lovagestand.InstanceID
	// SameRegion reports whether the instance is in the owner's region.
	SameRegion bool
	// Advise requests advice through this instance.
	Advise func(ctx context.Context, step string, workers []lovagestand.WorkerName) (lovagestand.Advice, error)
}

// Deps are the dependencies of a shard.
type Deps struct {
	Fleet lovagestand.Fleet
	Store *jobstore.Store
	// AdviceClients returns the instances through which advice can be requested now.
	AdviceClients func() []AdviceClient
	// Confirmed reports whether the ownership has been confirmed recently.
	Confirmed func() bool
	// Assured reports whether no other owner is expected to send orders to workers.
	Assured func() bool
	// Teams returns the policies of the teams in the configuration in force. It returns
	// false before any configuration has been read; no job of a team is started then. A
	// nil function means that there are no teams.
	Teams func() (Teams, bool)
	// Services returns the services of the routes in the configuration in force. It returns
	// false before any configuration has been read. A nil function means that jobs keep the
	// services with which they were accepted.
	Services func() (Services, bool)
	// Move passes a job on to the owner of another shard, which must return once it has
	// stored the job; see [Shard.Receive]. It is nil in a cell with one shard.
	Move func(ctx context.Context, shard string, id job.ID, value []byte) error
	// Knows reports whether the owner of another shard knows a job that was moved there. It
	// is nil in a cell with one shard.
	Knows func(ctx context.Context, shard string, id job.ID) (bool, error)
	// Load returns the load of another shard as its owner answers it; see
	// [Shard.ShardLoad]. It is nil in a cell with one shard.
	Load func(ctx context.Context, shard string) (dispatch.ShardLoad, error)
	// DividedCaps indicates that the caps are divided among several shards. The shard then
	// starts tasks of a team with a cap only within [Shard.SetShares].
	DividedCaps bool
	// JobMemory returns the memory that the jobs of the shard may take, in bytes. A nil
	// function means that there is no bound.
	JobMemory func() int64
	Log       zerolog.Logger
	Recorder  lovagestand.Recorder
}

// Limits are the limits and intervals that the platform sets.
type Limits struct {
	// MaxLease is the longest lease that a worker may be given.
	MaxLease time.Duration
	// Retention is how long the state of a finished job is stored.
	Retention time.Duration
	// HeartbeatTimeout is how long the heartbeat of a worker must be missing before
	// the platform removes the worker's entry from the list.
	HeartbeatTimeout time.Duration
	// ListInterval is the time between two reads of the list of workers.
	ListInterval time.Duration
	// CheckpointInterval is the time between two checkpoints of a task that makes
	// checkpoints.
	CheckpointInterval time.Duration
	// StopTimeout is the maximum duration of a stop, RestoreDelay how long a task that
	// resumes from a checkpoint waits before it continues.
	StopTimeout, RestoreDelay time.Duration
	// Preemption allows runs of less urgent jobs to be stopped for more urgent ones.
	Preemption bool
	// UnevenWorkers allows tasks to be placed by the learned speeds of the workers where the
	// fleet shows that its machines differ much.
	UnevenWorkers bool
	// Overlap is how long after the start of this term a former owner may still
	// extend the lease of a worker that this owner cannot reach.
	Overlap time.Duration
}

// Shard is the state of a shard in one term. It is safe for concurrent use.
type Shard struct {
	deps   Deps
	term   jobstore.Term
	limits Limits
	log    zerolog.Logger

	mu sync.Mutex
	// ctx is cancelled at the end of the term.
	ctx    context.Context
	cancel context.CancelFunc
	// jobs holds every known job, live those that have not ended.
	jobs map[job.ID]*jobEntry
	live map[job.ID]*jobEntry
	// memory is what jobs take. rejectedSinceLog counts the jobs that were rejected for want
	// of it since fullLoggedAt.
	memory           jobMemory
	rejectedSinceLog int
	fullLoggedAt     time.Time
	// unreadable holds the stored jobs that this version cannot decode.
	unreadable map[job.ID]bool
	workers    map[lovagestand.WorkerName]*worker
	// stuck holds the workers on which tasks stand still, as of the last pass.
	stuck []*worker
	// workersByName holds the workers by name; nil after one was added or removed.
	workersByName []*worker
	// teamNumbers holds the numbers of the teams that have had jobs.
	teamNumbers map[lovagestand.TeamName]int
	// fleetVersion counts how often workersByName was built and workers became absent or
	// present.
	fleetVersion int64
	// staffed holds the services with workers, as of servicesVersion of the fleet.
	staffed         map[string]bool
	servicesVersion int64
	// slots holds which numbers of tasks the workers can hold, as of slotsVersion of the
	// fleet.
	slots        map[slotsKey]bool
	slotsVersion int64
	// ready holds the workers that are not about to leave, as of slotsVersion; nil when it
	// must be built again.
	ready []dispatch.Worker
	// otherShards holds the workers of the other shards that can be given tasks.
	otherShards map[string][]dispatch.Worker
	// moving holds the jobs that are being moved to other shards, and movesInFlight counts
	// the calls for that. blockedPasses counts the passes that looked for jobs to move.
	moving        map[job.ID]*jobEntry
	movesInFlight int
	blockedPasses int64
	balancer      balancer
	// passNumber counts the passes that have considered steps. wholeQueue reports whether
	// the next one considers steps of the whole queue.
	passNumber int64
	wholeQueue bool
	// firstTurnPausedUntil is until when no step is decided before others because it has
	// waited long.
	firstTurnPausedUntil time.Time
	// unacknowledged holds the workers that may have listed ends which are not
	// acknowledged, because they are not stored.
	unacknowledged map[*worker]bool
	// workersListed reports whether the list of workers has been received.
	workersListed bool
	// listReadAt is when the list was last received, listReadSince the begin of the time
	// in which it has been received without gaps.
	listReadAt, listReadSince time.Time
	// listSentAt is when the read of the list that was received last was sent.
	listSentAt time.Time
	// closing reports whether the term is ending; no new jobs are accepted then.
	closing bool
	// ownershipCheck is the next read of the ownership from the store; nil when no
	// caller waits for one.
	ownershipCheck *ownershipCheck

	// queue holds the jobs to be written. Positions in the queue count from 1 over
	// the whole term; everything up to writtenPosition is durable.
	queue             []*jobEntry
	lastQueuePosition int64
	writtenPosition   int64
	writeRequested    chan struct{}
	// stalled reports whether a write takes so long that new jobs are rejected.
	stalled bool
	// afterOutage reports whether what was queued during an outage of the store is being
	// written.
	afterOutage bool
	// inFlight holds the batches that are being written, by lane. laneBusy marks the
	// lanes after the first in which an extra writer runs; extraWriters waits for
	// those writers.
	inFlight [jobstore.Lanes][]batchEntry
	laneBusy [jobstore.Lanes]bool
	// completedWrites counts the completed writes of each lane.
	completedWrites [jobstore.Lanes]int
	// lastWriteSlow reports whether the last write took longer than slowWriteAfter.
	lastWriteSlow bool
	extraWriters  sync.WaitGroup
	// rosterChanges counts the changes to the roster that have not been encoded for
	// a write.
	rosterChanges int64

	// loadedAt is when the jobs were loaded at the start of the term.
	loadedAt time.Time
	// replacedWorkers holds the workers in whose place another one has answered before
	// all runs of former terms were known.
	replacedWorkers map[lovagestand.WorkerName]bool
	// unresolved holds the workers that may still run tasks of a former term.
	unresolved map[lovagestand.WorkerName]rosterEntry
	// formerConnections holds the connections of former owners to the workers of the roster.
	formerConnections map[lovagestand.WorkerName]connectionUse
	// rosterUnreadable reports whether the stored roster could not be decoded, so
	// that workers missing from unresolved may run such tasks too.
	rosterUnreadable bool
	// resolved reports whether everything that former terms started is known.
	resolved bool

	// teamUsage is what the runs of each team hold on the workers.
	teamUsage map[lovagestand.TeamName]lovagestand.Resources
	// former is what runs of former terms may hold that are not known yet.
	former formerRuns
	// held describes the teams that are held back by their quotas, or were until recently.
	held map[lovagestand.TeamName]*heldTeam
	// shares is what each team may use in the shard if the caps are divided.
	shares shares.Grant
	// teamUsages is what waits of each team as of the last pass.
	teamUsages map[lovagestand.TeamName]quota.Usage
	// teamStatus is the status of the teams as of the last pass.
	teamStatus []TeamStatus

	// backlog is the work that waits as of the last pass, nil without teams. beyond holds
	// the teams that have waiting steps beyond their entitlement.
	backlog *backlog
	beyond  map[lovagestand.TeamName]*beyondPeriod

	// kept is the room that is kept for tasks of steps after preemptions.
	kept []*keptRoom
	// averageStopTime is the average duration of the stops of preempted runs; 0 before
	// the first one.
	averageStopTime time.Duration

	// speeds learns the speeds of the workers if Limits.UnevenWorkers is set.
	speeds *speed.Fleet
	// unevenness describes the fleet as of the last update of the speeds.
	unevenness speed.Summary

	// summarizedAt is when the load was last logged.
	summarizedAt time.Time
	// passes and slowestPass describe the planning passes since then.
	passes      int
	slowestPass time.Duration
	// longestWait and longestWaitWithRoom are those of the last summary; nil if there are
	// none.
	longestWait, longestWaitWithRoom *watchedStep
	// reused is the state of the last pass, whose slices the next one uses again.
	reused pass

	// wakeup starts a planning pass.
	wakeup       chan struct{}
	adviceSlots  map[lovagestand.InstanceID]*adviceSlot
	statsByRoute map[lovagestand.RouteName]*routeStats
	random       *rand.Rand
	// lost is closed once the term is known to be over.
	lost     chan struct{}
	loseOnce sync.Once
}

// New returns a shard for a term.
func New(term jobstore.Term, limits Limits, deps Deps) *Shard {
	ctx, cancel := context.WithCancel(context.Background())
	return &Shard{
		ctx: ctx, cancel: cancel, deps: deps, term: term, limits: limits,
		log:  deps.Log.With().Str("shard", term.Shard).Uint64("epoch", uint64(term.Epoch)).Logger(),
		jobs: map[job.ID]*jobEntry{}, live: map[job.ID]*jobEntry{}, unreadable: map[job.ID]bool{}, workers: map[lovagestand.WorkerName]*worker{},
		unacknowledged: map[*worker]bool{}, moving: map[job.ID]*jobEntry{},
		balancer:       balancer{loads: map[string]otherLoad{}, failed: map[string]bool{}},
		writeRequested: make(chan struct{}, 1), wakeup: make(chan struct{}, 1),
		unresolved: map[lovagestand.WorkerName]rosterEntry{}, formerConnections: map[lovagestand.WorkerName]connectionUse{}, replacedWorkers: map[lovagestand.WorkerName]bool{},
		teamUsage: map[lovagestand.TeamName]lovagestand.Resources{}, held: map[lovagestand.TeamName]*heldTeam{}, former: newFormerRuns(),
		teamNumbers: map[lovagestand.TeamName]int{}, speeds: speed.New(),
		beyond:      map[lovagestand.TeamName]*beyondPeriod{},
		adviceSlots: map[lovagestand.InstanceID]*adviceSlot{}, statsByRoute: map[lovagestand.RouteName]*routeStats{},
		random: rand.New(rand.NewPCG(uint64(term.Epoch), 1)), lost: make(chan struct{}),
	}
}

// jobEntry is a job with everything that this term has recorded about it.
type jobEntry struct {
	id       job.ID
	route    lovagestand.RouteName
	team     lovagestand.TeamName
	progress *job.Progress
	body     []byte
	// weight is the memory that the entry takes, see [Shard.keep].
	weight int64
	// phase replaces progress, which is nil once the end of the job is durable and
	// none of its tasks is active.
	phase string
	// finishedAt is when the job ended.
	finishedAt time.Time
	// unsubmitted reports whether the job was cancelled before it was submitted.
	// expired reports whether its retention has passed, so that the next write
	// removes it.
	unsubmitted, expired bool
	// cancelledBy holds the teams whose cancellations of an unsubmitted job are
	// recorded. It is empty for any other job.
	cancelledBy []lovagestand.TeamName
	// generation counts the changes after which a write in flight no longer describes
	// the entry: it makes neither the job nor its end durable.
	generation int

	// durable reports whether the job is stored, endDurable whether its end is
	// stored, and writing whether a write of it is in flight.
	durable, endDurable, writing bool
	// queuePosition is the position in the write queue; 0 when the entry is not
	// queued.
	queuePosition int64
	// waiters receive the outcome of the write that the entry is queued for.
	waiters []chan error

	// recovered reports whether the job was loaded from the store; tasks of it may
	// be running that this term has not seen.
	recovered bool
	// ordered reports whether this term has ordered a task of the job to start.
	ordered bool
	// started reports whether a worker has reported a run of a task of the job. An
	// order alone may never be carried out.
	started bool
	steps   map[job.StepRef]*stepState
	// teamNumber is the number of the team numberedTeam; see [Shard.teamNumber].
	teamNumber   int
	numberedTeam lovagestand.TeamName
	// stats are the averages of the route; see [Shard.statsOf].
	stats *routeStats
	// objective is the time in which the job should complete.
	objective time.Duration
	// longRunning is [job.Job.LongRunning].
	longRunning bool
	// totalCoreTime is the estimated core time of one occurrence.
	totalCoreTime time.Duration
	// remainingCoreTime and criticalPath are the work left in the occurrence
	// measuredOccurrence. They are computed again when workStale is set.
	remainingCoreTime, criticalPath time.Duration
	measuredOccurrence              int
	workStale                       bool
	// active holds the current run of each task, by task name.
	active map[string]*placement
	// service is the service whose workers run the tasks that start now.
	service string
	// heldRuns counts the runs that workers may hold of each task, including runs
	// that are being stopped. A task does not start elsewhere before they have ended.
	heldRuns map[string]int
	// former is what runs of former terms may hold of the tasks of a recovered job of a
	// team, without the tasks in accounted: each is stored as done, or its run or its end
	// was listed in this term. Of a job that had ended before this term, it is what the
	// stored record states.
	former    lovagestand.Resources
	accounted map[job.Task]bool
	// failedOn holds the first workers on which tasks of the job have failed since one has
	// completed.
	failedOn map[lovagestand.WorkerName]bool
	// crashAges is how long the lost run of each suspect had lasted, by task name.
	crashAges map[string]time.Duration
	// lost holds the last lost run of each task, by task name.
	lost map[string]lostRun
	// preempted holds the tasks of which a run was preempted, by task name.
	preempted map[string]preemptedTask
	// move describes the move of the job to another shard.
	move moveState
	// crashPosition is the position in the write queue of the last recorded crash.
	crashPosition int64
}

// releaseHeldRun records that one run of a task is held no longer.
func (e *jobEntry) releaseHeldRun(task string) {
	e.heldRuns[task]--
	if e.heldRuns[task] <= 0 {
		delete(e.heldRuns, task)
	}
}

// startable returns the indexes of the waiting tasks of a step of which no worker
// may hold a run.
// It appends them to a slice.
func (e *jobEntry) startable(to []int, ref job.StepRef) []int {
	waiting := e.progress.AppendWaiting(to, ref)
	if len(e.heldRuns) == len(e.active) {
		return waiting
	}
	j := e.progress.Job()
	free := waiting[:len(to)]
	for _, i := range waiting[len(to):] {
		if e.heldRuns[j.TaskName(job.Task{Occurrence: ref.Occurrence, Step: ref.Step, Index: i})] == 0 {
			free = append(free, i)
		}
	}
	return free
}

// stepState is what the planner needs to place the tasks of one step.
type stepState struct {
	// waitingSince is when a pass first found tasks of the step that can start, since a task
	// of it was last placed; zero if none has found any.
	waitingSince time.Time
	// pendingRequests counts the pending advice requests that name a worker.
	pendingRequests map[*worker]int
	// advised reports whether advice for the step has arrived.
	advised bool
	// decided holds the workers for which the policy's answer is known. The answer
	// does not change during a step.
	decided map[*worker]bool
	tickets map[*worker]ticket
	// byName holds the tickets by the names of their workers; nil when it must be built
	// again.
	byName []workerTicket
	candidates
	// held holds a worker for each task of a gang, where room is held until heldUntil
	// while the gang's tickets are being renewed.
	held      []*worker
	heldUntil time.Time
	// placed counts the active placements of the step on each worker.
	placed map[lovagestand.WorkerName]int
	// avoid counts the failures of the step's tasks on each worker.
	avoid map[lovagestand.WorkerName]int
	// localitySince is when the step first waited for workers near its data or for one rack;
	// zero if it has not. localityWait is the wait that goes on.
	localitySince time.Time
	localityWait  localityWait
	// preemptions counts the tasks of the step for which runs were preempted.
	preemptions int
	// shortestRun is the shortest time that a task of the step has taken; 0 if none has
	// ended.
	shortestRun time.Duration
	// lastConsidered is the number of the last pass over the whole queue that has
	// considered the step.
	lastConsidered int64
	// cause is why the workers cannot hold the step, as of causeVersion of the fleet and
	// causeDecided workers in decided.
	cause        unplaceableCause
	causeVersion int64
	causeDecided int
}

// setTicket sets the ticket of a step for a worker.
func (st *stepState) setTicket(w *worker, t ticket) {
	st.byName, st.candidates = nil, candidates{}
	st.tickets[w] = t
}

// workerTicket is the ticket of a step for a worker.
type workerTicket struct {
	*worker
	until time.Time
}

// ticketsByName returns the tickets of the step, also the expired ones, by the names of
// their workers.
func (st *stepState) ticketsByName() []workerTicket {
	if st.byName == nil {
		for w, t := range st.tickets {
			st.byName = append(st.byName, workerTicket{worker: w, until: t.until})
		}
		slices.SortFunc(st.byName, func(a, b workerTicket) int { return compareWorkers(a.worker, b.worker) })
	}
	return st.byName
}

func compareWorkers(a, b *worker) int { return cmp.Compare(a.info.Name, b.info.Name) }

// ticket is the policy's permission to run tasks of a step on a worker until a time.
type ticket struct {
	value string
	until time.Time
}

// step returns the state of a step and creates it if there is none.
func (e *jobEntry) step(ref job.StepRef) *stepState {
	s := e.steps[ref]
	if s == nil {
		s = &stepState{pendingRequests: map[*worker]int{}, decided: map[*worker]bool{}, tickets: map[*worker]ticket{}, placed: map[lovagestand.WorkerName]int{}, avoid: map[lovagestand.WorkerName]int{}}
		e.steps[ref] = s
	}
	return s
}

func newJobEntry(p *job.Progress, body []byte) *jobEntry {
	return &jobEntry{
		id: p.Job().ID, route: p.Job().Policy.Route, service: p.Job().Policy.Service, team: p.Job().Team, progress: p, body: body, started: p.Started(),
		steps: map[job.StepRef]*stepState{}, active: map[string]*placement{}, heldRuns: map[string]int{},
		crashAges: map[string]time.Duration{}, failedOn: map[lovagestand.WorkerName]bool{}, longRunning: p.Job().LongRunning(),
	}
}

// newFinishedJobEntry returns an entry for a job of which only the end is known.
func newFinishedJobEntry(id job.ID, route lovagestand.RouteName, team lovagestand.TeamName, phase string, finishedAt time.Time) *jobEntry {
	return &jobEntry{id: id, route: route, team: team, phase: phase, finishedAt: finishedAt, active: map[string]*placement{}, heldRuns: map[string]int{}}
}

// currentPhase returns the job's own phase, which may be ahead of the phase that is
// reported to callers.
func (e *jobEntry) currentPhase() string {
	if e.progress != nil {
		return e.progress.Phase()
	}
	return e.phase
}

func (e *jobEntry) final() bool {
	return e.progress == nil || e.progress.Final()
}

// Lost returns a channel that is closed once the term is known to be over.
func (s *Shard) Lost() <-chan struct{} { return s.lost }

// endTerm records that the term is over and why.
func (s *Shard) endTerm(reason string) {
	s.loseOnce.Do(func() {
		s.log.Warn().Str("reason", reason).Msg("term is over")
		close(s.lost)
	})
}

// Run writes jobs and places tasks until ctx ends or the term is over.
func (s *Shard) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.writeLoop(s.ctx) })
	loops.Go(func() { s.planLoop(s.ctx) })
	select {
	case <-ctx.Done():
	case <-s.lost:
	}
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.cancel()
	loops.Wait()
	s.abortWaiters()
}

// abortWaiters answers the callers that still wait with an [UnknownError], because
// their changes may have been written, or with a [NotOwnerError] if their job was in no
// write.
func (s *Shard) abortWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.jobs {
		if s.withdraw(e, &NotOwnerError{}) {
			continue
		}
		notifyWaiters(e.waiters, &UnknownError{})
		e.waiters = nil
	}
}

func notifyWaiters(waiters []chan error, err error) {
	for _, w := range waiters {
		w <- err
	}
}

// wake requests a planning pass.
func (s *Shard) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Status is a summary of a shard for operators.
type Status struct {
	Epoch    uint64 `json:"epoch"`
	Jobs     int    `json:"jobs"`
	LiveJobs int    `json:"liveJobs"`
	// JobMemoryBytes is about the memory that the jobs take.
	JobMemoryBytes     int64 `json:"jobMemoryBytes"`
	Workers            int   `json:"workers"`
	OpenWorkers        int   `json:"openWorkers"`
	RunningTasks       int   `json:"runningTasks"`
	UnsavedJobs        int   `json:"unsavedJobs"`
	StoreStalled       bool  `json:"storeStalled"`
	FormerTermResolved bool  `json:"formerTermResolved"`
	// Teams holds the teams with work in the shard, as of the last pass.
	Teams []TeamStatus `json:"teams,omitempty"`
	// Speeds describes the learned speeds of the workers; nil if they are not learned.
	Speeds *SpeedStatus `json:"speeds,omitempty"`
	// LongestWait is the step that has waited longest, and LongestWaitWithRoom the one among
	// those for which there is room, as of the last summary. They are zero if there are
	// none, and once a task of the step has been placed.
	LongestWait         StepWait `json:"longestWait,omitzero"`
	LongestWaitWithRoom StepWait `json:"longestWaitWithRoom,omitzero"`
}

// Status returns a summary of the shard.
func (s *Shard) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Status{
		Epoch: uint64(s.term.Epoch), Jobs: len(s.jobs), LiveJobs: len(s.live), JobMemoryBytes: s.memory.used, Workers: len(s.workers),
		UnsavedJobs: len(s.queue), StoreStalled: s.stalled, FormerTermResolved: s.resolved, Teams: s.teamStatus,
		Speeds: s.speedStatus(),
	}
	now := time.Now()
	out.LongestWait, out.LongestWaitWithRoom = s.longestWait.wait(now), s.longestWaitWithRoom.wait(now)
	for _, w := range s.workers {
		out.RunningTasks += len(w.placements)
		if s.open(w, now) {
			out.OpenWorkers++
		}
	}
	return out
}
