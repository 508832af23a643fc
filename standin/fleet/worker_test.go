package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/standin/fleet"
)

func ExampleAnswer() {
	body := fleet.Work{RunFor: fleet.Duration(30 * time.Millisecond), AnswerBytes: 50}.Body()
	fmt.Println(string(body))
	fmt.Printf("%s\n", fleet.Answer("quote-7", body))
	// Output:
	// {"runFor":"30ms","answerBytes":50}
	// key=quote-7 hash=689cfed28d70975d
	// kumkcpsiegapqihe
}

func newWorker() *fleet.Worker {
	return fleet.NewWorker(fleet.Glazedesk().Specs()[0], nil)
}

func start(id lovagestand.TaskID, runFor time.Duration) lovagestand.TaskStart {
	return lovagestand.TaskStart{
		Task: lovagestand.Task{ID: id, Key: "key", Resources: lovagestand.Resources{MilliCPU: 1000}, Checkpoints: true},
		Body: fleet.Work{RunFor: fleet.Duration(runFor)}.Body(),
	}
}

func assertRefused(c *qt.C, err error) {
	c.Helper()
	var target *lovagestand.RefusedError
	c.Assert(errors.As(err, &target), qt.IsTrue, qt.Commentf("%v", err))
}

func assertPhase(c *qt.C, w *fleet.Worker, id lovagestand.TaskID, want lovagestand.TaskPhase) lovagestand.TaskReport {
	c.Helper()
	synctest.Wait()
	state, err := w.State(context.Background())
	c.Assert(err, qt.IsNil)
	for _, r := range state.Tasks {
		if r.Task.ID == id {
			c.Assert(r.Phase, qt.Equals, want)
			return r
		}
	}
	c.Assert(want, qt.Equals, lovagestand.TaskPhase(""))
	return lovagestand.TaskReport{}
}

func TestWorkerRunsTaskAndRetainsReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorker()
		s := start("t1", time.Second)
		c.Assert(w.Start(t.Context(), s), qt.IsNil)
		c.Assert(w.Start(t.Context(), s), qt.IsNil)
		assertPhase(c, w, "t1", lovagestand.TaskRunning)
		time.Sleep(time.Second)
		done := assertPhase(c, w, "t1", lovagestand.TaskDone)
		c.Assert(done.Body, qt.DeepEquals, fleet.Answer("key", s.Body))
		c.Assert(done.Usage, qt.Equals, s.Task.Resources)
		time.Sleep(fleet.Retention)
		assertPhase(c, w, "t1", "")
	})
}

func TestWorkerStopsTaskWhenLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorker()
		s := start("t1", time.Hour)
		s.Lease = time.Second
		c.Assert(w.Start(t.Context(), s), qt.IsNil)
		time.Sleep(900 * time.Millisecond)
		missing, err := w.Renew(t.Context(), time.Second, []lovagestand.TaskID{"t1", "t2"})
		c.Assert(err, qt.IsNil)
		c.Assert(missing, qt.DeepEquals, []lovagestand.TaskID{"t2"})
		time.Sleep(900 * time.Millisecond)
		assertPhase(c, w, "t1", lovagestand.TaskRunning)
		time.Sleep(100 * time.Millisecond)
		assertPhase(c, w, "t1", lovagestand.TaskStopped)
	})
}

func TestWorkerCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorker()
		c.Assert(w.Start(t.Context(), start("t1", 10*time.Second)), qt.IsNil)
		time.Sleep(7 * time.Second)
		text, err := w.Checkpoint(t.Context(), "t1")
		c.Assert(err, qt.IsNil)
		again := start("t2", 10*time.Second)
		again.Checkpoint = text
		c.Assert(w.Start(t.Context(), again), qt.IsNil)
		time.Sleep(3 * time.Second)
		assertPhase(c, w, "t1", lovagestand.TaskStopped)
		assertPhase(c, w, "t2", lovagestand.TaskDone)
	})
}

func TestWorkerRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorker()
		tooLate := start("t1", time.Second)
		tooLate.NotAfter = time.Now().Add(-time.Millisecond)
		assertRefused(c, w.Start(t.Context(), tooLate))
		w.SetFaults(fleet.Faults{IgnoreNotAfter: true})
		c.Assert(w.Start(t.Context(), tooLate), qt.IsNil)
		w.SetFaults(fleet.Faults{Refuse: true})
		assertRefused(c, w.Start(t.Context(), start("t2", time.Second)))
		w.SetFaults(fleet.Faults{})
		w.SetLeaving(true)
		assertRefused(c, w.Start(t.Context(), start("t3", time.Second)))
		assertPhase(c, w, "t1", lovagestand.TaskRunning)
		c.Assert(w.Stop(t.Context(), []lovagestand.TaskID{"t1"}), qt.IsNil)
	})
}

func TestWorkerFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorker()
		w.SetFaults(fleet.Faults{FailAll: true})
		c.Assert(w.Start(t.Context(), start("t1", time.Second)), qt.IsNil)
		assertPhase(c, w, "t1", lovagestand.TaskFailed)

		w.SetFaults(fleet.Faults{UsageRatio: 3})
		c.Assert(w.Start(t.Context(), start("t2", time.Hour)), qt.IsNil)
		c.Assert(assertPhase(c, w, "t2", lovagestand.TaskRunning).Usage.MilliCPU, qt.Equals, int64(0))
		time.Sleep(fleet.UsageLag)
		c.Assert(assertPhase(c, w, "t2", lovagestand.TaskRunning).Usage.MilliCPU, qt.Equals, int64(3000))
		c.Assert(w.Throttle(t.Context(), "t2"), qt.IsNil)
		c.Assert(assertPhase(c, w, "t2", lovagestand.TaskThrottled).Usage.MilliCPU, qt.Equals, int64(1000))
		c.Assert(w.Stop(t.Context(), []lovagestand.TaskID{"t2"}), qt.IsNil)

		w.SetFaults(fleet.Faults{Delay: 2 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.Assert(w.Start(ctx, start("t3", time.Hour)), qt.IsNotNil)
		w.SetFaults(fleet.Faults{})
		assertPhase(c, w, "t3", "")
		time.Sleep(1001 * time.Millisecond)
		assertPhase(c, w, "t3", lovagestand.TaskRunning)
		c.Assert(w.Stop(t.Context(), []lovagestand.TaskID{"t3"}), qt.IsNil)
	})
}

func TestEventsWaitForChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorker()
		c.Assert(w.Start(t.Context(), start("t1", 100*time.Millisecond)), qt.IsNil)
		events, err := w.Events(t.Context(), 0, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(events, qt.HasLen, 1)
		events, err = w.Events(t.Context(), events[0].Sequence, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(events[0].Phase, qt.Equals, lovagestand.TaskDone)
		events, err = w.Events(t.Context(), events[0].Sequence, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(events, qt.HasLen, 0)
	})
}

func TestFirmSpecs(t *testing.T) {
	c := qt.New(t)
	names := map[lovagestand.WorkerName]bool{}
	racks := map[lovagestand.ShardName]int{}
	for _, w := range fleet.Glazedesk().Specs() {
		names[w.Name] = true
		racks[w.Shard()]++
	}
	c.Assert(names, qt.HasLen, 50)
	for _, n := range racks {
		c.Assert(n <= 8, qt.IsTrue)
	}
}
