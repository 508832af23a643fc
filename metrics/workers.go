package metrics

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
)

// countingWorkers counts the calls to workers by kind, and the starts by result.
type countingWorkers struct {
	workers lovagestand.Workers
	metrics *Metrics
}

var _ lovagestand.Workers = (*countingWorkers)(nil)

// Workers returns a client for workers that counts the calls to workers.
func (m *Metrics) Workers(workers lovagestand.Workers) lovagestand.Workers {
	return &countingWorkers{workers: workers, metrics: m}
}

func (w *countingWorkers) count(kind string) {
	w.metrics.workerCalls.Add(kind, 1)
}

// Start implements [lovagestand.Workers].
func (w *countingWorkers) Start(ctx context.Context, address string, start lovagestand.TaskStart) error {
	w.count("start")
	err := w.workers.Start(ctx, address, start)
	w.metrics.starts.Add(startResult(err), 1)
	return err
}

// startResult returns the key under which a start with the error err is counted.
// Ambiguous means that it is unknown whether the worker started the task.
func startResult(err error) string {
	var refused *lovagestand.RefusedError
	switch {
	case err == nil:
		return "confirmed"
	case errors.As(err, &refused):
		return "refused"
	}
	return "ambiguous"
}

// Renew implements [lovagestand.Workers].
func (w *countingWorkers) Renew(ctx context.Context, address string, lease time.Duration, tasks []lovagestand.TaskID) ([]lovagestand.TaskID, error) {
	w.count("renew")
	return w.workers.Renew(ctx, address, lease, tasks)
}

// Stop implements [lovagestand.Workers].
func (w *countingWorkers) Stop(ctx context.Context, address string, tasks []lovagestand.TaskID) error {
	w.count("stop")
	return w.workers.Stop(ctx, address, tasks)
}

// Checkpoint implements [lovagestand.Workers].
func (w *countingWorkers) Checkpoint(ctx context.Context, address string, task lovagestand.TaskID) ([]byte, error) {
	w.count("checkpoint")
	return w.workers.Checkpoint(ctx, address, task)
}

// Throttle implements [lovagestand.Workers].
func (w *countingWorkers) Throttle(ctx context.Context, address string, task lovagestand.TaskID) error {
	w.count("throttle")
	return w.workers.Throttle(ctx, address, task)
}

// State implements [lovagestand.Workers].
func (w *countingWorkers) State(ctx context.Context, address string) (lovagestand.WorkerState, error) {
	w.count("state")
	return w.workers.State(ctx, address)
}

// Events implements [lovagestand.Workers].
func (w *countingWorkers) Events(ctx context.Context, address string, after uint64, wait time.Duration) ([]lovagestand.TaskReport, error) {
	w.count("events")
	return w.workers.Events(ctx, address, after, wait)
}
