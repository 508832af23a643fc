package placer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/placer"
	"lovagestand.example/lovagestand/placer/placerpb"
	"lovagestand.example/lovagestand/standin/fleet"
)

func newIdempotentTask(id string) lovagestand.Task {
	t := newTask(id)
	t.Idempotent = true
	return t
}

// assertDone checks that the answer is done and has the complete body for the
// task.
func (x *fixture) assertDone(a lovagestand.Answer, t lovagestand.Task, body []byte) {
	x.Helper()
	x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeDone, qt.Commentf("%s", a.Reason))
	x.Assert(bytes.Equal(a.Body, fleet.Answer(t.Key, body)), qt.IsTrue)
}

func TestStartWithoutReplyRunsOnce(t *testing.T) {
	inBubble(t, func(x *fixture) {
		// The reply is lost because the call takes effect only after the placer
		// has given up waiting for it: 2.5 s exceed the call timeout of 2 s.
		x.setFaults(fleet.Faults{Delay: 2500 * time.Millisecond, IgnoreNotAfter: true})
		time.AfterFunc(4*time.Second, func() { x.setFaults(fleet.Faults{}) })
		task := newTask("plan-1")
		x.assertDone(x.settle(task, runFor(time.Second), false), task, runFor(time.Second))
		x.Assert(x.attempts(task.Key), qt.Equals, 1)
	})
}

func TestStartThatNeverArrivedIsRetried(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.Sleep(time.Second)
		x.setFaults(fleet.Faults{Unreachable: true})
		time.AfterFunc(3*time.Second, func() { x.setFaults(fleet.Faults{}) })
		task := newTask("plan-2")
		x.assertDone(x.settle(task, runFor(time.Second), false), task, runFor(time.Second))
		x.Assert(x.attempts(task.Key), qt.Equals, 1)
	})
}

func TestRefusedStartGoesToAnotherWorker(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.fleet.Worker("one").SetLeaving(true)
		task := newTask("plan-3")
		a := x.settle(task, runFor(time.Second), false)
		x.assertDone(a, task, runFor(time.Second))
		x.Assert(a.Worker, qt.Equals, lovagestand.WorkerName("two"))
	})
}

func TestLostWorker(t *testing.T) {
	placeAndLoseWorker := func(x *fixture, task lovagestand.Task) lovagestand.Answer {
		x.place(task, runFor(20*time.Second), false, time.Second)
		for _, w := range x.fleet.Workers() {
			if state, _ := w.State(context.Background()); len(state.Tasks) > 0 {
				w.SetFaults(fleet.Faults{Unreachable: true})
			}
		}
		return x.settle(task, runFor(20*time.Second), false)
	}
	t.Run("idempotent work runs again", func(t *testing.T) {
		inBubble(t, func(x *fixture) {
			task := newIdempotentTask("quote-1")
			x.assertDone(placeAndLoseWorker(x, task), task, runFor(20*time.Second))
		})
	})
	t.Run("other work has an unknown outcome", func(t *testing.T) {
		inBubble(t, func(x *fixture) {
			task := newTask("plan-4")
			x.Assert(placeAndLoseWorker(x, task).Outcome, qt.Equals, lovagestand.OutcomeUnknown)
		})
	})
}

func TestNewOwnerAttachesToRunningTask(t *testing.T) {
	inBubble(t, func(x *fixture) {
		task := newTask("plan-5")
		body := runFor(8 * time.Second)
		x.place(task, body, false, time.Second)
		x.replaceOwner(2)
		x.assertDone(x.settle(task, body, true), task, body)
		x.Assert(x.attempts(task.Key), qt.Equals, 1)
	})
}

func TestNewOwnerFindsEndedTask(t *testing.T) {
	inBubble(t, func(x *fixture) {
		task := newTask("plan-6")
		body := runFor(2 * time.Second)
		x.place(task, body, false, time.Second)
		x.stop()
		time.Sleep(5 * time.Second)
		x.replaceOwner(2)
		x.assertDone(x.settle(task, body, true), task, body)
		x.Assert(x.attempts(task.Key), qt.Equals, 1)
	})
}

