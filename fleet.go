package lovagestand

import (
	"context"
	"time"
)

// WorkerIncarnation identifies one incarnation of a worker. A worker that
// restarts holds none of its earlier runs, even if it keeps its name.
type WorkerIncarnation struct {
	Name WorkerName
	// Born is the worker's start in milliseconds since 1970; 0 if the worker
	// does not report it.
	Born int64
}

// FleetWorker is a worker as it registers itself in the store.
type FleetWorker struct {
	WorkerIncarnation
	// Service is the name of the backend service that the worker runs.
	Service       string
	Address       string
	FailureDomain FailureDomain
	Rack          RackName
	Labels        []string
	Capacity      Resources
	// Ready is false if the worker is about to leave.
	Ready bool
	// Heartbeat changes with each heartbeat of the worker.
	Heartbeat int64
	// Connections bounds the connections that orders to the worker use. An owner sets it; it
	// is no part of the registration.
	Connections ConnectionLimits
}

// ConnectionLimits bounds the connections of one instance to one worker. A worker accepts a
// limited number of connections from all instances, and does not notice when the machine of
// one vanishes. The zero value stands for the limits of the client.
type ConnectionLimits struct {
	// Open is the maximum number of open connections.
	Open int
	// Kept is the maximum number of connections that stay open between orders.
	Kept int
}

// Order starts one run of a task on a worker.
type Order struct {
	Task string
	// Run numbers the starts of a task. A later start has a higher number.
	Run  int64
	Spec string
	// Until is the end of the worker's lease, in milliseconds on its clock.
	Until int64
	// Epoch is the fencing token of the sender.
	Epoch Epoch
	// Checkpoint is where the task resumes; empty to start at the beginning.
	Checkpoint string
	// Ticket is the permission of the [Adviser]; empty if none is needed.
	Ticket string
}

// RefusalReason is the reason why a worker refused an order.
type RefusalReason string

// The reasons for which a worker refuses an order.
const (
	RefusalFenced    RefusalReason = "fenced"
	RefusalStaleRun  RefusalReason = "staleRun"
	RefusalLate      RefusalReason = "late"
	RefusalNoRoom    RefusalReason = "noRoom"
	RefusalTicket    RefusalReason = "ticket"
	RefusalRestarted RefusalReason = "reborn"
	RefusalUnhealthy RefusalReason = "unhealthy"
	RefusalInvalid   RefusalReason = "invalid"
)

// OrderRefusedError is returned when a worker refused an order. The order is
// guaranteed to have had no effect.
type OrderRefusedError struct {
	Worker WorkerName
	Reason RefusalReason
}

// Error implements error.
func (e *OrderRefusedError) Error() string {
	return "worker " + string(e.Worker) + " refused an order: " + string(e.Reason)
}

// RunningTask is a run that has not ended on a worker.
type RunningTask struct {
	Task       string
	Run        int64
	Checkpoint string
	// Percent is the percentage of the time in which the task may work.
	Percent int
}

// RunEnding is the way in which a run ended.
type RunEnding string

// The ways in which a run ends.
const (
	EndingDone    RunEnding = "done"
	EndingFailed  RunEnding = "failed"
	EndingStopped RunEnding = "stopped"
	// EndingLapsed is the ending of a run whose worker's lease expired.
	EndingLapsed RunEnding = "lapsed"
	// EndingBroken is the ending of a gang member that was stopped because
	// another member ended.
	EndingBroken RunEnding = "broken"
	// EndingAlone is the ending of a gang member whose other members did not
	// arrive in time.
	EndingAlone RunEnding = "alone"
)

// EndedTask is a run that has ended on a worker.
type EndedTask struct {
	// Number numbers the ended runs of one incarnation of a worker.
	Number     int64
	Task       string
	Run        int64
	Ending     RunEnding
	Checkpoint string
}

// HoldReply is a worker's reply to a [HoldRequest]: its running tasks, its ended
// tasks and its clock in milliseconds.
type HoldReply struct {
	Clock   int64
	Born    int64
	Running []RunningTask
	Ended   []EndedTask
}

// HoldRequest renews a worker's lease and requests what the worker holds.
type HoldRequest struct {
	Epoch Epoch
	// Born is the incarnation that Seen and Until apply to; 0 if it is not
	// known. A [Fleet] that cannot guarantee to reach that incarnation only
	// queries the worker, without Seen and Until.
	Born int64
	// Seen is the [EndedTask] number up to which the worker may forget ended
	// tasks.
	Seen int64
	// Until is the end of the lease on the worker's clock; 0 leaves the lease
	// unchanged.
	Until int64
	// Wait is how long the worker may wait for a task to end before it replies.
	Wait time.Duration
}

// WorkerClock is a worker's own clock as the worker reports it in a reply. Millis
// is its time in milliseconds, and Born identifies the worker's incarnation.
type WorkerClock struct {
	Millis int64
	Born   int64
}

// Fleet sends orders to workers. A call that fails with an [OrderRefusedError] is
// guaranteed to have had no effect. A call that fails with any other error may
// still take effect.
type Fleet interface {
	Start(ctx context.Context, worker FleetWorker, order Order) (WorkerClock, error)
	Stop(ctx context.Context, worker FleetWorker, task string, run int64, epoch Epoch) (WorkerClock, error)
	Hold(ctx context.Context, worker FleetWorker, request HoldRequest) (HoldReply, error)
}

// Ticket permits the tasks of one step to run on a worker.
type Ticket struct {
	Worker WorkerName
	Value  string
}

// Advice is the reply of the [Adviser] for one step.
type Advice struct {
	Tickets  []Ticket
	Validity time.Duration
}

// Adviser queries the service that decides which workers may run a step. The
// service handles one call at a time for each instance.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []WorkerName) (Advice, error)
}
