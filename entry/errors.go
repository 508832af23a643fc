package entry

import (
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
)

// InvalidError is returned for a request with a field that is not valid.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("field %q: %s", e.Field, e.Reason)
}

// UnknownRouteError is returned for a request whose route is not in the routes
// table in force.
type UnknownRouteError struct {
	Route lovagestand.RouteName
}

// Error implements error.
func (e *UnknownRouteError) Error() string {
	return fmt.Sprintf("no route is named %q", e.Route)
}

// KeyMismatchError is returned for a request whose key was used before for a
// different request.
type KeyMismatchError struct {
	Key lovagestand.RequestKey
}

// Error implements error.
func (e *KeyMismatchError) Error() string {
	return fmt.Sprintf("key %q was used for a different request", e.Key)
}

// LimitedError is returned for a request that was refused because a limit is
// reached. The caller may retry it after RetryAfter.
type LimitedError struct {
	Limit      string
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("limit reached: %s", e.Limit)
}

// NotReadyError is returned while the instance does not accept requests, which is
// before tables are in force and once it is stopping.
type NotReadyError struct {
	Reason string
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return "not taking requests: " + e.Reason
}

// NoTargetError is returned if there is no shard left to try for a task.
type NoTargetError struct {
	Pool       lovagestand.PoolName
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("pool %q: %s", e.Pool, e.Reason)
}

// NotFoundError is returned if no instance holds a request with the key.
type NotFoundError struct {
	Key lovagestand.RequestKey
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no request with key %q is held", e.Key)
}

// UnknownOutcomeError is returned for a request that may run through another
// instance.
type UnknownOutcomeError struct {
	Key    lovagestand.RequestKey
	Reason string
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("request %q may run: %s", e.Key, e.Reason)
}
