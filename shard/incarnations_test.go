package shard_test

import (
	"context"
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

// startHook is a fleet that calls the function before once, ahead of the next start.
type startHook struct {
	lovagestand.Fleet
	before func()
}

func (h *startHook) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.WorkerClock, error) {
	if before := h.before; before != nil {
		h.before = nil
		before()
	}
	return h.Fleet.Start(ctx, w, o)
}

// restartUnlisted restarts a worker under the same name while the list still contains
// the former incarnation. It returns the entry that the new incarnation will register.
func (k *cell) restartUnlisted(n int) lovagestand.FleetWorker {
	w := k.list()[n]
	return k.fleet.Add(w.Name, w.Capacity)
}

// setListEntry replaces the entry of a worker in the list.
func (k *cell) setListEntry(n int, entry lovagestand.FleetWorker) {
	k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
		workers[n] = entry
		return workers
	})
}

// assertCompletedOnce waits and checks that a job has completed, that there was no
// violation, and that there were exactly that many starts in all.
func (k *cell) assertCompletedOnce(o *owner, id string, starts int) {
	k.c.Helper()
	time.Sleep(30 * time.Second)
	assertPhase(k.c, o, id, "completed")
	k.assertNoViolations()
	k.c.Assert(k.fleet.Starts(), qt.Equals, starts)
}

// TestAcknowledgementForAFormerIncarnation guards against a hold that acknowledges the
// ends of a former incarnation of a worker to the next one. The next incarnation then
// drops its own ends, which have the same numbers, before they are read.
func TestAcknowledgementForAFormerIncarnation(t *testing.T) {
	c := qt.New(t)
	for name, during := range map[string]bool{"restarted before a start": false, "restarted during a start": true} {
		c.Run(name, func(c *qt.C) {
			synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 1, always(50*time.Millisecond, lovagestand.EndingDone))
				hook := &startHook{Fleet: k.fleet}
				k.fleetWrapper = hook
				o := k.beginReadyTerm("a")
				defer o.stop()
				o.submit(c, id(1), job.Step{Count: 4})
				time.Sleep(700 * time.Millisecond)
				assertPhase(c, o, id(1), "completed")
				if during {
					hook.before = func() { k.restart(0) }
				} else {
					k.restart(0)
				}
				o.submit(c, id(2), job.Step{Count: 1})
				k.assertCompletedOnce(o, id(2), 5)
			})
		})
	}
}

// TestAcknowledgementWhileTheStoreIsSlow guards against a hold that is delayed until the
// ends of a worker are stored, and then acknowledges them to the next incarnation.
func TestAcknowledgementWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(50*time.Millisecond, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 4})
		time.Sleep(700 * time.Millisecond)
		k.delay.Store(int64(300 * time.Millisecond))
		o.submit(c, id(2), job.Step{Count: 1})
		time.Sleep(150 * time.Millisecond)
		k.restart(0)
		k.delay.Store(0)
		o.submit(c, id(3), job.Step{Count: 1})
		k.assertCompletedOnce(o, id(3), 6)
		assertPhase(c, o, id(2), "completed")
	})
}

