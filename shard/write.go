package shard

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
)

const (
	// groupWindow is the least time between two writes, so that one write
	// carries what many callers and workers said.
	groupWindow = 25 * time.Millisecond
	// stallAfter is how long a write may take before new jobs are rejected
	// rather than queued behind it.
	stallAfter = 600 * time.Millisecond
	// helpAfter is how long a write may take before the next one begins beside
	// it: far more than a store in another region needs.
	helpAfter = 70 * time.Millisecond
	// sweepInterval spaces the search for finished jobs to forget.
	sweepInterval = 2 * time.Second
	// clockDifference is added to the retention of finished jobs, because the
	// time of an end is that of the clock of the instance that noted it.
	clockDifference = 10 * time.Second
)

// enqueue puts an entry into the write queue.
func (s *Shard) enqueue(e *entry) {
	if e.queuedAt == 0 {
		s.queued++
		e.queuedAt = s.queued
		s.queue = append(s.queue, e)
	}
	s.writeSoon()
}

// writeSoon has the write loop look for what is to be written.
func (s *Shard) writeSoon() {
	select {
	case s.dirtied <- struct{}{}:
	default:
	}
}

// writeLoop writes queued entries in groups.
func (s *Shard) writeLoop(ctx context.Context) {
	writing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if pause.For(writing, flushTimeout) {
			cancel()
		}
	})()
	sweep := time.Now()
	for {
		timer := time.NewTimer(sweepInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			s.writeAll(writing)
			s.helping.Wait()
			s.writeAll(writing)
			return
		case <-s.dirtied:
		case <-timer.C:
		}
		timer.Stop()
		if time.Since(sweep) > sweepInterval {
			sweep = time.Now()
			s.forget()
		}
		if !s.writeAll(writing) {
			return
		}
	}
}

// flushTimeout bounds the last writes of a planned stop.
const flushTimeout = time.Second

// writeAll writes until the queue is empty; false when the term is over.
func (s *Shard) writeAll(ctx context.Context) bool {
	for {
		begun := time.Now()
		wrote, err := s.writeOne(ctx, 0)
		if !wrote || err != nil {
			return err == nil
		}
		pause.For(ctx, groupWindow-time.Since(begun))
	}
}

// writeOne writes one batch in a lane; false if nothing is to be written. While
// it takes long another lane helps.
func (s *Shard) writeOne(ctx context.Context, lane int) (bool, error) {
	begun := time.Now()
	batch, values, roster := s.nextBatch(lane)
	if len(values) == 0 {
		return false, nil
	}
	number := s.answered[lane]
	defer time.AfterFunc(stallAfter, func() { s.stall(lane, number) }).Stop()
	defer time.AfterFunc(helpAfter, func() { s.help(ctx) }).Stop()
	err := s.deps.Store.WriteLane(ctx, lane, values)
	if err != nil {
		var lost *jobstore.TermEndedError
		if errors.As(err, &lost) {
			s.lose("a write found another owner")
		}
		for _, b := range batch {
			answer(b.waiters, &UnknownError{})
		}
		return true, err
	}
	s.writtenBatch(lane, batch, roster, time.Since(begun))
	return true, nil
}

// help has a lane that is free write what is queued behind a slow write. A store
// that has not been slow before may be away: then what is queued is better
// rejected than left in doubt.
func (s *Shard) help(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.slow || s.stalled || s.closing || len(s.queue) == 0 {
		return
	}
	for lane := 1; lane < jobstore.Lanes; lane++ {
		if !s.laneBusy[lane] {
			s.laneBusy[lane] = true
			s.helping.Go(func() { s.helpIn(ctx, lane) })
			return
		}
	}
}

