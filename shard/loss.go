package shard

import (
	"maps"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
)

// lossCause is why the runs on a worker are treated as ended without a result.
type lossCause string

// The causes for which runs are lost.
const (
	// lossReplaced means that another worker answers at the worker's address.
	lossReplaced lossCause = "replaced"
	// lossUnlisted means that the worker answers and does not list the run. It may have
	// restarted under its name.
	lossUnlisted lossCause = "unlisted"
	// lossLeaseExpired means that the worker does not answer and its lease has expired.
	lossLeaseExpired lossCause = "leaseExpired"
	// lossLeft means that the worker was leaving and its entry is gone from the list.
	lossLeft lossCause = "left"
)

const (
	// crashWindow is the time before the loss of contact with a worker in which a run
	// must have started to be a suspect. An order takes at most that long.
	crashWindow = orderTimeout
	// crashTolerance is by how much the time from a start to a crash of the worker may differ
	// between two runs of a task: a moment is that of one suspect at most.
	crashTolerance = dispatch.TrialGap / 2
	// The next run of a suspect is on trial for trialFactor times the time that the last
	// one had run when the worker crashed, within these bounds.
	trialFactor = 1.5
	minTrial    = crashWindow
	maxTrial    = 5 * time.Second
)

// loseContact records until when the worker was alive, if it has just stopped answering
// or was just found to have restarted. After a time-out, that is its last answer or the
// last start that it has confirmed.
func (w *worker) loseContact(now time.Time, timedOut bool) {
	if w.unresponsive {
		return
	}
	w.aliveUntil, w.timedOut = now, timedOut
	if timedOut {
		w.aliveUntil = w.lastAnswer
		for _, p := range w.placements {
			if p.started {
				w.aliveUntil = later(w.aliveUntil, p.settledAt)
			}
		}
	}
}

// logLostRun logs a run that ended with its worker: how long before the loss of contact it
// was placed, and whether the worker had confirmed its start.
func (s *Shard) logLostRun(p *placement, cause lossCause) {
	s.deps.Recorder.Count("lostRuns", string(cause))
	p.recordLost(cause)
	event := s.log.Info().Str("task", p.name).Int64("run", p.run).Str("worker", string(p.worker.info.Name)).Int64("born", p.worker.born)
	if !p.worker.aliveUntil.IsZero() {
		event = event.Dur("placedBefore", p.lasted())
	}
	event.Bool("confirmed", p.started).Str("reason", string(cause)).Msg("run ended with its worker")
}

// mayBeCrash reports whether a loss may be the crash of the worker. Without an answer
// from the worker's address it may be if the worker has stopped its heartbeats too. A worker
// that was about to leave has left.
func (s *Shard) mayBeCrash(w *worker, cause lossCause, now time.Time) bool {
	if !w.info.Ready {
		return false
	}
	switch cause {
	case lossReplaced, lossUnlisted:
		return true
	case lossLeaseExpired:
		return now.Sub(s.listReadAt) < s.limits.HeartbeatTimeout && now.Sub(w.lastHeartbeat) > s.limits.HeartbeatTimeout
	}
	return false
}

// suspects returns the runs that may have crashed a worker which broke off contact: those
// that had just started and those on trial. They are conclusive if no other job can have
// caused the crash.
func (s *Shard) suspects(w *worker, lost []*placement) (suspects map[*placement]bool, conclusive bool) {
	suspects = make(map[*placement]bool)
	for _, p := range lost {
		s.endTrial(p, w.aliveUntil)
		if p.justStarted() || !p.trialUntil.IsZero() {
			suspects[p] = true
		}
	}
	if !sameJob(suspects) && !w.timedOut {
		suspects = atTheirCrashTime(suspects)
	}
	return suspects, len(w.strays) == 0 && sameJob(suspects)
}

// lasted returns how long the run had lasted when its worker broke off contact.
func (p *placement) lasted() time.Duration {
	return p.worker.aliveUntil.Sub(p.placedAt)
}

// justStarted reports whether the run had just started when its worker broke off contact.
func (p *placement) justStarted() bool {
	return p.lasted() < crashWindow
}

