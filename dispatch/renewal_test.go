package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/dispatch"
)

// renewingGang returns a gang whose tickets on two workers are being renewed for the room
// that is free there.
func renewingGang() dispatch.Step {
	return dispatch.Step{
		Tasks: 2, Needs: cores(20), Gang: true, NeedsTickets: true, Candidates: []dispatch.Candidate{{Worker: 0}, {Worker: 1}},
		RunTime: 4 * time.Second, Score: 1, Held: []int{0, 1}, HeldUntil: now.Add(time.Second), AdvicePending: map[int]bool{0: true, 1: true},
	}
}

// TestRoomIsHeldWhileTicketsAreRenewed guards against the load in which steps of higher
// score take the room of a gang during each of its advice calls, so that it never starts.
func TestRoomIsHeldWhileTicketsAreRenewed(t *testing.T) {
	pass := func(other dispatch.Step) []int {
		l := dispatch.Load{Now: now, Workers: emptyWorkers(2), HoldRenewals: true, Steps: []dispatch.Step{renewingGang(), other}}
		return placed(dispatch.Plan(l), 1)
	}
	c := qt.New(t)
	c.Run("longer tasks of higher score get what the gang leaves", func(c *qt.C) {
		c.Assert(pass(dispatch.Step{Tasks: 6, Needs: cores(10), RunTime: 3 * time.Second, Score: 9}), qt.HasLen, 2)
	})
	c.Run("tasks that end before the reply use the room", func(c *qt.C) {
		c.Assert(pass(dispatch.Step{Tasks: 6, Needs: cores(10), RunTime: 900 * time.Millisecond, Score: 9}), qt.HasLen, 6)
	})
	c.Run("the gang starts first once its tickets are there", func(c *qt.C) {
		gang := renewingGang()
		gang.AdvicePending = nil
		gang.Candidates = withTickets(0, 1)
		steps := []dispatch.Step{gang, {Tasks: 6, Needs: cores(10), RunTime: 3 * time.Second, Score: 9}}
		decisions := dispatch.Plan(dispatch.Load{Now: now, Workers: emptyWorkers(2), HoldRenewals: true, Steps: steps})
		c.Assert(placed(decisions, 0), qt.HasLen, 2)
		c.Assert(placed(decisions, 1), qt.HasLen, 2)
	})
	c.Run("the call names the workers that are held and few others", func(c *qt.C) {
		gang := renewingGang()
		gang.Held, gang.AdvicePending, gang.Candidates = nil, nil, nil
		for i := range 40 {
			gang.Candidates = append(gang.Candidates, dispatch.Candidate{Worker: i})
		}
		l := dispatch.Load{Now: now, Workers: emptyWorkers(40), HoldRenewals: true, AdviceCalls: 9, LongAdviceCalls: 9, Steps: []dispatch.Step{gang}}
		decisions := dispatch.Plan(l)
		c.Assert(decisions, qt.HasLen, 1)
		c.Assert(decisions[0].Hold, qt.HasLen, 2)
		c.Assert(len(decisions[0].AdviceFor) <= 4, qt.IsTrue)
	})
}

// TestLongCallsLeaveShortOnes guards against a backlog of gangs that uses up the calls of
// each pass although only few clients serve them, so that urgent steps get no advice.
func TestLongCallsLeaveShortOnes(t *testing.T) {
	c := qt.New(t)
	steps := []dispatch.Step{{Tasks: 1, Needs: cores(1), NeedsTickets: true, Score: 1}}
	for range 30 {
		steps = append(steps, dispatch.Step{Tasks: 4, Needs: cores(4), Gang: true, NeedsTickets: true, LongAdvice: true, AllowedShare: 0.4, Score: 2})
	}
	l := dispatch.Load{Now: now, Workers: emptyWorkers(100), HoldRenewals: true, AdviceCalls: 12, LongAdviceCalls: 4, Steps: steps}
	decisions := dispatch.Plan(l)
	c.Assert(adviceFor(decisions, 0), qt.Not(qt.HasLen), 0)
	c.Assert(decisions, qt.HasLen, 5)
}

// TestExpiredJobsLeaveHeadroom guards against a backlog of jobs that are too late to be of
// use and fill the workers in each trough of the load, so that a burst finds no room.
func TestExpiredJobsLeaveHeadroom(t *testing.T) {
	started := func(step dispatch.Step) int {
		workers := emptyWorkers(10)
		for i := range workers {
			workers[i].Free = cores(8) // A quarter of the processors is free.
		}
		return len(placed(dispatch.Plan(dispatch.Load{Now: now, Workers: workers, ExpiredHeadroom: 0.2, Steps: []dispatch.Step{step}}), 0))
	}
	c := qt.New(t)
	step := dispatch.Step{Tasks: 5, Needs: cores(8), Gang: true, Expired: true, RunTime: 3 * time.Second}
	c.Run("they wait", func(c *qt.C) { c.Assert(started(step), qt.Equals, 0) })
	c.Run("room kept for them is used", func(c *qt.C) {
		kept := step
		kept.Kept = map[int]int{0: 1}
		c.Assert(started(kept), qt.Equals, 5)
	})
	c.Run("short tasks do not wait", func(c *qt.C) {
		short := step
		short.RunTime = time.Second
		c.Assert(started(short), qt.Equals, 5)
	})
	c.Run("others do not wait", func(c *qt.C) {
		step.Expired = false
		c.Assert(started(step), qt.Equals, 5)
	})
	c.Run("they start whatever they need while less than half of all processors is in use", func(c *qt.C) {
		workers := emptyWorkers(17)
		for i := range workers[10:] {
			workers[10+i].Open = false
		}
		l := dispatch.Load{Now: now, Workers: workers, ExpiredHeadroom: 0.2, Steps: []dispatch.Step{{Tasks: 30, Needs: cores(10), Gang: true, Expired: true, RunTime: 3 * time.Second}}}
		c.Assert(placed(dispatch.Plan(l), 0), qt.HasLen, 30)
	})
}
