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
	ctx  context.Context
	end  context.CancelFunc
	jobs map[job.ID]*entry
	live map[job.ID]*entry
	// unreadable are kept jobs that this version does not understand.
	unreadable map[job.ID]bool
	workers    map[lovagestand.WorkerName]*worker
	listed     bool
	// closing says that the term ends: no new jobs are taken.
	closing bool
	// reading is the next look at the ownership in the store; nil when no
	// caller waits for one.
	reading *reading

	queue   []*entry
	queued  int64
	written int64
	dirtied chan struct{}
	stalled bool
	// underWay are the batches that are being written, by lane; laneBusy are
	// the lanes that help the first one, helping their work.
	underWay [jobstore.Lanes][]batchEntry
	laneBusy [jobstore.Lanes]bool
	// answered counts the writes of each lane that were answered.
	answered [jobstore.Lanes]int
	// slow says that the last write took long.
	slow     bool
	helping  sync.WaitGroup
	rosterAt int64

	// began is when the term began; unresolved are the workers that may still
	// hold tasks of the term before, and blind says that there may be others.
	began      time.Time
	unresolved map[lovagestand.WorkerName]rosterEntry
	blind      bool
	resolved   bool

	summarized time.Time

	wakeup   chan struct{}
	lines    map[lovagestand.InstanceID]*line
	learned  map[lovagestand.RouteName]*routeStats
	random   *rand.Rand
	failed   chan struct{}
	failOnce sync.Once
}

// New returns a shard for a term.
func New(term jobstore.Term, limits Limits, deps Deps) *Shard {
	ctx, end := context.WithCancel(context.Background())
	return &Shard{
		ctx: ctx, end: end, deps: deps, term: term, limits: limits,
		log:  deps.Log.With().Str("shard", term.Shard).Uint64("epoch", uint64(term.Epoch)).Logger(),
		jobs: map[job.ID]*entry{}, live: map[job.ID]*entry{}, unreadable: map[job.ID]bool{}, workers: map[lovagestand.WorkerName]*worker{},
		dirtied: make(chan struct{}, 1), wakeup: make(chan struct{}, 1),
		unresolved: map[lovagestand.WorkerName]rosterEntry{},
		lines:      map[lovagestand.InstanceID]*line{}, learned: map[lovagestand.RouteName]*routeStats{},
		random: rand.New(rand.NewPCG(uint64(term.Epoch), 1)), failed: make(chan struct{}),
	}
}

// entry is a job with all that this term knows of it.
type entry struct {
	id       job.ID
	route    lovagestand.RouteName
	progress *job.Progress
	body     []byte
	// phase and finished stand for progress once a finished job is durable.
	phase    string
	finished time.Time
	// unsubmitted says that the job was cancelled before it was submitted, and
	// expired that its retention is over: the next write removes it.
	unsubmitted, expired bool

	// durable says that the job is kept, kept that its end is, and writing
	// that a write of it is under way.
	durable, kept, writing bool
	// queuedAt is the entry's place in the write queue; 0 when it is not in it.
	queuedAt int64
	// waiters are told of the write that the entry is queued for.
	waiters []chan error

	// recovered jobs may have tasks running that this term has not seen.
	recovered bool
	// begun says that this term has ordered a task of the job, started that a
	// worker has told of a run: an order alone may never be carried out.
	begun     bool
	started   bool
	steps     map[job.StepRef]*stepState
	objective time.Duration
	total     time.Duration
	// core and chain are the work left in one occurrence; they are worked out
	// anew when stale.
	core, chain time.Duration
	measured    int
	stale       bool
	active      map[string]*placement
	// held counts the runs of a task that workers may hold, also those that
	// are being stopped: it starts nowhere else before they have ended.
	held map[string]int
}

func (e *entry) unhold(task string) {
	e.held[task]--
	if e.held[task] <= 0 {
		delete(e.held, task)
	}
}

// startable returns the waiting tasks of a step that no worker may hold.
func (e *entry) startable(ref job.StepRef) []int {
	waiting := e.progress.Waiting(ref)
	if len(e.held) == len(e.active) {
		return waiting
	}
	j := e.progress.Job()
	free := waiting[:0]
	for _, i := range waiting {
		if e.held[j.TaskName(job.Task{Occurrence: ref.Occurrence, Step: ref.Step, Index: i})] == 0 {
			free = append(free, i)
		}
	}
	return free
}

// stepState is what placing knows of one step.
type stepState struct {
	// asking counts the calls for advice under way that name a worker.
	asking  map[*worker]int
	advised bool
	// asked are the workers of which the policy's answer is known; it does not
	// change during a step.
	asked   map[*worker]bool
	tickets map[*worker]ticket
	placed  map[lovagestand.WorkerName]int
	avoid   map[lovagestand.WorkerName]int
}

type ticket struct {
	value string
	until time.Time
}

func (e *entry) step(ref job.StepRef) *stepState {
	s := e.steps[ref]
	if s == nil {
		s = &stepState{asking: map[*worker]int{}, asked: map[*worker]bool{}, tickets: map[*worker]ticket{}, placed: map[lovagestand.WorkerName]int{}, avoid: map[lovagestand.WorkerName]int{}}
		e.steps[ref] = s
	}
	return s
}

func newEntry(p *job.Progress, body []byte) *entry {
	return &entry{
		id: p.Job().ID, route: p.Job().Policy.Route, progress: p, body: body, started: p.Started(),
		steps: map[job.StepRef]*stepState{}, active: map[string]*placement{}, held: map[string]int{},
	}
}

// finishedEntry returns a job of which only its end is known.
func finishedEntry(id job.ID, route lovagestand.RouteName, phase string, at time.Time) *entry {
	return &entry{id: id, route: route, phase: phase, finished: at, active: map[string]*placement{}, held: map[string]int{}}
}

// currentPhase returns the state that callers see.
func (e *entry) currentPhase() string {
	if e.progress != nil {
		return e.progress.Phase()
	}
	return e.phase
}

func (e *entry) final() bool {
	return e.progress == nil || e.progress.Final()
}

// Lost returns a channel that is closed when the term is seen to be over.
func (s *Shard) Lost() <-chan struct{} { return s.failed }

func (s *Shard) lose(reason string) {
	s.failOnce.Do(func() {
		s.log.Warn().Str("reason", reason).Msg("term is over")
		close(s.failed)
	})
}

// Run works until ctx ends or the term is over.
func (s *Shard) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { s.writeLoop(s.ctx) })
	running.Go(func() { s.planLoop(s.ctx) })
	select {
	case <-ctx.Done():
	case <-s.failed:
	}
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.end()
	running.Wait()
	s.abandon()
}

// abandon answers callers that still wait: what they asked for may have been
// written.
func (s *Shard) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.jobs {
		answer(e.waiters, &UnknownError{})
		e.waiters = nil
	}
}

func answer(waiters []chan error, err error) {
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
