package shard

import (
	"context"
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
	"lovagestand.example/lovagestand/job"
)

// RejectedError reports that a job was not accepted and is guaranteed not to run.
type RejectedError struct {
	Reason string
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
	// OverLimit reports whether the job is beyond a limit of the caller's team, rather
	// than rejected because of a failure.
	OverLimit bool
	// Overloaded indicates that the job was rejected because of the load.
	Overloaded bool
	// Stalled indicates that the job was rejected because the store does not answer, so
	// that it may be accepted as soon as the store answers again.
	Stalled bool
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("job rejected: %s", e.Reason)
}

// UnknownError reports that a change may or may not have been stored.
type UnknownError struct{}

// Error implements error.
func (e *UnknownError) Error() string { return "the store has not confirmed the change" }

// UnknownJobError reports that there is no such job.
type UnknownJobError struct{}

// Error implements error.
func (e *UnknownJobError) Error() string { return "no such job" }

// OtherTeamError reports that the ID of a submission belongs to a job of another team.
// The submitted job was not accepted and is guaranteed not to run.
type OtherTeamError struct{}

// Error implements error.
func (e *OtherTeamError) Error() string { return "the ID belongs to a job of another caller" }

// NotOwnerError reports that this instance does not own the shard, or cannot
// confirm that it does.
type NotOwnerError struct{}

// Error implements error.
func (e *NotOwnerError) Error() string { return "this instance does not own the shard" }

// IsolatedError reports that the shard has an owner that this instance cannot reach.
// Nothing was done, and the caller can try another instance at once.
type IsolatedError struct{}

// Error implements error.
func (e *IsolatedError) Error() string { return "this instance does not reach the owner of the shard" }

// The phases that are reported to callers while the job's own phase is ahead of what
// is confirmed.
var (
	phaseQueued  = chart.Job().StateName(chart.Job().MustState("queued"))
	phaseRunning = chart.Job().StateName(chart.Job().MustState("running"))
	// phaseCancelled is the phase of a job that was cancelled before it was submitted.
	phaseCancelled = chart.Job().StateName(chart.Job().MustState("cancelled"))
)

const (
	// outageRetryDelay is how long callers should wait before they try again during an
	// outage of the store.
	outageRetryDelay = time.Second
	// withdrawnRetryDelay is how long callers of a team that was removed should wait
	// before they try again. By then the gateway usually has the newer version too and
	// rejects the key.
	withdrawnRetryDelay = time.Second
)

func stalledError() error {
	return &RejectedError{Reason: "the store does not answer", RetryAfter: outageRetryDelay, Stalled: true}
}

// Submit accepts a job and returns once it is durable. A duplicate submission of a
// job that is already durable changes nothing and succeeds. The version is that of the
// configuration with which the gateway admitted the job.
func (s *Shard) Submit(ctx context.Context, j job.Job, body []byte, version int64) error {
	s.mu.Lock()
	e, known := s.jobs[j.ID]
	if known && !e.visibleTo(j.Team) && !e.unsubmitted {
		s.log.Info().Str("job", string(j.ID)).Str("team", string(j.Team)).Msg("submission with the ID of another team's job rejected")
		s.mu.Unlock()
		return &OtherTeamError{}
	}
	if known && e.durable && !e.unsubmitted {
		s.log.Info().Str("job", string(j.ID)).Str("phase", e.currentPhase()).Msg("duplicate submission of a known job")
		s.mu.Unlock()
		return nil
	}
	if s.unreadable[j.ID] || s.closing && known {
		// The write in flight may store an earlier submission of the job.
		s.mu.Unlock()
		return &UnknownError{}
	}
	if s.closing {
		s.mu.Unlock()
		return &NotOwnerError{}
	}
	if !known || e.unsubmitted && !e.cancelled(j.Team) {
		err := s.rejection(j, version)
		if err == nil {
			err = s.checkMemory(j.ID, weightOf(j, body))
		}
		if err != nil {
			s.mu.Unlock()
			return err
		}
		fresh := newJobEntry(job.New(j, time.Now()), body)
		s.estimateWork(fresh)
		if err := s.admit(time.Now(), fresh); err != nil {
			s.mu.Unlock()
			return err
		}
		e = s.accept(e, fresh)
	}
	if e.unsubmitted {
		s.log.Info().Str("job", string(j.ID)).Msg("job was cancelled before it was submitted")
		e.unsubmitted, e.durable, e.route = false, false, j.Policy.Route
		e.team, e.cancelledBy = j.Team, nil
	}
	s.enqueue(e)
	done := s.addWaiter(e)
	s.mu.Unlock()
	return s.awaitSubmission(ctx, e, done)
}

// rejection returns the error with which a new job is rejected, or nil.
func (s *Shard) rejection(j job.Job, version int64) error {
	if s.stalled {
		return stalledError()
	}
	if s.withdrawn(j.Team, version) {
		s.log.Info().Str("job", string(j.ID)).Str("team", string(j.Team)).Int64("version", version).Msg("job of a team that is no longer in the configuration rejected")
		return &RejectedError{Reason: "the team is no longer in the configuration", RetryAfter: withdrawnRetryDelay}
	}
	return s.checkQuota(j)
}

