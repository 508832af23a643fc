package pool_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/pool"
)

// newDecider returns a decider with n workers of four cores.
func newDecider(n int, options ...pool.Option) *pool.Decider {
	d := pool.New("malabar/r1", options...)
	for i := range n {
		d.SetWorker(startTime, lovagestand.Worker{
			Name: lovagestand.WorkerName(fmt.Sprintf("w%d", i)), Slots: 8,
			Capacity: lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 4096},
		}, "showroom")
	}
	return d
}

func newTask(id string, class lovagestand.Class, cores int64) lovagestand.Task {
	return lovagestand.Task{
		ID: lovagestand.TaskID(id), Key: lovagestand.RequestKey("key-" + id), Pool: "showroom", Class: class,
		Route: lovagestand.RouteName(class), Team: "counter", Submitted: startTime, Checkpoints: true, Idempotent: true,
		Resources: lovagestand.Resources{MilliCPU: 1000 * cores, MemoryMiB: 64},
	}
}

func after(wait time.Duration) time.Time {
	return startTime.Add(wait)
}

func assertDecides(c *qt.C, d *pool.Decider, now time.Time, want ...string) {
	c.Helper()
	var got []string
	for _, m := range d.Decide(now, nil) {
		got = append(got, fmt.Sprintf("%s %s %s", m.Kind, m.Task.ID, m.Worker))
	}
	c.Assert(got, qt.DeepEquals, want)
}

func assertSubmits(c *qt.C, d *pool.Decider, now time.Time, tasks ...lovagestand.Task) {
	c.Helper()
	for _, t := range tasks {
		c.Assert(d.Submit(now, t), qt.IsNil)
	}
}

func finishTask(d *pool.Decider, now time.Time, id lovagestand.TaskID, phase lovagestand.TaskPhase, ran time.Duration) {
	d.Finish(now, id, lovagestand.TaskResult{Phase: phase, Ran: ran})
}

func TestAgedGangPreemptsBatch(t *testing.T) {
	c := qt.New(t)
	d := newDecider(2)
	assertSubmits(c, d, startTime, newTask("a", "batch", 3), newTask("b", "batch", 3))
	assertDecides(c, d, startTime, "start a w0", "start b w1")
	for _, id := range []string{"g1", "g2"} {
		g := newTask(id, "gang", 4)
		g.Gang, g.GangSize = "frames", 2
		assertSubmits(c, d, startTime, g)
	}
	assertDecides(c, d, after(time.Second))
	assertDecides(c, d, after(10*time.Second), "preempt a w0", "preempt b w1")
	finishTask(d, after(11*time.Second), "a", lovagestand.TaskStopped, time.Second)
	assertDecides(c, d, after(11*time.Second))
	finishTask(d, after(12*time.Second), "b", lovagestand.TaskStopped, time.Second)
	assertDecides(c, d, after(12*time.Second), "start g1 w0", "start g2 w1")
}

// TestBackfillUsesOnlyMeasuredRunTimes claims a worker for a large task. A
// short task may run there in the meantime, but only if its route has been
// measured to be short; its declared run time does not count.
func TestBackfillUsesOnlyMeasuredRunTimes(t *testing.T) {
	for _, measured := range []bool{false, true} {
		t.Run(fmt.Sprint(measured), func(t *testing.T) {
			c := qt.New(t)
			d := newDecider(1)
			if measured {
				for i := range 30 {
					id := fmt.Sprintf("old%d", i)
					assertSubmits(c, d, startTime, newTask(id, "batch", 1))
					assertDecides(c, d, startTime, "start "+id+" w0")
					finishTask(d, startTime, lovagestand.TaskID(id), lovagestand.TaskDone, 2*time.Second)
				}
			}
			long := newTask("long", "batch", 3)
			long.Checkpoints = false
			long.Route = "slow"
			assertSubmits(c, d, startTime, long)
			assertDecides(c, d, startTime, "start long w0")
			assertSubmits(c, d, startTime, newTask("large", "batch", 4))
			assertDecides(c, d, after(30*time.Second))
			short := newTask("short", "batch", 1)
			short.RunTime = time.Millisecond
			assertSubmits(c, d, after(31*time.Second), short)
			if measured {
				assertDecides(c, d, after(31*time.Second), "start short w0")
			} else {
				assertDecides(c, d, after(31*time.Second))
			}
		})
	}
}

