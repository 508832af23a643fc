package kv

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lovagestand.example/lovagestand"
)

const (
	// DefaultWrites is how many writes the store takes a second.
	DefaultWrites = 400
	// DefaultReads is how many reads the store takes a second.
	DefaultReads = 2000
)

// Store is an in-memory key-value store; it implements [lovagestand.Store]
// for callers in the same process.
type Store struct {
	mutex  sync.Mutex
	values map[string]entry
	// last keeps the last revision of deleted keys too, so that a revision
	// never comes twice.
	last    map[string]lovagestand.Revision
	leases  map[lovagestand.LeaseID]*lease
	granted lovagestand.LeaseID
	changed chan struct{}
	counts  Counts
	faults  Faults
	random  *rand.Rand
	reads   *rate.Limiter
	writes  *rate.Limiter
}

type entry struct {
	value lovagestand.Value
	lease lovagestand.LeaseID
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

var _ lovagestand.Store = (*Store)(nil)

// Option changes a new [Store].
type Option func(*Store)

// WithRates sets how many reads and writes a second the store takes.
func WithRates(reads, writes int) Option {
	return func(s *Store) {
		s.reads = rate.NewLimiter(rate.Limit(reads), reads)
		s.writes = rate.NewLimiter(rate.Limit(writes), writes)
	}
}

// WithSeed seeds the choice of lost replies.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns an empty store.
func New(options ...Option) *Store {
	s := &Store{
		values:  map[string]entry{},
		last:    map[string]lovagestand.Revision{},
		leases:  map[lovagestand.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
	WithRates(DefaultReads, DefaultWrites)(s)
	WithSeed(1)(s)
	for _, o := range options {
		o(s)
	}
	return s
}

// Get implements [lovagestand.Store].
func (s *Store) Get(ctx context.Context, key string) (lovagestand.Value, error) {
	if err := s.before(ctx, CallGet); err != nil {
		return lovagestand.Value{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.read(key), nil
}

// List implements [lovagestand.Store].
func (s *Store) List(ctx context.Context, prefix string) ([]lovagestand.Value, error) {
	if err := s.before(ctx, CallList); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var values []lovagestand.Value
	for k := range s.values {
		if strings.HasPrefix(k, prefix) {
			values = append(values, s.read(k))
		}
	}
	slices.SortFunc(values, func(a, b lovagestand.Value) int { return strings.Compare(a.Key, b.Key) })
	return values, nil
}

// Put implements [lovagestand.Store].
func (s *Store) Put(ctx context.Context, key string, data []byte, previous lovagestand.Revision, id lovagestand.LeaseID) (lovagestand.Revision, error) {
	if err := s.before(ctx, CallPut); err != nil {
		return 0, err
	}
	if len(data) > lovagestand.MaxValueBytes {
		return 0, &lovagestand.TooLargeError{Key: key, Bytes: len(data), Limit: lovagestand.MaxValueBytes}
	}
	data = slices.Clone(data)
	var revision lovagestand.Revision
	err := s.write(func() error {
		if err := s.expect(key, previous); err != nil {
			return err
		}
		if id != 0 && s.leases[id] == nil {
			return &lovagestand.LeaseEndedError{Lease: id}
		}
		s.last[key]++
		value := lovagestand.Value{Key: key, Data: data, Revision: s.last[key]}
		s.values[key] = entry{value: value, lease: id}
		// A write that takes effect late has no caller left to tell.
		revision = value.Revision
		s.wake()
		return nil
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete implements [lovagestand.Store].
func (s *Store) Delete(ctx context.Context, key string, previous lovagestand.Revision) error {
	if err := s.before(ctx, CallDelete); err != nil {
		return err
	}
	return s.write(func() error {
		if err := s.expect(key, previous); err != nil {
			return err
		}
		delete(s.values, key)
		s.wake()
		return nil
	})
}

// read returns a copy of a value, so that no caller can change the store's.
func (s *Store) read(key string) lovagestand.Value {
	value := s.values[key].value
	value.Key = key
	value.Data = slices.Clone(value.Data)
	return value
}

func (s *Store) expect(key string, previous lovagestand.Revision) error {
	found := s.values[key].value.Revision
	if found != previous {
		return &lovagestand.ConflictError{Key: key, Expected: previous, Found: found}
	}
	return nil
}

// wake lets every waiting watch look again.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
