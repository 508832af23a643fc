package shard_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/standin/keyspace"
	"lovagestand.example/lovagestand/standin/runner"
)

// guardedFleet is a fleet in which all orders fail for which refuse returns an error.
type guardedFleet struct {
	*runner.Fleet
	refuse func(w lovagestand.FleetWorker) error
}

func (f *guardedFleet) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.WorkerClock, error) {
	if err := f.refuse(w); err != nil {
		return lovagestand.WorkerClock{}, err
	}
	return f.Fleet.Start(ctx, w, o)
}

func (f *guardedFleet) Stop(ctx context.Context, w lovagestand.FleetWorker, task string, run int64, epoch lovagestand.Epoch) (lovagestand.WorkerClock, error) {
	if err := f.refuse(w); err != nil {
		return lovagestand.WorkerClock{}, err
	}
	return f.Fleet.Stop(ctx, w, task, run, epoch)
}

func (f *guardedFleet) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	if err := f.refuse(w); err != nil {
		return lovagestand.HoldReply{}, err
	}
	return f.Fleet.Hold(ctx, w, r)
}

// refusingFleet is a fleet in which all connections to w0 are refused while cut is set. The
// worker itself runs on.
type refusingFleet struct {
	guardedFleet
	cut atomic.Bool
}

func newRefusingFleet(fleet *runner.Fleet) *refusingFleet {
	f := &refusingFleet{}
	f.guardedFleet = guardedFleet{Fleet: fleet, refuse: func(w lovagestand.FleetWorker) error {
		if f.cut.Load() && w.Name == "w0" {
			return &lovagestand.UnavailableError{System: "worker", Reason: "connection refused", Unsent: true}
		}
		return nil
	}}
	return f
}

// setLeaving marks the first worker of the list as about to leave.
func (k *cell) setLeaving() { k.setReady(false) }

// setReady sets whether the first worker of the list is ready.
func (k *cell) setReady(ready bool) {
	k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
		workers[0].Ready = ready
		return workers
	})
}

// removeFirst removes the first worker from the list.
func (k *cell) removeFirst() {
	k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker { return workers[1:] })
}

// leave lets the first worker, w0, leave as planned.
func (k *cell) leave() {
	k.fleet.Leave("w0")
	k.removeFirst()
}

// startOnBoth starts a job with a task on each of two workers, the first of which then
// begins to leave.
func (k *cell) startOnBoth(c *qt.C) *owner {
	o := k.beginReadyTerm("a")
	o.submit(c, id(1), job.Step{Count: 2, Needs: lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 100}, Estimate: 6 * time.Second})
	time.Sleep(time.Second)
	c.Assert(k.fleet.Running(), qt.Equals, 2)
	k.setLeaving()
	return o
}

// TestLeavingWorkerWhoseLinkRefusesConnections guards against tasks that run twice because
// a refused connection counted as the exit of a worker that is about to leave.
func TestLeavingWorkerWhoseLinkRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(6*time.Second, lovagestand.EndingDone))
		fleet := newRefusingFleet(k.fleet)
		k.fleetWrapper = fleet
		o := k.startOnBoth(c)
		defer o.stop()
		time.Sleep(time.Second)
		fleet.cut.Store(true)
		time.Sleep(4 * time.Second)
		fleet.cut.Store(false)
		k.assertCompletedOnce(o, id(1), 2)
	})
}

// TestLeavingWorkerWhoseEntryExpires guards against tasks that run twice because slow reads
// of the list made the heartbeat of a leaving worker seem younger than it was: the entry
// that had expired then counted as removed by the worker.
func TestLeavingWorkerWhoseEntryExpires(t *testing.T) {
	for phase := time.Duration(0); phase < heartbeatInterval; phase += 100 * time.Millisecond {
		t.Run(fmt.Sprint("phase=", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 2, always(12*time.Second, lovagestand.EndingDone))
				o := k.startOnBoth(c)
				defer o.stop()
				k.listDelay.Store(int64(1100 * time.Millisecond))
				time.Sleep(3*time.Second + phase)
				k.setSilent("w0", true)
				expiry := time.Now().Truncate(heartbeatInterval).Add(3 * heartbeatInterval)
				time.Sleep(time.Until(expiry))
				k.removeFirst()
				k.assertCompletedOnce(o, id(1), 2)
			})
		})
	}
}

