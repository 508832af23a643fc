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

// refuseStarts makes the workers refuse the next n starts.
func (k *cell) refuseStarts(n int) {
	k.fleet.SetFault(func(_ lovagestand.WorkerName, order string) runner.Fault {
		if order != "start" || n == 0 {
			return runner.FaultNone
		}
		n--
		return runner.FaultRefused
	})
}

// lastRun returns the worker and the number of the last run that has started.
func (k *cell) lastRun() (lovagestand.WorkerName, int64) {
	runs := k.fleet.Runs()
	last := runs[len(runs)-1]
	return last.Worker, last.Number
}

// TestRunNumbersAfterManyRefusals guards against a task that runs twice because the end of a
// run of a former owner has the number of the current run and counts as its end. The former
// owner has used more numbers than its successor skips, since workers refused its starts.
func TestRunNumbersAfterManyRefusals(t *testing.T) {
	for _, ending := range []lovagestand.RunEnding{lovagestand.EndingLapsed, lovagestand.EndingFailed} {
		t.Run(string(ending), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				const firstRun = 22
				formerWorker := lovagestand.WorkerName("")
				k := newCell(c, 40, func(lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
					if formerWorker == "" && ending == lovagestand.EndingFailed {
						return 2 * time.Second, ending
					}
					return 12 * time.Second, lovagestand.EndingDone
				})
				former := k.beginReadyTerm("a")
				defer former.stop()
				k.refuseStarts(firstRun - 1)
				former.submit(c, id(1), job.Step{Count: 1})
				time.Sleep(time.Second)
				var number int64
				formerWorker, number = k.lastRun()
				c.Assert(number, qt.Equals, int64(firstRun))
				k.fleet.SetUnreachable(formerWorker, true)
				time.Sleep(1250 * time.Millisecond)
				former.stop()
				next := k.beginTerm("b")
				defer next.stop()
				time.Sleep(14 * time.Second)
				_, number = k.lastRun()
				c.Assert(k.fleet.Starts(), qt.Equals, 2)
				c.Check(number > firstRun, qt.IsTrue, qt.Commentf("run %d of the next owner", number))
				k.fleet.SetUnreachable(formerWorker, false)
				k.assertCompletedOnce(next, id(1), 2)
			})
		})
	}
}
