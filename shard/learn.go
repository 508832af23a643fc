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
	// defaultRunTime is the estimate for tasks for which the caller gave none.
	defaultRunTime = time.Second
	// longRunningTime is the expected run time of a task that runs until its job is
	// cancelled. It is beyond every start that a pass plans ahead.
	longRunningTime = 24 * time.Hour
	// minRunTime is the minimum expected run time. It keeps absurd estimates from
	// causing a division by zero.
	minRunTime = 20 * time.Millisecond
	// slownessWeight is the weight of the newest run in the slowness of a worker.
	slownessWeight = 0.15
	// runTimeErrors is the multiple of the average error of run times that is allowed for
	// before a job counts as too late to be of use.
	runTimeErrors = 2
	// maxSlowness bounds the effect of one run on the averages, and so how much a
	// worker's speed can count in packing.
	maxSlowness = 10
)

// routeStats are averages over the jobs of a route.
type routeStats struct {
	route lovagestand.RouteName
	// estimateRatio is the ratio of the run times of tasks to the callers' estimates.
	estimateRatio float64
	// jobCoreTime is the average core time of a job that ends by itself.
	jobCoreTime time.Duration
	// taskRunTime is the average run time of a task.
	taskRunTime time.Duration
	// runTimeError is the average relative difference between the run times of tasks and
	// what was expected.
	runTimeError float64
	// askedWorkers and allowedWorkers count the workers that were named in advice
	// requests and those that the policy service allowed.
	askedWorkers, allowedWorkers float64
	// callTimes is how long calls for advice take.
	callTimes callTimes
	// locality compares run times near a step's data, or within one rack, and elsewhere.
	locality localityStats
	// runTimes are the run times of tasks relative to the expected ones.
	runTimes logSample
}

// adviceSampleSize is the number of named workers over which the share of allowed ones
// is averaged. It covers a few answers, so that the share follows changes of the policy.
const adviceSampleSize = 2000

// recordAdvice records how many of the workers named in an advice request are allowed.
func (r *routeStats) recordAdvice(asked, allowed int) {
	r.askedWorkers += float64(asked)
	r.allowedWorkers += float64(allowed)
	if r.askedWorkers > adviceSampleSize {
		r.allowedWorkers *= adviceSampleSize / r.askedWorkers
		r.askedWorkers = adviceSampleSize
	}
}

// allowedShare returns the share of the workers that the policy usually allows: one
// half before there is any answer.
func (r *routeStats) allowedShare() float64 {
	return (r.allowedWorkers + 1) / (r.askedWorkers + 2)
}

// stats returns the averages of a route and creates them if there are none.
func (s *Shard) stats(route lovagestand.RouteName) *routeStats {
	r := s.statsByRoute[route]
	if r == nil {
		r = &routeStats{route: route, estimateRatio: 1}
		s.statsByRoute[route] = r
	}
	return r
}

// statsOf returns the averages of the route of a job, which the job keeps.
func (s *Shard) statsOf(e *jobEntry) *routeStats {
	if e.stats == nil || e.stats.route != e.route {
		e.stats = s.stats(e.route)
	}
	return e.stats
}

// runTime returns how long a task of a step is expected to run.
func (s *Shard) runTime(e *jobEntry, step job.Step) time.Duration {
	if step.LongRunning {
		return longRunningTime
	}
	estimate := step.Estimate
	if estimate <= 0 {
		estimate = defaultRunTime
	}
	r := s.statsOf(e)
	expected := float64(estimate) * r.estimateRatio
	if r.taskRunTime > 0 {
		// Estimates are far off in both directions, so the average of the route gets
		// half of the weight.
		expected = math.Sqrt(expected * float64(r.taskRunTime))
	}
	return max(minRunTime, time.Duration(expected))
}

// estimateWork computes the core time and the objective of a new job.
func (s *Shard) estimateWork(e *jobEntry) {
	j := e.progress.Job()
	runTime := func(step job.Step) time.Duration { return s.runTime(e, step) }
	core, criticalPath := e.progress.RemainingWork(0, runTime)
	e.totalCoreTime = core
	e.objective = time.Duration(j.Policy.Stretch*float64(criticalPath)) + j.Policy.Target
	if j.LongRunning() {
		return
	}
	r := s.stats(e.route)
	if r.jobCoreTime == 0 {
		r.jobCoreTime = core
	}
	r.jobCoreTime += time.Duration(averageWeight * float64(core-r.jobCoreTime))
}

// latestObjective returns the objective of a job if its run times are longer than expected
// by runTimeErrors times the average error of its route.
func (s *Shard) latestObjective(e *jobEntry) time.Duration {
	target := e.progress.Policy().Target
	return target + time.Duration(float64(e.objective-target)*(1+runTimeErrors*s.statsOf(e).runTimeError))
}

// meanCoreTime returns the average core time of the jobs on the route of a job. The
// core time of a long-running job is nominal and is compared with itself only.
func (s *Shard) meanCoreTime(e *jobEntry) time.Duration {
	if e.longRunning {
		return e.totalCoreTime
	}
	return s.statsOf(e).jobCoreTime
}

// recordRunTime adds the run time of a completed task to the averages of its route and
// its worker.
func (s *Shard) recordRunTime(w *worker, p *placement, now time.Time) {
	if p == nil || p.resumed || p.entry.progress == nil || p.checkpoint != "" && p.placedAt.Equal(p.checkpointAt) {
		return
	}
	step := p.entry.progress.Job().Steps[p.task.Step]
	if step.Estimate <= 0 || step.LongRunning || p.settledAt.IsZero() {
		return
	}
	took := now.Sub(p.placedAt)
	s.recordSpeed(p, took, now)
	r := s.stats(p.entry.route)
	if p.expectedRunTime > 0 {
		slowness := w.slowness
		if slowness == 0 {
			slowness = 1
		}
		onWorker := float64(took) / float64(p.expectedRunTime) / slowness
		r.runTimes.add(math.Log(max(onWorker, 1/maxSlowness)), 1)
		r.locality.record(p.locality, onWorker*max(1, p.farFactor), step.Count)
	}
	if p.farFactor > 1 {
		// Averages are of run times near, so that the factor does not count twice.
		took = time.Duration(float64(took) / p.farFactor)
	}
	ratio := float64(p.atUsualSpeed(took)) / float64(step.Estimate)
	// A run elsewhere says little about its worker while the factor is not known well.
	if p.expectedRunTime > 0 && p.locality != localityFar {
		relative := float64(took) / float64(p.expectedRunTime)
		r.runTimeError += averageWeight * (min(math.Abs(relative-1), maxSlowness) - r.runTimeError)
		if w.slowness == 0 {
			w.slowness = 1
		}
		w.slowness += slownessWeight * (min(relative, maxSlowness) - w.slowness)
	}
	r.estimateRatio += averageWeight * (min(ratio, maxSlowness) - r.estimateRatio)
	took = p.atUsualSpeed(took)
	if r.taskRunTime == 0 {
		r.taskRunTime = took
	}
	r.taskRunTime += time.Duration(averageWeight * float64(took-r.taskRunTime))
}