// accept adds the entry of a new job. It takes the place of the entry of an unsubmitted job
// with that ID that other teams have cancelled, if there is one.
func (s *Shard) accept(cancellation, e *jobEntry) *jobEntry {
	if cancellation != nil {
		e = cancellation.replacedBy(e)
	}
	s.keep(e)
	s.live[e.id] = e
	s.log.Info().Str("job", string(e.id)).Str("team", string(e.team)).Str("route", string(e.route)).Int("steps", len(e.progress.Job().Steps)).Int("live", len(s.live)).Int64("memory", s.memory.used).Msg("job accepted")
	return e
}

// addWaiter returns a channel that receives the outcome of the next write of an entry.
func (s *Shard) addWaiter(e *jobEntry) chan error {
	done := make(chan error, 1)
	e.waiters = append(e.waiters, done)
	return done
}

// awaitWrite waits for the outcome of a write. It returns an [UnknownError] if ctx or
// the term ends before the outcome is known.
func (s *Shard) awaitWrite(ctx context.Context, e *jobEntry, done chan error) error {
	select {
	case err := <-done:
		return err
	case <-s.lost:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case err := <-done:
		return err
	default:
	}
	if ctx.Err() != nil {
		s.log.Info().Str("job", string(e.id)).Bool("inQueue", e.queuePosition > 0).Msg("caller stopped waiting before the job was stored")
	}
	return &UnknownError{}
}

// State returns the phase of a job as reported to callers. It returns an
// [UnknownJobError] only once the store shows that no later owner can have accepted
// the job.
func (s *Shard) State(ctx context.Context, id job.ID, team lovagestand.TeamName) (string, error) {
	s.mu.Lock()
	e, known := s.jobs[id]
	known = known && !e.unsubmitted && !e.move.moved && e.visibleTo(team)
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

// reportedPhase returns the phase that may be reported to callers: a start is reported
// only once a worker has confirmed it, and an end only once it is stored.
func (e *jobEntry) reportedPhase() string {
	switch {
	case !e.final() && !e.started:
		return phaseQueued
	case e.final() && !e.endDurable:
		return phaseRunning
	}
	return e.currentPhase()
}

// Cancel ends a job and returns once that is durable. An unknown job is stored as
// cancelled by the team too, because its submission may still arrive; Cancel then
// returns an [UnknownJobError]. So it does for a job of another team, which it leaves as
// it is, once that job is durable: from then on the team's own submission is rejected.
func (s *Shard) Cancel(ctx context.Context, id job.ID, team lovagestand.TeamName) error {
	s.mu.Lock()
	e, known := s.jobs[id]
	s.logCancel(id, e)
	otherTeams := known && !e.unsubmitted && !e.visibleTo(team)
	if known && e.move.leaving() && !otherTeams {
		moved := e.move.moved
		s.mu.Unlock()
		if moved {
			return &UnknownJobError{}
		}
		// The owner of the other shard decides once it has the job.
		return &NotOwnerError{}
	}
	if known && e.cancellationStored(team) {
		unknown := e.unsubmitted || otherTeams
		s.mu.Unlock()
		return cancelResult(unknown)
	}
	if s.closing {
		s.mu.Unlock()
		return &NotOwnerError{}
	}
	if s.unreadable[id] {
		s.mu.Unlock()
		return &UnknownError{}
	}
	if !known && s.stalled {
		s.mu.Unlock()
		return stalledError()
	}
	if !known {
		if err := s.checkMemory(id, entryWeight); err != nil {
			s.mu.Unlock()
			return err
		}
	}
	switch {
	case !known:
		e = newFinishedJobEntry(id, "", "", phaseCancelled, time.Now())
		e.unsubmitted = true
		e.cancelledBy = []lovagestand.TeamName{team}
		s.keep(e)
	case e.unsubmitted && !e.cancelled(team):
		e.addCancellation(team)
	case !otherTeams && e.progress != nil && e.progress.Cancel():
		s.log.Info().Str("job", string(id)).Int("running", len(e.active)).Msg("job cancelled")
		s.finishJob(e)
	}
	unknown := e.unsubmitted || otherTeams
	s.enqueue(e)
	done := s.addWaiter(e)
	s.mu.Unlock()
	if err := s.awaitWrite(ctx, e, done); err != nil {
		return err
	}
	return cancelResult(unknown)
}

// cancelResult returns the result of Cancel for a cancellation that is durable.
func cancelResult(unknown bool) error {
	if unknown {
		return &UnknownJobError{}
	}
	return nil
}

// logCancel logs the state of a job at the time of its cancellation.
func (s *Shard) logCancel(id job.ID, e *jobEntry) {
	event := s.log.Info().Str("job", string(id)).Bool("known", e != nil)
	if e != nil {
		event = event.Str("phase", e.currentPhase()).Bool("durable", e.durable).Bool("kept", e.endDurable).Bool("writing", e.writing)
	}
	event.Msg("cancellation received")
}

// finishJob stops the tasks that still run of a job that has ended.
func (s *Shard) finishJob(e *jobEntry) {
	delete(s.live, e.id)
	e.finishedAt = time.Now()
	for _, p := range e.active {
		s.stopRun(p)
	}
	s.wake()
}

// Pending returns the number of accepted jobs of a route that have not started.
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
