package dispatch_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

// team returns a team whose quota leaves room for an amount.
func team(headroom lovagestand.Resources) *dispatch.Team {
	return &dispatch.Team{Headroom: &headroom}
}

// TestStepRunsInWavesWithinItsQuota guards against a step that waits until its quota has
// room for all of it, and against advice that it requests for the rest.
func TestStepRunsInWavesWithinItsQuota(t *testing.T) {
	c := qt.New(t)
	t1 := team(cores(10))
	steps := []dispatch.Step{
		{Tasks: 20, Needs: cores(3), NeedsTickets: true, Candidates: withTickets(0, 1, 2), Team: t1},
		{Tasks: 1, Needs: cores(3), NeedsTickets: true, Team: t1},
	}
	decisions := plan(emptyWorkers(4), steps)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(placed(decisions, 0), qt.HasLen, 3)
	c.Assert(*t1.Headroom, qt.Equals, cores(1))
	c.Assert(t1.HeldTasks, qt.Equals, 18)
}

// TestGangNeedsRoomForAllOfItInTheQuota guards against a gang that starts in part, or
// that reserves workers while only its quota holds it back.
func TestGangNeedsRoomForAllOfItInTheQuota(t *testing.T) {
	c := qt.New(t)
	t1 := team(cores(11))
	steps := []dispatch.Step{
		{Tasks: 4, Needs: cores(3), Gang: true, Score: 1, Team: t1},
		{Tasks: 40, Needs: cores(3), RunTime: time.Hour},
	}
	decisions := plan(emptyWorkers(4), steps)
	c.Assert(placed(decisions, 0), qt.HasLen, 0)
	c.Assert(placed(decisions, 1), qt.HasLen, 40)
	c.Assert(t1.HeldTasks, qt.Equals, 4)
}

// TestGangIsNotStarvedWithinItsQuota guards against small steps of a team that use its
// quota up again and again, so that a gang of higher score never has room in it, and
// against room that is left idle although tasks would end before the gang can start.
func TestGangIsNotStarvedWithinItsQuota(t *testing.T) {
	c := qt.New(t)
	releases := func() []dispatch.Release {
		return []dispatch.Release{{At: now.Add(time.Second), Frees: cores(4)}, {At: now.Add(3 * time.Second), Frees: cores(20)}}
	}
	gang := dispatch.Step{Tasks: 4, Needs: cores(3), Gang: true, Score: 2, RunTime: time.Second}
	small := dispatch.Step{Tasks: 30, Needs: cores(1), Score: 1, RunTime: 2 * time.Second}
	for _, r := range []struct {
		name     string
		headroom int64
		runTime  time.Duration
		want     int
		// gangTasks is the size of the gang if it is not 4.
		gangTasks int
	}{
		{name: "no wait of 3 s while half of the quota is free", headroom: 25, runTime: 4 * time.Second, gangTasks: 12, want: 25},
		{name: "long tasks leave the room to the gang", headroom: 8, runTime: 2 * time.Second, want: 0},
		{name: "what the gang does not need is used", headroom: 11, runTime: 2 * time.Second, want: 3},
		{name: "short tasks use the room", headroom: 8, runTime: time.Second, want: 8},
		{name: "the gang waits for more", headroom: 7, runTime: 2 * time.Second, want: 7},
	} {
		c.Run(r.name, func(c *qt.C) {
			t1 := team(cores(r.headroom))
			t1.Releases = releases
			steps := []dispatch.Step{gang, small}
			steps[0].Tasks = max(steps[0].Tasks, r.gangTasks)
			steps[1].RunTime = r.runTime
			steps[0].Team, steps[1].Team = t1, t1
			decisions := plan(emptyWorkers(4), steps)
			c.Assert(placed(decisions, 0), qt.HasLen, 0)
			c.Assert(placed(decisions, 1), qt.HasLen, r.want)
		})
	}
}

// TestFirstAdviceStaysWithinTheQuota guards against a backlog of which each step requests
// advice although the quota has room for only some of them.
func TestFirstAdviceStaysWithinTheQuota(t *testing.T) {
	c := qt.New(t)
	t1 := team(cores(10))
	var steps []dispatch.Step
	for i := range 20 {
		steps = append(steps, dispatch.Step{Tasks: 2, Needs: cores(2), NeedsTickets: true, Gang: i%2 == 0, Team: t1, Score: float64(-i)})
	}
	advised := map[int]bool{}
	for _, d := range plan(emptyWorkers(40), steps) {
		advised[d.Step] = true
	}
	c.Assert(advised, qt.DeepEquals, map[int]bool{0: true, 1: true, 3: true})
}

