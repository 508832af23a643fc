package shard_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/keyspace"
	"lovagestand.example/lovagestand/standin/runner"
)

// TestFormerOwnerDoesNotReportAJobOfTheNextAsUnknown has an owner that was replaced and
// has not noticed. It must not report a job as unknown that the next owner has accepted.
func TestFormerOwnerDoesNotReportAJobOfTheNextAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 0, always(time.Second, lovagestand.EndingDone))
		former := k.beginTerm("a")
		defer former.stop()
		var unknownJob *shard.UnknownJobError
		_, err := former.State(job.ID(id(1)))
		c.Assert(err, qt.ErrorAs, &unknownJob)
		later := k.beginTerm("b")
		defer later.stop()
		later.submit(c, id(1), job.Step{Count: 1})
		var notOwner *shard.NotOwnerError
		_, err = former.State(job.ID(id(1)))
		c.Assert(err, qt.ErrorAs, &notOwner)
		assertPhase(c, later, id(1), "queued")
	})
}

// TestJobIsNotReportedUnknownWithoutTheStore has an outage of the store during which an
// owner cannot find out whether it has been replaced.
func TestJobIsNotReportedUnknownWithoutTheStore(t *testing.T) {
	for name, fault := range map[string]keyspace.Fault{"rejected": keyspace.FaultRejected, "unresponsive": keyspace.FaultLostReply} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 0, always(time.Second, lovagestand.EndingDone))
				o := k.beginTerm("a")
				defer o.stop()
				k.keys.SetFault(func(string) keyspace.Fault { return fault })
				var notOwner *shard.NotOwnerError
				_, err := o.State(job.ID(id(1)))
				c.Assert(err, qt.ErrorAs, &notOwner)
			})
		})
	}
}

// partitionedFleet is the fleet as seen from one side of a network cut. Once cut is set,
// orders to workers other than those listed get no answer.
type partitionedFleet struct {
	*runner.Fleet
	workers []lovagestand.WorkerName
	cut     *atomic.Bool
}

func (f partitionedFleet) unreachable(ctx context.Context, w lovagestand.FleetWorker) error {
	if !f.cut.Load() || slices.Contains(f.workers, w.Name) {
		return nil
	}
	<-ctx.Done()
	return &lovagestand.UnavailableError{System: "worker", Reason: ctx.Err().Error()}
}

func (f partitionedFleet) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.WorkerClock, error) {
	if err := f.unreachable(ctx, w); err != nil {
		return lovagestand.WorkerClock{}, err
	}
	return f.Fleet.Start(ctx, w, o)
}

func (f partitionedFleet) Stop(ctx context.Context, w lovagestand.FleetWorker, task string, run int64, epoch lovagestand.Epoch) (lovagestand.WorkerClock, error) {
	if err := f.unreachable(ctx, w); err != nil {
		return lovagestand.WorkerClock{}, err
	}
	return f.Fleet.Stop(ctx, w, task, run, epoch)
}

func (f partitionedFleet) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	if err := f.unreachable(ctx, w); err != nil {
		return lovagestand.HoldReply{}, err
	}
	return f.Fleet.Hold(ctx, w, r)
}

// TestOwnerCutOffWithWorkersReleasesThem cuts off a region together with the owner in
// it. The next owner does not reach the workers of the region and starts their tasks
// again on others. The former owner must not start the tasks of the workers outside
// again.
func TestOwnerCutOffWithWorkersReleasesThem(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) { runCutOff(t, phase) })
	}
}

// runCutOff makes the cut at a phase of the former owner's holds.
func runCutOff(t *testing.T, phase time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 4, always(time.Minute, lovagestand.EndingDone))
		var cut atomic.Bool
		var cutAt time.Time
		former := k.beginTerm("a", func(d *shard.Deps) {
			d.Fleet = partitionedFleet{Fleet: k.fleet, workers: []lovagestand.WorkerName{"w0", "w1"}, cut: &cut}
			d.Assured = func() bool { return !cut.Load() || time.Since(cutAt) < overlap }
		})
		defer former.stop()
		time.Sleep(time.Second)
		for i := range 8 {
			former.submit(c, id(i), job.Step{Count: 1})
		}
		time.Sleep(500*time.Millisecond + phase)
		c.Assert(k.fleet.Running(), qt.Equals, 8)
		cutAt = time.Now()
		cut.Store(true)
		later := k.beginTerm("b", func(d *shard.Deps) {
			d.Fleet = partitionedFleet{Fleet: k.fleet, workers: []lovagestand.WorkerName{"w2", "w3"}, cut: &cut}
		})
		defer later.stop()
		time.Sleep(25 * time.Second)
		k.assertNoViolations()
		c.Assert(k.fleet.Running(), qt.Equals, 8)
	})
}