func TestBadWorkerIsQuarantinedAndProbed(t *testing.T) {
	c := qt.New(t)
	d := newDecider(2)
	now := startTime
	for i := range 12 {
		now = now.Add(time.Second)
		id := lovagestand.TaskID(fmt.Sprintf("t%d", i))
		assertSubmits(c, d, now, newTask(string(id), "batch", 4))
		decisions := d.Decide(now, nil)
		c.Assert(decisions, qt.HasLen, 1)
		if decisions[0].Worker == "w0" {
			finishTask(d, now, id, lovagestand.TaskFailed, time.Millisecond)
		} else {
			finishTask(d, now, id, lovagestand.TaskDone, time.Second)
		}
	}
	assertSubmits(c, d, now, newTask("x", "batch", 4))
	assertDecides(c, d, now, "start x w1")
	c.Assert(d.Digest(now).Pools[0].Workers, qt.Equals, 1)
	c.Assert(d.Quarantined("w0"), qt.IsTrue)
	c.Assert(d.Quarantined("w1"), qt.IsFalse)
	assertSubmits(c, d, now, newTask("probe", "batch", 1))
	assertDecides(c, d, now)
	now = now.Add(time.Minute)
	assertDecides(c, d, now, "start probe w0")
	finishTask(d, now, "probe", lovagestand.TaskDone, time.Second)
	c.Assert(d.Digest(now).Pools[0].Workers, qt.Equals, 2)
	c.Assert(d.Quarantined("w0"), qt.IsFalse)
}

// TestBadRequestIsRefused lets one request fail on three workers that run other
// tasks well. The failures must not count against these workers.
func TestBadRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	d := newDecider(3)
	for i := range 3 {
		for k := range i {
			assertSubmits(c, d, startTime, newTask(fmt.Sprintf("fill%d%d", i, k), "batch", 4))
		}
		d.Decide(startTime, nil)
		bad := newTask(fmt.Sprintf("bad%d", i), "batch", 4)
		bad.Key = "bad"
		assertSubmits(c, d, startTime, bad)
		assertDecides(c, d, startTime, fmt.Sprintf("start bad%d w%d", i, i))
		finishTask(d, startTime, bad.ID, lovagestand.TaskFailed, time.Second)
		for k := range i {
			finishTask(d, startTime, lovagestand.TaskID(fmt.Sprintf("fill%d%d", i, k)), lovagestand.TaskDone, time.Second)
		}
	}
	bad := newTask("bad3", "batch", 4)
	bad.Key = "bad"
	var unfit *lovagestand.InfeasibleError
	c.Assert(d.Submit(startTime, bad), qt.ErrorAs, &unfit)
	c.Assert(unfit.Reason, qt.Matches, "the request failed on several workers.*")
	c.Assert(d.Digest(startTime).Pools[0].Workers, qt.Equals, 3)
}

func TestShedsTasksThatWouldMissTheirDeadline(t *testing.T) {
	c := qt.New(t)
	d := newDecider(1)
	for i := range 20 {
		id := fmt.Sprintf("old%d", i)
		assertSubmits(c, d, startTime, newTask(id, "batch", 4))
		assertDecides(c, d, startTime, "start "+id+" w0")
		finishTask(d, startTime, lovagestand.TaskID(id), lovagestand.TaskDone, 10*time.Second)
	}
	for i := range 4 {
		assertSubmits(c, d, startTime, newTask(fmt.Sprintf("t%d", i), "batch", 4))
		d.Decide(startTime, nil)
	}
	c.Assert(d.Digest(startTime).Pools[0].Wait[lovagestand.ClassBatch], qt.Equals, 30*time.Second)
	late := newTask("late", "batch", 4)
	late.StartBy = after(10 * time.Second)
	var full *lovagestand.QueueFullError
	c.Assert(d.Submit(startTime, late), qt.ErrorAs, &full)
	c.Assert(full.RetryAfter, qt.Equals, 30*time.Second)
	late.StartBy = after(20 * time.Second)
	assertSubmits(c, d, startTime, late)
}

func TestExplain(t *testing.T) {
	c := qt.New(t)
	d := newDecider(3)
	quota := lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 9999}
	d.SetPolicies([]lovagestand.PoolPolicy{{Pool: "showroom", Teams: []lovagestand.TeamPolicy{{Team: "yard", Quota: &quota}}}})
	d.SetWorker(startTime, lovagestand.Worker{Name: "w2", Leaving: true, Slots: 8}, "showroom")
	yard := newTask("yard1", "batch", 4)
	yard.Team = "yard"
	more := yard.WithID("yard2")
	assertSubmits(c, d, startTime, yard, newTask("a", "service", 2), newTask("b", "service", 3), more)
	d.Decide(startTime, nil)
	c.Assert(d.Explain(startTime, "a"), qt.Equals, "runs on worker w0")
	c.Assert(d.Explain(startTime, "yard1"), qt.Equals, "waits; of the pool's workers here 1 are leaving, 2 have too few processors free")
	c.Assert(d.Cancel("b"), qt.IsFalse)
	finishTask(d, startTime, "b", lovagestand.TaskDone, 0)
	d.Decide(startTime, nil)
	c.Assert(d.Explain(startTime, "yard2"), qt.Equals, "waits because team yard is at its quota")
	c.Assert(d.Explain(startTime, "nobody"), qt.Equals, "not known in this shard")
}

