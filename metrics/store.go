package metrics

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
)

// countingStore counts the calls to a store, and those that failed, by kind.
type countingStore struct {
	store   lovagestand.Store
	metrics *Metrics
}

var _ lovagestand.Store = (*countingStore)(nil)

// Store returns a store that counts the calls to store. A call that returns a
// [lovagestand.ConflictError] does not count as failed, since the store replied.
func (m *Metrics) Store(store lovagestand.Store) lovagestand.Store {
	return &countingStore{store: store, metrics: m}
}

func (s *countingStore) count(kind string, err error) {
	s.metrics.storeCalls.Add(kind, 1)
	var conflict *lovagestand.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		s.metrics.storeFailures.Add(kind, 1)
	}
}

// Get implements [lovagestand.Store].
func (s *countingStore) Get(ctx context.Context, key string) (lovagestand.Value, error) {
	v, err := s.store.Get(ctx, key)
	s.count("get", err)
	return v, err
}

// List implements [lovagestand.Store].
func (s *countingStore) List(ctx context.Context, prefix string) ([]lovagestand.Value, error) {
	list, err := s.store.List(ctx, prefix)
	s.count("list", err)
	return list, err
}

// Put implements [lovagestand.Store].
func (s *countingStore) Put(ctx context.Context, key string, data []byte, previous lovagestand.Revision, lease lovagestand.LeaseID) (lovagestand.Revision, error) {
	revision, err := s.store.Put(ctx, key, data, previous, lease)
	s.count("put", err)
	return revision, err
}

// Delete implements [lovagestand.Store].
func (s *countingStore) Delete(ctx context.Context, key string, previous lovagestand.Revision) error {
	err := s.store.Delete(ctx, key, previous)
	s.count("delete", err)
	return err
}

// Watch implements [lovagestand.Store].
func (s *countingStore) Watch(ctx context.Context, key string, after lovagestand.Revision, wait time.Duration) (lovagestand.Value, error) {
	v, err := s.store.Watch(ctx, key, after, wait)
	s.count("watch", err)
	return v, err
}

// Grant implements [lovagestand.Store].
func (s *countingStore) Grant(ctx context.Context, ttl time.Duration) (lovagestand.LeaseID, error) {
	lease, err := s.store.Grant(ctx, ttl)
	s.count("grant", err)
	return lease, err
}

// Renew implements [lovagestand.Store].
func (s *countingStore) Renew(ctx context.Context, lease lovagestand.LeaseID) error {
	err := s.store.Renew(ctx, lease)
	s.count("renew", err)
	return err
}
