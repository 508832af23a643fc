package speed

import (
	"maps"
	"math"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// updateInterval is the minimum time between two updates of the estimates.
	updateInterval = time.Second
	// minEvidence is the evidence from which a worker counts as known.
	minEvidence = 2
	// minKnown and minKnownShare are how many of the workers, and which share of them, must
	// be known before the fleet can count as uneven. Percentiles of fewer are unreliable.
	minKnown      = 10
	minKnownShare = 0.6
	// unevenRatio is the ratio of the median to the 20th percentile of slowness from which
	// the fleet counts as uneven. The fast machines of an uneven fleet are 2.4 times as
	// fast as the others, those of all others at most 1.3 times; a fault affects at most a
	// quarter of the workers and makes them slower, so it moves neither value that far.
	unevenRatio     = 1.6
	fastPercentile  = 0.2
	usualPercentile = 0.5
	// evenRatio is the ratio below which an uneven fleet no longer counts as uneven.
	evenRatio = 1.35
	// unevenUpdates and evenUpdates are the numbers of successive updates after which the
	// decision changes.
	unevenUpdates, evenUpdates = 2, 10
)

// decision is whether the fleet counts as uneven.
type decision struct {
	updatedAt time.Time
	summary   Summary
	// contrary counts the successive updates that spoke against the present decision.
	contrary int
}

// Summary describes the fleet as of the last update.
type Summary struct {
	// Uneven indicates that the fleet counts as uneven.
	Uneven bool
	// Known is the number of workers whose speed is known, of Workers.
	Known, Workers int
	// Ratio is the ratio of the median to the 20th percentile of slowness, 0 while too few
	// workers are known.
	Ratio float64
	// Fast and Usual are the speeds at these percentiles.
	Fast, Usual float64
}

// Due reports whether an update is due.
func (f *Fleet) Due(now time.Time) bool {
	return now.Sub(f.updatedAt) >= updateInterval
}

// Update estimates the speeds of the workers of the fleet again and decides whether it
// counts as uneven. It does nothing while no update is due.
func (f *Fleet) Update(now time.Time, names []lovagestand.WorkerName) Summary {
	if !f.Due(now) {
		return f.summary
	}
	f.updatedAt = now
	// The order has an effect on the averages, and equal inputs must give equal estimates.
	for _, id := range slices.Sorted(maps.Keys(f.steps)) {
		s := f.steps[id]
		if !s.settled && now.Sub(s.firstAt) >= settleAfter {
			f.settle(now, s)
		}
		if now.Sub(s.firstAt) >= keepStep {
			delete(f.steps, id)
		}
	}
	for name, w := range f.workers {
		if now.Sub(w.observedAt) > keepWorker {
			delete(f.workers, name)
		}
	}
	f.summarize(f.shrink(names), len(names))
	return f.summary
}

// shrink moves the estimate of each worker towards the mean of the fleet according to its
// evidence: the variance of its mean against the variance between workers (random effects).
// It returns the estimates of the known workers in ascending order of slowness.
func (f *Fleet) shrink(names []lovagestand.WorkerName) []float64 {
	var known []*worker
	mean, errors := 0.0, 0.0
	for _, name := range names {
		w := f.workers[name]
		if w == nil {
			continue
		}
		w.known = w.evidence >= minEvidence
		if w.known {
			known = append(known, w)
			mean += w.mean
			errors += f.runVariance / w.evidence
		}
	}
	if len(known) < 2 {
		return nil
	}
	n := float64(len(known))
	mean /= n
	between := 0.0
	for _, w := range known {
		between += (w.mean - mean) * (w.mean - mean) / (n - 1)
	}
	between = max(0, between-errors/n)
	slowness := make([]float64, 0, len(known))
	for _, w := range known {
		w.slowness = 0
		if between > 0 {
			w.slowness = (w.mean - mean) * between / (between + f.runVariance/w.evidence)
		}
		slowness = append(slowness, w.slowness)
	}
	slices.Sort(slowness)
	return slowness
}

// summarize decides from the slowness of the known workers, in ascending order.
func (f *Fleet) summarize(slowness []float64, workers int) {
	s := &f.summary
	s.Known, s.Workers, s.Ratio, s.Fast, s.Usual = len(slowness), workers, 0, 0, 0
	if len(slowness) < minKnown || float64(len(slowness)) < minKnownShare*float64(workers) {
		// The machines have not changed: the decision remains.
		f.contrary = 0
		return
	}
	fast, usual := slowness[int(fastPercentile*float64(len(slowness)))], slowness[int(usualPercentile*float64(len(slowness)))]
	s.Ratio, s.Fast, s.Usual = math.Exp(usual-fast), math.Exp(-fast), math.Exp(-usual)
	needed, contrary := unevenUpdates, s.Ratio >= unevenRatio
	if s.Uneven {
		needed, contrary = evenUpdates, s.Ratio < evenRatio
	}
	if !contrary {
		f.contrary = 0
		return
	}
	if f.contrary++; f.contrary >= needed {
		s.Uneven, f.contrary = !s.Uneven, 0
	}
}
