package pool_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/pool"
)

// showroom returns a decider with n workers of four cores.
func showroom(n int, options ...pool.Option) *pool.Decider {
	d := pool.New("malabar/r1", options...)
	for i := range n {
		d.SetWorker(began, lovagestand.Worker{
			Name: lovagestand.WorkerName(fmt.Sprintf("w%d", i)), Slots: 8,
			Capacity: lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 4096},
		}, "showroom")
	}
	return d
}

func work(id string, class lovagestand.Class, cores int64) lovagestand.Task {
	return lovagestand.Task{
		ID: lovagestand.TaskID(id), Key: lovagestand.RequestKey("key-" + id), Pool: "showroom", Class: class,
		Route: lovagestand.RouteName(class), Team: "counter", Submitted: began, Checkpoints: true, Idempotent: true,
		Resources: lovagestand.Resources{MilliCPU: 1000 * cores, MemoryMiB: 64},
	}
}

func after(wait time.Duration) time.Time {
	return began.Add(wait)
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

func finishAs(d *pool.Decider, now time.Time, id lovagestand.TaskID, phase lovagestand.TaskPhase, ran time.Duration) {
	d.Finish(now, id, lovagestand.TaskResult{Phase: phase, Ran: ran})
}

func TestAgedGangDisplacesBatch(t *testing.T) {
	c := qt.New(t)
	d := showroom(2)
	assertSubmits(c, d, began, work("a", "batch", 3), work("b", "batch", 3))
	assertDecides(c, d, began, "start a w0", "start b w1")
	for _, id := range []string{"g1", "g2"} {
		g := work(id, "gang", 4)
		g.Gang, g.GangSize = "frames", 2
		assertSubmits(c, d, began, g)
	}
	assertDecides(c, d, after(time.Second))
	assertDecides(c, d, after(10*time.Second), "preempt a w0", "preempt b w1")
	finishAs(d, after(11*time.Second), "a", lovagestand.TaskStopped, time.Second)
	assertDecides(c, d, after(11*time.Second))
	finishAs(d, after(12*time.Second), "b", lovagestand.TaskStopped, time.Second)
	assertDecides(c, d, after(12*time.Second), "start g1 w0", "start g2 w1")
}

// TestBackfillTrustsOnlyWhatItLearned keeps a worker for a large task and lets
// a short one run there meanwhile only once its route is known to be short.
func TestBackfillTrustsOnlyWhatItLearned(t *testing.T) {
	for _, learned := range []bool{false, true} {
		t.Run(fmt.Sprint(learned), func(t *testing.T) {
			c := qt.New(t)
			d := showroom(1)
			if learned {
				for i := range 30 {
					id := fmt.Sprintf("old%d", i)
					assertSubmits(c, d, began, work(id, "batch", 1))
					assertDecides(c, d, began, "start "+id+" w0")
					finishAs(d, began, lovagestand.TaskID(id), lovagestand.TaskDone, 2*time.Second)
				}
			}
			long := work("long", "batch", 3)
			long.Checkpoints = false
			long.Route = "slow"
			assertSubmits(c, d, began, long)
			assertDecides(c, d, began, "start long w0")
			assertSubmits(c, d, began, work("large", "batch", 4))
			assertDecides(c, d, after(30*time.Second))
			short := work("short", "batch", 1)
			short.RunTime = time.Millisecond
			assertSubmits(c, d, after(31*time.Second), short)
			if learned {
				assertDecides(c, d, after(31*time.Second), "start short w0")
			} else {
				assertDecides(c, d, after(31*time.Second))
			}
		})
	}
}

func TestBadWorkerIsQuarantinedAndProbed(t *testing.T) {
	c := qt.New(t)
	d := showroom(2)
	now := began
	for i := range 12 {
		now = now.Add(time.Second)
		id := lovagestand.TaskID(fmt.Sprintf("t%d", i))
		assertSubmits(c, d, now, work(string(id), "batch", 4))
		decisions := d.Decide(now, nil)
		c.Assert(decisions, qt.HasLen, 1)
		if decisions[0].Worker == "w0" {
			finishAs(d, now, id, lovagestand.TaskFailed, time.Millisecond)
		} else {
			finishAs(d, now, id, lovagestand.TaskDone, time.Second)
		}
	}
	assertSubmits(c, d, now, work("x", "batch", 4))
	assertDecides(c, d, now, "start x w1")
	c.Assert(d.Digest(now).Pools[0].Workers, qt.Equals, 1)
	c.Assert(d.Quarantined("w0"), qt.IsTrue)
	c.Assert(d.Quarantined("w1"), qt.IsFalse)
	assertSubmits(c, d, now, work("probe", "batch", 1))
	assertDecides(c, d, now)
	now = now.Add(time.Minute)
	assertDecides(c, d, now, "start probe w0")
	finishAs(d, now, "probe", lovagestand.TaskDone, time.Second)
	c.Assert(d.Digest(now).Pools[0].Workers, qt.Equals, 2)
	c.Assert(d.Quarantined("w0"), qt.IsFalse)
}

// TestBadRequestIsRefused lets one request fail on three workers that run
// others well; none of them is blamed.
func TestBadRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	d := showroom(3)
	for i := range 3 {
		for k := range i {
			assertSubmits(c, d, began, work(fmt.Sprintf("fill%d%d", i, k), "batch", 4))
		}
		d.Decide(began, nil)
		bad := work(fmt.Sprintf("bad%d", i), "batch", 4)
		bad.Key = "bad"
		assertSubmits(c, d, began, bad)
		assertDecides(c, d, began, fmt.Sprintf("start bad%d w%d", i, i))
		finishAs(d, began, bad.ID, lovagestand.TaskFailed, time.Second)
		for k := range i {
			finishAs(d, began, lovagestand.TaskID(fmt.Sprintf("fill%d%d", i, k)), lovagestand.TaskDone, time.Second)
		}
	}
	bad := work("bad3", "batch", 4)
	bad.Key = "bad"
	var unfit *lovagestand.InfeasibleError
	c.Assert(d.Submit(began, bad), qt.ErrorAs, &unfit)
	c.Assert(unfit.Reason, qt.Matches, "the request failed on several workers.*")
	c.Assert(d.Digest(began).Pools[0].Workers, qt.Equals, 3)
}

