package shard

import (
	"math"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

const (
	// averageWeight is the weight of the newest observation in an average.
	averageWeight = 0.05
	// defaultRunTime stands for tasks of which nothing is known.
	defaultRunTime = time.Second
	// minRunTime keeps absurd estimates from dividing by nothing.
	minRunTime = 20 * time.Millisecond
	// slownessWeight is learnWeight for the speed of one worker.
	slownessWeight = 0.15
	// maxSlowness bounds what a worker's speed may cost in packing.
	maxSlowness = 10
)

// routeStats is what ends have taught about the jobs of a route.
type routeStats struct {
	// estimateRatio is how long tasks run, times what callers estimate.
	estimateRatio float64
	// jobCoreTime is the usual core time of a job.
	jobCoreTime time.Duration
	// taskRunTime is the usual run time of a task.
	taskRunTime time.Duration
	// askedWorkers and allowed count the workers in answers of the policy service.
	askedWorkers, allowedWorkers float64
}

// adviceSampleSize is how many workers asked about are remembered: some answers'
// worth, so that the share follows the policy.
const adviceSampleSize = 2000

// recordAdvice takes how many of the workers asked about are allowed.
func (r *routeStats) recordAdvice(asked, allowed int) {
	r.askedWorkers += float64(asked)
	r.allowedWorkers += float64(allowed)
	if r.askedWorkers > adviceSampleSize {
		r.allowedWorkers *= adviceSampleSize / r.askedWorkers
		r.askedWorkers = adviceSampleSize
	}
}

// allowedShare returns the part of the workers that policy usually allows: one
// half before anything is known.
func (r *routeStats) allowedShare() float64 {
	return (r.allowedWorkers + 1) / (r.askedWorkers + 2)
}

func (s *Shard) stats(route lovagestand.RouteName) *routeStats {
	r := s.statsByRoute[route]
	if r == nil {
		r = &routeStats{estimateRatio: 1}
		s.statsByRoute[route] = r
	}
	return r
}

// runTime returns how long a task of a step is expected to run.
func (s *Shard) runTime(e *jobEntry, step job.Step) time.Duration {
	estimate := step.Estimate
	if estimate <= 0 {
		estimate = defaultRunTime
	}
	r := s.stats(e.route)
	expected := float64(estimate) * r.estimateRatio
	if r.taskRunTime > 0 {
		// Estimates are far off either way: half of the weight is the route's.
		expected = math.Sqrt(expected * float64(r.taskRunTime))
	}
	return max(minRunTime, time.Duration(expected))
}

// estimateWork works out how much work a job is and when it should be done.
func (s *Shard) estimateWork(e *jobEntry) {
	j := e.progress.Job()
	runTime := func(step job.Step) time.Duration { return s.runTime(e, step) }
	core, chain := e.progress.RemainingWork(0, runTime)
	e.totalCoreTime = core
	e.objective = time.Duration(j.Policy.Stretch*float64(chain)) + j.Policy.Target
	r := s.stats(e.route)
	if r.jobCoreTime == 0 {
		r.jobCoreTime = core
	}
	r.jobCoreTime += time.Duration(averageWeight * float64(core-r.jobCoreTime))
}

// recordRunTime takes the run time of a task that is done.
func (s *Shard) recordRunTime(w *worker, p *placement, now time.Time) {
	if p == nil || p.entry.progress == nil || p.checkpoint != "" && p.placedAt.Equal(p.checkpointAt) {
		return
	}
	step := p.entry.progress.Job().Steps[p.task.Step]
	if step.Estimate <= 0 || p.settledAt.IsZero() {
		return
	}
	took := now.Sub(p.placedAt)
	ratio := float64(took) / float64(step.Estimate)
	r := s.stats(p.entry.route)
	if p.expectedRunTime > 0 {
		relative := float64(took) / float64(p.expectedRunTime)
		if w.slowness == 0 {
			w.slowness = 1
		}
		w.slowness += slownessWeight * (min(relative, maxSlowness) - w.slowness)
	}
	r.estimateRatio += averageWeight * (min(ratio, maxSlowness) - r.estimateRatio)
	if r.taskRunTime == 0 {
		r.taskRunTime = took
	}
	r.taskRunTime += time.Duration(averageWeight * float64(took-r.taskRunTime))
}
