package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"lovagestand.example/lovagestand"
)

// call is one request that the entry pursues or has an answer for.
type call struct {
	request     lovagestand.Request
	route       Route
	fingerprint uint64
	submitted   time.Time
	// arrived is when the request came here, and lastStart when it had to have
	// started then; a claim may change what is pursued.
	arrived, originalStartBy time.Time
	release                  func()

	// abandoned says that the caller who brought the request hung up before
	// anything was said to them.
	abandoned atomic.Bool

	mu        sync.Mutex
	answer    lovagestand.Answer
	done      chan struct{}
	cancelled chan struct{}
	// taskID names the attempt that is pursued.
	taskID lovagestand.TaskID
	// claim is the claim of the attempt; nil if it needs or has none.
	claim *Claim
	// claimFailed says that the home of the key's claim gave the word on it.
	claimFailed bool
	// mayHold has the shards whose owners may hold the request: they said so, or
	// a call to them got no reply.
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

// attempt returns the task of the attempt that is pursued.
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

// finish makes the answer final and lets waiting callers go.
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

// current returns the answer as it is now.
func (c *call) current() lovagestand.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer
}

// cancel asks the call to be given up; later calls change nothing.
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

// clearMayHold records that the owner of a shard surely does not hold the
// request without an answer, and will not.
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
