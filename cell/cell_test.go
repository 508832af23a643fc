package cell_test

import (
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cell"
	"lovagestand.example/lovagestand/limit"
	"lovagestand.example/lovagestand/peer"
	"lovagestand.example/lovagestand/placer"
	"lovagestand.example/lovagestand/table"
)

func testInstance(id lovagestand.InstanceID) lovagestand.Instance {
	return lovagestand.Instance{ID: id, Address: "10.0.0." + string(id) + ":7400", Region: "malabar"}
}

func runnersDigest(free int64, wait time.Duration) lovagestand.Digest {
	return lovagestand.Digest{Shard: "malabar/rack1", Pools: []lovagestand.PoolDigest{{
		Pool:     "runners",
		Capacity: lovagestand.Resources{MilliCPU: 32000, MemoryMiB: 131072},
		Free:     lovagestand.Resources{MilliCPU: free, MemoryMiB: 512},
		Workers:  1,
		Waiting:  map[lovagestand.Class]int{lovagestand.ClassBatch: 3},
		Wait:     map[lovagestand.Class]time.Duration{lovagestand.ClassBatch: wait},
	}}}
}

// troubledState returns the state of a cell in which every section shows a problem.
func troubledState() cell.State {
	ahead := cell.InstanceStatus{Instance: testInstance("1"), Status: table.Status{Revision: 7}, Shards: []placer.ShardStatus{{
		Shard:   "malabar/rack1",
		Workers: []placer.WorkerStatus{{Worker: "w1", Pool: "runners", Reachable: true}, {Worker: "w2", Pool: "runners", Reachable: true, Leaving: true}, {Worker: "w3", Pool: "runners", Reachable: true, Quarantined: true}},
	}}}
	ahead.Refusals = []limit.RefusalCount{{Kind: "rate", Route: "counter-quote", Count: 2, LastTeam: "website", LastAt: time.Unix(1, 0)}}
	behind := cell.InstanceStatus{Instance: testInstance("2"), Status: table.Status{Revision: 6}}
	behind.Refusals = []limit.RefusalCount{{Kind: "rate", Route: "counter-quote", Count: 3, LastTeam: "showroom", LastAt: time.Unix(2, 0)}}
	second := runnersDigest(500, 2*time.Second)
	second.Shard = "malabar/rack2"
	return cell.New(cell.Sources{
		AskedAt: "10.0.0.1:7400",
		Reports: []cell.Report{
			{Instance: testInstance("1"), Status: ahead},
			{Instance: testInstance("2"), Status: behind},
			{Instance: testInstance("3"), Err: errors.New("connection refused")},
		},
		RevisionReports: map[lovagestand.InstanceID]cell.RevisionReport{"3": {Revision: 5, Age: 9 * time.Second}},
		Digests: []peer.DigestView{
			{Digest: runnersDigest(1500, time.Second), Owner: "1", Epoch: 4},
			{Digest: second, Owner: "2", Epoch: 1},
			{Digest: lovagestand.Digest{Shard: peer.ClaimPartition(0)}, Owner: "2"},
		},
		ClaimPartitions: map[lovagestand.InstanceID]int{"2": 1},
		ListedWorkers:   []lovagestand.Worker{{Region: "malabar", Rack: "rack1"}, {Region: "malabar", Rack: "rack9"}},
	})
}

func TestTextShowsTrouble(t *testing.T) {
	c := qt.New(t)
	var text strings.Builder
	c.Assert(troubledState().Write(&text), qt.IsNil)
	for _, want := range []string{
		`tables revision 7`,
		`malabar +3 +2 +3 +2 +0 +6`,
		`runners +2 +0 +2 of 64 +1 GiB of 256 GiB +0 of 0`,
		`runners +batch +6 +1s to 2s`,
		`malabar/rack9 +no owner is known`,
		`10\.0\.0\.2:7400 .* 1 +1 +has revision 6 of the tables in force, not 7`,
		`10\.0\.0\.3:7400 .* 5 +9s .* does not answer: connection refused`,
		`w3 +malabar/rack1 +runners +quarantined: it failed .*`,
		`counter-quote +rate +5 +showroom `,
		`w2 +malabar/rack1 +runners +leaving`,
	} {
		c.Check(text.String(), qt.Matches, `(?s).*`+want+`.*`)
	}
	c.Check(text.String(), qt.Not(qt.Contains), "claims/")
	c.Check(text.String(), qt.Not(qt.Contains), "w1")
}

func TestPageShowsTrouble(t *testing.T) {
	c := qt.New(t)
	var page strings.Builder
	c.Assert(troubledState().WritePage(&page), qt.IsNil)
	for _, want := range []string{"has revision 6 of", "connection refused", "malabar/rack9", "no owner is known", "w2", "1s to 2s", "showroom"} {
		c.Check(page.String(), qt.Contains, want)
	}
}

func ExampleAssess() {
	task := lovagestand.Task{Class: lovagestand.ClassBatch, Resources: lovagestand.Resources{MilliCPU: 64000}}
	assessment := cell.ShardAssessment{Shard: "malabar/rack1", Text: cell.Assess(task, runnersDigest(0, 0).Pools[0], true)}
	_ = cell.Forecast{Route: "frame-check", Pool: "runners", Class: task.Class, Resources: task.Resources, Reason: "fits nowhere", Shards: []cell.ShardAssessment{assessment}}.Write(os.Stdout)
	// Output:
	// route frame-check: pool runners, class batch, takes 64 cores, 0 MiB, 0 accelerators
	// would go nowhere: fits nowhere
	//   malabar/rack1 (owner ): never: its largest worker has 0 cores, 0 MiB, 0 accelerators
}
