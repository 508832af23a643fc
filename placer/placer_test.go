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

func idempotent(id string) lovagestand.Task {
	t := task(id)
	t.Idempotent = true
	return t
}

// assertDone checks that the answer is the whole one to the task's own body.
func (x *fixture) assertDone(a lovagestand.Answer, t lovagestand.Task, body []byte) {
	x.Helper()
	x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeDone, qt.Commentf("%s", a.Reason))
	x.Assert(bytes.Equal(a.Body, fleet.Answer(t.Key, body)), qt.IsTrue)
}

func TestStartWithoutReplyRunsOnce(t *testing.T) {
	inBubble(t, func(x *fixture) {
		// The reply is lost: calls take effect after the caller gave up.
		x.faults(fleet.Faults{Delay: 2500 * time.Millisecond, IgnoreNotAfter: true})
		time.AfterFunc(4*time.Second, func() { x.faults(fleet.Faults{}) })
		k := task("plan-1")
		x.assertDone(x.settle(k, runFor(time.Second), false), k, runFor(time.Second))
		x.Assert(x.starts(k.Key), qt.Equals, 1)
	})
}

func TestStartThatNeverArrivedIsMadeAgain(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.Sleep(time.Second)
		x.faults(fleet.Faults{Unreachable: true})
		time.AfterFunc(3*time.Second, func() { x.faults(fleet.Faults{}) })
		k := task("plan-2")
		x.assertDone(x.settle(k, runFor(time.Second), false), k, runFor(time.Second))
		x.Assert(x.starts(k.Key), qt.Equals, 1)
	})
}

func TestRefusedStartGoesToAnotherWorker(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.fleet.Worker("one").SetLeaving(true)
		k := task("plan-3")
		a := x.settle(k, runFor(time.Second), false)
		x.assertDone(a, k, runFor(time.Second))
		x.Assert(a.Worker, qt.Equals, lovagestand.WorkerName("two"))
	})
}

func TestLostWorker(t *testing.T) {
	lose := func(x *fixture, k lovagestand.Task) lovagestand.Answer {
		x.place(k, runFor(20*time.Second), false, time.Second)
		for _, w := range x.fleet.Workers() {
			if state, _ := w.State(context.Background()); len(state.Tasks) > 0 {
				w.SetFaults(fleet.Faults{Unreachable: true})
			}
		}
		return x.settle(k, runFor(20*time.Second), false)
	}
	t.Run("idempotent work runs again", func(t *testing.T) {
		inBubble(t, func(x *fixture) {
			k := idempotent("quote-1")
			x.assertDone(lose(x, k), k, runFor(20*time.Second))
		})
	})
	t.Run("other work is unknown", func(t *testing.T) {
		inBubble(t, func(x *fixture) {
			k := task("plan-4")
			x.Assert(lose(x, k).Outcome, qt.Equals, lovagestand.OutcomeUnknown)
		})
	})
}

func TestNewOwnerAttachesToWhatRuns(t *testing.T) {
	inBubble(t, func(x *fixture) {
		k := task("plan-5")
		body := runFor(8 * time.Second)
		x.place(k, body, false, time.Second)
		x.replaceOwner(2)
		x.assertDone(x.settle(k, body, true), k, body)
		x.Assert(x.starts(k.Key), qt.Equals, 1)
	})
}

func TestNewOwnerFindsEndedWork(t *testing.T) {
	inBubble(t, func(x *fixture) {
		k := task("plan-6")
		body := runFor(2 * time.Second)
		x.place(k, body, false, time.Second)
		x.stop()
		time.Sleep(5 * time.Second)
		x.replaceOwner(2)
		x.assertDone(x.settle(k, body, true), k, body)
		x.Assert(x.starts(k.Key), qt.Equals, 1)
	})
}

func TestNewOwnerCountsUnknownTasks(t *testing.T) {
	inBubble(t, func(x *fixture) {
		for _, n := range []string{"a", "b"} {
			x.place(task(n), runFor(time.Hour), false, time.Second)
		}
		x.replaceOwner(2)
		k := task("late")
		k.StartBy = time.Now().Add(5 * time.Second)
		a := x.settle(k, runFor(time.Second), false)
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeNotRun)
		x.Assert(x.starts(k.Key), qt.Equals, 0)
	})
}

func TestResubmittedWorkThatMayHaveRun(t *testing.T) {
	inBubble(t, func(x *fixture) {
		k := task("plan-7")
		x.place(k, runFor(time.Hour), false, time.Second)
		x.faults(fleet.Faults{Unreachable: true})
		x.replaceOwner(2)
		a := x.settle(k, runFor(time.Hour), true)
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeUnknown)
	})
}

