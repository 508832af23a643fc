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
	// batchInterval is the minimum time from the start of one write to the start of
	// the next, so that one write carries the changes of many callers and workers.
	batchInterval = 25 * time.Millisecond
	// stallAfter is how long a write may take before new jobs are rejected instead of
	// queued behind it.
	stallAfter = 600 * time.Millisecond
	// maxBatchBytes is the size from which a write takes no more jobs. A write takes several
	// times its size in memory, and up to three attempts at it wait at the same time in each
	// lane.
	maxBatchBytes = 256 << 10
	// slowWriteAfter is how long a write may take before it counts as slow and the next
	// one starts beside it. It is far longer than a write to a store in another region
	// takes.
	slowWriteAfter = 70 * time.Millisecond
	// sweepInterval is the time between two searches for finished jobs whose retention
	// has passed.
	sweepInterval = 2 * time.Second
	// maxClockSkew is added to the retention of finished jobs, because the time at which
	// a job ended was read from the clock of the instance that recorded it.
	maxClockSkew = 10 * time.Second
)

// enqueue adds an entry to the write queue unless it is queued already.
func (s *Shard) enqueue(e *jobEntry) {
	if e.queuePosition == 0 {
		s.lastQueuePosition++
		e.queuePosition = s.lastQueuePosition
		s.queue = append(s.queue, e)
	}
	s.requestWrite()
}

// requestWrite makes the write loop check for changes to write.
func (s *Shard) requestWrite() {
	select {
	case s.writeRequested <- struct{}{}:
	default:
	}
}

// writeLoop writes queued entries in batches until ctx ends or the term is over. After
// ctx has ended it writes what is left in the queue within flushTimeout.
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

// flushTimeout is the timeout of the last writes of a planned stop.
const flushTimeout = time.Second

// writeAll writes in the first lane until nothing is left to write. It returns false if
// a write failed, which means that the term is over. After an outage of the store it
// makes no pauses.
func (s *Shard) writeAll(ctx context.Context) bool {
	for {
		begun := time.Now()
		wrote, err := s.writeBatch(ctx, 0)
		if !wrote || err != nil {
			return err == nil
		}
		if !s.recovering() {
			pause.For(ctx, batchInterval-time.Since(begun))
		}
	}
}

// writeBatch writes one batch in a lane and reports whether there was anything to
// write. While the write is slow, an extra writer is started in another lane.
func (s *Shard) writeBatch(ctx context.Context, lane int) (bool, error) {
	begun := time.Now()
	batch, values, rosterChanges := s.nextBatch(lane)
	if len(values) == 0 {
		return false, nil
	}
	number := s.completedWrites[lane]
	defer time.AfterFunc(stallAfter, func() { s.markStalled(lane, number) }).Stop()
	defer time.AfterFunc(slowWriteAfter, func() { s.startExtraWriter(ctx) }).Stop()
	err := s.deps.Store.WriteLane(ctx, lane, values)
	if err != nil {
		var termEnded *jobstore.TermEndedError
		if errors.As(err, &termEnded) {
			s.endTerm("a write showed that the ownership has ended")
		}
		for _, b := range batch {
			notifyWaiters(b.waiters, &UnknownError{})
		}
		return true, err
	}
	s.batchWritten(lane, batch, rosterChanges, time.Since(begun))
	return true, nil
}

// startExtraWriter starts a writer in a free lane for the entries that are queued behind
// a slow write. It does so only if the write before was slow too: otherwise the store
// may be unavailable, and it is better to reject the queued jobs than to leave their
// outcome unknown.
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

// writeInExtraLane writes in a lane for as long as writes are slow and entries are
// queued.
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

// markStalled rejects the new jobs in the queue, unless the write with the given number
// in a lane has completed meanwhile. None of the rejected jobs is part of a write in
// flight.
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
		if !e.neverWritten() {
			remaining = append(remaining, e)
			continue
		}
		rejected++
		s.forget(e)
		notifyWaiters(e.waiters, stalledError())
	}
	s.queue = remaining
	s.log.Warn().Int("rejected", rejected).Int("queued", len(remaining)).Msg("store stalled: new jobs are rejected")
}

// batchEntry is an entry in a write, with its state at the time it was encoded.
type batchEntry struct {
	entry         *jobEntry
	queuePosition int64
	final         bool
	// unsubmitted reports whether the job is written as not submitted.
	unsubmitted bool
	generation  int
	waiters     []chan error
}

const jobPrefix = "jobs/"

func jobKey(id job.ID) string { return jobPrefix + string(id) }

// nextBatch removes from the queue what is to be written next in a lane and encodes it.
// Jobs that are in a write in flight stay queued. The roster is written in the first
// lane.
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
	if s.afterOutage {
		orderQueue(s.queue)
	}
	remaining := s.queue[:0]
	bytes := 0
	for _, e := range s.queue {
		if e.writing || len(values) >= jobstore.MaxEntries || bytes >= maxBatchBytes {
			remaining = append(remaining, e)
			continue
		}
		value, err := s.encode(e)
		if err != nil {
			s.log.Error().Err(err).Str("job", string(e.id)).Msg("cannot encode a job for the store")
			continue
		}
		bytes += len(value)
		values = append(values, jobstore.Entry{ID: jobKey(e.id), Value: value})
		batch = append(batch, batchEntry{entry: e, queuePosition: e.queuePosition, final: e.final(), unsubmitted: e.unsubmitted, generation: e.generation, waiters: e.waiters})
		e.queuePosition, e.waiters, e.writing = 0, nil, true
	}
	clear(s.queue[len(remaining):])
	s.queue = remaining
	s.afterOutage = s.afterOutage && len(remaining) > 0
	s.inFlight[lane] = batch
	return batch, values, rosterChanges
}

