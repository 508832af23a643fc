package shard

import "time"

const (
	// quarantineAfter is the number of consecutive failures after which a worker is
	// quarantined for quarantineFor. After that, one more failure quarantines it again
	// unless a task has completed on it in between.
	quarantineAfter = 3
	quarantineFor   = 4 * time.Second
	// A run is overdue when it has run for overdueFactor times its expected run time
	// plus overdueSlack. A worker on which at least minOverdue runs and half of all
	// runs are overdue gets no new tasks until runs end there again.
	overdueFactor = 2.5
	overdueSlack  = 300 * time.Millisecond
	minOverdue    = 2
)

// health is the health of a worker, derived from the results of its runs and its
// refusals.
type health struct {
	consecutiveFailures int
	quarantinedUntil    time.Time
	// slowness is the ratio of run times on this worker to expected run times; 0 while
	// it is unknown.
	slowness float64
	// speed is the learned speed of the worker; 0 while it is unknown.
	speed float64
}

func (h *health) quarantined(now time.Time) bool {
	return now.Before(h.quarantinedUntil)
}

// stuck reports whether too many of the worker's runs are overdue. Long-running tasks
// have no time by which they should end.
func (w *worker) stuck(now time.Time) bool {
	overdue, runs := 0, 0
	count := func(r runTimes, longRunning bool) {
		if longRunning {
			return
		}
		runs++
		if !r.stopRequested && now.Sub(r.placedAt) > time.Duration(overdueFactor*float64(r.expected))+overdueSlack {
			overdue++
		}
	}
	if w.runs != nil {
		for i := range w.runs {
			count(w.runs[i].runTimes, w.runs[i].longRunning)
		}
	} else {
		for _, p := range w.placements {
			count(p.times(), p.longRunning)
		}
	}
	return overdue >= minOverdue && 2*overdue >= runs
}

func (h *health) recordSuccess() {
	h.consecutiveFailures = 0
}

// recordFailure counts a failed run and reports whether it quarantines the worker.
func (h *health) recordFailure(now time.Time) bool {
	h.consecutiveFailures++
	if h.consecutiveFailures < quarantineAfter {
		return false
	}
	h.quarantinedUntil = now.Add(quarantineFor)
	h.consecutiveFailures = quarantineAfter - 1
	return true
}