// TestWorkerContactedOnceKeepsTheLeaseOfTheFormerOwner has a next owner that loses the
// connection to a worker before it has extended the worker's lease. The lease from the
// former owner is still in force then.
func TestWorkerContactedOnceKeepsTheLeaseOfTheFormerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 3, always(time.Minute, lovagestand.EndingDone))
		former := k.beginReadyTerm("a")
		defer former.stop()
		for i := range 6 {
			former.submit(c, id(i), job.Step{Count: 1})
		}
		time.Sleep(500 * time.Millisecond)
		var assured atomic.Bool
		later := k.beginTerm("b", func(d *shard.Deps) { d.Assured = assured.Load })
		defer later.stop()
		time.Sleep(500 * time.Millisecond)
		k.fleet.SetUnreachable("w0", true)
		assured.Store(true)
		time.Sleep(20 * time.Second)
		k.assertNoViolations()
		c.Assert(k.fleet.Running(), qt.Equals, 6)
	})
}

// TestLeaseOfANewIncarnationIsAssumedTheLongest has a worker that restarts and is cut
// off soon after. The end of its lease was stated on its former clock, which is far
// ahead of the new one, so the worker has the longest lease that is allowed.
func TestLeaseOfANewIncarnationIsAssumedTheLongest(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) { runRestart(t, phase) })
	}
}

// runRestart restarts the worker at a phase of the holds and of the reads of the list.
func runRestart(t *testing.T, phase time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 3, always(time.Minute, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		defer o.stop()
		time.Sleep(time.Minute + phase)
		k.restart(0)
		time.Sleep(300 * time.Millisecond)
		for i := range 6 {
			o.submit(c, id(i), job.Step{Count: 1})
		}
		time.Sleep(100 * time.Millisecond)
		k.fleet.SetUnreachable("w0", true)
		time.Sleep(20 * time.Second)
		k.assertNoViolations()
	})
}

// TestNewIncarnationStartsNothingBeforeItsFirstHold has a worker that restarts. It must
// get no task before its first hold, because it has seen no epoch and its clock is not
// known.
func TestNewIncarnationStartsNothingBeforeItsFirstHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(time.Second, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		defer o.stop()
		k.fleet.SetFault(func(_ lovagestand.WorkerName, order string) runner.Fault {
			if order == "hold" {
				return runner.FaultLostRequest
			}
			return runner.FaultNone
		})
		k.restart(0)
		time.Sleep(600 * time.Millisecond)
		o.submit(c, id(1), job.Step{Count: 1})
		time.Sleep(300 * time.Millisecond)
		c.Assert(k.fleet.Starts(), qt.Equals, 0)
		k.fleet.SetFault(nil)
		time.Sleep(5 * time.Second)
		assertPhase(c, o, id(1), "completed")
		k.assertNoViolations()
	})
}

// freezingRecorder acts as if an owner were suspended between deciding on a start and
// sending it: the ownership is no longer assured when the start is to be sent.
type freezingRecorder struct {
	lovagestand.NoRecorder
	assured *atomic.Bool
}

func (f freezingRecorder) Observe(name, _ string, _ time.Duration) {
	if name == "waits" {
		f.assured.Store(false)
	}
}

// TestResumedOwnerSendsNoEarlierStart has an owner that is replaced while it is suspended
// with starts to be sent. It must not send them, because a worker that has restarted
// would accept them.
func TestResumedOwnerSendsNoEarlierStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(2*time.Second, lovagestand.EndingDone))
		var assured atomic.Bool
		assured.Store(true)
		former := k.beginTerm("a", func(d *shard.Deps) {
			d.Assured = assured.Load
			d.Recorder = freezingRecorder{assured: &assured}
		})
		defer former.stop()
		time.Sleep(time.Second)
		former.submit(c, id(1), job.Step{Count: 1})
		time.Sleep(100 * time.Millisecond)
		c.Assert(k.fleet.Starts(), qt.Equals, 0)
		later := k.beginTerm("b")
		defer later.stop()
		time.Sleep(10 * time.Second)
		assertPhase(c, later, id(1), "completed")
		c.Assert(k.fleet.Starts(), qt.Equals, 1)
		k.assertNoViolations()
	})
}

// TestFormerOwnerAndARestartedWorker guards against tasks that run twice because a worker that
// has restarted has forgotten the epoch of the next owner: the former one, which counts as
// assured for the overlap, starts a task there that the next one starts elsewhere.
func TestFormerOwnerAndARestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
			if strings.HasPrefix(o.Task, id(1)) {
				return 3 * time.Second, lovagestand.EndingDone
			}
			return 5 * time.Second, lovagestand.EndingDone
		})
		former := k.beginReadyTerm("a")
		defer former.stop()
		former.submit(c, id(1), job.Step{Count: 8})
		former.submit(c, id(2), job.Step{Count: 1})
		time.Sleep(2400 * time.Millisecond)
		fleet := newRefusingFleet(k.fleet)
		k.fleetWrapper = fleet
		next := k.beginTerm("b")
		defer next.stop()
		time.Sleep(200 * time.Millisecond)
		c.Assert(next.Status().FormerTermResolved, qt.IsTrue)
		fleet.cut.Store(true)
		k.delay.Store(int64(400 * time.Millisecond))
		k.restart(0)
		time.Sleep(5 * time.Second)
		k.assertNoViolations()
	})
}