// helpIn writes in a lane for as long as writes are slow and more are queued.
func (s *Shard) helpIn(ctx context.Context, lane int) {
	for {
		begun := time.Now()
		wrote, err := s.writeOne(ctx, lane)
		if !wrote || err != nil || time.Since(begun) < helpAfter {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.laneBusy[lane] = false
}

// stall rejects the queued new jobs, unless the write with a number in a lane has
// been answered: none of them is in a write under way.
func (s *Shard) stall(lane, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered[lane] != number {
		return
	}
	s.stalled = true
	kept := s.queue[:0]
	rejected := 0
	for _, e := range s.queue {
		if e.durable || e.kept || e.writing || e.unsubmitted {
			kept = append(kept, e)
			continue
		}
		rejected++
		delete(s.jobs, e.id)
		delete(s.live, e.id)
		answer(e.waiters, &RejectedError{Reason: "the store does not answer", RetryAfter: retryDelay})
	}
	s.queue = kept
	s.log.Warn().Int("rejected", rejected).Int("queued", len(kept)).Msg("store stalled: new jobs are rejected")
}

// batchEntry is an entry in a write with what it was when it was encoded.
type batchEntry struct {
	entry *entry
	at    int64
	final bool
	// unsubmitted says that the job is written as not submitted.
	unsubmitted bool
	waiters     []chan error
}

const jobPrefix = "jobs/"

func jobKey(id job.ID) string { return jobPrefix + string(id) }

// nextBatch takes what is to be written next in a lane, but for jobs that are
// in a write under way. The roster is written in the first lane.
func (s *Shard) nextBatch(lane int) ([]batchEntry, []jobstore.Entry, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []batchEntry
	var values []jobstore.Entry
	roster := int64(0)
	if lane == 0 && s.rosterAt > 0 {
		roster = s.rosterAt
		s.rosterAt = 0
		values = append(values, s.encodeRoster())
	}
	left := s.queue[:0]
	for _, e := range s.queue {
		if e.writing || len(values) >= jobstore.MaxEntries {
			left = append(left, e)
			continue
		}
		value, err := s.encode(e)
		if err != nil {
			s.log.Error().Err(err).Str("job", string(e.id)).Msg("job cannot be kept")
			continue
		}
		values = append(values, jobstore.Entry{ID: jobKey(e.id), Value: value})
		batch = append(batch, batchEntry{entry: e, at: e.queuedAt, final: e.final(), unsubmitted: e.unsubmitted, waiters: e.waiters})
		e.queuedAt, e.waiters, e.writing = 0, nil, true
	}
	clear(s.queue[len(left):])
	s.queue = left
	s.underWay[lane] = batch
	return batch, values, roster
}

// encode returns the kept value of an entry.
func (s *Shard) encode(e *entry) ([]byte, error) {
	if e.expired {
		return nil, nil
	}
	if e.final() {
		r := job.Record{Phase: e.currentPhase(), Route: e.route, Finished: e.finished.UnixMilli(), Unsubmitted: e.unsubmitted}
		return r.Encode(nil)
	}
	return e.progress.Record().Encode(e.body)
}

// writtenBatch notes that a batch is durable.
func (s *Shard) writtenBatch(lane int, batch []batchEntry, roster int64, took time.Duration) {
	s.deps.Recorder.Observe("writeTimes", "jobs", took)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled {
		s.stalled = false
		s.log.Info().Dur("took", took).Msg("store answers again")
	}
	for _, b := range batch {
		e := b.entry
		if e.expired {
			s.forgotten(e)
		}
		e.writing = false
		e.durable = e.durable || b.unsubmitted == e.unsubmitted
		e.kept = e.kept || b.final
		s.settleFinal(e)
		answer(b.waiters, nil)
	}
	if roster > 0 {
		s.rosterWritten()
	}
	s.slow = took > helpAfter
	s.underWay[lane] = nil
	s.answered[lane]++
	s.written = s.allWritten()
	if len(s.queue) > 0 {
		// Jobs that were in this write may be queued again.
		s.writeSoon()
	}
	s.acknowledge()
	s.wake()
}

// allWritten returns the place in the queue up to which all is written.
func (s *Shard) allWritten() int64 {
	first := s.queued + 1
	for _, e := range s.queue {
		first = min(first, e.queuedAt)
	}
	for _, batch := range s.underWay {
		for _, b := range batch {
			first = min(first, b.at)
		}
	}
	return first - 1
}

// settleFinal drops what a finished, kept job no longer needs.
func (s *Shard) settleFinal(e *entry) {
	if !e.kept || e.progress == nil || len(e.active) > 0 {
		return
	}
	e.phase = e.progress.Phase()
	e.progress, e.body, e.steps = nil, nil, nil
}

// forget has jobs removed that have been finished for the retention. Nothing
// else removes a job: it would run again when it is submitted again late.
func (s *Shard) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.jobs {
		if !e.kept || e.queuedAt != 0 || e.writing || len(e.active) > 0 {
			continue
		}
		if time.Since(e.finished) > s.limits.Retention+clockDifference {
			e.expired = true
			s.enqueue(e)
		}
	}
}

// forgotten notes that an expired job has been removed from the store.
func (s *Shard) forgotten(e *entry) {
	s.log.Info().Str("job", string(e.id)).Str("phase", e.phase).Dur("finishedFor", time.Since(e.finished)).Msg("job forgotten")
	delete(s.jobs, e.id)
}

// rosterEntry is a kept worker that may hold tasks.
type rosterEntry struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
}

// encodeRoster returns the list of workers that may be given tasks.
func (s *Shard) encodeRoster() jobstore.Entry {
	roster := map[lovagestand.WorkerName]rosterEntry{}
	for name, former := range s.unresolved {
		roster[name] = former
	}
	for name, w := range s.workers {
		roster[name] = rosterEntry{Address: w.info.Address, Leaving: !w.info.Ready}
		w.rosterSent = true
	}
	value, err := json.Marshal(roster)
	if err != nil {
		s.log.Error().Err(err).Msg("roster cannot be kept")
		value = []byte("{}")
	}
	return jobstore.Entry{ID: jobstore.RosterKey, Value: value}
}

func (s *Shard) rosterWritten() {
	for _, w := range s.workers {
		w.enrolled = w.enrolled || w.rosterSent
	}
}
