package shard

import (
	"slices"
	"strings"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
)

const (
	// defaultStopTimeout and defaultCheckpointInterval are used where the settings of a
	// deployment do not give the platform's values. They are the longest that the platform
	// has set so far.
	defaultStopTimeout        = 900 * time.Millisecond
	defaultCheckpointInterval = 2 * time.Second
	// keptRoomSlack is how much longer than a stop may take room is kept for a task. It
	// covers the passes and the answers of workers until the task is placed.
	keptRoomSlack = 250 * time.Millisecond
	// maxStopsPerPass is the largest number of runs that one pass preempts.
	maxStopsPerPass = 48
	// keptRoomsPerTask bounds the preemptions for a step: room is kept at most this many
	// times for each of its tasks, in case that it cannot use the room.
	keptRoomsPerTask = 2
	// remainingShare is the share of its run time or past work that a resumed task is
	// expected to need at least.
	remainingShare = 0.25
	// stopTimeWeight is the weight of the newest stop in the average duration of stops.
	stopTimeWeight = 0.1
)

// keptRoom is room on a worker that is kept for a task of a step, until the task starts
// there or a time passes.
type keptRoom struct {
	entry  *jobEntry
	ref    job.StepRef
	worker *worker
	since  time.Time
	until  time.Time
	// stops is the number of runs that were preempted for it.
	stops int
}

// preemptedTask is a task of which a run was preempted.
type preemptedTask struct {
	// work is the work up to the checkpoint that the stop has stored.
	work time.Duration
}

// gangKey identifies the run of a gang.
type gangKey struct {
	entry *jobEntry
	ref   job.StepRef
	run   int64
}

// preempts reports whether runs may be preempted: only where the settings allow it and the
// configuration has teams, and only once all runs of former owners are known.
func (s *Shard) preempts() bool {
	t, ok := s.teams()
	return s.limits.Preemption && ok && t.Enabled && s.resolved
}

// stopTimeout returns the maximum duration of a stop.
func (s *Shard) stopTimeout() time.Duration {
	if s.limits.StopTimeout > 0 {
		return s.limits.StopTimeout
	}
	return defaultStopTimeout
}

// expectedStopTime returns how long a stop is expected to take until its end is listed:
// half of the maximum before the first one.
func (s *Shard) expectedStopTime() time.Duration {
	if s.averageStopTime > 0 {
		return s.averageStopTime
	}
	return s.stopTimeout() / 2
}

// checkpointInterval returns the work that a resumed task must have done before it is
// preempted again.
func (s *Shard) checkpointInterval() time.Duration {
	if s.limits.CheckpointInterval > 0 {
		return s.limits.CheckpointInterval
	}
	return defaultCheckpointInterval
}

// preempt stops runs of less urgent jobs for steps that found no room in a pass.
func (s *Shard) preempt(p *pass, load dispatch.Load, decisions []dispatch.Decision) {
	if !s.preempts() {
		return
	}
	p.gangs = map[gangKey]*dispatch.GangRun{}
	var dropped []*keptRoom
	for _, r := range dispatch.Preempt(dispatch.PreemptionLoad{
		Load: load, Decisions: decisions, Runs: func(worker int) []dispatch.Run { return s.preemptibleRuns(p, worker) },
		StopTime: s.expectedStopTime(), RestoreDelay: s.limits.RestoreDelay, CheckpointInterval: s.checkpointInterval(), MaxStops: maxStopsPerPass,
	}) {
		waiting, w := p.waiting[r.Step], p.workers[r.Worker]
		if len(r.AdviceFor) > 0 {
			s.requestAdvice(p, waiting, dispatch.Decision{Step: r.Step, AdviceFor: r.AdviceFor})
			continue
		}
		if r.Drop {
			if k := takeRoom(&s.kept, waiting, w); k != nil {
				dropped = append(dropped, k)
			}
			continue
		}
		s.keepRoom(p, r, takeRoom(&dropped, waiting, w))
	}
	for _, k := range dropped {
		s.recordUnusedRoom(k)
	}
}

