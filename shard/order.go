package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/job"
)

const (
	// orderTimeout is the timeout of one order. It allows for several round trips to
	// the farthest region.
	orderTimeout = 250 * time.Millisecond
	// stopRetryDelay is the pause before an unanswered stop order is sent again.
	stopRetryDelay = 100 * time.Millisecond
	// staleRunGap is added to the run number that a worker refused as stale, so that
	// later run numbers are higher than those that a former term used.
	staleRunGap = 50
	// refusalPause is how long a worker gets no new tasks after it has refused an
	// order that it was expected to accept.
	refusalPause = time.Second
	// maxFailedStops is how many orders in a row to stop a run a worker may leave
	// unanswered before it gets no new tasks.
	maxFailedStops = 3
)

// place reserves room on a worker for a task and sends the order to start it.
func (s *Shard) place(e *jobEntry, task job.Task, run int64, w *worker, t ticket, expectedRunTime time.Duration, where locality, farFactor float64) {
	j := e.progress.Job()
	name := j.TaskName(task)
	if !e.progress.Start(task, run) {
		return
	}
	now := time.Now()
	step := j.Steps[task.Step]
	p := &placement{
		entry: e, task: task, name: name, run: run, needs: step.Needs, worker: w,
		placedAt: now, born: w.born, expectedRunTime: expectedRunTime, locality: where, farFactor: farFactor, longRunning: step.LongRunning, startPending: true, checkpoint: e.progress.Checkpoint(task), checkpointAt: now,
	}
	if p.checkpoint != "" {
		// A resumed run is shorter than a whole one.
		p.locality = localityUnknown
	}
	s.resumePreempted(p)
	s.reserveRoom(p)
	s.activate(p)
	s.beginTrial(p)
	order := lovagestand.Order{
		Task: name, Run: run, Spec: j.Spec, Until: s.extendLease(w, now),
		Epoch: s.term.Epoch, Checkpoint: p.checkpoint, Ticket: t.value,
	}
	if !e.ordered {
		e.ordered = true
		s.deps.Recorder.Observe("waits", string(e.route), now.Sub(e.progress.Accepted()))
	}
	event := s.log.Info().Str("task", name).Int64("run", run).Str("worker", string(w.info.Name)).
		Dur("age", now.Sub(e.progress.Accepted())).Int64("freeMilliCPU", w.free.MilliCPU).Int64("born", w.born)
	if e.recovered && !s.resolved {
		event = event.Int("unanswered", len(s.unresolved))
	}
	e.logLost(event, name).Msg("task placed")
	p.startUntil = order.Until
	go s.sendStart(p, w.target(), order)
}

// sendStart sends an order to start and records the outcome. If the outcome is
// unknown, the run is stopped.
func (s *Shard) sendStart(p *placement, target lovagestand.FleetWorker, order lovagestand.Order) {
	limited, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	begun := time.Now()
	clock, err := s.startRepeatedly(limited, p.worker, target, order)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	p.startPending = false
	refused := refusalOf(err)
	if refused == nil || clock.Millis > 0 {
		s.recordLease(p.worker, order, clock.Millis)
	}
	s.deps.Recorder.Count("starts", startOutcome(err))
	s.deps.Recorder.Observe("orderTimes", "start", time.Since(begun))
	if err == nil {
		p.entry.started, p.started = true, true
		if clock.Born != 0 {
			p.born = clock.Born
		}
		p.settledAt = time.Now()
		if p.stopRequested {
			p.stopRequested = false
			s.stopRun(p)
		}
		return
	}
	if refused != nil {
		s.startRefused(p, refused.Reason)
		return
	}
	if neverSent(err) {
		s.startRefused(p, lovagestand.RefusalUnhealthy)
		return
	}
	s.log.Warn().Str("task", p.name).Int64("run", p.run).Str("worker", string(p.worker.info.Name)).Err(err).Msg("start order not answered; stopping the run")
	p.stopRequested = false
	s.stopRun(p)
	s.stopGang(p)
}

// startRepeatedly sends an order to start, and sends it once more if the connection was
// reset: the worker may accept no further connection while calls on open ones succeed. The
// first order may still be executed later, so only a confirmation of the second one or a
// higher epoch decides.
func (s *Shard) startRepeatedly(ctx context.Context, w *worker, target lovagestand.FleetWorker, order lovagestand.Order) (lovagestand.WorkerClock, error) {
	clock, err := s.startIfAssured(ctx, target, order)
	if !connectionReset(err) {
		return clock, err
	}
	s.recordReset(w)
	repeatedClock, repeatedErr := s.startIfAssured(ctx, target, order)
	refused := refusalOf(repeatedErr)
	if repeatedErr == nil || neverSent(err) || refused != nil && refused.Reason == lovagestand.RefusalFenced {
		return repeatedClock, repeatedErr
	}
	return clock, err
}

