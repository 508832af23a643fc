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
	// batchInterval is the least time between two writes, so that one write
	// carries what many callers and workers said.
	batchInterval = 25 * time.Millisecond
	// stallAfter is how long a write may take before new jobs are rejected
	// rather than queued behind it.
	stallAfter = 600 * time.Millisecond
	// slowWriteAfter is how long a write may take before the next one begins beside
	// it: far more than a store in another region needs.
	slowWriteAfter = 70 * time.Millisecond
	// sweepInterval spaces the search for finished jobs to forget.
	sweepInterval = 2 * time.Second
	// maxClockSkew is added to the retention of finished jobs, because the
	// time of an end is that of the clock of the instance that noted it.
	maxClockSkew = 10 * time.Second
)

// enqueue puts an entry into the write queue.
func (s *Shard) enqueue(e *jobEntry) {
	if e.queuePosition == 0 {
		s.lastQueuePosition++
		e.queuePosition = s.lastQueuePosition
		s.queue = append(s.queue, e)
	}
	s.requestWrite()
}

// requestWrite has the write loop look for what is to be written.
func (s *Shard) requestWrite() {
	select {
	case s.writeRequested <- struct{}{}:
	default:
	}
}

// writeLoop writes queued entries in groups.
func (s *Shard) writeLoop(ctx context.Context) {
	writeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if pause.For(writeCtx, flushTimeout) {
			cancel()
		}
	})()
	lastSweep := time.Now()
	for {
		timer := time.NewTimer(sweepInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			s.writeAll(writeCtx)
			s.extraWriters.Wait()
			s.writeAll(writeCtx)
			return
		case <-s.writeRequested:
		case <-timer.C:
		}
		timer.Stop()
		if time.Since(lastSweep) > sweepInterval {
			lastSweep = time.Now()
			s.expireJobs()
		}
		if !s.writeAll(writeCtx) {
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
		wrote, err := s.writeBatch(ctx, 0)
		if !wrote || err != nil {
			return err == nil
		}
		pause.For(ctx, batchInterval-time.Since(begun))
	}
}

// writeBatch writes one batch in a lane; false if nothing is to be written. While
// it takes long another lane helps.
func (s *Shard) writeBatch(ctx context.Context, lane int) (bool, error) {
	begun := time.Now()
	batch, values, rosterChanges := s.nextBatch(lane)
	if len(values) == 0 {
		return false, nil
	}
	number := s.completedWrites[lane]
	defer time.AfterFunc(stallAfter, func() { s.markStalled(lane, number) }).Stop()
	defer time.AfterFunc(slowWriteAfter, func() { s.startExtraWriter(ctx) }).Stop()
	err := s.deps.Store.WriteIn(ctx, lane, values)
	if err != nil {
		var lost *jobstore.LostError
		if errors.As(err, &lost) {
			s.endTerm("a write found another owner")
		}
		for _, b := range batch {
			notifyWaiters(b.waiters, &UnknownError{})
		}
		return true, err
	}
	s.batchWritten(lane, batch, rosterChanges, time.Since(begun))
	return true, nil
}

// startExtraWriter has a lane that is free write what is queued behind a slow write. A store
// that has not been slow before may be away: then what is queued is better
// rejected than left in doubt.
func (s *Shard) startExtraWriter(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastWriteSlow || s.stalled || s.closing || len(s.queue) == 0 {
		return
	}
	for lane := 1; lane < jobstore.Lanes; lane++ {
		if !s.laneBusy[lane] {
			s.laneBusy[lane] = true
			s.extraWriters.Go(func() { s.writeInExtraLane(ctx, lane) })
			return
		}
	}
}

