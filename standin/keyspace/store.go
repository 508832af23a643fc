// Package keyspace is an in-memory stand-in for the platform's metadata store.
// It has keys with revisions, leases, prefix watches and transactions, and
// injects on request the faults that the real store shows. Package platform
// serves it over HTTP.
package keyspace

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
)

// Fault is the fault that is injected into one call.
type Fault int

// The faults of a call.
const (
	// FaultNone executes the call and replies.
	FaultNone Fault = iota
	// FaultRejected rejects the call without any effect.
	FaultRejected
	// FaultLostRequest drops the call: it has no effect and gets no reply.
	FaultLostRequest
	// FaultLostReply executes the call but sends no reply.
	FaultLostReply
	// FaultLate sends no reply and holds a commit back until
	// [Store.ApplyLate]. Any other call is dropped.
	FaultLate
)

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision lovagestand.Revision
	items    map[string]lovagestand.Item
	// keyLeases maps each key that is bound to a lease to that lease.
	keyLeases map[string]lovagestand.LeaseID
	leases    map[lovagestand.LeaseID]lease
	// lastLease is the ID of the lease that was granted last.
	lastLease lovagestand.LeaseID
	// history holds all changes after the revision compacted, oldest first.
	history   []lovagestand.Item
	compacted lovagestand.Revision
	// changed is closed and replaced at each change.
	changed     chan struct{}
	lateCommits []lovagestand.Transaction
	fault       func(call string) Fault
	calls       map[string]int
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 1, items: map[string]lovagestand.Item{}, keyLeases: map[string]lovagestand.LeaseID{},
		leases: map[lovagestand.LeaseID]lease{}, changed: make(chan struct{}), calls: map[string]int{},
	}
}

// SetFault makes f choose the fault of each call, given its kind, such as "commit".
// If f is nil, no faults are injected.
func (s *Store) SetFault(f func(call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls of a kind, such as "commit".
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// ApplyLate applies the commits that [FaultLate] held back. A commit whose
// conditions no longer hold has no effect.
func (s *Store) ApplyLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.lateCommits {
		_, _ = s.apply(t)
	}
	s.lateCommits = nil
}

// Compact drops the history of changes. A watch that starts at an earlier
// revision then fails.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
	s.notify()
}

// Put writes a key unconditionally, as the operator or a worker does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(lovagestand.Write{Key: key, Value: value})
	s.notify()
}

// Peek returns the item of a key without faults and without counting a call. It
// returns the zero item if the key does not exist.
func (s *Store) Peek(key string) lovagestand.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.items[key]
}

// Remove removes a key unconditionally, as the operator or the platform does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// unavailable waits until ctx ends and returns the error of a call without a
// reply.
func unavailable(ctx context.Context) error {
	<-ctx.Done()
	return &lovagestand.UnavailableError{System: "store", Reason: ctx.Err().Error()}
}

// beginCall counts a call, ends the expired leases and returns the call's fault.
func (s *Store) beginCall(call string) Fault {
	s.calls[call]++
	s.expireLeases()
	if s.fault == nil {
		return FaultNone
	}
	return s.fault(call)
}

