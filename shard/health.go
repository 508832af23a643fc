package shard

import "time"

const (
	// quarantineAfter failures in a row, no task done between them, close a
	// worker for quarantineFor; then one more failure closes it again.
	quarantineAfter = 3
	quarantineFor   = 4 * time.Second
	// overdueFactor times its expected run time, and overdueSlack more, make a
	// run overdue; a worker with as many overdue runs as minOverdue, and half
	// of its runs, gets nothing new until runs end there again.
	overdueFactor = 2.5
	overdueSlack  = 300 * time.Millisecond
	minOverdue    = 2
)

// health is what ends and answers tell of a worker.
type health struct {
	consecutiveFailures int
	quarantinedUntil    time.Time
	// slowness compares run times here with those elsewhere; 0 is unknown.
	slowness float64
}

func (h *health) quarantined(now time.Time) bool {
	return now.Before(h.quarantinedUntil)
}

// stuck reports whether too many runs on a worker are overdue.
func (w *worker) stuck(now time.Time) bool {
	overdue := 0
	for _, p := range w.placements {
		if !p.stopRequested && now.Sub(p.placedAt) > time.Duration(overdueFactor*float64(p.expectedRunTime))+overdueSlack {
			overdue++
		}
	}
	return overdue >= minOverdue && 2*overdue >= len(w.placements)
}

func (h *health) recordSuccess() {
	h.consecutiveFailures = 0
}

// recordFailure counts a failure and reports whether it closes the worker.
func (h *health) recordFailure(now time.Time) bool {
	h.consecutiveFailures++
	if h.consecutiveFailures < quarantineAfter {
		return false
	}
	h.quarantinedUntil = now.Add(quarantineFor)
	h.consecutiveFailures = quarantineAfter - 1
	return true
}
