package dispatch

import (
	"cmp"
	"math"
	"slices"

	"lovagestand.example/lovagestand"
)

// Shape is what decides which workers can hold a task of a step.
type Shape struct {
	Service      string
	Label        string
	Needs        lovagestand.Resources
	MaxPerWorker int
}

// matches reports whether a worker has the service and the label.
func (s Shape) matches(w *Worker) bool {
	return (s.Service == "" || w.Service == s.Service) && (s.Label == "" || slices.Contains(w.Labels, s.Label))
}

// HasRoom reports whether a task of the shape fits on an open worker now.
func (s Shape) HasRoom(workers []Worker) bool {
	return s.HasRoomFor(1, workers, func(int) bool { return false })
}

// HasRoomFor reports whether a number of tasks of the shape fits on open workers now. Workers
// that are left out do not count.
func (s Shape) HasRoomFor(tasks int, workers []Worker, leftOut func(worker int) bool) bool {
	for i := range workers {
		w := &workers[i]
		if !w.Open || !s.Needs.Fits(w.Free) || !s.matches(w) || leftOut(i) {
			continue
		}
		most := tasks
		if s.MaxPerWorker > 0 {
			most = min(most, s.MaxPerWorker)
		}
		if tasks -= timesIn(s.Needs, w.Free, most); tasks <= 0 {
			return true
		}
	}
	return false
}

// Slots returns how many tasks of the shape the workers hold if nothing else runs on them.
// It counts up to enough.
func (s Shape) Slots(workers []Worker, enough int) int {
	slots := 0
	for i := range workers {
		w := &workers[i]
		if !s.matches(w) {
			continue
		}
		most := enough - slots
		if s.MaxPerWorker > 0 {
			most = min(most, s.MaxPerWorker)
		}
		slots += timesIn(s.Needs, w.Capacity, most)
		if slots >= enough {
			return enough
		}
	}
	return slots
}

// WorkersNeeded returns the smallest number of the workers that hold a number of tasks of the
// shape if nothing else runs on them, or 0 if all of them do not hold the tasks.
func (s Shape) WorkersNeeded(workers []Worker, tasks int) int {
	var slots []int
	for i := range workers {
		if n := s.Slots(workers[i:i+1], tasks); n > 0 {
			slots = append(slots, n)
		}
	}
	slices.SortFunc(slots, func(a, b int) int { return cmp.Compare(b, a) })
	for n, held := range slots {
		if tasks -= held; tasks <= 0 {
			return n + 1
		}
	}
	return 0
}

// timesIn returns how often needs fit into capacity, up to most.
func timesIn(needs, capacity lovagestand.Resources, most int) int {
	times := int64(math.MaxInt64)
	for _, r := range [][2]int64{{needs.MilliCPU, capacity.MilliCPU}, {needs.MemoryMiB, capacity.MemoryMiB}, {needs.Accelerators, capacity.Accelerators}} {
		switch {
		case r[0] > r[1]:
			return 0
		case r[0] > 0:
			times = min(times, r[1]/r[0])
		}
	}
	return int(min(times, int64(most)))
}

// Window returns the indexes of the steps that a pass considers, in order, if at most limit
// of the given number of steps are. The steps are in the order of their ranks. The function
// hasRoom reports whether a task of a step fits on a worker now, and lastConsidered returns
// a number that grows with the passes, of the last one that considered the step.
//
// It answers the load of many steps of high rank that wait for a few workers, such as those
// with a rare label or with advice for a few workers only: if the first steps alone were
// considered, none of the others would start, although the rest of the workers is idle. The
// first half of the window is therefore for the first steps, the second half for the other
// steps that have room, in turn. Steps without room fill what these leave: reservations,
// advice and preemptions are decided for them.
func Window(steps, limit int, hasRoom func(step int) bool, lastConsidered func(step int) int64) []int {
	window := make([]int, 0, min(steps, limit))
	first := limit / 2
	if steps <= limit {
		first = steps
	}
	var roomy, others []int
	for i := range steps {
		switch {
		case i < first:
			window = append(window, i)
		case hasRoom(i):
			roomy = append(roomy, i)
		case len(others) < limit:
			others = append(others, i)
		}
	}
	slices.SortStableFunc(roomy, func(a, b int) int { return cmp.Compare(lastConsidered(a), lastConsidered(b)) })
	for _, more := range [][]int{roomy, others} {
		window = append(window, more[:min(len(more), limit-len(window))]...)
	}
	slices.Sort(window)
	return window
}
