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
	// Revision is that of the last change, Created that of the key's creation;
	// both are 0 for a key that does not exist.
	Revision, Created Revision
	// Lease is the lease whose end removes the key; 0 for none.
	Lease LeaseID
	// Deleted marks an item of a watch that tells of a removal.
	Deleted bool
}

// Condition requires that a key has a revision; 0 means that it does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets a key; a lease other than 0 removes the key when it ends.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction changes several keys at once if all conditions hold.
type Transaction struct {
	If     []Condition
	Set    []Write
	Remove []string
}

// MaxTransactionEntries is how many conditions, writes and removals the store
// takes in one transaction.
const MaxTransactionEntries = 32

// Keyspace is the platform's key-value store with transactions, prefix watches
// and leases. A call that fails with an [UnavailableError] may have taken
// effect or may yet do so; one that fails with a [RejectedError] has not.
type Keyspace interface {
	// Item returns the item of a key; one that does not exist has revision 0.
	Item(ctx context.Context, key string) (Item, error)
	// Range returns all items with a prefix, sorted by key, and the store's
	// revision before the first was read.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits until something under prefix has changed after a revision.
	// It returns the changes and the revision to go on from, and fails with a
	// [CompactedError] when the store no longer has that history.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
	// Commit applies t and returns its revision, or fails with a
	// [ConditionError] or [LeaseEndedError] and changes nothing.
	Commit(ctx context.Context, t Transaction) (Revision, error)
	// Grant opens a lease and returns it with the time to live that applies.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew prolongs a lease, or fails with a [LeaseEndedError].
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// ConditionError says that a transaction changed nothing because a condition
// did not hold.
type ConditionError struct {
	// Items are the keys of the conditions as they are now.
	Items []Item
}

// Error implements error.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("store: a condition on %d keys does not hold", len(e.Items))
}

// Item returns the current item of a key of the conditions.
func (e *ConditionError) Item(key string) Item {
	for _, i := range e.Items {
		if i.Key == key {
			return i
		}
	}
	return Item{Key: key}
}

// CompactedError says that the store has dropped the history that a watch
// asked for; the caller reads the range anew.
type CompactedError struct {
	Prefix string
	After  Revision
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: the history of %q after revision %d is gone", e.Prefix, e.After)
}

// RejectedError says that an outside system has surely done nothing.
type RejectedError struct {
	System string
	Status int
	Reason string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s rejected the call with status %d: %s", e.System, e.Status, e.Reason)
}