// takeRoom removes room that is kept for a task of a step on a worker from a list and
// returns it; nil if there is none.
func takeRoom(list *[]*keptRoom, waiting waitingStep, w *worker) *keptRoom {
	i := slices.IndexFunc(*list, func(k *keptRoom) bool {
		return k.entry == waiting.entry && k.ref == waiting.ref && k.worker == w
	})
	if i < 0 {
		return nil
	}
	k := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return k
}

// keepRoom keeps room for one task of a step and stops the runs that it needs. The
// parameter former is room there that was dropped in this pass because it was too short;
// nil if there was none.
func (s *Shard) keepRoom(p *pass, r dispatch.Preemption, former *keptRoom) {
	waiting := p.waiting[r.Step]
	e, st := waiting.entry, waiting.entry.step(waiting.ref)
	if len(r.Stops) > 0 {
		if st.preemptions >= keptRoomsPerTask*e.progress.Job().Steps[waiting.ref.Step].Count {
			if former != nil {
				s.recordUnusedRoom(former)
			}
			return
		}
		st.preemptions++
	}
	w := p.workers[r.Worker]
	k := &keptRoom{
		entry: e, ref: waiting.ref, worker: w, since: p.now, until: p.now.Add(s.stopTimeout() + orderTimeout + keptRoomSlack), stops: len(r.Stops),
	}
	if former != nil && former.stops > 0 {
		k.since, k.stops = former.since, k.stops+former.stops
	}
	s.kept = append(s.kept, k)
	for _, id := range r.Stops {
		victim := p.runs[id]
		victim.preemptedAt = p.now
		s.deps.Recorder.Count("preemptions", string(victim.entry.route)+">"+string(e.route))
		s.log.Info().Str("task", victim.name).Int64("run", victim.run).Str("worker", string(victim.worker.info.Name)).Str("team", string(victim.entry.team)).
			Str("for", string(e.id)).Int("step", waiting.ref.Step).Str("on", string(w.info.Name)).Dur("age", p.now.Sub(e.progress.Accepted())).Msg("task preempted")
		s.stopRun(victim)
	}
}

// preemptibleRuns returns the runs on a worker of the pass, by task name.
func (s *Shard) preemptibleRuns(p *pass, worker int) []dispatch.Run {
	placements := p.placements[:0]
	for _, o := range p.workers[worker].placements {
		if o.entry.progress != nil {
			placements = append(placements, o)
		}
	}
	p.placements = placements
	slices.SortFunc(placements, func(a, b *placement) int { return strings.Compare(a.name, b.name) })
	first := len(p.dispatchRuns)
	p.dispatchRuns = slices.Grow(p.dispatchRuns, len(placements))
	for _, o := range placements {
		r := s.dispatchRun(p, o)
		if step := o.entry.progress.JobStep(o.task.Step); step.Gang {
			r.Gang = s.gangRun(p, o, step.Count)
		}
		p.dispatchRuns = append(p.dispatchRuns, r)
	}
	return p.dispatchRuns[first:len(p.dispatchRuns):len(p.dispatchRuns)]
}

// dispatchRun describes a run for the dispatcher. Its ID is its index in the runs of the
// pass.
func (s *Shard) dispatchRun(p *pass, o *placement) dispatch.Run {
	step := o.entry.progress.JobStep(o.task.Step)
	ref := o.ref()
	s.measureWork(o.entry, ref)
	o.passID = s.addRun(p, o)
	worked := o.worked(p.now, s.limits.RestoreDelay)
	work := s.work(p.now, o.entry, ref)
	// The critical path counts tasks that run from their beginning.
	work.CriticalPath = max(0, work.CriticalPath-o.resumedWork-worked)
	return dispatch.Run{
		ID: o.passID, Needs: o.needs, Work: work, Tier: int(p.runningTier(o.entry.service, s.teamNumber(o.entry))), Checkpoints: step.Checkpoints, LongRunning: step.LongRunning,
		Starting: !o.started || o.startPending, Stopping: o.stopRequested, Resumed: o.resumed || o.adopted,
		Worked: worked, SinceCheckpoint: min(worked, p.now.Sub(o.checkpointAt)), End: o.times().expectedEnd(p.now),
	}
}