// TestListOfAFormerIncarnation guards against a list that contains the incarnation
// before the one that answers. Runs of the new incarnation were treated as lost.
func TestListOfAFormerIncarnation(t *testing.T) {
	c := qt.New(t)
	c.Run("the new incarnation is not registered yet", func(c *qt.C) {
		synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
			c := qt.New(t)
			k := newCell(c, 1, always(3*time.Second, lovagestand.EndingDone))
			o := k.beginReadyTerm("a")
			defer o.stop()
			entry := k.restartUnlisted(0)
			time.Sleep(600 * time.Millisecond)
			o.submit(c, id(1), job.Step{Count: 2})
			time.Sleep(time.Second)
			k.setListEntry(0, entry)
			k.assertCompletedOnce(o, id(1), 2)
		})
	})
	c.Run("an old list is read once", func(c *qt.C) {
		synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
			c := qt.New(t)
			k := newCell(c, 1, always(3*time.Second, lovagestand.EndingDone))
			o := k.beginReadyTerm("a")
			defer o.stop()
			former := k.list()[0]
			k.restart(0)
			time.Sleep(time.Second)
			o.submit(c, id(1), job.Step{Count: 2})
			entry := k.list()[0]
			k.setListEntry(0, former)
			time.Sleep(time.Second)
			k.setListEntry(0, entry)
			k.assertCompletedOnce(o, id(1), 2)
		})
	})
	c.Run("the list is read at a takeover", func(c *qt.C) {
		synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
			c := qt.New(t)
			k := newCell(c, 1, always(3*time.Second, lovagestand.EndingDone))
			before := k.beginReadyTerm("a")
			defer before.stop()
			former := k.list()[0]
			k.restart(0)
			time.Sleep(time.Second)
			before.submit(c, id(1), job.Step{Count: 2})
			time.Sleep(200 * time.Millisecond)
			before.stop()
			entry := k.list()[0]
			k.changeList(func([]lovagestand.FleetWorker) []lovagestand.FleetWorker { return nil })
			o := k.beginTerm("b")
			defer o.stop()
			time.Sleep(300 * time.Millisecond)
			k.changeList(func([]lovagestand.FleetWorker) []lovagestand.FleetWorker { return []lovagestand.FleetWorker{former} })
			time.Sleep(time.Second)
			k.setListEntry(0, entry)
			k.assertCompletedOnce(o, id(1), 2)
		})
	})
}

// replayHook is a fleet that answers the next hold with the answer stored in replay.
type replayHook struct {
	lovagestand.Fleet
	replay atomic.Pointer[lovagestand.HoldReply]
}

func (h *replayHook) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	holding, err := h.Fleet.Hold(ctx, w, r)
	if former := h.replay.Swap(nil); former != nil {
		return *former, nil
	}
	return holding, err
}

// TestAnswerOfAFormerIncarnation guards against an answer of a former incarnation that
// arrives after the new one has answered. Runs of the new incarnation were treated as
// lost.
func TestAnswerOfAFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(3*time.Second, lovagestand.EndingDone))
		hook := &replayHook{Fleet: k.fleet}
		k.fleetWrapper = hook
		o := k.beginReadyTerm("a")
		defer o.stop()
		former := k.list()[0].Born
		k.restart(0)
		time.Sleep(time.Second)
		o.submit(c, id(1), job.Step{Count: 2})
		time.Sleep(200 * time.Millisecond)
		hook.replay.Store(&lovagestand.HoldReply{Clock: 2500, Born: former})
		k.assertCompletedOnce(o, id(1), 2)
	})
}

// otherWorkerHook is a fleet in which another worker answers at one address.
type otherWorkerHook struct {
	lovagestand.Fleet
	address string
}

func (h *otherWorkerHook) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	if w.Address == h.address {
		return lovagestand.HoldReply{}, &lovagestand.OrderRefusedError{Worker: w.Name, Reason: lovagestand.RefusalRestarted}
	}
	return h.Fleet.Hold(ctx, w, r)
}

func (h *otherWorkerHook) Stop(ctx context.Context, w lovagestand.FleetWorker, task string, run int64, epoch lovagestand.Epoch) (lovagestand.WorkerClock, error) {
	if w.Address == h.address {
		return lovagestand.WorkerClock{}, &lovagestand.OrderRefusedError{Worker: w.Name, Reason: lovagestand.RefusalRestarted}
	}
	return h.Fleet.Stop(ctx, w, task, run, epoch)
}