func TestResubmittedWorkToYoungInstance(t *testing.T) {
	inBubble(t, func(x *fixture) {
		k := task("plan-8")
		time.Sleep(time.Second)
		x.view.since = time.Now()
		x.replaceOwner(2)
		a := x.settle(k, runFor(time.Second), true)
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeUnknown)
		x.Assert(x.starts(k.Key), qt.Equals, 0)
	})
}

func TestNothingStartsWithoutTheRight(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.Sleep(time.Second)
		x.rights.grant(1, -time.Second)
		reply := x.place(task("plan-9"), runFor(time.Second), false, 3*time.Second)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_NOT_OWNER)
		x.Assert(x.starts("plan-9"), qt.Equals, 0)
	})
}

func TestLateCallIsDropped(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.Sleep(time.Second)
		reply, err := x.placer.Place(context.Background(), &placerpb.PlaceRequest{
			Shard: string(shardName), Task: placer.TaskMessage(task("late")), Body: runFor(time.Second),
			WindowMillis: 1000, DeliverBy: time.Now().Add(-time.Millisecond).UnixNano(),
		})
		x.Assert(err, qt.IsNil)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_NOT_OWNER)
		x.Assert(x.starts("late"), qt.Equals, 0)
	})
}

func TestWithdrawnTaskIsNotQueuedLater(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.Sleep(time.Second)
		k := idempotent("gone")
		reply, err := x.placer.Cancel(context.Background(), &placerpb.CancelRequest{
			Key: "gone", Shard: string(shardName), Task: placer.TaskMessage(k),
		})
		x.Assert(err, qt.IsNil)
		x.Assert(reply.GetFound(), qt.IsTrue)
		x.Assert(x.settle(k, runFor(time.Second), false).Outcome, qt.Equals, lovagestand.OutcomeNotRun)
		x.Assert(x.starts("gone"), qt.Equals, 0)
	})
}

func TestRefusedTaskIsNotQueuedLater(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.Sleep(time.Second)
		k := task("huge")
		k.Resources = k.Resources.WithMilliCPU(1 << 30)
		reply := x.place(k, nil, false, time.Second)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_UNFIT)
		k.Resources = k.Resources.WithMilliCPU(1)
		x.Assert(x.settle(k, runFor(time.Second), false).Outcome, qt.Equals, lovagestand.OutcomeNotRun)
		x.Assert(x.starts("huge"), qt.Equals, 0)
	})
}

func TestGangRunsWhole(t *testing.T) {
	inBubble(t, func(x *fixture) {
		k := idempotent("model")
		k.Class = lovagestand.ClassGang
		k.GangSize = 2
		x.Assert(x.settle(k, runFor(time.Second), false).Outcome, qt.Equals, lovagestand.OutcomeDone)
		x.Assert(x.starts("model"), qt.Equals, 2)
	})
}

func TestGangStartsAgainWhole(t *testing.T) {
	inBubble(t, func(x *fixture) {
		k := idempotent("model")
		k.Class = lovagestand.ClassGang
		k.GangSize = 2
		k.Resources = k.Resources.WithMilliCPU(1000)
		// One worker refuses, so a part of the gang is turned away at first.
		x.fleet.Worker("one").SetLeaving(true)
		x.Assert(x.settle(k, runFor(time.Second), false).Outcome, qt.Equals, lovagestand.OutcomeDone)
	})
}

func TestNewOwnerCountsAllPartsOfAGang(t *testing.T) {
	inBubble(t, func(x *fixture) {
		k := idempotent("model")
		k.Class = lovagestand.ClassGang
		k.GangSize = 2
		x.place(k, runFor(time.Hour), false, time.Second)
		x.replaceOwner(2)
		x.Assert(x.placer.Status()[0].Digest.Pools[0].Running, qt.Equals, 2)
	})
}

func TestAdoptedGangStartsAgainWithItsBody(t *testing.T) {
	inBubble(t, func(x *fixture) {
		k := idempotent("model")
		k.Class = lovagestand.ClassGang
		k.GangSize = 2
		body := runFor(30 * time.Second)
		x.place(k, body, false, time.Second)
		x.replaceOwner(2)
		state, err := x.fleet.Worker("one").State(context.Background())
		x.Assert(err, qt.IsNil)
		x.Assert(x.fleet.Worker("one").Stop(context.Background(), []lovagestand.TaskID{state.Tasks[0].Task.ID}), qt.IsNil)
		time.Sleep(5 * time.Second)
		a := x.settle(k, body, true)
		x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeDone, qt.Commentf("%s", a.Reason))
		whole := fleet.Answer(k.Key, body)
		joined, err := json.Marshal([][]byte{whole, whole})
		x.Assert(err, qt.IsNil)
		x.Assert(string(a.Body), qt.Equals, string(joined))
	})
}

