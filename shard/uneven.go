package shard

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/speed"
)

// SpeedStatus describes the learned speeds of the workers of a shard.
type SpeedStatus struct {
	// Uneven reports whether the fleet counts as uneven, so that tasks are placed by speed.
	Uneven bool `json:"uneven"`
	// Known is the number of workers whose speed is known.
	Known int `json:"known"`
	// Ratio is the ratio of the median to the 20th percentile of slowness; 0 while too few
	// workers are known. Fast and Usual are the speeds at these percentiles.
	Ratio float64 `json:"ratio"`
	Fast  float64 `json:"fast"`
	Usual float64 `json:"usual"`
}

// speedStatus returns the status of the speeds; nil if they are not learned.
func (s *Shard) speedStatus() *SpeedStatus {
	if !s.limits.UnevenWorkers {
		return nil
	}
	u := s.unevenness
	return &SpeedStatus{Uneven: u.Uneven, Known: u.Known, Ratio: u.Ratio, Fast: u.Fast, Usual: u.Usual}
}

// recordSpeed records the run time of a completed task for the speed of its worker. Runs
// elsewhere than near their data take longer on any worker, and of adopted runs it is not
// known when they began.
func (s *Shard) recordSpeed(p *placement, took time.Duration, now time.Time) {
	if !s.limits.UnevenWorkers || p.expectedRunTime <= 0 || p.adopted {
		return
	}
	e, j := p.entry, p.entry.progress.Job()
	step, expected := j.Steps[p.task.Step], p.atUsualSpeed(p.expectedRunTime)
	if step.Affinity != "" && p.worker.info.Rack != step.Affinity || step.Gang && step.SameRack {
		return
	}
	if !step.Gang {
		s.speeds.Add(now, speed.Run{Step: j.StepName(p.task.Occurrence, p.task.Step), Tasks: step.Count, Worker: p.worker.info.Name, Took: took, Expected: expected})
		return
	}
	members := []lovagestand.WorkerName{p.worker.info.Name}
	for _, o := range e.active {
		if o.task.Step == p.task.Step && o.task.Occurrence == p.task.Occurrence && o.run == p.run {
			members = append(members, o.worker.info.Name)
		}
	}
	// The first end stands for the whole gang; after it the other members are not active.
	if len(members) == step.Count {
		s.speeds.AddGang(now, members, took, expected)
	}
}

// setSpeeds updates the speeds of the workers if that is due, and sets them in the pass if
// the fleet counts as uneven.
func (s *Shard) setSpeeds(p *pass) {
	if !s.limits.UnevenWorkers {
		return
	}
	if s.speeds.Due(p.now) {
		s.updateSpeeds(p)
	}
	s.applySpeeds(p)
}

// applySpeeds sets the speeds as of their last update in the pass if the fleet counts as
// uneven.
func (s *Shard) applySpeeds(p *pass) {
	p.uneven = s.unevenness.Uneven
	if !p.uneven {
		return
	}
	for i, w := range p.workers {
		p.dispatchWorkers[i].Speed, p.dispatchWorkers[i].Slowness = w.speed, w.slowness
	}
}

// updateSpeeds estimates the speeds of the workers again and decides whether the fleet
// counts as uneven.
func (s *Shard) updateSpeeds(p *pass) {
	names := make([]lovagestand.WorkerName, len(p.workers))
	for i, w := range p.workers {
		names[i] = w.info.Name
	}
	before := s.unevenness.Uneven
	s.unevenness = s.speeds.Update(p.now, names)
	for _, w := range p.workers {
		former := w.speed
		w.speed = s.speeds.Estimate(p.now, w.info.Name).Speed
		w.rebaseSlowness(before, former, s.unevenness.Uneven)
	}
	if before == s.unevenness.Uneven {
		return
	}
	u, kind, message := s.unevenness, "even", "workers no longer count as uneven"
	if u.Uneven {
		kind, message = "uneven", "workers count as uneven: tasks are placed by speed"
	}
	s.deps.Recorder.Count("unevenWorkers", kind)
	s.log.Info().Int("known", u.Known).Int("workers", u.Workers).Float64("ratio", u.Ratio).Float64("fast", u.Fast).Float64("usual", u.Usual).Msg(message)
}

// rebaseSlowness converts the slowness of a worker from the run time expected at the usual
// speed to that expected at its own speed, or back, if the one in force has changed: the
// fleet began or ceased to count as uneven, or the speed became known or unknown.
func (w *worker) rebaseSlowness(wasUneven bool, formerSpeed float64, uneven bool) {
	before, after := wasUneven && formerSpeed > 0, uneven && w.speed > 0
	switch {
	case after && !before:
		w.slowness *= w.speed
	case before && !after:
		w.slowness /= formerSpeed
	}
}

// speedOn returns the speed at which tasks of a step run on workers: that of the worker, or
// of the slowest one for a gang; 0 where it is not taken into account.
func (p *pass) speedOn(step job.Step, workers []int) func(worker int) float64 {
	if !p.uneven || step.LongRunning {
		return func(int) float64 { return 0 }
	}
	if !step.Gang {
		return func(worker int) float64 { return p.workers[worker].speed }
	}
	slowest := 0.0
	for _, i := range workers {
		if v := p.workers[i].speed; v > 0 && (slowest == 0 || v < slowest) {
			slowest = v
		}
	}
	return func(int) float64 { return slowest }
}

// atSpeed returns how long a task runs at a speed; 0 stands for the usual one.
func atSpeed(usual time.Duration, speed float64) time.Duration {
	if speed <= 0 {
		return usual
	}
	return time.Duration(float64(usual) / speed)
}

// atUsualSpeed converts a run time of a placement to that on a worker of usual speed.
func (p *placement) atUsualSpeed(runTime time.Duration) time.Duration {
	if p.speed <= 0 {
		return runTime
	}
	return time.Duration(float64(runTime) * p.speed)
}

// setSpeed records the speed that the expected run time of a task's current run contains.
func (e *jobEntry) setSpeed(task job.Task, speed float64) {
	if p := e.active[e.progress.Job().TaskName(task)]; p != nil && speed > 0 {
		p.speed = speed
	}
}

// plansAdvice reports whether advice is planned as a scarce resource: gangs on uneven
// workers wait for room on the fast ones, which others take during their calls otherwise.
func (p *pass) plansAdvice() bool {
	return p.policies.Enabled || p.uneven
}
