package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
)

// The tests in this file cover waits that have no end, see docs/design/waits.md.

// TestHeldRoomOfAStepBehindThePassIsHeld guards against a gang of low score whose room is
// held only in the passes that consider it: one in eight while more steps wait than a pass
// considers. The others take the room during the call, and the tickets expire unused.
func TestHeldRoomOfAStepBehindThePassIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWhereShard(4)
		w.Shard.deps.Fleet = startingFleet{}
		gang := whereJob(1, 2, job.Step{Count: 2, Needs: cores(4), Estimate: 4 * time.Second, Gang: true})
		gang.Policy.Advice = job.AdvicePolicy{FixedDuration: 400 * time.Millisecond, PerWorker: 6 * time.Millisecond, Validity: 2500 * time.Millisecond}
		e := w.add(gang)
		st := e.step(job.StepRef{})
		st.advised, st.heldUntil = true, time.Now().Add(time.Second)
		for _, name := range []lovagestand.WorkerName{"w0", "w1"} {
			held := w.workers[name]
			st.held = append(st.held, held)
			st.decided[held] = true
			st.pendingRequests[held]++
			st.setTicket(held, ticket{})
		}
		for i := range maxStepsPerPass + 1 {
			w.add(whereJob(100+i, 0, job.Step{Count: 1, Needs: cores(3), Estimate: 3 * time.Second}))
		}
		for range wholeQueueInterval {
			w.plan()
			time.Sleep(planInterval)
		}
		for _, name := range []lovagestand.WorkerName{"w0", "w1"} {
			c.Check(w.workers[name].free, qt.Equals, cores(4), qt.Commentf("%s is held for the gang", name))
		}
		w.cancel()
		synctest.Wait()
	})
}

// TestCallForAnIdleClientIsMadeThroughOne guards against calls that are to be made through an
// idle client and are dropped in each pass, because a client with a short backlog in the
// owner's region is expected to answer sooner than an idle one elsewhere.
func TestCallForAnIdleClientIsMadeThroughOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWhereShard(2)
		asked := 0
		advise := func(context.Context, string, []lovagestand.WorkerName) (lovagestand.Advice, error) {
			asked++
			return lovagestand.Advice{}, nil
		}
		w.clients = []AdviceClient{{Instance: "near", SameRegion: true, Advise: advise}, {Instance: "far", Advise: advise}}
		w.needAdvice()
		e := w.add(w.job)
		p := w.newPass()
		w.collect(p)
		w.load(p)
		w.adviceSlots["near"] = &adviceSlot{busyUntil: p.now.Add(50 * time.Millisecond)}
		c.Assert(w.idleAdviceClients(p.adviceClients, p.now), qt.Equals, 1)
		w.requestAdvice(p, p.waiting[0], dispatch.Decision{AdviceFor: []int{0}, IfIdle: true})
		synctest.Wait()
		c.Assert(asked, qt.Equals, 1, qt.Commentf("%s: the far client is idle", e.id))
		w.adviceSlots["far"].busyUntil = p.now.Add(time.Millisecond)
		w.requestAdvice(p, p.waiting[0], dispatch.Decision{AdviceFor: []int{0}, IfIdle: true})
		synctest.Wait()
		c.Assert(asked, qt.Equals, 1, qt.Commentf("%s: no client is idle", e.id))
	})
}

// TestRoomIsHeldUntilAllCallsAreAnswered guards against a gang whose room is given away before
// the longest of the calls that renew its tickets is answered.
func TestRoomIsHeldUntilAllCallsAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWhereShard(4)
		advise := func(ctx context.Context, _ string, _ []lovagestand.WorkerName) (lovagestand.Advice, error) {
			<-ctx.Done()
			return lovagestand.Advice{}, ctx.Err()
		}
		for _, instance := range []lovagestand.InstanceID{"a", "b", "c"} {
			w.clients = append(w.clients, AdviceClient{Instance: instance, Advise: advise})
		}
		gang := whereJob(1, 2, job.Step{Count: 4, Needs: cores(4), Estimate: 4 * time.Second, Gang: true})
		gang.Policy.Advice = job.AdvicePolicy{FixedDuration: 400 * time.Millisecond, PerWorker: 100 * time.Millisecond, Validity: 2500 * time.Millisecond}
		e := w.add(gang)
		p := w.newPass()
		w.collect(p)
		w.load(p)
		hold := []int{0, 1, 2, 3}
		for _, call := range [][]int{{0, 1, 2}, {3}} {
			w.requestAdvice(p, p.waiting[0], dispatch.Decision{AdviceFor: call, Hold: hold})
		}
		st := e.step(job.StepRef{})
		c.Assert(st.held, qt.HasLen, 4)
		c.Assert(st.heldUntil.Sub(p.now) >= gang.Policy.Advice.Cost(3), qt.IsTrue, qt.Commentf("held for %s", st.heldUntil.Sub(p.now)))
		w.cancel()
		synctest.Wait()
	})
}

// TestHeldStepsLeaveMostOfThePassToOthers guards against a pass that considers no step but
// those whose room is held.
func TestHeldStepsLeaveMostOfThePassToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWhereShard(1)
		for i := range 2 * maxStepsPerPass {
			e := w.add(whereJob(1+i, 2, job.Step{Count: 2, Needs: cores(4), Estimate: time.Second, Gang: true}))
			if i >= maxStepsPerPass {
				e.step(job.StepRef{}).heldUntil = time.Now().Add(time.Second)
			}
		}
		p := w.newPass()
		w.collect(p)
		p.sortByScore()
		w.limitSteps(p)
		c.Assert(p.waiting, qt.HasLen, maxStepsPerPass)
		held := 0
		for _, s := range p.waiting {
			if p.now.Before(s.entry.step(s.ref).heldUntil) {
				held++
			}
		}
		c.Assert(held, qt.Equals, maxHeldStepsPerPass)
	})
}

// TestStepsWithoutRoomLeaveTheQuotaToOthers guards against steps that stand for the headroom
// of their team in each pass although no worker has room for them, or none that policy allows.
func TestStepsWithoutRoomLeaveTheQuotaToOthers(t *testing.T) {
	for name, block := range map[string]func(w *whereShard, e *jobEntry){
		"the workers are full": func(_ *whereShard, e *jobEntry) { e.progress.JobStep(0).Label = "rare" },
		"policy allows full workers only": func(w *whereShard, e *jobEntry) {
			st := e.step(job.StepRef{})
			st.advised, st.decided[w.workers["w0"]], st.decided[w.workers["w1"]] = true, true, true
			st.setTicket(w.workers["w0"], ticket{until: time.Now().Add(time.Minute)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newWhereShard(2)
				w.Shard.deps.Fleet = startingFleet{}
				w.setCap(2)
				w.workers["w0"].info.Labels = []string{"rare"}
				w.run("w0", "b", 4, time.Hour)
				for i := range 5 {
					j := whereJob(100+i, 0, job.Step{Count: 1, Needs: cores(1), Estimate: time.Second})
					j.Policy.Advice = job.AdvicePolicy{FixedDuration: 50 * time.Millisecond, Validity: time.Minute}
					block(w, w.add(j))
				}
				last := w.add(w.job)
				w.plan()
				c.Assert(last.active, qt.HasLen, 1)
				w.cancel()
				synctest.Wait()
			})
		})
	}
}
