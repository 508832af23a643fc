package fleet

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
)

// Fleet is a set of workers with their addresses. It implements
// [lovagestand.Workers] for callers in the same process.
type Fleet struct {
	workers []*Worker
	byName  map[lovagestand.WorkerName]*Worker
	// byAddress is complete before the fleet is used and needs no lock.
	byAddress map[string]*Worker
}

var _ lovagestand.Workers = (*Fleet)(nil)

// New returns a fleet of workers that are reachable at the addresses in their
// specs. The observer may be nil.
func New(specs []lovagestand.Worker, observer Observer) *Fleet {
	f := &Fleet{
		byName:    map[lovagestand.WorkerName]*Worker{},
		byAddress: map[string]*Worker{},
	}
	for _, s := range specs {
		w := NewWorker(s, observer)
		f.workers = append(f.workers, w)
		f.byName[s.Name] = w
		f.byAddress[s.Address] = w
	}
	return f
}

// Workers returns all workers in the order of their specs.
func (f *Fleet) Workers() []*Worker {
	return f.workers
}

// Worker returns the worker with a name, or nil if there is none.
func (f *Fleet) Worker(name lovagestand.WorkerName) *Worker {
	return f.byName[name]
}

// Specs returns the descriptions of all workers for the member list.
func (f *Fleet) Specs() []lovagestand.Worker {
	specs := make([]lovagestand.Worker, 0, len(f.workers))
	for _, w := range f.workers {
		specs = append(specs, w.Spec())
	}
	return specs
}

func (f *Fleet) workerAt(address string) (*Worker, error) {
	w := f.byAddress[address]
	if w == nil {
		return nil, &lovagestand.UnavailableError{System: "worker", Reason: "nothing listens at " + address}
	}
	return w, nil
}

// Start implements [lovagestand.Workers].
func (f *Fleet) Start(ctx context.Context, address string, start lovagestand.TaskStart) error {
	w, err := f.workerAt(address)
	if err != nil {
		return err
	}
	return w.Start(ctx, start)
}

// Renew implements [lovagestand.Workers].
func (f *Fleet) Renew(ctx context.Context, address string, lease time.Duration, tasks []lovagestand.TaskID) ([]lovagestand.TaskID, error) {
	w, err := f.workerAt(address)
	if err != nil {
		return nil, err
	}
	return w.Renew(ctx, lease, tasks)
}

// Stop implements [lovagestand.Workers].
func (f *Fleet) Stop(ctx context.Context, address string, tasks []lovagestand.TaskID) error {
	w, err := f.workerAt(address)
	if err != nil {
		return err
	}
	return w.Stop(ctx, tasks)
}

// Checkpoint implements [lovagestand.Workers].
func (f *Fleet) Checkpoint(ctx context.Context, address string, task lovagestand.TaskID) ([]byte, error) {
	w, err := f.workerAt(address)
	if err != nil {
		return nil, err
	}
	return w.Checkpoint(ctx, task)
}

// Throttle implements [lovagestand.Workers].
func (f *Fleet) Throttle(ctx context.Context, address string, task lovagestand.TaskID) error {
	w, err := f.workerAt(address)
	if err != nil {
		return err
	}
	return w.Throttle(ctx, task)
}

// State implements [lovagestand.Workers].
func (f *Fleet) State(ctx context.Context, address string) (lovagestand.WorkerState, error) {
	w, err := f.workerAt(address)
	if err != nil {
		return lovagestand.WorkerState{}, err
	}
	return w.State(ctx)
}

// Events implements [lovagestand.Workers].
func (f *Fleet) Events(ctx context.Context, address string, after uint64, wait time.Duration) ([]lovagestand.TaskReport, error) {
	w, err := f.workerAt(address)
	if err != nil {
		return nil, err
	}
	return w.Events(ctx, after, wait)
}
