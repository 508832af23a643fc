package placer

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// link is what a shard knows of one worker.
type link struct {
	worker lovagestand.Worker
	pool   lovagestand.PoolName
	// listed says that the member list has the worker.
	listed bool
	// refusing says that the worker itself refuses all new work.
	refusing bool
	// stateRead says that all the worker holds has been read since it was last out
	// of reach; before that it gets no work.
	stateRead bool
	// inDecider says that the decider knows the worker.
	inDecider bool
	// sequence is the last event seen.
	sequence uint64
	// lastContact is when the worker last answered.
	lastContact time.Time
	// lastRenewal is when a start or renewal was last sent, answered or not.
	lastRenewal time.Time
	// lost says that leases are no longer renewed.
	lost bool
	// tasksLost says that the tasks of a lost worker were given up.
	tasksLost bool
	stop      context.CancelFunc
}

// leaving reports whether the worker gets no new work.
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

// refresh applies the member list and the tables to the shard's workers and
// forgets answers that were kept long enough.
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

// applyWorker takes over what the member list says of a worker.
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
		// The tables no longer use the worker; what runs there ends there.
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

// connect makes a link to a worker and starts to follow it.
func (s *shard) connect(now time.Time, w lovagestand.Worker, pool lovagestand.PoolName) *link {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &link{worker: w, pool: pool, listed: true, lastContact: now, lastRenewal: now, stop: cancel}
	s.links[w.Name] = l
	s.setWorker(now, l)
	go s.followEvents(ctx, l)
	go s.renewLoop(ctx, l)
	return l
}

// setWorker tells the decider of a worker as it is now. A worker that comes
// back brings the tasks that the shard still counts on it.
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

// adoptAll counts the parts on a worker against its capacity again.
func (s *shard) adoptAll(now time.Time, l *link) {
	for _, p := range s.partsOn(l.worker.Name) {
		s.decider.Adopt(now, p.task, l.worker.Name)
	}
}

// followEvents reads a worker's events until ctx ends. After a failed call the
// whole state is read, since the worker may have restarted.
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

// reconcile takes over a worker's whole state that was asked for at asked.
// Parts that were confirmed before that and are not in it run no more.
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

// apply takes over what a worker says of one task.
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

// partsOn returns the parts that take resources of a worker.
func (s *shard) partsOn(name lovagestand.WorkerName) []*part {
	var parts []*part
	for _, p := range s.parts {
		if p.worker == name && p.placed() {
			parts = append(parts, p)
		}
	}
	return parts
}

// placedByWorker returns the parts that take resources, by worker, for those who need
// them of all workers.
func (s *shard) placedByWorker() map[lovagestand.WorkerName][]*part {
	parts := make(map[lovagestand.WorkerName][]*part, len(s.links))
	for _, p := range s.parts {
		if p.placed() {
			parts[p.worker] = append(parts[p.worker], p)
		}
	}
	return parts
}

// loseAttempt ends an attempt that surely runs no more and whose result is gone.
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

// renewable returns the tasks whose leases are to be renewed now. Without the
// right in force there are none: the next owner renews.
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

// checkLost stops renewing the leases of a worker that is out of reach, and
// gives its tasks up once their leases have surely lapsed.
func (s *shard) checkLost(now time.Time, l *link, parts []*part) {
	timeout := s.timings.lostAfter
	if len(parts) == 0 {
		// Nothing is renewed, so an answer may take as long as events do.
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

// markLost takes a worker out of the decider; its tasks stay in the books
// until their leases lapse.
func (s *shard) markLost(now time.Time, l *link) {
	l.lost = true
	l.stateRead = false
	if l.inDecider {
		l.inDecider = false
		s.decider.RemoveWorker(now, l.worker.Name)
	}
	s.deps.Log.Warn().Str("worker", string(l.worker.Name)).Msg("worker out of reach")
}
