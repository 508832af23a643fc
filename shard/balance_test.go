package shard_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// maxLoadWait is how long a job may wait in a full shard beside an empty one: 2 s before it is
// considered, two polls of the other shard's load, half a second apart, for each of the jobs that
// its room is counted for twice, and the move.
const maxLoadWait = 10 * time.Second

// TestJobsWaitInAFullShardBesideAnEmptyOne guards against gangs that wait in a shard full of long
// tasks while all workers of another one are idle.
func TestJobsWaitInAFullShardBesideAnEmptyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newLoadedShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		for i := range 3 {
			first.current().submit(c, id(2+i), job.Step{Count: 2, Gang: true})
		}
		time.Sleep(maxLoadWait)
		c.Check(second.fleet.Starts(), qt.Equals, 6)
		for i := range 3 {
			first.assertUnknown(c, id(2+i))
			assertPhase(c, second.current(), id(2+i), "running")
		}
		c.Assert(first.fleet.Starts(), qt.Equals, 8)
		first.assertNoViolations()
		second.assertNoViolations()
	})
}

// fillerRunTime is the run time of the tasks of a filler, also as estimated.
const fillerRunTime = 10 * time.Minute

// submitFiller submits a job that takes a number of cores of a shard.
func (o *owner) submitFiller(c *qt.C, text string, tasks int) {
	c.Helper()
	j := job.Job{
		ID: job.ID(text), Policy: job.Policy{Route: "filler", MaxAttempts: 2, Stretch: 2, Target: time.Second},
		Steps: []job.Step{{Count: tasks, Needs: needs(lovagestand.Order{}), Estimate: fillerRunTime}},
	}
	body, err := job.EncodeJob(j)
	c.Assert(err, qt.IsNil)
	c.Assert(o.Submit(c.Context(), j, body, 0), qt.IsNil)
}

// newLoadedShards returns two shards of 8 cores. The first one is full with the filler
// [firstFiller]; the tasks of the job with the first ID run for a second.
func newLoadedShards(c *qt.C, changes ...func(*shard.Deps)) (first, second *movingShard) {
	first, second = newMovingShardsWith(c, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
		if strings.HasPrefix(o.Task, id(1)) {
			return time.Second, lovagestand.EndingDone
		}
		return fillerRunTime, lovagestand.EndingDone
	}, changes...)
	first.current().submitFiller(c, firstFiller, 8)
	time.Sleep(time.Second)
	c.Assert(first.fleet.Starts(), qt.Equals, 8)
	return first, second
}

var firstFiller = id(101)

// TestJobMovesForTheLoad guards against jobs that are lost, run twice or wait for good when they
// are moved to a shard with more room, also while owners change and calls are lost.
func TestJobMovesForTheLoad(t *testing.T) {
	for name, disturb := range moveDisturbances() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				first, second := newLoadedShards(c)
				defer func() { first.current().stop(); second.current().stop() }()
				assertMovesOnce(c, first, second, job.Step{Count: 2, Gang: true}, func() { disturb(first, second, 2*time.Second) })
			})
		})
	}
}

// TestJobIsCancelledWhileItMovesForTheLoad guards against a cancelled job that runs, whether the
// cancellation comes before, during or after its move.
func TestJobIsCancelledWhileItMovesForTheLoad(t *testing.T) {
	for name, after := range map[string]time.Duration{"before": time.Second, "during": 4 * time.Second, "after": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				first, second := newLoadedShards(c)
				defer func() { first.current().stop(); second.current().stop() }()
				second.setLost(func() (bool, bool) { return true, false })
				time.AfterFunc(8*time.Second, func() { second.setLost(nil) })
				first.current().submit(c, id(1), job.Step{Count: 2, LongRunning: true})
				time.Sleep(after)
				// A gateway asks the owners of all shards until one of them knows the job.
				for attempt := range 60 {
					errs := []error{first.current().Cancel(c.Context(), job.ID(id(1)), ""), second.current().Cancel(c.Context(), job.ID(id(1)), "")}
					if slices.Contains(errs, nil) {
						break
					}
					c.Assert(attempt < 59, qt.IsTrue, qt.Commentf("%v", errs))
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				c.Check(first.fleet.Running(), qt.Equals, 8)
				c.Check(second.fleet.Running(), qt.Equals, 0)
			})
		})
	}
}

