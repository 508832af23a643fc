package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

// endlessRuns are runs that do not end during a test.
const endlessRuns = 10 * time.Hour

// TestWorkerWithLongRunningTasksStaysOpen guards against a worker that gets no new
// tasks because its long-running tasks run longer than their estimates.
func TestWorkerWithLongRunningTasksStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			if o.Task[:16] == id(1) {
				return endlessRuns, lovagestand.EndingDone
			}
			return time.Second, lovagestand.EndingDone
		})
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 3, LongRunning: true})
		time.Sleep(10 * time.Second)
		o.submit(c, id(2), job.Step{Count: 1})
		time.Sleep(3 * time.Second)
		assertPhase(c, o, id(2), "completed")
		c.Assert(k.fleet.Running(), qt.Equals, 3)
	})
}

// TestLongRunningTaskKeepsItsRank guards against a long-running task that fails late in
// the life of its job and then waits behind all other jobs, as if the job were late.
func TestLongRunningTaskKeepsItsRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		starts := 0
		k := newCell(c, 1, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			if o.Task[:16] != id(1) {
				return 2 * time.Second, lovagestand.EndingDone
			}
			starts++
			if starts == 1 {
				return 30 * time.Second, lovagestand.EndingFailed
			}
			return endlessRuns, lovagestand.EndingDone
		})
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 1, LongRunning: true})
		time.Sleep(25 * time.Second)
		// Late batch jobs wait for every free core for the next 20 s.
		for n := 2; n < 42; n++ {
			o.submit(c, id(n), job.Step{Count: 1})
		}
		time.Sleep(9 * time.Second)
		synctest.Wait()
		c.Assert(starts, qt.Equals, 2)
	})
}