func TestLeasesAreRenewed(t *testing.T) {
	inBubble(t, func(x *fixture) {
		k := task("long")
		body := runFor(5 * time.Minute)
		x.assertDone(x.settle(k, body, false), k, body)
	})
}

func TestClosedShardSaysWhatItHeld(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.AfterFunc(time.Second, func() { x.rights.grant(1, -time.Second) })
		reply := x.place(task("plan-12"), runFor(time.Minute), false, 5*time.Second)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_NOT_OWNER)
		x.Assert(reply.GetDoubt(), qt.IsTrue)
	})
}

func TestReleasedShardKeepsItsTasks(t *testing.T) {
	inBubble(t, func(x *fixture) {
		k := task("plan-10")
		body := runFor(8 * time.Second)
		x.place(k, body, false, time.Second)
		x.Assert(x.placer.Release(context.Background(), shardName), qt.IsNil)
		reply := x.place(task("other"), body, false, time.Second)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_NOT_OWNER)
		x.replaceOwner(2)
		x.assertDone(x.settle(k, body, true), k, body)
		x.Assert(x.starts(k.Key), qt.Equals, 1)
	})
}

// runs returns how many tasks run on a worker now.
func (x *fixture) runs(name lovagestand.WorkerName) int {
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
			x.place(task(n), runFor(time.Hour), false, time.Second)
		}
		x.faults(fleet.Faults{Unreachable: true})
		// Longer than the workers may be out of reach, shorter than the leases.
		time.Sleep(7 * time.Second)
		x.faults(fleet.Faults{})
		x.place(task("c"), runFor(time.Hour), false, 5*time.Second)
		x.Assert(x.runs("one"), qt.Equals, 1)
		x.Assert(x.runs("two"), qt.Equals, 1)
	})
}

func TestUnreadWorkerGetsNoWork(t *testing.T) {
	inBubble(t, func(x *fixture) {
		for _, n := range []string{"a", "b"} {
			x.place(task(n), runFor(time.Hour), false, time.Second)
		}
		x.faults(fleet.Faults{Unreachable: true})
		x.replaceOwner(2)
		time.Sleep(4 * time.Second)
		x.faults(fleet.Faults{})
		x.place(task("c"), runFor(time.Hour), false, 5*time.Second)
		x.Assert(x.runs("one"), qt.Equals, 1)
		x.Assert(x.runs("two"), qt.Equals, 1)
	})
}

func TestCancelledBeforeItsStartIsSent(t *testing.T) {
	inBubble(t, func(x *fixture) {
		for _, n := range []string{"a", "b"} {
			x.place(task(n), runFor(5500*time.Millisecond), false, time.Second)
		}
		x.place(idempotent("c"), runFor(time.Second), false, time.Second)
		// The right is asked for after the decision to start "c" and before
		// the start is sent: the cancellation arrives then.
		var cancelled atomic.Bool
		x.rights.onAsked(func() {
			if x.decided() && x.starts("c") == 0 && cancelled.CompareAndSwap(false, true) {
				x.rights.onAsked(nil)
				reply, err := x.placer.Cancel(context.Background(), &placerpb.CancelRequest{Key: "c"})
				x.Assert(err, qt.IsNil)
				x.Assert(reply.GetAnswer().GetOutcome(), qt.Equals, string(lovagestand.OutcomeNotRun))
			}
		})
		time.Sleep(10 * time.Second)
		x.Assert(cancelled.Load(), qt.IsTrue)
		x.Assert(x.starts("c"), qt.Equals, 0)
	})
}

// decided reports whether the decider counts a task as placed.
func (x *fixture) decided() bool {
	for _, p := range x.placer.Status()[0].Digest.Pools {
		return p.Waiting[lovagestand.ClassBatch] == 0
	}
	return false
}

func TestStaleOwnerDoesNotSayNotRun(t *testing.T) {
	inBubble(t, func(x *fixture) {
		for _, n := range []string{"a", "b"} {
			x.place(task(n), runFor(time.Hour), false, time.Second)
		}
		x.place(task("c"), runFor(time.Second), false, time.Second)
		x.rights.mu.Lock()
		x.rights.right.Until = time.Now()
		x.rights.mu.Unlock()
		reply, err := x.placer.Cancel(context.Background(), &placerpb.CancelRequest{Key: "c"})
		x.Assert(err, qt.IsNil)
		x.Assert(reply.GetFound(), qt.IsFalse)
	})
}

