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
	placers *placers

	mu      sync.Mutex
	busy    bool
	waiting *batch
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
	if k.waiting == nil {
		k.waiting = newBatch()
	}
	b := k.waiting
	n := len(b.keys)
	b.keys = append(b.keys, string(key))
	if !k.busy {
		k.busy = true
		go k.work()
	}
	k.mu.Unlock()
	select {
	case <-b.done:
		return b.clear[n]
	case <-ctx.Done():
		return false
	}
}

// work makes one check after the other until nothing waits.
func (k *checker) work() {
	for {
		k.mu.Lock()
		b := k.waiting
		k.waiting = nil
		if b == nil {
			k.busy = false
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
		b.clear = k.ask(b.keys)
		close(b.done)
	}
}

// ask asks all instances side by side.
func (k *checker) ask(keys []string) []bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var mu sync.Mutex
	replies := make([]*placerpb.CheckReply, 0)
	var group errgroup.Group
	request := &placerpb.CheckRequest{Keys: keys, Asker: string(k.deps.Self)}
	for _, i := range k.deps.Peers() {
		group.Go(func() error {
			reply, err := k.placers.at(i.Address).Check(ctx, request)
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
	if group.Wait() != nil || !k.covered(replies) {
		return result
	}
	for n := range keys {
		result[n] = allClear(replies, n)
	}
	return result
}

// covered reports whether the owners of all shards are among those that
// answered, and know what their workers hold.
func (k *checker) covered(replies []*placerpb.CheckReply) bool {
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

func allClear(replies []*placerpb.CheckReply, n int) bool {
	for _, r := range replies {
		if n >= len(r.GetClear()) || !r.GetClear()[n] {
			return false
		}
	}
	return true
}