func TestNewOwnerCountsUnknownTasks(t *testing.T) {
	inBubble(t, func(x *fixture) {
		for _, n := range []string{"a", "b"} {
			x.place(newTask(n), runFor(time.Hour), false, time.Second)
		}
		x.replaceOwner(2)
		task := newTask("late")
		task.StartBy = time.Now().Add(5 * time.Second)
		a := x.settle(task, runFor(time.Second), false)
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeNotRun)
		x.Assert(x.attempts(task.Key), qt.Equals, 0)
	})
}

func TestResubmittedTaskThatMayHaveRunIsUnknown(t *testing.T) {
	inBubble(t, func(x *fixture) {
		task := newTask("plan-7")
		x.place(task, runFor(time.Hour), false, time.Second)
		x.setFaults(fleet.Faults{Unreachable: true})
		x.replaceOwner(2)
		a := x.settle(task, runFor(time.Hour), true)
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeUnknown)
	})
}

func TestResubmittedTaskAtNewInstanceIsUnknown(t *testing.T) {
	inBubble(t, func(x *fixture) {
		task := newTask("plan-8")
		time.Sleep(time.Second)
		x.view.firstReadAt = time.Now()
		x.replaceOwner(2)
		a := x.settle(task, runFor(time.Second), true)
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeUnknown)
		x.Assert(x.attempts(task.Key), qt.Equals, 0)
	})
}

func TestNothingStartsWithoutOwnershipLease(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.Sleep(time.Second)
		x.ownership.grant(1, -time.Second)
		reply := x.place(newTask("plan-9"), runFor(time.Second), false, 3*time.Second)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_NOT_OWNER)
		x.Assert(x.attempts("plan-9"), qt.Equals, 0)
	})
}

func TestLateCallIsDropped(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.Sleep(time.Second)
		reply, err := x.placer.Place(context.Background(), &placerpb.PlaceRequest{
			Shard: string(shardName), Task: placer.TaskMessage(newTask("late")), Body: runFor(time.Second),
			WindowMillis: 1000, DeliverBy: time.Now().Add(-time.Millisecond).UnixNano(),
		})
		x.Assert(err, qt.IsNil)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_NOT_OWNER)
		x.Assert(x.attempts("late"), qt.Equals, 0)
	})
}

func TestWithdrawnTaskIsNotQueuedLater(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.Sleep(time.Second)
		task := newIdempotentTask("gone")
		reply, err := x.placer.Cancel(context.Background(), &placerpb.CancelRequest{
			Key: "gone", Shard: string(shardName), Task: placer.TaskMessage(task),
		})
		x.Assert(err, qt.IsNil)
		x.Assert(reply.GetFound(), qt.IsTrue)
		x.Assert(x.settle(task, runFor(time.Second), false).Outcome, qt.Equals, lovagestand.OutcomeNotRun)
		x.Assert(x.attempts("gone"), qt.Equals, 0)
	})
}

func TestRefusedTaskIsNotQueuedLater(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.Sleep(time.Second)
		task := newTask("huge")
		task.Resources = task.Resources.WithMilliCPU(1 << 30)
		reply := x.place(task, nil, false, time.Second)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_UNFIT)
		task.Resources = task.Resources.WithMilliCPU(1)
		x.Assert(x.settle(task, runFor(time.Second), false).Outcome, qt.Equals, lovagestand.OutcomeNotRun)
		x.Assert(x.attempts("huge"), qt.Equals, 0)
	})
}

func TestGangRunsWhole(t *testing.T) {
	inBubble(t, func(x *fixture) {
		task := newIdempotentTask("model")
		task.Class = lovagestand.ClassGang
		task.GangSize = 2
		x.Assert(x.settle(task, runFor(time.Second), false).Outcome, qt.Equals, lovagestand.OutcomeDone)
		x.Assert(x.attempts("model"), qt.Equals, 2)
	})
}

func TestGangStartsAgainWhole(t *testing.T) {
	inBubble(t, func(x *fixture) {
		task := newIdempotentTask("model")
		task.Class = lovagestand.ClassGang
		task.GangSize = 2
		task.Resources = task.Resources.WithMilliCPU(1000)
		// One worker refuses the part of the gang that is sent to it first.
		x.fleet.Worker("one").SetLeaving(true)
		x.Assert(x.settle(task, runFor(time.Second), false).Outcome, qt.Equals, lovagestand.OutcomeDone)
	})
}