// TestListOfAnUnknownIncarnation guards against an entry of an incarnation that never
// answered, at an address where another worker answers, while the incarnation that did
// answer is cut off. Its runs must not be treated as lost.
func TestListOfAnUnknownIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(6*time.Second, lovagestand.EndingDone))
		k.fleetWrapper = &otherWorkerHook{Fleet: k.fleet, address: "elsewhere"}
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 4})
		time.Sleep(200 * time.Millisecond)
		entry := k.list()[0]
		k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
			return append(workers, k.fleet.Add("w1", entry.Capacity))
		})
		unknown := entry
		unknown.Born, unknown.Address = entry.Born-1000, "elsewhere"
		k.fleet.SetUnreachable("w0", true)
		k.setListEntry(0, unknown)
		time.Sleep(4500 * time.Millisecond)
		k.fleet.SetUnreachable("w0", false)
		k.setListEntry(0, entry)
		k.assertCompletedOnce(o, id(1), 4)
	})
}

// TestLeaseOnTheClockOfAFormerIncarnation guards against a lease whose end was computed
// with the clock of a former incarnation and that reaches the next one. On its clock
// the end lies far ahead, so the lease ends later than intended.
func TestLeaseOnTheClockOfAFormerIncarnation(t *testing.T) {
	c := qt.New(t)
	for name, takeover := range map[string]bool{"with one owner": false, "across a takeover": true} {
		c.Run(name, func(c *qt.C) {
			synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 1, always(30*time.Second, lovagestand.EndingDone))
				hook := &startHook{Fleet: k.fleet}
				k.fleetWrapper = hook
				o := k.beginReadyTerm("a")
				time.Sleep(30 * time.Second)
				hook.before = func() { k.restart(0) }
				o.submit(c, id(1), job.Step{Count: 1})
				time.Sleep(100 * time.Millisecond)
				k.fleet.SetUnreachable("w0", true)
				if takeover {
					o.stop()
					o = k.beginTerm("b")
				}
				defer o.stop()
				k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
					return append(workers, k.fleet.Add("w1", workers[0].Capacity))
				})
				time.Sleep(50 * time.Second)
				assertPhase(c, o, id(1), "completed")
				k.assertNoViolations()
			})
		})
	}
}

// TestMoreEndsThanOneAnswerLists guards against a worker with more ends than it lists in
// one answer. Runs whose ends were not listed yet were treated as lost.
func TestMoreEndsThanOneAnswerLists(t *testing.T) {
	const tasks = 700
	c := qt.New(t)
	for name, takeover := range map[string]bool{"by the owner that started them": false, "by the next owner": true} {
		c.Run(name, func(c *qt.C) {
			synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 1, always(100*time.Millisecond, lovagestand.EndingDone))
				k.changeList(func([]lovagestand.FleetWorker) []lovagestand.FleetWorker {
					capacity := lovagestand.Resources{MilliCPU: 1000 * tasks, MemoryMiB: 100 * tasks}
					return []lovagestand.FleetWorker{k.fleet.Add("w0", capacity)}
				})
				o := k.beginReadyTerm("a")
				o.submit(c, id(1), job.Step{Count: tasks})
				k.keys.SetFault(func(string) keyspace.Fault { return keyspace.FaultRejected })
				time.Sleep(2 * time.Second)
				if takeover {
					o.stop()
				}
				k.keys.SetFault(nil)
				if takeover {
					o = k.beginTerm("b")
				}
				defer o.stop()
				k.assertCompletedOnce(o, id(1), tasks)
			})
		})
	}
}

// TestWorkerThatCrashesWithManyEnds guards against tasks that no owner ever starts again: their
// worker had answered the next owner with a first part of its ends, and crashed.
func TestWorkerThatCrashesWithManyEnds(t *testing.T) {
	const tasks = 700
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(100*time.Millisecond, lovagestand.EndingDone))
		k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
			capacity := lovagestand.Resources{MilliCPU: 1000 * tasks, MemoryMiB: 100 * tasks}
			return []lovagestand.FleetWorker{k.fleet.Add("w0", capacity), workers[1]}
		})
		former := k.beginReadyTerm("a")
		former.submit(c, id(1), job.Step{Count: tasks})
		k.keys.SetFault(func(string) keyspace.Fault { return keyspace.FaultRejected })
		time.Sleep(2 * time.Second)
		former.stop()
		k.keys.SetFault(nil)
		k.delay.Store(int64(time.Second))
		next := k.beginTerm("b")
		defer next.stop()
		time.Sleep(900 * time.Millisecond)
		k.crashFirst()
		k.delay.Store(0)
		time.Sleep(time.Minute)
		c.Check(next.Status().FormerTermResolved, qt.IsTrue)
		assertPhase(c, next, id(1), "completed")
		k.assertNoViolations()
	})
}

