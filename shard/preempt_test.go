package shard_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/runner"
)

// stoppingFleet is a fleet whose stops take a time and store checkpoints.
type stoppingFleet struct {
	*runner.Fleet
	stopTime time.Duration
	// stop, if set, replaces the order to stop.
	stop func(ctx context.Context, task string, stop func() error) error

	mu       sync.Mutex
	stops    map[string]int
	foreign  []string
	restored int
}

func (f *stoppingFleet) Stop(ctx context.Context, w lovagestand.FleetWorker, task string, run int64, epoch lovagestand.Epoch) (lovagestand.WorkerClock, error) {
	f.mu.Lock()
	f.stops[task]++
	f.mu.Unlock()
	order := func() error {
		_, err := f.Fleet.Stop(ctx, w, task, run, epoch)
		return err
	}
	if f.stop != nil {
		return lovagestand.WorkerClock{}, f.stop(ctx, task, order)
	}
	time.AfterFunc(f.stopTime, func() { _, _ = f.Fleet.Stop(context.Background(), w, task, run, epoch) })
	return lovagestand.WorkerClock{}, nil
}

func (f *stoppingFleet) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	reply, err := f.Fleet.Hold(ctx, w, r)
	for i := range reply.Ended {
		if reply.Ended[i].Ending == lovagestand.EndingStopped {
			reply.Ended[i].Checkpoint = fmt.Sprint("saved by ", reply.Ended[i].Task)
		}
	}
	return reply, err
}

func (f *stoppingFleet) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.WorkerClock, error) {
	f.mu.Lock()
	if o.Checkpoint != "" {
		f.restored++
		if o.Checkpoint != "saved by "+o.Task {
			f.foreign = append(f.foreign, o.Task)
		}
	}
	f.mu.Unlock()
	return f.Fleet.Start(ctx, w, o)
}

// preemptionCell is a cell in which preemption is on. Its first job keeps all workers full
// with batch tasks of 8 s.
type preemptionCell struct {
	*cell
	fleet *stoppingFleet
}

func newPreemptionCell(c *qt.C, workers int) *preemptionCell {
	k := newCell(c, workers, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
		switch {
		case o.Task[:16] != id(1):
			return 500 * time.Millisecond, lovagestand.EndingDone
		case o.Checkpoint != "":
			return 6 * time.Second, lovagestand.EndingDone
		}
		return 8 * time.Second, lovagestand.EndingDone
	})
	fleet := &stoppingFleet{Fleet: k.fleet, stopTime: 150 * time.Millisecond, stops: map[string]int{}}
	k.fleetWrapper = fleet
	return &preemptionCell{cell: k, fleet: fleet}
}

// begin begins a term in which teams are configured.
func (k *preemptionCell) begin(name string) *owner {
	o := k.beginTerm(name, withTeams())
	time.Sleep(time.Second)
	return o
}

// submitBatch submits the batch job that keeps all workers full.
func (k *preemptionCell) submitBatch(o *owner, step job.Step) {
	step.Needs, step.Estimate = needs(lovagestand.Order{}), 8*time.Second
	j := job.Job{ID: job.ID(id(1)), Policy: job.Policy{Route: "plan", Priority: 2, MaxAttempts: 1, Stretch: 4, Target: 20 * time.Second}, Steps: []job.Step{step}}
	body, err := job.EncodeJob(j)
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(o.Submit(context.Background(), j, body, 0), qt.IsNil)
}

// submitUrgent submits a job of the most urgent priority.
func (k *preemptionCell) submitUrgent(o *owner, n, tasks int) {
	k.c.Assert(o.submitJob(job.Job{ID: job.ID(id(n)), Policy: job.Policy{Route: "check", MaxAttempts: 2, Stretch: 1.5, Target: 500 * time.Millisecond}, Steps: []job.Step{{Count: tasks}}}), qt.IsNil)
}

// starts returns how often each task of a job has started.
func (k *preemptionCell) starts(n int) map[string]int {
	starts := map[string]int{}
	for _, r := range k.fleet.Runs() {
		if r.Task[:16] == id(n) {
			starts[r.Task]++
		}
	}
	return starts
}

func (k *preemptionCell) assertNothingLost() {
	k.c.Helper()
	k.assertNoViolations()
	k.fleet.mu.Lock()
	defer k.fleet.mu.Unlock()
	k.c.Assert(k.fleet.foreign, qt.HasLen, 0)
}

// restored returns how many starts were given a checkpoint.
func (k *preemptionCell) restored() int {
	k.fleet.mu.Lock()
	defer k.fleet.mu.Unlock()
	return k.fleet.restored
}

