package shard_test

import (
	"context"
	"fmt"
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

// connectionFleet is a fleet whose workers keep the connections of owners that have vanished:
// of each owner as many as its orders may leave open.
type connectionFleet struct {
	*runner.Fleet
	mu sync.Mutex
	// left holds how many connections the current owner leaves open to each worker.
	left map[lovagestand.WorkerName]int
}

// defaultKept is how many connections a client keeps open without limits.
const defaultKept = 4

func (f *connectionFleet) record(w lovagestand.FleetWorker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := w.Connections.Kept
	if w.Connections.Open == 0 {
		kept = defaultKept
	}
	f.left[w.Name] = max(f.left[w.Name], kept)
}

// nextOwner returns what the current owner leaves open, and begins with the next one.
func (f *connectionFleet) nextOwner() map[lovagestand.WorkerName]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.left
	f.left = map[lovagestand.WorkerName]int{}
	return left
}

func (f *connectionFleet) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.WorkerClock, error) {
	f.record(w)
	return f.Fleet.Start(ctx, w, o)
}

func (f *connectionFleet) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	f.record(w)
	return f.Fleet.Hold(ctx, w, r)
}

// withMaxConnections states how many connections workers accept.
func withMaxConnections(n int) func(*shard.Deps) {
	return func(d *shard.Deps) {
		d.Services = func() (shard.Services, bool) {
			return shard.Services{MaxConnections: map[string]int{"glazedesk": n}}, true
		}
	}
}

// TestOwnersThatVanishLeaveConnectionsToTheNext guards against owners that together use up the
// connections of all workers by vanishing one after the other, so that no later one reaches any.
func TestOwnersThatVanishLeaveConnectionsToTheNext(t *testing.T) {
	const owners, accepted, restartsAfter = 60, 64, 50
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(300*time.Millisecond, lovagestand.EndingDone))
		fleet := &connectionFleet{Fleet: k.fleet}
		k.fleetWrapper = fleet
		open := map[lovagestand.WorkerName]int{}
		for n := range owners {
			fleet.nextOwner()
			o := k.beginTerm(fmt.Sprint("owner", n), withMaxConnections(accepted))
			time.Sleep(time.Second)
			o.submit(c, id(n), job.Step{Count: 2, Needs: lovagestand.Resources{MilliCPU: 1000, MemoryMiB: 100}, Estimate: 300 * time.Millisecond})
			time.Sleep(2 * time.Second)
			assertPhase(c, o, id(n), "completed")
			o.stop()
			for name, left := range fleet.nextOwner() {
				open[name] += left
				c.Assert(open[name] < accepted, qt.IsTrue, qt.Commentf("%d connections to %s are left by %d owners", open[name], name, n+1))
			}
			if n == restartsAfter {
				// The connections of a worker end with its process.
				k.restart(0)
				delete(open, "w0")
			}
		}
		c.Assert(open["w0"] > owners-restartsAfter, qt.IsTrue, qt.Commentf("connections to a restarted worker are kept again: %v", open))
		k.assertNoViolations()
	})
}

// TestOwnersThatVanishBesideASilentWorker guards against connections to a worker that answers no
// owner and are not counted, so that they are used up once it answers again.
func TestOwnersThatVanishBesideASilentWorker(t *testing.T) {
	const owners, accepted = 30, 64
	for name, term := range map[string]time.Duration{"while its runs are not known": 10 * time.Second, "after its lease": 15 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 1, always(time.Hour, lovagestand.EndingDone))
				fleet := &connectionFleet{Fleet: k.fleet, left: map[lovagestand.WorkerName]int{}}
				k.fleetWrapper = fleet
				o := k.beginTerm("first", withMaxConnections(accepted))
				time.Sleep(time.Second)
				o.submit(c, id(0), job.Step{Count: 1, LongRunning: true})
				time.Sleep(time.Second)
				c.Assert(k.startsOf(id(0)), qt.Equals, 1)
				o.stop()
				k.fleet.SetUnreachable("w0", true)
				left := fleet.nextOwner()["w0"]
				for n := range owners {
					o := k.beginTerm(fmt.Sprint("owner", n), withMaxConnections(accepted))
					time.Sleep(term)
					o.stop()
					left += fleet.nextOwner()["w0"]
					c.Assert(left < accepted, qt.IsTrue, qt.Commentf("%d connections are left by %d owners", left, n+1))
				}
			})
		})
	}
}
