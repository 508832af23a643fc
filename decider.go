package lovagestand

import (
	"fmt"
	"time"
)

// Decider decides for the workers of one shard which waiting task starts where
// and when. It uses no clock, network or store, so the same sequence of calls
// always gives the same decisions. It is not safe for concurrent use.
type Decider interface {
	// SetPolicies replaces the policies of all pools. Running tasks continue.
	SetPolicies(policies []PoolPolicy)
	// SetWorker adds a worker or replaces its description. A leaving worker
	// keeps its tasks and gets no new ones.
	SetWorker(now time.Time, w Worker, pool PoolName)
	// RemoveWorker removes a worker and returns the tasks it held.
	RemoveWorker(now time.Time, name WorkerName) []Task
	// Adopt counts a task that already runs on a worker against the worker's
	// capacity, even if this exceeds the capacity.
	Adopt(now time.Time, t Task, on WorkerName)
	// Submit queues a task. It fails with an [InfeasibleError] if no worker of
	// the shard can ever hold the task, and with a [QueueFullError] if the
	// queue is full or the task would wait too long.
	Submit(now time.Time, t Task) error
	// Cancel removes a waiting task. It returns false if the task does not
	// wait.
	Cancel(id TaskID) bool
	// Decide appends the decisions that are due now to decisions and returns
	// the extended slice.
	Decide(now time.Time, decisions []Decision) []Decision
	// Finish releases the resources of a placed task.
	Finish(now time.Time, id TaskID, result TaskResult)
	// Digest summarizes the shard's capacity and its waiting tasks.
	Digest(now time.Time) Digest
	// Explain describes for a person why a task waits or where it runs.
	Explain(now time.Time, id TaskID) string
}

// PoolPolicy is the part of a row of the pools table that a [Decider] needs.
type PoolPolicy struct {
	Pool PoolName `json:"pool"`
	// QueueLimit is the maximum number of waiting tasks of each class; 0 means
	// no limit.
	QueueLimit int `json:"queueLimit"`
	// HeadroomShare is the fraction of capacity that is kept free for urgent
	// tasks.
	HeadroomShare float64 `json:"headroomShare"`
	// Teams holds the weights and quotas of the teams within the shard.
	Teams []TeamPolicy `json:"teams"`
}

// TeamPolicy is one team's weight and quota within a shard.
type TeamPolicy struct {
	Team TeamName `json:"team"`
	// Weight is the team's weight in fair sharing; 0 counts as 1.
	Weight float64 `json:"weight"`
	// Quota is the maximum that the team may use in the shard at once; nil
	// means no quota. It is the shard's share of the team's quota in the pool.
	// Shares move between shards by demand, so a task that needs more than the
	// present share waits.
	Quota *Resources `json:"quota,omitempty"`
}

// DecisionKind is the kind of action that a [Decision] requests.
type DecisionKind string

// The kinds of decision.
const (
	// DecisionStart starts a waiting task on a worker. Its resources are
	// already reserved there.
	DecisionStart DecisionKind = "start"
	// DecisionPreempt checkpoints and stops a running task. Its resources stay
	// reserved until [Decider.Finish].
	DecisionPreempt DecisionKind = "preempt"
	// DecisionExpire gives up a waiting task, which is guaranteed not to have
	// started.
	DecisionExpire DecisionKind = "expire"
)

// Decision is one action that a [Decider] requests.
type Decision struct {
	Kind   DecisionKind
	Task   Task
	Worker WorkerName
	// Reason explains an expiry or a preemption.
	Reason string
	// RetryAfter is how long the caller should wait before it retries after an
	// expiry.
	RetryAfter time.Duration
}

// TaskResult describes how a placed task ended.
type TaskResult struct {
	Phase TaskPhase
	// Ran is how long the task ran; 0 if it never started.
	Ran time.Duration
	// Refused is set if the worker refused to start the task.
	Refused bool
}

// Digest summarizes a shard for instances that choose the shard of a request.
type Digest struct {
	Shard ShardName    `json:"shard"`
	Pools []PoolDigest `json:"pools"`
}

// PoolDigest summarizes one pool within a shard.
type PoolDigest struct {
	Pool PoolName `json:"pool"`
	// Capacity and Free are sums over the pool's schedulable workers, which are
	// those that take new tasks.
	Capacity Resources `json:"capacity"`
	Free     Resources `json:"free"`
	// Largest is the largest free amount of each resource on any one worker.
	// The amounts may be of different workers.
	Largest Resources `json:"largest"`
	// LargestCapacity is the largest capacity of each resource of any one
	// worker. The amounts may be of different workers.
	LargestCapacity Resources `json:"largestCapacity"`
	// Workers counts the schedulable workers, Running the tasks on all workers.
	Workers int `json:"workers"`
	Running int `json:"running"`
	// Waiting counts the waiting tasks of each class.
	Waiting map[Class]int `json:"waiting"`
	// Wait is the estimated wait of a new task of each class.
	Wait map[Class]time.Duration `json:"wait"`
}

// InfeasibleError is returned for a task that no worker of a pool can ever
// hold.
type InfeasibleError struct {
	Pool PoolName
	// Requested is what the task needs, Largest the largest capacity of each
	// resource of any one worker.
	Requested, Largest Resources
	// Reason describes for a person what is lacking.
	Reason string
}

// Error implements error.
func (e *InfeasibleError) Error() string {
	return fmt.Sprintf("no worker of pool %q can hold the task: %s", e.Pool, e.Reason)
}

// QueueFullError is returned when a queue takes no more tasks at present.
type QueueFullError struct {
	Pool  PoolName
	Class Class
	// Waiting is the number of tasks that already wait.
	Waiting int
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("pool %q: %d %s tasks are waiting already", e.Pool, e.Waiting, e.Class)
}