// TestLeavingWorkerWhoseEntryIsUnreadable guards against tasks that run twice because the
// entry of a leaving worker that another writer had overwritten counted as removed.
func TestLeavingWorkerWhoseEntryIsUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(6*time.Second, lovagestand.EndingDone))
		o := k.startOnBoth(c)
		defer o.stop()
		time.Sleep(time.Second)
		k.mu.Lock()
		k.undecodable = []lovagestand.WorkerName{"w0"}
		k.mu.Unlock()
		k.removeFirst()
		k.assertCompletedOnce(o, id(1), 2)
	})
}

// TestLeavingWorkerWhoseEntryNamesAnotherRack guards against tasks that run twice because the
// entry of a leaving worker counted as removed after another writer had overwritten it without
// its labels: it was then listed among the workers of another shard.
func TestLeavingWorkerWhoseEntryNamesAnotherRack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(6*time.Second, lovagestand.EndingDone))
		k.otherShard = newCell(c, 0, nil)
		k.otherShard.name = "1"
		o := k.startOnBoth(c)
		defer o.stop()
		time.Sleep(time.Second)
		entry := k.list()[0]
		entry.Labels, entry.Rack = nil, ""
		k.otherShard.changeList(func([]lovagestand.FleetWorker) []lovagestand.FleetWorker {
			return []lovagestand.FleetWorker{entry}
		})
		k.removeFirst()
		k.assertCompletedOnce(o, id(1), 2)
	})
}

// TestLeavingWorkerThatRefusesTheNextOwner guards against tasks that a next owner starts
// again, after they are done, because it took the refused connection to a leaving worker for
// the proof that nothing of the former owner runs there.
func TestLeavingWorkerThatRefusesTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(3*time.Second, lovagestand.EndingDone))
		fleet := newRefusingFleet(k.fleet)
		k.fleetWrapper = fleet
		former := k.startOnBoth(c)
		defer former.stop()
		time.Sleep(time.Second)
		fleet.cut.Store(true)
		former.stop()
		next := k.beginTerm("b")
		defer next.stop()
		time.Sleep(4 * time.Second)
		fleet.cut.Store(false)
		k.assertCompletedOnce(next, id(1), 2)
	})
}

// TestThirdOwnerThatALeavingWorkerRefuses guards against tasks that are started again because
// an owner which has not reached a leaving worker replaced the list of its tasks by what it has
// started there itself, or took the worker off the roster as one that has never answered.
func TestThirdOwnerThatALeavingWorkerRefuses(t *testing.T) {
	for _, lasts := range []time.Duration{time.Second, 4 * time.Second} {
		t.Run(fmt.Sprint("second=", lasts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 2, always(5*time.Second, lovagestand.EndingDone))
				fleet := newRefusingFleet(k.fleet)
				k.fleetWrapper = fleet
				first := k.startOnBoth(c)
				defer first.stop()
				time.Sleep(time.Second)
				fleet.cut.Store(true)
				first.stop()
				second := k.beginTerm("b")
				defer second.stop()
				time.Sleep(lasts)
				second.stop()
				third := k.beginTerm("c")
				defer third.stop()
				time.Sleep(2 * time.Second)
				fleet.cut.Store(false)
				k.assertCompletedOnce(third, id(1), 2)
			})
		})
	}
}

// TestEntryThatNamesNoWorker guards against a next owner that waits for an answer from an
// entry of another writer, at whose address no worker has ever answered.
func TestEntryThatNamesNoWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(3*time.Second, lovagestand.EndingDone))
		k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
			printer := lovagestand.FleetWorker{WorkerIncarnation: lovagestand.WorkerIncarnation{Name: "printer"}, Address: "printer", Service: "printing", Ready: true}
			return append(workers, printer)
		})
		former := k.beginTerm("a")
		defer former.stop()
		time.Sleep(5 * time.Second)
		former.submit(c, id(1), job.Step{Count: 1}, job.Step{Count: 1, After: []int{0}})
		time.Sleep(time.Second)
		former.stop()
		next := k.beginTerm("b")
		defer next.stop()
		time.Sleep(time.Second)
		c.Assert(next.Status().FormerTermResolved, qt.IsTrue)
		time.Sleep(6 * time.Second)
		assertPhase(c, next, id(1), "completed")
		k.assertNoViolations()
	})
}

// TestJobsBesideAWorkerThatHasLeft guards against jobs that a next owner does not go on with
// until the lease of a worker is over that was about to leave and on which none of their
// tasks ran.
func TestJobsBesideAWorkerThatHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(3*time.Second, lovagestand.EndingDone))
		fleet := newRefusingFleet(k.fleet)
		k.fleetWrapper = fleet
		former := k.startOnBoth(c)
		defer former.stop()
		time.Sleep(600 * time.Millisecond)
		former.submit(c, id(2), job.Step{Count: 1}, job.Step{Count: 1, After: []int{0}})
		time.Sleep(400 * time.Millisecond)
		former.stop()
		fleet.cut.Store(true)
		k.removeFirst()
		next := k.beginTerm("b")
		defer next.stop()
		time.Sleep(6500 * time.Millisecond)
		assertPhase(c, next, id(2), "completed")
		assertPhase(c, next, id(1), "queued")
		time.Sleep(14 * time.Second)
		assertPhase(c, next, id(1), "completed")
		k.assertNoViolations()
	})
}

