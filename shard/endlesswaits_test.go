package shard_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

// The tests in this file cover waits that have no end, see docs/design/waits.md.

// allowing returns an answer of the policy service that allows some of the workers.
func allowing(allowed ...lovagestand.WorkerName) func(string, []lovagestand.WorkerName) (lovagestand.Advice, error) {
	return func(_ string, workers []lovagestand.WorkerName) (lovagestand.Advice, error) {
		a := lovagestand.Advice{Validity: 2500 * time.Millisecond}
		for _, w := range workers {
			for _, name := range allowed {
				if w == name {
					a.Tickets = append(a.Tickets, lovagestand.Ticket{Worker: w, Value: "allowed"})
				}
			}
		}
		return a, nil
	}
}

// advisedJob returns the first job, whose tasks need tickets.
func advisedJob(step job.Step) job.Job {
	return job.Job{ID: job.ID(id(1)), Policy: job.Policy{
		Route: "quote", MaxAttempts: 2, Stretch: 2, Target: time.Second,
		Advice: job.AdvicePolicy{FixedDuration: 20 * time.Millisecond, Validity: 2500 * time.Millisecond},
	}, Steps: []job.Step{step}}
}

// TestJobMovesIfPolicyAllowsItOnNoWorkerOfItsShard guards against a step that waits for good
// because policy allows it on too few workers of its shard, while another shard is empty.
func TestJobMovesIfPolicyAllowsItOnNoWorkerOfItsShard(t *testing.T) {
	for name, allowed := range map[string][]lovagestand.WorkerName{"on none": nil, "on too few for the gang": {"w0"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				first, second := newMovingShards(c)
				defer func() { first.current().stop(); second.current().stop() }()
				first.advice, second.advice = allowing(allowed...), allowing("w0", "w1")
				c.Assert(first.current().submitJob(advisedJob(job.Step{Count: 6, Gang: true})), qt.IsNil)
				time.Sleep(30 * time.Second)
				c.Assert(first.fleet.Starts()+second.fleet.Starts(), qt.Equals, 6)
			})
		})
	}
}

// TestJobMovesIfItsOnlyWorkerNeverAnswers guards against a step that waits for good for a
// worker that is listed and never answers, such as an entry of another writer, while another
// shard has workers that can hold it.
func TestJobMovesIfItsOnlyWorkerNeverAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		silent := first.startWorker("w9", "c")
		first.fleet.SetUnreachable("w9", true)
		first.enlist(silent)
		second.loadUnknown.Store(true)
		time.Sleep(4 * time.Second)
		first.current().submit(c, id(1), job.Step{Count: 2, Label: "c"})
		time.Sleep(5 * time.Second)
		c.Check(second.fleet.Starts(), qt.Equals, 2, qt.Commentf("a worker that never answers is not waited for as long as one that has"))
		time.Sleep(25 * time.Second)
		c.Assert(first.fleet.Starts()+second.fleet.Starts(), qt.Equals, 2)
	})
}

// movedHook is a fleet in which a worker has restarted at another address, and another
// worker answers at its former one. The hold that was in flight is answered by the latter.
type movedHook struct {
	lovagestand.Fleet
	moved atomic.Bool
}

func (h *movedHook) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	reply, err := h.Fleet.Hold(ctx, w, r)
	if h.moved.Load() && w.Address == "w0" {
		return lovagestand.HoldReply{}, &lovagestand.OrderRefusedError{Worker: w.Name, Reason: lovagestand.RefusalRestarted}
	}
	return reply, err
}

// TestWorkerThatRestartsElsewhereIsFound guards against a worker that stays closed for good:
// its former address refuses holds as that of another worker, and the entry with its new
// address is ignored because the worker does not count as unresponsive.
func TestWorkerThatRestartsElsewhereIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(time.Second, lovagestand.EndingDone))
		hook := &movedHook{Fleet: k.fleet}
		k.fleetWrapper = hook
		o := k.beginReadyTerm("a")
		defer o.stop()
		hook.moved.Store(true)
		entry := k.restartUnlisted(0)
		entry.Address = "moved"
		k.setListEntry(0, entry)
		time.Sleep(30 * time.Second)
		c.Assert(o.Status().OpenWorkers, qt.Equals, 1)
	})
}

// TestCallsThatTakeLongerThanStatedAreAnswered guards against a gang whose calls never return
// in time: the policy service takes 1.8 times as long as stated, and each call that fails is
// followed by one for as many workers with the same timeout.
func TestCallsThatTakeLongerThanStatedAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		policy := job.AdvicePolicy{FixedDuration: 390 * time.Millisecond, PerWorker: 5600 * time.Microsecond, Validity: 2500 * time.Millisecond}
		k := newCell(c, 100, always(time.Second, lovagestand.EndingDone))
		// The service answers one call of an instance at a time.
		turn := make(chan struct{}, 1)
		o := k.beginTerm("a", func(d *shard.Deps) {
			d.AdviceClients = func() []shard.AdviceClient {
				return []shard.AdviceClient{{Instance: "a", SameRegion: true, Advise: func(ctx context.Context, step string, workers []lovagestand.WorkerName) (lovagestand.Advice, error) {
					select {
					case turn <- struct{}{}:
						defer func() { <-turn }()
					case <-ctx.Done():
						return lovagestand.Advice{}, ctx.Err()
					}
					if !pause.For(ctx, policy.Cost(len(workers))*18/10) {
						return lovagestand.Advice{}, ctx.Err()
					}
					return allowing(workers...)(step, workers)
				}}}
			}
		})
		defer o.stop()
		time.Sleep(time.Second)
		for n, tasks := range []int{1, 30} {
			c.Assert(o.submitJob(job.Job{ID: job.ID(id(n)), Policy: job.Policy{Route: "quote", MaxAttempts: 2, Stretch: 2, Target: time.Second, Advice: policy}, Steps: []job.Step{{Count: tasks, Gang: true}}}), qt.IsNil)
		}
		time.Sleep(time.Minute)
		assertPhase(c, o, id(0), "completed")
		assertPhase(c, o, id(1), "completed")
	})
}

