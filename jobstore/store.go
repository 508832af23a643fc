package jobstore

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/outage"
)

const (
	// MaxEntries is the largest number of entries in one write. The other entries
	// of a transaction are its two conditions and the sequence key.
	MaxEntries = lovagestand.MaxTransactionEntries - 3
	// minAttemptTimeout and maxAttemptTimeout bound the timeout of the first attempt at a
	// write. Between them the timeout is attemptTimeoutFactor times the usual
	// latency of the store, so that a lost reply is detected quickly. The usual latency
	// depends on replies only: most writes take no longer than usual while the store
	// loses some of the replies.
	minAttemptTimeout    = 200 * time.Millisecond
	maxAttemptTimeout    = 1500 * time.Millisecond
	attemptTimeoutFactor = 6
	// latencyWeight is the weight of the newest reply in the usual latency.
	latencyWeight = 0.2
)

// SequenceKey returns the key whose revision each write of the first lane requires
// and changes.
func SequenceKey(shard string) string { return "sequence/" + shard }

// entryPrefix returns the prefix of the keys of a shard's entries.
func entryPrefix(shard string) string { return "shards/" + shard + "/" }

// RosterKey is the ID of the entry that lists the workers that may hold tasks of the
// shard. All other entries are jobs.
const RosterKey = "roster"

// Term is a period in which one instance owns a shard.
type Term struct {
	Shard string
	// Key is the ownership key; its revision is the term's epoch.
	Key   string
	Epoch lovagestand.Epoch
	// Sequence is the revision of the sequence key when the term began.
	Sequence lovagestand.Revision
	// Lease is the lease of the ownership key. Keys that only this term needs are
	// bound to it, so that they are removed when the lease ends.
	Lease lovagestand.LeaseID
}

// TermEndedError is returned when the term has ended, so that nothing more may be
// written.
type TermEndedError struct {
	Shard string
	Epoch lovagestand.Epoch
}

// Error implements error.
func (e *TermEndedError) Error() string {
	return fmt.Sprintf("shard %s: the term of epoch %d has ended", e.Shard, e.Epoch)
}

// Lanes is the number of writes that may be pending at the same time, one in each
// lane. More than one helps when the store is slow.
const Lanes = 6

// Store reads and writes the jobs of one shard in one term. The caller must not have
// an entry in two pending writes.
type Store struct {
	keys           lovagestand.Keyspace
	term           Term
	lanes          [Lanes]lane
	onWriteFailure func()
	begunAt        time.Time

	// mu guards the following fields.
	mu sync.Mutex
	// answered is closed and replaced whenever the store answers a call.
	answered chan struct{}
	pacer    pacer
	// outages records the outages of the store as seen by this owner.
	outages outage.Tracker
	// lastReport is when onWriteFailure was last called.
	lastReport time.Time
}

// lane is a chain of writes, each conditional on the one before it.
type lane struct {
	key   string
	lease lovagestand.LeaseID
	// sequence is the revision of key after the last write.
	sequence lovagestand.Revision
	// writes is the number of writes so far.
	writes int64
	// latency is the usual time in which the store replies.
	latency time.Duration
}

// Option configures a store.
type Option func(*Store)

// WithWriteFailureHandler sets a function that is called repeatedly while writes
// fail. It must not block.
func WithWriteFailureHandler(f func()) Option {
	return func(s *Store) { s.onWriteFailure = f }
}

// New returns a store for a term.
func New(keys lovagestand.Keyspace, term Term, options ...Option) *Store {
	s := &Store{keys: keys, term: term, onWriteFailure: func() {}, begunAt: time.Now(), answered: make(chan struct{})}
	s.lanes[0] = lane{key: SequenceKey(term.Shard), sequence: term.Sequence}
	for i := 1; i < Lanes; i++ {
		s.lanes[i] = lane{key: fmt.Sprintf("%s/%d/%d", SequenceKey(term.Shard), term.Epoch, i), lease: term.Lease}
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// reportFailure calls the write failure handler for a write that has failed since
// start, if that is to be reported now. The parameter rejected indicates that the store
// has rejected the last attempt.
func (s *Store) reportFailure(start time.Time, rejected bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	failure := writeFailure{
		failingFor: now.Sub(start), termLasted: now.Sub(s.begunAt), sinceReport: now.Sub(s.lastReport),
		rejected: rejected, afterOutage: s.outages.EndedRecently(now),
	}
	if failure.reportable() {
		s.lastReport = now
		s.onWriteFailure()
	}
}

// Entry is the stored value of a job or of the roster. Writing an empty value removes
// it.
type Entry struct {
	ID    string
	Value []byte
}

// Load returns all entries of the shard.
func (s *Store) Load(ctx context.Context) ([]Entry, error) {
	prefix := entryPrefix(s.term.Shard)
	items, _, err := s.keys.Range(ctx, prefix)
	if err != nil {
		return nil, errors.Wrap(err, "load jobs")
	}
	entries := make([]Entry, len(items))
	for i, item := range items {
		entries[i] = Entry{ID: strings.TrimPrefix(item.Key, prefix), Value: item.Value}
	}
	return entries, nil
}

// CheckOwnership reads the ownership key. It returns nil if the term has not ended, a
// [TermEndedError] if it has, or the error of the read.
func (s *Store) CheckOwnership(ctx context.Context) error {
	item, err := s.keys.Item(ctx, s.term.Key)
	if err != nil {
		return errors.Wrap(err, "read ownership")
	}
	if item.Revision != lovagestand.Revision(s.term.Epoch) {
		return &TermEndedError{Shard: s.term.Shard, Epoch: s.term.Epoch}
	}
	return nil
}

// Write is [Store.WriteLane] for the first lane.
func (s *Store) Write(ctx context.Context, entries []Entry) error {
	return s.WriteLane(ctx, 0, entries)
}

// WriteLane writes at most [MaxEntries] entries in the lane with an index, which must
// have no pending write. It retries until the outcome is certain. It returns nil if
// the entries are durable, a [TermEndedError] if the term has ended, or the error of
// the context, in which case the write may or may not take effect.
func (s *Store) WriteLane(ctx context.Context, index int, entries []Entry) error {
	l := &s.lanes[index]
	l.writes++
	token := fmt.Sprintf("%d/%d", s.term.Epoch, l.writes)
	attempts := newAttempts(s.keys, s.transaction(l, token, entries))
	defer attempts.cancelAll()
	plan := newSchedule(time.Now(), l.timeout(), l.latency)
	for {
		reply, ok := s.attempt(ctx, attempts, plan)
		if ok {
			l.recordReply(reply.took)
		}
		if ok && reply.err == nil {
			l.sequence = reply.revision
			s.StoreAnswered()
			return nil
		}
		var condition *lovagestand.ConditionError
		if errors.As(reply.err, &condition) {
			s.StoreAnswered()
			return s.resolveConflict(l, condition, token)
		}
		var leaseEnded *lovagestand.LeaseEndedError
		if errors.As(reply.err, &leaseEnded) {
			return &TermEndedError{Shard: s.term.Shard, Epoch: s.term.Epoch}
		}
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "write jobs")
		}
		var rejected *lovagestand.RejectedError
		wasRejected := errors.As(reply.err, &rejected)
		s.outages.RecordFailure(plan.lastSent)
		s.reportFailure(plan.begunAt, wasRejected)
		switch {
		case wasRejected:
			plan.attemptFailed(time.Now(), rejectedDelay)
		case ok:
			plan.attemptFailed(time.Now(), unavailableDelay)
		}
	}
}

