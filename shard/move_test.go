package shard_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

// movingShard is a shard whose jobs can be moved to another one.
type movingShard struct {
	*cell
	mu    sync.Mutex
	owner *owner
	// lost, if set, returns whether a call for a job from the other shard is lost, and
	// whether only its reply is.
	lost  func() (call, reply bool)
	other *movingShard
	// beforeReceive, if set, is called before a job is accepted from the other shard.
	beforeReceive func()
	// changes are made to the dependencies of each owner.
	changes []func(*shard.Deps)
	// loadUnknown reports whether queries for the load of the shard are not answered.
	loadUnknown atomic.Bool
	// unnamed counts the calls that name no shard.
	unnamed atomic.Int64
}

// newMovingShards returns two shards whose tasks run for a second. Only the workers of the second
// one have the label c.
func newMovingShards(c *qt.C) (first, second *movingShard) {
	return newMovingShardsOf(c, time.Second)
}

// newMovingShardsOf is [newMovingShards] with tasks that run for a time.
func newMovingShardsOf(c *qt.C, runTime time.Duration) (first, second *movingShard) {
	return newMovingShardsWith(c, always(runTime, lovagestand.EndingDone))
}

// newMovingShardsWith is [newMovingShards] with tasks that run and end as a function returns, and
// with changes to the dependencies of each owner.
func newMovingShardsWith(c *qt.C, work func(lovagestand.Order) (time.Duration, lovagestand.RunEnding), changes ...func(*shard.Deps)) (first, second *movingShard) {
	first, second = &movingShard{cell: newCell(c, 2, work)}, &movingShard{cell: newCell(c, 2, work)}
	second.name = "1"
	first.changes, second.changes = changes, changes
	first.other, second.other = second, first
	first.otherShard, second.otherShard = second.cell, first.cell
	second.setLabels("c")
	first.begin()
	second.begin()
	time.Sleep(time.Second)
	return first, second
}

// setLabels gives all workers the same labels.
func (m *movingShard) setLabels(labels ...string) {
	m.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker {
		for i := range workers {
			workers[i].Labels = labels
		}
		return workers
	})
}

// begin begins a term.
func (m *movingShard) begin() {
	o := m.beginTerm("owner", func(d *shard.Deps) {
		d.Move = func(ctx context.Context, name string, id job.ID, value []byte) error {
			if name == "" {
				m.unnamed.Add(1)
				return &shard.NotOwnerError{}
			}
			return m.other.receive(ctx, id, value)
		}
		d.Knows = func(ctx context.Context, _ string, id job.ID) (bool, error) {
			return m.other.current().Knows(ctx, id)
		}
		d.Load = func(context.Context, string) (dispatch.ShardLoad, error) {
			if m.other.loadUnknown.Load() {
				return dispatch.ShardLoad{}, &lovagestand.UnavailableError{System: "owner"}
			}
			return m.other.current().ShardLoad()
		}
		for _, change := range m.changes {
			change(d)
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owner = o
}

// replaceOwner ends the term and begins another one.
func (m *movingShard) replaceOwner() {
	m.current().stop()
	m.begin()
}

func (m *movingShard) current() *owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner
}

// setLost sets which calls are lost; see movingShard.lost.
func (m *movingShard) setLost(lost func() (call, reply bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost = lost
}

func (m *movingShard) receive(ctx context.Context, id job.ID, value []byte) error {
	call, reply := false, false
	m.mu.Lock()
	if m.lost != nil {
		call, reply = m.lost()
	}
	m.mu.Unlock()
	if call {
		<-ctx.Done()
		return ctx.Err()
	}
	if m.beforeReceive != nil {
		m.beforeReceive()
	}
	err := m.current().Receive(ctx, id, value)
	if reply {
		return &lovagestand.UnavailableError{System: "owner"}
	}
	return err
}

func (m *movingShard) assertUnknown(c *qt.C, text string) {
	c.Helper()
	_, err := m.current().State(job.ID(text))
	var unknown *shard.UnknownJobError
	c.Assert(err, qt.ErrorAs, &unknown)
}

// TestJobMovesToTheShardThatCanRunIt guards against jobs that are lost, run twice or wait
// for good when they are moved to another shard, also while owners change and calls are
// lost.
func TestJobMovesToTheShardThatCanRunIt(t *testing.T) {
	for name, disturb := range moveDisturbances() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				first, second := newMovingShards(c)
				defer func() { first.current().stop(); second.current().stop() }()
				assertMovesOnce(c, first, second, job.Step{Count: 2, Label: "c"}, func() { disturb(first, second, time.Second) })
			})
		})
	}
}

