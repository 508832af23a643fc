package lovagestand

import (
	"context"
	"fmt"
	"time"
)

// Item is a key of the store with its value at one revision of the whole store.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last change and Created that of
	// its creation. Both are 0 if the key does not exist.
	Revision, Created Revision
	// Lease is the lease whose end removes the key; 0 if there is none.
	Lease LeaseID
	// Deleted is set on an item of a watch if the key was removed.
	Deleted bool
}

// Condition requires that a key has a given revision. Revision 0 requires that
// the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets a key. If Lease is not 0, the key is removed when that lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction changes several keys atomically if all conditions hold.
type Transaction struct {
	If     []Condition
	Set    []Write
	Remove []string
}

// MaxTransactionEntries is the maximum number of conditions, writes and removals
// together that the store accepts in one transaction.
const MaxTransactionEntries = 32

// Keyspace is the platform's key-value store with transactions, prefix watches
// and leases. A call that fails with an [UnavailableError] may have taken effect
// or may still do so. A call that fails with a [RejectedError] has had no effect.
// [Store] is the narrower interface for access to single keys.
type Keyspace interface {
	// Item returns the item of a key. A key that does not exist has revision 0.
	Item(ctx context.Context, key string) (Item, error)
	// Range returns all items with a prefix, sorted by key, and the revision
	// that the store had before the first of them was read.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits until a key with a prefix changes after a revision. It
	// returns the changes and the revision from which to continue, and fails
	// with a [CompactedError] if the store no longer has that history.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
	// Commit applies t and returns its revision. If it fails with a
	// [ConditionError] or a [LeaseEndedError], nothing has changed.
	Commit(ctx context.Context, t Transaction) (Revision, error)
	// Grant opens a lease and returns it with the time to live that the store
	// applies.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew renews a lease, or fails with a [LeaseEndedError].
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes the keys that are bound to it.
	Revoke(ctx context.Context, lease LeaseID) error
}

// ConditionError is returned when a transaction changed nothing because a
// condition did not hold.
type ConditionError struct {
	// Items holds the current items of the keys of all conditions.
	Items []Item
}

// Error implements error.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("store: a condition on %d keys does not hold", len(e.Items))
}

// Item returns the current item of a key that the conditions name.
func (e *ConditionError) Item(key string) Item {
	for _, i := range e.Items {
		if i.Key == key {
			return i
		}
	}
	return Item{Key: key}
}

// CompactedError is returned when the store has dropped the history that a watch
// requested. The caller has to read the whole range again.
type CompactedError struct {
	Prefix string
	After  Revision
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: the history of %q after revision %d is gone", e.Prefix, e.After)
}

// RejectedError is returned when an external system rejected a call. The call is
// guaranteed to have had no effect.
type RejectedError struct {
	System string
	Status int
	Reason string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s rejected the call with status %d: %s", e.System, e.Status, e.Reason)
}
