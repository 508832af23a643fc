package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/placer/placerpb"
)

// checkTimeout bounds one check of all instances.
const checkTimeout = time.Second

// checker asks all instances whether requests may have run through another
// instance. Requests that arrive during a check are collected in a batch for the
// next one, so that overload does not multiply the number of calls.
type checker struct {
	deps    Deps
	clients *placerClients

	mu      sync.Mutex
	running bool
	next    *batch
}

// batch is the set of requests of one check.
type batch struct {
	keys  []string
	done  chan struct{}
	clear []bool
}

func newBatch() *batch {
	return &batch{done: make(chan struct{})}
}

// clear reports whether the request is guaranteed not to have run and not to be
// processed by any instance other than this one. It returns false if an instance
// or the owner of a shard cannot be reached, or if ctx ends first.
func (c *checker) clear(ctx context.Context, key lovagestand.RequestKey) bool {
	c.mu.Lock()
	if c.next == nil {
		c.next = newBatch()
	}
	pending := c.next
	index := len(pending.keys)
	pending.keys = append(pending.keys, string(key))
	if !c.running {
		c.running = true
		go c.runChecks()
	}
	c.mu.Unlock()
	select {
	case <-pending.done:
		return pending.clear[index]
	case <-ctx.Done():
		return false
	}
}

// runChecks checks one batch after another until no request waits.
func (c *checker) runChecks() {
	for {
		c.mu.Lock()
		current := c.next
		c.next = nil
		if current == nil {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		current.clear = c.checkAll(current.keys)
		close(current.done)
	}
}

// checkAll checks the keys at all instances in parallel. Its result has one
// element per key, as [checker.clear] returns it.
func (c *checker) checkAll(keys []string) []bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var mu sync.Mutex
	replies := make([]*placerpb.CheckReply, 0)
	var group errgroup.Group
	request := &placerpb.CheckRequest{Keys: keys, Asker: string(c.deps.Self)}
	for _, i := range c.deps.Peers() {
		group.Go(func() error {
			reply, err := c.clients.forAddress(i.Address).Check(ctx, request)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
			return nil
		})
	}
	result := make([]bool, len(keys))
	if group.Wait() != nil || !c.coversAllShards(replies) {
		return result
	}
	for index := range keys {
		result[index] = allClear(replies, index)
	}
	return result
}

// coversAllShards reports whether the owners of all shards have replied and have
// read the state of their workers.
func (c *checker) coversAllShards(replies []*placerpb.CheckReply) bool {
	owned := make(map[string]bool)
	for _, r := range replies {
		if !r.GetComplete() {
			return false
		}
		for _, s := range r.GetShards() {
			owned[s] = true
		}
	}
	for _, s := range c.deps.Shards() {
		if !owned[string(s)] {
			return false
		}
	}
	return true
}

// allClear reports whether every reply clears the key at index.
func allClear(replies []*placerpb.CheckReply, index int) bool {
	for _, r := range replies {
		if index >= len(r.GetClear()) || !r.GetClear()[index] {
			return false
		}
	}
	return true
}
