package claim

import (
	"fmt"
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// MismatchError says that a key is claimed by another request.
type MismatchError struct {
	Key lovagestand.RequestKey
	// Asked and Found are fingerprints.
	Asked, Found uint64
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("key %q was used for another request (fingerprint %x, now %x)", e.Key, e.Found, e.Asked)
}

// NotGrantedError says that nobody has been given the claim, so the request
// has surely not run. A repeated key is an attempt of its own.
type NotGrantedError struct {
	Key    lovagestand.RequestKey
	Reason string
	// ValidUntil is when the word may be overtaken by another attempt.
	ValidUntil time.Time
}

// Error implements error.
func (e *NotGrantedError) Error() string {
	return fmt.Sprintf("claim of key %q not granted: %s", e.Key, e.Reason)
}

// AmbiguousError says that it is not known whether the claim was granted or
// settled, here or through another entry.
type AmbiguousError struct {
	Key    lovagestand.RequestKey
	Reason string
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("claim of key %q: outcome unknown: %s", e.Key, e.Reason)
}

// NotOwnerError says that an instance does not serve a home now; another
// instance may.
type NotOwnerError struct {
	Home lovagestand.ShardName
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("home %q is not served here", e.Home)
}

// StaleError says that a task is not the claim's last attempt.
type StaleError struct {
	Key lovagestand.RequestKey
	// Task is the one named, Last the claim's; empty if the key is unknown.
	Task, Last lovagestand.TaskID
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("key %q: task %q is not its last attempt (%q)", e.Key, e.Task, e.Last)
}

// TooEarlyError says that other holders of the claim may still start its task,
// so that it cannot be settled as not run yet.
type TooEarlyError struct {
	Key lovagestand.RequestKey
	// After is when no holder can start the task any more. The workers must be
	// read again then.
	After time.Time
}

// Error implements error.
func (e *TooEarlyError) Error() string {
	return fmt.Sprintf("key %q may still be started until %s", e.Key, e.After.Format(time.RFC3339Nano))
}

// InvalidError says that a claim cannot be asked for like this.
type InvalidError struct {
	Key    lovagestand.RequestKey
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("claim of key %.64q is invalid: %s", e.Key, e.Reason)
}
