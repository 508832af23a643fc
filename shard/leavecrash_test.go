package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/standin/runner"
)

// TestTasksOfAWorkerThatLeavesAndReturnsAreNoSuspects guards against jobs that fail because a
// worker has left as planned and returns under its name: the entry of the new incarnation,
// which is ready, made the exit of the former one seem a crash under its tasks.
func TestTasksOfAWorkerThatLeavesAndReturnsAreNoSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(20*time.Second, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 1})
		for range 2 {
			time.Sleep(2 * time.Second)
			c.Assert(k.fleet.Running(), qt.Equals, 1)
			k.setLeaving()
			time.Sleep(2500 * time.Millisecond)
			k.fleet.Leave("w0")
			k.fleet.SetFault(func(lovagestand.WorkerName, string) runner.Fault { return runner.FaultLostRequest })
			k.restart(0)
			k.setReady(true)
			time.Sleep(time.Second)
			k.fleet.SetFault(nil)
		}
		time.Sleep(25 * time.Second)
		assertPhase(c, o, id(1), "completed")
		k.assertNoViolations()
	})
}
