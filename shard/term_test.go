package shard_test

import (
	"context"
	"slices"
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

// TestFormerOwnerDoesNotReportAJobOfTheNextAsUnknown replays an owner that was replaced
// and has not been told: it must not call a job unknown that the next one took.
func TestFormerOwnerDoesNotReportAJobOfTheNextAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 0, always(time.Second, lovagestand.EndingDone))
		former := k.beginTerm("a")
		defer former.stop()
		var absent *shard.UnknownJobError
		_, err := former.State(job.ID(id(1)))
		c.Assert(err, qt.ErrorAs, &absent)
		later := k.beginTerm("b")
		defer later.stop()
		later.submit(c, id(1), job.Step{Count: 1})
		var notOwner *shard.NotOwnerError
		_, err = former.State(job.ID(id(1)))
		c.Assert(err, qt.ErrorAs, &notOwner)
		assertPhase(c, later, id(1), "queued")
	})
}

// TestJobIsNotReportedUnknownWithoutTheStore replays an outage in which an owner
// cannot tell whether it has been replaced.
func TestJobIsNotReportedUnknownWithoutTheStore(t *testing.T) {
	for name, fault := range map[string]keyspace.Fault{"rejected": keyspace.FaultRejected, "silent": keyspace.FaultLostReply} {
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

// partitionedFleet is the way to the workers of one side of a cut: orders to the others
// get no answer once it is cut.
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

func (f partitionedFleet) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.Clock, error) {
	if err := f.unreachable(ctx, w); err != nil {
		return lovagestand.Clock{}, err
	}
	return f.Fleet.Start(ctx, w, o)
}

func (f partitionedFleet) Stop(ctx context.Context, w lovagestand.FleetWorker, task string, run int64, epoch lovagestand.Epoch) (lovagestand.Clock, error) {
	if err := f.unreachable(ctx, w); err != nil {
		return lovagestand.Clock{}, err
	}
	return f.Fleet.Stop(ctx, w, task, run, epoch)
}

func (f partitionedFleet) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.Holding, error) {
	if err := f.unreachable(ctx, w); err != nil {
		return lovagestand.Holding{}, err
	}
	return f.Fleet.Hold(ctx, w, r)
}

// TestOwnerCutOffWithWorkersReleasesThem replays a region that is cut off with the
// owner in it: the next owner does not reach its workers, and starts their
// tasks anew; so must not the former one those of the workers outside.
func TestOwnerCutOffWithWorkersReleasesThem(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) { runCutOff(t, phase) })
	}
}

// runCutOff has the cut come at a phase of the former owner's holds.
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

// TestWorkerContactedOnceKeepsTheLeaseOfTheFormerOwner replays a next owner that loses
// a worker before it has extended its lease: the former owner's goes on.
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
		k.fleet.Cut("w0", true)
		assured.Store(true)
		time.Sleep(20 * time.Second)
		k.assertNoViolations()
		c.Assert(k.fleet.Running(), qt.Equals, 6)
	})
}

// TestLeaseOfANewIncarnationIsAssumedTheLongest replays a worker that starts again and
// is cut off soon: an end of a lease on its former clock, far ahead of the new
// one, gave it the longest lease there is.
func TestLeaseOfANewIncarnationIsAssumedTheLongest(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) { runRestart(t, phase) })
	}
}

// runRestart has the worker start again at a phase of the holds and of the
// readings of the list.
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
		k.fleet.Cut("w0", true)
		time.Sleep(20 * time.Second)
		k.assertNoViolations()
	})
}

// TestNewIncarnationStartsNothingBeforeItsFirstHold replays a worker that starts again: it
// has seen no epoch, and its clock is not known.
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

// freezingRecorder has an owner stand still between deciding on a start and sending it.
type freezingRecorder struct {
	lovagestand.NoRecorder
	assured *atomic.Bool
}

func (f freezingRecorder) Observe(name, _ string, _ time.Duration) {
	if name == "waits" {
		f.assured.Store(false)
	}
}

// TestResumedOwnerSendsNoEarlierStart replays an owner that is replaced while it
// stands still with starts to be sent: a worker that is born again would take
// them.
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