// atTheirCrashTime returns those of the runs on trial on one worker that had lasted for as long
// as the former run of their task when the worker broke off contact. It returns all if there
// are none.
func atTheirCrashTime(suspects map[*placement]bool) map[*placement]bool {
	expected := make(map[*placement]bool)
	for p := range suspects {
		if p.crashAge > 0 && (p.lasted()-p.crashAge).Abs() < crashTolerance {
			expected[p] = true
		}
	}
	if len(expected) == 0 {
		return suspects
	}
	return expected
}

// suspectRuns records which runs may have crashed a worker that has just broken off
// contact, so that the next owner counts the crash if this one does not learn of it.
func (s *Shard) suspectRuns(w *worker) {
	suspects, conclusive := s.suspects(w, slices.Collect(maps.Values(w.placements)))
	for p := range suspects {
		if p.entry.progress == nil || p.entry.progress.Final() {
			continue
		}
		p.entry.progress.SuspectRun(p.task, p.run, lovagestand.WorkerIncarnation{Name: w.info.Name, Born: p.born}, p.started, conclusive)
		s.enqueue(p.entry)
	}
}

// clearSuspicion records that a run has not crashed its worker, or that the crash is
// counted by [Shard.recordCrash].
func (s *Shard) clearSuspicion(e *jobEntry, task job.Task, run int64) {
	if e.progress != nil && e.progress.ClearSuspicion(task, run) {
		s.enqueue(e)
	}
}

// settleSuspicions counts the crashes of which a former owner did not learn the outcome.
func (s *Shard) settleSuspicions() {
	for _, e := range s.live {
		if e.move.leaving() {
			continue
		}
		for _, t := range e.progress.SettleSuspicions(s.hasCrashed) {
			s.crashRecorded(e, t)
		}
	}
}

// hasCrashed reports whether another incarnation has answered in place of a worker's. A
// worker that does not answer may only be cut off.
func (s *Shard) hasCrashed(former lovagestand.WorkerIncarnation) bool {
	if s.replacedWorkers[former.Name] {
		return true
	}
	w := s.workers[former.Name]
	return w != nil && w.contacted && !w.mayBeIncarnation(former.Born)
}

// recordCrash records which of the lost runs of a worker may have crashed it: those that
// had just started and those on trial, or, if there are none, all that a trial can show
// something about. Their tasks are suspects from then on. A job fails once only its tasks
// can have caused a crash, and it is not the first crash under one of them.
func (s *Shard) recordCrash(w *worker, lost []*placement, cause lossCause) {
	// The end of a run on an incarnation that was about to leave is no crash.
	lost = slices.DeleteFunc(slices.Clone(lost), func(p *placement) bool { return p.born != 0 && p.born == w.leftBorn })
	if len(lost) == 0 || !s.mayBeCrash(w, cause, time.Now()) {
		return
	}
	suspects, conclusive := s.suspects(w, lost)
	if len(suspects) == 0 {
		lost = slices.DeleteFunc(lost, (*placement).outlastsTrials)
		for _, p := range lost {
			suspects[p] = true
		}
		conclusive = len(w.strays) == 0 && sameJob(suspects)
	}
	for _, p := range lost {
		s.recordCrashUnder(p, suspects[p], conclusive, cause)
	}
}

// outlastsTrials reports whether a run had lasted for longer than any trial when its worker was
// lost. A trial would end before the next run can show that it crashes its worker as late.
func (p *placement) outlastsTrials() bool {
	return p.lasted() > maxTrial
}

// sameJob reports whether all placements are of one job.
func sameJob(placements map[*placement]bool) bool {
	var e *jobEntry
	for p := range placements {
		if e != nil && e != p.entry {
			return false
		}
		e = p.entry
	}
	return true
}

// recordCrashUnder records the crash of a worker under one of its runs. A worker that was
// only silent makes a suspect of the task, but gives no further evidence against it.
func (s *Shard) recordCrashUnder(p *placement, suspect, conclusive bool, cause lossCause) {
	e := p.entry
	if e.progress == nil || e.progress.Final() {
		return
	}
	silent := cause == lossLeaseExpired
	var crash job.Crashes
	if p.started && !silent {
		crash.Confirmed = 1
	}
	if suspect && !(silent && e.progress.Crashes(p.task).Suspect()) {
		crash.Suspected = 1
		e.crashAges[p.name] = max(0, p.lasted())
	}
	e.progress.RecordCrash(p.task, crash, suspect && conclusive && !silent)
	s.log.Warn().Str("task", p.name).Int64("run", p.run).Str("worker", string(p.worker.info.Name)).Str("reason", string(cause)).
		Bool("suspect", suspect).Bool("conclusive", conclusive).Msg("worker crashed under a task")
	s.crashRecorded(e, p.task)
}

