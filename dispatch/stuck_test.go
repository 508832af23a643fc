package dispatch_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/dispatch"
)

// naiveStuck is the decision that [dispatch.Stuck] replaced. It counts all overdue runs
// against their workers.
func naiveStuck(workers int, runs []dispatch.RunAge) []int {
	all, overdue := make([]int, workers), make([]int, workers)
	for _, r := range runs {
		all[r.Worker]++
		if r.Overdue {
			overdue[r.Worker]++
		}
	}
	var stuck []int
	for i := range workers {
		if overdue[i] >= 2 && 2*overdue[i] >= all[i] {
			stuck = append(stuck, i)
		}
	}
	return stuck
}

// TestStuck replays the loads that [dispatch.Stuck] answers.
func TestStuck(t *testing.T) {
	c := qt.New(t)
	const workers = 12
	// stepOn returns a run of a step on each of some workers.
	stepOn := func(step int, known bool, overdue func(worker int) bool, on ...int) []dispatch.RunAge {
		var runs []dispatch.RunAge
		for _, w := range on {
			runs = append(runs, dispatch.RunAge{Worker: w, Step: step, Overdue: overdue(w), Known: known})
		}
		return runs
	}
	all := make([]int, workers)
	for i := range all {
		all[i] = i
	}
	always := func(int) bool { return true }
	never := func(int) bool { return false }
	onTwo := func(w int) bool { return w < 2 }
	for name, test := range map[string]struct {
		runs         []dispatch.RunAge
		stuck, naive []int
	}{
		"a job with long tasks on all workers": {
			slices.Concat(stepOn(0, false, always, all...), stepOn(0, false, always, all...), stepOn(1, true, never, 0)), nil, all,
		},
		"tasks stand still on two workers": {
			slices.Concat(stepOn(0, true, onTwo, all...), stepOn(1, true, onTwo, all...)),
			[]int{0, 1},
			[]int{0, 1},
		},
		"tasks stand still beside a job with long tasks": {
			slices.Concat(stepOn(0, false, always, all...), stepOn(0, false, always, all...), stepOn(1, true, onTwo, all...), stepOn(2, true, onTwo, all...)),
			[]int{0, 1},
			all,
		},
		"all runs of a step on one worker": {
			slices.Concat(stepOn(0, false, always, 3, 3), stepOn(1, true, never, 3)), []int{3}, []int{3},
		},
		"most runs are on time": {
			slices.Concat(stepOn(0, true, always, 3, 3), stepOn(1, true, never, 3, 3, 3)), nil, nil,
		},
		"long tasks of a job on each worker": {
			func() []dispatch.RunAge {
				var runs []dispatch.RunAge
				for _, w := range all {
					runs = append(runs, stepOn(w, false, always, w, w)...)
				}
				return runs
			}(), []int{0, 1, 2, 3}, all,
		},
	} {
		c.Run(name, func(c *qt.C) {
			c.Check(dispatch.Stuck(workers, test.runs), qt.DeepEquals, test.stuck)
			c.Check(naiveStuck(workers, test.runs), qt.DeepEquals, test.naive)
		})
	}
}
