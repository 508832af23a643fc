package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// Slots is the number of tasks that a runner is meant to hold at once. The
	// stand-in does not enforce it.
	Slots = 8
	// MaxConnections is the number of connections that a runner accepts.
	MaxConnections = 60
	// Retention is how long an ended task is retained with its complete answer.
	Retention = 10 * time.Minute
	// UsageLag is how far the reported usage lags behind the actual usage.
	UsageLag = 200 * time.Millisecond
)

// Observer receives what actually happens at the workers, in order for each
// worker. It must not call the workers, because they hold their locks.
type Observer interface {
	// Offered reports a request to start a task that the worker does not hold
	// yet, before the worker accepts or refuses it.
	Offered(at time.Time, on lovagestand.Worker, start lovagestand.TaskStart)
	// Started reports a task that begins to run.
	Started(at time.Time, on lovagestand.Worker, start lovagestand.TaskStart)
	// Ended reports a task that has ended.
	Ended(at time.Time, on lovagestand.Worker, report lovagestand.TaskReport)
	// Leaving reports that a worker accepts no new tasks from now on.
	Leaving(at time.Time, on lovagestand.Worker)
}

// Worker is one worker with its runner.
type Worker struct {
	mutex    sync.Mutex
	spec     lovagestand.Worker
	observer Observer
	faults   Faults
	tasks    map[lovagestand.TaskID]*run
	// ended holds the retained tasks in the order in which they ended.
	ended    []*run
	sequence uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// run is one task that a worker holds or retains.
type run struct {
	report lovagestand.TaskReport
	start  lovagestand.TaskStart
	work   Work
	// runTime is the run time that remained when the task started here.
	runTime     time.Duration
	finishTimer *time.Timer
	leaseTimer  *time.Timer
	usageTimer  *time.Timer
	endedAt     time.Time
	leaseEnd    time.Time
}

// NewWorker returns a worker without tasks. The observer may be nil.
func NewWorker(spec lovagestand.Worker, observer Observer) *Worker {
	return &Worker{
		spec:     spec,
		observer: observer,
		tasks:    map[lovagestand.TaskID]*run{},
		changed:  make(chan struct{}),
	}
}

// Spec returns the description of w for the member list.
func (w *Worker) Spec() lovagestand.Worker {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.spec
}

// SetLeaving sets whether w refuses new tasks because it is leaving.
func (w *Worker) SetLeaving(leaving bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.spec.Leaving = leaving
	if leaving && w.observer != nil {
		w.observer.Leaving(time.Now(), w.spec)
	}
	w.notifyWaiters()
}

// Start starts a task, see [lovagestand.Workers].
func (w *Worker) Start(ctx context.Context, start lovagestand.TaskStart) error {
	return w.do(ctx, func(now time.Time) error {
		if w.tasks[start.Task.ID] != nil {
			return nil
		}
		if w.observer != nil {
			w.observer.Offered(now, w.spec, start)
		}
		switch {
		case w.spec.Leaving:
			return w.refused("leaving")
		case w.faults.Refuse:
			return w.refused("takes no tasks")
		case pastDeadline(now, start.NotAfter) && !w.faults.IgnoreNotAfter:
			return w.refused("too late to begin")
		}
		w.begin(now, start)
		return nil
	})
}

func pastDeadline(now, notAfter time.Time) bool {
	return !notAfter.IsZero() && now.After(notAfter)
}

// begin starts a task, even if it exceeds the worker's capacity.
func (w *Worker) begin(now time.Time, start lovagestand.TaskStart) {
	r := &run{start: start, work: parseWork(start.Body)}
	r.runTime = time.Duration(r.work.RunFor)
	if len(start.Checkpoint) > 0 {
		r.runTime = remainingRunTime(start.Checkpoint, r.runTime)
	}
	r.report = lovagestand.TaskReport{Task: start.Task, Phase: lovagestand.TaskRunning, Started: now}
	w.tasks[start.Task.ID] = r
	if w.observer != nil {
		w.observer.Started(now, w.spec, start)
	}
	w.publish(r)
	if w.faults.FailAll {
		w.end(r, lovagestand.TaskFailed, "runner failed")
		return
	}
	r.finishTimer = time.AfterFunc(r.runTime, func() { w.finishTask(r) })
	if start.Lease > 0 {
		r.leaseEnd = now.Add(start.Lease)
		r.leaseTimer = time.AfterFunc(start.Lease, func() { w.expireLease(r) })
	}
	r.usageTimer = time.AfterFunc(UsageLag, func() { w.publishUsage(r) })
}

// Renew renews the leases of tasks and returns those that do not run, see
// [lovagestand.Workers].
func (w *Worker) Renew(ctx context.Context, lease time.Duration, tasks []lovagestand.TaskID) ([]lovagestand.TaskID, error) {
	var missing []lovagestand.TaskID
	err := w.do(ctx, func(now time.Time) error {
		for _, id := range tasks {
			r := w.tasks[id]
			if r == nil || r.report.Phase.Ended() {
				missing = append(missing, id)
				continue
			}
			r.leaseEnd = now.Add(lease)
			if r.leaseTimer != nil {
				r.leaseTimer.Reset(lease)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return missing, nil
}

// Stop stops tasks, see [lovagestand.Workers].
func (w *Worker) Stop(ctx context.Context, tasks []lovagestand.TaskID) error {
	return w.do(ctx, func(time.Time) error {
		for _, id := range tasks {
			if r := w.tasks[id]; r != nil {
				w.end(r, lovagestand.TaskStopped, "stopped")
			}
		}
		return nil
	})
}

// Throttle limits a task to its reservation, see [lovagestand.Workers].
func (w *Worker) Throttle(ctx context.Context, task lovagestand.TaskID) error {
	return w.do(ctx, func(time.Time) error {
		r := w.tasks[task]
		if r == nil || r.report.Phase.Ended() {
			return w.refused("task does not run")
		}
		r.report.Phase = lovagestand.TaskThrottled
		r.report.Usage = r.report.Task.Resources
		w.publish(r)
		return nil
	})
}

// State returns all tasks that w holds, see [lovagestand.Workers].
func (w *Worker) State(ctx context.Context) (lovagestand.WorkerState, error) {
	var s lovagestand.WorkerState
	err := w.do(ctx, func(time.Time) error {
		s.Leaving = w.spec.Leaving
		s.Sequence = w.sequence
		s.Retention = Retention
		s.Tasks = w.reports(0)
		return nil
	})
	if err != nil {
		return lovagestand.WorkerState{}, err
	}
	return s, nil
}

// reports returns reports on the tasks that changed after a sequence number, in
// the order of the changes.
func (w *Worker) reports(after uint64) []lovagestand.TaskReport {
	var reports []lovagestand.TaskReport
	for _, r := range w.tasks {
		if r.report.Sequence > after {
			reports = append(reports, r.report)
		}
	}
	slices.SortFunc(reports, func(a, b lovagestand.TaskReport) int {
		return int(int64(a.Sequence) - int64(b.Sequence))
	})
	return reports
}
