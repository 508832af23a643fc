package shard

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

// maxEndsPerAnswer is the maximum number of ends that a worker lists in one answer. It
// lists more once these are acknowledged.
const maxEndsPerAnswer = 500

// recordHolding applies the answer of a worker to a hold that was sent to an address at
// begun. It returns false if the answer came from an incarnation that has been replaced.
func (s *Shard) recordHolding(w *worker, address string, begun time.Time, holding lovagestand.HoldReply) bool {
	if w.replacedIncarnations[holding.Born] {
		s.log.Warn().Str("worker", string(w.info.Name)).Int64("born", holding.Born).Msg("ignored an answer from a former incarnation of the worker")
		return false
	}
	w.answerAddress = address
	if begun.Before(w.holdSentAt) || w.madeBefore(holding) {
		w.lastAnswer = later(w.lastAnswer, begun)
		if holding.Born != 0 && holding.Born == w.born {
			// Its list may be outdated, but not its ends, which no later answer may list.
			s.recordEnds(w, holding.Ended)
			s.wake()
		}
		return true
	}
	w.holdSentAt = begun
	if !w.mayBeIncarnation(holding.Born) {
		s.workerRestarted(w, holding.Born)
	}
	if holding.Born != 0 {
		w.born = holding.Born
	}
	if w.connections.answered(holding.Born) {
		s.requestRosterWrite()
	}
	w.resolveIncarnation(holding.Born, begun)
	now := time.Now()
	if !w.contacted {
		s.log.Info().Str("worker", string(w.info.Name)).Int("running", len(holding.Running)).Int("ended", len(holding.Ended)).Msg("worker contacted")
		// A former owner may have extended the lease of the worker until now.
		w.leaseEnd = later(w.leaseEnd, now.Add(s.longestLease()))
	}
	if w.silent {
		w.silent = false
		s.requestRosterWrite()
	}
	w.answered, w.contacted = true, true
	w.unresponsive = false
	w.lastAnswer = now
	w.clock, w.clockAt = holding.Clock, now
	s.recordEnds(w, holding.Ended)
	complete := len(holding.Ended) < maxEndsPerAnswer
	s.reconcile(w, begun, now, holding, complete)
	if complete {
		s.resolveWorker(w.info.Name)
	}
	s.wake()
	return true
}

// recordEnds records the ends that a worker has listed and that are not known yet.
func (s *Shard) recordEnds(w *worker, ends []lovagestand.EndedTask) {
	var tasks []string
	for _, end := range ends {
		if end.Number > w.seenEnds {
			w.seenEnds = end.Number
			tasks = append(tasks, end.Task)
			s.recordEnd(w, end)
		}
	}
	if len(tasks) > 0 {
		w.pendingAcks = append(w.pendingAcks, pendingAck{queuePosition: s.lastQueuePosition, number: w.seenEnds, tasks: tasks})
		s.unacknowledged[w] = true
		s.acknowledgeWorker(w)
	}
}

// reconcile compares the runs that a worker lists with the placements recorded for it.
// Only if complete, that is if the worker has no more ends to list, does a missing run
// count as lost.
func (s *Shard) reconcile(w *worker, begun, now time.Time, holding lovagestand.HoldReply, complete bool) {
	var crashed []*placement
	listed := make(map[string]int64, len(holding.Running))
	for _, r := range holding.Running {
		listed[r.Task] = max(listed[r.Task], r.Run)
		s.recordRunning(w, now, r)
	}
	for name, p := range w.placements {
		if _, ok := listed[name]; ok || !complete || !p.unlistedIsOver(begun, holding.Clock) {
			continue
		}
		if p.settledAt.IsZero() {
			w.quarantinedUntil = later(w.quarantinedUntil, now.Add(quarantineFor))
		}
		s.logLostRun(p, lossUnlisted)
		s.requeue(p)
		if w.born != 0 && p.born != 0 && p.born != w.born {
			crashed = append(crashed, p)
		}
	}
	s.recordCrash(w, crashed, lossUnlisted)
	for name := range w.strays {
		if _, ok := listed[name]; !ok {
			delete(w.strays, name)
		}
	}
}