func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id lovagestand.LeaseID) {
	delete(s.leases, id)
	for key, lease := range s.keyLeases {
		if lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	delete(s.keyLeases, key)
	s.record(lovagestand.Item{Key: key, Revision: s.revision, Deleted: true})
}

// maxHistory is the maximum number of changes in the history. The older half is
// dropped when the history is full.
const maxHistory = 20000

// record appends a change to the history that watches read.
func (s *Store) record(change lovagestand.Item) {
	if len(s.history) >= maxHistory {
		s.compacted = s.history[maxHistory/2-1].Revision
		s.history = slices.Delete(s.history, 0, maxHistory/2)
	}
	s.history = append(s.history, change)
}

func (s *Store) write(w lovagestand.Write) {
	item := lovagestand.Item{Key: w.Key, Value: slices.Clone(w.Value), Revision: s.revision, Created: s.revision, Lease: w.Lease}
	if previous, ok := s.items[w.Key]; ok {
		item.Created = previous.Created
	}
	s.items[w.Key] = item
	delete(s.keyLeases, w.Key)
	if w.Lease != 0 {
		s.keyLeases[w.Key] = w.Lease
	}
	s.record(item)
}

func (s *Store) apply(t lovagestand.Transaction) (lovagestand.Revision, error) {
	conflict := false
	current := make([]lovagestand.Item, 0, len(t.If))
	for _, c := range t.If {
		item := s.items[c.Key]
		item.Key = c.Key
		current = append(current, item)
		conflict = conflict || item.Revision != c.Revision
	}
	if conflict {
		return 0, &lovagestand.ConditionError{Items: current}
	}
	for _, w := range t.Set {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 0, &lovagestand.LeaseEndedError{Lease: w.Lease}
		}
	}
	s.revision++
	for _, w := range t.Set {
		s.write(w)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	return s.revision, nil
}

// Commit implements [lovagestand.Keyspace].
func (s *Store) Commit(ctx context.Context, t lovagestand.Transaction) (lovagestand.Revision, error) {
	if len(t.If)+len(t.Set)+len(t.Remove) > lovagestand.MaxTransactionEntries {
		return 0, &lovagestand.RejectedError{System: "store", Status: 400, Reason: "too many entries"}
	}
	s.mu.Lock()
	fault := s.beginCall("commit")
	switch fault {
	case FaultRejected:
		s.mu.Unlock()
		return 0, &lovagestand.RejectedError{System: "store", Status: 503}
	case FaultLate:
		s.lateCommits = append(s.lateCommits, t)
	case FaultNone, FaultLostReply:
		revision, err := s.apply(t)
		if fault == FaultNone {
			s.mu.Unlock()
			return revision, err
		}
	}
	s.mu.Unlock()
	return 0, unavailable(ctx)
}

// Item implements [lovagestand.Keyspace].
func (s *Store) Item(ctx context.Context, key string) (lovagestand.Item, error) {
	s.mu.Lock()
	fault := s.beginCall("item")
	item := s.items[key]
	item.Key = key
	s.mu.Unlock()
	return item, faultError(ctx, fault)
}

// faultError returns the error that a fault causes; nil for [FaultNone]. It
// waits until ctx ends if the call gets no reply.
func faultError(ctx context.Context, fault Fault) error {
	switch fault {
	case FaultNone:
		return nil
	case FaultRejected:
		return &lovagestand.RejectedError{System: "store", Status: 503}
	}
	return unavailable(ctx)
}

// Range implements [lovagestand.Keyspace].
func (s *Store) Range(ctx context.Context, prefix string) ([]lovagestand.Item, lovagestand.Revision, error) {
	s.mu.Lock()
	fault := s.beginCall("range")
	var items []lovagestand.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b lovagestand.Item) int { return cmp.Compare(a.Key, b.Key) })
	return items, revision, faultError(ctx, fault)
}

// Watch implements [lovagestand.Keyspace].
func (s *Store) Watch(ctx context.Context, prefix string, after lovagestand.Revision, wait time.Duration) ([]lovagestand.Item, lovagestand.Revision, error) {
	s.mu.Lock()
	fault := s.beginCall("follow")
	s.mu.Unlock()
	if err := faultError(ctx, fault); err != nil {
		return nil, after, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, revision, changed, err := s.changesSince(prefix, after)
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, after, unavailable(ctx)
		}
	}
}

func (s *Store) changesSince(prefix string, after lovagestand.Revision) ([]lovagestand.Item, lovagestand.Revision, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if after < s.compacted {
		return nil, after, nil, &lovagestand.CompactedError{Prefix: prefix, After: after}
	}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(item lovagestand.Item, r lovagestand.Revision) int {
		return cmp.Compare(item.Revision, r)
	})
	var events []lovagestand.Item
	for _, item := range s.history[first:] {
		if strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed, nil
}

// Grant implements [lovagestand.Keyspace].
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (lovagestand.LeaseID, time.Duration, error) {
	s.mu.Lock()
	fault := s.beginCall("grant")
	if fault == FaultNone || fault == FaultLostReply {
		s.lastLease++
		s.leases[s.lastLease] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
		time.AfterFunc(ttl+time.Millisecond, s.onLeaseTimer)
	}
	id := s.lastLease
	s.mu.Unlock()
	return id, ttl, faultError(ctx, fault)
}

// onLeaseTimer ends the expired leases when the time to live of one is over.
func (s *Store) onLeaseTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
}

// Renew implements [lovagestand.Keyspace].
func (s *Store) Renew(ctx context.Context, id lovagestand.LeaseID) error {
	s.mu.Lock()
	fault := s.beginCall("renew")
	l, ok := s.leases[id]
	if ok && (fault == FaultNone || fault == FaultLostReply) {
		l.expiresAt = time.Now().Add(l.ttl)
		s.leases[id] = l
		time.AfterFunc(l.ttl+time.Millisecond, s.onLeaseTimer)
	}
	s.mu.Unlock()
	if err := faultError(ctx, fault); err != nil || ok {
		return err
	}
	return &lovagestand.LeaseEndedError{Lease: id}
}

// Revoke implements [lovagestand.Keyspace].
func (s *Store) Revoke(ctx context.Context, id lovagestand.LeaseID) error {
	s.mu.Lock()
	fault := s.beginCall("end")
	_, ok := s.leases[id]
	if ok && (fault == FaultNone || fault == FaultLostReply) {
		s.endLease(id)
	}
	s.mu.Unlock()
	if err := faultError(ctx, fault); err != nil || ok {
		return err
	}
	return &lovagestand.LeaseEndedError{Lease: id}
}
