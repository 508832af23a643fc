package placer

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// link is the state that a shard holds about one worker.
type link struct {
	worker lovagestand.Worker
	pool   lovagestand.PoolName
	// listed is set if the worker is on the member list.
	listed bool
	// refusing is set if the worker itself has announced that it takes no new
	// tasks.
	refusing bool
	// stateRead is set if the complete state of the worker has been read since
	// it was last unreachable. Until then the worker gets no tasks.
	stateRead bool
	// inDecider is set if the worker has been added to the decider.
	inDecider bool
	// sequence is the sequence number of the last event received from the
	// worker.
	sequence uint64
	// lastContact is when the worker last replied.
	lastContact time.Time
	// lastRenewal is when a start or renewal was last sent, whether or not the
	// worker replied.
	lastRenewal time.Time
	// lost is set if the worker is unreachable, so that the leases of its tasks
	// are no longer renewed.
	lost bool
	// tasksLost is set if the tasks of an unreachable worker were given up.
	tasksLost bool
	stop      context.CancelFunc
}

// leaving reports whether the worker gets no new tasks.
func (l *link) leaving() bool {
	return l.refusing || l.worker.Leaving || !l.listed
}

func (l *link) status() WorkerStatus {
	return WorkerStatus{
		Worker:    l.worker.Name,
		Pool:      l.pool,
		Leaving:   l.leaving(),
		Reachable: !l.lost,
	}
}

// refresh applies the member list and the tables to the workers of the shard
// and removes answers whose retention has passed.
func (s *shard) refresh(now time.Time) {
	members, ok := s.deps.Members.Current()
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isReady {
		return
	}
	s.decider.SetPolicies(s.deps.Catalog.Policies(s.name))
	listed := make(map[lovagestand.WorkerName]bool)
	for _, w := range members.Workers {
		if w.Shard() != s.name {
			continue
		}
		listed[w.Name] = true
		s.applyWorker(now, w)
	}
	placed := s.placedByWorker()
	for n, l := range s.links {
		if l.listed && !listed[n] {
			l.listed = false
			s.setWorker(now, l)
		}
		s.checkLost(now, l, placed[n])
		s.checkUsage(now, l, placed[n])
	}
	s.sweep(now)
	s.recheck = true
}

// applyWorker applies the description of a worker from the member list.
func (s *shard) applyWorker(now time.Time, w lovagestand.Worker) {
	if s.deps.Catalog.Leaving(w) {
		w = w.WithLeaving(true)
	}
	pool, _ := s.deps.Catalog.PoolOf(w)
	l, ok := s.links[w.Name]
	if !ok {
		s.connect(now, w, pool)
		return
	}
	if pool == "" && l.pool != "" {
		// The tables no longer assign the worker to a pool. Its tasks finish
		// there, and it gets no new ones.
		pool = l.pool
		w = w.WithLeaving(true)
	}
	if l.worker == w && l.pool == pool && l.listed {
		return
	}
	l.worker = w
	l.pool = pool
	l.listed = true
	s.setWorker(now, l)
}

// connect adds a link to a worker and starts to follow its events and to renew
// the leases of its tasks.
func (s *shard) connect(now time.Time, w lovagestand.Worker, pool lovagestand.PoolName) *link {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &link{worker: w, pool: pool, listed: true, lastContact: now, lastRenewal: now, stop: cancel}
	s.links[w.Name] = l
	s.setWorker(now, l)
	go s.followEvents(ctx, l)
	go s.renewLoop(ctx, l)
	return l
}

// setWorker passes the current description of a worker to the decider. A worker
// that returns to the decider has its placed tasks adopted again.
func (s *shard) setWorker(now time.Time, l *link) {
	if l.lost || !l.stateRead || l.pool == "" {
		return
	}
	if !l.inDecider {
		defer s.adoptAll(now, l)
	}
	l.inDecider = true
	s.decider.SetWorker(now, l.worker.WithLeaving(l.leaving()), l.pool)
	s.wakeDecideLoop()
}

// adoptAll counts the placed parts of a worker against its capacity again.
func (s *shard) adoptAll(now time.Time, l *link) {
	for _, p := range s.partsOn(l.worker.Name) {
		s.decider.Adopt(now, p.task, l.worker.Name)
	}
}

// followEvents applies the events of a worker until ctx ends. After a failed
// call it reads the complete state, because the worker may have restarted.
func (s *shard) followEvents(ctx context.Context, l *link) {
	mustReconcile := true
	for ctx.Err() == nil {
		if mustReconcile && !s.readAndReconcile(ctx, l) {
			pause.For(ctx, s.timings.retryInterval)
			continue
		}
		mustReconcile = false
		limited, cancel := context.WithTimeout(ctx, s.timings.eventWait+s.timings.callTimeout)
		reports, err := s.deps.Workers.Events(limited, l.worker.Address, s.sequenceOf(l), s.timings.eventWait)
		cancel()
		if err != nil {
			mustReconcile = true
			continue
		}
		s.applyEvents(time.Now(), l, reports)
	}
}

func (s *shard) sequenceOf(l *link) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.sequence
}

func (s *shard) readAndReconcile(ctx context.Context, l *link) bool {
	queriedAt := time.Now()
	state, err := s.readState(ctx, l.worker.Address)
	if err != nil {
		return false
	}
	s.reconcile(queriedAt, l, state)
	return true
}

