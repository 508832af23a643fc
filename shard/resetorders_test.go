package shard_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/standin/runner"
)

// resettingFleet is a fleet in which a worker resets the connections of some orders. Holds
// have a connection that stays open.
type resettingFleet struct {
	*runner.Fleet
	worker lovagestand.WorkerName
	// executes reports whether the worker executes an order whose connection it resets.
	executes bool
	// resets returns whether the connection of the next order is reset.
	resets func() bool
}

func (f *resettingFleet) reset(w lovagestand.FleetWorker) bool {
	return w.Name == f.worker && f.resets()
}

func (f *resettingFleet) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.WorkerClock, error) {
	if !f.reset(w) {
		return f.Fleet.Start(ctx, w, o)
	}
	if f.executes {
		_, _ = f.Fleet.Start(ctx, w, o)
	}
	return lovagestand.WorkerClock{}, &lovagestand.UnavailableError{System: "worker", Reason: "reset", Reset: true}
}

func (f *resettingFleet) Stop(ctx context.Context, w lovagestand.FleetWorker, task string, run int64, epoch lovagestand.Epoch) (lovagestand.WorkerClock, error) {
	if !f.reset(w) {
		return f.Fleet.Stop(ctx, w, task, run, epoch)
	}
	return lovagestand.WorkerClock{}, &lovagestand.UnavailableError{System: "worker", Reason: "reset", Reset: true}
}

// submitTwoTasks submits a job with a task on each of two workers and returns its owner.
func (k *cell) submitTwoTasks(c *qt.C) *owner {
	o := k.beginReadyTerm("a")
	o.submit(c, id(1), job.Step{Count: 2, Needs: lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 100}, Estimate: 300 * time.Millisecond})
	return o
}

// TestWorkerThatResetsOrders guards against tasks that are held for good by a worker that
// answers holds and resets every start and every stop.
func TestWorkerThatResetsOrders(t *testing.T) {
	for name, executes := range map[string]bool{"not executed": false, "executed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 2, always(300*time.Millisecond, lovagestand.EndingDone))
				k.fleetWrapper = &resettingFleet{Fleet: k.fleet, worker: "w0", executes: executes, resets: func() bool { return true }}
				o := k.submitTwoTasks(c)
				defer o.stop()
				time.Sleep(15 * time.Second)
				assertPhase(c, o, id(1), "completed")
				k.assertNoViolations()
			})
		})
	}
}

// TestStartIsRepeatedAfterAReset guards against runs that are stopped because the worker
// had no connection left for their start.
func TestStartIsRepeatedAfterAReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(300*time.Millisecond, lovagestand.EndingDone))
		var orders atomic.Int64
		k.fleetWrapper = &resettingFleet{Fleet: k.fleet, worker: "w0", executes: true, resets: func() bool { return orders.Add(1) == 1 }}
		o := k.submitTwoTasks(c)
		defer o.stop()
		time.Sleep(time.Second)
		assertPhase(c, o, id(1), "completed")
		c.Assert(k.fleet.Starts(), qt.Equals, 2)
		k.assertNoViolations()
	})
}

// lateFleet is a fleet in which the first start on a worker is reset and executed later, and
// the next one is refused.
type lateFleet struct {
	*runner.Fleet
	worker lovagestand.WorkerName
	starts atomic.Int64
}

func (f *lateFleet) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.WorkerClock, error) {
	if w.Name != f.worker {
		return f.Fleet.Start(ctx, w, o)
	}
	switch f.starts.Add(1) {
	case 1:
		time.AfterFunc(800*time.Millisecond, func() { _, _ = f.Fleet.Start(context.Background(), w, o) })
		return lovagestand.WorkerClock{}, &lovagestand.UnavailableError{System: "worker", Reason: "reset", Reset: true}
	case 2:
		return lovagestand.WorkerClock{}, &lovagestand.OrderRefusedError{Worker: w.Name, Reason: lovagestand.RefusalUnhealthy}
	}
	return f.Fleet.Start(ctx, w, o)
}

// TestStartThatIsExecutedAfterItsRepetitionIsRefused guards against tasks that run twice because
// the refusal of a repeated start counted for the first one, too.
func TestStartThatIsExecutedAfterItsRepetitionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(3*time.Second, lovagestand.EndingDone))
		k.fleetWrapper = &lateFleet{Fleet: k.fleet, worker: "w0"}
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 4}, job.Step{Count: 1})
		time.Sleep(15 * time.Second)
		assertPhase(c, o, id(1), "completed")
		k.assertNoViolations()
	})
}

// TestStartThatIsExecutedWhileItsStopIsLost guards against tasks that run twice because a worker
// that does not list a run, whose start it has not confirmed, executes the start later.
func TestStartThatIsExecutedWhileItsStopIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(3*time.Second, lovagestand.EndingDone))
		var late atomic.Bool
		late.Store(true)
		k.fleet.SetFault(func(w lovagestand.WorkerName, order string) runner.Fault {
			switch {
			case w == "w0" && order == "start" && late.Load():
				return runner.FaultLate
			case w == "w0" && order == "stop":
				return runner.FaultLostRequest
			}
			return runner.FaultNone
		})
		o := k.beginReadyTerm("a")
		defer o.stop()
		o.submit(c, id(1), job.Step{Count: 4}, job.Step{Count: 1})
		time.Sleep(2 * time.Second)
		late.Store(false)
		k.fleet.ApplyLate()
		time.Sleep(30 * time.Second)
		assertPhase(c, o, id(1), "completed")
		k.assertNoViolations()
	})
}
