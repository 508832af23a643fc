package speed

import (
	"math"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// estimateVariance is the variance of the logarithm of the factor by which the run
	// times of a whole step differ from what is expected. Estimates are off by up to 90%,
	// and expectations give them half of the weight.
	estimateVariance = 0.36
	// priorRunVariance is the variance of the logarithm of run times within a step that is
	// assumed before there are observations; minRunVariance bounds it from below, because
	// few observations may agree by chance. runVarianceSample is the number of
	// observations over which it is averaged.
	priorRunVariance, minRunVariance = 0.15, 0.02
	runVarianceSample                = 500
	// observationLimit bounds the difference between one observation and the present
	// estimate, as a logarithm. 3 in 100 tasks run seven times as long on any worker.
	observationLimit = 1
	// degradedWeight is the weight of an observation beyond the limit on the slow side. A
	// fault makes workers up to nine times as slow for some seconds, which says nothing
	// about their long-run speed.
	degradedWeight = 0.2
	// maxEvidence bounds the evidence of a worker, so that its estimate follows changes.
	maxEvidence = 60
	// settleAfter is the time from the first end of a step after which its ends are
	// compared although some tasks have not ended. keepStep is how long further ends are
	// compared with them.
	settleAfter = 3 * time.Second
	keepStep    = 30 * time.Second
	// keepWorker is how long a worker without a new end keeps its estimate.
	keepWorker = 30 * time.Minute
	// maxSteps bounds the steps of which ends are kept.
	maxSteps = 20000
)

// Run is a completed run of a task that is no member of a gang.
type Run struct {
	// Step identifies the step, Tasks is its number of tasks.
	Step   string
	Tasks  int
	Worker lovagestand.WorkerName
	// Took is the run time, Expected the run time expected on a worker of usual speed.
	Took, Expected time.Duration
}

// Estimate is what is known of the speed of a worker.
type Estimate struct {
	// Speed is how much faster than usual the worker is; 0 if it is not known.
	Speed float64
	// Evidence is the number of runs compared with others of their step to which the
	// observations amount. Age is the time since the newest one.
	Evidence float64
	Age      time.Duration
}

// Fleet learns the speeds of workers by name: a worker that is restarted is the same
// machine. It is not safe for concurrent use.
type Fleet struct {
	workers map[lovagestand.WorkerName]*worker
	steps   map[string]*step
	// runVariance is the variance of the logarithm of run times within a step.
	runVariance float64
	decision
}

// worker holds the observations of a worker as logarithms of its slowness.
type worker struct {
	evidence, mean float64
	observedAt     time.Time
	// slowness is the logarithm of the slowness relative to the fleet, shrunk according to
	// the evidence, as of the last update; known indicates that there is enough evidence.
	slowness float64
	known    bool
}

// step holds the ends of a step.
type step struct {
	ends    []end
	firstAt time.Time
	settled bool
}

// end is the end of one task: the logarithm of its run time relative to the expected one.
type end struct {
	worker lovagestand.WorkerName
	ratio  float64
}

// New returns a fleet of which nothing is known.
func New() *Fleet {
	return &Fleet{workers: map[lovagestand.WorkerName]*worker{}, steps: map[string]*step{}, runVariance: priorRunVariance}
}

// Add records a completed run. It is compared with the other runs of its step once all of
// them have ended, or some time after the first end.
func (f *Fleet) Add(now time.Time, r Run) {
	if r.Took <= 0 || r.Expected <= 0 {
		return
	}
	e := end{worker: r.Worker, ratio: logRatio(r.Took, r.Expected)}
	s := f.steps[r.Step]
	if s == nil {
		if r.Tasks <= 1 || len(f.steps) >= maxSteps {
			f.observe(now, e, 0, 0)
			return
		}
		s = &step{firstAt: now}
		f.steps[r.Step] = s
	}
	s.ends = append(s.ends, e)
	switch {
	case s.settled:
		ratios, sum := f.comparable(s.ends)
		f.observe(now, e, len(ratios)-1, sum-ratios[len(ratios)-1])
	case len(s.ends) >= r.Tasks:
		f.settle(now, s)
	}
	if len(s.ends) >= r.Tasks {
		delete(f.steps, r.Step)
	}
}

// AddGang records the end of a gang. Its members end together, so it gives information
// about the slowest one only, and none if no member is known.
func (f *Fleet) AddGang(now time.Time, members []lovagestand.WorkerName, took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	var slowest lovagestand.WorkerName
	for _, m := range members {
		if w := f.workers[m]; w != nil && w.known && (slowest == "" || w.slowness > f.workers[slowest].slowness) {
			slowest = m
		}
	}
	if slowest != "" {
		f.observe(now, end{worker: slowest, ratio: logRatio(took, expected)}, 0, 0)
	}
}

func logRatio(took, expected time.Duration) float64 {
	return math.Log(float64(took) / float64(expected))
}

// settle compares the ends of a step with each other.
func (f *Fleet) settle(now time.Time, s *step) {
	s.settled = true
	ratios, sum := f.comparable(s.ends)
	for i, e := range s.ends {
		f.observe(now, e, len(ratios)-1, sum-ratios[i])
	}
}

// comparable returns the ends of a step relative to the slowness of their workers, each
// limited to a distance from their median, and their sum.
func (f *Fleet) comparable(ends []end) ([]float64, float64) {
	ratios := make([]float64, len(ends))
	for i, e := range ends {
		ratios[i] = e.ratio - f.slowness(e.worker)
	}
	ascending := slices.Sorted(slices.Values(ratios))
	median, sum := ascending[(len(ascending)-1)/2], 0.0
	for i := range ratios {
		ratios[i] = limited(ratios[i], median)
		sum += ratios[i]
	}
	return ratios, sum
}

func (f *Fleet) slowness(name lovagestand.WorkerName) float64 {
	if w := f.workers[name]; w != nil {
		return w.slowness
	}
	return 0
}

func limited(x, around float64) float64 {
	return min(max(x, around-observationLimit), around+observationLimit)
}

// observe adds an end to the observations of its worker. The error of the step's estimate
// is inferred from the number and the sum of the other ends of the step; the fewer they
// are, the less weight the observation has.
func (f *Fleet) observe(now time.Time, e end, others int, sum float64) {
	precision := 1/estimateVariance + float64(others)/f.runVariance
	x := e.ratio - sum/f.runVariance/precision
	weight := f.runVariance / (f.runVariance + 1/precision)
	w := f.workers[e.worker]
	if w == nil {
		w = &worker{}
		f.workers[e.worker] = w
	}
	w.observedAt = now
	limit := limited(x, w.mean)
	if x > limit {
		weight *= degradedWeight
	}
	if w.evidence >= minEvidence && others > 0 {
		difference := limit - w.mean
		f.runVariance += (difference*difference - f.runVariance) * weight / runVarianceSample
		f.runVariance = max(f.runVariance, minRunVariance)
	}
	w.evidence = min(w.evidence+weight, maxEvidence)
	w.mean += weight / w.evidence * (limit - w.mean)
}

// Estimate returns what is known of a worker as of the last update.
func (f *Fleet) Estimate(now time.Time, name lovagestand.WorkerName) Estimate {
	w := f.workers[name]
	if w == nil {
		return Estimate{}
	}
	e := Estimate{Evidence: w.evidence, Age: now.Sub(w.observedAt)}
	if w.known {
		e.Speed = math.Exp(-w.slowness)
	}
	return e
}
