package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/jobstore"
)

const (
	// ownershipCheckWindow is how long a read is delayed so that it can serve several
	// callers.
	ownershipCheckWindow = 20 * time.Millisecond
	// ownershipCheckTimeout is the timeout of that read. A store that answers within
	// half a second is still usable.
	ownershipCheckTimeout = 600 * time.Millisecond
)

// ownershipCheck is a read of the ownership from the store, shared by several callers.
type ownershipCheck struct {
	done      chan struct{}
	confirmed bool
}

// confirmOwnership reports whether the store shows, in a read that starts after the
// call, that the term is not over. It returns false if the store does not answer.
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

// checkOwnership reads the ownership from the store and ends the term if it is over.
func (s *Shard) checkOwnership(check *ownershipCheck) {
	defer close(check.done)
	pause.For(s.ctx, ownershipCheckWindow)
	s.mu.Lock()
	s.ownershipCheck = nil
	s.mu.Unlock()
	limited, cancel := context.WithTimeout(s.ctx, ownershipCheckTimeout)
	defer cancel()
	err := s.deps.Store.CheckOwnership(limited)
	check.confirmed = err == nil
	var termEnded *jobstore.TermEndedError
	if errors.As(err, &termEnded) {
		s.endTerm("the store shows that the ownership has ended")
	}
}
