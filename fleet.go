package lovagestand

import (
	"context"
	"time"
)

// WorkerIncarnation identifies one life of a worker: a restarted worker holds nothing
// of before, even where it keeps its name.
type WorkerIncarnation struct {
	Name WorkerName
	// Born is the worker's start in milliseconds since 1970; 0 where the
	// worker does not tell.
	Born int64
}

// FleetWorker is a worker as it registers itself in the store.
type FleetWorker struct {
	WorkerIncarnation
	// Service names the backend service it runs.
	Service       string
	Address       string
	FailureDomain FailureDomain
	Rack          RackName
	Labels        []string
	Capacity      Resources
	// Ready is false for a worker that is about to leave.
	Ready bool
	// Heartbeat changes with each heartbeat of the worker.
	Heartbeat int64
}

// Order starts one run of a task on a worker.
type Order struct {
	Task string
	// Run numbers the starts of a task and only rises.
	Run  int64
	Spec string
	// Until is the end of the worker's lease, in milliseconds on its clock.
	Until int64
	// Epoch is the fencing token of the sender.
	Epoch Epoch
	// Checkpoint is where to resume; empty for the beginning.
	Checkpoint string
	// Ticket is the policy's permission; empty where none is needed.
	Ticket string
}

// RefusalReason says why a worker did not take an order.
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

// OrderRefusedError says that a worker has surely not done what it was told.
type OrderRefusedError struct {
	Worker WorkerName
	Reason RefusalReason
}

// Error implements error.
func (e *OrderRefusedError) Error() string {
	return "worker " + string(e.Worker) + " refused an order: " + string(e.Reason)
}

// RunningTask is a run that a worker holds.
type RunningTask struct {
	Task       string
	Run        int64
	Checkpoint string
	// Percent is how much of its time the task may work.
	Percent int
}

// RunEnding says how a run ended.
type RunEnding string

// The ways in which a run ends.
const (
	EndingDone    RunEnding = "done"
	EndingFailed  RunEnding = "failed"
	EndingStopped RunEnding = "stopped"
	// EndingLapsed is a run whose worker's lease expired.
	EndingLapsed RunEnding = "lapsed"
	// EndingBroken is a gang member that another member's end stopped.
	EndingBroken RunEnding = "broken"
	// EndingAlone is a gang member whose others did not come in time.
	EndingAlone RunEnding = "alone"
)

// EndedTask is a run that has ended on a worker.
type EndedTask struct {
	// Number counts the ends of one life of a worker.
	Number     int64
	Task       string
	Run        int64
	Ending     RunEnding
	Checkpoint string
}

// HoldReply is all that a worker holds, with its clock in milliseconds.
type HoldReply struct {
	Clock   int64
	Born    int64
	Running []RunningTask
	Ended   []EndedTask
}

// HoldRequest prolongs a worker's lease and asks for what it holds.
type HoldRequest struct {
	Epoch Epoch
	// Born is the life that Seen and Until are for, 0 where it is not known. A
	// fleet that cannot be sure to reach that life only looks.
	Born int64
	// Seen is the number up to which ends may be forgotten.
	Seen int64
	// Until is the end of the lease on the worker's clock; 0 leaves it.
	Until int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// WorkerClock is a worker's own clock, as told in a reply.
type WorkerClock struct {
	Millis int64
	Born   int64
}

// Fleet orders workers about. A call that fails with an [OrderRefusedError]
// has surely done nothing; any other failure may still take effect.
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

// Advice is the policy's answer for one step.
type Advice struct {
	Tickets  []Ticket
	Validity time.Duration
}

// Adviser asks the service that knows which workers may run a step. It serves
// one call at a time for each instance.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []WorkerName) (Advice, error)
}
