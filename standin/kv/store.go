package kv

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/standin/keyspace"
)

const (
	// DefaultWriteRate is the number of writes that the store accepts per second.
	DefaultWriteRate = 400
	// DefaultReadRate is the number of reads that the store accepts per second.
	DefaultReadRate = 2000
)

// Store is an in-memory key-value store. It implements [lovagestand.Store] for
// callers in the same process.
type Store struct {
	*platform.Store
	*backend
}

var _ lovagestand.Store = (*Store)(nil)

// Option configures a new [Store].
type Option func(*Store)

// WithRates sets the numbers of reads and writes that the store accepts per
// second. Each is also the size of the burst.
func WithRates(reads, writes int) Option {
	return func(s *Store) {
		s.readLimiter = rate.NewLimiter(rate.Limit(reads), reads)
		s.writeLimiter = rate.NewLimiter(rate.Limit(writes), writes)
	}
}

// WithSeed seeds the random choice of the replies that are lost.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns an empty store.
func New(options ...Option) *Store {
	b := &backend{keys: keyspace.New(), outage: make(chan struct{})}
	s := &Store{Store: platform.NewKeyspaceStore(faultyKeyspace{b}), backend: b}
	WithRates(DefaultReadRate, DefaultWriteRate)(s)
	WithSeed(1)(s)
	for _, o := range options {
		o(s)
	}
	return s
}

// backend is a keyspace with the rate limits, counts and faults of a store.
type backend struct {
	keys         *keyspace.Store
	mutex        sync.Mutex
	counts       Counts
	faults       Faults
	random       *rand.Rand
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	// outage is closed and replaced each time the store goes down.
	outage chan struct{}
}

// faultyKeyspace applies the rate limits and faults of a backend to each call of
// its keyspace. It implements [lovagestand.Keyspace].
type faultyKeyspace struct {
	*backend
}

// Item implements [lovagestand.Keyspace].
func (c faultyKeyspace) Item(ctx context.Context, key string) (lovagestand.Item, error) {
	if err := c.admit(ctx, CallGet); err != nil {
		return lovagestand.Item{}, err
	}
	return c.keys.Item(ctx, key)
}

// Range implements [lovagestand.Keyspace].
func (c faultyKeyspace) Range(ctx context.Context, prefix string) ([]lovagestand.Item, lovagestand.Revision, error) {
	if err := c.admit(ctx, CallList); err != nil {
		return nil, 0, err
	}
	return c.keys.Range(ctx, prefix)
}

// Commit implements [lovagestand.Keyspace].
func (c faultyKeyspace) Commit(ctx context.Context, t lovagestand.Transaction) (lovagestand.Revision, error) {
	kind := CallPut
	if len(t.Set) == 0 {
		kind = CallDelete
	}
	if err := c.admit(ctx, kind); err != nil {
		return 0, err
	}
	return write(c, func() (lovagestand.Revision, error) { return c.keys.Commit(context.WithoutCancel(ctx), t) })
}

// Watch implements [lovagestand.Keyspace].
func (c faultyKeyspace) Watch(ctx context.Context, prefix string, after lovagestand.Revision, wait time.Duration) ([]lovagestand.Item, lovagestand.Revision, error) {
	if err := c.admit(ctx, CallWatch); err != nil {
		return nil, after, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outage := c.beginWait()
	defer c.endWait()
	go func() {
		select {
		case <-outage:
			cancel()
		case <-ctx.Done():
		}
	}()
	return c.keys.Watch(ctx, prefix, after, wait)
}

// beginWait counts a waiting watch and returns a channel that is closed when the
// store goes down.
func (b *backend) beginWait() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.counts.Waiting++
	b.counts.MostWaiting = max(b.counts.MostWaiting, b.counts.Waiting)
	return b.outage
}

func (b *backend) endWait() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.counts.Waiting--
}

// Grant implements [lovagestand.Keyspace].
func (c faultyKeyspace) Grant(ctx context.Context, ttl time.Duration) (lovagestand.LeaseID, time.Duration, error) {
	if err := c.admit(ctx, CallGrant); err != nil {
		return 0, 0, err
	}
	id, err := write(c, func() (lovagestand.LeaseID, error) {
		id, _, err := c.keys.Grant(context.WithoutCancel(ctx), ttl)
		return id, err
	})
	return id, ttl, err
}

// Renew implements [lovagestand.Keyspace].
func (c faultyKeyspace) Renew(ctx context.Context, lease lovagestand.LeaseID) error {
	if err := c.admit(ctx, CallRenew); err != nil {
		return err
	}
	_, err := write(c, func() (struct{}, error) { return struct{}{}, c.keys.Renew(context.WithoutCancel(ctx), lease) })
	return err
}

// Revoke implements [lovagestand.Keyspace].
func (c faultyKeyspace) Revoke(ctx context.Context, lease lovagestand.LeaseID) error {
	if err := c.admit(ctx, CallRenew); err != nil {
		return err
	}
	_, err := write(c, func() (struct{}, error) { return struct{}{}, c.keys.Revoke(context.WithoutCancel(ctx), lease) })
	return err
}
