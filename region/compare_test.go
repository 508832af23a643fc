package region

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	lovagestand "lovagestand.example/lovagestand"
)

var scenarios = []scenario{
	{name: "even", slots: 16, duration: 2 * time.Minute, load: [3]float64{0.8, 0.8, 0.8}},
	{name: "skewed", slots: 16, duration: 2 * time.Minute, load: [3]float64{1.05, 0.6, 0.6}},
	{
		name: "overloaded", slots: 16, duration: 3 * time.Minute, load: [3]float64{0.7, 0.7, 0.7},
		disturbedFrom: time.Minute, disturbedUntil: 2 * time.Minute, remainingSlotShare: 0.5,
	},
	{
		name: "cut", slots: 4, duration: 80 * time.Minute, load: [3]float64{0.9, 0.6, 0.6},
		disturbedFrom: 10 * time.Minute, disturbedUntil: 70 * time.Minute, regionCutOff: true,
	},
}

// policies are the choosers that are compared. Their waits and billed bytes are
// measured in the same simulation.
var policies = map[string]policy{
	"random":      func(r *simulation, _ lovagestand.RegionName) Chooser { return NewRandom(r.random) },
	"leastQueue":  func(*simulation, lovagestand.RegionName) Chooser { return LeastQueue{} },
	"leastLoaded": func(*simulation, lovagestand.RegionName) Chooser { return LeastLoaded{} },
	"nearest":     func(_ *simulation, region lovagestand.RegionName) Chooser { return NewNearest(region) },
	"weighing":    func(r *simulation, region lovagestand.RegionName) Chooser { return newCostAware(r, region) },
	"uncorrected": func(r *simulation, region lovagestand.RegionName) Chooser {
		return newCostAware(r, region, WithEntryCount(func() int { return 0 }))
	},
	// With no region of its own, the chooser takes the better of any two shards.
	"anyTwo": func(r *simulation, _ lovagestand.RegionName) Chooser { return newCostAware(r, "") },
}

func newCostAware(r *simulation, region lovagestand.RegionName, options ...Option) Chooser {
	return NewCostAware(region, append([]Option{
		WithClock(func() time.Time { return time.Unix(0, 0).Add(r.now) }),
		WithRandom(rand.New(rand.NewPCG(r.random.Uint64(), 1))),
		WithAnswerBytes(func(lovagestand.RouteName) int { return messageBytes }),
		WithEntryCount(func() int { return entriesPerRegion }),
		WithWeights(weightsOf),
	}, options...)...)
}

func weightsOf(route lovagestand.RouteName) Weights {
	if route == "quote" {
		return DefaultWeights()
	}
	return Weights{WaitSecond: 0.005, Megabyte: 0.1}
}

// TestCostAwareLimitsPaidBytes checks two goals against LeastLoaded: the
// cost-aware chooser sends at most a tenth of the billed bytes, and urgent tasks
// wait at most a tenth longer.
func TestCostAwareLimitsPaidBytes(t *testing.T) {
	for _, s := range scenarios {
		for _, age := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
			if s.regionCutOff && age != time.Second {
				s.duration, s.disturbedFrom, s.disturbedUntil = 8*time.Minute, time.Minute, 7*time.Minute
			}
			t.Run(fmt.Sprint(s.name, " ", age), func(t *testing.T) {
				c := qt.New(t)
				baseline, costAware := simulate(s, age, policies["leastLoaded"]), simulate(s, age, policies["weighing"])
				c.Assert(costAware.paidMB <= baseline.paidMB/10, qt.IsTrue, qt.Commentf("%.1f of %.1f MB", costAware.paidMB, baseline.paidMB))
				c.Assert(mean(costAware.urgent) <= mean(baseline.urgent)*11/10, qt.IsTrue)
				c.Assert(p99(costAware.urgent) <= p99(baseline.urgent)*11/10, qt.IsTrue)
			})
		}
	}
}

// BenchmarkPolicies measures all policies in all scenarios:
//
//	go test ./region -run xxx -bench Policies -benchtime 1x
func BenchmarkPolicies(b *testing.B) {
	for _, s := range scenarios {
		for _, age := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
			for _, name := range slices.Sorted(maps.Keys(policies)) {
				b.Run(fmt.Sprint(s.name, "/", age, "/", name), func(b *testing.B) {
					for range b.N {
						simulate(s, age, policies[name]).reportTo(b)
					}
				})
			}
		}
	}
}

func (m *measurements) reportTo(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(mean(m.urgent).Milliseconds()), "urgent-mean-ms")
	b.ReportMetric(float64(p99(m.urgent).Milliseconds()), "urgent-p99-ms")
	b.ReportMetric(float64(p99(m.batch).Milliseconds()), "batch-p99-ms")
	b.ReportMetric(m.paidMB, "paid-MB")
	b.ReportMetric(float64(m.rejected), "shed")
}

func BenchmarkChoose(b *testing.B) {
	r := newSimulation(scenarios[0], time.Second, policies["weighing"])
	candidates := r.candidates(0)
	t := lovagestand.Task{Pool: pool, Class: lovagestand.ClassUrgent, Resources: lovagestand.Resources{MilliCPU: 1000}}
	b.ReportAllocs()
	for range b.N {
		_, _, err := r.choosers[0][0].Choose(t, messageBytes, candidates)
		if err != nil {
			b.Fatal(err)
		}
	}
}