// moveDisturbances returns what may happen to a move that begins after about a time.
func moveDisturbances() map[string]func(first, second *movingShard, begins time.Duration) {
	return map[string]func(first, second *movingShard, begins time.Duration){
		"undisturbed": func(_, _ *movingShard, _ time.Duration) {},
		"replies are lost": func(_, second *movingShard, _ time.Duration) {
			count := 0
			second.setLost(func() (bool, bool) { count++; return false, count < 4 })
		},
		"calls are lost": func(_, second *movingShard, _ time.Duration) {
			count := 0
			second.setLost(func() (bool, bool) { count++; return count < 4, false })
		},
		"the first owner changes before the job has arrived": func(first, second *movingShard, begins time.Duration) {
			second.setLost(func() (bool, bool) { return true, false })
			time.AfterFunc(begins+2*time.Second, func() {
				second.setLost(nil)
				first.replaceOwner()
			})
		},
		"the first owner changes after the job has arrived": func(first, second *movingShard, begins time.Duration) {
			second.setLost(func() (bool, bool) { return false, true })
			time.AfterFunc(begins+2*time.Second, func() {
				second.setLost(nil)
				first.replaceOwner()
			})
		},
		"the second owner changes": func(_, second *movingShard, begins time.Duration) {
			time.AfterFunc(begins+500*time.Millisecond, second.replaceOwner)
		},
	}
}

// assertMovesOnce checks that a job with one step of two tasks moves from the first shard to the
// second, runs only there and only once, and that a late duplicate changes nothing.
func assertMovesOnce(c *qt.C, first, second *movingShard, step job.Step, disturb func()) {
	c.Helper()
	starts := first.fleet.Starts()
	first.current().submit(c, id(1), step)
	disturb()
	time.Sleep(30 * time.Second)
	first.assertUnknown(c, id(1))
	assertPhase(c, second.current(), id(1), "completed")
	c.Assert(second.fleet.Starts(), qt.Equals, 2)
	c.Assert(first.fleet.Starts(), qt.Equals, starts)
	c.Assert(first.current().trySubmit(id(1), step), qt.IsNil)
	time.Sleep(10 * time.Second)
	c.Assert(second.fleet.Starts(), qt.Equals, 2)
	first.assertNoViolations()
	second.assertNoViolations()
}

// TestJobIsCancelledBeforeItMoves guards against a job that runs although its cancellation
// has reached the other shard before the job.
func TestJobIsCancelledBeforeItMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		var unknown *shard.UnknownJobError
		c.Assert(second.current().Cancel(c.Context(), job.ID(id(1)), ""), qt.ErrorAs, &unknown)
		first.current().submit(c, id(1), job.Step{Count: 2, Label: "c"})
		time.Sleep(5 * time.Second)
		c.Assert(first.current().Cancel(c.Context(), job.ID(id(1)), ""), qt.ErrorAs, &unknown)
		c.Assert(second.current().Cancel(c.Context(), job.ID(id(1)), ""), qt.IsNil)
		assertPhase(c, second.current(), id(1), "cancelled")
		c.Assert(second.fleet.Starts(), qt.Equals, 0)
	})
}

// TestJobMovesBack guards against a job that is taken for the one that had left the shard
// when it comes back, and against steps that run again after a move.
func TestJobMovesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		first.setLabels("d")
		first.current().submit(c, id(1), job.Step{Count: 1, Label: "c"}, job.Step{Count: 1, Label: "d", After: []int{0}})
		time.Sleep(20 * time.Second)
		assertPhase(c, first.current(), id(1), "completed")
		second.assertUnknown(c, id(1))
		c.Assert(first.fleet.Starts()+second.fleet.Starts(), qt.Equals, 2)
		first.replaceOwner()
		second.replaceOwner()
		time.Sleep(20 * time.Second)
		assertPhase(c, first.current(), id(1), "completed")
		c.Assert(first.fleet.Starts()+second.fleet.Starts(), qt.Equals, 2)
	})
}

// TestJobStaysWhereItCanRun guards against jobs that move although a worker of their shard can
// hold them, and their turn comes soon or nothing is known about the load of the other shard, or
// although no other shard can.
func TestJobStaysWhereItCanRun(t *testing.T) {
	for name, test := range map[string]struct {
		jobs        int
		loadUnknown bool
	}{
		"their turn comes soon":                    {12, false},
		"the load of the other shard is not known": {20, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				first, second := newMovingShards(c)
				defer func() { first.current().stop(); second.current().stop() }()
				second.loadUnknown.Store(test.loadUnknown)
				first.current().submit(c, id(1), job.Step{Count: 1, Label: "nowhere"})
				for i := range test.jobs {
					first.current().submit(c, id(2+i), job.Step{Count: 2, Needs: lovagestand.Resources{MilliCPU: 1000}})
				}
				time.Sleep(10 * time.Second)
				assertPhase(c, first.current(), id(1), "queued")
				for i := range test.jobs {
					assertPhase(c, first.current(), id(2+i), "completed")
				}
				c.Assert(second.fleet.Starts(), qt.Equals, 0)
			})
		})
	}
}