func TestShedsWhatWouldStartTooLate(t *testing.T) {
	c := qt.New(t)
	d := showroom(1)
	for i := range 20 {
		id := fmt.Sprintf("old%d", i)
		assertSubmits(c, d, began, work(id, "batch", 4))
		assertDecides(c, d, began, "start "+id+" w0")
		finishAs(d, began, lovagestand.TaskID(id), lovagestand.TaskDone, 10*time.Second)
	}
	for i := range 4 {
		assertSubmits(c, d, began, work(fmt.Sprintf("t%d", i), "batch", 4))
		d.Decide(began, nil)
	}
	c.Assert(d.Digest(began).Pools[0].Wait[lovagestand.ClassBatch], qt.Equals, 30*time.Second)
	late := work("late", "batch", 4)
	late.StartBy = after(10 * time.Second)
	var full *lovagestand.QueueFullError
	c.Assert(d.Submit(began, late), qt.ErrorAs, &full)
	c.Assert(full.RetryAfter, qt.Equals, 30*time.Second)
	late.StartBy = after(20 * time.Second)
	assertSubmits(c, d, began, late)
}

func TestExplain(t *testing.T) {
	c := qt.New(t)
	d := showroom(3)
	quota := lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 9999}
	d.SetPolicies([]lovagestand.PoolPolicy{{Pool: "showroom", Teams: []lovagestand.TeamPolicy{{Team: "yard", Quota: &quota}}}})
	d.SetWorker(began, lovagestand.Worker{Name: "w2", Leaving: true, Slots: 8}, "showroom")
	yard := work("yard1", "batch", 4)
	yard.Team = "yard"
	more := yard.WithID("yard2")
	assertSubmits(c, d, began, yard, work("a", "service", 2), work("b", "service", 3), more)
	d.Decide(began, nil)
	c.Assert(d.Explain(began, "a"), qt.Equals, "runs on worker w0")
	c.Assert(d.Explain(began, "yard1"), qt.Equals, "waits; of the pool's workers here 1 are leaving, 2 have too few processors free")
	c.Assert(d.Cancel("b"), qt.IsFalse)
	finishAs(d, began, "b", lovagestand.TaskDone, 0)
	d.Decide(began, nil)
	c.Assert(d.Explain(began, "yard2"), qt.Equals, "waits because team yard is at its quota")
	c.Assert(d.Explain(began, "nobody"), qt.Equals, "not known in this shard")
}

