package job

import "lovagestand.example/lovagestand"

// Crashes counts the workers that crashed while they ran a task. The count is of the
// task, not of its gang: usually a single member crashes its worker.
type Crashes struct {
	// Confirmed counts the crashed workers that had confirmed the task's start.
	Confirmed int
	// Suspected counts the crashes that the task may have caused, as one of the runs
	// that had just started.
	Suspected int
}

const (
	// minConfirmedCrashes is how many workers must have crashed under a task before
	// it may be given up.
	minConfirmedCrashes = 2
	// maxSuspectedCrashes bounds the starts of a task that remains a suspect although
	// none of its crashes is conclusive.
	maxSuspectedCrashes = 4
	// maxBystanderCrashes is how many confirmed crashes make a task a suspect even if
	// other runs had started later each time.
	maxBystanderCrashes = 3
)

// Suspect reports whether the task may crash the next worker that starts it.
func (c Crashes) Suspect() bool {
	return c.Suspected > 0 || c.Confirmed >= maxBystanderCrashes
}

// Add returns the sum of c and d.
func (c Crashes) Add(d Crashes) Crashes {
	return Crashes{Confirmed: c.Confirmed + d.Confirmed, Suspected: c.Suspected + d.Suspected}
}

// Crashed reports whether there may be a task with crashes.
func (p *Progress) Crashed() bool { return p.crashed }

// Crashes returns the crashes under a task.
func (p *Progress) Crashes(t Task) Crashes {
	k := p.task(t)
	if k == nil {
		return Crashes{}
	}
	return k.crashes
}

// RecordCrash adds crashes of workers to those of a task. Conclusive indicates that no
// other job can have caused the crash. If the task is to be given up, the job fails.
func (p *Progress) RecordCrash(t Task, crashes Crashes, conclusive bool) {
	if p.Final() {
		return
	}
	k := p.task(t)
	if k == nil || k.phase == taskDone {
		return
	}
	k.crashes = k.crashes.Add(crashes)
	p.crashed = true
	if conclusive && k.crashes.Confirmed >= minConfirmedCrashes || k.crashes.Suspected >= maxSuspectedCrashes {
		k.phase = taskExhausted
		p.phase = jobFailed
	}
}

// ClearCrashes records that a task is not a suspect: it has run for longer than it had
// when its worker crashed.
func (p *Progress) ClearCrashes(t Task) {
	if k := p.task(t); k != nil {
		k.crashes = Crashes{}
	}
}

// suspicion is a run whose worker broke off contact just after the start. It counts as a
// crash unless the run turns out to have survived or to have ended.
type suspicion struct {
	run    int64
	worker lovagestand.WorkerIncarnation
	// confirmed indicates that the worker had confirmed the start, conclusive that no
	// other job can have caused the crash.
	confirmed, conclusive bool
}

// SuspectRun records that the worker of a run broke off contact just after the start. If
// the owner changes before it is known whether the worker has crashed, the next owner
// counts the crash with [Progress.SettleSuspicions].
func (p *Progress) SuspectRun(t Task, run int64, worker lovagestand.WorkerIncarnation, confirmed, conclusive bool) {
	if k := p.current(t, run); k != nil {
		k.suspicion = suspicion{run: run, worker: worker, confirmed: confirmed, conclusive: conclusive}
	}
}

// ClearSuspicion records that a run has not crashed its worker, or that the crash is
// counted otherwise. It reports whether the run was suspected.
func (p *Progress) ClearSuspicion(t Task, run int64) bool {
	k := p.task(t)
	if k == nil || k.suspicion.run == 0 || k.suspicion.run != run {
		return false
	}
	k.suspicion = suspicion{}
	return true
}

// SettleSuspicions counts the crashes of which a former owner did not learn the outcome,
// once all runs of former owners are known. The function crashed reports whether a worker
// has crashed. SettleSuspicions returns the tasks under which one has.
func (p *Progress) SettleSuspicions(crashed func(lovagestand.WorkerIncarnation) bool) []Task {
	var settled []Task
	for o := range p.occurrences {
		for i := range p.occurrences[o].steps {
			for n := range p.occurrences[o].steps[i].tasks {
				k := &p.occurrences[o].steps[i].tasks[n]
				if k.suspicion.run == 0 || k.phase != taskWaiting {
					continue
				}
				former := k.suspicion
				k.suspicion = suspicion{}
				if p.Final() || !crashed(former.worker) {
					continue
				}
				t := Task{Occurrence: o, Step: i, Index: n}
				crash := Crashes{Suspected: 1}
				if former.confirmed {
					crash.Confirmed = 1
				}
				p.RecordCrash(t, crash, former.conclusive)
				settled = append(settled, t)
			}
		}
	}
	return settled
}
