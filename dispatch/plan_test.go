package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

var now = time.UnixMilli(1_700_000_000_000)

// plan runs a pass in which no running task is expected to end.
func plan(workers []dispatch.Worker, steps []dispatch.Step) []dispatch.Decision {
	return dispatch.Plan(dispatch.Load{Now: now, Workers: workers, Steps: steps, AdviceCalls: 100})
}

func cores(n int64) lovagestand.Resources {
	return lovagestand.Resources{MilliCPU: n * 1000, MemoryMiB: n * 100}
}

// emptyWorkers returns n idle workers of 32 cores, four to a rack.
func emptyWorkers(n int) []dispatch.Worker {
	workers := make([]dispatch.Worker, n)
	for i := range workers {
		workers[i] = dispatch.Worker{
			Rack: lovagestand.RackName(fmt.Sprintf("r1-%d", i/4)), Capacity: cores(32), Free: cores(32), Open: true, Slowness: 1,
		}
	}
	return workers
}

func withTickets(workers ...int) []dispatch.Candidate {
	var out []dispatch.Candidate
	for _, w := range workers {
		out = append(out, dispatch.Candidate{Worker: w, HasTicket: true})
	}
	return out
}

func placed(decisions []dispatch.Decision, step int) []int {
	var workers []int
	for _, d := range decisions {
		if d.Step == step {
			workers = append(workers, d.Workers...)
		}
	}
	return workers
}

func adviceFor(decisions []dispatch.Decision, step int) []int {
	var workers []int
	for _, d := range decisions {
		if d.Step == step {
			workers = append(workers, d.AdviceFor...)
		}
	}
	return workers
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	workers := emptyWorkers(2)
	steps := []dispatch.Step{{Tasks: 7, Needs: cores(9), Gang: true, RunTime: time.Second}}
	c.Assert(placed(plan(workers, steps), 0), qt.HasLen, 0)
	c.Assert(workers[0].Free, qt.Equals, cores(32))
	steps[0].Tasks = 6
	c.Assert(placed(plan(workers, steps), 0), qt.HasLen, 6)
}

func TestTasksStayWithTheServiceOfTheirRoute(t *testing.T) {
	c := qt.New(t)
	workers := func() []dispatch.Worker {
		workers := emptyWorkers(3)
		for i, service := range []string{"glazedesk", "ledger", "glazedesk"} {
			workers[i].Service = service
		}
		return workers
	}
	step := dispatch.Step{Tasks: 9, Needs: cores(10), Service: "ledger", RunTime: time.Second}
	c.Assert(placed(plan(workers(), []dispatch.Step{step}), 0), qt.DeepEquals, []int{1, 1, 1})
	step.NeedsTickets = true
	c.Assert(adviceFor(plan(workers(), []dispatch.Step{step}), 0), qt.DeepEquals, []int{1})
}

func TestHigherScoreGoesFirst(t *testing.T) {
	c := qt.New(t)
	steps := []dispatch.Step{
		{Tasks: 3, Needs: cores(10), Score: 1},
		{Tasks: 3, Needs: cores(10), Score: 2},
	}
	decisions := plan(emptyWorkers(1), steps)
	c.Assert(placed(decisions, 0), qt.HasLen, 0)
	c.Assert(placed(decisions, 1), qt.HasLen, 3)
}

func TestWaitingGangReservesWorkers(t *testing.T) {
	c := qt.New(t)
	busy := func(steps []dispatch.Step) []dispatch.Decision {
		workers := emptyWorkers(1)
		workers[0].Free = cores(16)
		return dispatch.Plan(dispatch.Load{
			Now: now, Workers: workers, Steps: steps,
			Releases: func(int) []dispatch.Release {
				return []dispatch.Release{{At: now.Add(2 * time.Second), Frees: cores(16)}}
			},
		})
	}
	gang := dispatch.Step{Tasks: 3, Needs: cores(10), Gang: true, Score: 2, RunTime: time.Second}
	c.Run("longer tasks wait for the gang", func(c *qt.C) {
		steps := []dispatch.Step{gang, {Tasks: 1, Needs: cores(3), Score: 1, RunTime: 5 * time.Second}}
		c.Assert(placed(busy(steps), 1), qt.HasLen, 0)
	})
	c.Run("longer tasks take what the gang leaves", func(c *qt.C) {
		steps := []dispatch.Step{gang, {Tasks: 3, Needs: cores(1), Score: 1, RunTime: 5 * time.Second}}
		c.Assert(placed(busy(steps), 1), qt.HasLen, 2, qt.Commentf("32 cores less three times 10"))
	})
	c.Run("shorter tasks fill the gap", func(c *qt.C) {
		steps := []dispatch.Step{gang, {Tasks: 1, Needs: cores(2), Score: 1, RunTime: time.Second}}
		c.Assert(placed(busy(steps), 1), qt.HasLen, 1)
	})
}

