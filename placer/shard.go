package placer

import (
	"context"
	"sync"
	"sync/atomic"
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

	// wake makes the decide loop run without waiting for its timer.
	wake chan struct{}
	// ready is closed once the shard has been rebuilt.
	ready chan struct{}
	// closed is closed once the shard has been closed.
	closed   chan struct{}
	stop     context.CancelFunc
	ctx      context.Context
	inFlight sync.WaitGroup
	// bodyBytes is the size of the bodies of all requests. It changes while mu is held.
	bodyBytes atomic.Int64

	mu       sync.Mutex
	decider  lovagestand.Decider
	isReady  bool
	draining bool
	links    map[lovagestand.WorkerName]*link
	requests map[lovagestand.TaskID]*request
	parts    map[lovagestand.TaskID]*part
	byKey    map[lovagestand.RequestKey]*request
	// unread holds the workers that may hold tasks of earlier owners and whose
	// state could not be read. The value is the time by which the leases of
	// those tasks have lapsed.
	unread map[lovagestand.WorkerName]time.Time
	// settleUntil is the time from which no start of an earlier owner can take
	// effect any more.
	settleUntil time.Time
	// lastStartDeadline is the latest time at which a start that was sent may
	// take effect.
	lastStartDeadline time.Time
	// recheck is set if the tables may have changed since the waiting requests
	// were last checked against them.
	recheck bool
	// scratch is the buffer for decisions, reused between calls.
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

// open starts the goroutine that rebuilds the state that earlier owners left
// and then makes decisions until the shard is closed.
func (s *shard) open(ctx context.Context) {
	s.ctx, s.stop = context.WithCancel(ctx)
	go func() {
		if s.rebuild(s.ctx) {
			s.decideLoop(s.ctx)
		}
	}()
}

// close closes the shard. Its running tasks continue under their leases until
// the next owner adopts them. It returns the time at which the last start that
// was sent is guaranteed to have taken effect or to be too late to do so.
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

// lease returns the ownership lease under which the shard was opened, and false
// if that lease is no longer in force.
func (s *shard) lease(now time.Time) (lovagestand.OwnershipLease, bool) {
	lease, ok := s.deps.Ownership.Lease(s.name)
	if !ok || lease.Epoch != s.epoch || !lease.Valid(now) {
		return lovagestand.OwnershipLease{}, false
	}
	return lease, true
}

// drain stops the shard from starting tasks, waits for the starts and
// preemptions in flight, and closes the shard.
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
		return errors.Wrap(ctx.Err(), "wait for starts in flight")
	}
}

// wakeDecideLoop makes the decide loop run soon.
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

// decide executes the decisions that are due. It does nothing unless the
// ownership lease is in force.
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

// spawn runs f in a goroutine that [shard.drain] waits for.
func (s *shard) spawn(f func()) {
	s.inFlight.Add(1)
	go func() {
		defer s.inFlight.Done()
		f()
	}()
}

// expire ends a request after one of its parts was given up while waiting. If
// the request had been started before, its outcome is unknown.
func (s *shard) expire(now time.Time, p *part, reason string, retryAfter time.Duration) {
	r := p.request
	if r.started() {
		s.finish(now, r, lovagestand.UnknownAnswer(r.task.Key, "started once and could not be started again: "+reason))
		return
	}
	s.finish(now, r, lovagestand.NotRunAnswer(r.task.Key, reason, retryAfter))
}

// finish gives a request its final answer and cancels its waiting parts.
func (s *shard) finish(now time.Time, r *request, a lovagestand.Answer) {
	for _, p := range r.parts {
		if p.state == partQueued {
			s.decider.Cancel(p.task.ID)
			p.state = partEnded
		}
	}
	r.finish(now, a)
	s.setBody(r, nil)
}

// submit queues either all parts of a request or none of them.
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

// addRequest adds a request and its parts to the shard's indexes.
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

// removeRequest removes a request and its parts from the shard's indexes.
func (s *shard) removeRequest(r *request) {
	delete(s.requests, r.task.ID)
	if s.byKey[r.task.Key] == r {
		delete(s.byKey, r.task.Key)
	}
	for _, p := range r.parts {
		delete(s.parts, p.task.ID)
	}
}

// queueNextAttempt queues the next attempt at a part. The last attempt is
// guaranteed not to run any more.
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
