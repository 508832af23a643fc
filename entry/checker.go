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
func (k *checker) clear(ctx context.Context, key lovagestand.RequestKey) bool {
	k.mu.Lock()
	if k.next == nil {
		k.next = newBatch()
	}
	pending := k.next
	index := len(pending.keys)
	pending.keys = append(pending.keys, string(key))
	if !k.running {
		k.running = true
		go k.runChecks()
	}
	k.mu.Unlock()
	select {
	case <-pending.done:
		return pending.clear[index]
	case <-ctx.Done():
		return false
	}
}

// runChecks checks one batch after another until no request waits.
func (k *checker) runChecks() {
	for {
		k.mu.Lock()
		current := k.next
		k.next = nil
		if current == nil {
			k.running = false
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
		current.clear = k.checkAll(current.keys)
		close(current.done)
	}
}

// checkAll checks the keys at all instances in parallel. Its result has one
// element per key, as [checker.clear] returns it.
func (k *checker) checkAll(keys []string) []bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var mu sync.Mutex
	replies := make([]*placerpb.CheckReply, 0)
	var group errgroup.Group
	request := &placerpb.CheckRequest{Keys: keys, Asker: string(k.deps.Self)}
	for _, i := range k.deps.Peers() {
		group.Go(func() error {
			reply, err := k.clients.forAddress(i.Address).Check(ctx, request)
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
	if group.Wait() != nil || !k.coversAllShards(replies) {
		return result
	}
	for index := range keys {
		result[index] = allClear(replies, index)
	}
	return result
}

// coversAllShards reports whether the owners of all shards have replied and have
// read the state of their workers.
func (k *checker) coversAllShards(replies []*placerpb.CheckReply) bool {
	owned := make(map[string]bool)
	for _, r := range replies {
		if !r.GetComplete() {
			return false
		}
		for _, s := range r.GetShards() {
			owned[s] = true
		}
	}
	for _, s := range k.deps.Shards() {
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
