package claim

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	lovagestand "lovagestand.example/lovagestand"
)

// Partitions serves every partition for which this instance has the ownership
// lease. It is safe for concurrent use.
type Partitions struct {
	store     lovagestand.Store
	ownership lovagestand.Ownership
	options   []Option

	mu     sync.Mutex
	served map[lovagestand.ShardName]*Partition
}

// NewPartitions returns a server of partitions. It serves none before
// [Partitions.Run] is called.
func NewPartitions(store lovagestand.Store, ownership lovagestand.Ownership, options ...Option) *Partitions {
	return &Partitions{
		store:     store,
		ownership: ownership,
		options:   options,
		served:    make(map[lovagestand.ShardName]*Partition),
	}
}

// Run opens each partition when this instance's ownership lease for it begins
// and closes it when the lease ends. It returns when ctx ends.
func (p *Partitions) Run(ctx context.Context) error {
	var g errgroup.Group
	for _, name := range PartitionNames() {
		g.Go(func() error { return p.serveWhileOwned(ctx, name) })
	}
	return g.Wait()
}

// serveWhileOwned serves one partition whenever this instance has the ownership
// lease for it, until ctx ends.
func (p *Partitions) serveWhileOwned(ctx context.Context, name lovagestand.ShardName) error {
	backoffs := defaultBackoff()
	for ctx.Err() == nil {
		changed := p.ownership.Changed()
		_, owned := p.ownership.Lease(name)
		if !owned {
			backoffs.Reset()
			waitFor(ctx, changed, leaseCheckInterval)
			continue
		}
		if p.openAndRun(ctx, name) {
			backoffs.Reset()
			continue
		}
		waitFor(ctx, nil, backoffs.NextBackOff())
	}
	return ctx.Err()
}

// openAndRun opens a partition and runs it until its ownership lease ends. It
// returns false if the partition could not be opened.
func (p *Partitions) openAndRun(ctx context.Context, name lovagestand.ShardName) bool {
	partition, err := Open(ctx, name, p.store, p.ownership, p.options...)
	if err != nil {
		return false
	}
	p.mu.Lock()
	p.served[name] = partition
	p.mu.Unlock()
	_ = partition.Run(ctx) // Run ends with the lease, which is no failure.
	p.mu.Lock()
	delete(p.served, name)
	p.mu.Unlock()
	return true
}

// Partition returns the partition of a key. It fails with a [NotOwnerError] if
// this instance does not serve it.
func (p *Partitions) Partition(key lovagestand.RequestKey) (*Partition, error) {
	name := PartitionOf(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	partition, ok := p.served[name]
	if !ok {
		return nil, &NotOwnerError{Partition: name}
	}
	return partition, nil
}

// Claim returns the claim of a key, see [Partition.Claim].
func (p *Partitions) Claim(ctx context.Context, r Request) (Claim, error) {
	partition, err := p.Partition(r.Key)
	if err != nil {
		return Claim{}, err
	}
	return partition.Claim(ctx, r)
}

// Settle records the outcome of a claimed task, see [Partition.Settle].
func (p *Partitions) Settle(_ context.Context, s Settlement) (Claim, error) {
	partition, err := p.Partition(s.Key)
	if err != nil {
		return Claim{}, err
	}
	return partition.Settle(s)
}

// Stats returns the sums of the counters of all partitions served now.
func (p *Partitions) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum Stats
	for _, partition := range p.served {
		sum = sum.plus(partition.Stats())
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
