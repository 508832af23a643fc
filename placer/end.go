package placer

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// endAttempt records how an attempt ended on its worker and decides how its
// part continues.
func (s *shard) endAttempt(now time.Time, p *part, report lovagestand.TaskReport) {
	if p.state == partEnded || p.state == partBlocked || p.state == partQueued {
		return
	}
	stopping := p.state == partStopping
	p.phase = report.Phase
	p.body = report.Body
	p.reason = report.Reason
	if p.usage.stopRequested && report.Phase == lovagestand.TaskStopped {
		p.phase = lovagestand.TaskFailed
		p.reason = overuseReason
	}
	if p.startedAt.IsZero() {
		p.startedAt = report.Started
	}
	s.decider.Finish(now, p.task.ID, lovagestand.TaskResult{Phase: report.Phase, Ran: now.Sub(p.startedAt)})
	s.wakeDecideLoop()
	if stopping && report.Phase == lovagestand.TaskStopped && !p.request.cancelled && !p.request.restarting {
		// preempt stopped the part and queues it again when its checkpoint call
		// returns.
		p.state = partBlocked
		return
	}
	s.afterAttempt(now, p)
}

// afterAttempt decides how a part continues after an attempt has ended.
func (s *shard) afterAttempt(now time.Time, p *part) {
	r := p.request
	switch {
	case r.final():
		p.state = partEnded
	case p.phase == lovagestand.TaskDone || r.cancelled:
		p.state = partEnded
		s.finishIfEnded(now, r)
	case r.task.Idempotent && p.attempt.Number < s.timings.maxAttempts:
		s.scheduleRetry(now, p)
	case p.phase == lovagestand.TaskFailed:
		p.state = partEnded
		s.finishIfEnded(now, r)
	default:
		p.state = partEnded
		s.abandon(now, p, "stopped on worker "+string(p.worker)+": "+p.reason)
	}
}

// finishIfEnded ends a request if all of its parts have ended. A gang that was
// stopped for a restart is restarted instead, unless it was cancelled.
func (s *shard) finishIfEnded(now time.Time, r *request) {
	if !r.ended() {
		return
	}
	if r.restarting && !r.cancelled {
		s.restartGang(now, r)
		return
	}
	s.finish(now, r, r.result())
}

// scheduleRetry prepares a further attempt at a part whose last attempt is
// guaranteed not to run any more. A gang restarts as a whole, so its other
// parts are stopped first.
func (s *shard) scheduleRetry(now time.Time, p *part) {
	r := p.request
	if len(r.parts) > 1 {
		p.state = partEnded
		r.restarting = true
		s.stopOtherParts(p)
		s.finishIfEnded(now, r)
		return
	}
	if !r.hasBody {
		p.state = partBlocked
		return
	}
	s.queueNextAttempt(now, p)
}

// restartGang queues a new attempt at every part of a gang.
func (s *shard) restartGang(now time.Time, r *request) {
	if r.started() && !r.task.Idempotent {
		s.finish(now, r, lovagestand.UnknownAnswer(r.task.Key, "a part of the gang could not start"))
		return
	}
	if !r.hasBody {
		// The body arrives when an entry attaches to the request, see supplyBody.
		for _, p := range r.parts {
			p.state = partBlocked
		}
		return
	}
	r.restarting = false
	for _, p := range r.parts {
		delete(s.parts, p.task.ID)
		p.setAttempt(p.nextAttempt(s.epoch))
		s.parts[p.task.ID] = p
	}
	for _, p := range r.parts {
		if err := s.decider.Submit(now, p.task); err != nil {
			s.expire(now, p, err.Error(), 0)
			return
		}
	}
	s.wakeDecideLoop()
}

// stopOtherParts stops the parts of a gang other than p.
func (s *shard) stopOtherParts(p *part) {
	for _, q := range p.request.parts {
		if q == p {
			continue
		}
		switch q.state {
		case partQueued:
			s.decider.Cancel(q.task.ID)
			q.state = partEnded
			q.phase = lovagestand.TaskStopped
		case partRunning:
			s.stopAsync(q)
		case partStarting, partStopping, partBlocked, partEnded:
		}
	}
}

// stopAsync asks the worker to stop a running part. The end of the part arrives
// later as an event of the worker.
func (s *shard) stopAsync(p *part) {
	l, ok := s.links[p.worker]
	if !ok {
		return
	}
	id := p.task.ID
	go s.stopTask(s.ctx, l.worker.Address, id)
}

func (s *shard) stopTask(ctx context.Context, address string, id lovagestand.TaskID) {
	for {
		limited, cancel := context.WithTimeout(ctx, s.timings.callTimeout)
		err := s.deps.Workers.Stop(limited, address, []lovagestand.TaskID{id})
		cancel()
		if err == nil || !s.isActive(id) || !pause.For(ctx, s.timings.retryInterval) {
			return
		}
	}
}

func (s *shard) isActive(id lovagestand.TaskID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.parts[id]
	return ok && p.state != partEnded
}

// preempt checkpoints a part, which stops it, and queues it again to resume
// from the checkpoint. If the checkpoint fails, the part continues to run
// unless the worker reports its end.
func (s *shard) preempt(ctx context.Context, p *part, reason string) {
	s.mu.Lock()
	l, ok := s.links[p.worker]
	id := p.task.ID
	s.mu.Unlock()
	if !ok {
		return
	}
	limited, cancel := context.WithTimeout(ctx, s.timings.callTimeout)
	checkpoint, err := s.deps.Workers.Checkpoint(limited, l.worker.Address, id)
	cancel()

	s.mu.Lock()
	defer s.mu.Unlock()
	if p.task.ID != id {
		return
	}
	now := time.Now()
	switch {
	case err != nil && p.state == partStopping:
		s.deps.Log.Warn().Err(err).Str("task", string(id)).Msg("checkpoint failed; the task counts as running")
		p.state = partRunning
		s.decider.Adopt(now, p.task, p.worker)
	case p.state == partStopping:
		s.decider.Finish(now, id, lovagestand.TaskResult{Phase: lovagestand.TaskStopped, Ran: now.Sub(p.startedAt)})
		p.checkpoint = checkpoint
		s.resume(now, p, reason)
	case p.state == partBlocked:
		if err == nil {
			p.checkpoint = checkpoint
		}
		s.resume(now, p, reason)
	}
}

// resume queues a preempted part again.
func (s *shard) resume(now time.Time, p *part, reason string) {
	p.phase = lovagestand.TaskStopped
	p.reason = reason
	if p.request.final() || p.request.cancelled {
		p.state = partEnded
		s.finishIfEnded(now, p.request)
		return
	}
	if !p.request.hasBody {
		p.state = partBlocked
		return
	}
	s.queueNextAttempt(now, p)
}