// ExampleDecider_Hold starts a gang over two owners.
func ExampleDecider_Hold() {
	owners := map[lovagestand.ShardName]*pool.Decider{"malabar/r2": showroom(1), "malabar/r1": showroom(1)}
	held := lovagestand.Hold{
		Gang: "roofs", Pool: "showroom", Team: "counter", Tasks: 1, Until: after(time.Second),
		Resources: lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 64},
	}
	order := lovagestand.HoldOrder([]lovagestand.ShardName{"malabar/r2", "malabar/r1"})
	for _, shard := range order {
		fmt.Println(shard, owners[shard].Hold(began, held))
	}
	fmt.Println(owners["malabar/r1"].Hold(began, lovagestand.Hold{Gang: "other", Pool: "showroom", Tasks: 1, Resources: held.Resources, Until: held.Until}))
	for i, shard := range order {
		t := work(fmt.Sprintf("g%d", i), "gang", 4)
		t.Gang, t.GangSize = "roofs", 2
		decisions, err := owners[shard].Commit(began, "roofs", []lovagestand.Task{t}, nil)
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
	d := showroom(1)
	assertSubmits(c, d, began, work("a", "batch", 3))
	assertDecides(c, d, began, "start a w0")
	held := lovagestand.Hold{
		Gang: "roofs", Pool: "showroom", Team: "counter", Tasks: 2, Until: after(9 * time.Second),
		Resources: lovagestand.Resources{MilliCPU: 2000, MemoryMiB: 64},
	}
	var refused *lovagestand.HoldError
	c.Assert(d.Hold(began, held), qt.ErrorAs, &refused)
	assertDecides(c, d, began, "preempt a w0")
	finishAs(d, began, "a", lovagestand.TaskStopped, time.Second)
	assertSubmits(c, d, began, work("b", "batch", 1))
	assertDecides(c, d, began)
	c.Assert(d.Hold(began, held), qt.IsNil)
	d.Release("roofs")
	assertDecides(c, d, began, "start b w0")
}

func TestRefusingWorkerIsQuarantined(t *testing.T) {
	c := qt.New(t)
	d := showroom(2)
	for i := range 3 {
		id := fmt.Sprintf("t%d", i)
		assertSubmits(c, d, began, work(id, "batch", 4))
		assertDecides(c, d, began, "start "+id+" w0")
		d.Finish(began, lovagestand.TaskID(id), lovagestand.TaskResult{Refused: true})
	}
	c.Assert(d.Digest(began).Pools[0].Workers, qt.Equals, 1)
	once := work("once", "batch", 4)
	once.Idempotent = false
	twice := once.WithID("twice")
	assertSubmits(c, d, began, once, twice)
	assertDecides(c, d, began, "start once w1")
	assertDecides(c, d, after(31*time.Second))
	assertDecides(c, d, after(2*time.Minute), "start twice w0")
}

// TestDisplacingShortensTheWait estimates the wait of urgent work behind long
// batch tasks that can be displaced.
func TestDisplacingShortensTheWait(t *testing.T) {
	for class, want := range map[lovagestand.Class]time.Duration{
		lovagestand.ClassUrgent: time.Second * 100 / 101, lovagestand.ClassBatch: 200 * time.Second,
	} {
		t.Run(string(class), func(t *testing.T) {
			c := qt.New(t)
			d := showroom(1)
			for i := range 20 {
				id := fmt.Sprintf("old%d", i)
				assertSubmits(c, d, began, work(id, "batch", 4))
				d.Decide(began, nil)
				finishAs(d, began, lovagestand.TaskID(id), lovagestand.TaskDone, 100*time.Second)
			}
			assertSubmits(c, d, began, work("long", "batch", 4))
			d.Decide(began, nil)
			assertSubmits(c, d, began, work("u", "urgent", 4), work("b", "batch", 4))
			c.Assert(d.Digest(began).Pools[0].Wait[class].Round(time.Microsecond), qt.Equals, want.Round(time.Microsecond))
		})
	}
}
