package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/jobstore"
)

const (
	// ownedWindow gathers callers whose question one reading of the store
	// answers.
	ownedWindow = 20 * time.Millisecond
	// ownedTimeout bounds that reading: a store that answers in half a second
	// is still served.
	ownedTimeout = 600 * time.Millisecond
)

// reading is a look at the ownership in the store that is about to be made.
type reading struct {
	done  chan struct{}
	owned bool
}

// owned reports whether the store shows, after the call, that the term is not
// over; false where the store does not answer.
func (s *Shard) owned(ctx context.Context) bool {
	s.mu.Lock()
	r := s.reading
	if r == nil {
		r = &reading{done: make(chan struct{})}
		s.reading = r
		go s.read(r)
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.owned
	case <-ctx.Done():
		return false
	}
}

func (s *Shard) read(r *reading) {
	defer close(r.done)
	pause.For(s.ctx, ownedWindow)
	s.mu.Lock()
	s.reading = nil
	s.mu.Unlock()
	limited, cancel := context.WithTimeout(s.ctx, ownedTimeout)
	defer cancel()
	err := s.deps.Store.CheckOwnership(limited)
	r.owned = err == nil
	var lost *jobstore.TermEndedError
	if errors.As(err, &lost) {
		s.lose("the store shows that the ownership has ended")
	}
}
