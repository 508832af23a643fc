package jobstore

import (
	"context"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// maxPendingAttempts is how many attempts at one write may wait for their replies at
// the same time.
const maxPendingAttempts = 3

// attempts are the attempts at one write. Each sends the same conditional
// transaction, of which the store applies at most one.
//
// They are meant for a store that loses replies, becomes slow from one write to the next
// or is down for some seconds: a missing reply is noticed after a few times the usual
// latency, and a slow reply still counts when the next attempts have been sent. All but
// the first use a new connection, since the others may have become silent.
type attempts struct {
	keys        lovagestand.Keyspace
	transaction lovagestand.Transaction
	// replies receives at most one reply of each attempt.
	replies chan attemptReply
	// pending holds the attempts that wait, oldest first.
	pending []*attempt
	sent    int
}

// attempt is an attempt that waits for its reply.
type attempt struct {
	sentAt time.Time
	cancel context.CancelFunc
}

// attemptReply is the outcome of one attempt.
type attemptReply struct {
	attempt  *attempt
	revision lovagestand.Revision
	err      error
	// took is the time from the start of the attempt to the reply.
	took time.Duration
}

func newAttempts(keys lovagestand.Keyspace, t lovagestand.Transaction) *attempts {
	return &attempts{keys: keys, transaction: t, replies: make(chan attemptReply)}
}

// send starts an attempt. If too many wait already, one of them is given up.
func (a *attempts) send(ctx context.Context) {
	now := time.Now()
	if len(a.pending) == maxPendingAttempts {
		i := givenUp(now.Sub(a.pending[0].sentAt))
		a.pending[i].cancel()
		a.pending = slices.Delete(a.pending, i, i+1)
	}
	if a.sent > 0 {
		ctx = lovagestand.WithNewConnection(ctx)
	}
	a.sent++
	attemptCtx, cancel := context.WithCancel(ctx)
	pending := &attempt{sentAt: now, cancel: cancel}
	a.pending = append(a.pending, pending)
	go a.commit(attemptCtx, pending)
}

// givenUp returns the index of the waiting attempt that is given up for a new one. The
// oldest is kept for as long as patience, so that a store that is only slow serves it.
func givenUp(oldestWaitsFor time.Duration) int {
	if oldestWaitsFor < patience {
		return 1
	}
	return 0
}

// received removes an attempt from those that wait.
func (a *attempts) received(r attemptReply) {
	r.attempt.cancel()
	a.pending = slices.DeleteFunc(a.pending, func(p *attempt) bool { return p == r.attempt })
}

// commit commits the transaction once and passes the reply on unless ctx ends first.
func (a *attempts) commit(ctx context.Context, pending *attempt) {
	revision, err := a.keys.Commit(ctx, a.transaction)
	if ctx.Err() != nil {
		return
	}
	select {
	case a.replies <- attemptReply{attempt: pending, revision: revision, err: err, took: time.Since(pending.sentAt)}:
	case <-ctx.Done():
	}
}

// cancelAll cancels the attempts that still wait.
func (a *attempts) cancelAll() {
	for _, p := range a.pending {
		p.cancel()
	}
}
