package shard

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/admission"
	"lovagestand.example/lovagestand/job"
)

// The memory that a job takes in its owner, or in the next one once it has loaded the job:
// the entry, which remains for the retention after the end of the job; the body as it was
// stored and its decoded form; and the state of the steps and tasks.
const (
	entryWeight = 800
	bodyFactor  = 3
	stepWeight  = 512
	afterWeight = 8
	taskWeight  = 256
)

const (
	// largeJobWeight is the weight from which a job may not take the memory that is left for
	// smaller ones, which is the share smallJobShare.
	largeJobWeight = 64 << 10
	smallJobShare  = 0.5
	// freedRateWindow is the time over which the rate is averaged at which memory becomes
	// free.
	freedRateWindow = 10 * time.Second
	// minFullRetryAfter and maxFullRetryAfter bound the Retry-After value of jobs for which
	// there is no memory, before it is spread over the same time again.
	minFullRetryAfter = time.Second
	maxFullRetryAfter = 15 * time.Second
)

// MinJobMemory is the least memory for the jobs of a shard in bytes: that of the largest job,
// with which a shard that holds nothing else accepts each job.
const MinJobMemory = 16 << 20

// jobMemory is the memory that the jobs of a shard take, by their weights.
type jobMemory struct {
	used int64
	// freedRate is the average rate at which memory became free up to freedAt, in bytes per
	// second.
	freedRate float64
	freedAt   time.Time
}

// fits reports whether a job of a weight may be accepted within a limit.
func (m *jobMemory) fits(weight, limit int64) bool {
	if weight >= largeJobWeight {
		limit -= int64(smallJobShare * float64(limit))
	}
	return m.used+weight <= limit
}

// change records that the weight of a job has changed by an amount.
func (m *jobMemory) change(now time.Time, amount int64) {
	m.used += amount
	if amount < 0 {
		m.freedRate = m.rate(now) + float64(-amount)/freedRateWindow.Seconds()
		m.freedAt = now
	}
}

// rate returns the rate at which memory becomes free as of now.
func (m *jobMemory) rate(now time.Time) float64 {
	return m.freedRate * math.Exp(-now.Sub(m.freedAt).Seconds()/freedRateWindow.Seconds())
}

// retryAfter returns when a job of a weight is expected to have room. Jobs of different hashes
// get different times, up to twice as long, so that their callers do not return together.
func (m *jobMemory) retryAfter(now time.Time, weight int64, hash uint64) time.Duration {
	wait := maxFullRetryAfter
	if rate := m.rate(now); float64(weight) < rate*maxFullRetryAfter.Seconds() {
		wait = max(minFullRetryAfter, time.Duration(float64(weight)/rate*float64(time.Second)))
	}
	return admission.Spread(wait, hash)
}

// weightOf returns the memory that a job takes until it has ended, given its encoded form.
func weightOf(j job.Job, body []byte) int64 {
	tasks, after := 0, 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
		after += len(j.Steps[i].After)
	}
	return entryWeight + bodyFactor*int64(len(body)) + stepWeight*int64(len(j.Steps)) + afterWeight*int64(after) + taskWeight*int64(tasks*j.Schedule.Occurrences())
}

// keep adds an entry, or a job to the entry of a cancellation.
func (s *Shard) keep(e *jobEntry) {
	s.jobs[e.id] = e
	s.weigh(e)
}

// weigh records a change of the memory that an entry takes.
func (s *Shard) weigh(e *jobEntry) {
	weight := int64(entryWeight)
	if e.progress != nil {
		weight = weightOf(e.progress.Job(), e.body)
	}
	s.memory.change(time.Now(), weight-e.weight)
	e.weight = weight
}

// forget removes an entry.
func (s *Shard) forget(e *jobEntry) {
	delete(s.jobs, e.id)
	delete(s.live, e.id)
	s.memory.change(time.Now(), -e.weight)
	e.weight = 0
}

// MemoryError reports that the jobs of a shard take the memory that a job needs. What is
// accepted must fit into the memory of the next owner too.
type MemoryError struct {
	// Weight is about the memory that the job takes, Used that of the present jobs, and Limit
	// that for all jobs, in bytes.
	Weight, Used, Limit int64
	RetryAfter          time.Duration
}

// Error implements error.
func (e *MemoryError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the rejection of the job.
func (e *MemoryError) Unwrap() error {
	return &RejectedError{Reason: "the jobs of the shard take all of the memory for them", RetryAfter: e.RetryAfter, Overloaded: true}
}

// memoryError returns a [MemoryError] if there is no memory for a job of a weight.
func (s *Shard) memoryError(now time.Time, id job.ID, weight int64) error {
	if s.deps.JobMemory == nil {
		return nil
	}
	limit := s.deps.JobMemory()
	if s.memory.fits(weight, limit) {
		return nil
	}
	return &MemoryError{Weight: weight, Used: s.memory.used, Limit: limit, RetryAfter: s.memory.retryAfter(now, weight, xxhash.Sum64String(string(id)))}
}

// checkMemory is memoryError for a job that has been submitted. It counts and logs the
// rejection.
func (s *Shard) checkMemory(id job.ID, weight int64) error {
	now := time.Now()
	err := s.memoryError(now, id, weight)
	var full *MemoryError
	if errors.As(err, &full) {
		s.deps.Recorder.Count("jobsWithoutMemory", "rejected")
		s.logFull(now, id, full)
	}
	return err
}

// fullLogInterval is the shortest time between two log lines about jobs without memory.
const fullLogInterval = time.Second

// logFull logs that a job was rejected for want of memory, with the number of such jobs since
// the last line.
func (s *Shard) logFull(now time.Time, id job.ID, e *MemoryError) {
	s.rejectedSinceLog++
	if now.Sub(s.fullLoggedAt) < fullLogInterval {
		return
	}
	s.log.Warn().Str("job", string(id)).Int64("weight", e.Weight).Int64("used", e.Used).Int64("limit", e.Limit).Dur("retryAfter", e.RetryAfter).
		Int("jobs", len(s.jobs)).Int("live", len(s.live)).Int("rejected", s.rejectedSinceLog).Msg("jobs rejected: no memory for them in this owner or the next one")
	s.fullLoggedAt, s.rejectedSinceLog = now, 0
}