func TestAdvice(t *testing.T) {
	c := qt.New(t)
	c.Run("is requested before the first start", func(c *qt.C) {
		decisions := plan(emptyWorkers(4), []dispatch.Step{{Tasks: 1, Needs: cores(1), NeedsTickets: true}})
		c.Assert(adviceFor(decisions, 0), qt.HasLen, 4)
		c.Assert(placed(decisions, 0), qt.HasLen, 0)
	})
	c.Run("is not requested while a call is pending", func(c *qt.C) {
		decisions := plan(emptyWorkers(4), []dispatch.Step{{Tasks: 1, Needs: cores(1), NeedsTickets: true, AdvicePending: map[int]bool{0: true}}})
		c.Assert(decisions, qt.HasLen, 0)
	})
	c.Run("limits where tasks start", func(c *qt.C) {
		steps := []dispatch.Step{{Tasks: 2, Needs: cores(1), NeedsTickets: true, Candidates: withTickets(2)}}
		c.Assert(placed(plan(emptyWorkers(4), steps), 0), qt.DeepEquals, []int{2, 2})
	})
	c.Run("is renewed when tickets have expired", func(c *qt.C) {
		steps := []dispatch.Step{
			{Tasks: 1, Needs: cores(32), Score: 2, NeedsTickets: true, Candidates: []dispatch.Candidate{{Worker: 0}}},
			{Tasks: 1, Needs: cores(1), Score: 1},
		}
		decisions := plan(emptyWorkers(1), steps)
		c.Assert(adviceFor(decisions, 0), qt.DeepEquals, []int{0})
		c.Assert(placed(decisions, 1), qt.HasLen, 0, qt.Commentf("the room is kept for the step"))
	})
	c.Run("is requested for more workers when the step is infeasible on those allowed", func(c *qt.C) {
		steps := []dispatch.Step{{
			Tasks: 4, Needs: cores(10), Gang: true, NeedsTickets: true, Candidates: withTickets(0), AdviceKnown: func(worker int) bool { return worker == 0 },
		}}
		workers := adviceFor(plan(emptyWorkers(3), steps), 0)
		slices.Sort(workers)
		c.Assert(workers, qt.DeepEquals, []int{1, 2})
	})
}

// TestGangRequestsMoreAdviceWhenItNearlyFits covers a high load of gangs: each
// worker has room for one task, and fewer of the workers named so far are allowed
// than the gang has tasks. Further advice is requested only if it is likely to make
// the gang fit.
func TestGangRequestsMoreAdviceWhenItNearlyFits(t *testing.T) {
	gang := func(tasks int) []int {
		workers := emptyWorkers(30)
		for i := range workers {
			workers[i].Free = cores(6)
		}
		step := dispatch.Step{
			Tasks: tasks, Needs: cores(5), Gang: true, NeedsTickets: true, RunTime: time.Second, AllowedShare: 1.0 / 3,
			Candidates: withTickets(0, 3, 6, 9), AdviceKnown: func(worker int) bool { return worker < 12 },
		}
		return adviceFor(plan(workers, []dispatch.Step{step}), 0)
	}
	c := qt.New(t)
	c.Assert(gang(4), qt.HasLen, 0, qt.Commentf("it fits"))
	c.Assert(gang(10), qt.HasLen, 18, qt.Commentf("4 allowed and a third of 18 more"))
	c.Assert(gang(11), qt.HasLen, 0, qt.Commentf("the other workers would not suffice"))
}

