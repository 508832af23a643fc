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
	return func(h *Partition) {
		h.budget = rate.NewLimiter(rate.Limit(writes/NumberOfPartitions), 1)
	}
}

// WithMaxPending sets how many claims may wait for a home's next write.
func WithMaxPending(claims int) Option {
	return func(h *Partition) { h.maxPending = claims }
}

// WithIDs sets the source of unique names for tasks and writes.
func WithIDs(next func() string) Option {
	return func(h *Partition) { h.nextID = next }
}

// WithBackoff sets the source of the pauses between tries of a store call.
func WithBackoff(pauses func() backoff.BackOff) Option {
	return func(h *Partition) { h.pauses = pauses }
}

// Partition serves the claims of one home while this instance has the right to it.
// It is safe for concurrent use.
type Partition struct {
	name       lovagestand.ShardName
	store      lovagestand.Store
	ownership  lovagestand.Ownership
	epoch      lovagestand.Epoch
	budget     *rate.Limiter
	maxPending int
	nextID     func() string
	pauses     func() backoff.BackOff
	// lost is closed when the home is served no more.
	lost chan struct{}
	// wake holds an element when there is something to write.
	wake chan struct{}

	// mu guards what follows.
	mu      sync.Mutex
	closed  bool
	entries map[lovagestand.RequestKey]*entry
	// queue are the entries that wait for the next write, in order.
	queue []*entry
	stats Stats
	// told are the keys lately said not to have run, and until when the word
	// holds.
	told map[lovagestand.RequestKey]time.Time

	// What follows belongs to the goroutine that opens and runs the home.
	revision lovagestand.Revision
	archives []archive
	orphans  []archive
	// inHead are the entries whose claims the head holds, in order.
	inHead   []*entry
	sequence int
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
	right, ok := ownership.Lease(name)
	if !ok || !right.Valid(time.Now()) {
		return nil, &NotOwnerError{Home: name}
	}
	h := &Partition{
		name:       name,
		store:      store,
		ownership:  ownership,
		epoch:      right.Epoch,
		maxPending: DefaultMaxPending,
		nextID:     uuid.NewString,
		pauses:     newPause,
		lost:       make(chan struct{}),
		wake:       make(chan struct{}, 1),
		entries:    make(map[lovagestand.RequestKey]*entry),
		told:       make(map[lovagestand.RequestKey]time.Time),
	}
	WithWritesPerSecond(DefaultWritesPerSecond)(h)
	for _, o := range options {
		o(h)
	}
	err := h.load(ctx)
	if err != nil {
		return nil, err
	}
	return h, nil
}

// Name returns the name of the home.
func (h *Partition) Name() lovagestand.ShardName {
	return h.name
}

// Done returns a channel that is closed when the home is served no more.
func (h *Partition) Done() <-chan struct{} {
	return h.lost
}

// Stats returns what the home has done so far.
func (h *Partition) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stats
	s.Claims = len(h.entries)
	s.Pending = len(h.queue)
	return s
}

// right returns the right under which the home was opened.
func (h *Partition) right() (lovagestand.OwnershipLease, error) {
	right, ok := h.ownership.Lease(h.name)
	if !ok || right.Epoch != h.epoch || !right.Valid(time.Now()) {
		return right, &NotOwnerError{Home: h.name}
	}
	return right, nil
}

// close ends the service of the home; the calls that wait get a
// [NotOwnerError].
func (h *Partition) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.closed = true
		close(h.lost)
	}
}

// enqueue puts an entry into the next write. The caller holds the lock.
func (h *Partition) enqueue(e *entry) {
	if e.queued {
		return
	}
	e.queued = true
	h.queue = append(h.queue, e)
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// sweep forgets expired claims.
func (h *Partition) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, e := range h.entries {
		if e.expired(now) {
			delete(h.entries, key)
		}
	}
	for key, until := range h.told {
		if !now.Before(until) {
			delete(h.told, key)
		}
	}
}

// tell returns until when the word that a key has not run holds, and begins no
// other attempt of it before. The caller holds the lock.
func (h *Partition) tell(key lovagestand.RequestKey, right lovagestand.OwnershipLease, now time.Time) time.Time {
	until := now.Add(NotRunHoldOff)
	h.told[key] = until
	if right.Until.Before(until) {
		until = right.Until
	}
	return until.Round(0)
}
