package placer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
)

// shard runs the requests of one shard for one epoch.
type shard struct {
	name    lovagestand.ShardName
	epoch   lovagestand.Epoch
	deps    Deps
	timings timings

	// wake asks the deciding loop to run.
	wake chan struct{}
	// ready is closed when the shard has been rebuilt.
	ready chan struct{}
	// closed is closed when the right has ended.
	closed   chan struct{}
	stop     context.CancelFunc
	ctx      context.Context
	inFlight sync.WaitGroup

	mu       sync.Mutex
	decider  lovagestand.Decider
	isReady  bool
	draining bool
	links    map[lovagestand.WorkerName]*link
	requests map[lovagestand.TaskID]*request
	parts    map[lovagestand.TaskID]*part
	byKey    map[lovagestand.RequestKey]*request
	// unread are workers that may hold tasks of earlier owners and could not
	// be read, with the time by which their leases have lapsed.
	unread map[lovagestand.WorkerName]time.Time
	// settleUntil is when starts of earlier owners are over.
	settleUntil time.Time
	// lastStartDeadline is the latest time at which a start sent may take effect.
	lastStartDeadline time.Time
	// recheck says that the tables may have changed since the requests that
	// wait were last compared with them.
	recheck bool
	// scratch is reused for decisions.
	scratch []lovagestand.Decision
}

func newShard(deps Deps, t timings, lease lovagestand.OwnershipLease) *shard {
	return &shard{
		name:  lease.Shard,
		epoch: lease.Epoch,

		settleUntil: lease.SettleUntil,
		deps:        deps,
		timings:     t,
		wake:        make(chan struct{}, 1),
		ready:       make(chan struct{}),
		closed:      make(chan struct{}),
		decider:     deps.NewDecider(lease.Shard),
		links:       make(map[lovagestand.WorkerName]*link),
		requests:    make(map[lovagestand.TaskID]*request),
		parts:       make(map[lovagestand.TaskID]*part),
		byKey:       make(map[lovagestand.RequestKey]*request),
		unread:      make(map[lovagestand.WorkerName]time.Time),
	}
}

// open starts the shard's work: it rebuilds what earlier owners left, then
// decides until the shard is closed.
func (s *shard) open(ctx context.Context) {
	s.ctx, s.stop = context.WithCancel(ctx)
	go func() {
		if s.rebuild(s.ctx) {
			s.decideLoop(s.ctx)
		}
	}()
}

// close ends the shard. What runs goes on running under its leases until the
// next owner adopts it. It returns when the last start sent has surely taken
// effect or is too late.
func (s *shard) close() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	s.stop()
	return s.lastStartDeadline.Add(s.timings.clockSkew)
}

// lease returns the right under which the shard was opened, if it still holds.
func (s *shard) lease(now time.Time) (lovagestand.OwnershipLease, bool) {
	lease, ok := s.deps.Ownership.Lease(s.name)
	if !ok || lease.Epoch != s.epoch || !lease.Valid(now) {
		return lovagestand.OwnershipLease{}, false
	}
	return lease, true
}

// drain stops the shard from starting anything more and waits for the starts
// in flight.
func (s *shard) drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	settled := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(settled)
	}()
	defer s.close()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "starts in flight")
	}
}

// wakeDecideLoop asks for decisions soon.
func (s *shard) wakeDecideLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *shard) decideLoop(ctx context.Context) {
	timer := time.NewTimer(s.timings.decideInterval)
	defer timer.Stop()
	for {
		s.decide(ctx, time.Now())
		timer.Reset(s.timings.decideInterval)
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// decide carries out what the decider asks for. Nothing is decided without
// the right in force.
func (s *shard) decide(ctx context.Context, now time.Time) {
	if _, ok := s.lease(now); !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.answerRemoved(now)
	s.scratch = s.decider.Decide(now, s.scratch[:0])
	for _, d := range s.scratch {
		s.carryOut(ctx, now, d)
	}
}

func (s *shard) carryOut(ctx context.Context, now time.Time, d lovagestand.Decision) {
	p, ok := s.parts[d.Task.ID]
	if !ok {
		s.deps.Log.Error().Str("task", string(d.Task.ID)).Str("kind", string(d.Kind)).Msg("decision for an unknown task")
		s.decider.Finish(now, d.Task.ID, lovagestand.TaskResult{Phase: lovagestand.TaskStopped})
		return
	}
	switch d.Kind {
	case lovagestand.DecisionStart:
		p.state = partStarting
		p.worker = d.Worker
		s.spawn(func() { s.start(ctx, p, d.Worker) })
	case lovagestand.DecisionPreempt:
		p.state = partStopping
		s.spawn(func() { s.preempt(ctx, p, d.Reason) })
	case lovagestand.DecisionExpire:
		s.expire(now, p, d.Reason, d.RetryAfter)
	}
}

// spawn runs f and counts it among what must settle before a hand-over.
func (s *shard) spawn(f func()) {
	s.inFlight.Add(1)
	go func() {
		defer s.inFlight.Done()
		f()
	}()
}

// expire ends a request one of whose parts was given up while it waited. A
// request that had started before cannot be said not to have run.
func (s *shard) expire(now time.Time, p *part, reason string, retryAfter time.Duration) {
	r := p.request
	if r.started() {
		s.finish(now, r, lovagestand.UnknownAnswer(r.task.Key, "started once and could not be started again: "+reason))
		return
	}
	s.finish(now, r, lovagestand.NotRunAnswer(r.task.Key, reason, retryAfter))
}

// finish gives a request its answer and forgets its parts that wait.
func (s *shard) finish(now time.Time, r *request, a lovagestand.Answer) {
	for _, p := range r.parts {
		if p.state == partQueued {
			s.decider.Cancel(p.task.ID)
			p.state = partEnded
		}
	}
	r.finish(now, a)
	r.body = nil
}

// submit queues all parts of a request, or none.
func (s *shard) submit(now time.Time, r *request) error {
	for i, p := range r.parts {
		if err := s.decider.Submit(now, p.task); err != nil {
			for _, q := range r.parts[:i] {
				s.decider.Cancel(q.task.ID)
			}
			return err
		}
	}
	s.addRequest(r)
	s.wakeDecideLoop()
	return nil
}

// addRequest enters a request and its parts in the shard's books.
func (s *shard) addRequest(r *request) {
	s.requests[r.task.ID] = r
	if old, ok := s.byKey[r.task.Key]; ok && old != r {
		r.keyMayHaveRun = old.mayHaveRun()
	}
	s.byKey[r.task.Key] = r
	for _, p := range r.parts {
		s.parts[p.task.ID] = p
	}
}

// removeRequest removes a request from the shard's books.
func (s *shard) removeRequest(r *request) {
	delete(s.requests, r.task.ID)
	if s.byKey[r.task.Key] == r {
		delete(s.byKey, r.task.Key)
	}
	for _, p := range r.parts {
		delete(s.parts, p.task.ID)
	}
}

// queueNextAttempt queues the next attempt at a part whose last one surely runs no more.
func (s *shard) queueNextAttempt(now time.Time, p *part) {
	delete(s.parts, p.task.ID)
	p.setAttempt(p.nextAttempt(s.epoch))
	s.parts[p.task.ID] = p
	if err := s.decider.Submit(now, p.task); err != nil {
		s.expire(now, p, err.Error(), 0)
		return
	}
	s.wakeDecideLoop()
}

func (s *shard) digest(now time.Time) (lovagestand.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isReady {
		return lovagestand.Digest{}, false
	}
	d := s.decider.Digest(now)
	d.Shard = s.name
	return d, true
}
