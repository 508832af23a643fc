package shard

import "time"

const (
	// quarantineAfter failures in a row, no task done between them, close a
	// worker for quarantineFor; then one more failure closes it again.
	quarantineAfter = 3
	quarantineFor   = 4 * time.Second
)

// health is what ends and answers tell of a worker.
type health struct {
	failures int
	until    time.Time
	// slowness compares run times here with those elsewhere; 0 is unknown.
	slowness float64
}

func (h *health) quarantined(now time.Time) bool {
	return now.Before(h.until)
}

func (h *health) noteDone() {
	h.failures = 0
}

// noteFailed counts a failure and reports whether it closes the worker.
func (h *health) noteFailed(now time.Time) bool {
	h.failures++
	if h.failures < quarantineAfter {
		return false
	}
	h.until = now.Add(quarantineFor)
	h.failures = quarantineAfter - 1
	return true
}