// addRun adds a run to the runs of the pass, unless it is among them, and returns its
// index.
func (s *Shard) addRun(p *pass, o *placement) int {
	if o.passID < len(p.runs) && p.runs[o.passID] == o {
		return o.passID
	}
	p.runs = append(p.runs, o)
	return len(p.runs) - 1
}

// gangRun describes the run of the gang that a run belongs to. Members whose run is not
// the current one of their task are missing, so that the gang is not preempted.
func (s *Shard) gangRun(p *pass, o *placement, size int) *dispatch.GangRun {
	key := o.gangKey()
	if g := p.gangs[key]; g != nil {
		return g
	}
	g := &dispatch.GangRun{Size: size}
	p.gangs[key] = g
	for _, m := range o.entry.active {
		if m.task.Step == o.task.Step && m.task.Occurrence == o.task.Occurrence && m.run == o.run && s.workers[m.worker.info.Name] == m.worker {
			g.Members = append(g.Members, dispatch.GangMember{Worker: m.worker.passIndex, Run: s.dispatchRun(p, m)})
		}
	}
	slices.SortFunc(g.Members, func(a, b dispatch.GangMember) int {
		return strings.Compare(p.runs[a.Run.ID].name, p.runs[b.Run.ID].name)
	})
	return g
}

// worked returns for how long a run has worked. A resumed task does not work while it is
// being restored.
func (p *placement) worked(now time.Time, restoreDelay time.Duration) time.Duration {
	worked := now.Sub(p.placedAt)
	if p.resumed {
		worked -= restoreDelay
	}
	return max(0, worked)
}

// resumePreempted prepares the run of a task that was preempted before: it needs only the
// rest of the work, after the delay of its restoration.
func (s *Shard) resumePreempted(p *placement) {
	before, ok := p.entry.preempted[p.name]
	if !ok {
		return
	}
	p.resumed, p.resumedWork = true, before.work
	least := time.Duration(remainingShare * float64(max(p.expectedRunTime, before.work)))
	p.expectedRunTime = s.limits.RestoreDelay + max(least, p.expectedRunTime-before.work)
}

// recordPreemption records the end of a preempted run. Nothing is recorded for other runs.
func (s *Shard) recordPreemption(p *placement, end lovagestand.EndedTask, now time.Time) {
	if p == nil || p.preemptedAt.IsZero() {
		return
	}
	s.extendKeptRoom(p.worker, now)
	took := now.Sub(p.preemptedAt)
	if s.averageStopTime == 0 {
		s.averageStopTime = took
	}
	s.averageStopTime += time.Duration(stopTimeWeight * float64(took-s.averageStopTime))
	worked := p.worked(p.preemptedAt, s.limits.RestoreDelay)
	lost := time.Duration(0)
	if end.Checkpoint == "" || end.Checkpoint == p.checkpoint {
		lost = min(worked, p.preemptedAt.Sub(p.checkpointAt))
	}
	if p.entry.preempted == nil {
		p.entry.preempted = map[string]preemptedTask{}
	}
	p.entry.preempted[p.name] = preemptedTask{work: p.resumedWork + worked - lost}
	s.deps.Recorder.Observe("preemptionTimes", string(p.entry.route), took)
	s.deps.Recorder.Observe("preemptedWork", string(p.entry.route), lost)
	s.log.Info().Str("task", p.name).Int64("run", p.run).Dur("took", took).Dur("worked", worked).Dur("lost", lost).Msg("preempted task waits again")
}

// endCheckpoint returns the checkpoint with which a run has ended. The members of a
// preempted gang that the worker ends because another member was stopped store no new one,
// so theirs may be older than that of the gang.
func endCheckpoint(p *placement, end lovagestand.EndedTask) string {
	if p != nil && !p.preemptedAt.IsZero() && end.Ending == lovagestand.EndingBroken {
		return ""
	}
	return end.Checkpoint
}