// delayedHoldHook is a fleet whose answers to starts do not report the incarnation, as
// on the platform. It calls the function before once, ahead of the next hold, and
// delays the answer to that hold.
type delayedHoldHook struct {
	lovagestand.Fleet
	before atomic.Pointer[func()]
	delay  time.Duration
}

func (h *delayedHoldHook) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.WorkerClock, error) {
	clock, err := h.Fleet.Start(ctx, w, o)
	clock.Born = 0
	return clock, err
}

func (h *delayedHoldHook) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	before := h.before.Swap(nil)
	if before == nil {
		return h.Fleet.Hold(ctx, w, r)
	}
	(*before)()
	holding, err := h.Fleet.Hold(ctx, w, r)
	time.Sleep(h.delay)
	return holding, err
}

// TestStartAnsweredBeforeTheFirstHold guards against a start that a new incarnation
// answers before its first answer to a hold arrives. The run was attributed to the
// former incarnation.
func TestStartAnsweredBeforeTheFirstHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(3*time.Second, lovagestand.EndingDone))
		hook := &delayedHoldHook{Fleet: k.fleet, delay: 300 * time.Millisecond}
		k.fleetWrapper = hook
		o := k.beginReadyTerm("a")
		defer o.stop()
		begun := make(chan struct{})
		before := func() {
			k.restart(0)
			close(begun)
		}
		hook.before.Store(&before)
		<-begun
		o.submit(c, id(1), job.Step{Count: 1})
		k.assertCompletedOnce(o, id(1), 1)
	})
}

// TestGangDoneInAFormerRun guards against the end of a former run of a gang that is
// listed late. The members of the next run were not stopped.
func TestGangDoneInAFormerRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			if o.Run == 1 {
				return time.Second, lovagestand.EndingDone
			}
			return time.Minute, lovagestand.EndingDone
		})
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 2, Gang: true})
		time.Sleep(500 * time.Millisecond)
		k.fleet.SetUnreachable("w0", true)
		k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
			return append(workers, k.fleet.Add("w1", workers[0].Capacity))
		})
		time.Sleep(15 * time.Second)
		c.Assert(k.fleet.Running(), qt.Equals, 2, qt.Commentf("the members of the next run are running"))
		k.fleet.SetUnreachable("w0", false)
		time.Sleep(3 * time.Second)
		assertPhase(c, o, id(1), "completed")
		c.Assert(k.fleet.Running(), qt.Equals, 0)
	})
}

// TestGangFailsInOneOccurrence guards against a failed gang that causes the same step
// of another occurrence, whose run has the same number, to be stopped.
func TestGangFailsInOneOccurrence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			_, task, _ := job.ParseTaskName(o.Task)
			if task.Occurrence == 0 && o.Run == 1 {
				return 2 * time.Second, lovagestand.EndingFailed
			}
			return 4 * time.Second, lovagestand.EndingDone
		})
		o := k.beginReadyTerm("a")
		defer o.stop()
		c.Assert(o.submitJob(job.Job{
			ID: job.ID(id(1)), Policy: job.Policy{Route: "quote", MaxAttempts: 2, Stretch: 2, Target: time.Second},
			Steps:    []job.Step{{Count: 2, Gang: true}},
			Schedule: job.Schedule{Repeat: 2, Start: time.Now().UnixMilli(), Interval: time.Second},
		}), qt.IsNil)
		k.assertCompletedOnce(o, id(1), 6)
	})
}

