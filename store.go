package lovagestand

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value the store holds, in bytes.
const MaxValueBytes = 1 << 20

// Revision is a number of the store's one counter of changes. That of a key is
// the one of its last change; 0 means that the key is absent.
type Revision uint64

// Value is what the store holds under one key.
type Value struct {
	Key      string   `json:"key"`
	Data     []byte   `json:"data"`
	Revision Revision `json:"revision"`
}

// LeaseID names a lease of the store; 0 means no lease.
type LeaseID uint64

// Store is the platform's key-value service. Every call counts against its
// rates, a waiting watch as one. A call that fails with anything but a
// [ConflictError] may or may not have taken effect.
type Store interface {
	// Get returns the value of a key, or one with revision 0 where it has none.
	Get(ctx context.Context, key string) (Value, error)
	// List returns the values of all keys with a prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Value, error)
	// Put replaces the value of a key if its revision is still previous, and
	// returns the new revision; else it fails with a [ConflictError]. A lease
	// other than 0 deletes the key when it ends. A value of more than
	// [MaxValueBytes] fails with a [TooLargeError].
	Put(ctx context.Context, key string, data []byte, previous Revision, lease LeaseID) (Revision, error)
	// Delete removes a key if its revision is still previous.
	Delete(ctx context.Context, key string, previous Revision) error
	// Watch waits until the key's revision differs from after and returns the
	// value, or the unchanged one when wait has passed.
	Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error)
	// Grant opens a lease that ends unless renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew prolongs a lease by its ttl; a lease that has ended fails with a
	// [LeaseEndedError].
	Renew(ctx context.Context, lease LeaseID) error
}

// ConflictError says that a key was not changed because its revision was not
// the expected one.
type ConflictError struct {
	Key string
	// Expected is what the writer had read, Found what the store holds.
	Expected, Found Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store key %q: expected revision %d, found %d", e.Key, e.Expected, e.Found)
}

// UnavailableError says that an outside system did not answer in time; what
// was asked may still take effect.
type UnavailableError struct {
	System string
	Reason string
	// Refused says that no process listens there: nothing was done.
	Refused bool
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s unavailable: %s", e.System, e.Reason)
}

// LeaseEndedError says that a lease of the store has ended or never was.
type LeaseEndedError struct {
	Lease LeaseID
}

// Error implements error.
func (e *LeaseEndedError) Error() string {
	return fmt.Sprintf("store lease %d has ended", e.Lease)
}

// TooLargeError says that the store does not take a value because of its
// size; nothing was written.
type TooLargeError struct {
	Key string `json:"key"`
	// Bytes is the size of the value, Limit the largest one taken.
	Bytes int `json:"bytes"`
	Limit int `json:"limit"`
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("store key %q: %d bytes are more than the %d taken", e.Key, e.Bytes, e.Limit)
}
