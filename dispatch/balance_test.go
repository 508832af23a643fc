package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

// loadOf returns the load of a shard with 10 workers of 32 cores, of which some are empty and the
// others full, and where tasks wait for a number of cores.
func loadOf(empty int, waiting int64) dispatch.ShardLoad {
	return dispatch.ShardLoad{
		Capacity: cores(320), Free: cores(32).Times(int64(empty)), Waiting: cores(waiting),
		Rooms: []dispatch.WorkerRoom{{Service: "ledger", Labels: []string{"ssd"}, Free: cores(32), Workers: empty}},
	}
}

// gangOf returns a movable job that has waited, with tasks of 16 cores.
func gangOf(tasks int, waited time.Duration) dispatch.WaitingJob {
	return dispatch.WaitingJob{
		Steps:  []dispatch.WaitingTasks{{Shape: dispatch.Shape{Needs: cores(16)}, Tasks: tasks}},
		Waited: waited, Movable: true, AllowedShare: 1,
	}
}

// TestBalance checks which jobs move from a full shard to another one.
func TestBalance(t *testing.T) {
	const wait = 3 * time.Second
	other := func(load dispatch.ShardLoad) dispatch.OtherShard { return dispatch.OtherShard{Name: "1", Load: load} }
	with := func(j dispatch.WaitingJob, change func(j *dispatch.WaitingJob)) dispatch.WaitingJob {
		change(&j)
		return j
	}
	sent := other(loadOf(10, 0))
	sent.Sent = gangOf(15, 0).Steps
	old := other(loadOf(10, 0))
	old.Age = 2 * time.Second
	three := []dispatch.WaitingJob{gangOf(2, wait), gangOf(2, wait), gangOf(2, wait)}
	for name, test := range map[string]struct {
		own   dispatch.ShardLoad
		soon  int64
		jobs  []dispatch.WaitingJob
		other dispatch.OtherShard
		moved []int
	}{
		"all move":                     {loadOf(0, 0), 0, three, other(loadOf(10, 0)), []int{2, 1, 0}},
		"free room serves the first":   {loadOf(1, 0), 0, three, other(loadOf(10, 0)), []int{2, 1}},
		"room that is free soon":       {loadOf(0, 0), 64, three, other(loadOf(10, 0)), []int{2}},
		"room does not serve for long": {loadOf(2, 0), 0, []dispatch.WaitingJob{gangOf(2, 6*time.Second), gangOf(2, wait)}, other(loadOf(10, 0)), []int{0}},
		"longest wait first": {
			loadOf(0, 0), 0,
			[]dispatch.WaitingJob{gangOf(2, 6*time.Second), gangOf(2, 9*time.Second), gangOf(2, wait)},
			other(loadOf(10, 0)),
			[]int{1, 0, 2},
		},
		"short wait":         {loadOf(0, 0), 0, []dispatch.WaitingJob{gangOf(2, time.Second)}, other(loadOf(10, 0)), nil},
		"not movable":        {loadOf(0, 0), 0, []dispatch.WaitingJob{with(gangOf(2, wait), func(j *dispatch.WaitingJob) { j.Movable = false })}, other(loadOf(10, 0)), nil},
		"not to this shard":  {loadOf(0, 0), 0, []dispatch.WaitingJob{with(gangOf(2, wait), func(j *dispatch.WaitingJob) { j.MayMoveTo = func(string) bool { return false } })}, other(loadOf(10, 0)), nil},
		"room once":          {loadOf(0, 0), 0, []dispatch.WaitingJob{gangOf(11, wait)}, other(loadOf(10, 0)), nil},
		"room twice":         {loadOf(0, 0), 0, []dispatch.WaitingJob{gangOf(10, wait)}, other(loadOf(10, 0)), []int{0}},
		"others wait there":  {loadOf(0, 0), 0, []dispatch.WaitingJob{gangOf(10, wait)}, other(loadOf(10, 16)), nil},
		"policy allows few":  {loadOf(0, 0), 0, []dispatch.WaitingJob{with(gangOf(10, wait), func(j *dispatch.WaitingJob) { j.AllowedShare = 0.4 })}, other(loadOf(10, 0)), nil},
		"policy allows half": {loadOf(0, 0), 0, []dispatch.WaitingJob{with(gangOf(10, wait), func(j *dispatch.WaitingJob) { j.AllowedShare = 0.5 })}, other(loadOf(10, 0)), []int{0}},
		"another label":      {loadOf(0, 0), 0, []dispatch.WaitingJob{with(gangOf(2, wait), func(j *dispatch.WaitingJob) { j.Steps[0].Shape.Label = "gpu" })}, other(loadOf(10, 0)), nil},
		"its label":          {loadOf(0, 0), 0, []dispatch.WaitingJob{with(gangOf(2, wait), func(j *dispatch.WaitingJob) { j.Steps[0].Shape.Label = "ssd" })}, other(loadOf(10, 0)), []int{0}},
		"another service":    {loadOf(0, 0), 0, []dispatch.WaitingJob{with(gangOf(2, wait), func(j *dispatch.WaitingJob) { j.Steps[0].Shape.Service = "glazedesk" })}, other(loadOf(10, 0)), nil},
		"sent before":        {loadOf(0, 0), 0, three, sent, []int{2}},
		"old load":           {loadOf(0, 0), 0, three, old, nil},
		"similar load":       {loadOf(5, 0), 0, []dispatch.WaitingJob{gangOf(1, 6*time.Second)}, other(loadOf(6, 0)), nil},
		"no workers there":   {loadOf(0, 0), 0, three, other(dispatch.ShardLoad{}), nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var moved []int
			for _, m := range dispatch.Balance(dispatch.Balancing{Own: test.own, Soon: cores(test.soon), Jobs: test.jobs, Others: []dispatch.OtherShard{test.other}}) {
				moved = append(moved, m.Job)
			}
			c.Assert(moved, qt.DeepEquals, test.moved)
		})
	}
}