// crashRecorded has the crash under a task stored, and finishes the job if the task is
// given up.
func (s *Shard) crashRecorded(e *jobEntry, t job.Task) {
	s.enqueue(e)
	e.crashPosition = e.queuePosition
	name, total := e.progress.Job().TaskName(t), e.progress.Crashes(t)
	s.log.Info().Str("task", name).Int("confirmedCrashes", total.Confirmed).Int("suspectedCrashes", total.Suspected).Bool("suspect", total.Suspect()).Msg("crashes of workers under a task counted")
	if e.progress.Final() {
		s.deps.Recorder.Count("givenUpJobs", string(e.route))
		s.log.Warn().Str("job", string(e.id)).Str("task", name).Int("confirmedCrashes", total.Confirmed).Msg("job failed: workers crash under the task")
		s.finishJob(e)
	}
}

// trialTime returns how long the next run of a suspect is on trial, given how long the last one
// had run when the worker crashed.
func trialTime(crashAge time.Duration) time.Duration {
	return min(maxTrial, max(minTrial, time.Duration(trialFactor*float64(crashAge))))
}

// updateTrials sets until when a worker is on trial.
func (w *worker) updateTrials() {
	w.trialUntil = time.Time{}
	for _, p := range w.placements {
		w.trialUntil = later(w.trialUntil, p.trialUntil)
	}
}

// crashTimes returns when the runs on trial on a worker would crash it, and whether other
// suspects may start beside them.
func (w *worker) crashTimes() ([]time.Time, bool) {
	var times []time.Time
	for _, p := range w.placements {
		if p.trialUntil.IsZero() {
			continue
		}
		if p.crashAge == 0 {
			return nil, false
		}
		times = append(times, p.placedAt.Add(p.crashAge))
	}
	return times, true
}

// sharedCrashAges returns after which times tasks of a step would crash their worker, by their
// lost runs. It returns nil if one of them must be on trial alone: it is the member of a gang,
// its lost run had just started, it is not known how long that had lasted, or it was not the
// first such crash.
func (e *jobEntry) sharedCrashAges(ref job.StepRef, indexes []int) []time.Duration {
	if e.progress.JobStep(ref.Step).Gang {
		return nil
	}
	ages := make([]time.Duration, 0, len(indexes))
	for _, i := range indexes {
		task := job.Task{Occurrence: ref.Occurrence, Step: ref.Step, Index: i}
		age := e.crashAges[e.progress.Job().TaskName(task)]
		if age <= crashWindow || e.progress.Crashes(task).Suspected != 1 {
			return nil
		}
		ages = append(ages, age)
	}
	return ages
}

// beginTrial puts a run on trial if its task is a suspect.
func (s *Shard) beginTrial(p *placement) {
	if !p.entry.progress.Crashes(p.task).Suspect() {
		return
	}
	p.trialUntil = p.placedAt.Add(trialTime(p.entry.crashAges[p.name]))
	if ages := p.entry.sharedCrashAges(p.ref(), []int{p.task.Index}); ages != nil {
		p.crashAge = ages[0]
	}
	p.worker.updateTrials()
	s.log.Info().Str("task", p.name).Int64("run", p.run).Str("worker", string(p.worker.info.Name)).Dur("for", p.trialUntil.Sub(p.placedAt)).Int("tasks", len(p.worker.placements)).Msg("task on trial")
}

// endTrial ends the trial of a run that its worker still lists after the time.
func (s *Shard) endTrial(p *placement, now time.Time) {
	if p.trialUntil.IsZero() || now.Before(p.trialUntil) || p.entry.progress == nil {
		return
	}
	p.trialUntil = time.Time{}
	p.worker.updateTrials()
	p.entry.progress.ClearCrashes(p.task)
	delete(p.entry.crashAges, p.name)
	s.log.Info().Str("task", p.name).Int64("run", p.run).Str("worker", string(p.worker.info.Name)).Msg("task is no longer suspected to crash workers")
}