func (s *shard) applyEvents(now time.Time, l *link, reports []lovagestand.TaskReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.lastContact = now
	for _, report := range reports {
		l.sequence = max(l.sequence, report.Sequence)
		s.apply(now, l, report)
	}
}

// reconcile applies the complete state of a worker that was requested at
// queriedAt. A part that was confirmed before that time and is missing from the
// state no longer runs.
func (s *shard) reconcile(queriedAt time.Time, l *link, state lovagestand.WorkerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	l.lastContact = now
	l.lost = false
	l.tasksLost = false
	l.stateRead = true
	delete(s.unread, l.worker.Name)
	l.refusing = l.refusing || state.Leaving
	s.setWorker(now, l)
	l.sequence = state.Sequence
	held := make(map[lovagestand.TaskID]bool, len(state.Tasks))
	for _, report := range state.Tasks {
		held[report.Task.ID] = true
		s.apply(now, l, report)
	}
	for _, p := range s.partsOn(l.worker.Name) {
		if !held[p.task.ID] && p.state != partStarting && p.confirmedAt.Before(queriedAt) {
			s.loseAttempt(now, p, "the worker no longer holds the task")
		}
	}
}

// apply applies a worker's report on one task.
func (s *shard) apply(now time.Time, l *link, report lovagestand.TaskReport) {
	p, ok := s.parts[report.Task.ID]
	if !ok || p.unseen() {
		s.adopt(now, l, report)
		return
	}
	if report.Phase.Ended() {
		s.endAttempt(now, p, report)
		return
	}
	if p.state == partStarting {
		p.state = partRunning
		p.confirmedAt = now
	}
	if p.startedAt.IsZero() {
		p.startedAt = report.Started
	}
	p.recordUsage(now, report)
}

// partsOn returns the parts that use resources of a worker.
func (s *shard) partsOn(name lovagestand.WorkerName) []*part {
	var parts []*part
	for _, p := range s.parts {
		if p.worker == name && p.placed() {
			parts = append(parts, p)
		}
	}
	return parts
}

// placedByWorker returns the parts that use resources, grouped by worker. It
// saves callers that handle all workers one pass over the parts per worker.
func (s *shard) placedByWorker() map[lovagestand.WorkerName][]*part {
	parts := make(map[lovagestand.WorkerName][]*part, len(s.links))
	for _, p := range s.parts {
		if p.placed() {
			parts[p.worker] = append(parts[p.worker], p)
		}
	}
	return parts
}

// loseAttempt ends an attempt that is guaranteed not to run any more and whose
// result is lost.
func (s *shard) loseAttempt(now time.Time, p *part, reason string) {
	s.endAttempt(now, p, lovagestand.TaskReport{Task: p.task, Phase: lovagestand.TaskStopped, Reason: reason})
	if p.state == partBlocked && p.request.hasBody {
		s.resume(now, p, reason)
	}
}

// renewLoop renews the leases of a worker's tasks until ctx ends.
func (s *shard) renewLoop(ctx context.Context, l *link) {
	for pause.For(ctx, s.timings.renewInterval) {
		now := time.Now()
		ids := s.renewable(now, l)
		if len(ids) == 0 {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, s.timings.callTimeout)
		missing, err := s.deps.Workers.Renew(limited, l.worker.Address, s.timings.lease, ids)
		cancel()
		if err != nil {
			continue
		}
		s.applyEvents(now, l, nil)
		if len(missing) > 0 {
			s.readAndReconcile(ctx, l)
		}
	}
}

// renewable returns the tasks whose leases must be renewed now. It returns none
// unless the ownership lease is in force, because otherwise the next owner
// renews them.
func (s *shard) renewable(now time.Time, l *link) []lovagestand.TaskID {
	if _, ok := s.lease(now); !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.lost {
		return nil
	}
	var ids []lovagestand.TaskID
	for _, p := range s.partsOn(l.worker.Name) {
		ids = append(ids, p.task.ID)
	}
	if len(ids) > 0 {
		l.lastRenewal = now
	}
	return ids
}

// checkLost stops renewing the leases of an unreachable worker and gives up its
// tasks once their leases are guaranteed to have lapsed.
func (s *shard) checkLost(now time.Time, l *link, parts []*part) {
	timeout := s.timings.lostAfter
	if len(parts) == 0 {
		// There are no leases to renew, so the only regular reply is that to a
		// call for events, which takes up to eventWait.
		timeout = max(timeout, s.timings.eventWait)
	}
	if !l.lost && now.Sub(l.lastContact) > timeout {
		s.markLost(now, l)
	}
	if !l.lost {
		return
	}
	leaseEnd := l.lastRenewal.Add(s.timings.lease + s.timings.startWindow + s.timings.clockSkew)
	if now.Before(leaseEnd) {
		return
	}
	if !l.tasksLost {
		l.tasksLost = true
		for _, p := range parts {
			s.loseAttempt(now, p, "worker "+string(l.worker.Name)+" was lost")
		}
	}
	if !l.listed {
		l.stop()
		delete(s.links, l.worker.Name)
	}
}

// markLost removes an unreachable worker from the decider. The shard still
// counts its tasks until their leases lapse.
func (s *shard) markLost(now time.Time, l *link) {
	l.lost = true
	l.stateRead = false
	if l.inDecider {
		l.inDecider = false
		s.decider.RemoveWorker(now, l.worker.Name)
	}
	s.deps.Log.Warn().Str("worker", string(l.worker.Name)).Msg("worker unreachable; the leases of its tasks are no longer renewed")
}