// TestSelectsBoundsABacklog guards against a backlog that takes the place of other steps
// in a pass, and against one that is never considered.
func TestSelectsBoundsABacklog(t *testing.T) {
	c := qt.New(t)
	t1 := team(cores(10))
	selected := 0
	for range 1000 {
		if t1.Selects(cores(3), 1, false, true) {
			selected++
		}
	}
	c.Assert(selected, qt.Equals, 6)
	c.Assert(t1.HeldTasks, qt.Equals, 994)
	for range 1000 {
		if t1.Selects(cores(3), 1, false, false) {
			selected++
		}
	}
	c.Assert(selected, qt.Equals, 12, qt.Commentf("steps without room are bounded too"))
	gangs := team(cores(10))
	c.Assert(gangs.Selects(cores(3), 4, true, true), qt.IsTrue)
	c.Assert(gangs.Selects(cores(3), 4, true, true), qt.IsFalse)
	c.Assert(team(cores(10)).Selects(cores(3), 4, false, true), qt.IsTrue)
	c.Assert(team(cores(-1)).Selects(lovagestand.Resources{}, 1, false, true), qt.IsFalse)
	unlimited := team(lovagestand.Resources{MilliCPU: 1000, MemoryMiB: math.MaxInt64, Accelerators: math.MaxInt64})
	c.Assert(unlimited.Selects(cores(1), 3, false, true), qt.IsTrue)
	c.Assert((*dispatch.Team)(nil).Selects(cores(1), 3, true, true), qt.IsTrue)
}

// randomTeamStep draws a step. Its needs may be nothing of a resource.
func randomTeamStep(t *rapid.T, workers int) dispatch.Step {
	s := dispatch.Step{
		Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"),
		Needs: lovagestand.Resources{
			MilliCPU: 500 * rapid.Int64Range(0, 12).Draw(t, "cpu"), MemoryMiB: 100 * rapid.Int64Range(0, 6).Draw(t, "memory"),
		},
		Gang: rapid.Bool().Draw(t, "gang"), SameRack: rapid.Bool().Draw(t, "sameRack"),
		NeedsTickets: rapid.Bool().Draw(t, "needsTickets"),
		RunTime:      time.Duration(rapid.IntRange(1, 9000).Draw(t, "runTime")) * time.Millisecond,
		Score:        rapid.Float64Range(0, 9).Draw(t, "score"), AllowedShare: 0.5, RenewAhead: time.Second,
	}
	s.Suspects = rapid.IntRange(0, min(2, s.Tasks)).Draw(t, "suspects")
	if s.NeedsTickets && rapid.Bool().Draw(t, "advised") {
		s.Candidates = []dispatch.Candidate{}
		for i := range workers {
			if rapid.Bool().Draw(t, "allowed") {
				s.Candidates = append(s.Candidates, dispatch.Candidate{Worker: i, HasTicket: rapid.Bool().Draw(t, "ticket")})
			}
		}
	}
	return s
}

// randomTeamLoad draws workers and the releases on them.
func randomTeamLoad(t *rapid.T) dispatch.Load {
	workers := emptyWorkers(rapid.IntRange(1, 9).Draw(t, "workers"))
	for i := range workers {
		workers[i].Free = cores(rapid.Int64Range(0, 32).Draw(t, "free"))
		workers[i].Quiet = rapid.Bool().Draw(t, "quiet")
	}
	return dispatch.Load{
		Now: now, Workers: workers, AdviceCalls: rapid.IntRange(0, 9).Draw(t, "calls"), IdleAdviceClients: rapid.IntRange(0, 3).Draw(t, "idle"),
		Releases: func(i int) []dispatch.Release {
			return []dispatch.Release{{At: now.Add(time.Duration(i) * time.Second), Frees: cores(32).Sub(workers[i].Free)}}
		},
	}
}

// cloned returns the load with its own workers.
func cloned(l dispatch.Load, steps []dispatch.Step) dispatch.Load {
	l.Workers, l.Steps = slices.Clone(l.Workers), steps
	return l
}

