package shard

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
)

const (
	// minRecoveredRun is a lower bound for the run numbers that are used after a
	// takeover.
	minRecoveredRun = 10
	// usualRunInterval is the usual time between two starts of one task by one owner. As
	// many more run numbers are skipped as an owner uses at that interval since the job was
	// accepted, so that a job which has moved to another shard and back gets new numbers.
	usualRunInterval = 200 * time.Millisecond
	// runsPerEpoch is how many more run numbers are skipped for each epoch. An owner that
	// starts a task again in every pass, because workers refuse the starts, takes 8 s to use
	// as many. Epochs are revisions of the store, which rises with each heartbeat of a worker.
	runsPerEpoch = 1000
)

// Load reads the jobs and the roster that former terms have stored. It must return
// before Run is called.
func (s *Shard) Load(ctx context.Context) error {
	begun := time.Now()
	entries, err := s.deps.Store.Load(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadedAt = time.Now()
	for _, entry := range entries {
		if entry.ID == jobstore.RosterKey {
			s.loadRoster(entry.Value)
			continue
		}
		if err := s.loadJob(entry, begun); err != nil {
			s.log.Error().Err(err).Str("entry", entry.ID).Msg("cannot decode a stored job")
			s.unreadable[job.ID(strings.TrimPrefix(entry.ID, jobPrefix))] = true
		}
	}
	s.holdFormerRuns()
	s.resolved = len(s.unresolved) == 0 && !s.rosterUnreadable
	if s.resolved {
		s.former = newFormerRuns()
		s.settleSuspicions()
	}
	s.log.Info().Int("jobs", len(s.jobs)).Int("live", len(s.live)).Int64("memory", s.memory.used).Int("workers", len(s.unresolved)).Dur("took", time.Since(begun)).Msg("shard loaded")
	return nil
}

// loadRoster decodes the stored roster into the unresolved workers.
func (s *Shard) loadRoster(value []byte) {
	var roster map[lovagestand.WorkerName]rosterEntry
	if err := json.Unmarshal(value, &roster); err != nil {
		s.log.Error().Err(err).Msg("cannot decode the stored roster; waiting until all leases have expired")
		s.awaitLeaseExpiry()
		return
	}
	idle, listed := 0, 0
	for name, former := range roster {
		s.formerConnections[name] = connectionUse{former: former.Connections, formerBorn: former.Born}
		if former.Tasks != nil {
			listed += len(*former.Tasks)
			if len(*former.Tasks) == 0 {
				idle++
				continue
			}
		}
		s.unresolved[name] = former
	}
	s.log.Info().Int("workers", len(roster)).Int("leavingIdle", idle).Int("tasksOnLeaving", listed).Msg("roster loaded")
}

// awaitLeaseExpiry leaves the runs of former terms unresolved until every lease under
// which they may run has expired.
func (s *Shard) awaitLeaseExpiry() {
	s.rosterUnreadable = true
	time.AfterFunc(s.longestLease()+s.limits.Overlap, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.rosterUnreadable = false
		s.resolveWorker("")
	})
}

// loadJob decodes a stored job.
func (s *Shard) loadJob(stored jobstore.Entry, now time.Time) error {
	r, body, err := job.DecodeRecord(stored.Value)
	if err != nil {
		return err
	}
	id := job.ID(strings.TrimPrefix(stored.ID, jobPrefix))
	if r.Finished > 0 {
		e := newFinishedJobEntry(id, r.Route, r.Team, r.Phase, time.UnixMilli(r.Finished))
		e.durable, e.endDurable, e.unsubmitted = true, true, r.Unsubmitted
		e.move = moveState{count: r.Moves, target: r.MovedTo, moved: r.MovedTo != ""}
		if r.Unsubmitted {
			e.team, e.cancelledBy = "", append([]lovagestand.TeamName{r.Team}, r.CancelledAlsoBy...)
		}
		s.keep(e)
		s.former.addEnded(e, r.Held, e.finishedAt.Add(s.endedRunDuration()), now)
		return nil
	}
	j, err := job.DecodeJob(body)
	if err != nil {
		return errors.Wrapf(err, "job %s", id)
	}
	progress, err := job.Restore(j, r)
	if err != nil {
		return errors.Wrapf(err, "job %s", id)
	}
	progress.ReserveRuns(s.firstRunAfter(progress, now))
	e := newJobEntry(progress, body)
	e.durable, e.recovered = true, true
	if e.move = (moveState{count: r.Moves, target: r.MovedTo, deniedIn: r.DeniedIn}); e.move.leaving() {
		s.moving[id] = e
	}
	s.former.addLive(e, now)
	s.estimateWork(e)
	s.keep(e)
	s.live[id] = e
	return nil
}

// firstRunAfter returns a run number that is higher than those that former owners have used
// for a task of the job, however often starts were refused and whatever their clocks showed: the
// end of a run would count as that of a later one with the same number.
func (s *Shard) firstRunAfter(p *job.Progress, now time.Time) int64 {
	usual := max(0, int64(now.Sub(p.Accepted())/usualRunInterval))
	return minRecoveredRun + usual + runsPerEpoch*int64(s.term.Epoch)
}

// resolveWorker records that the runs that a former term gave a worker are known or
// have ended.
func (s *Shard) resolveWorker(name lovagestand.WorkerName) {
	if s.resolved {
		return
	}
	s.releaseFormerRuns(s.unresolved[name])
	delete(s.unresolved, name)
	if len(s.unresolved) > 0 || s.rosterUnreadable {
		return
	}
	s.resolved = true
	s.former = newFormerRuns()
	s.settleSuspicions()
	s.stopPartialGangs()
	s.log.Info().Dur("took", time.Since(s.loadedAt)).Msg("all runs started by former terms are known")
	s.wake()
}
