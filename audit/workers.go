package audit

import (
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Offered judges a start that reaches a worker, taken or refused.
func (a *Auditor) Offered(at time.Time, on lovagestand.Worker, start lovagestand.TaskStart) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	left := a.load(on).left
	if !on.Leaving || left.IsZero() || at.Sub(left) <= LeavingGrace {
		return
	}
	a.violate(Violation{At: at, Kind: KindLeavingWorker, Key: start.Task.Key, Task: start.Task.ID, Worker: on.Name},
		"offered %s after the worker left", at.Sub(left).Round(time.Millisecond))
}

// Leaving notes that a worker takes no new work from now on.
func (a *Auditor) Leaving(at time.Time, on lovagestand.Worker) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.load(on).left = at
}

// Started judges a task that begins to run.
func (a *Auditor) Started(at time.Time, on lovagestand.Worker, start lovagestand.TaskStart) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.starts++
	t := start.Task
	v := Violation{At: at, Key: t.Key, Task: t.ID, Worker: on.Name}
	a.judgeFit(v, a.load(on), t)
	a.judgeRuns(v, start)
}

func (a *Auditor) judgeFit(v Violation, l *load, t lovagestand.Task) {
	l.running[t.ID] = t
	l.used = l.used.Add(t.Resources)
	if l.used.Fits(l.spec.Capacity) {
		return
	}
	v.Kind = KindOverCommit
	a.violate(v, "%d tasks were given %s of %s", len(l.running), l.used, l.spec.Capacity)
}

func (a *Auditor) judgeRuns(v Violation, start lovagestand.TaskStart) {
	t := start.Task
	w := a.work(t.Key)
	allowed := max(1, t.GangSize)
	if t.Exclusive && len(w.runs) >= allowed {
		v.Kind = KindDoubleRun
		a.violate(v, "task %s runs at worker %s already", w.runs[0].task, w.runs[0].worker)
	}
	// A task that resumes from a checkpoint continues an earlier start.
	if len(start.Checkpoint) == 0 {
		w.starts++
	}
	if !t.Idempotent && w.starts > allowed {
		v.Kind = KindRepeated
		a.violate(v, "start %d of a request that may start %d times", w.starts, allowed)
	}
	if w.notRun {
		v.Kind = KindFalseNotRun
		a.violate(v, "started %s after its caller was told that it did not run: %s",
			v.At.Sub(w.toldAt).Round(time.Millisecond), w.toldWhy)
	}
	w.latest, w.startAt = place{task: t.ID, worker: v.Worker}, v.At
	w.runs = append(w.runs, w.latest)
}

// Ended notes that a task runs no more.
func (a *Auditor) Ended(_ time.Time, on lovagestand.Worker, report lovagestand.TaskReport) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	l := a.load(on)
	delete(l.running, report.Task.ID)
	l.used = l.used.Sub(report.Task.Resources)
	ended := place{task: report.Task.ID, worker: on.Name}
	w := a.work(report.Task.Key)
	if i := slices.Index(w.runs, ended); i >= 0 {
		w.runs = slices.Delete(w.runs, i, i+1)
	}
}

// Usage sums up what the workers hold at one moment.
type Usage struct {
	// Starts counts the tasks started up to now, Running those that run.
	Starts  int `json:"starts"`
	Running int `json:"running"`
	// Busy counts the workers that run something.
	Busy int `json:"busy"`
	// Packing is the dominant share that the running tasks take of the
	// workers that run something, 0 to 1.
	Packing float64 `json:"packing"`
	// Share is the dominant share that they take of all workers, 0 to 1.
	Share float64 `json:"share"`
}

// Usage returns what the workers hold now.
func (a *Auditor) Usage() Usage {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	u := Usage{Starts: a.starts}
	var used, busy, all lovagestand.Resources
	for _, l := range a.workers {
		all = all.Add(l.spec.Capacity)
		if len(l.running) == 0 {
			continue
		}
		u.Busy++
		u.Running += len(l.running)
		used = used.Add(l.used)
		busy = busy.Add(l.spec.Capacity)
	}
	if u.Busy > 0 {
		u.Packing = used.DominantShare(busy)
		u.Share = used.DominantShare(all)
	}
	return u
}
