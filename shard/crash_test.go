package shard_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/standin/runner"
)

// crashDelay is how long after its start a run crashes its worker, crashDowntime how
// long the worker is away.
const (
	crashDelay    = 10 * time.Millisecond
	crashDowntime = 3300 * time.Millisecond
)

// newCrashingCell returns a cell in which the runs of some tasks crash their workers.
func newCrashingCell(c *qt.C, workers int, work func(lovagestand.Order) (time.Duration, lovagestand.RunEnding), deadly func(task string) bool, options ...runner.Option) *cell {
	k := newCell(c, 0, nil)
	k.fleet = runner.New(needs, work, append(options, runner.WithCrashes(runner.Crashes{
		By:       func(o lovagestand.Order) (time.Duration, bool) { return crashDelay, deadly(o.Task) },
		Downtime: crashDowntime, Returned: k.returned,
	}))...)
	k.addWorkers(workers)
	return k
}

// returned lists a worker that has returned at the address of a crashed one.
func (k *cell) returned(former lovagestand.WorkerName, w lovagestand.FleetWorker) {
	k.changeList(func(list []lovagestand.FleetWorker) []lovagestand.FleetWorker {
		i := slices.IndexFunc(list, func(e lovagestand.FleetWorker) bool { return e.Name == former })
		w.Address = list[i].Address
		list[i] = w
		return list
	})
}

// isTask returns a function that reports whether a task has one of the names.
func isTask(names ...string) func(string) bool {
	return func(task string) bool { return slices.Contains(names, task) }
}

// maxDeadlyStarts is the number of starts of a task that crashes each worker which
// the users allow: three crashes, and less than three starts after them.
const maxDeadlyStarts = 5

// assertGivenUp checks that a job has failed, that no rule was violated and that each
// of its deadly tasks was started at most maxDeadlyStarts times.
func (k *cell) assertGivenUp(o *owner, id string, deadly func(string) bool) {
	k.c.Helper()
	k.c.Check(k.fleet.Violations(), qt.HasLen, 0)
	assertPhase(k.c, o, id, "failed")
	starts := map[string]int{}
	for _, r := range k.fleet.Runs() {
		if deadly(r.Task) {
			starts[r.Task]++
		}
	}
	for task, n := range starts {
		k.c.Check(n <= maxDeadlyStarts, qt.IsTrue, qt.Commentf("%s was started %d times", task, n))
	}
}

// TestTaskThatCrashesEveryWorkerIsGivenUp guards against a task that is started for ever
// because a run that ends with its worker is not counted.
func TestTaskThatCrashesEveryWorkerIsGivenUp(t *testing.T) {
	gangs := runner.WithGangs(func(o lovagestand.Order) int {
		if strings.HasPrefix(o.Task, id(1)) {
			return 3
		}
		return 0
	})
	for name, test := range map[string]struct {
		step    job.Step
		deadly  func(string) bool
		options []runner.Option
	}{
		"one task of two":      {job.Step{Count: 2}, isTask(id(1) + ".0.0.0"), nil},
		"all tasks":            {job.Step{Count: 3}, isTask(id(1)+".0.0.0", id(1)+".0.0.1", id(1)+".0.0.2"), nil},
		"a member of a gang":   {job.Step{Count: 3, Gang: true}, isTask(id(1) + ".0.0.1"), []runner.Option{gangs}},
		"all members":          {job.Step{Count: 3, Gang: true}, isTask(id(1)+".0.0.0", id(1)+".0.0.1", id(1)+".0.0.2"), []runner.Option{gangs}},
		"a long-running task":  {job.Step{Count: 2, LongRunning: true}, isTask(id(1) + ".0.0.1"), nil},
		"with checkpoints":     {job.Step{Count: 2, Checkpoints: true}, isTask(id(1) + ".0.0.1"), nil},
		"a limit for a worker": {job.Step{Count: 4, MaxPerWorker: 1}, isTask(id(1) + ".0.0.3"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCrashingCell(c, 6, always(time.Second, lovagestand.EndingDone), test.deadly, test.options...)
				o := k.beginReadyTerm("a")
				defer o.stop()
				o.submit(c, id(1), test.step)
				for i := range 20 {
					o.submit(c, id(100+i), job.Step{Count: 2})
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(60 * time.Second)
				k.assertGivenUp(o, id(1), test.deadly)
				for i := range 20 {
					assertPhase(c, o, id(100+i), "completed")
				}
			})
		})
	}
}

// TestCrashesAreCountedAcrossOwners guards against an owner that starts a task again
// as if its former crashes had not happened, or as if the last one, of which its
// predecessor had not learned the outcome, were none.
func TestCrashesAreCountedAcrossOwners(t *testing.T) {
	for name, planned := range map[string]bool{"after a stop": true, "while the former owner continues": false} {
		for _, interval := range []time.Duration{time.Second, 2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 5 * time.Second} {
			t.Run(name+" every "+interval.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					deadly := isTask(id(1) + ".0.0.0")
					k := newCrashingCell(c, 6, always(time.Second, lovagestand.EndingDone), deadly)
					o := k.beginReadyTerm("a")
					o.submit(c, id(1), job.Step{Count: 2})
					for range 8 {
						time.Sleep(interval)
						if planned {
							o.stop()
						} else {
							defer o.stop()
						}
						o = k.beginTerm("b")
					}
					defer o.stop()
					time.Sleep(60 * time.Second)
					k.assertGivenUp(o, id(1), deadly)
				})
			})
		}
	}
}