// TestGangRequestsAdviceForAsManyWorkersAsItMayNeed covers a high load: each worker
// has room for one task, and policy allows a third of the workers.
// TestWaitingStepAsksAboutMoreWorkersWhileClientsAreIdle guards against a step that
// waits for good on the workers it is allowed on, which others keep full, while policy
// has not been asked about other workers.
func TestWaitingStepAsksAboutMoreWorkersWhileClientsAreIdle(t *testing.T) {
	c := qt.New(t)
	load := func(idle int, steps ...dispatch.Step) dispatch.Load {
		workers := emptyWorkers(8)
		for i := range 4 {
			workers[i].Free = cores(1)
		}
		return dispatch.Load{Now: now, Workers: workers, Steps: steps, AdviceCalls: 100, IdleAdviceClients: idle}
	}
	known := func(worker int) bool { return worker < 4 }
	gang := dispatch.Step{
		Tasks: 6, Needs: cores(10), Gang: true, NeedsTickets: true, AllowedShare: 0.1, RunTime: time.Second,
		Candidates: withTickets(0, 1, 2, 3), AdviceKnown: known,
	}
	c.Run("not while all clients are busy", func(c *qt.C) {
		c.Assert(adviceFor(dispatch.Plan(load(0, gang)), 0), qt.HasLen, 0)
	})
	c.Run("about the workers that policy was not asked about", func(c *qt.C) {
		asked := adviceFor(dispatch.Plan(load(1, gang)), 0)
		slices.Sort(asked)
		c.Assert(asked, qt.DeepEquals, []int{4, 5, 6, 7})
	})
	c.Run("not while a call is pending", func(c *qt.C) {
		pending := gang
		pending.AdvicePending = map[int]bool{7: true}
		c.Assert(adviceFor(dispatch.Plan(load(1, pending)), 0), qt.HasLen, 0)
	})
	c.Run("the higher score first", func(c *qt.C) {
		other := gang
		other.Score = 1
		decisions := dispatch.Plan(load(1, gang, other))
		c.Assert(adviceFor(decisions, 0), qt.HasLen, 0)
		c.Assert(adviceFor(decisions, 1), qt.HasLen, 4)
	})
	c.Run("after the calls that must be made", func(c *qt.C) {
		first := dispatch.Step{Tasks: 1, Needs: cores(1), NeedsTickets: true}
		decisions := dispatch.Plan(load(1, gang, first))
		c.Assert(adviceFor(decisions, 0), qt.HasLen, 0)
		c.Assert(adviceFor(decisions, 1), qt.HasLen, 8)
	})
}

func TestGangRequestsAdviceForAsManyWorkersAsItMayNeed(t *testing.T) {
	c := qt.New(t)
	workers := emptyWorkers(350)
	for i := range workers {
		workers[i].Free = cores(6)
	}
	calls := func(tasks int, gang bool) []int {
		step := dispatch.Step{Tasks: tasks, Needs: cores(5), Gang: gang, NeedsTickets: true, AllowedShare: 1.0 / 3}
		var sizes []int
		for _, d := range plan(slices.Clone(workers), []dispatch.Step{step}) {
			sizes = append(sizes, len(d.AdviceFor))
		}
		return sizes
	}
	c.Assert(calls(30, true), qt.DeepEquals, []int{96, 39}, qt.Commentf("1.5 times 30 tasks, with a third of the workers allowed"))
	c.Assert(calls(200, true), qt.DeepEquals, []int{96, 96, 96})
	c.Assert(calls(4, true), qt.DeepEquals, []int{48})
	c.Assert(calls(200, false), qt.DeepEquals, []int{96})
}

// TestRoomStaysReservedWhileAdviceIsPending checks that a gang whose tickets have
// expired keeps its room while the advice call for new tickets is pending.
func TestRoomStaysReservedWhileAdviceIsPending(t *testing.T) {
	c := qt.New(t)
	workers := emptyWorkers(3)
	for i, free := range []int64{20, 10, 10} {
		workers[i].Free = cores(free)
	}
	steps := []dispatch.Step{
		{
			Tasks: 2, Needs: cores(10), Gang: true, Score: 2, NeedsTickets: true, RunTime: time.Second,
			Candidates: []dispatch.Candidate{{Worker: 0}, {Worker: 1}, {Worker: 2}}, AdvicePending: map[int]bool{0: true},
		},
		{Tasks: 4, Needs: cores(10), Score: 1, RunTime: time.Second},
	}
	c.Assert(placed(plan(workers, steps), 1), qt.DeepEquals, []int{1, 2})
}

func TestMaxPerWorker(t *testing.T) {
	c := qt.New(t)
	steps := []dispatch.Step{{Tasks: 5, Needs: cores(1), MaxPerWorker: 2, Placed: map[int]int{0: 1}}}
	c.Assert(placed(plan(emptyWorkers(2), steps), 0), qt.HasLen, 3)
}

func TestLabelAndAvoid(t *testing.T) {
	c := qt.New(t)
	workers := emptyWorkers(3)
	workers[1].Labels = []string{"b"}
	c.Assert(placed(plan(workers, []dispatch.Step{{Tasks: 1, Needs: cores(1), Label: "b"}}), 0), qt.DeepEquals, []int{1})
	steps := []dispatch.Step{{Tasks: 1, Needs: cores(1), Avoid: map[int]bool{0: true, 1: true}}}
	c.Assert(placed(plan(emptyWorkers(3), steps), 0), qt.DeepEquals, []int{2})
}