// writeInExtraLane writes in a lane for as long as writes are slow and more are queued.
func (s *Shard) writeInExtraLane(ctx context.Context, lane int) {
	for {
		begun := time.Now()
		wrote, err := s.writeBatch(ctx, lane)
		if !wrote || err != nil || time.Since(begun) < slowWriteAfter {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.laneBusy[lane] = false
}

// markStalled rejects the queued new jobs, unless the write with a number in a lane has
// been answered: none of them is in a write under way.
func (s *Shard) markStalled(lane, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.completedWrites[lane] != number {
		return
	}
	s.stalled = true
	remaining := s.queue[:0]
	rejected := 0
	for _, e := range s.queue {
		if e.durable || e.endDurable || e.writing || e.unsubmitted {
			remaining = append(remaining, e)
			continue
		}
		rejected++
		delete(s.jobs, e.id)
		delete(s.live, e.id)
		notifyWaiters(e.waiters, &RejectedError{Reason: "the store does not answer", RetryAfter: outageRetryDelay})
	}
	s.queue = remaining
	s.log.Warn().Int("rejected", rejected).Int("queued", len(remaining)).Msg("store stalled: new jobs are rejected")
}

// batchEntry is an entry in a write with what it was when it was encoded.
type batchEntry struct {
	entry         *jobEntry
	queuePosition int64
	final         bool
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
	rosterChanges := int64(0)
	if lane == 0 && s.rosterChanges > 0 {
		rosterChanges = s.rosterChanges
		s.rosterChanges = 0
		values = append(values, s.encodeRoster())
	}
	remaining := s.queue[:0]
	for _, e := range s.queue {
		if e.writing || len(values) >= jobstore.MaxJobs {
			remaining = append(remaining, e)
			continue
		}
		value, err := s.encode(e)
		if err != nil {
			s.log.Error().Err(err).Str("job", string(e.id)).Msg("job cannot be kept")
			continue
		}
		values = append(values, jobstore.Entry{ID: jobKey(e.id), Value: value})
		batch = append(batch, batchEntry{entry: e, queuePosition: e.queuePosition, final: e.final(), unsubmitted: e.unsubmitted, waiters: e.waiters})
		e.queuePosition, e.waiters, e.writing = 0, nil, true
	}
	clear(s.queue[len(remaining):])
	s.queue = remaining
	s.inFlight[lane] = batch
	return batch, values, rosterChanges
}

// encode returns the kept value of an entry.
func (s *Shard) encode(e *jobEntry) ([]byte, error) {
	if e.expired {
		return nil, nil
	}
	if e.final() {
		r := job.Record{Phase: e.currentPhase(), Route: e.route, Finished: e.finishedAt.UnixMilli(), Unsubmitted: e.unsubmitted}
		return r.Encode(nil)
	}
	return e.progress.Record().Encode(e.body)
}

// batchWritten notes that a batch is durable.
func (s *Shard) batchWritten(lane int, batch []batchEntry, rosterChanges int64, took time.Duration) {
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
			s.jobRemoved(e)
		}
		e.writing = false
		e.durable = e.durable || b.unsubmitted == e.unsubmitted
		e.endDurable = e.endDurable || b.final
		s.dropFinishedState(e)
		notifyWaiters(b.waiters, nil)
	}
	if rosterChanges > 0 {
		s.rosterWritten()
	}
	s.lastWriteSlow = took > slowWriteAfter
	s.inFlight[lane] = nil
	s.completedWrites[lane]++
	s.writtenPosition = s.lastWrittenPosition()
	if len(s.queue) > 0 {
		// Jobs that were in this write may be queued again.
		s.requestWrite()
	}
	s.acknowledge()
	s.wake()
}

// lastWrittenPosition returns the place in the queue up to which all is written.
func (s *Shard) lastWrittenPosition() int64 {
	first := s.lastQueuePosition + 1
	for _, e := range s.queue {
		first = min(first, e.queuePosition)
	}
	for _, batch := range s.inFlight {
		for _, b := range batch {
			first = min(first, b.queuePosition)
		}
	}
	return first - 1
}

// dropFinishedState drops what a finished, kept job no longer needs.
func (s *Shard) dropFinishedState(e *jobEntry) {
	if !e.endDurable || e.progress == nil || len(e.active) > 0 {
		return
	}
	e.phase = e.progress.Phase()
	e.progress, e.body, e.steps = nil, nil, nil
}

// expireJobs has jobs removed that have been finished for the retention. Nothing
// else removes a job: it would run again when it is submitted again late.
func (s *Shard) expireJobs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.jobs {
		if !e.endDurable || e.queuePosition != 0 || e.writing || len(e.active) > 0 {
			continue
		}
		if time.Since(e.finishedAt) > s.limits.Retention+maxClockSkew {
			e.expired = true
			s.enqueue(e)
		}
	}
}

// jobRemoved notes that an expired job has been removed from the store.
func (s *Shard) jobRemoved(e *jobEntry) {
	s.log.Info().Str("job", string(e.id)).Str("phase", e.phase).Dur("finishedFor", time.Since(e.finishedAt)).Msg("job forgotten")
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
		w.inRosterWrite = true
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
		w.enrolled = w.enrolled || w.inRosterWrite
	}
}
