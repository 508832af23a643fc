package lovagestand

import "time"

// Task is one attempt to run a request, as the owner of a shard handles it. It
// does not contain the request's body.
type Task struct {
	ID        TaskID     `json:"id"`
	Key       RequestKey `json:"key"`
	Route     RouteName  `json:"route"`
	Pool      PoolName   `json:"pool"`
	Team      TeamName   `json:"team"`
	Class     Class      `json:"class"`
	Resources Resources  `json:"resources"`
	// Idempotent is set if it is harmless to run the request again.
	Idempotent bool `json:"idempotent,omitempty"`
	// Exclusive is set if the request must never run in two places at once.
	Exclusive bool `json:"exclusive,omitempty"`
	// Checkpoints is set if the task can be stopped and resumed.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang names the gang that the task starts with; empty for a single task.
	Gang string `json:"gang,omitempty"`
	// GangSize is the number of tasks in the gang.
	GangSize int `json:"gangSize,omitempty"`
	// Submitted is when the request arrived.
	Submitted time.Time `json:"submitted"`
	// StartBy is the deadline for the start; zero means no deadline.
	StartBy time.Time `json:"startBy"`
	// RunTime is the run time that the caller declares. It is only a hint.
	RunTime time.Duration `json:"runTime,omitempty"`
}

// WithID returns a copy of t named id.
func (t Task) WithID(id TaskID) Task {
	t.ID = id
	return t
}

// WithResources returns a copy of t that needs r.
func (t Task) WithResources(r Resources) Task {
	t.Resources = r
	return t
}

// TaskPhase is the phase of a task on its worker.
type TaskPhase string

// The phases of a task on a worker.
const (
	TaskRunning   TaskPhase = "running"
	TaskDone      TaskPhase = "done"
	TaskFailed    TaskPhase = "failed"
	TaskStopped   TaskPhase = "stopped"
	TaskThrottled TaskPhase = "throttled"
)

// Ended reports whether a task in phase p no longer uses resources.
func (p TaskPhase) Ended() bool {
	return p == TaskDone || p == TaskFailed || p == TaskStopped
}

// TaskReport is a worker's report on a task that it holds or held.
type TaskReport struct {
	Task  Task      `json:"task"`
	Phase TaskPhase `json:"phase"`
	// Usage is the last observed resource usage of the task. It lags behind the
	// actual usage.
	Usage Resources `json:"usage"`
	// Sequence numbers the changes on one worker, for [Workers.Events].
	Sequence uint64 `json:"sequence"`
	// Started is when the worker started the task.
	Started time.Time `json:"started"`
	// Body is the complete response of an ended task.
	Body []byte `json:"body,omitempty"`
	// Reason explains a failed or stopped task.
	Reason string `json:"reason,omitempty"`
}

// TaskStart is a request to a worker to start a task.
type TaskStart struct {
	Task Task `json:"task"`
	// NotAfter is the deadline after which the task must not begin.
	NotAfter time.Time `json:"notAfter"`
	// Lease is how long the task may run without a renewal.
	Lease time.Duration `json:"lease"`
	// Checkpoint is where the task resumes; empty for a first start.
	Checkpoint []byte `json:"checkpoint,omitempty"`
	Body       []byte `json:"body,omitempty"`
}
