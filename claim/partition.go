package claim

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	lovagestand "lovagestand.example/lovagestand"
)

const (
	// DefaultWritesPerSecond is the maximum number of store writes per second
	// of all partitions together. It does not depend on the number of
	// instances.
	DefaultWritesPerSecond = 72
	// DefaultMaxPending is the maximum number of claims that wait for a
	// partition's next write.
	DefaultMaxPending = 4096
	// storeTimeout is the timeout of one store call.
	storeTimeout = 2 * time.Second
)

// Option configures a [Partition].
type Option func(*Partition)

// WithWritesPerSecond sets the write budget of all partitions together. Each
// partition gets an equal part of it.
func WithWritesPerSecond(writes float64) Option {
	return func(p *Partition) {
		p.writeBudget = rate.NewLimiter(rate.Limit(writes/NumberOfPartitions), 1)
	}
}

// WithMaxPending sets the maximum number of claims that wait for a partition's
// next write.
func WithMaxPending(claims int) Option {
	return func(p *Partition) { p.maxPending = claims }
}

// WithIDs sets the source of unique names for tasks and writes.
func WithIDs(next func() string) Option {
	return func(p *Partition) { p.nextID = next }
}

// WithBackoff sets the source of the delays between the tries of a store write.
func WithBackoff(newBackoff func() backoff.BackOff) Option {
	return func(p *Partition) { p.newBackoff = newBackoff }
}

// Partition serves the claims of one partition while this instance has the
// ownership lease for it. It is safe for concurrent use.
type Partition struct {
	name        lovagestand.ShardName
	store       lovagestand.Store
	ownership   lovagestand.Ownership
	epoch       lovagestand.Epoch
	writeBudget *rate.Limiter
	maxPending  int
	nextID      func() string
	newBackoff  func() backoff.BackOff
	// done is closed when this instance no longer serves the partition.
	done chan struct{}
	// wake holds an element if entries wait to be written.
	wake chan struct{}

	// mu guards the fields from closed to notRunUntil.
	mu      sync.Mutex
	closed  bool
	entries map[lovagestand.RequestKey]*entry
	// queue contains the entries that wait for the next write, in order.
	queue []*entry
	stats Stats
	// notRunUntil contains the keys that were recently reported as not run.
	// Until the given time, no other attempt of the key may begin.
	notRunUntil map[lovagestand.RequestKey]time.Time

	// The following fields belong to the goroutine that opens and runs the
	// partition. archives are those that the next head lists. dropped are those
	// that the next head no longer lists, but the stored one does. orphans are
	// not listed by the stored head and have yet to be deleted.
	revision lovagestand.Revision
	archives []archive
	dropped  []archive
	orphans  []archive
	// headEntries are the entries whose claims the head contains, in order.
	headEntries []*entry
	// sequence numbers the archives that this owner writes.
	sequence int
}

// Stats contains the counters of a partition.
type Stats struct {
	// Claims is the number of claims in memory, Pending the number of claims
	// that wait to be written.
	Claims, Pending int
	// Writes and Reads count store calls, WrittenBytes the bytes sent with the
	// writes.
	Writes, Reads, WrittenBytes int
	// Granted, Attached and NotGranted count replies of [Partition.Claim].
	Granted, Attached, NotGranted int
}

// Open takes over a partition: it reads the partition's claims and fences
// earlier owners. It fails with a [NotOwnerError] if this instance has no
// ownership lease for the partition, and may be called again after any other
// error.
func Open(ctx context.Context, name lovagestand.ShardName, store lovagestand.Store,
	ownership lovagestand.Ownership, options ...Option,
) (*Partition, error) {
	lease, ok := ownership.Lease(name)
	if !ok || !lease.Valid(time.Now()) {
		return nil, &NotOwnerError{Partition: name}
	}
	p := &Partition{
		name:        name,
		store:       store,
		ownership:   ownership,
		epoch:       lease.Epoch,
		maxPending:  DefaultMaxPending,
		nextID:      uuid.NewString,
		newBackoff:  defaultBackoff,
		done:        make(chan struct{}),
		wake:        make(chan struct{}, 1),
		entries:     make(map[lovagestand.RequestKey]*entry),
		notRunUntil: make(map[lovagestand.RequestKey]time.Time),
	}
	WithWritesPerSecond(DefaultWritesPerSecond)(p)
	for _, o := range options {
		o(p)
	}
	err := p.load(ctx)
	if err != nil {
		return nil, err
	}
	return p, nil
}

// Name returns the name of the partition.
func (p *Partition) Name() lovagestand.ShardName {
	return p.name
}

// Done returns a channel that is closed when this instance no longer serves the
// partition.
func (p *Partition) Done() <-chan struct{} {
	return p.done
}

// Stats returns the counters of the partition.
func (p *Partition) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Claims = len(p.entries)
	s.Pending = len(p.queue)
	return s
}

// lease returns the ownership lease under which the partition was opened. It
// fails with a [NotOwnerError] if that lease is no longer in force.
func (p *Partition) lease() (lovagestand.OwnershipLease, error) {
	lease, ok := p.ownership.Lease(p.name)
	if !ok || lease.Epoch != p.epoch || !lease.Valid(time.Now()) {
		return lease, &NotOwnerError{Partition: p.name}
	}
	return lease, nil
}

// close stops serving the partition. Waiting calls fail with a [NotOwnerError].
func (p *Partition) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.done)
	}
}

// enqueue adds an entry to the queue for the next write. The caller holds the
// lock.
func (p *Partition) enqueue(e *entry) {
	if e.queued {
		return
	}
	e.queued = true
	p.queue = append(p.queue, e)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// sweep removes expired claims and expired hold-offs from memory.
func (p *Partition) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, e := range p.entries {
		if e.expired(now) {
			delete(p.entries, key)
		}
	}
	for key, until := range p.notRunUntil {
		if !now.Before(until) {
			delete(p.notRunUntil, key)
		}
	}
}

// recordNotRun is called when a key is reported as not run. It prevents another
// attempt of the key for NotRunHoldOff and returns the time until which the report
// is valid, which is no later than the end of the lease. The caller holds the lock.
func (p *Partition) recordNotRun(key lovagestand.RequestKey, lease lovagestand.OwnershipLease, now time.Time) time.Time {
	until := now.Add(NotRunHoldOff)
	p.notRunUntil[key] = until
	if lease.Until.Before(until) {
		until = lease.Until
	}
	return until.Round(0)
}
