package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"lovagestand.example/lovagestand"
)

// call is the state of one request that the entry processes or retains an answer
// for. All callers that submit the same key share one call.
type call struct {
	request     lovagestand.Request
	route       Route
	fingerprint uint64
	submitted   time.Time
	// arrived is when the request reached this entry and originalStartBy is its
	// start deadline at that time. A claim replaces submitted and the deadline
	// in request by its own values, but not these two.
	arrived, originalStartBy time.Time
	release                  func()

	// abandoned is set if the caller hung up before it received a reply. It is
	// cleared when another caller submits the same key.
	abandoned atomic.Bool

	mu        sync.Mutex
	answer    lovagestand.Answer
	done      chan struct{}
	cancelled chan struct{}
	// taskID identifies the current attempt.
	taskID lovagestand.TaskID
	// claim is the claim of the current attempt; nil if the attempt needs no
	// claim or has none yet.
	claim *Claim
	// claimFailed is set if [Claims.Claim] failed. Its error then determines
	// the outcome, so that the other instances need not be checked.
	claimFailed bool
	// mayHold contains the shards whose owners may hold the request, because
	// they reported that they hold it or because a call to them got no reply.
	mayHold map[lovagestand.ShardName]bool
}

func newCall(request lovagestand.Request, route Route, fingerprint uint64, now time.Time) *call {
	return &call{
		request:         request,
		route:           route,
		fingerprint:     fingerprint,
		submitted:       now,
		arrived:         now,
		originalStartBy: request.StartBy,
		release:         func() {},
		answer:          lovagestand.Answer{Key: request.Key, Outcome: lovagestand.OutcomeWaiting},
		done:            make(chan struct{}),
		cancelled:       make(chan struct{}),
		mayHold:         make(map[lovagestand.ShardName]bool),
	}
}

// attempt returns the task of the current attempt.
func (c *call) attempt() lovagestand.Task {
	return lovagestand.Task{
		ID:          c.taskID,
		Key:         c.request.Key,
		Route:       c.route.Name,
		Pool:        c.route.Pool,
		Team:        c.request.Team,
		Class:       c.route.Class,
		Resources:   c.request.Resources,
		Idempotent:  c.route.Idempotent,
		Exclusive:   c.route.Exclusive,
		Checkpoints: c.route.Checkpoints && c.route.Idempotent,
		GangSize:    gangSize(c.request.Tasks),
		Submitted:   c.submitted,
		StartBy:     c.request.StartBy,
		RunTime:     c.request.RunTime,
	}
}

func gangSize(tasks int) int {
	if tasks <= 1 {
		return 0
	}
	return tasks
}

// finish sets the final answer and wakes the waiting callers. It does nothing if
// there is a final answer already.
func (c *call) finish(answer lovagestand.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answer.Outcome.Final() {
		return
	}
	answer.Key = c.request.Key
	c.answer = answer
	close(c.done)
}

// current returns the current answer, which may not be final.
func (c *call) current() lovagestand.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer
}

// cancel requests the cancellation of the call. Calling it again has no effect.
func (c *call) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.cancelled:
	default:
		close(c.cancelled)
	}
}

func (c *call) isCancelled() bool {
	select {
	case <-c.cancelled:
		return true
	default:
		return false
	}
}

// markMayHold records that the owner of a shard may hold the request.
func (c *call) markMayHold(shard lovagestand.ShardName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mayHold[shard] = true
}

// clearMayHold records that the owner of a shard is guaranteed not to hold the
// request without a final answer, now or later.
func (c *call) clearMayHold(shard lovagestand.ShardName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.mayHold, shard)
}

// mayBeHeldBy reports whether the owner of a shard may hold the request.
func (c *call) mayBeHeldBy(shard lovagestand.ShardName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mayHold[shard]
}

// possibleHolders returns the shards whose owners may hold the request.
func (c *call) possibleHolders() []lovagestand.ShardName {
	c.mu.Lock()
	defer c.mu.Unlock()
	shards := make([]lovagestand.ShardName, 0, len(c.mayHold))
	for s := range c.mayHold {
		shards = append(shards, s)
	}
	return shards
}
