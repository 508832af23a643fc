package lovagestand

import (
	"fmt"
	"time"
)

// Decider decides for the workers of one shard which waiting task starts where
// and when. It has no clock, network or store: the same calls give the same
// decisions. It is not safe for concurrent use.
type Decider interface {
	// SetPolicies replaces the policies by pool; tasks that run are kept.
	SetPolicies(policies []PoolPolicy)
	// SetWorker adds a worker or replaces what is known of it. A leaving
	// worker keeps its tasks and gets no new ones.
	SetWorker(now time.Time, w Worker, pool PoolName)
	// RemoveWorker forgets a worker and returns the tasks it held.
	RemoveWorker(now time.Time, name WorkerName) []Task
	// Adopt counts a task found running on a worker against its capacity,
	// even past it.
	Adopt(now time.Time, t Task, on WorkerName)
	// Submit queues a task. It fails with an [UnfitError] where no worker of
	// the shard can ever hold it and with a [FullError] where the queue is
	// full or the wait would be too long.
	Submit(now time.Time, t Task) error
	// Cancel removes a waiting task; false if it is not waiting.
	Cancel(id TaskID) bool
	// Decide appends what is to be done now to decisions and returns it.
	Decide(now time.Time, decisions []Decision) []Decision
	// Finish releases the resources of a placed task.
	Finish(now time.Time, id TaskID, result TaskResult)
	// Digest sums up what the shard can hold and what waits.
	Digest(now time.Time) Digest
	// Explain says in words why a task waits or where it runs.
	Explain(now time.Time, id TaskID) string
}

// PoolPolicy is what a decider must know of a row of the pools table.
type PoolPolicy struct {
	Pool PoolName `json:"pool"`
	// QueueLimit is the most waiting tasks of each class; 0 for no limit.
	QueueLimit int `json:"queueLimit"`
	// HeadroomShare is the fraction of capacity kept free for urgent work.
	HeadroomShare float64 `json:"headroomShare"`
	// Teams are the shares and quotas of teams within the shard.
	Teams []TeamPolicy `json:"teams"`
}

// TeamPolicy is one team's weight and quota within a shard.
type TeamPolicy struct {
	Team TeamName `json:"team"`
	// Weight is the team's part in fair sharing; 0 counts as 1.
	Weight float64 `json:"weight"`
	// Quota is the most the team may run in the shard at once; nil for no
	// quota. It is the shard's share of the pool's quota, which moves by need:
	// a task that asks for more than the share waits.
	Quota *Resources `json:"quota,omitempty"`
}

// DecisionKind says what a [Decision] asks for.
type DecisionKind string

// The kinds of decision.
const (
	// DecisionStart starts a waiting task on a worker; its resources are taken.
	DecisionStart DecisionKind = "start"
	// DecisionPreempt checkpoints and stops a running task; its resources stay
	// taken until [Decider.Finish].
	DecisionPreempt DecisionKind = "preempt"
	// DecisionExpire gives up a waiting task; it surely did not start.
	DecisionExpire DecisionKind = "expire"
)

// Decision is one thing to be done.
type Decision struct {
	Kind   DecisionKind
	Task   Task
	Worker WorkerName
	// Reason explains an expiry or a preemption.
	Reason string
	// RetryAfter is when the caller may come back after an expiry.
	RetryAfter time.Duration
}

// TaskResult tells a decider how a placed task ended.
type TaskResult struct {
	Phase TaskPhase
	// Ran is how long the task ran; 0 if it never started.
	Ran time.Duration
	// Refused says that the worker refused to start the task.
	Refused bool
}

// Digest sums up a shard for instances that choose among owners.
type Digest struct {
	Shard ShardName    `json:"shard"`
	Pools []PoolDigest `json:"pools"`
}

// PoolDigest sums up one pool within a shard.
type PoolDigest struct {
	Pool PoolName `json:"pool"`
	// Capacity and Free are sums over the pool's fit workers.
	Capacity Resources `json:"capacity"`
	Free     Resources `json:"free"`
	// Largest is the most of each resource that one worker has free.
	Largest Resources `json:"largest"`
	// LargestCapacity is the most of each resource that one worker has.
	LargestCapacity Resources `json:"largestCapacity"`
	// Workers and Running are counts.
	Workers int `json:"workers"`
	Running int `json:"running"`
	// Waiting counts waiting tasks by class.
	Waiting map[Class]int `json:"waiting"`
	// Wait estimates the wait of a new task by class.
	Wait map[Class]time.Duration `json:"wait"`
}

// InfeasibleError says that a task can run on no worker of a pool, ever.
type InfeasibleError struct {
	Pool PoolName
	// Asked is what the task takes, Largest the most one worker has.
	Asked, Largest Resources
	// Reason names what is lacking, in words.
	Reason string
}

// Error implements error.
func (e *InfeasibleError) Error() string {
	return fmt.Sprintf("no worker of pool %q can hold the task: %s", e.Pool, e.Reason)
}

// QueueFullError says that a queue takes no more tasks now.
type QueueFullError struct {
	Pool  PoolName
	Class Class
	// Waiting is how many tasks wait already.
	Waiting int
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("pool %q: %d %s tasks are waiting already", e.Pool, e.Waiting, e.Class)
}
