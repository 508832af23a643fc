package jobstore

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
)

// maxPendingAttempts is how many attempts at one write may wait for their replies at
// the same time.
const maxPendingAttempts = 3

// attempts are the attempts at one write. Each sends the same conditional
// transaction, of which the store applies at most one.
//
// They are meant for a store that loses replies or becomes slow from one write to the
// next: a missing reply is noticed after a few times the usual latency, and a slow
// reply still counts when the next attempt has been sent.
type attempts struct {
	keys        lovagestand.Keyspace
	transaction lovagestand.Transaction
	// replies receives at most one reply of each attempt.
	replies chan attemptReply
	// pending holds what cancels the attempts that wait, oldest first.
	pending []context.CancelFunc
}

// attemptReply is the outcome of one attempt.
type attemptReply struct {
	revision lovagestand.Revision
	err      error
	// took is the time from the start of the attempt to the reply.
	took time.Duration
}

func newAttempts(keys lovagestand.Keyspace, t lovagestand.Transaction) *attempts {
	return &attempts{keys: keys, transaction: t, replies: make(chan attemptReply)}
}

// try starts an attempt and waits for the first reply to any attempt. It returns
// false if there is none within timeout or before ctx ends.
func (a *attempts) try(ctx context.Context, timeout time.Duration) (attemptReply, bool) {
	if len(a.pending) == maxPendingAttempts {
		a.pending[0]()
		a.pending = a.pending[1:]
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	a.pending = append(a.pending, cancel)
	go a.commit(attemptCtx)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-a.replies:
		return r, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return attemptReply{}, false
}

// commit commits the transaction once and passes the reply on unless ctx ends first.
func (a *attempts) commit(ctx context.Context) {
	start := time.Now()
	revision, err := a.keys.Commit(ctx, a.transaction)
	if ctx.Err() != nil {
		return
	}
	select {
	case a.replies <- attemptReply{revision: revision, err: err, took: time.Since(start)}:
	case <-ctx.Done():
	}
}

// cancelAll cancels the attempts that still wait.
func (a *attempts) cancelAll() {
	for _, cancel := range a.pending {
		cancel()
	}
}