func TestNewOwnerCountsAllPartsOfAGang(t *testing.T) {
	inBubble(t, func(x *fixture) {
		task := newIdempotentTask("model")
		task.Class = lovagestand.ClassGang
		task.GangSize = 2
		x.place(task, runFor(time.Hour), false, time.Second)
		x.replaceOwner(2)
		x.Assert(x.placer.Status()[0].Digest.Pools[0].Running, qt.Equals, 2)
	})
}

func TestAdoptedGangStartsAgainWithItsBody(t *testing.T) {
	inBubble(t, func(x *fixture) {
		task := newIdempotentTask("model")
		task.Class = lovagestand.ClassGang
		task.GangSize = 2
		body := runFor(30 * time.Second)
		x.place(task, body, false, time.Second)
		x.replaceOwner(2)
		state, err := x.fleet.Worker("one").State(context.Background())
		x.Assert(err, qt.IsNil)
		x.Assert(x.fleet.Worker("one").Stop(context.Background(), []lovagestand.TaskID{state.Tasks[0].Task.ID}), qt.IsNil)
		time.Sleep(5 * time.Second)
		a := x.settle(task, body, true)
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeDone, qt.Commentf("%s", a.Reason))
		whole := fleet.Answer(task.Key, body)
		joined, err := json.Marshal([][]byte{whole, whole})
		x.Assert(err, qt.IsNil)
		x.Assert(string(a.Body), qt.Equals, string(joined))
	})
}

func TestLeasesAreRenewed(t *testing.T) {
	inBubble(t, func(x *fixture) {
		task := newTask("long")
		body := runFor(5 * time.Minute)
		x.assertDone(x.settle(task, body, false), task, body)
	})
}

func TestClosedShardReportsPossibleStart(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.AfterFunc(time.Second, func() { x.ownership.grant(1, -time.Second) })
		reply := x.place(newTask("plan-12"), runFor(time.Minute), false, 5*time.Second)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_NOT_OWNER)
		x.Assert(reply.GetDoubt(), qt.IsTrue)
	})
}

func TestReleasedShardKeepsItsTasks(t *testing.T) {
	inBubble(t, func(x *fixture) {
		task := newTask("plan-10")
		body := runFor(8 * time.Second)
		x.place(task, body, false, time.Second)
		x.Assert(x.placer.Release(context.Background(), shardName), qt.IsNil)
		reply := x.place(newTask("other"), body, false, time.Second)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_NOT_OWNER)
		x.replaceOwner(2)
		x.assertDone(x.settle(task, body, true), task, body)
		x.Assert(x.attempts(task.Key), qt.Equals, 1)
	})
}

// runningTasks returns how many tasks currently run on a worker.
func (x *fixture) runningTasks(name lovagestand.WorkerName) int {
	state, err := x.fleet.Worker(name).State(context.Background())
	x.Assert(err, qt.IsNil)
	n := 0
	for _, r := range state.Tasks {
		if !r.Phase.Ended() {
			n++
		}
	}
	return n
}

func TestWorkerThatComesBackKeepsItsTasksCounted(t *testing.T) {
	inBubble(t, func(x *fixture) {
		for _, n := range []string{"a", "b"} {
			x.place(newTask(n), runFor(time.Hour), false, time.Second)
		}
		x.setFaults(fleet.Faults{Unreachable: true})
		// 7 s are longer than a worker may be unreachable (5 s) and shorter than
		// the task leases (10 s).
		time.Sleep(7 * time.Second)
		x.setFaults(fleet.Faults{})
		x.place(newTask("c"), runFor(time.Hour), false, 5*time.Second)
		x.Assert(x.runningTasks("one"), qt.Equals, 1)
		x.Assert(x.runningTasks("two"), qt.Equals, 1)
	})
}

