package dispatch

import (
	"cmp"
	"slices"
)

const (
	// MinOverdue is how many runs of a worker must be overdue before it counts as stuck.
	MinOverdue = 2
	// maxStuckShare is the largest share of the workers that count as stuck at a time.
	maxStuckShare = 1.0 / 3
)

// RunAge describes a run for [Stuck].
type RunAge struct {
	Worker, Step int
	// Overdue reports whether the run takes much longer than expected.
	Overdue bool
	// Known reports whether another task of the step has ended, so that it is known how long
	// they take.
	Known bool
}

// Stuck returns the workers that get no new tasks because tasks stand still there: at least
// two and at least half of their runs are overdue. If there are many, it returns those with
// the most overdue runs.
//
// It answers the load of workers on which tasks stand still, beside that of jobs whose tasks
// all take much longer than their callers estimated. The runs of a step that are overdue on
// several workers, and of which none has ended, say nothing about these workers and are left
// out: one such job would otherwise keep the whole fleet from being used.
func Stuck(workers int, runs []RunAge) []int {
	overdueOn := map[int]map[int]bool{}
	for _, r := range runs {
		if r.Overdue && !r.Known {
			if overdueOn[r.Step] == nil {
				overdueOn[r.Step] = map[int]bool{}
			}
			overdueOn[r.Step][r.Worker] = true
		}
	}
	all, overdue := make([]int, workers), make([]int, workers)
	for _, r := range runs {
		if r.Overdue && !r.Known && len(overdueOn[r.Step]) > 1 {
			continue
		}
		all[r.Worker]++
		if r.Overdue {
			overdue[r.Worker]++
		}
	}
	var stuck []int
	for i := range workers {
		if overdue[i] >= MinOverdue && 2*overdue[i] >= all[i] {
			stuck = append(stuck, i)
		}
	}
	slices.SortStableFunc(stuck, func(a, b int) int { return cmp.Compare(overdue[b], overdue[a]) })
	stuck = stuck[:min(len(stuck), max(1, int(maxStuckShare*float64(workers))))]
	slices.Sort(stuck)
	return stuck
}
