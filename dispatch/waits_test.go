package dispatch_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

// The tests in this file cover waits that have no end, see docs/design/waits.md.

// wideGang returns a gang with one task on each of a number of workers, which policy allows
// on all workers and of which all tickets have expired.
func wideGang(tasks, workers int) dispatch.Step {
	s := dispatch.Step{
		Tasks: tasks, Needs: cores(20), Gang: true, NeedsTickets: true, LongAdvice: true, AllowedShare: 0.9,
		RunTime: 4 * time.Second, RenewAhead: 600 * time.Millisecond, Score: 1, AdviceKnown: func(int) bool { return true },
	}
	for i := range workers {
		s.Candidates = append(s.Candidates, dispatch.Candidate{Worker: i})
	}
	return s
}

// TestGangWiderThanACallStarts guards against a gang on more workers than one call names for
// which the tickets of the same workers are renewed again and again, because each pass may
// make one long call only: one or two clients serve the shard.
func TestGangWiderThanACallStarts(t *testing.T) {
	c := qt.New(t)
	const workers = 110
	gang := wideGang(100, workers)
	asked := map[int]bool{}
	for range 20 {
		l := dispatch.Load{Now: now, Workers: emptyWorkers(workers), HoldRenewals: true, AdviceCalls: 3, LongAdviceCalls: 1, Steps: []dispatch.Step{gang}}
		decisions := dispatch.Plan(l)
		if len(placed(decisions, 0)) > 0 {
			return
		}
		// The answer arrives before the next pass. The tickets of the call before are valid.
		for i := range gang.Candidates {
			gang.Candidates[i].HasTicket = slices.Contains(adviceFor(decisions, 0), i) || asked[i]
		}
		clear(asked)
		for _, i := range adviceFor(decisions, 0) {
			asked[i] = true
		}
	}
	c.Fatalf("the gang has not started after 20 calls in a fleet that is empty")
}

// TestRoomIsHeldDuringAllCallsOfARenewal guards against room that is held only until the last of
// several calls is answered, which names few workers and is answered first.
func TestRoomIsHeldDuringAllCallsOfARenewal(t *testing.T) {
	c := qt.New(t)
	const workers = 110
	l := dispatch.Load{Now: now, Workers: emptyWorkers(workers), HoldRenewals: true, AdviceCalls: 9, LongAdviceCalls: 9, Steps: []dispatch.Step{wideGang(100, workers)}}
	decisions := dispatch.Plan(l)
	c.Assert(decisions, qt.HasLen, 2)
	for _, d := range decisions {
		c.Check(d.Hold, qt.HasLen, 100)
	}
}

// TestCallAheadOfAStartNamesTheReservedWorkers guards against calls that name the first
// workers by name in place of those on which a gang is about to start. While such a call is
// pending, none is made for the reserved workers.
func TestCallAheadOfAStartNamesTheReservedWorkers(t *testing.T) {
	for name, hold := range map[string]bool{"with held renewals": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			const workers, first = 200, 150
			list := emptyWorkers(workers)
			for i := range list {
				list[i].Free = cores(0)
			}
			ends := func(worker int) []dispatch.Release {
				after := time.Minute
				if worker >= first {
					after = 500 * time.Millisecond
				}
				return []dispatch.Release{{At: now.Add(after), Frees: cores(32)}}
			}
			l := dispatch.Load{Now: now, Workers: list, Releases: ends, HoldRenewals: hold, AdviceCalls: 9, LongAdviceCalls: 9, Steps: []dispatch.Step{wideGang(40, workers)}}
			named := adviceFor(dispatch.Plan(l), 0)
			reserved := 0
			for _, i := range named {
				if i >= first {
					reserved++
				}
			}
			c.Assert(reserved >= 40, qt.IsTrue, qt.Commentf("%d of %d workers named are reserved", reserved, len(named)))
		})
	}
}

// TestStepsThatWaitForWorkersLeaveTheQuotaToOthers guards against steps that no worker has
// room for and that stand for the whole headroom of their team in each pass, so that the
// steps behind them are not considered although the quota and other workers have room.
func TestStepsThatWaitForWorkersLeaveTheQuotaToOthers(t *testing.T) {
	c := qt.New(t)
	headroom := cores(10)
	team := &dispatch.Team{Headroom: &headroom}
	workers := emptyWorkers(2)
	workers[0].Labels, workers[0].Free = []string{"rare"}, lovagestand.Resources{}
	var steps []dispatch.Step
	for i := range 6 {
		s := dispatch.Step{Tasks: 1, Needs: cores(4), Score: float64(9 - i), Team: team, RunTime: time.Second}
		if i < 5 {
			s.Label = "rare"
		}
		if team.Selects(s.Needs, s.Tasks, s.Gang, dispatch.Shape{Label: s.Label, Needs: s.Needs}.HasRoom(workers)) {
			steps = append(steps, s)
		}
	}
	started := 0
	for _, d := range plan(workers, steps) {
		started += len(d.Workers)
	}
	c.Assert(started > 0, qt.IsTrue, qt.Commentf("%d of 6 steps are considered; the last one has room on a worker and within the quota", len(steps)))
}

// TestGangBeyondTheCapLeavesTheReservationToOthers guards against a gang that needs more than
// the quota of its team, which was lowered, and that is the one for which room in the quota
// is reserved in each pass.
func TestGangBeyondTheCapLeavesTheReservationToOthers(t *testing.T) {
	c := qt.New(t)
	// The quota is 40 cores; 20 of them are in use.
	headroom := cores(20)
	team := &dispatch.Team{Headroom: &headroom, Releases: func() []dispatch.Release {
		return []dispatch.Release{{At: now.Add(500 * time.Millisecond), Frees: cores(20)}}
	}}
	steps := []dispatch.Step{
		{Tasks: 6, Needs: cores(10), Gang: true, Score: 3, Team: team, RunTime: time.Second},
		{Tasks: 3, Needs: cores(10), Gang: true, Score: 2, Team: team, RunTime: time.Second},
		{Tasks: 20, Needs: cores(1), Score: 1, Team: team, RunTime: 5 * time.Second},
	}
	var selected []dispatch.Step
	for _, s := range steps {
		if team.Selects(s.Needs, s.Tasks, s.Gang, true) {
			selected = append(selected, s)
		}
	}
	small := 0
	for _, d := range plan(emptyWorkers(4), selected) {
		if !selected[d.Step].Gang {
			small += len(d.Workers)
		}
	}
	c.Assert(small <= 10, qt.IsTrue, qt.Commentf("%d small tasks that run for 5 s start; 30 of 40 cores are to be free for the second gang in 0.5 s", small))
}
