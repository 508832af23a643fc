package jobstore

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

const (
	// MaxEntries is how many jobs one write takes; two conditions and the
	// sequence key take the other entries of a transaction.
	MaxEntries = lovagestand.MaxTransactionEntries - 3
	// minAttemptTimeout and maxAttempt bound the time of one attempt at a write; in
	// between it is attemptFactor times what answers usually take, so that a
	// lost reply is found out soon.
	minAttemptTimeout    = 200 * time.Millisecond
	maxAttemptTimeout    = 1500 * time.Millisecond
	attemptTimeoutFactor = 6
	// latencyWeight is the weight of the newest answer in what is usual.
	latencyWeight = 0.2
	// latencyGrowth is how much longer answers are taken to need after none
	// came in time.
	latencyGrowth = 1.5
	// retryDelay spaces attempts at a store that rejects calls.
	retryDelay = 50 * time.Millisecond
	// failureReportAfter is how long a write may fail before that is reported, and
	// troubleInterval spaces the reports.
	failureReportAfter    = 200 * time.Millisecond
	failureReportInterval = 500 * time.Millisecond
)

// SequenceKey returns the key whose revision each write requires and changes.
func SequenceKey(shard string) string { return "sequence/" + shard }

// entryPrefix returns the prefix of the keys of a shard's entries.
func entryPrefix(shard string) string { return "shards/" + shard + "/" }

// RosterKey is the entry that lists the workers which may hold tasks of the
// shard; all other entries are jobs.
const RosterKey = "roster"

// Term is one ownership of a shard.
type Term struct {
	Shard string
	// Key is the ownership key; its revision is the term's epoch.
	Key   string
	Epoch lovagestand.Epoch
	// Sequence is the revision of the sequence key when the term began.
	Sequence lovagestand.Revision
	// Lease is that of the ownership; what a term alone needs goes with it.
	Lease lovagestand.LeaseID
}

// TermEndedError says that another term has begun; nothing more may be written.
type TermEndedError struct {
	Shard string
	Epoch lovagestand.Epoch
}

// Error implements error.
func (e *TermEndedError) Error() string {
	return fmt.Sprintf("shard %s: epoch %d is over", e.Shard, e.Epoch)
}

// Lanes is how many writes may be under way at once, one in each lane. More
// than one is of use when the store is slow.
const Lanes = 6

// Store reads and writes the jobs of one shard in one term. An entry may be in
// one write at a time.
type Store struct {
	keys           lovagestand.Keyspace
	term           Term
	lanes          [Lanes]lane
	onWriteFailure func()

	mu         sync.Mutex
	lastReport time.Time
}

// lane is a chain of writes: each one requires the one before.
type lane struct {
	key      string
	lease    lovagestand.LeaseID
	sequence lovagestand.Revision
	writes   int64
	// latency is how long an answer of the store usually takes.
	latency time.Duration
}

// Option changes a store.
type Option func(*Store)

// WithWriteFailureHandler has f called now and then while writes fail; f must not block.
func WithWriteFailureHandler(f func()) Option {
	return func(s *Store) { s.onWriteFailure = f }
}

// New returns a store for a term.
func New(keys lovagestand.Keyspace, term Term, options ...Option) *Store {
	s := &Store{keys: keys, term: term, onWriteFailure: func() {}}
	s.lanes[0] = lane{key: SequenceKey(term.Shard), sequence: term.Sequence}
	for i := 1; i < Lanes; i++ {
		s.lanes[i] = lane{key: fmt.Sprintf("%s/%d/%d", SequenceKey(term.Shard), term.Epoch, i), lease: term.Lease}
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// reportFailure reports a write that has failed since begun.
func (s *Store) reportFailure(start time.Time) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(start) < failureReportAfter || now.Sub(s.lastReport) < failureReportInterval {
		return
	}
	s.lastReport = now
	s.onWriteFailure()
}

// Entry is the kept value of one job, or of the roster; an empty value forgets
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

// CheckOwnership returns nil if the store shows that the term is not over, a [LostError]
// if it is, or the error of the call.
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

// Write is [Store.WriteIn] for the first lane.
func (s *Store) Write(ctx context.Context, entries []Entry) error {
	return s.WriteLane(ctx, 0, entries)
}

// WriteLane makes at most [MaxJobs] entries durable in a lane that has no write
// under way. It tries until it knows the outcome and fails with a [LostError]
// when the term is over, or with the context's error.
func (s *Store) WriteLane(ctx context.Context, index int, entries []Entry) error {
	l := &s.lanes[index]
	l.writes++
	token := fmt.Sprintf("%d/%d", s.term.Epoch, l.writes)
	t := s.transaction(l, token, entries)
	start := time.Now()
	for {
		revision, err := s.attempt(ctx, l, t)
		if err == nil {
			l.sequence = revision
			return nil
		}
		var condition *lovagestand.ConditionError
		if errors.As(err, &condition) {
			return s.resolveConflict(l, condition, token)
		}
		var leaseEnded *lovagestand.LeaseEndedError
		if errors.As(err, &leaseEnded) {
			return &TermEndedError{Shard: s.term.Shard, Epoch: s.term.Epoch}
		}
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "write jobs")
		}
		s.reportFailure(start)
		var rejected *lovagestand.RejectedError
		if errors.As(err, &rejected) && !pause.For(ctx, retryDelay) {
			return errors.Wrap(ctx.Err(), "write jobs")
		}
		var unavailable *lovagestand.UnavailableError
		if errors.As(err, &unavailable) && !pause.For(ctx, retryDelay/5) {
			return errors.Wrap(ctx.Err(), "write jobs")
		}
	}
}

func (s *Store) attempt(ctx context.Context, l *lane, t lovagestand.Transaction) (lovagestand.Revision, error) {
	timeout := min(maxAttemptTimeout, max(minAttemptTimeout, attemptTimeoutFactor*l.latency))
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	revision, err := s.keys.Commit(attemptCtx, t)
	if attemptCtx.Err() != nil {
		l.latency = min(maxAttemptTimeout/attemptTimeoutFactor, max(minAttemptTimeout/attemptTimeoutFactor, time.Duration(latencyGrowth*float64(l.latency))))
	} else {
		l.latency += time.Duration(latencyWeight * float64(time.Since(start)-l.latency))
	}
	return revision, err
}

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

// resolveConflict decides whether a write whose conditions no longer hold was applied
// by an earlier attempt with a lost reply.
func (s *Store) resolveConflict(l *lane, e *lovagestand.ConditionError, token string) error {
	sequence := e.Item(l.key)
	if string(sequence.Value) == token {
		l.sequence = sequence.Revision
		return nil
	}
	return &TermEndedError{Shard: s.term.Shard, Epoch: s.term.Epoch}
}
