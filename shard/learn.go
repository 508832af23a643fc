package shard

import (
	"math"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

const (
	// learnWeight is the weight of the newest observation in an average.
	learnWeight = 0.05
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
	// ratio is how long tasks run, times what callers estimate.
	ratio float64
	// core is the usual core time of a job.
	core time.Duration
	// run is the usual run time of a task.
	run time.Duration
	// asked and allowed count the workers in answers of the policy service.
	asked, allowed float64
}

// adviceMemory is how many workers asked about are remembered: some answers'
// worth, so that the share follows the policy.
const adviceMemory = 2000

// learnAdvice takes how many of the workers asked about are allowed.
func (r *routeStats) learnAdvice(asked, allowed int) {
	r.asked += float64(asked)
	r.allowed += float64(allowed)
	if r.asked > adviceMemory {
		r.allowed *= adviceMemory / r.asked
		r.asked = adviceMemory
	}
}

// allowedShare returns the part of the workers that policy usually allows: one
// half before anything is known.
func (r *routeStats) allowedShare() float64 {
	return (r.allowed + 1) / (r.asked + 2)
}

func (s *Shard) stats(route lovagestand.RouteName) *routeStats {
	r := s.learned[route]
	if r == nil {
		r = &routeStats{ratio: 1}
		s.learned[route] = r
	}
	return r
}

// runTime returns how long a task of a step is expected to run.
func (s *Shard) runTime(e *entry, step job.Step) time.Duration {
	estimate := step.Estimate
	if estimate <= 0 {
		estimate = defaultRunTime
	}
	r := s.stats(e.route)
	expected := float64(estimate) * r.ratio
	if r.run > 0 {
		// Estimates are far off either way: half of the weight is the route's.
		expected = math.Sqrt(expected * float64(r.run))
	}
	return max(minRunTime, time.Duration(expected))
}

// size works out how much work a job is and when it should be done.
func (s *Shard) size(e *entry) {
	j := e.progress.Job()
	runTime := func(step job.Step) time.Duration { return s.runTime(e, step) }
	core, chain := e.progress.RemainingWork(0, runTime)
	e.total = core
	e.objective = time.Duration(j.Policy.Stretch*float64(chain)) + j.Policy.Target
	r := s.stats(e.route)
	if r.core == 0 {
		r.core = core
	}
	r.core += time.Duration(learnWeight * float64(core-r.core))
}

// learn takes the run time of a task that is done.
func (s *Shard) learn(w *worker, p *placement, now time.Time) {
	if p == nil || p.entry.progress == nil || p.saved != "" && p.begun.Equal(p.savedAt) {
		return
	}
	step := p.entry.progress.Job().Steps[p.task.Step]
	if step.Estimate <= 0 || p.settled.IsZero() {
		return
	}
	took := now.Sub(p.begun)
	ratio := float64(took) / float64(step.Estimate)
	r := s.stats(p.entry.route)
	if p.expect > 0 {
		relative := float64(took) / float64(p.expect)
		if w.slowness == 0 {
			w.slowness = 1
		}
		w.slowness += slownessWeight * (min(relative, maxSlowness) - w.slowness)
	}
	r.ratio += learnWeight * (min(ratio, maxSlowness) - r.ratio)
	if r.run == 0 {
		r.run = took
	}
	r.run += time.Duration(learnWeight * float64(took-r.run))
}
