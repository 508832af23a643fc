package shard

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

// reserveRoom reserves the room of a placement on its worker.
func (s *Shard) reserveRoom(p *placement) {
	p.worker.placements[p.name] = p
	p.worker.runs = nil
	p.worker.free = p.worker.free.Sub(p.needs)
	s.addUsage(p.entry.team, p.needs)
	p.worker.lastPlacedAt = p.placedAt
	p.entry.heldRuns[p.name]++
}

// activate makes a placement the current run of its task.
func (s *Shard) activate(p *placement) {
	p.entry.active[p.name] = p
	st := p.entry.step(p.ref())
	st.placed[p.worker.info.Name]++
	p.waitingSince, st.waitingSince = st.waitingSince, time.Time{}
}

// resumeWait lets the wait of a step go on if a task of it was placed and has not started, and
// no other task of the step runs. All members of a gang are stopped in this case.
func (s *Shard) resumeWait(p *placement) {
	step := p.entry.progress.JobStep(p.task.Step)
	if p.started || p.waitingSince.IsZero() || !step.Gang && len(p.entry.active) > 0 {
		return
	}
	if st := p.entry.step(p.ref()); st.waitingSince.IsZero() || p.waitingSince.Before(st.waitingSince) {
		st.waitingSince = p.waitingSince
	}
}

// releaseRoom removes a placement from its worker and its job, and frees its room.
func (s *Shard) releaseRoom(p *placement) {
	e := p.entry
	if p.worker.placements[p.name] == p {
		delete(p.worker.placements, p.name)
		p.worker.runs = nil
		p.worker.free = p.worker.free.Add(p.needs)
		s.addUsage(e.team, lovagestand.Resources{}.Sub(p.needs))
		e.releaseHeldRun(p.name)
		if !p.trialUntil.IsZero() {
			p.worker.updateTrials()
		}
	}
	if e.active[p.name] == p {
		delete(e.active, p.name)
		if e.steps != nil {
			st := e.step(p.ref())
			st.placed[p.worker.info.Name]--
		}
	}
	if e.endDurable && len(e.active) == 0 && e.progress != nil {
		s.dropFinishedState(e)
	}
}

// requeue treats a placement as ended without a result: its task waits again.
func (s *Shard) requeue(p *placement) {
	current := p.entry.active[p.name] == p
	s.releaseRoom(p)
	if !p.worker.info.Ready {
		s.requestRosterWrite()
	}
	s.clearSuspicion(p.entry, p.task, p.run)
	if current && p.entry.progress != nil {
		p.entry.progress.Requeue(p.task, p.run, p.checkpoint)
		s.resumeWait(p)
		s.stopGang(p)
	}
	s.wake()
}

// stopGang stops the other members of the gang that p belongs to, in the same run,
// because p will not run. It does nothing for a task that is not part of a gang.
func (s *Shard) stopGang(p *placement) {
	if p.entry.progress == nil || !p.entry.progress.Job().Steps[p.task.Step].Gang {
		return
	}
	for _, o := range p.entry.active {
		if o.task.Step == p.task.Step && o.task.Occurrence == p.task.Occurrence && o.run == p.run {
			s.stopRun(o)
		}
	}
}

