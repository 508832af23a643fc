package placer

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/worker"
)

// usage is the resource usage of a part as its worker last reported it.
type usage struct {
	amount     lovagestand.Resources
	reportedAt time.Time
	// overCount is the number of consecutive checks that found the usage above
	// the reservation.
	overCount int
	// throttled is set if the part has been limited to its reserved processor
	// time.
	throttled bool
	// stopRequested is set if the part is being stopped because it exceeds its
	// reservation.
	stopRequested bool
}

// recordUsage records the usage that a worker reports for a running part.
func (p *part) recordUsage(now time.Time, report lovagestand.TaskReport) {
	p.usage.amount = report.Usage
	p.usage.reportedAt = now
	p.usage.throttled = p.usage.throttled || report.Phase == lovagestand.TaskThrottled
}

// checkUsage takes action on the parts of a worker that exceed their
// reservations.
func (s *shard) checkUsage(now time.Time, l *link, parts []*part) {
	spare := l.worker.Capacity
	for _, p := range parts {
		spare = spare.Sub(p.task.Resources)
	}
	for _, p := range parts {
		if p.state == partRunning && !p.usage.stopRequested {
			s.checkPartUsage(now, p, spare)
		}
	}
}

func (s *shard) checkPartUsage(now time.Time, p *part, spare lovagestand.Resources) {
	if p.usage.amount.Fits(p.task.Resources) {
		p.usage.overCount = 0
		return
	}
	p.usage.overCount++
	action := worker.ActionFor(worker.Overuse{
		Reserved:    p.task.Resources,
		Usage:       p.usage.amount,
		Spare:       spare,
		Age:         now.Sub(p.usage.reportedAt),
		Reports:     p.usage.overCount,
		Throttled:   p.usage.throttled,
		Checkpoints: p.task.Checkpoints,
	})
	if action == worker.ActionNone {
		return
	}
	s.deps.Log.Warn().Str("task", string(p.task.ID)).Str("worker", string(p.worker)).
		Str("action", string(action)).Msg("task exceeds its reservation")
	s.enforce(p, action)
}

// enforce throttles, checkpoints or stops a part. A part that is stopped
// reserves what it used when it is started again.
func (s *shard) enforce(p *part, action worker.Action) {
	switch action {
	case worker.ActionThrottle:
		p.usage.throttled = true
		go s.throttle(s.ctx, p.worker, p.task.ID)
	case worker.ActionCheckpoint:
		s.raiseReservation(p)
		p.state = partStopping
		s.spawn(func() { s.preempt(s.ctx, p, overuseReason) })
	case worker.ActionStop:
		s.raiseReservation(p)
		s.stopAsync(p)
	case worker.ActionNone:
	}
}

// overuseReason is the reason given for work that was stopped because it
// exceeded its reservation.
const overuseReason = "it took more than its reservation"

// raiseReservation raises the memory and accelerators that further attempts at
// the request reserve to what the part used.
func (s *shard) raiseReservation(p *part) {
	p.usage.stopRequested = true
	r := p.request
	r.task.Resources = lovagestand.Resources{
		MilliCPU:     r.task.Resources.MilliCPU,
		MemoryMiB:    max(r.task.Resources.MemoryMiB, p.usage.amount.MemoryMiB),
		Accelerators: max(r.task.Resources.Accelerators, p.usage.amount.Accelerators),
	}
}

// throttle limits a task to its reservation. It makes only one attempt; the
// next usage report shows whether it took effect.
func (s *shard) throttle(ctx context.Context, workerName lovagestand.WorkerName, id lovagestand.TaskID) {
	s.mu.Lock()
	l, ok := s.links[workerName]
	s.mu.Unlock()
	if !ok {
		return
	}
	limited, cancel := context.WithTimeout(ctx, s.timings.callTimeout)
	defer cancel()
	if err := s.deps.Workers.Throttle(limited, l.worker.Address, id); err != nil {
		s.deps.Log.Warn().Err(err).Str("task", string(id)).Msg("throttling the task failed")
	}
}