func TestUnreadWorkerGetsNoWork(t *testing.T) {
	inBubble(t, func(x *fixture) {
		for _, n := range []string{"a", "b"} {
			x.place(newTask(n), runFor(time.Hour), false, time.Second)
		}
		x.setFaults(fleet.Faults{Unreachable: true})
		x.replaceOwner(2)
		time.Sleep(4 * time.Second)
		x.setFaults(fleet.Faults{})
		x.place(newTask("c"), runFor(time.Hour), false, 5*time.Second)
		x.Assert(x.runningTasks("one"), qt.Equals, 1)
		x.Assert(x.runningTasks("two"), qt.Equals, 1)
	})
}

func TestCancelledBeforeItsStartIsSent(t *testing.T) {
	inBubble(t, func(x *fixture) {
		for _, n := range []string{"a", "b"} {
			x.place(newTask(n), runFor(5500*time.Millisecond), false, time.Second)
		}
		x.place(newIdempotentTask("c"), runFor(time.Second), false, time.Second)
		// The placer queries its ownership lease after the decision to start "c"
		// and before it sends the start. The cancellation arrives at that moment.
		var cancelled atomic.Bool
		x.ownership.setLeaseHook(func() {
			if x.nothingWaits() && x.attempts("c") == 0 && cancelled.CompareAndSwap(false, true) {
				x.ownership.setLeaseHook(nil)
				reply, err := x.placer.Cancel(context.Background(), &placerpb.CancelRequest{Key: "c"})
				x.Assert(err, qt.IsNil)
				x.Assert(reply.GetAnswer().GetOutcome(), qt.Equals, string(lovagestand.OutcomeNotRun))
			}
		})
		time.Sleep(10 * time.Second)
		x.Assert(cancelled.Load(), qt.IsTrue)
		x.Assert(x.attempts("c"), qt.Equals, 0)
	})
}

// nothingWaits reports whether the decider has no waiting batch task.
func (x *fixture) nothingWaits() bool {
	for _, p := range x.placer.Status()[0].Digest.Pools {
		return p.Waiting[lovagestand.ClassBatch] == 0
	}
	return false
}

func TestStaleOwnerDoesNotAnswerNotRun(t *testing.T) {
	inBubble(t, func(x *fixture) {
		for _, n := range []string{"a", "b"} {
			x.place(newTask(n), runFor(time.Hour), false, time.Second)
		}
		x.place(newTask("c"), runFor(time.Second), false, time.Second)
		x.ownership.mu.Lock()
		x.ownership.lease.Until = time.Now()
		x.ownership.mu.Unlock()
		reply, err := x.placer.Cancel(context.Background(), &placerpb.CancelRequest{Key: "c"})
		x.Assert(err, qt.IsNil)
		x.Assert(reply.GetFound(), qt.IsFalse)
	})
}

func TestRefusalOfPossiblyStartedTaskReportsDoubt(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.Sleep(time.Second)
		x.view.firstReadAt = time.Now()
		task := newIdempotentTask("huge")
		task.Submitted = time.Now().Add(-time.Second)
		task.Resources = task.Resources.WithMilliCPU(1 << 30)
		reply := x.place(task, nil, true, time.Second)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_UNFIT)
		x.Assert(reply.GetDoubt(), qt.IsTrue)
	})
}

func TestReopenedShardWaitsOutItsOwnStarts(t *testing.T) {
	inBubble(t, func(x *fixture) {
		task := newTask("plan-11")
		body := runFor(5 * time.Second)
		// The ownership lease ends for a moment while the start is in flight.
		x.setFaults(fleet.Faults{Delay: 500 * time.Millisecond})
		x.place(task, body, false, 100*time.Millisecond)
		x.ownership.grant(1, -time.Second)
		synctest.Wait()
		x.setFaults(fleet.Faults{})
		x.view.markLeaving("one")
		x.ownership.grant(1, time.Hour)
		synctest.Wait()
		x.assertDone(x.settle(task, body, true), task, body)
		x.Assert(x.attempts(task.Key), qt.Equals, 1)
	})
}

// settleWithOveruse runs a task that uses factor times its reservation and
// returns its answer.
func settleWithOveruse(x *fixture, task lovagestand.Task, factor int64) lovagestand.Answer {
	x.setFaults(fleet.Faults{UsageRatio: factor})
	return x.settle(task, runFor(20*time.Second), false)
}

