package region

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	lovagestand "lovagestand.example/lovagestand"
)

// candidate returns a shard of 4 cores, which are all free if wait is 0 and all
// busy otherwise.
func candidate(name string, region lovagestand.RegionName, wait time.Duration) Candidate {
	p := lovagestand.PoolDigest{
		Pool: pool, Workers: 1, Running: 4,
		Capacity:        lovagestand.Resources{MilliCPU: 4000},
		LargestCapacity: lovagestand.Resources{MilliCPU: 2000},
		Wait:            map[lovagestand.Class]time.Duration{lovagestand.ClassUrgent: wait},
	}
	if wait == 0 {
		p.Running, p.Free = 0, p.Capacity
	}
	return Candidate{
		Shard: lovagestand.ShardName(name), Region: region, Age: 100 * time.Millisecond,
		Digest: lovagestand.Digest{Pools: []lovagestand.PoolDigest{p}},
	}
}

func urgent(milliCPU int64) lovagestand.Task {
	return lovagestand.Task{
		Pool: pool, Class: lovagestand.ClassUrgent, Resources: lovagestand.Resources{MilliCPU: milliCPU},
	}
}

func chooser(options ...Option) *CostAware {
	fixed := func() time.Time { return time.Unix(0, 0) }
	return NewCostAware("malabar", append([]Option{WithRandom(rand.New(rand.NewPCG(1, 1))), WithClock(fixed)}, options...)...)
}

func TestChoosesRemoteOnlyWhenWorthIt(t *testing.T) {
	for _, test := range []struct {
		name     string
		wait     time.Duration
		megabyte float64
		want     lovagestand.ShardName
	}{
		{"own region idle", 0, 0.1, "near"},
		{"link takes longer than the wait", 15 * time.Millisecond, 0, "near"},
		{"wait saved is worth the bytes", 2 * time.Second, 0.1, "far"},
		{"bytes cost more than the wait saved", 2 * time.Second, 10, "near"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := chooser(WithWeights(func(lovagestand.RouteName) Weights {
				return Weights{WaitSecond: 1, Megabyte: test.megabyte}
			}))
			chosen, reason, err := w.Choose(urgent(1000), 1_000_000,
				[]Candidate{candidate("near", "malabar", test.wait), candidate("far", "ernakulam", 0)})
			c.Assert(err, qt.IsNil)
			c.Assert(chosen.Shard, qt.Equals, test.want, qt.Commentf("%s", reason))
		})
	}
}

func TestCountsTasksSentSinceDigest(t *testing.T) {
	c := qt.New(t)
	w := chooser()
	counts := make(map[lovagestand.ShardName]int)
	for range 8 {
		chosen, _, err := w.Choose(urgent(1000), 0, []Candidate{candidate("a", "malabar", 0), candidate("b", "malabar", 0)})
		c.Assert(err, qt.IsNil)
		counts[chosen.Shard]++
	}
	c.Assert(counts, qt.DeepEquals, map[lovagestand.ShardName]int{"a": 4, "b": 4})
}

func TestReportsInfeasibleTasks(t *testing.T) {
	c := qt.New(t)
	choosers := []Chooser{
		NewRandom(rand.New(rand.NewPCG(1, 1))), LeastQueue{}, LeastLoaded{}, NewNearest("malabar"), chooser(),
	}
	for _, each := range choosers {
		var infeasible *lovagestand.InfeasibleError
		_, _, err := each.Choose(urgent(3000), 0, []Candidate{candidate("near", "malabar", 0)})
		c.Assert(err, qt.ErrorAs, &infeasible)
		c.Assert(infeasible.Largest, qt.Equals, lovagestand.Resources{MilliCPU: 2000})
		var noShard *NoShardError
		_, _, err = each.Choose(urgent(1), 0, nil)
		c.Assert(err, qt.ErrorAs, &noShard)
	}
}

func ExampleCostAware_Explain() {
	estimates, err := chooser().Explain(urgent(1000), 50_000, []Candidate{
		candidate("malabar/r1", "malabar", 300*time.Millisecond),
		candidate("ernakulam/r1", "ernakulam", 0),
	})
	if err != nil {
		fmt.Println(err)
	}
	for _, a := range estimates {
		fmt.Println(a)
	}
	// Output:
	// ernakulam/r1: wait 0s, link 20ms, 50000 paid bytes, cost 0.025, digest 100ms old
	// malabar/r1: wait 300ms, link 0s, 0 paid bytes, cost 0.3, digest 100ms old
}

func ExampleMeter() {
	m := NewMeter()
	m.Count("malabar", "malabar", "quote", 1000)
	m.Count("malabar", "ernakulam", "quote", 1000)
	m.Count("malabar", "ernakulam", "quote", 500)
	fmt.Println(m.Rows(), m.Total())
	// Output: [{malabar ernakulam quote 1500}] 1500
}

func ExampleAnswerSizes() {
	a := NewAnswerSizes()
	a.Observe("quote", 1000)
	a.Observe("quote", 2000)
	fmt.Println(a.Expected("quote"), a.Expected("bulk"))
	// Output: 1100 0
}