// TestPlanStaysWithinQuotas guards against starts beyond the headroom of a team.
func TestPlanStaysWithinQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := randomTeamLoad(t)
		teams := []*dispatch.Team{nil, {}, team(cores(rapid.Int64Range(-3, 60).Draw(t, "headroom1"))), team(cores(rapid.Int64Range(0, 60).Draw(t, "headroom2")))}
		before := make([]lovagestand.Resources, len(teams))
		for i, h := range teams {
			if h != nil && h.Headroom != nil {
				before[i] = *h.Headroom
			}
		}
		owners := make([]int, rapid.IntRange(1, 12).Draw(t, "steps"))
		for i := range owners {
			owners[i] = rapid.IntRange(0, len(teams)-1).Draw(t, "team")
			s := randomTeamStep(t, len(l.Workers))
			s.Team = teams[owners[i]]
			l.Steps = append(l.Steps, s)
		}
		taken := make([]lovagestand.Resources, len(teams))
		starts := make([]int, len(l.Steps))
		for _, d := range dispatch.Plan(l) {
			s := l.Steps[d.Step]
			taken[owners[d.Step]] = taken[owners[d.Step]].Add(s.Needs.Times(int64(len(d.Workers))))
			starts[d.Step] += len(d.Workers)
		}
		for i, h := range teams {
			if h != nil && h.Headroom != nil && !taken[i].IsZero() && !taken[i].Fits(before[i]) {
				t.Fatalf("team %d starts %v, headroom %v", i, taken[i], before[i])
			}
			if h != nil && h.Headroom != nil && !h.Headroom.Add(taken[i]).Fits(before[i]) {
				t.Fatalf("team %d: headroom %v after starts of %v, before %v", i, *h.Headroom, taken[i], before[i])
			}
		}
		for i, s := range l.Steps {
			if s.Gang && starts[i] != 0 && starts[i] != s.Tasks {
				t.Fatalf("%d of %d tasks of a gang start", starts[i], s.Tasks)
			}
		}
	})
}

// TestOthersLoseNothingByAHeldStep guards against steps held back by their quota that
// change any decision for the steps of others.
func TestOthersLoseNothingByAHeldStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := randomTeamLoad(t)
		var others, all []dispatch.Step
		held := team(cores(0))
		positions := map[int]int{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s := randomTeamStep(t, len(l.Workers))
			if rapid.Bool().Draw(t, "held") {
				s.Team, s.Needs = held, s.Needs.Max(lovagestand.Resources{MilliCPU: 1})
				all = append(all, s)
				continue
			}
			positions[len(all)] = len(others)
			all, others = append(all, s), append(others, s)
		}
		want := dispatch.Plan(cloned(l, others))
		got := dispatch.Plan(cloned(l, all))
		for i := range got {
			position, other := positions[got[i].Step]
			if !other {
				t.Fatalf("a held step is decided on: %+v", got[i])
			}
			got[i].Step = position
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("decisions %+v with held steps, %+v without", got, want)
		}
	})
}

// quotaStep is a step of the replayed load.
type quotaStep struct {
	dispatch.Step
	team      string
	arrivedAt time.Time
	waiting   int
}

// quotaRun is a task that runs.
type quotaRun struct {
	team   string
	worker int
	needs  lovagestand.Resources
	endsAt time.Time
}

// replayResult is what a replay measures.
type replayResult struct {
	// waits are how long the steps of other teams waited for the start of their last task,
	// in milliseconds; those that did not start count until the end.
	waits []int64
	// peak is the most processor time that the team with the quota had in use.
	peak int64
}

// mean returns the mean wait in milliseconds.
func (r replayResult) mean() float64 {
	sum := int64(0)
	for _, w := range r.waits {
		sum += w
	}
	return float64(sum) / float64(len(r.waits))
}

