package placer

import (
	"context"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// rebuildTimeout is how long a new owner waits for workers that do not reply
// before it serves the other workers.
const rebuildTimeout = 2 * time.Second

// rebuild waits until no start of an earlier owner can take effect any more,
// and then reads the state of every worker of the shard. It returns false if
// ctx ended first.
func (s *shard) rebuild(ctx context.Context) bool {
	if !pause.For(ctx, time.Until(s.settleUntil)) {
		return false
	}
	members, ok := s.awaitInputs(ctx)
	if !ok {
		return false
	}
	workers := s.candidates(members)
	states := s.readStates(ctx, workers)
	if ctx.Err() != nil {
		return false
	}
	s.restore(time.Now(), workers, states)
	close(s.ready)
	s.deps.Log.Info().Str("shard", string(s.name)).Uint64("epoch", uint64(s.epoch)).
		Int("workers", len(workers)).Int("unread", len(workers)-len(states)).Msg("shard ready")
	return true
}

// awaitInputs waits until the member list has been read and the tables are in
// force.
func (s *shard) awaitInputs(ctx context.Context) (lovagestand.Members, bool) {
	for {
		members, ok := s.deps.Members.Current()
		if ok && len(s.deps.Catalog.Policies(s.name)) > 0 {
			return members, true
		}
		if !pause.For(ctx, s.timings.retryInterval/4) {
			return lovagestand.Members{}, false
		}
	}
}

// candidate is a worker that may hold tasks of the shard.
type candidate struct {
	worker lovagestand.Worker
	listed bool
}

// candidates returns the workers of the shard that are on the member list or
// have recently left it.
func (s *shard) candidates(members lovagestand.Members) []candidate {
	var list []candidate
	for _, w := range members.Workers {
		if w.Shard() == s.name {
			list = append(list, candidate{worker: w, listed: true})
		}
	}
	for _, w := range s.deps.Members.DepartedWorkers(s.name) {
		list = append(list, candidate{worker: w})
	}
	return list
}

// readStates reads the states of workers concurrently and returns those of the
// workers that replied within [rebuildTimeout].
func (s *shard) readStates(ctx context.Context, list []candidate) map[lovagestand.WorkerName]lovagestand.WorkerState {
	limited, cancel := context.WithTimeout(ctx, rebuildTimeout)
	defer cancel()
	states := make(map[lovagestand.WorkerName]lovagestand.WorkerState)
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, c := range list {
		group.Go(func() {
			state, ok := s.readWithRetries(limited, c.worker.Address)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			states[c.worker.Name] = state
		})
	}
	group.Wait()
	return states
}

func (s *shard) readWithRetries(ctx context.Context, address string) (lovagestand.WorkerState, bool) {
	for {
		state, err := s.readState(ctx, address)
		if err == nil {
			return state, true
		}
		if !pause.For(ctx, s.timings.retryInterval) {
			return lovagestand.WorkerState{}, false
		}
	}
}

// restore fills the shard with the workers and the tasks that they reported.
func (s *shard) restore(now time.Time, list []candidate, states map[lovagestand.WorkerName]lovagestand.WorkerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decider.SetPolicies(s.deps.Catalog.Policies(s.name))
	for _, c := range list {
		state, read := states[c.worker.Name]
		if !read {
			s.unread[c.worker.Name] = now.Add(s.timings.lease + s.timings.startWindow)
		}
		if !c.listed && !read {
			continue
		}
		s.restoreWorker(now, c, state, read)
	}
	s.isReady = true
}

func (s *shard) restoreWorker(now time.Time, c candidate, state lovagestand.WorkerState, read bool) {
	w := c.worker
	if s.deps.Catalog.Leaving(w) || state.Leaving {
		w = w.WithLeaving(true)
	}
	pool, _ := s.deps.Catalog.PoolOf(w)
	l := s.connect(now, w, pool)
	l.listed = c.listed
	l.stateRead = read
	l.sequence = state.Sequence
	s.setWorker(now, l)
	for _, report := range state.Tasks {
		s.apply(now, l, report)
	}
}

// adopt takes over a task that was found on a worker and that this shard did
// not place, because an earlier owner started it. A running task counts against
// the worker's capacity.
func (s *shard) adopt(now time.Time, l *link, report lovagestand.TaskReport) {
	a, ok := parseAttempt(report.Task.ID)
	if !ok {
		s.stopStray(now, l, report)
		return
	}
	r, ok := s.requests[a.Request]
	if !ok {
		r = adoptedRequest(a, report.Task)
		s.addRequest(r)
	}
	if a.Part >= len(r.parts) || !s.replaces(r.parts[a.Part], a, report) {
		s.stopStray(now, l, report)
		return
	}
	p := r.parts[a.Part]
	s.replaceAttempt(p, a, report.Task)
	p.state = partRunning
	p.sent = true
	p.worker = l.worker.Name
	p.startedAt = report.Started
	p.confirmedAt = now
	if report.Phase.Ended() {
		s.endAttempt(now, p, report)
		return
	}
	s.decider.Adopt(now, p.task, p.worker)
}

// replaces reports whether an attempt found on a worker takes the place of the
// attempt that the shard holds for the part. A placed attempt is never
// replaced. A queued or blocked one is replaced by an attempt that still runs,
// that succeeded, or whose number is at least as high. An ended one is replaced
// only by a later attempt, and only while the request has no final answer.
func (s *shard) replaces(p *part, found attempt, report lovagestand.TaskReport) bool {
	switch p.state {
	case partQueued, partBlocked:
		return report.Phase == lovagestand.TaskDone || !report.Phase.Ended() || found.Number >= p.attempt.Number
	case partEnded:
		return !p.request.final() && found.Number > p.attempt.Number
	default:
		return false
	}
}

// stopStray stops a task on a worker that is not the current attempt of any
// part, for example because the shard holds a later attempt of the same part.
// The task counts against the worker's capacity until it has ended.
func (s *shard) stopStray(now time.Time, l *link, report lovagestand.TaskReport) {
	if report.Phase.Ended() {
		s.decider.Finish(now, report.Task.ID, lovagestand.TaskResult{Phase: report.Phase})
		return
	}
	s.decider.Adopt(now, report.Task, l.worker.Name)
	go s.stopTask(s.ctx, l.worker.Address, report.Task.ID)
}

func (s *shard) replaceAttempt(p *part, a attempt, task lovagestand.Task) {
	if p.state == partQueued {
		s.decider.Cancel(p.task.ID)
	}
	delete(s.parts, p.task.ID)
	p.setAttempt(a)
	p.task = task
	s.parts[task.ID] = p
}

// adoptedRequest returns the request of a task that was found on a worker. Its
// parts are blocked until a worker reports them.
func adoptedRequest(a attempt, task lovagestand.Task) *request {
	r := newRequest(task.WithID(a.Request), a.Epoch)
	for _, p := range r.parts {
		p.state = partBlocked
	}
	return r
}
