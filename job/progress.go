package job

import (
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
)

// Progress is the state of a job's execution. It is not safe for concurrent use.
type Progress struct {
	job   Job
	phase chart.State
	// accepted is when the job was accepted, from which its objective counts.
	accepted time.Time
	// reservedRuns is lower than every run number that may still be assigned.
	reservedRuns int64
	occurrences  []occurrence
	// unfinished is the number of occurrences that are not done.
	unfinished int
	// crashed is set with the first crash under a task.
	crashed bool
}

// occurrence is one execution of all steps.
type occurrence struct {
	// steps is nil until it is first used, see [Progress.stepsOf].
	steps []step
	// unfinished is the number of steps that are not done.
	unfinished int
}

// step is one step of one occurrence.
type step struct {
	tasks []task
	// blockers is the number of steps in After that are not done.
	blockers int
	// unfinished is the number of tasks that are not done, waiting the number of
	// tasks that wait to start.
	unfinished int
	waiting    int
	// failures are the failed runs of a gang as a whole, run is its highest run.
	failures failures
	run      int64
}

// failures contains the numbers of failed runs, each once. A new number is compared
// with the whole list, because workers may list an end again to a later owner and may
// list ends in any order.
type failures []int64

// add records a failed run and reports whether it is new.
func (f *failures) add(run int64) bool {
	if slices.Contains(*f, run) {
		return false
	}
	*f = append(*f, run)
	return true
}

type task struct {
	phase      chart.State
	failures   failures
	run        int64
	checkpoint string
	// checkpointStored indicates that the checkpoint is part of the record.
	checkpointStored bool
	crashes          Crashes
	suspicion        suspicion
}

// New returns the progress of a job that has not started.
func New(j Job, accepted time.Time) *Progress {
	p := &Progress{job: j, phase: jobQueued, accepted: accepted}
	p.occurrences = make([]occurrence, j.Schedule.Occurrences())
	p.unfinished = len(p.occurrences)
	for k := range p.occurrences {
		p.occurrences[k].unfinished = len(j.Steps)
	}
	return p
}

// Job returns the submitted job.
func (p *Progress) Job() Job { return p.job }

// JobStep returns a step of the submitted job, which must not be changed. Copies of jobs took
// a large part of a planning pass.
func (p *Progress) JobStep(index int) *Step { return &p.job.Steps[index] }

// Policy returns the policy of the job, which must not be changed.
func (p *Progress) Policy() *Policy { return &p.job.Policy }

// Due returns when an occurrence of the job may start; see [Schedule.Due].
func (p *Progress) Due(occurrence int) time.Time { return p.job.Schedule.Due(occurrence) }

// Accepted returns when the job was accepted.
func (p *Progress) Accepted() time.Time { return p.accepted }

// Phase returns the name of the job's state in the chart of jobs, as callers see
// it.
func (p *Progress) Phase() string { return chart.Job().StateName(p.phase) }

// Final reports whether the job has ended, so that no task of it may start.
func (p *Progress) Final() bool { return chart.Job().Final(p.phase) }

// Started reports whether a task has ever started.
func (p *Progress) Started() bool { return p.phase != jobQueued }

// stepsOf returns the steps of occurrence k. It creates them on first use, so that
// occurrences that are not due hold none.
func (p *Progress) stepsOf(k int) []step {
	o := &p.occurrences[k]
	if o.steps != nil {
		return o.steps
	}
	o.steps = make([]step, len(p.job.Steps))
	for i, s := range p.job.Steps {
		o.steps[i] = step{
			tasks:      make([]task, s.Count),
			blockers:   len(s.After),
			unfinished: s.Count,
			waiting:    s.Count,
		}
	}
	return o.steps
}

// StepRef identifies a step of an occurrence.
type StepRef struct {
	Occurrence, Step int
}

// Startable returns the steps with tasks that may start now, and when the next
// occurrence is due, which is the zero time if there is none.
func (p *Progress) Startable(now time.Time) ([]StepRef, time.Time) {
	return p.AppendStartable(nil, now)
}

