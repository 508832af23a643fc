package shard_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/standin/runner"
)

// TestTasksOfALostWorkerStartAgain guards against jobs whose tasks wait for trials one after the
// other, on idle workers, after the worker on which all of them ran was lost.
func TestTasksOfALostWorkerStartAgain(t *testing.T) {
	const jobs, restartTime = 16, 6 * time.Second
	losses := map[string]struct {
		lose func(k *cell)
		// noticed is how long the owner takes to notice that the runs are over.
		noticed time.Duration
	}{
		"restarted": {func(k *cell) { k.restart(0) }, time.Second},
		"gone": {func(k *cell) {
			k.fleet.Crash("w0")
			k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker { return slices.Delete(workers, 0, 1) })
		}, 9 * time.Second},
	}
	for name, loss := range losses {
		for _, ran := range []time.Duration{time.Second, 2 * time.Second, 3500 * time.Millisecond, 6 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%s after %s", name, ran), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					k := newCell(c, 0, always(time.Hour, lovagestand.EndingDone))
					for n := range 7 {
						k.enlist(k.fleet.Add(lovagestand.WorkerName(fmt.Sprint("w", n)), lovagestand.Resources{MilliCPU: 16000, MemoryMiB: 16000}))
					}
					o := k.beginReadyTerm("a")
					defer o.stop()
					for n := range jobs {
						o.submit(c, id(n), job.Step{Count: 1, LongRunning: true})
						time.Sleep(100 * time.Millisecond)
					}
					for _, r := range k.fleet.Runs() {
						c.Assert(r.Worker, qt.Equals, lovagestand.WorkerName("w0"))
					}
					time.Sleep(ran)
					loss.lose(k)
					time.Sleep(loss.noticed + restartTime)
					for n := range jobs {
						c.Check(k.startsOf(id(n)), qt.Equals, 2, qt.Commentf("job %d", n))
					}
					k.assertNoViolations()
				})
			})
		}
	}
}

// TestTaskThatCrashesItsWorkerLateTakesFewWorkers guards against trials that let a task crash more
// workers than the first one and one in a trial: it crashes them some time after its start, when
// no other run has just started.
func TestTaskThatCrashesItsWorkerLateTakesFewWorkers(t *testing.T) {
	const jobs, deadly = 12, 5
	for _, after := range []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 0, nil)
				k.fleet = runner.New(needs, always(10*time.Second, lovagestand.EndingDone), runner.WithCrashes(runner.Crashes{
					By:       func(o lovagestand.Order) (time.Duration, bool) { return after, o.Task == id(deadly)+".0.0.0" },
					Downtime: crashDowntime, Returned: k.returned,
				}))
				for n := range 6 {
					k.enlist(k.fleet.Add(lovagestand.WorkerName(fmt.Sprint("w", n)), lovagestand.Resources{MilliCPU: 16000, MemoryMiB: 16000}))
				}
				o := k.beginReadyTerm("a")
				defer o.stop()
				for n := range jobs {
					if n != deadly {
						o.submit(c, id(n), job.Step{Count: 1})
						time.Sleep(100 * time.Millisecond)
					}
				}
				o.submit(c, id(deadly), job.Step{Count: 1})
				time.Sleep(90 * time.Second)
				assertPhase(c, o, id(deadly), "failed")
				c.Check(k.startsOf(id(deadly)), qt.Equals, 2)
				for n := range jobs {
					if n != deadly {
						assertPhase(c, o, id(n), "completed")
					}
				}
				c.Check(k.fleet.Violations(), qt.HasLen, 0)
			})
		})
	}
}

// TestSuspectStartsBesideAStream guards against a suspect that is never started again because
// steps of higher score start tasks on each worker so often that none is quiet.
func TestSuspectStartsBesideAStream(t *testing.T) {
	const workers, interval = 6, 180 * time.Millisecond
	const leaseTime, restartTime = 9 * time.Second, 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 0, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			if o.Task < id(1) {
				return time.Hour, lovagestand.EndingDone
			}
			return 100 * time.Millisecond, lovagestand.EndingDone
		})
		k.join("lost", "b")
		o := k.beginReadyTerm("a")
		defer o.stop()
		policy := func(priority int) job.Policy {
			return job.Policy{Route: lovagestand.RouteName(fmt.Sprint("route", priority)), Priority: priority, MaxAttempts: 2, Stretch: 2, Target: time.Second}
		}
		c.Assert(o.submitJob(job.Job{ID: job.ID(id(0)), Policy: policy(2), Steps: []job.Step{{Count: 1, LongRunning: true}}}), qt.IsNil)
		time.Sleep(2 * time.Second)
		for n := range workers {
			k.join(lovagestand.WorkerName(fmt.Sprint("w", n)), "a")
		}
		time.Sleep(time.Second)
		stop := make(chan struct{})
		var stream sync.WaitGroup
		defer stream.Wait()
		defer close(stop)
		stream.Go(func() {
			for n := 1; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					_ = o.submitJob(job.Job{ID: job.ID(id(n)), Policy: policy(0), Steps: []job.Step{{Count: workers, Label: "a", MaxPerWorker: 1}}})
				}
			}
		})
		time.Sleep(time.Second)
		c.Assert(k.startsOf(id(0)), qt.Equals, 1)
		k.fleet.Crash("lost")
		k.removeFirst()
		time.Sleep(leaseTime + restartTime)
		c.Assert(k.startsOf(id(0)), qt.Equals, 2)
	})
}