// ExampleDecider_Hold starts a gang across the shards of two owners.
func ExampleDecider_Hold() {
	owners := map[lovagestand.ShardName]*pool.Decider{"malabar/r2": newDecider(1), "malabar/r1": newDecider(1)}
	held := lovagestand.Hold{
		Gang: "roofs", Pool: "showroom", Team: "counter", Tasks: 1, Until: after(time.Second),
		Resources: lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 64},
	}
	order := lovagestand.HoldOrder([]lovagestand.ShardName{"malabar/r2", "malabar/r1"})
	for _, shard := range order {
		fmt.Println(shard, owners[shard].Hold(startTime, held))
	}
	fmt.Println(owners["malabar/r1"].Hold(startTime, lovagestand.Hold{Gang: "other", Pool: "showroom", Tasks: 1, Resources: held.Resources, Until: held.Until}))
	for i, shard := range order {
		t := newTask(fmt.Sprintf("g%d", i), "gang", 4)
		t.Gang, t.GangSize = "roofs", 2
		decisions, err := owners[shard].Commit(startTime, "roofs", []lovagestand.Task{t}, nil)
		fmt.Println(decisions[0].Kind, decisions[0].Task.ID, decisions[0].Worker, err)
	}
	// Output:
	// malabar/r1 <nil>
	// malabar/r2 <nil>
	// gang "other": not enough is free
	// start g0 w0 <nil>
	// start g1 w0 <nil>
}

func TestRefusedHoldFindsRoomLater(t *testing.T) {
	c := qt.New(t)
	d := newDecider(1)
	assertSubmits(c, d, startTime, newTask("a", "batch", 3))
	assertDecides(c, d, startTime, "start a w0")
	held := lovagestand.Hold{
		Gang: "roofs", Pool: "showroom", Team: "counter", Tasks: 2, Until: after(9 * time.Second),
		Resources: lovagestand.Resources{MilliCPU: 2000, MemoryMiB: 64},
	}
	var refused *lovagestand.HoldError
	c.Assert(d.Hold(startTime, held), qt.ErrorAs, &refused)
	assertDecides(c, d, startTime, "preempt a w0")
	finishTask(d, startTime, "a", lovagestand.TaskStopped, time.Second)
	assertSubmits(c, d, startTime, newTask("b", "batch", 1))
	assertDecides(c, d, startTime)
	c.Assert(d.Hold(startTime, held), qt.IsNil)
	d.Release("roofs")
	assertDecides(c, d, startTime, "start b w0")
}

func TestRefusingWorkerIsQuarantined(t *testing.T) {
	c := qt.New(t)
	d := newDecider(2)
	for i := range 3 {
		id := fmt.Sprintf("t%d", i)
		assertSubmits(c, d, startTime, newTask(id, "batch", 4))
		assertDecides(c, d, startTime, "start "+id+" w0")
		d.Finish(startTime, lovagestand.TaskID(id), lovagestand.TaskResult{Refused: true})
	}
	c.Assert(d.Digest(startTime).Pools[0].Workers, qt.Equals, 1)
	once := newTask("once", "batch", 4)
	once.Idempotent = false
	twice := once.WithID("twice")
	assertSubmits(c, d, startTime, once, twice)
	assertDecides(c, d, startTime, "start once w1")
	assertDecides(c, d, after(31*time.Second))
	assertDecides(c, d, after(2*time.Minute), "start twice w0")
}

// TestPreemptionShortensTheEstimatedWait estimates the wait of urgent and batch
// tasks behind a long batch task that can be preempted.
func TestPreemptionShortensTheEstimatedWait(t *testing.T) {
	for class, want := range map[lovagestand.Class]time.Duration{
		lovagestand.ClassUrgent: time.Second * 100 / 101, lovagestand.ClassBatch: 200 * time.Second,
	} {
		t.Run(string(class), func(t *testing.T) {
			c := qt.New(t)
			d := newDecider(1)
			for i := range 20 {
				id := fmt.Sprintf("old%d", i)
				assertSubmits(c, d, startTime, newTask(id, "batch", 4))
				d.Decide(startTime, nil)
				finishTask(d, startTime, lovagestand.TaskID(id), lovagestand.TaskDone, 100*time.Second)
			}
			assertSubmits(c, d, startTime, newTask("long", "batch", 4))
			d.Decide(startTime, nil)
			assertSubmits(c, d, startTime, newTask("u", "urgent", 4), newTask("b", "batch", 4))
			c.Assert(d.Digest(startTime).Pools[0].Wait[class].Round(time.Microsecond), qt.Equals, want.Round(time.Microsecond))
		})
	}
}
