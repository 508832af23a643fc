package fleet

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
)

// Faults says how a [Worker] misbehaves; the zero value is a sound worker.
type Faults struct {
	// Unreachable breaks every call; tasks run on under their leases.
	Unreachable bool
	// Refuse turns every start away.
	Refuse bool
	// FailAll makes every task that starts fail at once.
	FailAll bool
	// Delay passes before a call takes effect, even when the caller has gone.
	Delay time.Duration
	// IgnoreNotAfter starts tasks whose time to begin has passed.
	IgnoreNotAfter bool
	// Outgrow multiplies a task's usage over its reservation; 0 stands for 1.
	Outgrow int64
}

// SetFaults replaces the faults from now on.
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

// do runs an effect under the lock as the faults allow. A delayed effect takes
// place even if the caller gives up before.
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
