package kv

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
)

// Grant implements [lovagestand.Store].
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (lovagestand.LeaseID, error) {
	if err := s.before(ctx, CallGrant); err != nil {
		return 0, err
	}
	var granted lovagestand.LeaseID
	err := s.write(func() error {
		s.granted++
		id := s.granted
		timer := time.AfterFunc(ttl, func() { s.end(id) })
		s.leases[id] = &lease{ttl: ttl, timer: timer}
		granted = id
		return nil
	})
	if err != nil {
		return 0, err
	}
	return granted, nil
}

// Renew implements [lovagestand.Store].
func (s *Store) Renew(ctx context.Context, id lovagestand.LeaseID) error {
	if err := s.before(ctx, CallRenew); err != nil {
		return err
	}
	return s.write(func() error {
		l := s.leases[id]
		if l == nil || !l.timer.Stop() {
			return &lovagestand.LeaseEndedError{Lease: id}
		}
		l.timer.Reset(l.ttl)
		return nil
	})
}

// end removes a lease and the keys that were written under it.
func (s *Store) end(id lovagestand.LeaseID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.leases, id)
	for k, e := range s.values {
		if e.lease == id {
			delete(s.values, k)
		}
	}
	s.wake()
}
