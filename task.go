package lovagestand

import "time"

// Task is one attempt to run a request, as the owner of a shard sees it. It
// does not carry the request's body.
type Task struct {
	ID        TaskID     `json:"id"`
	Key       RequestKey `json:"key"`
	Route     RouteName  `json:"route"`
	Pool      PoolName   `json:"pool"`
	Team      TeamName   `json:"team"`
	Class     Class      `json:"class"`
	Resources Resources  `json:"resources"`
	// Idempotent says that running the request again is harmless.
	Idempotent bool `json:"idempotent,omitempty"`
	// Exclusive says that the request must never run in two places at once.
	Exclusive bool `json:"exclusive,omitempty"`
	// Checkpoints says that the work can be stopped and resumed.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang names the group that starts together; empty for a task alone.
	Gang string `json:"gang,omitempty"`
	// GangSize is how many tasks the gang has.
	GangSize int `json:"gangSize,omitempty"`
	// Submitted is when the request arrived.
	Submitted time.Time `json:"submitted"`
	// StartBy is when the task must have started; zero for no limit.
	StartBy time.Time `json:"startBy"`
	// RunTime is the declared run time, a hint only.
	RunTime time.Duration `json:"runTime,omitempty"`
}

// WithID returns a copy of t named id.
func (t Task) WithID(id TaskID) Task {
	t.ID = id
	return t
}

// WithResources returns a copy of t that takes r.
func (t Task) WithResources(r Resources) Task {
	t.Resources = r
	return t
}

// TaskPhase says how far a task is on its worker.
type TaskPhase string

// The phases of a task on a worker.
const (
	TaskRunning   TaskPhase = "running"
	TaskDone      TaskPhase = "done"
	TaskFailed    TaskPhase = "failed"
	TaskStopped   TaskPhase = "stopped"
	TaskThrottled TaskPhase = "throttled"
)

// Ended reports whether a task in phase p takes no resources any more.
func (p TaskPhase) Ended() bool {
	return p == TaskDone || p == TaskFailed || p == TaskStopped
}

// TaskReport is what a worker says of one task it holds or held.
type TaskReport struct {
	Task  Task      `json:"task"`
	Phase TaskPhase `json:"phase"`
	// Usage is what the task was last seen to take; it lags.
	Usage Resources `json:"usage"`
	// Sequence orders the changes of one worker, for [Workers.Events].
	Sequence uint64 `json:"sequence"`
	// Started is when the worker started the task.
	Started time.Time `json:"started"`
	// Body is the whole answer of an ended task.
	Body []byte `json:"body,omitempty"`
	// Reason explains a failed or stopped task.
	Reason string `json:"reason,omitempty"`
}

// TaskStart asks a worker to start a task.
type TaskStart struct {
	Task Task `json:"task"`
	// NotAfter is when the task must not begin any more.
	NotAfter time.Time `json:"notAfter"`
	// Lease is how long the task may run without being renewed.
	Lease time.Duration `json:"lease"`
	// Checkpoint is where to resume; empty for a first start.
	Checkpoint []byte `json:"checkpoint,omitempty"`
	Body       []byte `json:"body,omitempty"`
}
