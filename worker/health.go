package worker

import "time"

// FailureRate is the share of a route's tasks that fail, in which old results
// fade. Results of one worker in a row count once, so that a single worker
// that fails everything cannot make a sound route look bad.
type FailureRate struct {
	rate       float64
	lastWorker Row
	hasLast    bool
}

// decayWeight is the weight of one result in a failure rate.
const decayWeight = 1.0 / 8

// Add adds a result.
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

// Rate returns the failure rate, 0 to 1.
func (f *FailureRate) Rate() float64 {
	return f.rate
}

// Health tells a worker that fails everything from one that was given bad
// requests. Each failure counts by how unusual it is for its route; a success
// clears the count. The zero value is a worker of which nothing is known.
type Health struct {
	failureScore float64
	// recentKeys are the requests that failed last, so that one that is retried
	// counts once.
	recentKeys  [4]uint64
	nextKey     uint8
	quarantines uint8
	probeAt     time.Time
}

const (
	// failureScoreLimit is the blame at which a worker is not trusted any more.
	failureScoreLimit = 3
	// firstProbeDelay is the time to the first probe; it doubles up to probeAtMost.
	firstProbeDelay = 30 * time.Second
	maxProbeDelay   = 10 * time.Minute
	// probeWait is how long a worker waits for a task to be probed with.
	probeWait = time.Minute
)

// RecordFailure counts a failed task of a request, by the hash of its key, and reports
// whether the worker should be distrusted now.
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

// RecordSuccess clears the blame.
func (h *Health) RecordSuccess() {
	if h.failureScore == 0 && h.quarantines == 0 {
		return
	}
	*h = Health{}
}

// Quarantine sets the time of the next probe.
func (h *Health) Quarantine(now time.Time) {
	delay := min(firstProbeDelay<<min(h.quarantines, 10), maxProbeDelay)
	h.quarantines++
	h.probeAt = now.Add(delay)
}

// ProbeDue reports whether a distrusted worker may be tried again.
func (h *Health) ProbeDue(now time.Time) bool {
	return !now.Before(h.probeAt)
}

// ProbeOverdue reports whether a worker has been due for a probe so long that no
// fitting task seems to come.
func (h *Health) ProbeOverdue(now time.Time) bool {
	return !now.Before(h.probeAt.Add(probeWait))
}