func TestRefusalInDoubtIsSaid(t *testing.T) {
	inBubble(t, func(x *fixture) {
		time.Sleep(time.Second)
		x.view.since = time.Now()
		k := idempotent("huge")
		k.Submitted = time.Now().Add(-time.Second)
		k.Resources = k.Resources.WithMilliCPU(1 << 30)
		reply := x.place(k, nil, true, time.Second)
		x.Assert(reply.GetStatus(), qt.Equals, placerpb.Status_STATUS_UNFIT)
		x.Assert(reply.GetDoubt(), qt.IsTrue)
	})
}

func TestReopenedShardWaitsOutItsOwnStarts(t *testing.T) {
	inBubble(t, func(x *fixture) {
		k := task("plan-11")
		body := runFor(5 * time.Second)
		// The start is on its way when the right is withheld for a moment.
		x.faults(fleet.Faults{Delay: 500 * time.Millisecond})
		x.place(k, body, false, 100*time.Millisecond)
		x.rights.grant(1, -time.Second)
		synctest.Wait()
		x.faults(fleet.Faults{})
		x.view.leave("one")
		x.rights.grant(1, time.Hour)
		synctest.Wait()
		x.assertDone(x.settle(k, body, true), k, body)
		x.Assert(x.starts(k.Key), qt.Equals, 1)
	})
}

// outgrow starts a task of 1 GiB that takes n times its reservation.
func outgrow(x *fixture, k lovagestand.Task, n int64) lovagestand.Answer {
	x.faults(fleet.Faults{Outgrow: n})
	return x.settle(k, runFor(20*time.Second), false)
}

func TestTaskThatOutgrowsItsProcessorsIsThrottled(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.faults(fleet.Faults{Outgrow: 2})
		k := task("greedy")
		k.Resources = lovagestand.Resources{MilliCPU: 1000}
		x.place(k, runFor(time.Minute), false, 10*time.Second)
		for _, w := range x.fleet.Workers() {
			state, err := w.State(context.Background())
			x.Assert(err, qt.IsNil)
			for _, r := range state.Tasks {
				x.Assert(r.Phase, qt.Equals, lovagestand.TaskThrottled)
			}
		}
		x.Assert(x.starts(k.Key), qt.Equals, 1)
	})
}

func TestTaskThatOutgrowsItsMemory(t *testing.T) {
	t.Run("is stopped and said to have failed", func(t *testing.T) {
		inBubble(t, func(x *fixture) {
			a := outgrow(x, task("greedy"), 8)
			x.Assert(a.Outcome, qt.Equals, lovagestand.OutcomeFailed)
			x.Assert(a.Reason, qt.Equals, "it took more than its reservation")
		})
	})
	t.Run("starts again with what it took", func(t *testing.T) {
		inBubble(t, func(x *fixture) {
			time.AfterFunc(time.Second, func() { x.faults(fleet.Faults{}) })
			k := idempotent("greedy")
			k.Resources = lovagestand.Resources{MemoryMiB: 512}
			a := outgrow(x, k, 8)
			x.assertDone(a, k, runFor(20*time.Second))
			x.Assert(x.largest(k.Key).MemoryMiB, qt.Equals, int64(4096))
		})
	})
}

// largest returns the most memory that any attempt at a key was given.
func (x *fixture) largest(key lovagestand.RequestKey) lovagestand.Resources {
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

func TestKeptAnswersAreBoundedInBytes(t *testing.T) {
	inBubble(t, func(x *fixture) {
		const requests, answerBytes = 24, 100 << 10
		body := fleet.Work{RunFor: fleet.Span(time.Millisecond), AnswerBytes: answerBytes}.Body()
		for i := range requests {
			k := idempotent(fmt.Sprintf("big-%d", i))
			x.assertDone(x.settle(k, body, false), k, body)
		}
		plan := task("plan")
		x.assertDone(x.settle(plan, body, false), plan, body)
		time.Sleep(10 * time.Second)
		x.Assert(x.placer.Status()[0].Retained*answerBytes <= 1<<20, qt.IsTrue)
		x.assertDone(x.settle(plan, body, true), plan, body)
		x.Assert(x.starts(plan.Key), qt.Equals, 1)
	})
}
