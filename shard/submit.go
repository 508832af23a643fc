package shard

import (
	"context"
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
	"lovagestand.example/lovagestand/job"
)

// RejectedError says that a job was surely not taken.
type RejectedError struct {
	Reason string
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("job rejected: %s", e.Reason)
}

// UnknownError says that a change may or may not have been kept.
type UnknownError struct{}

// Error implements error.
func (e *UnknownError) Error() string { return "the store has not confirmed the change" }

// UnknownJobError says that there is no such job.
type UnknownJobError struct{}

// Error implements error.
func (e *UnknownJobError) Error() string { return "no such job" }

// NotOwnerError says that this instance does not own the shard for sure.
type NotOwnerError struct{}

// Error implements error.
func (e *NotOwnerError) Error() string { return "this instance does not own the shard" }

// IsolatedError says that this instance does not reach the owner although there
// is one: nothing was done, and another instance can be asked at once.
type IsolatedError struct{}

// Error implements error.
func (e *IsolatedError) Error() string { return "this instance does not reach the owner of the shard" }

// The phases that callers are told although the job's own is ahead of what is
// certain.
var (
	phaseQueued  = chart.Job().StateName(chart.Job().MustState("queued"))
	phaseRunning = chart.Job().StateName(chart.Job().MustState("running"))
	// phaseCancelled is that of a job cancelled before it was submitted.
	phaseCancelled = chart.Job().StateName(chart.Job().MustState("cancelled"))
)

// outageRetryDelay is when callers may come back after an outage of the store.
const outageRetryDelay = time.Second

// Submit takes a job and returns once it is durable. A repeated job is the
// same job.
func (s *Shard) Submit(ctx context.Context, j job.Job, body []byte) error {
	s.mu.Lock()
	e, known := s.jobs[j.ID]
	if known && e.durable && !e.unsubmitted {
		s.log.Info().Str("job", string(j.ID)).Str("phase", e.currentPhase()).Msg("copy of a known job")
		s.mu.Unlock()
		return nil
	}
	if s.unreadable[j.ID] || s.closing && known {
		// An earlier copy may be kept by the write under way.
		s.mu.Unlock()
		return &UnknownError{}
	}
	if s.closing {
		s.mu.Unlock()
		return &NotOwnerError{}
	}
	if !known {
		if s.stalled {
			s.mu.Unlock()
			return &RejectedError{Reason: "the store does not answer", RetryAfter: outageRetryDelay}
		}
		e = newJobEntry(job.New(j, time.Now()), body)
		s.estimateWork(e)
		s.jobs[j.ID] = e
		s.live[j.ID] = e
		s.log.Info().Str("job", string(j.ID)).Str("route", string(e.route)).Int("steps", len(j.Steps)).Int("live", len(s.live)).Msg("job taken")
	}
	if e.unsubmitted {
		s.log.Info().Str("job", string(j.ID)).Msg("job was cancelled before it was submitted")
		e.unsubmitted, e.durable, e.route = false, false, j.Policy.Route
	}
	s.enqueue(e)
	done := s.addWaiter(e)
	s.mu.Unlock()
	return s.awaitWrite(ctx, e, done)
}

// addWaiter adds a waiter for the next write of an entry.
func (s *Shard) addWaiter(e *jobEntry) chan error {
	done := make(chan error, 1)
	e.waiters = append(e.waiters, done)
	return done
}

// awaitWrite waits for a write. Whoever leaves early does not know the outcome.
func (s *Shard) awaitWrite(ctx context.Context, e *jobEntry, done chan error) error {
	select {
	case err := <-done:
		return err
	case <-s.lost:
		return &UnknownError{}
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Info().Str("job", string(e.id)).Bool("inQueue", e.queuePosition > 0).Msg("caller gave up before the job was kept")
	return &UnknownError{}
}

// State returns what callers see of a job. That there is none is only said once
// the store shows that no later owner can have taken it.
func (s *Shard) State(ctx context.Context, id job.ID) (string, error) {
	s.mu.Lock()
	e, known := s.jobs[id]
	known = known && !e.unsubmitted
	if known && e.durable {
		defer s.mu.Unlock()
		return e.reportedPhase(), nil
	}
	known = known || s.unreadable[id]
	s.mu.Unlock()
	if known || !s.confirmOwnership(ctx) {
		return "", &NotOwnerError{}
	}
	return "", &UnknownJobError{}
}

// reportedPhase is the phase that callers may be told: a start only once a worker
// has told of it, an end only once it is kept.
func (e *jobEntry) reportedPhase() string {
	switch {
	case !e.final() && !e.started:
		return phaseQueued
	case e.final() && !e.endDurable:
		return phaseRunning
	}
	return e.currentPhase()
}

// Cancel ends a job and returns once that is durable. A job that is not known
// is kept as cancelled too, since it may yet be submitted; then Cancel fails with
// an [UnknownJobError].
func (s *Shard) Cancel(ctx context.Context, id job.ID) error {
	s.mu.Lock()
	e, known := s.jobs[id]
	s.logCancel(id, e)
	if known && e.endDurable {
		unsubmitted := e.unsubmitted
		s.mu.Unlock()
		return cancelResult(unsubmitted)
	}
	if s.closing {
		s.mu.Unlock()
		return &NotOwnerError{}
	}
	if s.unreadable[id] {
		s.mu.Unlock()
		return &UnknownError{}
	}
	if !known {
		if s.stalled {
			s.mu.Unlock()
			return &RejectedError{Reason: "the store does not answer", RetryAfter: outageRetryDelay}
		}
		e = newFinishedJobEntry(id, "", phaseCancelled, time.Now())
		e.unsubmitted = true
		s.jobs[id] = e
	}
	if e.progress != nil && e.progress.Cancel() {
		s.log.Info().Str("job", string(id)).Int("running", len(e.active)).Msg("job cancelled")
		s.finishJob(e)
	}
	unsubmitted := e.unsubmitted
	s.enqueue(e)
	done := s.addWaiter(e)
	s.mu.Unlock()
	if err := s.awaitWrite(ctx, e, done); err != nil {
		return err
	}
	return cancelResult(unsubmitted)
}

// cancelResult is what Cancel returns once a cancellation is durable.
func cancelResult(unsubmitted bool) error {
	if unsubmitted {
		return &UnknownJobError{}
	}
	return nil
}

// logCancel says what was known of a job when its cancellation came.
func (s *Shard) logCancel(id job.ID, e *jobEntry) {
	event := s.log.Info().Str("job", string(id)).Bool("known", e != nil)
	if e != nil {
		event = event.Str("phase", e.currentPhase()).Bool("durable", e.durable).Bool("kept", e.endDurable).Bool("writing", e.writing)
	}
	event.Msg("job to be cancelled")
}

// finishJob stops all that still runs of a job that has ended.
func (s *Shard) finishJob(e *jobEntry) {
	delete(s.live, e.id)
	e.finishedAt = time.Now()
	for _, p := range e.active {
		s.stopRun(p)
	}
	s.wake()
}

// Pending returns how many accepted jobs of a route have not started.
func (s *Shard) Pending(route lovagestand.RouteName) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.deps.Confirmed() {
		return 0, &NotOwnerError{}
	}
	n := 0
	for _, e := range s.live {
		if e.route == route && e.durable && !e.started {
			n++
		}
	}
	return n, nil
}
