package dispatch

// LeavingRun is a run of a long-running task on a worker that is about to leave.
type LeavingRun struct {
	Shape Shape
	// Step identifies the step of the task.
	Step int
	// Placed is the number of the step's tasks by worker, for MaxPerWorker.
	Placed map[int]int
}

// Evacuate returns the indexes of the runs that are to be stopped now, so that their tasks
// start elsewhere before their workers leave. It stops a run only if an open worker has room
// for the task, and at most mayStop[step] runs of a step.
//
// It answers the load of a fleet that is replaced a few workers at a time: a long-running
// task that stays until its worker exits starts again only once the exit is noticed, which
// may take an owner that follows at that time as long as a lease.
func Evacuate(runs []LeavingRun, mayStop []int, workers []Worker) []int {
	var stops []int
	free := make([]Worker, len(workers))
	copy(free, workers)
	stopped := make([]int, len(mayStop))
	for i := range runs {
		r := &runs[i]
		if stopped[r.Step] >= mayStop[r.Step] {
			continue
		}
		for n := range free {
			w := &free[n]
			full := r.Shape.MaxPerWorker > 0 && r.Placed[n] >= r.Shape.MaxPerWorker
			if !w.Open || full || !r.Shape.Needs.Fits(w.Free) || !r.Shape.matches(w) {
				continue
			}
			w.Free = w.Free.Sub(r.Shape.Needs)
			stopped[r.Step]++
			stops = append(stops, i)
			break
		}
	}
	return stops
}