// TestBalanceBoundsItsMoves guards against a queue that leaves a shard all at once.
func TestBalanceBoundsItsMoves(t *testing.T) {
	c := qt.New(t)
	var jobs []dispatch.WaitingJob
	for range 100 {
		jobs = append(jobs, gangOf(1, 3*time.Second))
	}
	empty := dispatch.ShardLoad{Capacity: cores(3200), Free: cores(3200), Rooms: []dispatch.WorkerRoom{{Free: cores(32), Workers: 100}}}
	c.Assert(dispatch.Balance(dispatch.Balancing{Own: loadOf(0, 0), Jobs: jobs, Others: []dispatch.OtherShard{{Load: empty}}}), qt.HasLen, 16)
}

// TestShardsShareTheRoomOfAnother guards against six full shards that see the same empty one at
// the same time and fill it several times over.
func TestShardsShareTheRoomOfAnother(t *testing.T) {
	c := qt.New(t)
	capacity := cores(275 * 32)
	target := dispatch.OtherShard{Name: "empty", Load: dispatch.ShardLoad{Capacity: capacity, Free: capacity, Rooms: []dispatch.WorkerRoom{{Free: cores(32), Workers: 275}}}}
	var sent lovagestand.Resources
	for range 6 {
		b := dispatch.Balancing{Own: dispatch.ShardLoad{Capacity: capacity}, Others: []dispatch.OtherShard{target}, Senders: 6}
		for range 30 {
			b.Jobs = append(b.Jobs, dispatch.WaitingJob{Steps: []dispatch.WaitingTasks{{Shape: dispatch.Shape{Needs: cores(15)}, Tasks: 40}}, Waited: 6 * time.Second, Movable: true, AllowedShare: 0.35})
		}
		for _, m := range dispatch.Balance(b) {
			sent = sent.Add(b.Jobs[m.Job].Needs())
		}
	}
	c.Check(sent.MilliCPU <= capacity.MilliCPU, qt.IsTrue, qt.Commentf("%.2f of the capacity was sent there", float64(sent.MilliCPU)/float64(capacity.MilliCPU)))
}
