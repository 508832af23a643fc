package dispatch_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

// quietWorkers returns n workers on which no task has started recently, the first of them
// the fullest.
func quietWorkers(n int) []dispatch.Worker {
	workers := emptyWorkers(n)
	for i := range workers {
		workers[i].Quiet = true
		workers[i].Free = cores(int64(16 + i))
	}
	return workers
}

func TestSuspects(t *testing.T) {
	c := qt.New(t)
	suspects := func(n int) dispatch.Step {
		return dispatch.Step{Tasks: n, Suspects: n, Needs: cores(1), Score: 2}
	}
	others := dispatch.Step{Tasks: 60, Needs: cores(1), Score: 1}
	c.Run("start where the least work can be lost", func(c *qt.C) {
		c.Assert(placed(plan(quietWorkers(3), []dispatch.Step{suspects(1)}), 0), qt.DeepEquals, []int{2})
	})
	c.Run("keep other steps away", func(c *qt.C) {
		decisions := plan(quietWorkers(3), []dispatch.Step{suspects(1), others})
		c.Assert(slices.Contains(placed(decisions, 1), 2), qt.IsFalse)
	})
	c.Run("of one step share a worker", func(c *qt.C) {
		c.Assert(placed(plan(quietWorkers(6), []dispatch.Step{suspects(3)}), 0), qt.DeepEquals, []int{5, 5, 5})
	})
	c.Run("of two steps do not", func(c *qt.C) {
		decisions := plan(quietWorkers(6), []dispatch.Step{suspects(2), suspects(2)})
		c.Assert(placed(decisions, 0), qt.DeepEquals, []int{5, 5})
		c.Assert(placed(decisions, 1), qt.DeepEquals, []int{4, 4})
	})
	c.Run("take at most a third of the workers", func(c *qt.C) {
		decisions := plan(quietWorkers(6), []dispatch.Step{suspects(1), suspects(1), suspects(1), others})
		c.Assert(placed(decisions, 2), qt.HasLen, 0)
		workers := slices.Compact(placed(decisions, 3))
		c.Assert(workers, qt.DeepEquals, []int{0, 1, 2, 3})
	})
	c.Run("count trials that go on", func(c *qt.C) {
		workers := quietWorkers(6)
		for i := range 2 {
			workers[i].Open, workers[i].OnTrial = false, true
		}
		c.Assert(plan(workers, []dispatch.Step{suspects(1)}), qt.HasLen, 0)
	})
	c.Run("wait until the worker is quiet, which is kept for them", func(c *qt.C) {
		workers := quietWorkers(3)
		for i := range workers {
			workers[i].Quiet = false
		}
		decisions := plan(workers, []dispatch.Step{suspects(1), others})
		c.Assert(placed(decisions, 0), qt.HasLen, 0)
		c.Assert(slices.Contains(placed(decisions, 1), 2), qt.IsFalse)
	})
	c.Run("of a gang may exceed the third", func(c *qt.C) {
		gang := dispatch.Step{Tasks: 3, Suspects: 2, Needs: cores(15), Gang: true, MaxPerWorker: 1}
		c.Assert(placed(plan(quietWorkers(3), []dispatch.Step{gang}), 0), qt.HasLen, 3)
	})
	c.Run("of a gang start with all its tasks or not at all", func(c *qt.C) {
		gang := dispatch.Step{Tasks: 4, Suspects: 1, Needs: cores(15), Gang: true, MaxPerWorker: 1, Score: 2}
		decisions := plan(quietWorkers(3), []dispatch.Step{gang, {Tasks: 1, Needs: cores(18), Score: 1}})
		c.Assert(placed(decisions, 0), qt.HasLen, 0)
		c.Assert(placed(decisions, 1), qt.DeepEquals, []int{2}, qt.Commentf("no worker is kept for a gang that does not fit"))
	})
}