// AppendStartable appends the steps of [Progress.Startable] to a slice.
func (p *Progress) AppendStartable(refs []StepRef, now time.Time) ([]StepRef, time.Time) {
	if p.Final() {
		return refs, time.Time{}
	}
	for k := range p.occurrences {
		if p.occurrences[k].unfinished == 0 {
			continue
		}
		if due := p.job.Schedule.Due(k); due.After(now) {
			return refs, due
		}
		steps := p.stepsOf(k)
		for i := range steps {
			if steps[i].blockers == 0 && steps[i].waiting > 0 {
				refs = append(refs, StepRef{Occurrence: k, Step: i})
			}
		}
	}
	return refs, time.Time{}
}

// Waiting returns the indexes of the tasks of a step that wait to start.
func (p *Progress) Waiting(ref StepRef) []int {
	return p.AppendWaiting(nil, ref)
}

// AppendWaiting appends the indexes of [Progress.Waiting] to a slice.
func (p *Progress) AppendWaiting(indexes []int, ref StepRef) []int {
	s := &p.stepsOf(ref.Occurrence)[ref.Step]
	indexes = slices.Grow(indexes, s.waiting)
	for i := range s.tasks {
		if s.tasks[i].phase == taskWaiting {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// WaitingCount returns how many tasks of a step wait to start.
func (p *Progress) WaitingCount(ref StepRef) int {
	return p.stepsOf(ref.Occurrence)[ref.Step].waiting
}

// Checkpoint returns the checkpoint from which a task resumes, empty if it starts
// from the beginning. All members of a gang share one checkpoint.
func (p *Progress) Checkpoint(t Task) string {
	s := &p.stepsOf(t.Occurrence)[t.Step]
	if p.job.Steps[t.Step].Gang {
		return s.tasks[0].checkpoint
	}
	return s.tasks[t.Index].checkpoint
}

// NextRun returns the run number for the next start of a task. The members of a
// gang share it.
func (p *Progress) NextRun(t Task) int64 {
	s := &p.stepsOf(t.Occurrence)[t.Step]
	last := s.tasks[t.Index].run
	if p.job.Steps[t.Step].Gang {
		last = s.run
	}
	return max(last, p.reservedRuns) + 1
}

// ReserveRuns makes all later run numbers higher than n, so that they are higher
// than those of runs that former owners may have started without this process
// having seen them.
func (p *Progress) ReserveRuns(n int64) {
	p.reservedRuns = max(p.reservedRuns, n)
}

// Valid reports whether the job has a task.
func (p *Progress) Valid(t Task) bool {
	return t.Occurrence >= 0 && t.Step >= 0 && t.Index >= 0 &&
		t.Occurrence < len(p.occurrences) && t.Step < len(p.job.Steps) && t.Index < p.job.Steps[t.Step].Count
}

// task returns the state of a task, nil if the job has no such task.
func (p *Progress) task(t Task) *task {
	if !p.Valid(t) {
		return nil
	}
	return &p.stepsOf(t.Occurrence)[t.Step].tasks[t.Index]
}

// Start records that a run of a task is being started. It reports false and changes
// nothing if the task may not run now or a higher run has been seen.
func (p *Progress) Start(t Task, run int64) bool {
	if p.Final() || !p.Valid(t) || p.stepsOf(t.Occurrence)[t.Step].blockers > 0 {
		return false
	}
	return p.Adopt(t, run)
}

// Adopt records that a run started by a former owner continues. The run may belong
// to a step whose preceding steps are not done here, since the former owner may
// have seen ends that have not reached this one yet. Adopt reports false and changes
// nothing if the task must no longer run or a higher run has been seen.
func (p *Progress) Adopt(t Task, run int64) bool {
	if p.Final() || !p.Valid(t) {
		return false
	}
	s := &p.stepsOf(t.Occurrence)[t.Step]
	k := &s.tasks[t.Index]
	if chart.JobTask().Final(k.phase) || run < k.run {
		return false
	}
	if k.phase == taskWaiting {
		s.waiting--
	}
	k.phase = taskActive
	k.run = run
	s.run = max(s.run, run)
	p.phase = jobRunning
	return true
}

// Requeue records that a run ended without a result, so that the task waits to start
// again. If checkpoint is not empty, the task resumes from it. Requeue reports
// whether the run was the current one.
func (p *Progress) Requeue(t Task, run int64, checkpoint string) bool {
	k := p.current(t, run)
	if k == nil {
		return false
	}
	p.setCheckpoint(t, checkpoint)
	if k.phase == taskActive {
		k.phase = taskWaiting
		p.occurrences[t.Occurrence].steps[t.Step].waiting++
	}
	return true
}

// RecordCheckpoint records a checkpoint of a running task.
func (p *Progress) RecordCheckpoint(t Task, run int64, checkpoint string) {
	if p.current(t, run) != nil {
		p.setCheckpoint(t, checkpoint)
	}
}

func (p *Progress) setCheckpoint(t Task, checkpoint string) {
	if checkpoint == "" {
		return
	}
	s := &p.occurrences[t.Occurrence].steps[t.Step]
	if p.job.Steps[t.Step].Gang {
		s.tasks[0].checkpoint = checkpoint
		return
	}
	s.tasks[t.Index].checkpoint = checkpoint
}

// ResumeFrom records that a waiting task, or its gang, continues from the checkpoint that
// the stop of a run has stored, also if a former owner has started the run. The checkpoint
// becomes part of the record. ResumeFrom reports whether the job must be persisted again.
func (p *Progress) ResumeFrom(t Task, run int64, checkpoint string) bool {
	k := p.task(t)
	if p.Final() || k == nil || k.phase != taskWaiting || run < k.run || checkpoint == "" {
		return false
	}
	k.run = run
	s := &p.occurrences[t.Occurrence].steps[t.Step]
	s.run = max(s.run, run)
	p.setCheckpoint(t, checkpoint)
	if p.job.Steps[t.Step].Gang {
		k = &s.tasks[0]
	}
	k.checkpointStored = true
	return true
}

// current returns the task if it has not ended and run is its current run, else nil.
func (p *Progress) current(t Task, run int64) *task {
	if p.Final() {
		return nil
	}
	k := p.task(t)
	if k == nil || chart.JobTask().Final(k.phase) || run != k.run {
		return nil
	}
	return k
}

// Fail records that a run failed. The task waits to start again, or the job fails if
// its attempts are used up. Fail reports whether the job must be persisted again. A
// failed run of a long-running task is not counted but requeued, see [Progress.Requeue].
func (p *Progress) Fail(t Task, run int64, checkpoint string) bool {
	if p.Final() || !p.Valid(t) {
		return false
	}
	s := &p.stepsOf(t.Occurrence)[t.Step]
	k := &s.tasks[t.Index]
	if chart.JobTask().Final(k.phase) {
		return false
	}
	if p.job.Steps[t.Step].LongRunning {
		return p.Requeue(t, run, checkpoint)
	}
	if p.job.Steps[t.Step].Gang {
		return p.failGang(t, run, checkpoint)
	}
	if !k.failures.add(run) {
		return false
	}
	p.Requeue(t, run, checkpoint)
	k.run = max(k.run, run)
	if len(k.failures) >= max(1, p.job.Policy.MaxAttempts) {
		k.phase = taskExhausted
		p.phase = jobFailed
	}
	return true
}

// failGang counts one failure for a run of a gang, no matter how many members fail.
func (p *Progress) failGang(t Task, run int64, checkpoint string) bool {
	s := &p.stepsOf(t.Occurrence)[t.Step]
	p.Requeue(t, run, checkpoint)
	if !s.failures.add(run) {
		return false
	}
	s.run = max(s.run, run)
	if len(s.failures) >= max(1, p.job.Policy.MaxAttempts) {
		p.phase = jobFailed
	}
	return true
}

// Finish records that a run ended successfully, and reports whether the job must be
// persisted again. The end of one member ends the whole gang. A long-running task
// is requeued instead, see [Progress.Requeue].
func (p *Progress) Finish(t Task, run int64) bool {
	if p.Final() || !p.Valid(t) {
		return false
	}
	if p.job.Steps[t.Step].LongRunning {
		return p.Requeue(t, run, "")
	}
	s := &p.stepsOf(t.Occurrence)[t.Step]
	if !p.job.Steps[t.Step].Gang {
		return p.finishTask(t, run)
	}
	changed := false
	for i := range s.tasks {
		t.Index = i
		changed = p.finishTask(t, run) || changed
	}
	return changed
}

func (p *Progress) finishTask(t Task, run int64) bool {
	s := &p.stepsOf(t.Occurrence)[t.Step]
	k := &s.tasks[t.Index]
	if chart.JobTask().Final(k.phase) {
		return false
	}
	if k.phase == taskWaiting {
		s.waiting--
	}
	k.phase = taskDone
	k.run = max(k.run, run)
	k.checkpoint = ""
	k.crashes, k.suspicion = Crashes{}, suspicion{}
	s.unfinished--
	p.phase = jobRunning
	if s.unfinished == 0 {
		p.finishStep(t)
	}
	return true
}

// finishStep unblocks the steps that wait for the step of t, and ends the occurrence
// and the job if it was the last one.
func (p *Progress) finishStep(t Task) {
	o := &p.occurrences[t.Occurrence]
	for i, s := range p.job.Steps {
		for _, a := range s.After {
			if a == t.Step {
				o.steps[i].blockers--
			}
		}
	}
	o.unfinished--
	if o.unfinished > 0 {
		return
	}
	p.unfinished--
	if p.unfinished == 0 {
		p.phase = jobCompleted
	}
}

// Cancel cancels the job. It reports false if the job has already ended.
func (p *Progress) Cancel() bool {
	if p.Final() {
		return false
	}
	p.phase = jobCancelled
	return true
}

// IsDone reports whether a task has ended successfully.
func (p *Progress) IsDone(t Task) bool {
	k := p.task(t)
	return k != nil && k.phase == taskDone
}

// Failures returns how many runs of a task, or of its gang, have failed.
func (p *Progress) Failures(t Task) int {
	if !p.Valid(t) {
		return 0
	}
	s := &p.stepsOf(t.Occurrence)[t.Step]
	if p.job.Steps[t.Step].Gang {
		return len(s.failures)
	}
	return len(s.tasks[t.Index].failures)
}

// Unfinished returns the sum of what the tasks need that are not done, in the occurrences
// that are due before a time.
func (p *Progress) Unfinished(before time.Time) lovagestand.Resources {
	var sum lovagestand.Resources
	for k := range p.occurrences {
		o := &p.occurrences[k]
		if o.unfinished == 0 || !p.job.Schedule.Due(k).Before(before) {
			continue
		}
		for i, s := range p.job.Steps {
			tasks := s.Count
			if o.steps != nil {
				tasks = o.steps[i].unfinished
			}
			sum = sum.Add(s.Needs.Times(int64(tasks)))
		}
	}
	return sum
}

// Done returns the tasks that are done.
func (p *Progress) Done() []Task {
	var done []Task
	for k := range p.occurrences {
		for i, s := range p.occurrences[k].steps {
			for n := range s.tasks {
				if s.tasks[n].phase == taskDone {
					done = append(done, Task{Occurrence: k, Step: i, Index: n})
				}
			}
		}
	}
	return done
}

// RemainingWork returns the core time and the critical path of the tasks of an
// occurrence that are not done, with runTime giving the expected run time of a
// step's tasks. The critical path is the longest chain of dependent run times.
func (p *Progress) RemainingWork(occurrence int, runTime func(Step) time.Duration) (core, criticalPath time.Duration) {
	steps := p.stepsOf(occurrence)
	ends := make([]time.Duration, len(steps))
	for i, s := range p.job.Steps {
		var begin time.Duration
		for _, a := range s.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin
		if steps[i].unfinished > 0 {
			d := runTime(s)
			ends[i] += d
			core += time.Duration(float64(d) * float64(steps[i].unfinished) * float64(s.Needs.MilliCPU) / 1000)
		}
		criticalPath = max(criticalPath, ends[i])
	}
	return core, criticalPath
}
