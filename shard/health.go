package shard

import (
	"time"

	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
)

const (
	// followsAfter is on how many other workers tasks of a job must have failed before its
	// failures no longer count against their worker.
	followsAfter = 2
	// quarantineAfter is the number of consecutive failures after which a worker is
	// quarantined for quarantineFor. After that, one more failure quarantines it again
	// unless a task has completed on it in between.
	quarantineAfter = 3
	quarantineFor   = 4 * time.Second
	// A run is overdue when it has run for overdueFactor times its expected run time
	// plus overdueSlack; see [dispatch.Stuck].
	overdueFactor = 2.5
	overdueSlack  = 300 * time.Millisecond
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

// overdue reports whether a run takes much longer than a time.
func (r runTimes) overdue(now time.Time, expected time.Duration) bool {
	return !r.stopRequested && now.Sub(r.placedAt) > time.Duration(overdueFactor*float64(expected))+overdueSlack
}

// overdue reports whether a run takes much longer than expected, and than a task of its step
// has taken that ended.
func (p *placement) overdue(now time.Time) bool {
	return p.times().overdue(now, max(p.expectedRunTime, p.entry.step(p.ref()).shortestRun))
}

// ref returns the step of the run.
func (p *placement) ref() job.StepRef {
	return job.StepRef{Occurrence: p.task.Occurrence, Step: p.task.Step}
}

// findStuck determines the workers of a pass on which tasks stand still.
func (s *Shard) findStuck(p *pass) {
	mayBeStuck := false
	s.stuck = nil
	for _, w := range p.workers {
		mayBeStuck = s.hasOverdueRuns(w, p.now) || mayBeStuck
	}
	if !mayBeStuck {
		return
	}
	var runs []dispatch.RunAge
	steps := map[stepKey]int{}
	for i, w := range p.workers {
		for _, r := range w.placements {
			if r.longRunning || r.entry.progress == nil {
				continue
			}
			key := stepKey{r.entry, r.ref()}
			if _, known := steps[key]; !known {
				steps[key] = len(steps)
			}
			runs = append(runs, dispatch.RunAge{Worker: i, Step: steps[key], Overdue: r.overdue(p.now), Known: r.entry.step(key.ref).shortestRun > 0})
		}
	}
	for _, i := range dispatch.Stuck(len(p.workers), runs) {
		s.stuck = append(s.stuck, p.workers[i])
	}
}

// hasOverdueRuns reports whether several runs on a worker are overdue by their expected run
// times alone.
func (s *Shard) hasOverdueRuns(w *worker, now time.Time) bool {
	overdue := 0
	runs := s.runsOn(w)
	for i := range runs {
		if !runs[i].longRunning && runs[i].overdue(now, runs[i].expected) {
			overdue++
		}
	}
	return overdue >= dispatch.MinOverdue
}

// failureFollowsTask records that a task has failed on a worker, and reports whether the job is
// the likely cause: its tasks have failed on other workers too, none has completed since, and no
// run of the step has lasted. Such failures would have all workers quarantined, one after the
// other, and keep them from other jobs.
func (e *jobEntry) failureFollowsTask(w *worker, task job.Task, now time.Time) bool {
	if len(e.failedOn) <= followsAfter {
		e.failedOn[w.info.Name] = true
	}
	others := len(e.failedOn)
	if e.failedOn[w.info.Name] {
		others--
	}
	if others < followsAfter {
		return false
	}
	for _, p := range e.active {
		if p.task.Step == task.Step && p.task.Occurrence == task.Occurrence && now.Sub(p.placedAt) > quarantineFor {
			return false
		}
	}
	return true
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