// TestJobStaysInALoadedShard guards against moves of jobs that have a reason to stay: their data,
// their start time, their team's share of a cap, a task that runs, the load of the other shard.
func TestJobStaysInALoadedShard(t *testing.T) {
	long := job.Job{ID: job.ID(id(1)), Policy: job.Policy{Route: "quote", MaxAttempts: 2, Stretch: 2, Target: time.Second}}
	with := func(change func(j *job.Job)) job.Job {
		j := long
		j.Steps = []job.Step{{Count: 2}}
		change(&j)
		return j
	}
	teams := shard.Teams{Version: 1, Enabled: true, Policies: map[lovagestand.TeamName]lovagestand.TeamPolicy{
		"capped": {Team: "capped", Weight: 1, Quota: &lovagestand.Resources{MilliCPU: 1 << 30, MemoryMiB: 1 << 30, Accelerators: 1 << 30}},
		"free":   {Team: "free", Weight: 1}, "other": {Team: "other", Weight: 1},
	}}
	withTeams := func(d *shard.Deps) { d.Teams = func() (shard.Teams, bool) { return teams, true } }
	for name, test := range map[string]struct {
		job     job.Job
		prepare func(c *qt.C, second *movingShard)
		moves   bool
	}{
		"moves":              {job: with(func(*job.Job) {}), moves: true},
		"data":               {job: with(func(j *job.Job) { j.Steps[0].Affinity = "r1-1" })},
		"data of later step": {job: with(func(j *job.Job) { j.Steps = append(j.Steps, job.Step{Count: 1, Affinity: "r1-1", After: []int{0}}) })},
		"start times":        {job: with(func(j *job.Job) { j.Schedule = job.Schedule{Repeat: 2, Interval: time.Second} })},
		"cap":                {job: with(func(j *job.Job) { j.Team = "capped" })},
		"team without a cap": {job: with(func(j *job.Job) { j.Team = "free" }), moves: true},
		"another team's job has the ID": {
			job: with(func(j *job.Job) { j.Team = "free" }),
			prepare: func(c *qt.C, second *movingShard) {
				j := with(func(j *job.Job) { j.Team = "other" })
				c.Assert(second.current().submitJob(j), qt.IsNil)
			},
		},
		"the other shard is full": {
			job: with(func(*job.Job) {}),
			prepare: func(c *qt.C, second *movingShard) {
				second.current().submitFiller(c, firstFiller, 8)
			},
		},
		"the other shard has room once": {
			job: with(func(*job.Job) {}),
			prepare: func(c *qt.C, second *movingShard) {
				second.current().submitFiller(c, firstFiller, 5)
			},
		},
		"the load of the other shard is not known": {
			job:     with(func(*job.Job) {}),
			prepare: func(_ *qt.C, second *movingShard) { second.loadUnknown.Store(true) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				first, second := newLoadedShards(c, withTeams)
				defer func() { first.current().stop(); second.current().stop() }()
				if test.prepare != nil {
					test.prepare(c, second)
				}
				c.Assert(first.current().submitJob(test.job), qt.IsNil)
				time.Sleep(maxLoadWait)
				phase, err := first.current().Shard.State(c.Context(), test.job.ID, test.job.Team)
				if test.moves {
					var unknown *shard.UnknownJobError
					c.Assert(err, qt.ErrorAs, &unknown)
					return
				}
				c.Assert(err, qt.IsNil)
				c.Assert(phase, qt.Equals, "queued")
			})
		})
	}
}

// TestJobThatLeavesIsNotStarted guards against a job that runs in two shards because the pass that
// moves it also starts its tasks: room and the load of the other shard become known together.
func TestJobThatLeavesIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newLoadedShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		var assured atomic.Bool
		first.changes = []func(*shard.Deps){func(d *shard.Deps) { d.Assured = assured.Load }}
		assured.Store(true)
		first.replaceOwner()
		time.Sleep(2 * time.Second)
		first.current().submit(c, id(2), job.Step{Count: 4, Gang: true})
		first.current().submit(c, id(3), job.Step{Count: 4, Gang: true})
		assured.Store(false)
		c.Assert(first.current().Cancel(c.Context(), job.ID(firstFiller), ""), qt.IsNil)
		time.Sleep(6 * time.Second)
		c.Assert(first.fleet.Running()+second.fleet.Running(), qt.Equals, 0)
		assured.Store(true)
		time.Sleep(maxLoadWait)
		c.Check(first.fleet.Starts(), qt.Equals, 8+4)
		c.Check(second.fleet.Starts(), qt.Equals, 4)
	})
}

// TestJobStaysDuringAnOutage guards against a job that starts nowhere during an outage of the
// store because its move cannot be stored.
func TestJobStaysDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newLoadedShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		first.current().submit(c, id(2), job.Step{Count: 4, Gang: true})
		end := first.outage(keyspace.FaultLostRequest, 12*time.Second)
		c.Assert(first.current().trySubmit(id(3), job.Step{Count: 1}), qt.IsNotNil)
		time.Sleep(6 * time.Second)
		go func() { _ = first.current().Cancel(context.Background(), job.ID(firstFiller), "") }()
		time.Sleep(2 * time.Second)
		c.Assert(time.Now().Before(end), qt.IsTrue)
		c.Check(first.fleet.Starts(), qt.Equals, 8+4)
		c.Check(second.fleet.Starts(), qt.Equals, 0)
	})
}