// TestDuplicateOfAJobThatMovedLongAgo guards against a job that runs twice because the shard
// from which it was moved forgot it while it was still running.
func TestDuplicateOfAJobThatMovedLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		step := job.Step{Count: 1, Label: "c", LongRunning: true}
		first.current().submit(c, id(1), step)
		time.Sleep(10 * time.Minute)
		first.setLabels("c")
		time.Sleep(time.Second)
		c.Assert(first.current().trySubmit(id(1), step), qt.IsNil)
		time.Sleep(10 * time.Second)
		c.Check(first.fleet.Starts(), qt.Equals, 0)
		c.Assert(second.current().Cancel(context.Background(), job.ID(id(1)), ""), qt.IsNil)
		time.Sleep(10 * time.Minute)
		c.Check(first.current().Status().Jobs, qt.Equals, 0)
	})
}

// TestJobThatEndsWhileItMoves guards against a job that is unknown after a change of the owner
// because its record names the shard that it was being moved to when a late end completed it.
func TestJobThatEndsWhileItMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		entry := first.list()[0]
		entry.Labels = []string{"c"}
		first.setListEntry(0, entry)
		time.Sleep(time.Second)
		first.current().submit(c, id(1), job.Step{Count: 1, Label: "c"})
		time.Sleep(500 * time.Millisecond)
		first.fleet.SetUnreachable("w0", true)
		first.removeFirst()
		second.setLost(func() (bool, bool) { return true, false })
		time.Sleep(15 * time.Second)
		first.fleet.SetUnreachable("w0", false)
		first.changeList(func(workers []lovagestand.FleetWorker) []lovagestand.FleetWorker { return append(workers, entry) })
		// Passes follow each other, as in a large cell, so that a write may come before the next.
		for range 3000 {
			first.current().SetWorkers(shard.WorkerList{SentAt: time.Now(), Workers: first.list()})
			time.Sleep(time.Millisecond)
		}
		assertPhase(c, first.current(), id(1), "completed")
		first.replaceOwner()
		time.Sleep(3 * time.Second)
		assertPhase(c, first.current(), id(1), "completed")
		c.Assert(first.fleet.Starts()+second.fleet.Starts(), qt.Equals, 1)
	})
}

// TestJobReturnsBeforeItsMoveIsConfirmed guards against an owner that goes on moving a job after
// the job has come back: the other shard has run a step of it, and its replies were lost.
func TestJobReturnsBeforeItsMoveIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		second.setLost(func() (bool, bool) { return false, true })
		second.setLabels("c")
		first.setLabels("d")
		first.current().submit(c, id(1), job.Step{Count: 1, Label: "d"}, job.Step{Count: 1, Label: "c", After: []int{0}}, job.Step{Count: 1, Label: "d", After: []int{1}})
		time.Sleep(30 * time.Second)
		assertPhase(c, first.current(), id(1), "completed")
		c.Check(first.unnamed.Load(), qt.Equals, int64(0))
		c.Assert(first.fleet.Starts()+second.fleet.Starts(), qt.Equals, 3)
	})
}

// TestMoveThatIsNotStored guards against a job that runs in two shards because it was passed on
// before its move was stored.
func TestMoveThatIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		first.current().submit(c, id(1), job.Step{Count: 1, Label: "c"})
		first.lostJob.Store(id(1))
		time.Sleep(3 * time.Second)
		first.current().stop()
		first.lostJob.Store("")
		first.setLabels("c")
		first.begin()
		time.Sleep(10 * time.Second)
		assertPhase(c, first.current(), id(1), "completed")
		c.Assert(first.fleet.Starts()+second.fleet.Starts(), qt.Equals, 1)
	})
}

// TestJobStaysWhileItRuns guards against a job that runs in two shards because it is moved while
// a task of another step runs.
func TestJobStaysWhileItRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShardsOf(c, 5*time.Second)
		defer func() { first.current().stop(); second.current().stop() }()
		first.setLabels("d")
		time.Sleep(time.Second)
		first.current().submit(c, id(1), job.Step{Count: 1, Label: "d"}, job.Step{Count: 1, Label: "c"})
		time.Sleep(40 * time.Second)
		assertPhase(c, second.current(), id(1), "completed")
		c.Assert(first.fleet.Starts(), qt.Equals, 1)
		c.Assert(second.fleet.Starts(), qt.Equals, 1)
	})
}

// TestJobStaysWhileItMayRun guards against a job that runs in two shards because a next owner
// moves it before it knows the runs of its predecessor.
func TestJobStaysWhileItMayRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShardsOf(c, 20*time.Second)
		defer func() { first.current().stop(); second.current().stop() }()
		entry := first.list()[0]
		entry.Labels = []string{"c"}
		first.setListEntry(0, entry)
		time.Sleep(time.Second)
		first.current().submit(c, id(1), job.Step{Count: 1, Label: "c"})
		time.Sleep(time.Second)
		first.fleet.SetUnreachable("w0", true)
		first.removeFirst()
		first.replaceOwner()
		time.Sleep(6 * time.Second)
		c.Assert(first.fleet.Running(), qt.Equals, 1)
		c.Assert(second.fleet.Starts(), qt.Equals, 0)
		time.Sleep(40 * time.Second)
		assertPhase(c, second.current(), id(1), "completed")
	})
}
