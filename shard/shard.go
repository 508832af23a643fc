package shard

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
)

// AdviceClient is one instance that can ask for advice; it serves one call at a time.
type AdviceClient struct {
	Instance lovagestand.InstanceID
	// Near says that the instance is in the owner's region.
	Near   bool
	Advise func(ctx context.Context, step string, workers []lovagestand.WorkerName) (lovagestand.Advice, error)
}

// Deps is what a shard works with.
type Deps struct {
	Fleet lovagestand.Fleet
	Store *jobstore.Store
	// AdviceClients returns the instances that can ask for advice now.
	AdviceClients func() []AdviceClient
	// Confirmed reports whether the ownership was confirmed a moment ago.
	Confirmed func() bool
	// Assured reports whether no other owner is expected to order workers.
	Assured  func() bool
	Log      zerolog.Logger
	Recorder lovagestand.Recorder
}

// Limits are the bounds that the platform sets.
type Limits struct {
	// MaxLease bounds the lease of a worker.
	MaxLease time.Duration
	// Retention is how long the state of a finished job is kept.
	Retention time.Duration
	// HeartbeatTimeout is how long a worker's heartbeat must be missing before the
	// platform takes its entry away.
	HeartbeatTimeout time.Duration
	// ListInterval is the time between two readings of the list of workers.
	ListInterval time.Duration
	// CheckpointInterval is how often a task that saves its progress does so.
	CheckpointInterval time.Duration
	// Overlap is how long after this term has begun a former owner may still
	// extend the lease of a worker that this one does not reach.
	Overlap time.Duration
}

// Shard is the state of a shard in one term. It is safe for concurrent use.
type Shard struct {
	deps   Deps
	term   jobstore.Term
	limits Limits
	log    zerolog.Logger

	mu sync.Mutex
	// ctx ends with the term.
	ctx    context.Context
	cancel context.CancelFunc
	jobs   map[job.ID]*jobEntry
	live   map[job.ID]*jobEntry
	// unreadable are kept jobs that this version does not understand.
	unreadable    map[job.ID]bool
	workers       map[lovagestand.WorkerName]*worker
	workersListed bool
	// closing says that the term ends: no new jobs are taken.
	closing bool
	// ownershipCheck is the next look at the ownership in the store; nil when no
	// caller waits for one.
	ownershipCheck *ownershipCheck

	queue             []*jobEntry
	lastQueuePosition int64
	writtenPosition   int64
	writeRequested    chan struct{}
	stalled           bool
	// inFlight are the batches that are being written, by lane; laneBusy are
	// the lanes that help the first one, helping their work.
	inFlight [jobstore.Lanes][]batchEntry
	laneBusy [jobstore.Lanes]bool
	// completedWrites counts the writes of each lane that were answered.
	completedWrites [jobstore.Lanes]int
	// lastWriteSlow says that the last write took long.
	lastWriteSlow bool
	extraWriters  sync.WaitGroup
	rosterChanges int64

	// loadedAt is when the term began; unresolved are the workers that may still
	// hold tasks of the term before, and blind says that there may be others.
	loadedAt         time.Time
	unresolved       map[lovagestand.WorkerName]rosterEntry
	rosterUnreadable bool
	resolved         bool

	summarizedAt time.Time

	wakeup       chan struct{}
	adviceSlots  map[lovagestand.InstanceID]*adviceSlot
	statsByRoute map[lovagestand.RouteName]*routeStats
	random       *rand.Rand
	lost         chan struct{}
	loseOnce     sync.Once
}

// New returns a shard for a term.
func New(term jobstore.Term, limits Limits, deps Deps) *Shard {
	ctx, cancel := context.WithCancel(context.Background())
	return &Shard{
		ctx: ctx, cancel: cancel, deps: deps, term: term, limits: limits,
		log:  deps.Log.With().Str("shard", term.Shard).Uint64("epoch", uint64(term.Epoch)).Logger(),
		jobs: map[job.ID]*jobEntry{}, live: map[job.ID]*jobEntry{}, unreadable: map[job.ID]bool{}, workers: map[lovagestand.WorkerName]*worker{},
		writeRequested: make(chan struct{}, 1), wakeup: make(chan struct{}, 1),
		unresolved:  map[lovagestand.WorkerName]rosterEntry{},
		adviceSlots: map[lovagestand.InstanceID]*adviceSlot{}, statsByRoute: map[lovagestand.RouteName]*routeStats{},
		random: rand.New(rand.NewPCG(uint64(term.Epoch), 1)), lost: make(chan struct{}),
	}
}

