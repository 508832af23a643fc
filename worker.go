package lovagestand

import (
	"context"
	"fmt"
	"time"
)

// Worker describes a worker as listed in the [MemberList].
type Worker struct {
	Name          WorkerName    `json:"name"`
	Address       string        `json:"address"`
	Region        RegionName    `json:"region"`
	FailureDomain FailureDomain `json:"failureDomain"`
	Rack          RackName      `json:"rack"`
	// Runner is the name of the backend service that the worker runs, such as
	// "glazedesk".
	Runner   string    `json:"runner"`
	Capacity Resources `json:"capacity"`
	// Slots is the maximum number of tasks that the runner holds at once.
	Slots int `json:"slots"`
	// Leaving is set if the worker takes no new tasks.
	Leaving bool `json:"leaving,omitempty"`
}

// Shard returns the shard that w belongs to.
func (w Worker) Shard() ShardName {
	return ShardOf(w.Region, w.Rack)
}

// WithLeaving returns a copy of w with Leaving replaced.
func (w Worker) WithLeaving(leaving bool) Worker {
	w.Leaving = leaving
	return w
}

// WorkerState is a snapshot of all tasks that a worker holds.
type WorkerState struct {
	Leaving bool `json:"leaving"`
	// Tasks holds the running tasks and the ended tasks that are still
	// retained.
	Tasks []TaskReport `json:"tasks"`
	// Sequence is the sequence number from which [Workers.Events] continues.
	Sequence uint64 `json:"sequence"`
	// Retention is how long the worker retains an ended task.
	Retention time.Duration `json:"retention"`
}

// Workers calls workers by their addresses. A call that fails with any error other
// than a [RefusedError] may or may not have taken effect.
type Workers interface {
	// Start starts a task. It succeeds and changes nothing if the worker
	// already holds or still retains a task with the same TaskID.
	Start(ctx context.Context, address string, start TaskStart) error
	// Renew renews the leases of tasks and returns those that the worker does
	// not run.
	Renew(ctx context.Context, address string, lease time.Duration, tasks []TaskID) ([]TaskID, error)
	// Stop stops tasks. Once it has returned nil, they no longer run.
	Stop(ctx context.Context, address string, tasks []TaskID) error
	// Checkpoint stops a task and returns the checkpoint to resume it from.
	Checkpoint(ctx context.Context, address string, task TaskID) ([]byte, error)
	// Throttle limits a task to the resources reserved for it.
	Throttle(ctx context.Context, address string, task TaskID) error
	// State returns all tasks that the worker holds.
	State(ctx context.Context, address string) (WorkerState, error)
	// Events waits for changes after a sequence number and returns them. It
	// returns none once wait has passed.
	Events(ctx context.Context, address string, after uint64, wait time.Duration) ([]TaskReport, error)
}

// RefusedError is returned when a worker refused a call. The call is guaranteed
// to have had no effect.
type RefusedError struct {
	Worker WorkerName
	Reason string
	// Leaving is set if the worker refuses all new tasks.
	Leaving bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %q refused: %s", e.Worker, e.Reason)
}
