package shard

import (
	"context"
	"slices"
	"time"
)

const (
	// maxQueueWait is how long a new job may wait without being part of a write. The
	// instance that passed it on waits for 800 ms, and its outcome is not known to the
	// caller afterwards.
	maxQueueWait = 600 * time.Millisecond
	// answerReserve is the part of a known deadline that is left for the answer.
	answerReserve = 100 * time.Millisecond
)

// queueWait returns how long a new job may wait in the queue, given the time until the
// caller's deadline if there is one.
func queueWait(untilDeadline time.Duration, hasDeadline bool) time.Duration {
	if !hasDeadline {
		return maxQueueWait
	}
	return max(0, min(maxQueueWait, untilDeadline-answerReserve))
}

// awaitSubmission waits until a submitted job is stored. If the job is in no write by the
// time at which the caller must be answered, it is withdrawn: "not accepted" is then true,
// and the caller may submit it again.
func (s *Shard) awaitSubmission(ctx context.Context, e *jobEntry, done chan error) error {
	deadline, hasDeadline := ctx.Deadline()
	timer := time.NewTimer(queueWait(time.Until(deadline), hasDeadline))
	defer timer.Stop()
	withdrawal := stalledError()
	select {
	case err := <-done:
		return err
	case <-timer.C:
	case <-s.lost:
		withdrawal = &NotOwnerError{}
	case <-ctx.Done():
		return s.awaitWrite(ctx, e, done)
	}
	s.mu.Lock()
	withdrawn := s.withdraw(e, withdrawal)
	s.mu.Unlock()
	if !withdrawn {
		return s.awaitWrite(ctx, e, done)
	}
	s.log.Info().Str("job", string(e.id)).Str("reason", withdrawal.Error()).Msg("job withdrawn before it was in a write")
	return withdrawal
}

// neverWritten reports whether an entry of the queue describes a new job of which no
// write, completed or not, contains anything. An entry of a later generation may replace a
// stored cancellation, which must not be forgotten.
func (e *jobEntry) neverWritten() bool {
	return e.queuePosition > 0 && !e.durable && !e.endDurable && !e.writing && !e.unsubmitted && e.generation == 0
}

// withdraw forgets a job that was never written and answers its callers with err. It
// returns false if a write may contain the job. The caller holds mu.
func (s *Shard) withdraw(e *jobEntry, err error) bool {
	if !e.neverWritten() || s.jobs[e.id] != e {
		return false
	}
	s.queue = slices.DeleteFunc(s.queue, func(q *jobEntry) bool { return q == e })
	s.forget(e)
	notifyWaiters(e.waiters, err)
	e.queuePosition, e.waiters = 0, nil
	return true
}
