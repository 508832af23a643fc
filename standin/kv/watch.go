package kv

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
)

// Watch implements [lovagestand.Store].
func (s *Store) Watch(ctx context.Context, key string, after lovagestand.Revision, wait time.Duration) (lovagestand.Value, error) {
	if err := s.before(ctx, CallWatch); err != nil {
		return lovagestand.Value{}, err
	}
	s.waiting(1)
	defer s.waiting(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		value, changed, err := s.look(key)
		if err != nil || value.Revision != after {
			return value, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return value, nil
		case <-ctx.Done():
			return lovagestand.Value{}, unavailable(ctx.Err().Error())
		}
	}
}

// look reads a key and returns the channel that tells of the next change.
func (s *Store) look(key string) (lovagestand.Value, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		return lovagestand.Value{}, nil, unavailable("down")
	}
	return s.read(key), s.changed, nil
}

func (s *Store) waiting(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Waiting += n
	s.counts.MostWaiting = max(s.counts.MostWaiting, s.counts.Waiting)
}
