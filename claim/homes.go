package claim

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	lovagestand "lovagestand.example/lovagestand"
)

// Partitions serves every home that this instance has the right to. It is safe for
// concurrent use.
type Partitions struct {
	store     lovagestand.Store
	ownership lovagestand.Ownership
	options   []Option

	mu     sync.Mutex
	served map[lovagestand.ShardName]*Partition
}

// NewPartitions returns a server of homes; [Homes.Run] makes it serve.
func NewPartitions(store lovagestand.Store, ownership lovagestand.Ownership, options ...Option) *Partitions {
	return &Partitions{
		store:     store,
		ownership: ownership,
		options:   options,
		served:    make(map[lovagestand.ShardName]*Partition),
	}
}

// Run opens homes when the right to them begins and drops them when it ends,
// until ctx ends.
func (h *Partitions) Run(ctx context.Context) error {
	var g errgroup.Group
	for _, name := range PartitionNames() {
		g.Go(func() error { return h.follow(ctx, name) })
	}
	return g.Wait()
}

// follow serves one home whenever this instance has the right to it.
func (h *Partitions) follow(ctx context.Context, name lovagestand.ShardName) error {
	pause := newPause()
	for ctx.Err() == nil {
		changed := h.ownership.Changed()
		_, owned := h.ownership.Lease(name)
		if !owned {
			pause.Reset()
			waitFor(ctx, changed, rightInterval)
			continue
		}
		if h.serve(ctx, name) {
			pause.Reset()
			continue
		}
		waitFor(ctx, nil, pause.NextBackOff())
	}
	return ctx.Err()
}

// serve opens a home and runs it until its right ends; false if it could not
// be opened.
func (h *Partitions) serve(ctx context.Context, name lovagestand.ShardName) bool {
	home, err := Open(ctx, name, h.store, h.ownership, h.options...)
	if err != nil {
		return false
	}
	h.mu.Lock()
	h.served[name] = home
	h.mu.Unlock()
	_ = home.Run(ctx) // it ends with its right, which is no failure
	h.mu.Lock()
	delete(h.served, name)
	h.mu.Unlock()
	return true
}

// Partition returns the home that holds a key, or a [NotOwnerError].
func (h *Partitions) Partition(key lovagestand.RequestKey) (*Partition, error) {
	name := PartitionOf(key)
	h.mu.Lock()
	defer h.mu.Unlock()
	home, ok := h.served[name]
	if !ok {
		return nil, &NotOwnerError{Home: name}
	}
	return home, nil
}

// Claim returns the claim of a key, see [Home.Claim].
func (h *Partitions) Claim(ctx context.Context, r Request) (Claim, error) {
	home, err := h.Partition(r.Key)
	if err != nil {
		return Claim{}, err
	}
	return home.Claim(ctx, r)
}

// Settle records what became of a claimed task, see [Home.Settle].
func (h *Partitions) Settle(_ context.Context, s Settlement) (Claim, error) {
	home, err := h.Partition(s.Key)
	if err != nil {
		return Claim{}, err
	}
	return home.Settle(s)
}

// Stats returns the sums over all homes served now.
func (h *Partitions) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	var sum Stats
	for _, home := range h.served {
		sum = sum.plus(home.Stats())
	}
	return sum
}

func (s Stats) plus(t Stats) Stats {
	return Stats{
		Claims:       s.Claims + t.Claims,
		Pending:      s.Pending + t.Pending,
		Writes:       s.Writes + t.Writes,
		Reads:        s.Reads + t.Reads,
		WrittenBytes: s.WrittenBytes + t.WrittenBytes,
		Granted:      s.Granted + t.Granted,
		Attached:     s.Attached + t.Attached,
		NotGranted:   s.NotGranted + t.NotGranted,
	}
}

// waitFor waits until changed is closed, d has passed or ctx ends.
func waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
