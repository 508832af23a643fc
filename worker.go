package lovagestand

import (
	"context"
	"fmt"
	"time"
)

// Worker describes a worker as the member list gives it.
type Worker struct {
	Name          WorkerName    `json:"name"`
	Address       string        `json:"address"`
	Region        RegionName    `json:"region"`
	FailureDomain FailureDomain `json:"failureDomain"`
	Rack          RackName      `json:"rack"`
	// Runner names the backend service the worker runs, such as "glazedesk".
	Runner   string    `json:"runner"`
	Capacity Resources `json:"capacity"`
	// Slots is how many tasks the runner holds at once.
	Slots int `json:"slots"`
	// Leaving says that the worker takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Shard returns the shard that w belongs to.
func (w Worker) Shard() ShardName {
	return ShardOf(w.Region, w.Rack)
}

// WithLeaving returns a copy of w that is or is not leaving.
func (w Worker) WithLeaving(leaving bool) Worker {
	w.Leaving = leaving
	return w
}

// WorkerState is all that a worker holds at one moment.
type WorkerState struct {
	Leaving bool `json:"leaving"`
	// Tasks are the running tasks and the ended ones still retained.
	Tasks []TaskReport `json:"tasks"`
	// Sequence is the position from which to follow with [Workers.Events].
	Sequence uint64 `json:"sequence"`
	// Retention is how long an ended task is kept.
	Retention time.Duration `json:"retention"`
}

// Workers reaches workers by address. A call that fails with anything but a
// [RefusedError] may or may not have taken effect.
type Workers interface {
	// Start starts a task; starting a TaskID that the worker holds or retains
	// changes nothing and succeeds.
	Start(ctx context.Context, address string, start TaskStart) error
	// Renew prolongs the leases of tasks and returns those it does not run.
	Renew(ctx context.Context, address string, lease time.Duration, tasks []TaskID) ([]TaskID, error)
	// Stop stops tasks. When it returns nil they run no more.
	Stop(ctx context.Context, address string, tasks []TaskID) error
	// Checkpoint stops a task and returns where to resume it.
	Checkpoint(ctx context.Context, address string, task TaskID) ([]byte, error)
	// Throttle holds a task to its reservation.
	Throttle(ctx context.Context, address string, task TaskID) error
	// State returns all that the worker holds.
	State(ctx context.Context, address string) (WorkerState, error)
	// Events waits for changes after a sequence number and returns them, or
	// nothing when wait has passed.
	Events(ctx context.Context, address string, after uint64, wait time.Duration) ([]TaskReport, error)
}

// RefusedError says that a worker surely did not do what was asked.
type RefusedError struct {
	Worker WorkerName
	Reason string
	// Leaving says that the worker refuses all new work.
	Leaving bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %q refused: %s", e.Worker, e.Reason)
}
