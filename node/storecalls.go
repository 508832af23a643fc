package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/layout"
	"lovagestand.example/lovagestand/outage"
)

const (
	// unansweredAfter is how long a call may have no reply before the store may be down. It
	// is above the 240 ms that a store takes that is 60 times as slow as usual.
	unansweredAfter = 300 * time.Millisecond
	// probeStoreInterval is the longest time between two calls to a store that may be down,
	// so that its return is noticed.
	probeStoreInterval = 300 * time.Millisecond
	// probeStoreTimeout bounds the wait for the reply to such a call. At most three wait.
	probeStoreTimeout = 3 * probeStoreInterval
	// staleAfterOutage is how long an outage must have lasted for the calls from before its
	// end to be sent again.
	staleAfterOutage = time.Second
)

// storeCalls makes the calls of an instance to the store and records outages. After an
// outage, reads, watches and renewals without a reply are sent again over new connections,
// and the owners of this instance are told that the store answers. It implements
// [lovagestand.Keyspace].
type storeCalls struct {
	keys    lovagestand.Keyspace
	log     zerolog.Logger
	outages outage.Tracker

	mu sync.Mutex
	// pending holds the calls without a reply that can be sent again.
	pending map[*storeCall]bool
	// lastSent is when a call was last sent over a new connection.
	lastSent time.Time
	served   map[*func()]bool
	// silence requests that the store be probed.
	silence chan struct{}
}

// storeCall is a call without a reply.
type storeCall struct {
	sentAt time.Time
	cancel context.CancelFunc
	// progressing reports whether a part of the reply has arrived.
	progressing bool
	// stale reports whether the call was cancelled because it was sent before the end of
	// an outage.
	stale bool
}

func newStoreCalls(keys lovagestand.Keyspace, log zerolog.Logger) *storeCalls {
	return &storeCalls{keys: keys, log: log, pending: map[*storeCall]bool{}, served: map[*func()]bool{}, silence: make(chan struct{}, 1)}
}

// onServed makes f be called whenever the store has served a call, until the returned
// function is called.
func (s *storeCalls) onServed(f func()) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served[&f] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.served, &f)
	}
}

// recentOutage reports whether the store does not serve this instance or did not until
// recently.
func (s *storeCalls) recentOutage() bool { return s.outages.Recent(time.Now()) }

// callKind tells how a call to the store is treated.
type callKind struct {
	// waits reports whether the store may wait for a change before it answers.
	waits bool
	// repeatable reports whether the call can be sent again while an earlier one may still
	// take effect.
	repeatable bool
}

var (
	reading  = callKind{repeatable: true}
	watching = callKind{waits: true, repeatable: true}
	writing  = callKind{}
)

// do makes a call with send. A repeatable call is sent again if an outage has ended
// meanwhile.
func (s *storeCalls) do(ctx context.Context, kind callKind, send func(context.Context) error) error {
	for {
		call, err := s.sendOnce(ctx, kind, send)
		s.mu.Lock()
		stale := call.stale
		s.mu.Unlock()
		if err == nil || !stale || ctx.Err() != nil {
			return err
		}
		ctx = lovagestand.WithNewConnection(ctx)
	}
}

func (s *storeCalls) sendOnce(callerCtx context.Context, kind callKind, send func(context.Context) error) (*storeCall, error) {
	ctx, cancel := context.WithCancel(callerCtx)
	defer cancel()
	call := &storeCall{sentAt: time.Now(), cancel: cancel}
	ctx = lovagestand.WithProgressHandler(ctx, func() { s.recordProgress(call) })
	s.begin(call, kind, lovagestand.NewConnectionRequired(ctx))
	if !kind.waits {
		defer time.AfterFunc(unansweredAfter, func() { s.recordSilence(call) }).Stop()
	}
	err := send(ctx)
	s.mu.Lock()
	delete(s.pending, call)
	stale := call.stale
	s.mu.Unlock()
	switch {
	case outage.Served(err):
		s.recordServed(call)
	case !kind.waits && !stale && !errors.Is(context.Cause(callerCtx), context.Canceled):
		s.outages.RecordFailure(call.sentAt)
	}
	return call, err
}

// recordProgress records that a part of the reply to a call has arrived. A large reply takes
// long over a slow link, and the call is not sent again because of that.
func (s *storeCalls) recordProgress(call *storeCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.progressing = true
}

