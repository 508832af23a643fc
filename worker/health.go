package worker

import "time"

// FailureRate is the fraction of a route's tasks that fail, in which the weight of
// old results decays. Consecutive results of the same worker count once, so that a
// single worker on which every task fails cannot raise the failure rate of a
// healthy route.
type FailureRate struct {
	rate       float64
	lastWorker Row
	hasLast    bool
}

// decayWeight is the weight of one new result in a failure rate.
const decayWeight = 1.0 / 8

// Add adds the result of a task on the worker in row r.
func (f *FailureRate) Add(r Row, failed bool) {
	if f.hasLast && f.lastWorker == r {
		return
	}
	result := 0.0
	if failed {
		result = 1
	}
	f.hasLast = true
	f.lastWorker = r
	f.rate += decayWeight * (result - f.rate)
}

// Rate returns the failure rate, which is between 0 and 1.
func (f *FailureRate) Rate() float64 {
	return f.rate
}

// Health distinguishes a worker on which every task fails from one that was given
// bad requests. Each failure adds to a score according to how unusual a failure is
// for its route, and a success resets the score. The zero value is a worker without
// any results.
type Health struct {
	failureScore float64
	// recentKeys holds the key hashes of the requests that failed last, so that
	// a request that is retried counts once.
	recentKeys  [4]uint64
	nextKey     uint8
	quarantines uint8
	probeAt     time.Time
}

const (
	// failureScoreLimit is the score at which a worker should be quarantined.
	failureScoreLimit = 3
	// firstProbeDelay is the time from the first quarantine to the first probe.
	// It doubles with each further quarantine, up to maxProbeDelay.
	firstProbeDelay = 30 * time.Second
	maxProbeDelay   = 10 * time.Minute
	// probeWait is how long a worker that is due for a probe waits for a task
	// that fits.
	probeWait = time.Minute
)

// RecordFailure records a failed task of the request with the given key hash, where
// f is the failure rate of its route. It reports whether the worker should be
// quarantined now.
func (h *Health) RecordFailure(key uint64, f FailureRate) bool {
	for _, k := range h.recentKeys {
		if k == key {
			return h.failureScore >= failureScoreLimit
		}
	}
	h.recentKeys[h.nextKey%uint8(len(h.recentKeys))] = key
	h.nextKey++
	h.failureScore += 1 - f.Rate()
	return h.failureScore >= failureScoreLimit
}

// RecordSuccess resets the score and the delay of the next probe.
func (h *Health) RecordSuccess() {
	if h.failureScore == 0 && h.quarantines == 0 {
		return
	}
	*h = Health{}
}

// Quarantine records that the worker is quarantined at now and sets the time of
// the next probe.
func (h *Health) Quarantine(now time.Time) {
	delay := min(firstProbeDelay<<min(h.quarantines, 10), maxProbeDelay)
	h.quarantines++
	h.probeAt = now.Add(delay)
}

// ProbeDue reports whether a quarantined worker may be given a task as a probe.
func (h *Health) ProbeDue(now time.Time) bool {
	return !now.Before(h.probeAt)
}

// ProbeOverdue reports whether a worker has been due for a probe for so long that
// no task that fits is to be expected.
func (h *Health) ProbeOverdue(now time.Time) bool {
	return !now.Before(h.probeAt.Add(probeWait))
}
