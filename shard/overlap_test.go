package shard_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

// TestFormerOwnerStartsNothingOnARestartedWorker guards against tasks that a former owner,
// which is cut off from the store and still assured, starts on a worker that restarts under
// its name after the next owner has read what runs there: the new incarnation has seen no
// epoch.
func TestFormerOwnerStartsNothingOnARestartedWorker(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 25 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) { runRestartInTheOverlap(t, phase) })
	}
}

// runRestartInTheOverlap begins the next term at a phase of the former owner's holds. The former
// owner does not reach w1, and the next one does not reach w0 once it has contacted it.
func runRestartInTheOverlap(t *testing.T, phase time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(6*time.Second, lovagestand.EndingDone))
		var formerCut, nextCut atomic.Bool
		var replacedAt atomic.Int64
		former := k.beginTerm("a", func(d *shard.Deps) {
			d.Fleet = partitionedFleet{Fleet: k.fleet, workers: []lovagestand.WorkerName{"w0"}, cut: &formerCut}
			d.Assured = func() bool {
				at := replacedAt.Load()
				return at == 0 || time.Since(time.UnixMilli(at)) < overlap
			}
		})
		defer former.stop()
		time.Sleep(time.Second)
		formerCut.Store(true)
		time.Sleep(2 * time.Second)
		former.submit(c, id(1), job.Step{Count: 4})
		former.submit(c, id(2), job.Step{Count: 1})
		time.Sleep(500*time.Millisecond + phase)
		c.Assert(k.fleet.Running(), qt.Equals, 4)
		replacedAt.Store(time.Now().UnixMilli())
		next := k.beginTerm("b", func(d *shard.Deps) {
			d.Fleet = partitionedFleet{Fleet: k.fleet, workers: []lovagestand.WorkerName{"w1"}, cut: &nextCut}
		})
		defer next.stop()
		time.Sleep(10 * time.Millisecond)
		nextCut.Store(true)
		k.restart(0)
		time.Sleep(3 * time.Second)
		nextCut.Store(false)
		time.Sleep(40 * time.Second)
		assertPhase(c, next, id(1), "completed")
		assertPhase(c, next, id(2), "completed")
		k.assertNoViolations()
	})
}
