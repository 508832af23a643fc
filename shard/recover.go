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
	// minRecoveredRun is the least run number after a takeover.
	minRecoveredRun = 10
	// minRunInterval is the least time between two starts of one task by one
	// owner; a later owner's run numbers leave room for that many.
	minRunInterval = 200 * time.Millisecond
)

// Load reads what the terms before have kept. It must return before Run.
func (s *Shard) Load(ctx context.Context) error {
	begun := time.Now()
	entries, err := s.deps.Store.Load(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadedAt = time.Now()
	for _, k := range entries {
		if k.ID == jobstore.RosterKey {
			s.loadRoster(k.Value)
			continue
		}
		if err := s.loadJob(k, begun); err != nil {
			s.log.Error().Err(err).Str("entry", k.ID).Msg("kept job not understood")
			s.unreadable[job.ID(strings.TrimPrefix(k.ID, jobPrefix))] = true
		}
	}
	s.resolved = len(s.unresolved) == 0 && !s.rosterUnreadable
	s.log.Info().Int("jobs", len(s.jobs)).Int("live", len(s.live)).Int("workers", len(s.unresolved)).Dur("took", time.Since(begun)).Msg("shard loaded")
	return nil
}

func (s *Shard) loadRoster(value []byte) {
	var roster map[lovagestand.WorkerName]rosterEntry
	if err := json.Unmarshal(value, &roster); err != nil {
		s.log.Error().Err(err).Msg("kept roster not understood")
		s.awaitLeaseExpiry()
		return
	}
	for name, former := range roster {
		s.unresolved[name] = former
	}
}

// awaitLeaseExpiry leaves what former terms started unresolved until no lease can
// hold it any more.
func (s *Shard) awaitLeaseExpiry() {
	s.rosterUnreadable = true
	time.AfterFunc(s.longestLease()+s.limits.Overlap, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.rosterUnreadable = false
		s.resolveWorker("")
	})
}

func (s *Shard) loadJob(stored jobstore.Entry, now time.Time) error {
	r, body, err := job.DecodeRecord(stored.Value)
	if err != nil {
		return err
	}
	id := job.ID(strings.TrimPrefix(stored.ID, jobPrefix))
	if r.Finished > 0 {
		e := newFinishedJobEntry(id, r.Route, r.Phase, time.UnixMilli(r.Finished))
		e.durable, e.endDurable, e.unsubmitted = true, true, r.Unsubmitted
		s.jobs[id] = e
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
	progress.ReserveRuns(minRecoveredRun + max(0, int64(now.Sub(progress.Accepted())/minRunInterval)))
	e := newJobEntry(progress, body)
	e.durable, e.recovered = true, true
	s.estimateWork(e)
	s.jobs[id] = e
	s.live[id] = e
	return nil
}

// resolveWorker notes that what a worker ran for a former term is known, or over.
func (s *Shard) resolveWorker(name lovagestand.WorkerName) {
	if s.resolved {
		return
	}
	delete(s.unresolved, name)
	if len(s.unresolved) > 0 || s.rosterUnreadable {
		return
	}
	s.resolved = true
	s.log.Info().Dur("took", time.Since(s.loadedAt)).Msg("all that former terms started is known")
	s.wake()
}