// TestSuspectsShareTrials covers the load of many suspects after the loss of one worker: they
// start beside others on trial, at moments that keep a crash attributable.
func TestSuspectsShareTrials(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	step := func(ages ...time.Duration) dispatch.Step {
		return dispatch.Step{Tasks: len(ages), Suspects: len(ages), Needs: cores(1), CrashAges: ages}
	}
	alone := func(tasks int) dispatch.Step { return dispatch.Step{Tasks: tasks, Suspects: tasks, Needs: cores(1)} }
	gang := step(3*time.Second, 3*time.Second)
	gang.Gang = true
	loud := func(w *dispatch.Worker) { w.Quiet = false }
	closed := func(w *dispatch.Worker) { w.SharesTrials = false }
	for name, test := range map[string]struct {
		step   dispatch.Step
		change func(w *dispatch.Worker)
		starts int
	}{
		"before the other crash":      {step(time.Second), nil, 1},
		"after it":                    {step(3 * time.Second), nil, 1},
		"together":                    {step(time.Second, 3*time.Second), nil, 2},
		"not at the same time":        {step(2 * time.Second), nil, 0},
		"not soon before it":          {step(1600 * time.Millisecond), nil, 0},
		"not soon after it":           {step(2400 * time.Millisecond), nil, 0},
		"not if one is":               {step(time.Second, 2*time.Second), nil, 0},
		"not if the age is unknown":   {alone(1), nil, 0},
		"not as members of a gang":    {gang, nil, 0},
		"not just after a start":      {step(time.Second), loud, 0},
		"not on a closed worker":      {step(time.Second), closed, 0},
		"and nothing else does there": {dispatch.Step{Tasks: 1, Needs: cores(1)}, nil, 0},
	} {
		c.Run(name, func(c *qt.C) {
			workers := quietWorkers(1)
			workers[0].Open, workers[0].OnTrial, workers[0].SharesTrials = false, true, true
			workers[0].CrashTimes = []time.Time{now.Add(2 * time.Second)}
			if test.change != nil {
				test.change(&workers[0])
			}
			decisions := dispatch.Plan(dispatch.Load{Now: now, Workers: workers, Steps: []dispatch.Step{test.step}})
			c.Assert(placed(decisions, 0), qt.HasLen, test.starts)
		})
	}
	c.Run("of two steps do not start in one pass", func(c *qt.C) {
		workers := quietWorkers(1)
		workers[0].Open, workers[0].OnTrial, workers[0].SharesTrials = false, true, true
		decisions := dispatch.Plan(dispatch.Load{Now: now, Workers: workers, Steps: []dispatch.Step{step(time.Second), step(3 * time.Second)}})
		c.Assert(placed(decisions, 0), qt.HasLen, 1)
		c.Assert(placed(decisions, 1), qt.HasLen, 0)
	})
}

// TestSuspectIsKeptAWorker covers the load of steps of higher score that start tasks on each
// worker all the time, so that none is quiet.
func TestSuspectIsKeptAWorker(t *testing.T) {
	for name, test := range map[string]struct {
		waited time.Duration
		ages   []time.Duration
		kept   bool
	}{
		"after a wait":                    {3 * time.Second, []time.Duration{time.Second}, true},
		"not at once":                     {time.Second, []time.Duration{time.Second}, false},
		"not if its run had just started": {3 * time.Second, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			workers := quietWorkers(3)
			for i := range workers {
				workers[i].Quiet = false
			}
			suspect := dispatch.Step{Tasks: 1, Suspects: 1, Needs: cores(1), Score: 1, Waited: test.waited, CrashAges: test.ages}
			stream := dispatch.Step{Tasks: 3, Needs: cores(1), Score: 2, MaxPerWorker: 1}
			decisions := plan(workers, []dispatch.Step{suspect, stream})
			c.Assert(placed(decisions, 0), qt.HasLen, 0)
			c.Assert(slices.Contains(placed(decisions, 1), 2), qt.Equals, !test.kept)
		})
	}
}

// TestSuspectsNeverShareAWorkerWithOtherSteps covers the load of many suspects: on a
// worker on which one starts, no task of another step starts in the same pass.
func TestSuspectsNeverShareAWorkerWithOtherSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := quietWorkers(rapid.IntRange(1, 12).Draw(t, "workers"))
		for i := range workers {
			workers[i].Quiet = rapid.Bool().Draw(t, "quiet")
			workers[i].OnTrial = rapid.Bool().Draw(t, "onTrial")
			workers[i].Open = !workers[i].OnTrial
		}
		steps := make([]dispatch.Step, rapid.IntRange(1, 12).Draw(t, "steps"))
		suspected := map[int]int{}
		for i := range steps {
			tasks := rapid.IntRange(1, 6).Draw(t, "tasks")
			s := dispatch.Step{Tasks: tasks, Needs: cores(rapid.Int64Range(1, 16).Draw(t, "cores")), Score: rapid.Float64().Draw(t, "score"), Gang: rapid.Bool().Draw(t, "gang")}
			switch {
			case !rapid.Bool().Draw(t, "suspects"):
			case s.Gang:
				s.Suspects = rapid.IntRange(1, tasks).Draw(t, "count")
			default:
				s.Suspects = tasks
			}
			suspected[i] = s.Suspects
			steps[i] = s
		}
		free, quiet := make([]lovagestand.Resources, len(workers)), make([]bool, len(workers))
		for i := range workers {
			free[i], quiet[i] = workers[i].Free, workers[i].Quiet
		}
		trials, startedBy := map[int]int{}, map[int][]int{}
		for _, d := range plan(workers, steps) {
			for n, w := range d.Workers {
				free[w] = free[w].Sub(steps[d.Step].Needs)
				if !(lovagestand.Resources{}).Fits(free[w]) {
					t.Fatalf("worker %d is over its capacity", w)
				}
				startedBy[w] = append(startedBy[w], d.Step)
				if n < suspected[d.Step] {
					trials[w] = d.Step
					if !quiet[w] {
						t.Fatalf("a suspect starts on worker %d, which is not quiet", w)
					}
				}
			}
		}
		for w, step := range trials {
			for _, other := range startedBy[w] {
				if other != step {
					t.Fatalf("steps %d and %d start on worker %d, step %d has suspects", step, other, w, step)
				}
			}
		}
	})
}