// TestPlanStaysWithinCapacity adds up the resources that the decisions for random
// loads use, and checks that they fit and that gangs start as a whole.
func TestPlanStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := emptyWorkers(rapid.IntRange(1, 8).Draw(t, "workers"))
		for i := range workers {
			workers[i].Free = cores(rapid.Int64Range(0, 32).Draw(t, "free"))
			workers[i].Open = rapid.IntRange(0, 4).Draw(t, "open") > 0
		}
		before := append([]dispatch.Worker(nil), workers...)
		var steps []dispatch.Step
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			steps = append(steps, randomStep(t, len(workers)))
		}
		used := make([]lovagestand.Resources, len(workers))
		starts, waiting := make([]int, len(steps)), make([]int, len(steps))
		load := dispatch.Load{Now: now, Workers: workers, Steps: steps, AdviceCalls: 100, Releases: func(i int) []dispatch.Release {
			return []dispatch.Release{{At: now.Add(time.Second), Frees: cores(32).Sub(before[i].Free)}}
		}}
		for _, d := range dispatch.Plan(load) {
			starts[d.Step] += len(d.Workers)
			waiting[d.Step] += d.Wait.Tasks
			for _, w := range d.Workers {
				used[w] = used[w].Add(steps[d.Step].Needs)
				if !before[w].Open {
					t.Fatalf("task placed on a worker that accepts none")
				}
				if steps[d.Step].NeedsTickets && !hasTicket(steps[d.Step], w) {
					t.Fatalf("task placed on a worker without a valid ticket")
				}
			}
		}
		for i := range used {
			if !used[i].Fits(before[i].Free) {
				t.Fatalf("worker %d has %v free but was assigned %v", i, before[i].Free, used[i])
			}
		}
		for i, n := range starts {
			if n > steps[i].Tasks || steps[i].Gang && n != 0 && n != steps[i].Tasks {
				t.Fatalf("step %d starts %d of %d tasks", i, n, steps[i].Tasks)
			}
			if n+waiting[i] > steps[i].Tasks || waiting[i] > 0 && steps[i].Locality == nil {
				t.Fatalf("step %d of %d tasks starts %d and lets %d wait", i, steps[i].Tasks, n, waiting[i])
			}
		}
	})
}

func hasTicket(s dispatch.Step, worker int) bool {
	for _, c := range s.Candidates {
		if c.Worker == worker && c.HasTicket {
			return true
		}
	}
	return false
}

func randomStep(t *rapid.T, workers int) dispatch.Step {
	s := dispatch.Step{
		Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), Needs: cores(rapid.Int64Range(1, 33).Draw(t, "cores")),
		Gang: rapid.Bool().Draw(t, "gang"), SameRack: rapid.Bool().Draw(t, "rack"), NeedsTickets: rapid.Bool().Draw(t, "advised"),
		Score: rapid.Float64Range(0, 9).Draw(t, "score"), RunTime: time.Duration(rapid.IntRange(1, 3000).Draw(t, "time")) * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "locality") {
		s.Affinity = lovagestand.RackName(rapid.SampledFrom([]string{"", "r1-0", "r1-1", "absent"}).Draw(t, "affinity"))
		s.Locality = &dispatch.Locality{
			Factor: dispatch.FarFactor{Value: rapid.Float64Range(1, 4).Draw(t, "factor")},
			Work:   dispatch.Work{Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Objective: time.Second},
			Active: rapid.Bool().Draw(t, "active"),
		}
		s.MaxPerWorker = rapid.IntRange(0, 2).Draw(t, "limit")
	}
	for i := range workers {
		if s.NeedsTickets && rapid.Bool().Draw(t, "allowed") {
			s.Candidates = append(s.Candidates, dispatch.Candidate{Worker: i, HasTicket: rapid.Bool().Draw(t, "permitted")})
		}
	}
	return s
}

func TestScore(t *testing.T) {
	c := qt.New(t)
	base := dispatch.Work{
		Priority: 1, Objective: 10 * time.Second, CriticalPath: 5 * time.Second,
		Total: 300 * time.Second, Remaining: 300 * time.Second, Mean: 300 * time.Second,
	}
	score := func(change func(*dispatch.Work)) float64 {
		w := base
		change(&w)
		return dispatch.Score(w)
	}
	same := score(func(*dispatch.Work) {})
	c.Assert(score(func(w *dispatch.Work) { w.Priority = 0 }) > same, qt.IsTrue)
	c.Assert(score(func(w *dispatch.Work) { w.Remaining /= 2 }) > same, qt.IsTrue, qt.Commentf("started jobs first"))
	c.Assert(score(func(w *dispatch.Work) { w.Age = 6 * time.Second }) < same, qt.IsTrue, qt.Commentf("late jobs after jobs that are on time"))
	c.Assert(score(func(w *dispatch.Work) { w.Age = time.Hour }) > 0, qt.IsTrue, qt.Commentf("accepted jobs are never dropped"))
}

// BenchmarkPlan compares passes from the current size of a cell up to the size
// planned for two years from now.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{48, 350, 1900} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			for b.Loop() {
				workers := emptyWorkers(n)
				var steps []dispatch.Step
				for i := range 20 {
					steps = append(steps, dispatch.Step{Tasks: 5, Needs: cores(2), Score: float64(i)})
				}
				plan(workers, steps)
			}
		})
	}
}