// TestLongRunningGangRestartsAfterLosingAMember guards against a long-running gang that
// never starts again, because the end of one member made the owner drop the others.
func TestLongRunningGangRestartsAfterLosingAMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 3, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			if o.Run == 1 {
				return time.Second, lovagestand.EndingDone
			}
			return time.Hour, lovagestand.EndingDone
		})
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 3, Gang: true, LongRunning: true, MaxPerWorker: 1})
		time.Sleep(500 * time.Millisecond)
		c.Assert(k.fleet.Running(), qt.Equals, 3)
		k.crashFirst()
		k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
			return append(workers, k.fleet.Add("w3", workers[0].Capacity))
		})
		time.Sleep(20 * time.Second)
		c.Assert(k.fleet.Running(), qt.Equals, 3)
	})
}

// TestStopRefusedByAnotherWorker guards against a start whose outcome is unknown and
// that is treated as stopped because another worker refused the order to stop it.
func TestStopRefusedByAnotherWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(10*time.Second, lovagestand.EndingDone))
		k.fleetWrapper = &otherWorkerHook{Fleet: k.fleet, address: "elsewhere"}
		o := k.beginReadyTerm("a")
		defer o.stop()
		k.fleet.SetFault(func(_ lovagestand.WorkerName, order string) runner.Fault {
			if order == "start" {
				return runner.FaultLate
			}
			return runner.FaultNone
		})
		o.submit(c, id(1), job.Step{Count: 1})
		time.Sleep(100 * time.Millisecond)
		k.fleet.SetFault(nil)
		k.fleet.SetUnreachable("w0", true)
		entry := k.list()[0]
		unknown := entry
		unknown.Born, unknown.Address = entry.Born-1000, "elsewhere"
		k.setListEntry(0, unknown)
		time.Sleep(4500 * time.Millisecond)
		k.fleet.SetUnreachable("w0", false)
		entry.Ready = false
		k.setListEntry(0, entry)
		k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
			return append(workers, k.fleet.Add("w1", entry.Capacity))
		})
		time.Sleep(1500 * time.Millisecond)
		k.fleet.ApplyLate()
		k.assertCompletedOnce(o, id(1), 1)
	})
}

// TestWorkerMovedBeforeATakeover guards against a next owner that sends holds to the
// address of a former incarnation and treats the runs of the worker as ended.
func TestWorkerMovedBeforeATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(5*time.Second, lovagestand.EndingDone))
		former := k.beginReadyTerm("a")
		defer former.stop()
		k.fleetWrapper = &otherWorkerHook{Fleet: k.fleet, address: "w0"}
		entry := k.restartUnlisted(0)
		entry.Address = "moved"
		k.setListEntry(0, entry)
		time.Sleep(time.Second)
		former.submit(c, id(1), job.Step{Count: 2})
		time.Sleep(200 * time.Millisecond)
		former.stop()
		k.changeList(func([]lovagestand.FleetWorker) []lovagestand.FleetWorker {
			return []lovagestand.FleetWorker{k.fleet.Add("w1", entry.Capacity)}
		})
		o := k.beginTerm("b")
		defer o.stop()
		k.assertCompletedOnce(o, id(1), 2)
	})
}

// TestGangStartedInPartByAFormerOwner guards against members of a gang that wait in vain for
// the others because the owner changed before it had stopped them.
func TestGangStartedInPartByAFormerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 0, nil)
		k.fleet = runner.New(needs, always(time.Second, lovagestand.EndingDone), runner.WithGangs(func(lovagestand.Order) int { return 3 }))
		k.addWorkers(3)
		former := k.beginReadyTerm("a")
		defer former.stop()
		starts := 0
		k.fleet.SetFault(func(_ lovagestand.WorkerName, order string) runner.Fault {
			if order == "start" {
				starts++
			}
			if order == "stop" || order == "start" && starts > 2 {
				return runner.FaultLostRequest
			}
			return runner.FaultNone
		})
		former.submit(c, id(1), job.Step{Count: 3, Gang: true, MaxPerWorker: 1})
		time.Sleep(500 * time.Millisecond)
		former.stop()
		k.fleet.SetFault(nil)
		next := k.beginTerm("b")
		defer next.stop()
		time.Sleep(6 * time.Second)
		assertPhase(c, next, id(1), "completed")
		for _, r := range k.fleet.Runs() {
			c.Check(r.Ending, qt.Not(qt.Equals), lovagestand.EndingAlone, qt.Commentf("%s", k.fleet.Describe(r)))
		}
	})
}