// TestJobsThatArriveCountBeforeTheLoadIsKnown guards against a shard that is given more jobs than
// it has room for because the first ones have arrived after its load was read.
func TestJobsThatArriveCountBeforeTheLoadIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newLoadedShards(c, func(d *shard.Deps) {
			load := d.Load
			d.Load = func(ctx context.Context, name string) (dispatch.ShardLoad, error) {
				defer pause.For(ctx, 350*time.Millisecond)
				return load(ctx, name)
			}
		})
		defer func() { first.current().stop(); second.current().stop() }()
		second.beforeReceive = func() { time.Sleep(250 * time.Millisecond) }
		first.current().submit(c, id(2), job.Step{Count: 4, Gang: true})
		first.current().submit(c, id(3), job.Step{Count: 4, Gang: true})
		time.Sleep(maxLoadWait)
		c.Check(second.fleet.Starts(), qt.Equals, 4)
		assertPhase(c, first.current(), id(2), "queued")
		assertPhase(c, second.current(), id(3), "running")
	})
}

// TestJobStaysInALoadedShardWhileItRuns guards against a job that runs in two shards because it is
// moved while one of its tasks runs.
func TestJobStaysInALoadedShardWhileItRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newLoadedShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		first.current().submit(c, id(2), job.Step{Count: 2})
		first.current().submitFiller(c, id(102), 7)
		c.Assert(first.current().Cancel(c.Context(), job.ID(firstFiller), ""), qt.IsNil)
		time.Sleep(time.Second)
		first.current().submitFiller(c, id(103), 8)
		time.Sleep(maxLoadWait)
		assertPhase(c, first.current(), id(2), "running")
		assertPhase(c, first.current(), id(103), "queued")
		first.replaceOwner()
		time.Sleep(maxLoadWait)
		assertPhase(c, first.current(), id(2), "running")
		c.Assert(first.fleet.Starts(), qt.Equals, 8+8)
		c.Assert(second.fleet.Starts(), qt.Equals, 0)
	})
}

// TestJobStaysAfterItMovedForTheLoad guards against a job that moves to and fro between two shards
// and runs in neither: just before it arrives in one, this is filled and the other one emptied.
func TestJobStaysAfterItMovedForTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newLoadedShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		var fillers atomic.Int64
		fillers.Store(1)
		fill := func(m *movingShard) {
			c.Check(m.other.current().Cancel(c.Context(), job.ID(id(100+int(fillers.Load()))), ""), qt.IsNil)
			m.current().submitFiller(c, id(100+int(fillers.Add(1))), 8)
			time.Sleep(200 * time.Millisecond)
		}
		first.beforeReceive = func() { fill(first) }
		second.beforeReceive = func() { fill(second) }
		first.current().submit(c, id(1), job.Step{Count: 4, Gang: true})
		time.Sleep(4 * time.Second)
		c.Check(fillers.Load(), qt.Equals, int64(2))
		time.Sleep(3 * time.Second)
		c.Check(fillers.Load(), qt.Equals, int64(2))
		time.Sleep(time.Minute)
		c.Check(fillers.Load(), qt.Equals, int64(3))
		assertPhase(c, first.current(), id(1), "queued")
		c.Assert(first.current().Cancel(c.Context(), job.ID(id(103)), ""), qt.IsNil)
		time.Sleep(5 * time.Second)
		assertPhase(c, first.current(), id(1), "completed")
		c.Assert(first.fleet.Starts()+second.fleet.Starts(), qt.Equals, 3*8+4)
	})
}

// TestCappedBacklogDoesNotHideRoom guards against jobs that stay in a full shard because of
// what cannot start in another one: a backlog that its team's cap holds back waits in a shard that is
// empty but for two cores. It counts as demand there, so that no job moves to the free room.
func TestCappedBacklogDoesNotHideRoom(t *testing.T) {
	teams := shard.Teams{Version: 1, Enabled: true, Policies: map[lovagestand.TeamName]lovagestand.TeamPolicy{
		"capped": {Team: "capped", Weight: 1, Quota: &lovagestand.Resources{MilliCPU: 1000, MemoryMiB: 1 << 30, Accelerators: 1 << 30}},
		"free":   {Team: "free", Weight: 1},
	}}
	for name, backlog := range map[string]int{"without": 0, "with": 40} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				first, second := newLoadedShards(c, func(d *shard.Deps) { d.Teams = func() (shard.Teams, bool) { return teams, true } })
				defer func() { first.current().stop(); second.current().stop() }()
				j := job.Job{ID: job.ID(id(50)), Team: "capped", Policy: job.Policy{Route: "filler", MaxAttempts: 2, Stretch: 2, Target: time.Second}}
				for n := range backlog {
					j.ID = job.ID(id(50 + n))
					j.Steps = []job.Step{{Count: 1, Needs: needs(lovagestand.Order{}), Estimate: fillerRunTime}}
					c.Assert(second.current().submitJob(j), qt.IsNil)
				}
				free := job.Job{ID: job.ID(id(1)), Team: "free", Policy: job.Policy{Route: "quote", MaxAttempts: 2, Stretch: 2, Target: time.Second}, Steps: []job.Step{{Count: 2, Gang: true}}}
				time.Sleep(2 * time.Second)
				c.Assert(first.current().submitJob(free), qt.IsNil)
				time.Sleep(30 * time.Second)
				phase, err := first.current().Shard.State(c.Context(), free.ID, free.Team)
				var unknown *shard.UnknownJobError
				c.Check(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("it is %s in the full shard after 30 s; the other has 7 of 8 cores free", phase))
			})
		})
	}
}
