package claim

import (
	"fmt"
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// MismatchError is returned when a key is already claimed by a request with
// different contents.
type MismatchError struct {
	Key lovagestand.RequestKey
	// Requested is the fingerprint of the request, Found that of the claim.
	Requested, Found uint64
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("key %q was used for another request (fingerprint %x, now %x)", e.Key, e.Found, e.Requested)
}

// NotGrantedError is returned when no request has received the claim, so the
// request is guaranteed not to have run. A later request with the same key begins
// an attempt of its own.
type NotGrantedError struct {
	Key    lovagestand.RequestKey
	Reason string
	// ValidUntil is when another attempt may begin, so that the error can no
	// longer be relied on.
	ValidUntil time.Time
}

// Error implements error.
func (e *NotGrantedError) Error() string {
	return fmt.Sprintf("claim of key %q not granted: %s", e.Key, e.Reason)
}

// AmbiguousError is returned when it is unknown whether the claim was granted or
// settled, through this instance or another one.
type AmbiguousError struct {
	Key    lovagestand.RequestKey
	Reason string
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("claim of key %q: outcome unknown: %s", e.Key, e.Reason)
}

// NotOwnerError is returned when an instance does not serve a partition. Another
// instance may serve it.
type NotOwnerError struct {
	// Partition is the name of the partition.
	Partition lovagestand.ShardName
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("home %q is not served here", e.Partition)
}

// StaleError is returned when a task is not the last attempt of the claim.
type StaleError struct {
	Key lovagestand.RequestKey
	// Task is the task of the settlement. Last is the task of the claim; it is
	// empty if the key has no claim.
	Task, Last lovagestand.TaskID
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("key %q: task %q is not its last attempt (%q)", e.Key, e.Task, e.Last)
}

// TooEarlyError is returned when other holders of the claim may still start its
// task, so that the claim cannot be settled as not run yet.
type TooEarlyError struct {
	Key lovagestand.RequestKey
	// After is when no holder can start the task any more. The workers must be
	// queried again then.
	After time.Time
}

// Error implements error.
func (e *TooEarlyError) Error() string {
	return fmt.Sprintf("key %q may still be started until %s", e.Key, e.After.Format(time.RFC3339Nano))
}

// InvalidError is returned for a request that cannot be claimed, whatever the
// state of its key.
type InvalidError struct {
	Key    lovagestand.RequestKey
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("claim of key %.64q is invalid: %s", e.Key, e.Reason)
}