// encode returns the value to store for an entry; it is empty if the entry is to be
// removed.
func (s *Shard) encode(e *jobEntry) ([]byte, error) {
	if e.expired {
		return nil, nil
	}
	if e.final() {
		r := job.Record{Moves: e.move.count, Phase: e.currentPhase(), Route: e.route, Team: e.team, Finished: e.finishedAt.UnixMilli(), Unsubmitted: e.unsubmitted, Held: s.heldBy(e)}
		if e.move.moved {
			r.MovedTo = e.move.target
		}
		if e.unsubmitted {
			r.Team, r.CancelledAlsoBy = e.cancelledBy[0], e.cancelledBy[1:]
		}
		return r.Encode(nil)
	}
	r := e.progress.Record()
	r.Moves, r.MovedTo, r.DeniedIn = e.move.count, e.move.target, e.move.deniedIn
	return r.Encode(e.body)
}

// batchWritten records that a batch is durable.
func (s *Shard) batchWritten(lane int, batch []batchEntry, rosterChanges int64, took time.Duration) {
	s.deps.Recorder.Observe("writeTimes", "jobs", took)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled {
		s.stalled, s.afterOutage = false, true
		s.log.Info().Dur("took", took).Msg("store answers again")
	}
	for _, b := range batch {
		e := b.entry
		if e.expired {
			s.jobRemoved(e)
		}
		e.writing = false
		// A cancellation that was written before the job was submitted does not make
		// the submission durable.
		current := b.generation == e.generation
		e.durable = e.durable || current && b.unsubmitted == e.unsubmitted
		e.endDurable = e.endDurable || current && b.final
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
		// Jobs that were part of this write may be queued again.
		s.requestWrite()
	}
	s.acknowledge()
	s.wake()
}

// lastWrittenPosition returns the queue position up to which everything is written.
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

// dropFinishedState drops the state that a job no longer needs once its end is durable
// and none of its tasks is active.
func (s *Shard) dropFinishedState(e *jobEntry) {
	if !e.endDurable || e.progress == nil || len(e.active) > 0 {
		return
	}
	e.phase = e.progress.Phase()
	e.progress, e.body, e.steps, e.active, e.lost = nil, nil, nil, nil, nil
	if len(e.heldRuns) == 0 {
		// Empty maps keep most of their memory, and an owner keeps thousands of finished
		// jobs. A job without progress gets no new runs.
		e.heldRuns = nil
	}
	if s.jobs[e.id] == e {
		s.weigh(e)
	}
}

// expireJobs queues the removal of finished jobs whose retention has passed. Nothing
// else may remove a job, because a late duplicate of its submission would then run the
// job again.
func (s *Shard) expireJobs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.jobs {
		if !e.endDurable || e.queuePosition != 0 || e.writing || len(e.active) > 0 {
			continue
		}
		if time.Since(e.finishedAt) <= s.limits.Retention+maxClockSkew {
			continue
		}
		if e.move.moved && s.deps.Knows != nil {
			s.checkMoved(e)
			continue
		}
		e.expired = true
		s.enqueue(e)
	}
}

// jobRemoved records that an expired job has been removed from the store.
func (s *Shard) jobRemoved(e *jobEntry) {
	s.log.Info().Str("job", string(e.id)).Str("phase", e.phase).Dur("finishedFor", time.Since(e.finishedAt)).Msg("job removed after its retention")
	s.forget(e)
}

// rosterEntry is the stored entry of a worker that may hold tasks.
type rosterEntry struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
	// Tasks holds the tasks that may run on a worker that is about to leave, which is given
	// no more; nil if any task may run there.
	Tasks *[]string `json:"tasks,omitempty"`
	// Capacity is the largest capacity that the worker has had since it was added; nil in
	// a deployment without teams.
	Capacity *lovagestand.Resources `json:"capacity,omitempty"`
	// Connections is how many connections the owners until now may leave open to the
	// incarnation Born of the worker, which is 0 if it is not known.
	Connections int   `json:"connections,omitempty"`
	Born        int64 `json:"born,omitempty"`
}

// encodeRoster returns the roster, which lists the workers that may hold or be given
// tasks. The silent ones hold none of this owner, and the next one does not wait for them.
func (s *Shard) encodeRoster() jobstore.Entry {
	roster := map[lovagestand.WorkerName]rosterEntry{}
	for name, former := range s.unresolved {
		roster[name] = former
	}
	for name, w := range s.workers {
		if w.silent {
			entry, unresolved := s.unresolved[name]
			if !unresolved {
				entry = rosterEntry{Address: w.info.Address, Tasks: &[]string{}}
			}
			s.countConnections(w, &entry)
			roster[name] = entry
			continue
		}
		address := w.info.Address
		if former, unresolved := s.unresolved[name]; unresolved && !w.contacted {
			// The entry in the list may be that of another writer.
			address = former.Address
		}
		entry := rosterEntry{Address: address, Leaving: !w.info.Ready, Tasks: s.tasksOnLeaving(w), Capacity: s.rosterCapacity(w)}
		s.countConnections(w, &entry)
		roster[name] = entry
		w.inRosterWrite = true
	}
	value, err := json.Marshal(roster)
	if err != nil {
		s.log.Error().Err(err).Msg("cannot encode the roster for the store")
		value = []byte("{}")
	}
	return jobstore.Entry{ID: jobstore.RosterKey, Value: value}
}

// rosterWritten records that the workers in the last encoded roster are in the stored
// roster and can be given tasks.
func (s *Shard) rosterWritten() {
	for _, w := range s.workers {
		w.enrolled = w.enrolled || w.inRosterWrite
		if w.inRosterWrite {
			w.connections.kept = w.connections.keptInWrite
		}
	}
}
