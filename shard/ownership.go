package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/jobstore"
)

const (
	// ownershipCheckWindow gathers callers whose question one reading of the store
	// answers.
	ownershipCheckWindow = 20 * time.Millisecond
	// ownershipCheckTimeout bounds that reading: a store that answers in half a second
	// is still served.
	ownershipCheckTimeout = 600 * time.Millisecond
)

// ownershipCheck is a look at the ownership in the store that is about to be made.
type ownershipCheck struct {
	done      chan struct{}
	confirmed bool
}

// confirmOwnership reports whether the store shows, after the call, that the term is not
// over; false where the store does not answer.
func (s *Shard) confirmOwnership(ctx context.Context) bool {
	s.mu.Lock()
	check := s.ownershipCheck
	if check == nil {
		check = &ownershipCheck{done: make(chan struct{})}
		s.ownershipCheck = check
		go s.checkOwnership(check)
	}
	s.mu.Unlock()
	select {
	case <-check.done:
		return check.confirmed
	case <-ctx.Done():
		return false
	}
}

func (s *Shard) checkOwnership(check *ownershipCheck) {
	defer close(check.done)
	pause.For(s.ctx, ownershipCheckWindow)
	s.mu.Lock()
	s.ownershipCheck = nil
	s.mu.Unlock()
	limited, cancel := context.WithTimeout(s.ctx, ownershipCheckTimeout)
	defer cancel()
	err := s.deps.Store.Owned(limited)
	check.confirmed = err == nil
	var lost *jobstore.LostError
	if errors.As(err, &lost) {
		s.endTerm("the store shows that the ownership has ended")
	}
}