// TestUrgentStepPreemptsBatchTasks guards against urgent steps that are late behind batch
// tasks that could be resumed, against stops of more tasks than needed, and against stops
// that count as failed attempts: the batch job has one.
func TestUrgentStepPreemptsBatchTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newPreemptionCell(c, 2)
		o := k.begin("a")
		defer o.stop()
		k.submitBatch(o, job.Step{Count: 8, Checkpoints: true})
		time.Sleep(2 * time.Second)
		k.submitUrgent(o, 2, 2)
		time.Sleep(1400 * time.Millisecond)
		assertPhase(c, o, id(2), "completed")
		c.Assert(k.stopped(), qt.HasLen, 2)
		time.Sleep(15 * time.Second)
		assertPhase(c, o, id(1), "completed")
		c.Assert(k.restored(), qt.Equals, 2)
		c.Assert(k.fleet.Starts(), qt.Equals, 8+2+2)
		k.assertNothingLost()
	})
}

// TestNothingIsPreempted guards against preemption where it is not asked for or not
// possible.
func TestNothingIsPreempted(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*shard.Deps)
		step   job.Step
	}{
		"without teams":                      {change: func(*shard.Deps) {}, step: job.Step{Count: 8, Checkpoints: true}},
		"without teams in the configuration": {change: func(d *shard.Deps) { d.Teams = func() (shard.Teams, bool) { return shard.Teams{}, true } }, step: job.Step{Count: 8, Checkpoints: true}},
		"without checkpoints":                {change: withTeams(), step: job.Step{Count: 8}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newPreemptionCell(c, 2)
				o := k.beginTerm("a", test.change)
				defer o.stop()
				time.Sleep(time.Second)
				k.submitBatch(o, test.step)
				time.Sleep(2 * time.Second)
				k.submitUrgent(o, 2, 2)
				time.Sleep(20 * time.Second)
				assertPhase(c, o, id(2), "completed")
				c.Assert(k.stopped(), qt.HasLen, 0)
				k.assertNothingLost()
			})
		})
	}
}

// TestStopWithoutReply guards against a preempted task that waits for good or runs twice
// when the reply to the order to stop is lost, or the order itself.
func TestStopWithoutReply(t *testing.T) {
	for name, carriedOut := range map[string]bool{"lost reply": true, "lost order": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newPreemptionCell(c, 1)
				lost := map[string]bool{}
				k.fleet.stop = func(ctx context.Context, task string, stop func() error) error {
					k.fleet.mu.Lock()
					first := !lost[task]
					lost[task] = true
					k.fleet.mu.Unlock()
					if !first {
						return stop()
					}
					if carriedOut {
						_ = stop()
					}
					<-ctx.Done()
					return &lovagestand.UnavailableError{System: "worker", Reason: "timeout"}
				}
				o := k.begin("a")
				defer o.stop()
				k.submitBatch(o, job.Step{Count: 4, Checkpoints: true})
				time.Sleep(2 * time.Second)
				k.submitUrgent(o, 2, 1)
				time.Sleep(2 * time.Second)
				assertPhase(c, o, id(2), "completed")
				time.Sleep(15 * time.Second)
				assertPhase(c, o, id(1), "completed")
				c.Assert(k.restored(), qt.Equals, 1)
				k.assertNothingLost()
			})
		})
	}
}

// TestLateStop guards against room that is kept for good, or given away twice, when a stop
// takes much longer than the platform allows.
func TestLateStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newPreemptionCell(c, 1)
		k.fleet.stopTime = 3 * time.Second
		o := k.begin("a")
		defer o.stop()
		k.submitBatch(o, job.Step{Count: 4, Checkpoints: true})
		time.Sleep(2 * time.Second)
		k.submitUrgent(o, 2, 1)
		time.Sleep(5 * time.Second)
		assertPhase(c, o, id(2), "completed")
		time.Sleep(15 * time.Second)
		assertPhase(c, o, id(1), "completed")
		k.assertNothingLost()
	})
}

// TestPreemptedTaskThatIsDone guards against a task that runs again although it was done
// before the order to stop arrived.
func TestPreemptedTaskThatIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newPreemptionCell(c, 1)
		k.fleet.stop = func(_ context.Context, _ string, stop func() error) error {
			time.Sleep(6 * time.Second)
			return stop()
		}
		o := k.begin("a")
		defer o.stop()
		k.submitBatch(o, job.Step{Count: 4, Checkpoints: true})
		time.Sleep(2500 * time.Millisecond)
		k.submitUrgent(o, 2, 1)
		time.Sleep(10 * time.Second)
		c.Assert(len(k.stopped()) > 0, qt.IsTrue)
		assertPhase(c, o, id(1), "completed")
		assertPhase(c, o, id(2), "completed")
		for task, n := range k.starts(1) {
			c.Assert(n, qt.Equals, 1, qt.Commentf("%s", task))
		}
		k.assertNothingLost()
	})
}

