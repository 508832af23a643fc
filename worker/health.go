package worker

import "time"

// FailureRate is the share of a route's tasks that fail, in which old results
// fade. Results of one worker in a row count once, so that a single worker
// that fails everything cannot make a sound route look bad.
type FailureRate struct {
	rate  float64
	last  Row
	known bool
}

// fade is the weight of one result in a failure rate.
const fade = 1.0 / 8

// Add adds a result.
func (f *FailureRate) Add(r Row, failed bool) {
	if f.known && f.last == r {
		return
	}
	result := 0.0
	if failed {
		result = 1
	}
	f.known = true
	f.last = r
	f.rate += fade * (result - f.rate)
}

// Rate returns the failure rate, 0 to 1.
func (f *FailureRate) Rate() float64 {
	return f.rate
}

// Health tells a worker that fails everything from one that was given bad
// requests. Each failure counts by how unusual it is for its route; a success
// clears the count. The zero value is a worker of which nothing is known.
type Health struct {
	blame float64
	// keys are the requests that failed last, so that one that is retried
	// counts once.
	keys   [4]uint64
	at     uint8
	rounds uint8
	until  time.Time
}

const (
	// blameLimit is the blame at which a worker is not trusted any more.
	blameLimit = 3
	// probeAfter is the time to the first probe; it doubles up to probeAtMost.
	probeAfter  = 30 * time.Second
	probeAtMost = 10 * time.Minute
	// probeWithin is how long a worker waits for a task to be probed with.
	probeWithin = time.Minute
)

// RecordFailure counts a failed task of a request, by the hash of its key, and reports
// whether the worker should be distrusted now.
func (h *Health) RecordFailure(key uint64, f FailureRate) bool {
	for _, k := range h.keys {
		if k == key {
			return h.blame >= blameLimit
		}
	}
	h.keys[h.at%uint8(len(h.keys))] = key
	h.at++
	h.blame += 1 - f.Rate()
	return h.blame >= blameLimit
}

// RecordSuccess clears the blame.
func (h *Health) RecordSuccess() {
	if h.blame == 0 && h.rounds == 0 {
		return
	}
	*h = Health{}
}

// Quarantine sets the time of the next probe.
func (h *Health) Quarantine(now time.Time) {
	wait := min(probeAfter<<min(h.rounds, 10), probeAtMost)
	h.rounds++
	h.until = now.Add(wait)
}

// ProbeDue reports whether a distrusted worker may be tried again.
func (h *Health) ProbeDue(now time.Time) bool {
	return !now.Before(h.until)
}

// ProbeOverdue reports whether a worker has been due for a probe so long that no
// fitting task seems to come.
func (h *Health) ProbeOverdue(now time.Time) bool {
	return !now.Before(h.until.Add(probeWithin))
}
