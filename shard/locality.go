package shard

import (
	"math"
	"time"

	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
)

const (
	// priorFarFactor is the factor by which tasks are expected to take longer elsewhere
	// before there is evidence, and priorFarSpread the standard deviation of its
	// logarithm: factors between 1 and 2.2 are likely.
	priorFarFactor = 1.5
	priorFarSpread = 0.4
	// maxFarFactor bounds the learned factor.
	maxFarFactor = 6
	// localitySampleSize is the number of steps over which run times near and elsewhere
	// are averaged, so that the factor follows changes.
	localitySampleSize = 200
	// outlierDeviations is the number of standard deviations to which an observation is
	// limited, from outlierAfter observations on.
	outlierDeviations = 2
	outlierAfter      = 20
	// minLogVariance is the smallest variance of the logarithms of run times that is
	// assumed. Few observations may agree by chance.
	minLogVariance = 0.1
	// minRunSpread and maxRunSpread bound the standard deviation of a run time, relative
	// to the expected one. defaultRunSpread is that of a route without observations.
	minRunSpread, defaultRunSpread, maxRunSpread = 0.2, 0.5, 1.5
)

// locality is where a task runs in relation to its data or to the other members of its
// gang.
type locality int

const (
	// localityUnknown is the locality of a task to which it does not matter, and of runs
	// that were adopted from a former term.
	localityUnknown locality = iota
	localityNear
	localityFar
)

// logSample is a sample of logarithms of run times relative to expected ones.
type logSample struct {
	tasks          int
	weight         float64
	mean, variance float64
}

// add adds an observation. Tasks of one step share the error of one estimate, so each of
// them has the weight of its share in the step.
func (l *logSample) add(x, weight float64) {
	if l.tasks >= outlierAfter {
		limit := outlierDeviations * math.Sqrt(max(l.variance, minLogVariance))
		x = min(max(x, l.mean-limit), l.mean+limit)
	}
	l.tasks++
	l.weight = min(l.weight+weight, localitySampleSize)
	alpha := min(1, weight/l.weight)
	delta := x - l.mean
	l.mean += alpha * delta
	l.variance = (1 - alpha) * (l.variance + alpha*delta*delta)
}

// meanVariance returns the variance of the mean of the sample.
func (l *logSample) meanVariance() float64 {
	return max(l.variance, minLogVariance) / l.weight
}

// localityStats are the run times of a route's tasks near and elsewhere.
type localityStats struct {
	near, far logSample
}

// record adds a completed task that took ratio times what is expected near, on a worker of
// average speed. The parameter tasks is the number of tasks of its step.
func (l *localityStats) record(where locality, ratio float64, tasks int) {
	if ratio <= 0 {
		return
	}
	x, weight := math.Log(ratio), 1/float64(max(1, tasks))
	switch where {
	case localityNear:
		l.near.add(x, weight)
	case localityFar:
		l.far.add(x, weight)
	}
}

// factor returns the factor by which tasks take longer elsewhere. Errors of estimates
// cancel, because they are the same near and elsewhere; what is left of them is in the
// spread. The prior counts as much as its spread allows.
func (l *localityStats) factor() dispatch.FarFactor {
	out := dispatch.FarFactor{Value: priorFarFactor, Near: l.near.tasks, Far: l.far.tasks, Spread: priorFarSpread}
	if l.near.tasks == 0 || l.far.tasks == 0 {
		return out
	}
	prior, data := 1/(priorFarSpread*priorFarSpread), 1/(l.near.meanVariance()+l.far.meanVariance())
	mean := (prior*math.Log(priorFarFactor) + data*(l.far.mean-l.near.mean)) / (prior + data)
	out.Value = min(max(math.Exp(mean), 1), maxFarFactor)
	out.Spread = math.Sqrt(1 / (prior + data))
	return out
}

// waitsForLocality reports whether steps may wait for workers near their data or for one
// rack.
func (s *Shard) waitsForLocality() bool {
	teams, ok := s.teams()
	return ok && teams.Enabled
}

// hasLocality reports whether it matters to a step where its tasks run.
func hasLocality(step *job.Step) bool {
	return !step.LongRunning && (step.Affinity != "" || step.Gang && step.SameRack)
}