// TestTakeoverDuringPreemption guards against a preempted task that is lost, runs twice or
// loses its checkpoint when the owner changes before or after the end of its run is listed.
func TestTakeoverDuringPreemption(t *testing.T) {
	for name, test := range map[string]struct{ after, gap time.Duration }{
		"while stopping":           {after: 50 * time.Millisecond},
		"before the end is listed": {after: 50 * time.Millisecond, gap: 500 * time.Millisecond},
		"while waiting":            {after: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newPreemptionCell(c, 1)
				o := k.begin("a")
				k.submitBatch(o, job.Step{Count: 4, Checkpoints: true})
				time.Sleep(2 * time.Second)
				k.submitUrgent(o, 2, 1)
				for n := 0; len(k.stopped()) == 0 && n < 200; n++ {
					time.Sleep(10 * time.Millisecond)
				}
				c.Assert(k.stopped(), qt.HasLen, 1)
				time.Sleep(test.after)
				o.stop()
				time.Sleep(test.gap)
				o = k.begin("b")
				defer o.stop()
				time.Sleep(20 * time.Second)
				assertPhase(c, o, id(1), "completed")
				assertPhase(c, o, id(2), "completed")
				c.Assert(k.restored() >= 1, qt.IsTrue, qt.Commentf("a checkpoint was lost"))
				k.assertNothingLost()
			})
		})
	}
}

// stopped returns the tasks that were ordered to stop.
func (k *preemptionCell) stopped() []string {
	k.fleet.mu.Lock()
	defer k.fleet.mu.Unlock()
	var tasks []string
	for task := range k.fleet.stops {
		tasks = append(tasks, task)
	}
	return tasks
}

// TestGangIsPreemptedWhole guards against a gang of which some members are stopped and
// others keep waiting for them.
func TestGangIsPreemptedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newPreemptionCell(c, 2)
		k.fleet.Fleet = runner.New(needs, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			if o.Task[:16] == id(1) {
				return 8 * time.Second, lovagestand.EndingDone
			}
			return 500 * time.Millisecond, lovagestand.EndingDone
		}, runner.WithGangs(func(o lovagestand.Order) int {
			if strings.HasPrefix(o.Task, id(1)) {
				return 8
			}
			return 0
		}))
		k.cell.fleet, k.workers = k.fleet.Fleet, nil
		k.addWorkers(2)
		o := k.begin("a")
		defer o.stop()
		k.submitBatch(o, job.Step{Count: 8, Checkpoints: true, Gang: true})
		time.Sleep(2 * time.Second)
		k.submitUrgent(o, 2, 8)
		time.Sleep(3 * time.Second)
		assertPhase(c, o, id(2), "completed")
		c.Assert(len(k.stopped()) > 0, qt.IsTrue)
		time.Sleep(15 * time.Second)
		assertPhase(c, o, id(1), "completed")
		for _, r := range k.fleet.Runs() {
			c.Assert(r.Ending, qt.Not(qt.Equals), lovagestand.EndingAlone, qt.Commentf("%s", k.fleet.Describe(r)))
		}
		k.assertNoViolations()
	})
}

// TestPreemptionWithAdvice guards against stops on workers on which the urgent step may not
// start, and against room that comes free after its ticket has expired: the urgent job
// arrives while its first tickets are too short for a stop.
func TestPreemptionWithAdvice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newPreemptionCell(c, 3)
		calls := 0
		k.advice = func(_ string, workers []lovagestand.WorkerName) (lovagestand.Advice, error) {
			calls++
			advice := lovagestand.Advice{Validity: 2500 * time.Millisecond}
			if calls == 1 {
				advice.Validity = 200 * time.Millisecond
			}
			for _, w := range workers {
				if w == "w1" {
					advice.Tickets = append(advice.Tickets, lovagestand.Ticket{Worker: w, Value: "allowed"})
				}
			}
			return advice, nil
		}
		o := k.begin("a")
		defer o.stop()
		k.submitBatch(o, job.Step{Count: 12, Checkpoints: true})
		time.Sleep(2 * time.Second)
		k.c.Assert(o.submitJob(job.Job{ID: job.ID(id(2)), Policy: job.Policy{
			Route: "check", MaxAttempts: 2, Stretch: 1.5, Target: 500 * time.Millisecond,
			Advice: job.AdvicePolicy{FixedDuration: 20 * time.Millisecond, Validity: 2500 * time.Millisecond},
		}, Steps: []job.Step{{Count: 2}}}), qt.IsNil)
		time.Sleep(1500 * time.Millisecond)
		assertPhase(c, o, id(2), "completed")
		c.Assert(k.stopped(), qt.HasLen, 2)
		for _, r := range k.fleet.Runs() {
			if r.Ending == lovagestand.EndingStopped || r.Task[:16] == id(2) {
				c.Assert(r.Worker, qt.Equals, lovagestand.WorkerName("w1"))
			}
		}
		k.assertNothingLost()
	})
}
