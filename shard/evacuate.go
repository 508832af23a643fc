package shard

import (
	"slices"
	"strings"

	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
)

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	entry *jobEntry
	ref   job.StepRef
}

// evacuate stops long-running tasks on workers that are about to leave, so that they start
// elsewhere while these workers still serve.
func (s *Shard) evacuate(p *pass) {
	if !s.deps.Assured() {
		return
	}
	victims := s.evacuable(p)
	if len(victims) == 0 {
		return
	}
	steps := map[stepKey]int{}
	var mayStop []int
	runs := make([]dispatch.LeavingRun, 0, len(victims))
	for _, v := range victims {
		key := stepKey{v.entry, v.ref()}
		number, known := steps[key]
		if !known {
			number = len(mayStop)
			steps[key] = number
			mayStop = append(mayStop, key.entry.mayStop(key.ref))
		}
		runs = append(runs, dispatch.LeavingRun{Shape: shapeOf(v.entry, v.entry.progress.JobStep(v.task.Step)), Step: number, Placed: s.placedByIndex(v.entry.step(key.ref))})
	}
	for i, w := range p.workers {
		p.dispatchWorkers[i].Free = w.free
	}
	for _, i := range dispatch.Evacuate(runs, mayStop, p.dispatchWorkers) {
		v := victims[i]
		s.deps.Recorder.Count("evacuations", string(v.entry.route))
		s.log.Info().Str("task", v.name).Int64("run", v.run).Str("worker", string(v.worker.info.Name)).Msg("task evacuated: its worker is about to leave")
		s.stopRun(v)
	}
}

// evacuable returns the runs of long-running tasks on workers that are about to leave, by
// worker and name. The tasks of gangs stay, since a stop would end all of them, and so do
// those that could not be started again yet.
func (s *Shard) evacuable(p *pass) []*placement {
	var out []*placement
	anyTaskMayRun := s.anyTaskMayRun()
	for _, w := range p.workers {
		if w.info.Ready || !w.contacted || w.unresponsive {
			continue
		}
		first := len(out)
		for _, r := range w.placements {
			e := r.entry
			if r.longRunning && r.started && !r.startPending && !r.stopRequested && !e.final() && (!e.recovered || !anyTaskMayRun) && !e.progress.JobStep(r.task.Step).Gang {
				out = append(out, r)
			}
		}
		slices.SortFunc(out[first:], func(a, b *placement) int { return strings.Compare(a.name, b.name) })
	}
	return out
}

// mayStop returns how many more tasks of a step may be stopped now. As many as the job
// allows, and at least one, may be stopped at a time.
func (e *jobEntry) mayStop(ref job.StepRef) int {
	allowed := max(1, e.progress.JobStep(ref.Step).MaxUnavailable)
	for _, p := range e.active {
		if p.task.Step == ref.Step && p.task.Occurrence == ref.Occurrence && p.stopRequested {
			allowed--
		}
	}
	return allowed
}

// placedByIndex returns the number of a step's tasks by the index of the worker in the pass.
func (s *Shard) placedByIndex(st *stepState) map[int]int {
	placed := map[int]int{}
	for name, n := range st.placed {
		if w := s.workers[name]; w != nil {
			placed[w.passIndex] = n
		}
	}
	return placed
}