// jobEntry is a job with all that this term knows of it.
type jobEntry struct {
	id       job.ID
	route    lovagestand.RouteName
	progress *job.Progress
	body     []byte
	// phase and finished stand for progress once a finished job is durable.
	phase      string
	finishedAt time.Time
	// unsubmitted says that the job was cancelled before it was submitted, and
	// expired that its retention is over: the next write removes it.
	unsubmitted, expired bool

	// durable says that the job is kept, kept that its end is, and writing
	// that a write of it is under way.
	durable, endDurable, writing bool
	// queuePosition is the entry's place in the write queue; 0 when it is not in it.
	queuePosition int64
	// waiters are told of the write that the entry is queued for.
	waiters []chan error

	// recovered jobs may have tasks running that this term has not seen.
	recovered bool
	// ordered says that this term has ordered a task of the job, started that a
	// worker has told of a run: an order alone may never be carried out.
	ordered       bool
	started       bool
	steps         map[job.StepRef]*stepState
	objective     time.Duration
	totalCoreTime time.Duration
	// remainingCoreTime and chain are the work left in one occurrence; they are worked out
	// anew when stale.
	remainingCoreTime, criticalPath time.Duration
	measuredOccurrence              int
	workStale                       bool
	active                          map[string]*placement
	// heldRuns counts the runs of a task that workers may hold, also those that
	// are being stopped: it starts nowhere else before they have ended.
	heldRuns map[string]int
}

func (e *jobEntry) releaseHeldRun(task string) {
	e.heldRuns[task]--
	if e.heldRuns[task] <= 0 {
		delete(e.heldRuns, task)
	}
}

// startable returns the waiting tasks of a step that no worker may hold.
func (e *jobEntry) startable(ref job.StepRef) []int {
	waiting := e.progress.Waiting(ref)
	if len(e.heldRuns) == len(e.active) {
		return waiting
	}
	j := e.progress.Job()
	free := waiting[:0]
	for _, i := range waiting {
		if e.heldRuns[j.TaskName(job.Task{Occurrence: ref.Occurrence, Step: ref.Step, Index: i})] == 0 {
			free = append(free, i)
		}
	}
	return free
}

// stepState is what placing knows of one step.
type stepState struct {
	// pendingRequests counts the calls for advice under way that name a worker.
	pendingRequests map[*worker]int
	advised         bool
	// decided are the workers of which the policy's answer is known; it does not
	// change during a step.
	decided map[*worker]bool
	tickets map[*worker]ticket
	placed  map[lovagestand.WorkerName]int
	avoid   map[lovagestand.WorkerName]int
}

type ticket struct {
	value string
	until time.Time
}

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
		id: p.Job().ID, route: p.Job().Policy.Route, progress: p, body: body, started: p.Started(),
		steps: map[job.StepRef]*stepState{}, active: map[string]*placement{}, heldRuns: map[string]int{},
	}
}

// newFinishedJobEntry returns a job of which only its end is known.
func newFinishedJobEntry(id job.ID, route lovagestand.RouteName, phase string, finishedAt time.Time) *jobEntry {
	return &jobEntry{id: id, route: route, phase: phase, finishedAt: finishedAt, active: map[string]*placement{}, heldRuns: map[string]int{}}
}

// currentPhase returns the state that callers see.
func (e *jobEntry) currentPhase() string {
	if e.progress != nil {
		return e.progress.Phase()
	}
	return e.phase
}

func (e *jobEntry) final() bool {
	return e.progress == nil || e.progress.Final()
}

// Lost returns a channel that is closed when the term is seen to be over.
func (s *Shard) Lost() <-chan struct{} { return s.lost }

func (s *Shard) endTerm(reason string) {
	s.loseOnce.Do(func() {
		s.log.Warn().Str("reason", reason).Msg("term is over")
		close(s.lost)
	})
}

// Run works until ctx ends or the term is over.
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

// abortWaiters answers callers that still wait: what they asked for may have been
// written.
func (s *Shard) abortWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.jobs {
		notifyWaiters(e.waiters, &UnknownError{})
		e.waiters = nil
	}
}

func notifyWaiters(waiters []chan error, err error) {
	for _, w := range waiters {
		w <- err
	}
}

func (s *Shard) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Status is a summary for operators.
type Status struct {
	Epoch    uint64 `json:"epoch"`
	Jobs     int    `json:"jobs"`
	Live     int    `json:"liveJobs"`
	Workers  int    `json:"workers"`
	Open     int    `json:"openWorkers"`
	Running  int    `json:"runningTasks"`
	Unsaved  int    `json:"unsavedJobs"`
	Stalled  bool   `json:"storeStalled"`
	Resolved bool   `json:"formerTermResolved"`
}

// Status returns a summary of the shard.
func (s *Shard) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Status{
		Epoch: uint64(s.term.Epoch), Jobs: len(s.jobs), Live: len(s.live), Workers: len(s.workers),
		Unsaved: len(s.queue), Stalled: s.stalled, Resolved: s.resolved,
	}
	now := time.Now()
	for _, w := range s.workers {
		out.Running += len(w.placements)
		if w.open(now) {
			out.Open++
		}
	}
	return out
}