// localityOf returns what a waiting step gains near; nil if it does not wait for that. The
// tasks of suspects are placed apart from others instead.
func (s *Shard) localityOf(p *pass, w *waitingStep, step *job.Step) *dispatch.Locality {
	if !p.waitsForLocality || w.suspects > 0 || !hasLocality(step) {
		return nil
	}
	return &dispatch.Locality{
		Factor: s.stats(w.entry.route).locality.factor(), Work: s.work(p.now, w.entry, w.ref), Since: w.entry.step(w.ref).localitySince, Active: len(w.entry.active) > 0,
	}
}

// localityOn returns the locality of tasks of a step that start on workers.
func (p *pass) localityOn(step *job.Step, workers []int) func(worker int) locality {
	if !p.waitsForLocality || !hasLocality(step) {
		return func(int) locality { return localityUnknown }
	}
	rack := step.Affinity
	if rack == "" {
		rack = p.workers[workers[0]].info.Rack
	}
	together := true
	for _, i := range workers {
		together = together && p.workers[i].info.Rack == rack
	}
	return func(worker int) locality {
		// A gang is as slow as its slowest member.
		if step.Gang && together || !step.Gang && p.workers[worker].info.Rack == rack {
			return localityNear
		}
		return localityFar
	}
}

// localityWait is a wait of a step's tasks that could have started elsewhere.
type localityWait struct {
	// since is when the wait began; zero if the step does not wait.
	since time.Time
	// saving is how much shorter each task is expected to run near.
	saving time.Duration
}

// recordLocalityWait records the decision that tasks of a step wait.
func (s *Shard) recordLocalityWait(p *pass, w waitingStep) {
	st := w.entry.step(w.ref)
	if st.localitySince.IsZero() {
		st.localitySince = p.now
	}
	if st.localityWait.since.IsZero() {
		runTime := w.runTime
		factor := s.stats(w.entry.route).locality.factor().Value
		st.localityWait = localityWait{since: p.now, saving: time.Duration((factor - 1) * float64(runTime))}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recordLocalityWaitEnd records whether a wait was worthwhile for the tasks of a step that
// start now, near of them near.
func (s *Shard) recordLocalityWaitEnd(p *pass, w waitingStep, tasks, near int) {
	e, st := w.entry, w.entry.step(w.ref)
	if st.localityWait.since.IsZero() {
		return
	}
	waited := p.now.Sub(st.localityWait.since)
	worthwhile := 0
	for n := range tasks {
		saved, outcome := time.Duration(0), "lost"
		if n < near {
			saved = st.localityWait.saving
		}
		if saved > waited {
			outcome = "paid"
			worthwhile++
		}
		s.deps.Recorder.Count("localityWaits", string(e.route)+"."+outcome)
		s.deps.Recorder.Observe("localityWaitTimes", string(e.route), waited)
		s.deps.Recorder.Observe("localitySavings", string(e.route), saved)
	}
	factor := s.stats(e.route).locality.factor()
	s.log.Info().Str("job", string(e.id)).Str("route", string(e.route)).Int("step", w.ref.Step).Int("tasks", tasks).Int("near", near).Int("worthwhile", worthwhile).
		Dur("waited", waited).Dur("saving", st.localityWait.saving).Float64("farFactor", factor.Value).Int("nearTasks", factor.Near).Int("farTasks", factor.Far).Msg("tasks waited for locality")
	if tasks == w.tasks {
		st.localityWait = localityWait{}
	}
}

// runSpread returns the standard deviation of the run times of a route, relative to the
// expected ones.
func (r *routeStats) runSpread() float64 {
	if r.runTimes.tasks == 0 {
		return defaultRunSpread
	}
	return min(max(math.Sqrt(r.runTimes.variance), minRunSpread), maxRunSpread)
}

// endSpread returns the standard deviation of the expected end of a run. That of an overdue
// run is twice its expected remainder, since nothing but its age is known of it. The
// parameter stats holds the averages of its route.
func (r runTimes) endSpread(now time.Time, stats *routeStats) time.Duration {
	if r.stopRequested {
		return 0
	}
	if !r.placedAt.Add(r.expected).After(now) {
		return now.Sub(r.placedAt) / 2
	}
	return time.Duration(stats.runSpread() * float64(r.expected))
}
