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
	// DefaultWritesPerSecond is the most store writes a second of all homes
	// together, whatever the number of instances.
	DefaultWritesPerSecond = 72
	// DefaultMaxPending is how many claims may wait for a home's next write.
	DefaultMaxPending = 4096
	// writeTimeout is how long one store call may take.
	writeTimeout = 2 * time.Second
)

// Option configures a [Home].
type Option func(*Partition)

// WithWritesPerSecond sets the write budget of all homes together; each home
// has an equal part.
func WithWritesPerSecond(writes float64) Option {
	return func(p *Partition) {
		p.writeBudget = rate.NewLimiter(rate.Limit(writes/NumberOfPartitions), 1)
	}
}

// WithMaxPending sets how many claims may wait for a home's next write.
func WithMaxPending(claims int) Option {
	return func(p *Partition) { p.maxPending = claims }
}

// WithIDs sets the source of unique names for tasks and writes.
func WithIDs(next func() string) Option {
	return func(p *Partition) { p.nextID = next }
}

// WithBackoff sets the source of the pauses between tries of a store call.
func WithBackoff(newBackoff func() backoff.BackOff) Option {
	return func(p *Partition) { p.newBackoff = newBackoff }
}

// Partition serves the claims of one home while this instance has the right to it.
// It is safe for concurrent use.
type Partition struct {
	name        lovagestand.ShardName
	store       lovagestand.Store
	ownership   lovagestand.Ownership
	epoch       lovagestand.Epoch
	writeBudget *rate.Limiter
	maxPending  int
	nextID      func() string
	newBackoff  func() backoff.BackOff
	// done is closed when the home is served no more.
	done chan struct{}
	// wake holds an element when there is something to write.
	wake chan struct{}

	// mu guards what follows.
	mu      sync.Mutex
	closed  bool
	entries map[lovagestand.RequestKey]*entry
	// queue are the entries that wait for the next write, in order.
	queue []*entry
	stats Stats
	// notRunUntil are the keys lately said not to have run, and until when the word
	// holds.
	notRunUntil map[lovagestand.RequestKey]time.Time

	// What follows belongs to the goroutine that opens and runs the home.
	revision lovagestand.Revision
	archives []archive
	orphans  []archive
	// headEntries are the entries whose claims the head holds, in order.
	headEntries []*entry
	sequence    int
}

// Stats counts what a home has done.
type Stats struct {
	// Claims is how many claims are known, Pending how many wait to be written.
	Claims, Pending int
	// Writes and Reads count store calls, WrittenBytes what was sent in them.
	Writes, Reads, WrittenBytes int
	// Granted, Attached and NotGranted count answers to [Home.Claim].
	Granted, Attached, NotGranted int
}

// Open takes over a home: it fences its earlier owners and reads its claims.
// It fails with a [NotOwnerError] where this instance has no right to it, and
// may be called again after any other error.
func Open(ctx context.Context, name lovagestand.ShardName, store lovagestand.Store,
	ownership lovagestand.Ownership, options ...Option,
) (*Partition, error) {
	lease, ok := ownership.Lease(name)
	if !ok || !lease.Valid(time.Now()) {
		return nil, &NotOwnerError{Home: name}
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

// Name returns the name of the home.
func (p *Partition) Name() lovagestand.ShardName {
	return p.name
}

// Done returns a channel that is closed when the home is served no more.
func (p *Partition) Done() <-chan struct{} {
	return p.done
}

// Stats returns what the home has done so far.
func (p *Partition) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Claims = len(p.entries)
	s.Pending = len(p.queue)
	return s
}

// lease returns the right under which the home was opened.
func (p *Partition) lease() (lovagestand.OwnershipLease, error) {
	lease, ok := p.ownership.Lease(p.name)
	if !ok || lease.Epoch != p.epoch || !lease.Valid(time.Now()) {
		return lease, &NotOwnerError{Home: p.name}
	}
	return lease, nil
}

// close ends the service of the home; the calls that wait get a
// [NotOwnerError].
func (p *Partition) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.done)
	}
}

// enqueue puts an entry into the next write. The caller holds the lock.
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

// sweep forgets expired claims.
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

// recordNotRun returns until when the word that a key has not run holds, and begins no
// other attempt of it before. The caller holds the lock.
func (p *Partition) recordNotRun(key lovagestand.RequestKey, lease lovagestand.OwnershipLease, now time.Time) time.Time {
	until := now.Add(NotRunHoldOff)
	p.notRunUntil[key] = until
	if lease.Until.Before(until) {
		until = lease.Until
	}
	return until.Round(0)
}