// TestJobThatPolicyAllowsNowhereStopsMoving guards against a job that moves for good between
// shards whose workers policy does not allow, and against one that then ignores a worker on
// which it is allowed.
func TestJobThatPolicyAllowsNowhereStopsMoving(t *testing.T) {
	for name, replace := range map[string]bool{"one owner": false, "the owners change": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				first, second := newMovingShards(c)
				defer func() { first.current().stop(); second.current().stop() }()
				var moves atomic.Int64
				for _, m := range []*movingShard{first, second} {
					m.beforeReceive = func() { moves.Add(1) }
					m.advice = allowing("new")
				}
				c.Assert(first.current().submitJob(advisedJob(job.Step{Count: 1})), qt.IsNil)
				for range 4 {
					time.Sleep(10 * time.Second)
					if replace {
						first.replaceOwner()
						second.replaceOwner()
					}
				}
				c.Assert(moves.Load() > 0 && moves.Load() <= 2, qt.IsTrue, qt.Commentf("%d moves between two shards", moves.Load()))
				for _, m := range []*movingShard{first, second} {
					m.join("new")
				}
				time.Sleep(10 * time.Second)
				c.Assert(first.fleet.Starts()+second.fleet.Starts(), qt.Equals, 1)
			})
		})
	}
}

// TestJobReturnsToAShardThatPolicyDeniedWhileItsWorkersWereAway guards against a job that waits
// for good where policy denies it, because another shard had too few workers for a time.
func TestJobReturnsToAShardThatPolicyDeniedWhileItsWorkersWereAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		first.join("third")
		first.advice, second.advice = allowing("w0"), allowing("w0", "back-1", "back-2")
		time.Sleep(2 * time.Second)
		c.Assert(first.current().submitJob(advisedJob(job.Step{Count: 8, Gang: true})), qt.IsNil)
		time.Sleep(20 * time.Second)
		assertPhase(c, first.current(), id(1), "queued")
		second.assertUnknown(c, id(1))
		second.join("back-1")
		second.join("back-2")
		time.Sleep(10 * time.Second)
		c.Assert(second.fleet.Starts(), qt.Equals, 8)
		assertPhase(c, second.current(), id(1), "completed")
	})
}

// TestJobFindsTheWorkerThatAnswers guards against a job that waits in one shard for a worker
// that never answers while that of the other shard does, and against one that moves all the
// time while neither does.
func TestJobFindsTheWorkerThatAnswers(t *testing.T) {
	for name, answering := range map[string]int{"in its shard": 0, "in the other shard": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				first, second := newMovingShards(c)
				defer func() { first.current().stop(); second.current().stop() }()
				var moves atomic.Int64
				shards := []*movingShard{first, second}
				for _, m := range shards {
					m.beforeReceive = func() { moves.Add(1) }
					silent := m.startWorker("w9", "d")
					m.fleet.SetUnreachable("w9", true)
					m.enlist(silent)
				}
				first.current().submit(c, id(1), job.Step{Count: 2, Label: "d"})
				time.Sleep(time.Minute)
				c.Assert(moves.Load() > 0 && moves.Load() <= 6, qt.IsTrue, qt.Commentf("%d moves in a minute", moves.Load()))
				shards[answering].fleet.SetUnreachable("w9", false)
				time.Sleep(3 * time.Minute)
				c.Assert(shards[answering].fleet.Starts(), qt.Equals, 2)
			})
		})
	}
}

// TestJobLeavesAWorkerThatStaysClosed guards against a step that waits for good for a worker
// that has answered and does not any more, and is listed all the same.
func TestJobLeavesAWorkerThatStaysClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		first.join("w9", "c")
		time.Sleep(4 * time.Second)
		c.Assert(first.current().Status().OpenWorkers, qt.Equals, 3)
		second.loadUnknown.Store(true)
		first.fleet.SetUnreachable("w9", true)
		time.Sleep(4 * time.Second)
		first.current().submit(c, id(1), job.Step{Count: 2, Label: "c"})
		time.Sleep(5 * time.Second)
		c.Assert(second.fleet.Starts(), qt.Equals, 0, qt.Commentf("a worker that is away for a short time is waited for"))
		time.Sleep(10 * time.Second)
		c.Assert(second.fleet.Starts(), qt.Equals, 2)
	})
}

// TestJobWaitsForAnAbsentWorkerWherePolicyMayAllowIt guards against a job that moves back and
// forth between a shard in which policy does not allow it and one whose workers do not answer.
func TestJobWaitsForAnAbsentWorkerWherePolicyMayAllowIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShards(c)
		defer func() { first.current().stop(); second.current().stop() }()
		var moves atomic.Int64
		first.beforeReceive, second.beforeReceive = func() { moves.Add(1) }, func() { moves.Add(1) }
		first.advice, second.advice = allowing(), allowing("w0", "w1")
		second.fleet.SetUnreachable("w0", true)
		second.fleet.SetUnreachable("w1", true)
		time.Sleep(15 * time.Second)
		c.Assert(first.current().submitJob(advisedJob(job.Step{Count: 1})), qt.IsNil)
		time.Sleep(time.Minute)
		c.Assert(moves.Load(), qt.Equals, int64(1))
		second.fleet.SetUnreachable("w0", false)
		time.Sleep(10 * time.Second)
		c.Assert(second.fleet.Starts(), qt.Equals, 1)
	})
}