// recordReset records that a worker has reset the connection of an order. While it accepts
// no further connections, orders use the one on which it answers holds.
func (s *Shard) recordReset(w *worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deps.Recorder.Count("orderResets", string(w.info.Service))
	now := time.Now()
	if !now.Before(w.fewConnectionsUntil) {
		s.log.Warn().Str("worker", string(w.info.Name)).Int("tasks", len(w.placements)).Msg("worker resets connections; holds do not wait")
	}
	w.fewConnectionsUntil = now.Add(fewConnectionsFor)
}

// startIfAssured sends an order to start. It refuses if the ownership is no longer
// assured: the process may have been suspended since the order was decided, and
// another owner may have followed.
func (s *Shard) startIfAssured(ctx context.Context, target lovagestand.FleetWorker, order lovagestand.Order) (lovagestand.WorkerClock, error) {
	if !s.deps.Assured() {
		return lovagestand.WorkerClock{}, &lovagestand.OrderRefusedError{Worker: target.Name, Reason: lovagestand.RefusalUnhealthy}
	}
	return s.deps.Fleet.Start(ctx, target, order)
}

// startOutcome returns the outcome of an order to start as named in metrics.
func startOutcome(err error) string {
	var refused *lovagestand.OrderRefusedError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &refused):
		return string(refused.Reason)
	}
	return "noAnswer"
}

// startRefused undoes a placement whose run is guaranteed not to have started.
func (s *Shard) startRefused(p *placement, reason lovagestand.RefusalReason) {
	s.log.Warn().Str("task", p.name).Int64("run", p.run).Str("worker", string(p.worker.info.Name)).Str("reason", string(reason)).Msg("start refused")
	if p.worker.placements[p.name] != p {
		return
	}
	p.recordLost(refusedStart(reason))
	now := time.Now()
	switch reason {
	case lovagestand.RefusalFenced:
		s.endTerm("worker " + string(p.worker.info.Name) + " has seen a higher epoch")
		return
	case lovagestand.RefusalStaleRun:
		if p.entry.progress != nil {
			p.entry.progress.ReserveRuns(p.run + staleRunGap)
		}
	case lovagestand.RefusalTicket:
		if p.entry.steps != nil {
			st := p.entry.step(p.ref())
			st.setTicket(p.worker, ticket{})
		}
	default:
		p.worker.quarantinedUntil = later(p.worker.quarantinedUntil, now.Add(refusalPause))
	}
	s.requeue(p)
}

// stopRun orders a worker to stop a run. The room of the run stays reserved until the
// worker lists its end or no longer lists the run.
func (s *Shard) stopRun(p *placement) {
	if p.stopRequested {
		return
	}
	p.stopRequested = true
	p.worker.runs = nil
	if p.startPending {
		return
	}
	go s.sendStop(p)
}

// workerInfo returns the entry of a worker in the list, with the address and the
// incarnation that orders are sent to, and the bounds for their connections.
func (s *Shard) workerInfo(w *worker) lovagestand.FleetWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.target()
}

// sendStop sends an order to stop until the worker has confirmed it, the placement is
// gone or the term ends.
func (s *Shard) sendStop(p *placement) {
	for {
		target := s.workerInfo(p.worker)
		limited, cancel := context.WithTimeout(s.ctx, orderTimeout)
		_, err := s.deps.Fleet.Stop(limited, target, p.name, p.run, s.term.Epoch)
		cancel()
		s.mu.Lock()
		done := s.ctx.Err() != nil || p.worker.placements[p.name] != p
		refused := refusalOf(err)
		if err == nil || refused != nil && refusalConfirmsStop(refused.Reason) {
			p.settledAt, p.failedStops = time.Now(), 0
			done = true
		} else {
			s.stopFailed(p)
		}
		s.mu.Unlock()
		if connectionReset(err) {
			s.recordReset(p.worker)
		}
		if err == nil {
			s.queryWorker(p.worker)
		}
		if done || !pause.For(s.ctx, stopRetryDelay) {
			return
		}
	}
}

// stopFailed records that a worker has left an order to stop unanswered. A worker that
// does so repeatedly gets no new tasks for a time, although it may answer holds.
func (s *Shard) stopFailed(p *placement) {
	p.failedStops++
	if p.failedStops >= maxFailedStops {
		p.worker.quarantinedUntil = later(p.worker.quarantinedUntil, time.Now().Add(refusalPause))
	}
}

// sendStrayStop sends an order to stop a stray run until it is confirmed, the worker
// no longer lists the run or ctx ends.
func (s *Shard) sendStrayStop(ctx context.Context, w *worker, stray lovagestand.RunningTask) {
	for {
		target := s.workerInfo(w)
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := s.deps.Fleet.Stop(limited, target, stray.Task, stray.Run, s.term.Epoch)
		cancel()
		if err == nil || !pause.For(ctx, stopRetryDelay) {
			return
		}
		s.mu.Lock()
		_, there := w.strays[stray.Task]
		s.mu.Unlock()
		if !there {
			return
		}
	}
}
