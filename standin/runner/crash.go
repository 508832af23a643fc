package runner

import (
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// crashAllowance is how many workers a task may crash before its starts are
	// limited, and startAllowance the number of starts after that which breaks the
	// rule.
	crashAllowance = 3
	startAllowance = 3
)

// Crashes describes tasks that crash the workers that start them.
type Crashes struct {
	// By reports whether a run crashes its worker, and how long after its start.
	By func(order lovagestand.Order) (after time.Duration, crashes bool)
	// Downtime is how long a crashed worker is away. It returns at the same address
	// under another name.
	Downtime time.Duration
	// Returned, if set, is called when a worker returns.
	Returned func(former lovagestand.WorkerName, w lovagestand.FleetWorker)
}

// WithCrashes makes some tasks crash their workers.
func WithCrashes(c Crashes) Option {
	return func(f *Fleet) { f.crashes = c }
}

// scheduleCrash makes the worker crash if the order says so.
func (f *Fleet) scheduleCrash(w *worker, o lovagestand.Order) {
	if f.crashes.By == nil {
		return
	}
	after, crashes := f.crashes.By(o)
	if !crashes {
		return
	}
	time.AfterFunc(after, func() {
		f.mu.Lock()
		r := w.runs[o.Task]
		up := w.lifetime.Err() == nil && r != nil && r.record.Number == o.Run
		if up {
			f.crashCounts[o.Task]++
			f.crash(w)
			delete(f.workers, w.name)
			f.down[w.name] = true
		}
		f.mu.Unlock()
		if up {
			f.returnLater(w)
		}
	})
}

// returnLater starts a worker at the address of a crashed one after the downtime.
func (f *Fleet) returnLater(w *worker) {
	time.AfterFunc(f.crashes.Downtime, func() {
		entry := f.Add(w.name+"+", w.capacity)
		f.mu.Lock()
		f.replaced[w.name] = true
		f.mu.Unlock()
		if f.crashes.Returned != nil {
			f.crashes.Returned(w.name, entry)
		}
	})
}

// refuseForDown returns the error of an order to a worker that has crashed by
// [Crashes]: a reset while it is away, and a refusal by the worker that follows.
func (f *Fleet) refuseForDown(name lovagestand.WorkerName) error {
	switch {
	case f.replaced[name]:
		return &lovagestand.OrderRefusedError{Worker: name, Reason: lovagestand.RefusalRestarted}
	case f.down[name]:
		return &lovagestand.UnavailableError{System: "worker", Reason: "reset"}
	}
	return nil
}

// checkCrashBudget adds a violation if a task is started too often after it has
// crashed too many workers.
func (f *Fleet) checkCrashBudget(started *Run) {
	if f.crashCounts[started.Task] < crashAllowance {
		return
	}
	f.startsAfterCrashes[started.Task]++
	if f.startsAfterCrashes[started.Task] == startAllowance {
		f.addViolation("BUDGET: %s, the third start after %d workers had crashed under the task", f.describe(started), crashAllowance)
	}
}