func (s *storeCalls) begin(call *storeCall, kind callKind, newConnection bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind.repeatable {
		s.pending[call] = true
	}
	if newConnection && !kind.waits {
		s.lastSent = call.sentAt
	}
}

// recordServed records that a call was served. If that ends an outage, the calls that were
// sent before it are sent again, since they may have no reply for good.
func (s *storeCalls) recordServed(served *storeCall) {
	lasted := s.outages.RecordServed(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if lasted >= staleAfterOutage {
		s.log.Info().Dur("lasted", lasted).Msg("store serves this instance again")
		for call := range s.pending {
			if call.sentAt.Before(served.sentAt) && !call.progressing {
				call.stale = true
				call.cancel()
			}
		}
	}
	for f := range s.served {
		(*f)()
	}
}

// recordSilence records that a call has had no reply, and requests that the store be
// probed.
func (s *storeCalls) recordSilence(call *storeCall) {
	s.outages.RecordFailure(call.sentAt)
	select {
	case s.silence <- struct{}{}:
	default:
	}
}

// run probes the store while it may be down, until ctx ends.
func (s *storeCalls) run(ctx context.Context) {
	for {
		select {
		case <-s.silence:
		case <-ctx.Done():
			return
		}
		for s.outages.Failing() && ctx.Err() == nil {
			if wait := s.claimProbe(time.Now()); wait > 0 {
				pause.For(ctx, wait)
				continue
			}
			go s.probe(ctx)
		}
	}
}

// claimProbe returns 0 if the store is to be probed now, or else how long to wait. It is
// probed if no other call has been sent over a new connection for probeStoreInterval: an
// owner with a pending write attempts that as often, so it makes no further calls.
func (s *storeCalls) claimProbe(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait := s.lastSent.Add(probeStoreInterval).Sub(now); wait > 0 {
		return wait
	}
	s.lastSent = now
	return 0
}

// probe reads a key over a new connection.
func (s *storeCalls) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(lovagestand.WithNewConnection(ctx), probeStoreTimeout)
	defer cancel()
	// The outcome is recorded as that of any other call.
	_, _ = s.Item(ctx, election.OwnerKey(layout.FirstShard))
}

// Item implements [lovagestand.Keyspace].
func (s *storeCalls) Item(ctx context.Context, key string) (item lovagestand.Item, err error) {
	err = s.do(ctx, reading, func(ctx context.Context) error {
		item, err = s.keys.Item(ctx, key)
		return err
	})
	return item, err
}

// Range implements [lovagestand.Keyspace].
func (s *storeCalls) Range(ctx context.Context, prefix string) (items []lovagestand.Item, revision lovagestand.Revision, err error) {
	err = s.do(ctx, reading, func(ctx context.Context) error {
		items, revision, err = s.keys.Range(ctx, prefix)
		return err
	})
	return items, revision, err
}

// Watch implements [lovagestand.Keyspace].
func (s *storeCalls) Watch(ctx context.Context, prefix string, after lovagestand.Revision, wait time.Duration) (items []lovagestand.Item, revision lovagestand.Revision, err error) {
	err = s.do(ctx, watching, func(ctx context.Context) error {
		items, revision, err = s.keys.Watch(ctx, prefix, after, wait)
		return err
	})
	return items, revision, err
}

// Commit implements [lovagestand.Keyspace].
func (s *storeCalls) Commit(ctx context.Context, t lovagestand.Transaction) (revision lovagestand.Revision, err error) {
	err = s.do(ctx, writing, func(ctx context.Context) error {
		revision, err = s.keys.Commit(ctx, t)
		return err
	})
	return revision, err
}

// Grant implements [lovagestand.Keyspace].
func (s *storeCalls) Grant(ctx context.Context, ttl time.Duration) (lease lovagestand.LeaseID, granted time.Duration, err error) {
	err = s.do(ctx, writing, func(ctx context.Context) error {
		lease, granted, err = s.keys.Grant(ctx, ttl)
		return err
	})
	return lease, granted, err
}

// Renew implements [lovagestand.Keyspace].
func (s *storeCalls) Renew(ctx context.Context, lease lovagestand.LeaseID) error {
	return s.do(ctx, reading, func(ctx context.Context) error { return s.keys.Renew(ctx, lease) })
}

// Revoke implements [lovagestand.Keyspace].
func (s *storeCalls) Revoke(ctx context.Context, lease lovagestand.LeaseID) error {
	return s.do(ctx, writing, func(ctx context.Context) error { return s.keys.Revoke(ctx, lease) })
}