// attempt sends the next attempt at a write when it is due, and waits for a reply to any
// attempt. It returns false if there is none before the attempt after it is due, or
// before ctx ends.
func (s *Store) attempt(ctx context.Context, attempts *attempts, plan *schedule) (attemptReply, bool) {
	sent := false
	for {
		timer := time.NewTimer(time.Until(plan.next))
		select {
		case r := <-attempts.replies:
			timer.Stop()
			attempts.received(r)
			return r, true
		case <-s.answeredSignal():
			plan.storeAnswered(time.Now())
		case <-ctx.Done():
			timer.Stop()
			return attemptReply{}, false
		case <-timer.C:
			if sent {
				return attemptReply{}, false
			}
			sent = s.sendAttempt(ctx, attempts, plan)
		}
		timer.Stop()
	}
}

// sendAttempt sends an attempt unless one in another lane has just been sent to a store
// that may be down.
func (s *Store) sendAttempt(ctx context.Context, attempts *attempts, plan *schedule) bool {
	now := time.Now()
	if plan.paced(now) {
		s.mu.Lock()
		wait := s.pacer.claim(now)
		s.mu.Unlock()
		if wait > 0 {
			plan.postpone(now, wait)
			return false
		}
	}
	attempts.send(ctx)
	plan.attemptSent(now)
	return true
}

// StoreAnswered is called when another call of this instance to the store has succeeded.
// Writes that have waited for too long are then attempted again at once.
func (s *Store) StoreAnswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages.RecordServed(time.Now())
	s.pacer.storeAnswered()
	close(s.answered)
	s.answered = make(chan struct{})
}

// answeredSignal returns a channel that is closed when the store answers a call.
func (s *Store) answeredSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// timeout returns how long to wait for a reply before the second attempt at a write.
func (l *lane) timeout() time.Duration {
	return min(maxAttemptTimeout, max(minAttemptTimeout, attemptTimeoutFactor*l.latency))
}

// recordReply adds the time of a reply to the usual latency.
func (l *lane) recordReply(took time.Duration) {
	l.latency += time.Duration(latencyWeight * float64(took-l.latency))
}

// transaction returns the transaction that writes entries in a lane. The token becomes
// the value of the lane's key and identifies the write.
func (s *Store) transaction(l *lane, token string, entries []Entry) lovagestand.Transaction {
	t := lovagestand.Transaction{
		If: []lovagestand.Condition{
			{Key: s.term.Key, Revision: lovagestand.Revision(s.term.Epoch)},
			{Key: l.key, Revision: l.sequence},
		},
		Set: []lovagestand.Write{{Key: l.key, Value: []byte(token), Lease: l.lease}},
	}
	for _, e := range entries {
		key := entryPrefix(s.term.Shard) + e.ID
		if len(e.Value) == 0 {
			t.Remove = append(t.Remove, key)
			continue
		}
		t.Set = append(t.Set, lovagestand.Write{Key: key, Value: e.Value})
	}
	return t
}

// resolveConflict determines whether a write whose conditions no longer hold was
// applied by an earlier attempt of which the reply was lost. Then the lane's key has
// the token of the write as its value.
func (s *Store) resolveConflict(l *lane, e *lovagestand.ConditionError, token string) error {
	sequence := e.Item(l.key)
	if string(sequence.Value) == token {
		l.sequence = sequence.Revision
		return nil
	}
	return &TermEndedError{Shard: s.term.Shard, Epoch: s.term.Epoch}
}
