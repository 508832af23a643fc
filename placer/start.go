package placer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// maxRefusals is how often workers may refuse a part before its request is
// given up.
const maxRefusals = 20

// start sends a part to a worker. It checks the ownership lease before sending
// and passes the worker a deadline within that lease, so that a start that is
// delayed on its way cannot take effect after the lease has ended.
func (s *shard) start(ctx context.Context, p *part, workerName lovagestand.WorkerName) {
	now := time.Now()
	lease, ok := s.lease(now)
	s.mu.Lock()
	l, known := s.links[workerName]
	if !ok || !known || p.request.final() || p.request.cancelled {
		s.revertStart(now, p, "the right to the shard ended")
		s.mu.Unlock()
		return
	}
	start := lovagestand.TaskStart{
		Task:       p.task,
		NotAfter:   earlier(now.Add(s.timings.startWindow), lease.Until),
		Lease:      s.timings.lease,
		Checkpoint: p.checkpoint,
		Body:       p.request.body,
	}
	wasSent := p.sent
	p.sent = true
	l.lastRenewal = now
	s.lastStartDeadline = later(s.lastStartDeadline, start.NotAfter)
	address := l.worker.Address
	s.mu.Unlock()

	limited, cancel := context.WithTimeout(ctx, s.timings.callTimeout)
	err := s.deps.Workers.Start(limited, address, start)
	cancel()

	var refused *lovagestand.RefusedError
	switch {
	case err == nil:
		s.confirm(time.Now(), p)
	case errors.As(err, &refused):
		s.handleRefusal(time.Now(), p, l, wasSent, refused)
	default:
		s.deps.Log.Warn().Err(err).Str("task", string(p.task.ID)).Msg("start failed without a refusal; its outcome is unknown")
		s.resolveStart(ctx, p, l, start, wasSent)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// confirm records that the worker has accepted the part.
func (s *shard) confirm(now time.Time, p *part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.state != partStarting {
		return
	}
	p.state = partRunning
	p.confirmedAt = now
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	if p.request.cancelled || p.request.restarting {
		s.stopAsync(p)
	}
}

// handleRefusal reverts a start that the worker refused or never received, and
// that is therefore guaranteed to have had no effect.
func (s *shard) handleRefusal(now time.Time, p *part, l *link, wasSent bool, refused *lovagestand.RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.state != partStarting {
		return
	}
	if refused.Leaving {
		l.refusing = true
		s.setWorker(now, l)
	}
	p.sent = wasSent
	p.refusals++
	s.revertStart(now, p, refused.Reason)
}

// revertStart reverts a start that is guaranteed to have had no effect. The
// part is queued again unless its request has ended or was cancelled or the
// part has been refused too often.
func (s *shard) revertStart(now time.Time, p *part, reason string) {
	s.decider.Finish(now, p.task.ID, lovagestand.TaskResult{Phase: lovagestand.TaskStopped, Refused: true})
	p.phase = lovagestand.TaskStopped
	p.reason = reason
	if p.request.final() {
		p.state = partEnded
		return
	}
	if p.request.cancelled || p.refusals > maxRefusals {
		p.state = partEnded
		s.abandon(now, p, reason)
		return
	}
	s.scheduleRetry(now, p)
}

// abandon ends a request because one of its parts will not be started again.
func (s *shard) abandon(now time.Time, p *part, reason string) {
	r := p.request
	if len(r.parts) > 1 {
		s.stopOtherParts(p)
	}
	switch {
	case !r.started():
		s.finish(now, r, lovagestand.NotRunAnswer(r.task.Key, reason, 0))
	case r.cancelled:
		s.finish(now, r, lovagestand.Answer{Outcome: lovagestand.OutcomeCancelled, Reason: reason})
	default:
		s.finish(now, r, lovagestand.UnknownAnswer(r.task.Key, reason))
	}
}

// resolveStart determines whether a start without a reply took effect. It does
// not send the start again. Instead it reads the worker's state: if a state
// read after the start's deadline does not contain the task, the start had no
// effect.
func (s *shard) resolveStart(ctx context.Context, p *part, l *link, start lovagestand.TaskStart, wasSent bool) {
	for s.isStarting(p, start.Task.ID) {
		queriedAt := time.Now()
		state, err := s.readState(ctx, l.worker.Address)
		if err == nil {
			s.reconcile(queriedAt, l, state)
			if s.isStarting(p, start.Task.ID) && queriedAt.After(start.NotAfter.Add(s.timings.clockSkew)) {
				s.handleRefusal(time.Now(), p, l, wasSent, &lovagestand.RefusedError{Worker: l.worker.Name, Reason: "the start never arrived"})
				return
			}
		}
		if !pause.For(ctx, s.timings.retryInterval) {
			return
		}
	}
}

func (s *shard) isStarting(p *part, id lovagestand.TaskID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.state == partStarting && p.task.ID == id
}

func (s *shard) readState(ctx context.Context, address string) (lovagestand.WorkerState, error) {
	limited, cancel := context.WithTimeout(ctx, s.timings.callTimeout)
	defer cancel()
	return s.deps.Workers.State(limited, address)
}
