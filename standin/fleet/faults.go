package fleet

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
)

// Faults configures the faults that a [Worker] injects. The zero value injects
// none.
type Faults struct {
	// Unreachable makes every call fail. Tasks continue under their leases.
	Unreachable bool
	// Refuse makes the worker refuse every start.
	Refuse bool
	// FailAll makes every task fail as soon as it starts.
	FailAll bool
	// Delay delays the effect of every call. The call takes effect even if the
	// caller has given up by then.
	Delay time.Duration
	// IgnoreNotAfter makes the worker start tasks after their deadlines
	// NotAfter.
	IgnoreNotAfter bool
	// UsageRatio is the ratio of a task's usage to its reservation; 0 counts as 1.
	UsageRatio int64
}

// SetFaults replaces the faults that are injected.
func (w *Worker) SetFaults(f Faults) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults = f
	w.notifyWaiters()
}

func (w *Worker) currentFaults() Faults {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.faults
}

// do runs effect with the lock held, unless the worker is unreachable. With
// [Faults.Delay], effect runs even if the caller gives up before.
func (w *Worker) do(ctx context.Context, effect func(now time.Time) error) error {
	f := w.currentFaults()
	if f.Unreachable {
		return w.unavailable("unreachable")
	}
	if f.Delay <= 0 {
		return w.withLock(effect)
	}
	result := make(chan error, 1)
	time.AfterFunc(f.Delay, func() { result <- w.withLock(effect) })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return w.unavailable(ctx.Err().Error())
	}
}

func (w *Worker) withLock(effect func(now time.Time) error) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.pruneEnded(now)
	return effect(now)
}

func (w *Worker) unavailable(reason string) error {
	return &lovagestand.UnavailableError{System: "worker " + string(w.spec.Name), Reason: reason}
}

func (w *Worker) refused(reason string) error {
	return &lovagestand.RefusedError{Worker: w.spec.Name, Reason: reason, Leaving: w.spec.Leaving}
}