// recordRunning records a run that a worker lists and its checkpoint. It adopts a run
// for which there is no placement.
func (s *Shard) recordRunning(w *worker, now time.Time, running lovagestand.RunningTask) {
	p := w.placements[running.Task]
	if p == nil || p.run != running.Run {
		s.adopt(w, now, running)
		return
	}
	p.entry.started, p.started, p.born = true, true, w.born
	s.endTrial(p, now)
	s.clearSuspicion(p.entry, p.task, p.run)
	if p.settledAt.IsZero() && !p.startPending {
		p.settledAt = now
	}
	if running.Checkpoint != p.checkpoint {
		p.checkpoint, p.checkpointAt = running.Checkpoint, now
		if p.entry.progress != nil {
			p.entry.progress.RecordCheckpoint(p.task, p.run, running.Checkpoint)
		}
	}
}

// adopt creates a placement for a run that a former term started. The run is stopped if
// its task should not run there.
func (s *Shard) adopt(w *worker, now time.Time, running lovagestand.RunningTask) {
	id, task, ok := job.ParseTaskName(running.Task)
	e := s.jobs[id]
	if !ok || e == nil || w.placements[running.Task] != nil {
		s.addStray(w, running)
		return
	}
	if e.progress == nil || task.Step >= len(e.progress.Job().Steps) {
		s.addStray(w, running)
		return
	}
	j := e.progress.Job()
	step := j.Steps[task.Step]
	p := &placement{
		entry: e, task: task, name: running.Task, run: running.Run, needs: step.Needs, worker: w,
		placedAt: now, settledAt: now, born: w.born, started: true, checkpoint: running.Checkpoint, checkpointAt: now, expectedRunTime: s.runTime(e, step), longRunning: step.LongRunning,
		adopted: true,
	}
	e.started = true
	s.former.account(e, task)
	other := e.active[running.Task]
	wanted := other == nil && e.progress.Adopt(task, running.Run)
	s.reserveRoom(p)
	if other != nil {
		s.recordDoubleRun(doubleConcurrent, w, running.Task, running.Run, other)
	}
	if !wanted {
		s.log.Info().Str("task", running.Task).Int64("run", running.Run).Str("worker", string(w.info.Name)).Msg("stopping a run that is not needed")
		s.stopRun(p)
		return
	}
	s.log.Info().Str("task", running.Task).Int64("run", running.Run).Str("worker", string(w.info.Name)).Msg("task adopted")
	s.activate(p)
	s.clearSuspicion(e, task, running.Run)
	e.progress.RecordCheckpoint(task, running.Run, running.Checkpoint)
	if s.resolved {
		// A start of a former owner that was executed late.
		s.stopPartialGangsOf(e)
	}
}

// stopPartialGangs stops the members of gangs that former owners have started in part. They
// would wait for the others until the worker ends them, since only the owner that starts a
// gang completes it.
func (s *Shard) stopPartialGangs() {
	for _, e := range s.live {
		if e.recovered {
			s.stopPartialGangsOf(e)
		}
	}
}

// stopPartialGangsOf is [Shard.stopPartialGangs] for one job.
func (s *Shard) stopPartialGangsOf(e *jobEntry) {
	members := map[gangKey]int{}
	for _, p := range e.active {
		members[p.gangKey()]++
	}
	for _, p := range e.active {
		step := e.progress.JobStep(p.task.Step)
		if !step.Gang || members[p.gangKey()] == step.Count || p.stopRequested {
			continue
		}
		s.log.Info().Str("task", p.name).Int64("run", p.run).Str("worker", string(p.worker.info.Name)).Int("members", members[p.gangKey()]).Msg("stopping a member of a gang that was started in part")
		s.stopRun(p)
	}
}

// gangKey identifies the run of the gang that the run belongs to.
func (p *placement) gangKey() gangKey {
	return gangKey{entry: p.entry, ref: p.ref(), run: p.run}
}

// addStray records and stops a run that belongs to no job known in this term.
func (s *Shard) addStray(w *worker, stray lovagestand.RunningTask) {
	if _, known := w.strays[stray.Task]; known {
		return
	}
	w.strays[stray.Task] = stray.Run
	s.log.Warn().Str("task", stray.Task).Int64("run", stray.Run).Str("worker", string(w.info.Name)).Msg("stopping a run of an unknown job")
	go s.sendStrayStop(s.ctx, w, stray)
}
