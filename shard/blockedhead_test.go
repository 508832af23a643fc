package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

// TestBlockedStepsDoNotKeepOthersWaiting guards against jobs that never start, on idle
// workers, behind more steps than a pass considers that cannot start.
func TestBlockedStepsDoNotKeepOthersWaiting(t *testing.T) {
	blocked := map[string]job.Step{
		"a label that no worker has":       {Count: 1, Label: "c", Estimate: 100 * time.Millisecond},
		"more than any worker has":         {Count: 1, Needs: lovagestand.Resources{MilliCPU: 5000}, Estimate: 100 * time.Millisecond},
		"a gang that does not fit":         {Count: 30, Gang: true, Needs: lovagestand.Resources{MilliCPU: 1000}, Estimate: 100 * time.Millisecond},
		"a label of a worker that is full": {Count: 1, Label: "full", Estimate: 100 * time.Millisecond},
	}
	for name, step := range blocked {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 6, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
					if o.Task < id(1) {
						return time.Hour, lovagestand.EndingDone
					}
					return time.Second, lovagestand.EndingDone
				})
				k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
					workers[0].Labels = []string{"full"}
					return workers
				})
				o := k.beginReadyTerm("a")
				defer o.stop()
				o.submit(c, id(0), job.Step{Count: 4, Label: "full", Needs: lovagestand.Resources{MilliCPU: 1000}, LongRunning: true})
				time.Sleep(time.Second)
				submitBlocked(c, o, step)
				for i := range 10 {
					o.submit(c, id(1000+i), job.Step{Count: 2, Needs: lovagestand.Resources{MilliCPU: 1000}, Estimate: time.Minute})
				}
				time.Sleep(10 * time.Second)
				for i := range 10 {
					assertPhase(c, o, id(1000+i), "completed")
				}
				k.assertNoViolations()
			})
		})
	}
}

// submitBlocked submits 300 jobs that rank before others and cannot start.
func submitBlocked(c *qt.C, o *owner, step job.Step) {
	for i := range 300 {
		c.Assert(o.submitJob(job.Job{ID: job.ID(id(1 + i)), Policy: job.Policy{Route: "quote", Priority: 0, MaxAttempts: 2, Stretch: 2, Target: time.Hour}, Steps: []job.Step{step}}), qt.IsNil)
	}
}
