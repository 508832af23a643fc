package placer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// maxRefusals bounds how many workers may refuse a part before it is given up.
const maxRefusals = 20

// start sends a part to a worker. The right is checked before sending, and
// the worker is told the time after which the start must not take effect, so
// that a start delayed anywhere cannot outlive the right.
func (s *shard) start(ctx context.Context, p *part, on lovagestand.WorkerName) {
	now := time.Now()
	right, ok := s.right(now)
	s.mu.Lock()
	l, known := s.links[on]
	if !ok || !known || p.request.final() || p.request.cancelled {
		s.unstarted(now, p, "the right to the shard ended")
		s.mu.Unlock()
		return
	}
	start := lovagestand.TaskStart{
		Task:       p.task,
		NotAfter:   earlier(now.Add(s.timings.startWindow), right.Until),
		Lease:      s.timings.lease,
		Checkpoint: p.checkpoint,
		Body:       p.request.body,
	}
	wasSent := p.sent
	p.sent = true
	l.lastRenewal = now
	s.lastFlight = later(s.lastFlight, start.NotAfter)
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
		s.refuse(time.Now(), p, l, wasSent, refused)
	default:
		s.deps.Log.Warn().Err(err).Str("task", string(p.task.ID)).Msg("start not confirmed")
		s.resolve(ctx, p, l, start, wasSent)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// confirm records that the worker holds the part.
func (s *shard) confirm(now time.Time, p *part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.state != partStarting {
		return
	}
	p.state = partRunning
	p.confirmed = now
	if p.started.IsZero() {
		p.started = now
	}
	if p.request.cancelled || p.request.restarting {
		s.stopSoon(p)
	}
}

// refuse puts a part that surely did not start back in the queue.
func (s *shard) refuse(now time.Time, p *part, l *link, wasSent bool, refused *lovagestand.RefusedError) {
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
	s.unstarted(now, p, refused.Reason)
}

// unstarted takes back a start that surely had no effect.
func (s *shard) unstarted(now time.Time, p *part, reason string) {
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
	s.again(now, p)
}

// abandon ends a request one of whose parts will not be started again.
func (s *shard) abandon(now time.Time, p *part, reason string) {
	r := p.request
	if len(r.parts) > 1 {
		s.stopOthers(p)
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

// resolve finds out whether a start without a reply took effect. The start is
// not sent again: the worker's state, read after the start's time limit,
// tells.
func (s *shard) resolve(ctx context.Context, p *part, l *link, start lovagestand.TaskStart, wasSent bool) {
	for s.isStarting(p, start.Task.ID) {
		asked := time.Now()
		state, err := s.readState(ctx, l.worker.Address)
		if err == nil {
			s.reconcile(asked, l, state)
			if s.isStarting(p, start.Task.ID) && asked.After(start.NotAfter.Add(s.timings.clockSkew)) {
				s.refuse(time.Now(), p, l, wasSent, &lovagestand.RefusedError{Worker: l.worker.Name, Reason: "the start never arrived"})
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