// TestIdleWorkerThatHasLeft guards against a next owner that waits for the answer of a worker
// that has left and on which nothing ran.
func TestIdleWorkerThatHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(time.Second, lovagestand.EndingDone))
		former := k.beginReadyTerm("a")
		defer former.stop()
		k.setLeaving()
		time.Sleep(time.Second)
		former.stop()
		k.leave()
		next := k.beginTerm("b")
		defer next.stop()
		time.Sleep(time.Second)
		c.Assert(next.Status().FormerTermResolved, qt.IsTrue)
	})
}

// TestWorkerThatStaysAfterAll guards against tasks on a worker of which the stored roster
// says that it is about to leave and runs nothing: a next owner would start them again.
func TestWorkerThatStaysAfterAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(4*time.Second, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		defer o.stop()
		k.setLeaving()
		time.Sleep(time.Second)
		o.submit(c, id(1), job.Step{Count: 1})
		end := k.outage(keyspace.FaultLostRequest, 3*time.Second)
		k.setReady(true)
		time.Sleep(time.Until(end) - 100*time.Millisecond)
		c.Check(k.fleet.Running(), qt.Equals, 0)
		time.Sleep(6 * time.Second)
		assertPhase(c, o, id(1), "completed")
	})
}

// TestLongRunningTasksOnALeavingWorker guards against long-running tasks that no owner starts
// again until a lease is over, because their worker left just before the owner changed.
func TestLongRunningTasksOnALeavingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(time.Hour, lovagestand.EndingDone))
		former := k.beginReadyTerm("a")
		defer former.stop()
		former.submit(c, id(1), job.Step{Count: 2, LongRunning: true})
		time.Sleep(time.Second)
		k.setLeaving()
		time.Sleep(2500 * time.Millisecond)
		former.stop()
		k.leave()
		next := k.beginTerm("b")
		defer next.stop()
		time.Sleep(2 * time.Second)
		c.Check(k.fleet.Running(), qt.Equals, 2)
		k.assertNoViolations()
	})
}

// TestTasksOfALeavingWorkerAreNoSuspects guards against tasks that start one after the other,
// as if they had crashed their worker, because it has left without removing its entry.
func TestTasksOfALeavingWorkerAreNoSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(20*time.Second, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		defer o.stop()
		for i := range 3 {
			o.submit(c, id(i), job.Step{Count: 1})
		}
		time.Sleep(time.Second)
		k.setLeaving()
		k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
			return append(workers, k.fleet.Add("w1", workers[0].Capacity))
		})
		time.Sleep(time.Second)
		k.fleet.Crash("w0")
		k.setSilent("w0", true)
		time.Sleep(4500 * time.Millisecond)
		k.removeFirst()
		time.Sleep(8 * time.Second)
		c.Assert(k.fleet.Running(), qt.Equals, 3)
		var begun []time.Time
		for _, r := range k.fleet.Runs() {
			if r.Worker == "w1" {
				begun = append(begun, r.Begun)
			}
		}
		c.Assert(begun, qt.HasLen, 3)
		c.Check(begun[2].Sub(begun[0]) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", begun))
	})
}

// TestLeavingWorkerWhoseHeartbeatIsOverwritten guards against tasks that run twice because an
// entry that another writer has left counted as a heartbeat, so that its expiry counted as the
// removal by the worker.
func TestLeavingWorkerWhoseHeartbeatIsOverwritten(t *testing.T) {
	for name, change := range map[string]int64{"lower": -1000000000, "higher": 1000000000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 2, always(12*time.Second, lovagestand.EndingDone))
				o := k.startOnBoth(c)
				defer o.stop()
				time.Sleep(3 * time.Second)
				k.setSilent("w0", true)
				expiry := time.Now().Truncate(heartbeatInterval).Add(3 * heartbeatInterval)
				time.Sleep(time.Until(expiry) - 1200*time.Millisecond)
				k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
					workers[0].Heartbeat += change
					return workers
				})
				time.Sleep(time.Until(expiry))
				k.removeFirst()
				k.assertCompletedOnce(o, id(1), 2)
			})
		})
	}
}