// replayBacklog replays 60 s of a load on 20 workers of 32 cores (640 cores): other teams
// request 45% of them, and a team with a quota of 160 cores requests it the given number
// of times over, half in gangs, with higher scores. If naive, the quota is applied only
// to the starts that a pass has decided on.
func replayBacklog(times int, naive bool) replayResult {
	const step = 50 * time.Millisecond
	var result replayResult
	workers := emptyWorkers(20)
	var waiting []*quotaStep
	var running []quotaRun
	used := lovagestand.Resources{}
	quota := cores(160)
	add := func(at time.Time, s dispatch.Step, team string) {
		waiting = append(waiting, &quotaStep{Step: s, team: team, arrivedAt: at, waiting: s.Tasks})
	}
	for tick := range int(60 * time.Second / step) {
		at := now.Add(time.Duration(tick) * step)
		running = slices.DeleteFunc(running, func(r quotaRun) bool {
			if r.endsAt.After(at) {
				return false
			}
			workers[r.worker].Free = workers[r.worker].Free.Add(r.needs)
			if r.team == "p" {
				used = used.Sub(r.needs)
			}
			return true
		})
		// 10 tasks of 4 cores for 2 s each 0.275 s are 290 cores; the quota is requested
		// once over by 8 tasks of 5 cores for 4 s each second.
		if tick%11 == 0 {
			add(at, dispatch.Step{Tasks: 10, Needs: cores(4), RunTime: 2 * time.Second, Gang: tick%22 == 0, Score: 1}, "o")
		}
		if tick%20 == 0 {
			for i := range times {
				add(at, dispatch.Step{Tasks: 8, Needs: cores(5), RunTime: 4 * time.Second, Gang: i%2 == 0, Score: 2}, "p")
			}
		}
		headroom := quota.Sub(used)
		capped := &dispatch.Team{Headroom: &headroom}
		if naive {
			capped = nil
		}
		steps := make([]dispatch.Step, len(waiting))
		for i, w := range waiting {
			steps[i] = w.Step
			steps[i].Tasks = w.waiting
			if w.team == "p" {
				steps[i].Team = capped
			}
		}
		l := dispatch.Load{Now: at, Workers: slices.Clone(workers), Steps: steps, Releases: func(i int) []dispatch.Release {
			var releases []dispatch.Release
			for _, r := range running {
				if r.worker == i {
					releases = append(releases, dispatch.Release{At: r.endsAt, Frees: r.needs})
				}
			}
			slices.SortFunc(releases, func(a, b dispatch.Release) int { return a.At.Compare(b.At) })
			return releases
		}}
		for _, d := range dispatch.Plan(l) {
			w := waiting[d.Step]
			if naive && w.team == "p" && !used.Add(w.Needs.Times(int64(len(d.Workers)))).Fits(quota) {
				continue
			}
			for _, i := range d.Workers {
				workers[i].Free = workers[i].Free.Sub(w.Needs)
				running = append(running, quotaRun{team: w.team, worker: i, needs: w.Needs, endsAt: at.Add(w.RunTime)})
				if w.team == "p" {
					used = used.Add(w.Needs)
				}
				w.waiting--
			}
			if w.waiting == 0 && w.team != "p" {
				result.waits = append(result.waits, at.Sub(w.arrivedAt).Milliseconds())
			}
		}
		waiting = slices.DeleteFunc(waiting, func(w *quotaStep) bool { return w.waiting == 0 })
		result.peak = max(result.peak, used.MilliCPU)
	}
	for _, w := range waiting {
		if w.team != "p" {
			result.waits = append(result.waits, (60*time.Second - w.arrivedAt.Sub(now)).Milliseconds())
		}
	}
	return result
}

// TestReplayOfABacklogAtItsQuota replays a team that requests 7.5 times its quota (in
// whole steps) while others need 45% of the service. There is room for all that may run,
// so the steps of others must wait no longer than beside a team that requests its quota
// once. The naive baseline, which applies the quota after the pass, makes them wait for
// the room that the backlog holds.
func TestReplayOfABacklogAtItsQuota(t *testing.T) {
	c := qt.New(t)
	usual, backlog, naive := replayBacklog(1, false), replayBacklog(8, false), replayBacklog(8, true)
	c.Logf("mean wait of others: usual %.0f ms, backlog %.0f ms, naive %.0f ms; peak %d of 160000", usual.mean(), backlog.mean(), naive.mean(), backlog.peak)
	c.Assert(backlog.peak <= 160000, qt.IsTrue)
	c.Assert(backlog.peak >= 155000, qt.IsTrue, qt.Commentf("the backlog uses its quota: %d", backlog.peak))
	c.Assert(backlog.mean() <= usual.mean(), qt.IsTrue)
	c.Assert(naive.mean() > 10*max(1, backlog.mean()), qt.IsTrue)
	c.Assert(len(backlog.waits), qt.Equals, len(usual.waits))
}
