package fleet

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
)

// Events waits for changes after a sequence number and returns them, see
// [lovagestand.Workers].
func (w *Worker) Events(ctx context.Context, after uint64, wait time.Duration) ([]lovagestand.TaskReport, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reports, changed, err := w.changesAfter(ctx, after)
		if err != nil || len(reports) > 0 {
			return reports, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, w.unavailable(ctx.Err().Error())
		}
	}
}

// changesAfter returns the changes after a sequence number, and a channel that is
// closed at the next change.
func (w *Worker) changesAfter(ctx context.Context, after uint64) ([]lovagestand.TaskReport, <-chan struct{}, error) {
	var reports []lovagestand.TaskReport
	var changed <-chan struct{}
	err := w.do(ctx, func(time.Time) error {
		if after < w.sequence {
			reports = w.reports(after)
		}
		changed = w.changed
		return nil
	})
	return reports, changed, err
}

// publish gives the changed task the next sequence number and wakes the callers
// that wait for events.
func (w *Worker) publish(r *run) {
	w.sequence++
	r.report.Sequence = w.sequence
	w.notifyWaiters()
}

// notifyWaiters makes all callers that wait for events check again.
func (w *Worker) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// finishTask ends a task whose run time has passed.
func (w *Worker) finishTask(r *run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if r.work.Fail {
		w.end(r, lovagestand.TaskFailed, "request failed")
		return
	}
	w.end(r, lovagestand.TaskDone, "")
}

// expireLease stops a task whose lease was not renewed in time.
func (w *Worker) expireLease(r *run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if time.Now().Before(r.leaseEnd) {
		return // renewed while the timer fired
	}
	w.end(r, lovagestand.TaskStopped, "lease lapsed")
}

// publishUsage reports the usage of a task that has run for [UsageLag].
func (w *Worker) publishUsage(r *run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if r.report.Phase != lovagestand.TaskRunning {
		return
	}
	r.report.Usage = r.report.Task.Resources.Times(max(1, w.faults.UsageRatio))
	w.publish(r)
}

// end ends a task. It has no effect if the task has already ended.
func (w *Worker) end(r *run, phase lovagestand.TaskPhase, reason string) {
	if r.report.Phase.Ended() {
		return
	}
	for _, t := range []*time.Timer{r.finishTimer, r.leaseTimer, r.usageTimer} {
		if t != nil {
			t.Stop()
		}
	}
	r.report.Phase = phase
	r.report.Reason = reason
	if phase == lovagestand.TaskDone {
		r.report.Body = Answer(r.start.Task.Key, r.start.Body)
	}
	r.start.Body = nil
	r.endedAt = time.Now()
	w.ended = append(w.ended, r)
	if w.observer != nil {
		w.observer.Ended(r.endedAt, w.spec, r.report)
	}
	w.publish(r)
}

// pruneEnded removes the ended tasks whose [Retention] has passed.
func (w *Worker) pruneEnded(now time.Time) {
	for len(w.ended) > 0 && now.Sub(w.ended[0].endedAt) >= Retention {
		delete(w.tasks, w.ended[0].report.Task.ID)
		w.ended = w.ended[1:]
	}
}