// recordEnd records the end of a run that a worker has listed.
func (s *Shard) recordEnd(w *worker, end lovagestand.EndedTask) {
	now := time.Now()
	s.deps.Recorder.Count("ends", string(end.Ending))
	id, task, ok := job.ParseTaskName(end.Task)
	p := w.placements[end.Task]
	if p != nil && p.run != end.Run {
		p = nil
	}
	if p != nil {
		s.releaseRoom(p)
	}
	delete(w.strays, end.Task)
	e := s.jobs[id]
	if ok && e != nil && end.Ending == lovagestand.EndingDone {
		s.former.account(e, task)
	}
	if e != nil {
		e.workStale, e.started = true, true
	}
	s.log.Info().Str("task", end.Task).Int64("run", end.Run).Str("worker", string(w.info.Name)).Str("how", string(end.Ending)).Int64("number", end.Number).Msg("task ended")
	if !ok || e == nil || e.progress == nil {
		return
	}
	s.clearSuspicion(e, task, end.Run)
	switch end.Ending {
	case lovagestand.EndingDone:
		w.recordSuccess()
		e.recordTaskTime(p, now)
		s.recordRunTime(w, p, now)
		s.taskDone(w, e, task, end, p)
	case lovagestand.EndingFailed:
		s.taskFailed(w, e, task, end, now)
	default:
		s.recordPreemption(p, end, now)
		e.progress.Requeue(task, end.Run, endCheckpoint(p, end))
		s.storeCheckpoint(e, task, end)
		if p != nil {
			s.stopGang(p)
		}
	}
}

// recordTaskTime records how long a task of a step has taken.
func (e *jobEntry) recordTaskTime(p *placement, now time.Time) {
	if p == nil {
		return
	}
	st, took := e.step(p.ref()), max(now.Sub(p.placedAt), 1)
	if st.shortestRun == 0 || took < st.shortestRun {
		st.shortestRun = took
	}
}

// taskDone records that a task has completed. It finishes the job if that was its last
// task, and stops any other run of the task.
func (s *Shard) taskDone(w *worker, e *jobEntry, task job.Task, end lovagestand.EndedTask, p *placement) {
	if !e.progress.Finish(task, end.Run) {
		return
	}
	clear(e.failedOn)
	if step := e.progress.Job().Steps[task.Step]; step.Gang && !step.LongRunning {
		s.gangDone(e, task, end.Run)
	}
	s.enqueue(e)
	if e.progress.Final() {
		s.deps.Recorder.Observe("jobTimes", string(e.route), time.Since(e.progress.Accepted()))
		s.log.Info().Str("job", string(e.id)).Dur("age", time.Since(e.progress.Accepted())).Dur("objective", e.objective).Msg("job completed")
		s.finishJob(e)
	}
	if other := e.active[end.Task]; other != nil && other != p {
		s.recordDoubleRun(doubleAfterDone, w, end.Task, end.Run, other)
		s.stopRun(other)
	}
}

// gangDone deactivates the members of a gang's run after one of them has completed,
// because one end stands for the whole run. The other members free their room when
// their own ends are listed. Members of any other run are stopped.
func (s *Shard) gangDone(e *jobEntry, task job.Task, run int64) {
	for name, p := range e.active {
		switch {
		case p.task.Step != task.Step || p.task.Occurrence != task.Occurrence:
		case p.run == run:
			delete(e.active, name)
		default:
			s.stopRun(p)
		}
	}
}

// taskFailed records that a run of a task has failed. It finishes the job if the task
// has no attempts left, and stops the other members of the run of a gang.
func (s *Shard) taskFailed(w *worker, e *jobEntry, task job.Task, end lovagestand.EndedTask, now time.Time) {
	if !e.failureFollowsTask(w, task, now) && w.recordFailure(now) {
		s.log.Warn().Str("worker", string(w.info.Name)).Dur("for", quarantineFor).Msg("worker quarantined after repeated task failures")
	}
	if !e.progress.Fail(task, end.Run, end.Checkpoint) {
		return
	}
	e.step(job.StepRef{Occurrence: task.Occurrence, Step: task.Step}).avoid[w.info.Name]++
	s.enqueue(e)
	if e.progress.Final() {
		s.log.Warn().Str("job", string(e.id)).Str("task", end.Task).Int("failures", e.progress.Failures(task)).Msg("job failed: no attempts left")
		s.finishJob(e)
		return
	}
	for _, p := range e.active {
		if p.task.Step == task.Step && p.task.Occurrence == task.Occurrence && p.run == end.Run && e.progress.Job().Steps[task.Step].Gang {
			s.stopRun(p)
		}
	}
}