// newAddressFleet returns a fleet in which orders reach the worker at their address. Another
// worker there refuses them.
func newAddressFleet(fleet *runner.Fleet) *guardedFleet {
	return &guardedFleet{Fleet: fleet, refuse: func(w lovagestand.FleetWorker) error {
		if w.Address != string(w.Name) {
			return &lovagestand.OrderRefusedError{Worker: w.Name, Reason: lovagestand.RefusalRestarted}
		}
		return nil
	}}
}

// overwriteFirst replaces the entry of w0 by one of another writer that names the address of
// w1 and no incarnation. It returns a function that restores the entry.
func (k *cell) overwriteFirst() (restore func()) {
	entry := k.list()[0]
	k.setListEntry(0, lovagestand.FleetWorker{WorkerIncarnation: lovagestand.WorkerIncarnation{Name: entry.Name}, Service: "printing", Address: "w1", Ready: true})
	return func() { k.setListEntry(0, entry) }
}

// TestEntryWithTheAddressOfAnotherWorker guards against tasks that run twice because their
// worker counted as replaced: another writer had overwritten its entry with one that names
// another worker's address and no incarnation.
func TestEntryWithTheAddressOfAnotherWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(6*time.Second, lovagestand.EndingDone))
		k.fleetWrapper = newAddressFleet(k.fleet)
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 2})
		time.Sleep(time.Second)
		restore := k.overwriteFirst()
		time.Sleep(1500 * time.Millisecond)
		restore()
		k.assertCompletedOnce(o, id(1), 2)
	})
}

// TestNextOwnerAndTheAddressOfAnotherWorker guards against tasks that a next owner starts again
// while they run, because another worker refuses orders at the address in an entry that another
// writer has left, and not at the address that the roster states.
func TestNextOwnerAndTheAddressOfAnotherWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(6*time.Second, lovagestand.EndingDone))
		k.fleetWrapper = newAddressFleet(k.fleet)
		former := k.beginReadyTerm("a")
		defer former.stop()
		former.submit(c, id(1), job.Step{Count: 2})
		time.Sleep(time.Second)
		restore := k.overwriteFirst()
		former.stop()
		next := k.beginTerm("b")
		defer next.stop()
		time.Sleep(1500 * time.Millisecond)
		restore()
		k.assertCompletedOnce(next, id(1), 2)
	})
}

// TestEntriesThatStateNoIncarnation guards against owners that ignore all entries where only
// the answers of workers state the incarnation.
func TestEntriesThatStateNoIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(time.Second, lovagestand.EndingDone))
		k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
			for i := range workers {
				workers[i].Born = 0
			}
			return workers
		})
		o := k.beginTerm("a")
		defer o.stop()
		time.Sleep(3 * time.Second)
		o.submit(c, id(1), job.Step{Count: 2})
		k.assertCompletedOnce(o, id(1), 2)
	})
}

// TestThirdOwnerAndTheAddressOfAnotherWorker guards against a roster in which an owner that has
// not reached a worker states the address in an entry of another writer.
func TestThirdOwnerAndTheAddressOfAnotherWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(6*time.Second, lovagestand.EndingDone))
		k.fleetWrapper = newAddressFleet(k.fleet)
		former := k.beginReadyTerm("a")
		defer former.stop()
		former.submit(c, id(1), job.Step{Count: 2})
		time.Sleep(time.Second)
		restore := k.overwriteFirst()
		former.stop()
		second := k.beginTerm("b")
		defer second.stop()
		time.Sleep(800 * time.Millisecond)
		second.stop()
		third := k.beginTerm("c")
		defer third.stop()
		time.Sleep(1500 * time.Millisecond)
		restore()
		k.assertCompletedOnce(third, id(1), 2)
	})
}