// storeCheckpoint has the checkpoint of a stopped run stored, so that the task is not
// started from the beginning if the owner changes while it waits. The worker lists the end
// until the checkpoint is stored. Without teams nothing is preempted and nothing is stored.
func (s *Shard) storeCheckpoint(e *jobEntry, task job.Task, end lovagestand.EndedTask) {
	t, ok := s.teams()
	if end.Ending != lovagestand.EndingStopped || !ok || !t.Enabled {
		return
	}
	if e.progress.ResumeFrom(task, end.Run, end.Checkpoint) {
		s.enqueue(e)
	}
}

// keptFor returns for how many tasks of a step room is kept on each worker of the pass.
// Suspects get none, since they start on workers of their own.
func (s *Shard) keptFor(w *waitingStep) map[int]int {
	if w.suspects > 0 {
		return nil
	}
	var kept map[int]int
	for _, k := range s.kept {
		if k.entry == w.entry && k.ref == w.ref {
			if kept == nil {
				kept = map[int]int{}
			}
			kept[k.worker.passIndex]++
		}
	}
	return kept
}

// dropKeptRoom drops the room that is kept for too long, for tasks that no longer wait or
// on workers that are gone.
func (s *Shard) dropKeptRoom(p *pass) {
	if len(s.kept) == 0 {
		return
	}
	type stepKey struct {
		entry *jobEntry
		ref   job.StepRef
	}
	tasks := map[stepKey]int{}
	for _, w := range p.waiting {
		if w.suspects == 0 {
			tasks[stepKey{w.entry, w.ref}] = w.tasks
		}
	}
	s.kept = slices.DeleteFunc(s.kept, func(k *keptRoom) bool {
		key := stepKey{k.entry, k.ref}
		if tasks[key] > 0 && !p.now.After(k.until) && s.workers[k.worker.info.Name] == k.worker {
			tasks[key]--
			return false
		}
		s.recordUnusedRoom(k)
		return true
	})
}

// extendKeptRoom keeps the room on a worker on which a preempted run has ended for at
// least keptRoomSlack from now. Otherwise the room could expire between the last pass and
// the end of a late stop, and the next pass would give it back to the preempted task.
func (s *Shard) extendKeptRoom(w *worker, now time.Time) {
	for _, k := range s.kept {
		if k.worker == w {
			k.until = later(k.until, now.Add(keptRoomSlack))
		}
	}
}

// recordUnusedRoom records that room was kept for a task that did not start there.
func (s *Shard) recordUnusedRoom(k *keptRoom) {
	if k.stops == 0 {
		return
	}
	s.deps.Recorder.Count("unusedPreemptions", string(k.entry.route))
	s.log.Info().Str("job", string(k.entry.id)).Int("step", k.ref.Step).Str("worker", string(k.worker.info.Name)).Int("stops", k.stops).Msg("room of preempted tasks not used")
}

// withholdKeptRoom withholds the room that is kept for steps that are not in the pass.
func (s *Shard) withholdKeptRoom(p *pass) {
	for _, k := range s.kept {
		if !slices.ContainsFunc(p.waiting, func(w waitingStep) bool { return w.entry == k.entry && w.ref == k.ref && w.suspects == 0 }) {
			w := &p.dispatchWorkers[k.worker.passIndex]
			w.Free = w.Free.Sub(k.entry.progress.Job().Steps[k.ref.Step].Needs)
		}
	}
}

// useKeptRoom records that a task of a step was placed on a worker where room was kept
// for it.
func (s *Shard) useKeptRoom(now time.Time, waiting waitingStep, w *worker) {
	if waiting.suspects > 0 {
		return
	}
	if k := takeRoom(&s.kept, waiting, w); k != nil && k.stops > 0 {
		s.deps.Recorder.Observe("preemptionWaits", string(k.entry.route), now.Sub(k.since))
	}
}
