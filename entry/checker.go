package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/placer/placerpb"
)

// checkTimeout bounds a check of the other instances.
const checkTimeout = time.Second

// checker asks all instances whether requests may have run through another
// one, many requests in one call. While one check is under way, the requests
// that come in wait for the next, so that overload does not multiply calls.
type checker struct {
	deps    Deps
	clients *placerClients

	mu      sync.Mutex
	running bool
	next    *batch
}

// batch is the requests of one check.
type batch struct {
	keys  []string
	done  chan struct{}
	clear []bool
}

func newBatch() *batch {
	return &batch{done: make(chan struct{})}
}

// clear reports whether no instance runs, ran or pursues a request, but for
// this entry's own pursuit. Where an instance or the owner of a shard cannot
// be asked the answer is false.
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

// runChecks makes one check after the other until nothing waits.
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

// checkAll asks all instances side by side.
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

// coversAllShards reports whether the owners of all shards are among those that
// answered, and know what their workers hold.
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

func allClear(replies []*placerpb.CheckReply, index int) bool {
	for _, r := range replies {
		if index >= len(r.GetClear()) || !r.GetClear()[index] {
			return false
		}
	}
	return true
}
