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
	{name: "even", slots: 16, span: 2 * time.Minute, load: [3]float64{0.8, 0.8, 0.8}},
	{name: "skewed", slots: 16, span: 2 * time.Minute, load: [3]float64{1.05, 0.6, 0.6}},
	{
		name: "overloaded", slots: 16, span: 3 * time.Minute, load: [3]float64{0.7, 0.7, 0.7},
		from: time.Minute, till: 2 * time.Minute, weak: 0.5,
	},
	{
		name: "cut", slots: 4, span: 80 * time.Minute, load: [3]float64{0.9, 0.6, 0.6},
		from: 10 * time.Minute, till: 70 * time.Minute, cut: true,
	},
}

// policies are compared; what is paid and waited is measured alike for all.
var policies = map[string]policy{
	"random":      func(r *replay, _ lovagestand.RegionName) Chooser { return NewRandom(r.random) },
	"leastQueue":  func(*replay, lovagestand.RegionName) Chooser { return LeastQueue{} },
	"leastLoaded": func(*replay, lovagestand.RegionName) Chooser { return LeastLoaded{} },
	"nearest":     func(_ *replay, region lovagestand.RegionName) Chooser { return NewNearest(region) },
	"weighing":    func(r *replay, region lovagestand.RegionName) Chooser { return weighing(r, region) },
	"uncorrected": func(r *replay, region lovagestand.RegionName) Chooser {
		return weighing(r, region, WithEntryCount(func() int { return 0 }))
	},
	// Of no region, it weighs nothing and takes the better of any two shards.
	"anyTwo": func(r *replay, _ lovagestand.RegionName) Chooser { return weighing(r, "") },
}

func weighing(r *replay, region lovagestand.RegionName, options ...Option) Chooser {
	return NewCostAware(region, append([]Option{
		WithClock(func() time.Time { return time.Unix(0, 0).Add(r.now) }),
		WithRandom(rand.New(rand.NewPCG(r.random.Uint64(), 1))),
		WithAnswerBytes(func(lovagestand.RouteName) int { return replayBytes }),
		WithEntryCount(func() int { return replayEntries }),
		WithWeights(weightsOf),
	}, options...)...)
}

func weightsOf(route lovagestand.RouteName) Weights {
	if route == "quote" {
		return DefaultWeights()
	}
	return Weights{WaitSecond: 0.005, Megabyte: 0.1}
}

// TestCostAwareLimitsPaidBytes holds the goals: at most a tenth of the paid bytes of
// always least loaded, at urgent waits at most a tenth longer.
func TestCostAwareLimitsPaidBytes(t *testing.T) {
	for _, s := range scenarios {
		for _, age := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
			if s.cut && age != time.Second {
				s.span, s.from, s.till = 8*time.Minute, time.Minute, 7*time.Minute
			}
			t.Run(fmt.Sprint(s.name, " ", age), func(t *testing.T) {
				c := qt.New(t)
				least, chosen := run(s, age, policies["leastLoaded"]), run(s, age, policies["weighing"])
				c.Assert(chosen.paid <= least.paid/10, qt.IsTrue, qt.Commentf("%.1f of %.1f MB", chosen.paid, least.paid))
				c.Assert(mean(chosen.urgent) <= mean(least.urgent)*11/10, qt.IsTrue)
				c.Assert(p99(chosen.urgent) <= p99(least.urgent)*11/10, qt.IsTrue)
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
						run(s, age, policies[name]).reportTo(b)
					}
				})
			}
		}
	}
}

func (m *measured) reportTo(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(mean(m.urgent).Milliseconds()), "urgent-mean-ms")
	b.ReportMetric(float64(p99(m.urgent).Milliseconds()), "urgent-p99-ms")
	b.ReportMetric(float64(p99(m.batch).Milliseconds()), "batch-p99-ms")
	b.ReportMetric(m.paid, "paid-MB")
	b.ReportMetric(float64(m.shed), "shed")
}

func BenchmarkChoose(b *testing.B) {
	r := newReplay(scenarios[0], time.Second, policies["weighing"])
	candidates := r.candidates(0)
	t := lovagestand.Task{Pool: pool, Class: lovagestand.ClassUrgent, Resources: lovagestand.Resources{MilliCPU: 1000}}
	b.ReportAllocs()
	for range b.N {
		_, _, err := r.choosers[0][0].Choose(t, replayBytes, candidates)
		if err != nil {
			b.Fatal(err)
		}
	}
}