func TestTaskThatExceedsItsProcessorsIsThrottled(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.setFaults(fleet.Faults{UsageRatio: 2})
		task := newTask("greedy")
		task.Resources = lovagestand.Resources{MilliCPU: 1000}
		x.place(task, runFor(time.Minute), false, 10*time.Second)
		for _, w := range x.fleet.Workers() {
			state, err := w.State(context.Background())
			x.Assert(err, qt.IsNil)
			for _, r := range state.Tasks {
				x.Assert(r.Phase, qt.Equals, lovagestand.TaskThrottled)
			}
		}
		x.Assert(x.attempts(task.Key), qt.Equals, 1)
	})
}

func TestTaskThatExceedsItsMemory(t *testing.T) {
	t.Run("is stopped and reported as failed", func(t *testing.T) {
		inBubble(t, func(x *fixture) {
			a := settleWithOveruse(x, newTask("greedy"), 8)
			x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeFailed)
			x.Assert(a.Reason, qt.Equals, "it took more than its reservation")
		})
	})
	t.Run("starts again with its usage as reservation", func(t *testing.T) {
		inBubble(t, func(x *fixture) {
			time.AfterFunc(time.Second, func() { x.setFaults(fleet.Faults{}) })
			task := newIdempotentTask("greedy")
			task.Resources = lovagestand.Resources{MemoryMiB: 512}
			a := settleWithOveruse(x, task, 8)
			x.assertDone(a, task, runFor(20*time.Second))
			x.Assert(x.largestReservation(task.Key).MemoryMiB, qt.Equals, int64(4096))
		})
	})
}

// largestReservation returns the largest reservation, by memory, of any attempt
// at a request.
func (x *fixture) largestReservation(key lovagestand.RequestKey) lovagestand.Resources {
	var most lovagestand.Resources
	for _, w := range x.fleet.Workers() {
		state, err := w.State(context.Background())
		x.Assert(err, qt.IsNil)
		for _, r := range state.Tasks {
			if r.Task.Key == key && r.Task.Resources.MemoryMiB > most.MemoryMiB {
				most = r.Task.Resources
			}
		}
	}
	return most
}

func TestRetainedAnswersAreBoundedInBytes(t *testing.T) {
	inBubble(t, func(x *fixture) {
		const requests, answerBytes = 24, 100 << 10
		body := fleet.Work{RunFor: fleet.Duration(time.Millisecond), AnswerBytes: answerBytes}.Body()
		for i := range requests {
			task := newIdempotentTask(fmt.Sprintf("big-%d", i))
			x.assertDone(x.settle(task, body, false), task, body)
		}
		plan := newTask("plan")
		x.assertDone(x.settle(plan, body, false), plan, body)
		time.Sleep(10 * time.Second)
		x.Assert(x.placer.Status()[0].Retained*answerBytes <= 1<<20, qt.IsTrue)
		x.assertDone(x.settle(plan, body, true), plan, body)
		x.Assert(x.attempts(plan.Key), qt.Equals, 1)
	})
}

// TestBodiesAreBounded guards against callers whose waiting requests hold more than the memory
// of an owner, through several entries. Small requests are queued meanwhile.
func TestBodiesAreBounded(t *testing.T) {
	inBubble(t, func(x *fixture) {
		large := append(runFor(10*time.Second), bytes.Repeat([]byte{' '}, 40<<10)...)
		x.Assert(x.place(newTask("plan-1"), large, false, time.Second).GetStatus(), qt.Equals, placerpb.Status_STATUS_WAITING)
		refused := newTask("plan-2")
		reply := x.place(refused, large, false, time.Second)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_FULL)
		x.Assert(reply.GetRetryAfter() > 0, qt.IsTrue)
		x.Assert(reply.GetDoubt(), qt.IsFalse)
		small := newTask("plan-3")
		x.assertDone(x.settle(small, runFor(time.Second), false), small, runFor(time.Second))
		time.Sleep(15 * time.Second)
		x.Assert(x.attempts(refused.Key), qt.Equals, 0)
		x.Assert(x.place(newTask("plan-4"), large, false, time.Second).GetStatus(), qt.Equals, placerpb.Status_STATUS_WAITING)
	})
}