// TestTasksOfWorkersThatAreCutOffAreNotGivenUp guards against counting the loss of a
// worker that lives as a crash under its tasks.
func TestTasksOfWorkersThatAreCutOffAreNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(8*time.Second, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 3})
		for range 4 {
			time.Sleep(3 * time.Second)
			for _, w := range k.list() {
				k.fleet.SetUnreachable(w.Name, true)
			}
			time.Sleep(14 * time.Second)
			for _, w := range k.list() {
				k.fleet.SetUnreachable(w.Name, false)
			}
		}
		time.Sleep(30 * time.Second)
		assertPhase(c, o, id(1), "completed")
		k.assertNoViolations()
	})
}

// TestTasksOfSilentWorkersAreNotGivenUp guards against counting workers that neither
// answer nor report for a while as crashes under their tasks.
func TestTasksOfSilentWorkersAreNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(12*time.Second, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 1})
		for range 6 {
			time.Sleep(3 * time.Second)
			k.setSilent("w0", true)
			k.fleet.SetUnreachable("w0", true)
			time.Sleep(14 * time.Second)
			k.setSilent("w0", false)
			k.fleet.SetUnreachable("w0", false)
		}
		time.Sleep(40 * time.Second)
		assertPhase(c, o, id(1), "completed")
		k.assertNoViolations()
	})
}

// resetFleet is a fleet to which all connections can be reset.
type resetFleet struct {
	lovagestand.Fleet
	mu  sync.Mutex
	cut context.Context
	end context.CancelFunc
}

func (f *resetFleet) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end()
}

func (f *resetFleet) restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut, f.end = context.WithCancel(context.Background())
}

func (f *resetFleet) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	f.mu.Lock()
	cut := f.cut
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(cut, cancel)()
	reply, err := f.Fleet.Hold(ctx, w, r)
	if cut.Err() != nil {
		return lovagestand.HoldReply{}, &lovagestand.UnavailableError{System: "worker", Reason: "reset"}
	}
	return reply, err
}

// TestSuspicionsOfWorkersThatAreCutOffAreNotCounted guards against an owner that takes a
// run on a worker which its predecessor and it cannot reach for one that has crashed it.
func TestSuspicionsOfWorkersThatAreCutOffAreNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(12*time.Second, lovagestand.EndingDone))
		fleet := &resetFleet{Fleet: k.fleet}
		fleet.restore()
		k.fleetWrapper = fleet
		o := k.beginReadyTerm("a")
		o.submit(c, id(1), job.Step{Count: 1})
		for range 3 {
			for wait := 0; k.fleet.Running() == 0 && wait < 500; wait++ {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			fleet.reset()
			time.Sleep(100 * time.Millisecond)
			o.stop()
			o = k.beginTerm("b")
			time.Sleep(14 * time.Second)
			fleet.restore()
		}
		defer func() { o.stop() }()
		time.Sleep(40 * time.Second)
		assertPhase(c, o, id(1), "completed")
		k.assertNoViolations()
	})
}

// TestSuspectsDoNotKeepOthersWaiting covers the load of more suspects than a pass
// considers steps: jobs behind them must start on the workers that are not on trial.
func TestSuspectsDoNotKeepOthersWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		deadly := func(task string) bool { return task < id(1000) }
		k := newCrashingCell(c, 6, always(time.Second, lovagestand.EndingDone), deadly)
		o := k.beginReadyTerm("a")
		defer o.stop()
		for i := range 300 {
			o.submit(c, id(i), job.Step{Count: 1})
		}
		time.Sleep(50 * time.Second)
		for i := range 10 {
			o.submit(c, id(1000+i), job.Step{Count: 1})
		}
		time.Sleep(15 * time.Second)
		for i := range 10 {
			assertPhase(c, o, id(1000+i), "completed")
		}
	})
}

// TestSuspectsWithoutRoomKeepNoSuspectsWaiting guards against suspects that are never started
// again, on idle workers, behind as many that have no room as a pass considers.
func TestSuspectsWithoutRoomKeepNoSuspectsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 0, always(time.Hour, lovagestand.EndingDone))
		k.join("w0", "b")
		o := k.beginReadyTerm("a")
		defer o.stop()
		submit := func(n, priority, tasks int, label string) {
			step := job.Step{Count: tasks, Label: label, LongRunning: true, Needs: needs(lovagestand.Order{})}
			policy := job.Policy{Route: "quote", Priority: priority, MaxAttempts: 2, Stretch: 2, Target: time.Hour}
			c.Assert(o.submitJob(job.Job{ID: job.ID(id(n)), Policy: policy, Steps: []job.Step{step}}), qt.IsNil)
		}
		submit(0, 0, 4, "b")
		time.Sleep(time.Second)
		k.join("w1", "b")
		time.Sleep(time.Second)
		for n := range 3 {
			submit(1+n, 0, 1, "b")
		}
		submit(4, 2, 1, "")
		time.Sleep(3 * time.Second)
		c.Assert(k.fleet.Starts(), qt.Equals, 8)
		k.join("w2")
		time.Sleep(time.Second)
		k.fleet.Crash("w1")
		k.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
			return slices.DeleteFunc(workers, func(w lovagestand.FleetWorker) bool { return w.Name == "w1" })
		})
		time.Sleep(15 * time.Second)
		c.Assert(k.startsOf(id(4)), qt.Equals, 2, qt.Commentf("the suspect with room was not started again"))
		c.Assert(k.startsOf(id(1)), qt.Equals, 1)
	})
}
