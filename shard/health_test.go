package shard_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/standin/runner"
)

// TestFailingJobLeavesWorkersToOthers guards against a long-running job whose tasks fail soon
// after each start, wherever they run, and have all workers quarantined.
func TestFailingJobLeavesWorkersToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 6, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			if strings.HasPrefix(o.Task, id(1)) {
				return 200 * time.Millisecond, lovagestand.EndingFailed
			}
			return time.Second, lovagestand.EndingDone
		})
		o := k.beginReadyTerm("a")
		defer o.stop()
		policy := job.Policy{Route: "service", Priority: 0, MaxAttempts: 2, Stretch: 2, Target: time.Second}
		c.Assert(o.submitJob(job.Job{ID: job.ID(id(1)), Policy: policy, Steps: []job.Step{{Count: 10, LongRunning: true}}}), qt.IsNil)
		time.Sleep(5 * time.Second)
		for n := range 10 {
			c.Assert(o.submitJob(job.Job{ID: job.ID(id(10 + n)), Policy: job.Policy{Route: "plan", Priority: 2, MaxAttempts: 2, Stretch: 2, Target: time.Second}, Steps: []job.Step{{Count: 4}}}), qt.IsNil)
			time.Sleep(4 * time.Second)
			assertPhase(c, o, id(10+n), "completed")
		}
		k.assertNoViolations()
	})
}

// failingSpec marks the runs that fail.
const failingSpec = "fails"

// failingFleet is a fleet in which all runs on one worker fail.
type failingFleet struct {
	*runner.Fleet
	worker lovagestand.WorkerName
}

func (f failingFleet) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.WorkerClock, error) {
	if w.Name == f.worker {
		o.Spec = failingSpec
	}
	return f.Fleet.Start(ctx, w, o)
}

// TestWorkerThatFailsAllIsQuarantined guards against tasks that are started again and again on
// a worker on which all tasks fail, of few jobs or of many.
func TestWorkerThatFailsAllIsQuarantined(t *testing.T) {
	for name, tasks := range map[string]int{"one task for each job": 1, "twelve tasks for each job": 12} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 6, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
					if o.Spec == failingSpec {
						return 10 * time.Millisecond, lovagestand.EndingFailed
					}
					return 300 * time.Millisecond, lovagestand.EndingDone
				})
				k.fleetWrapper = failingFleet{k.fleet, "w0"}
				o := k.beginReadyTerm("a")
				defer o.stop()
				for n := range 40 {
					c.Assert(o.submitJob(job.Job{ID: job.ID(id(n)), Policy: job.Policy{Route: "plan", MaxAttempts: 20, Stretch: 2, Target: time.Second}, Steps: []job.Step{{Count: tasks}}}), qt.IsNil)
					time.Sleep(250 * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				failed := 0
				for _, r := range k.fleet.Runs() {
					if r.Worker == "w0" {
						failed++
					}
				}
				c.Check(failed <= 24, qt.IsTrue, qt.Commentf("%d runs on the worker that fails all", failed))
				for n := range 40 {
					assertPhase(c, o, id(n), "completed")
				}
			})
		})
	}
}
