package shard_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

// farRunTime is how many times as long tasks take away from their data in these tests.
const farRunTime = 3

// stalledJob is the number of a job whose tasks run for a minute.
const stalledJob = 9

// rackFleet records where each task starts.
type rackFleet struct {
	lovagestand.Fleet
	mu    sync.Mutex
	racks map[string]lovagestand.RackName
}

// Start implements [lovagestand.Fleet].
func (f *rackFleet) Start(ctx context.Context, target lovagestand.FleetWorker, order lovagestand.Order) (lovagestand.WorkerClock, error) {
	f.mu.Lock()
	f.racks[order.Task] = target.Rack
	f.mu.Unlock()
	return f.Fleet.Start(ctx, target, order)
}

// rackOf returns the rack on which the last task of a job started.
func (f *rackFleet) rackOf(id string) lovagestand.RackName {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, rack := range f.racks {
		if strings.HasPrefix(task, id) {
			return rack
		}
	}
	return ""
}

// count returns how many tasks of a job started on a rack.
func (f *rackFleet) count(id string, rack lovagestand.RackName) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task, on := range f.racks {
		if strings.HasPrefix(task, id) && on == rack {
			n++
		}
	}
	return n
}

// countingRecorder counts events.
type countingRecorder struct {
	lovagestand.NoRecorder
	mu     sync.Mutex
	counts map[string]int
}

// Count implements [lovagestand.Recorder].
func (r *countingRecorder) Count(counter, kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[counter+" "+kind]++
}

func (r *countingRecorder) count(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

// localityCell is a cell of one worker of four tasks on each of the racks near and far.
type localityCell struct {
	*cell
	fleet    *rackFleet
	recorder *countingRecorder
	owner    *owner
}

// newLocalityCell returns a cell whose tasks take farRunTime times as long away from rack
// near, with or without teams in the configuration.
func newLocalityCell(c *qt.C, teams bool) *localityCell {
	f := &rackFleet{racks: map[string]lovagestand.RackName{}}
	k := newCell(c, 2, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if strings.HasPrefix(o.Task, id(stalledJob)) {
			return time.Minute, lovagestand.EndingDone
		}
		if f.racks[o.Task] == "near" {
			return time.Second, lovagestand.EndingDone
		}
		return farRunTime * time.Second, lovagestand.EndingDone
	})
	f.Fleet = k.fleet
	k.fleetWrapper = f
	k.workers[0].Rack, k.workers[1].Rack = "near", "far"
	recorder := &countingRecorder{counts: map[string]int{}}
	o := k.beginTerm("a", func(d *shard.Deps) {
		d.Recorder = recorder
		d.Teams = func() (shard.Teams, bool) { return shard.Teams{Enabled: teams}, true }
	})
	time.Sleep(time.Second)
	return &localityCell{cell: k, fleet: f, recorder: recorder, owner: o}
}

// submit submits a job of priority 2 with tasks near rack near.
func (k *localityCell) submit(n, tasks int) {
	k.c.Helper()
	k.submitStep(n, job.Step{Count: tasks, Affinity: "near"})
}

func (k *localityCell) submitStep(n int, step job.Step) {
	k.c.Helper()
	j := job.Job{ID: job.ID(id(n)), Policy: job.Policy{Route: "plan", Priority: 2, MaxAttempts: 2, Stretch: 20, Target: time.Second}, Steps: []job.Step{step}}
	k.c.Assert(k.owner.submitJob(j), qt.IsNil)
}

// learn runs jobs of eight tasks, of which half run elsewhere.
func (k *localityCell) learn() {
	for n := range 40 {
		k.submit(100+n, 8)
		time.Sleep((farRunTime + 1) * time.Second)
	}
}

// TestStepWaitsForRoomNearItsData guards against a task that starts elsewhere, where it
// takes three times as long, 200 ms before a worker near its data has room.
func TestStepWaitsForRoomNearItsData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newLocalityCell(c, true)
		defer k.owner.stop()
		k.learn()
		k.submit(1, 4)
		time.Sleep(800 * time.Millisecond)
		paid := k.recorder.count("localityWaits plan.paid")
		k.submit(2, 1)
		time.Sleep(2 * time.Second)
		c.Assert(k.fleet.rackOf(id(2)), qt.Equals, lovagestand.RackName("near"))
		assertPhase(c, k.owner, id(2), "completed")
		c.Assert(k.recorder.count("localityWaits plan.paid"), qt.Equals, paid+1)
	})
}

// TestGangWaitsForOneRack guards against a gang that is split over two racks, where it takes
// three times as long, half a second before one rack has room for all of it.
func TestGangWaitsForOneRack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newLocalityCell(c, true)
		defer k.owner.stop()
		k.learn()
		k.submit(1, 2)
		k.submitStep(2, job.Step{Count: 2, Affinity: "far"})
		time.Sleep(500 * time.Millisecond)
		k.submitStep(3, job.Step{Count: 4, Gang: true, SameRack: true})
		time.Sleep(300 * time.Millisecond)
		c.Assert(k.fleet.rackOf(id(3)), qt.Equals, lovagestand.RackName(""))
		time.Sleep(600 * time.Millisecond)
		c.Assert(k.fleet.count(id(3), "near"), qt.Equals, 4)
		k.assertNoViolations()
	})
}

// TestNoWaitWithoutTeams guards against a change of decisions in a deployment whose
// configuration has no teams.
func TestNoWaitWithoutTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newLocalityCell(c, false)
		defer k.owner.stop()
		k.learn()
		k.submit(1, 4)
		time.Sleep(800 * time.Millisecond)
		k.submit(2, 1)
		time.Sleep(100 * time.Millisecond)
		c.Assert(k.fleet.rackOf(id(2)), qt.Equals, lovagestand.RackName("far"))
		c.Assert(k.recorder.count("localityWaits plan.paid")+k.recorder.count("localityWaits plan.lost"), qt.Equals, 0)
	})
}

// TestWaitEndsWhenRoomDoesNotCome guards against a step that waits for good for workers
// near its data on which tasks run far longer than expected.
func TestWaitEndsWhenRoomDoesNotCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newLocalityCell(c, true)
		defer k.owner.stop()
		k.learn()
		k.submit(stalledJob, 4)
		time.Sleep(800 * time.Millisecond)
		lost := k.recorder.count("localityWaits plan.lost")
		k.submit(2, 1)
		time.Sleep(300 * time.Millisecond)
		c.Assert(k.fleet.rackOf(id(2)), qt.Equals, lovagestand.RackName(""))
		// Nothing of a job waits for longer than 1.5 s.
		time.Sleep(1400 * time.Millisecond)
		c.Assert(k.fleet.rackOf(id(2)), qt.Equals, lovagestand.RackName("far"))
		c.Assert(k.recorder.count("localityWaits plan.lost"), qt.Equals, lost+1)
	})
}
