package layout_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/layout"
)

func ExamplePlan() {
	fmt.Println(layout.Plan(48, 9).ShardNames(), layout.Plan(1900, 39).ShardNames())
	// Output: [0] [0 1 2 3]
}

func TestPlan(t *testing.T) {
	for _, k := range []struct{ workers, instances, shards int }{
		{0, 0, 1}, {350, 35, 1}, {513, 35, 2}, {3000, 300, 8}, {3000, 3, 2}, {1 << 30, 1 << 30, 64},
	} {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			c := qt.New(t)
			l := layout.Plan(k.workers, k.instances)
			c.Assert(l.Shards, qt.Equals, k.shards)
			c.Assert(l.Valid(), qt.IsTrue)
			c.Assert(l.ShardNames(), qt.HasLen, k.shards)
		})
	}
}

func TestShardsAreBalanced(t *testing.T) {
	l := layout.Layout{Shards: 8}
	for name, pick := range map[string]func(i int) string{
		"racks": func(i int) string {
			return l.ShardOfWorker(lovagestand.FleetWorker{Rack: lovagestand.RackName(fmt.Sprintf("r%d-%d", i/125, i%125))})
		},
		"jobs": func(i int) string { return l.ShardOfID(job.ID(fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15))) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			counts := map[string]int{}
			for i := range 375 {
				counts[pick(i)]++
			}
			c.Assert(counts, qt.HasLen, 8)
			for shard, n := range counts {
				c.Assert(n > 375/8*3/4, qt.IsTrue, qt.Commentf("shard %s has %d", shard, n))
			}
		})
	}
}

func TestShardOfAJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := layout.Layout{Shards: 1 << rapid.IntRange(0, 6).Draw(t, "power")}
		rack := lovagestand.RackName(rapid.String().Draw(t, "rack"))
		j := job.Job{ID: job.ID(rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "id")), Steps: []job.Step{{Count: 1}, {Count: 1, Affinity: rack}}}
		want := l.ShardOfID(j.ID)
		if rack != "" {
			want = l.ShardOfWorker(lovagestand.FleetWorker{Rack: rack})
		}
		if got := l.ShardOfJob(j); got != want || !slices.Contains(l.ShardNames(), got) {
			t.Fatalf("shard %q, want %q", got, want)
		}
	})
}
