package audit

import (
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Offered checks a task start that reaches a worker, whether the worker accepts or
// refuses it.
func (a *Auditor) Offered(at time.Time, worker lovagestand.Worker, start lovagestand.TaskStart) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	leftAt := a.workerState(worker).leftAt
	if !worker.Leaving || leftAt.IsZero() || at.Sub(leftAt) <= LeavingGrace {
		return
	}
	a.record(Violation{At: at, Kind: KindLeavingWorker, Key: start.Task.Key, Task: start.Task.ID, Worker: worker.Name},
		"offered %s after the worker left", at.Sub(leftAt).Round(time.Millisecond))
}

// Leaving records that a worker accepts no new tasks from now on.
func (a *Auditor) Leaving(at time.Time, worker lovagestand.Worker) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.workerState(worker).leftAt = at
}

// Started checks a task that starts to run.
func (a *Auditor) Started(at time.Time, worker lovagestand.Worker, start lovagestand.TaskStart) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.starts++
	task := start.Task
	v := Violation{At: at, Key: task.Key, Task: task.ID, Worker: worker.Name}
	a.checkCapacity(v, a.workerState(worker), task)
	a.checkRuns(v, start)
}

// checkCapacity adds a task to those of its worker and checks that they fit.
func (a *Auditor) checkCapacity(violation Violation, worker *workerState, task lovagestand.Task) {
	worker.running[task.ID] = task
	worker.used = worker.used.Add(task.Resources)
	if worker.used.Fits(worker.spec.Capacity) {
		return
	}
	violation.Kind = KindOverCommit
	a.record(violation, "%d tasks were given %s of %s", len(worker.running), worker.used, worker.spec.Capacity)
}

// checkRuns checks a start against the other starts of the same request and
// against the answer to its caller.
func (a *Auditor) checkRuns(violation Violation, start lovagestand.TaskStart) {
	task := start.Task
	request := a.requestState(task.Key)
	allowed := max(1, task.GangSize)
	if task.Exclusive && len(request.running) >= allowed {
		violation.Kind = KindDoubleRun
		a.record(violation, "task %s runs at worker %s already", request.running[0].task, request.running[0].worker)
	}
	// A task that resumes from a checkpoint continues an earlier start.
	if len(start.Checkpoint) == 0 {
		request.starts++
	}
	if !task.Idempotent && request.starts > allowed {
		violation.Kind = KindRepeated
		a.record(violation, "start %d of a request that may start %d times", request.starts, allowed)
	}
	if request.notRun {
		violation.Kind = KindFalseNotRun
		a.record(violation, "started %s after its caller was told that it did not run: %s",
			violation.At.Sub(request.notRunAt).Round(time.Millisecond), request.notRunReason)
	}
	request.lastRun, request.lastStart = run{task: task.ID, worker: violation.Worker}, violation.At
	request.running = append(request.running, request.lastRun)
}

// Ended records that a task no longer runs.
func (a *Auditor) Ended(_ time.Time, worker lovagestand.Worker, report lovagestand.TaskReport) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	state := a.workerState(worker)
	delete(state.running, report.Task.ID)
	state.used = state.used.Sub(report.Task.Resources)
	ended := run{task: report.Task.ID, worker: worker.Name}
	request := a.requestState(report.Task.Key)
	if i := slices.Index(request.running, ended); i >= 0 {
		request.running = slices.Delete(request.running, i, i+1)
	}
}

// Usage is the use of the workers at one moment.
type Usage struct {
	// Starts counts the tasks started up to now, Running those that still run.
	Starts  int `json:"starts"`
	Running int `json:"running"`
	// Busy counts the workers that run at least one task.
	Busy int `json:"busy"`
	// Packing is the dominant share that the running tasks use of the capacity
	// of the busy workers, 0 to 1.
	Packing float64 `json:"packing"`
	// Share is the dominant share that the running tasks use of the capacity of
	// all workers, 0 to 1.
	Share float64 `json:"share"`
}

// Usage returns the current use of the workers.
func (a *Auditor) Usage() Usage {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	u := Usage{Starts: a.starts}
	var used, busy, all lovagestand.Resources
	for _, worker := range a.workers {
		all = all.Add(worker.spec.Capacity)
		if len(worker.running) == 0 {
			continue
		}
		u.Busy++
		u.Running += len(worker.running)
		used = used.Add(worker.used)
		busy = busy.Add(worker.spec.Capacity)
	}
	if u.Busy > 0 {
		u.Packing = used.DominantShare(busy)
		u.Share = used.DominantShare(all)
	}
	return u
}
