package entry

import (
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
)

// InvalidError says what is wrong with a request.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("field %q: %s", e.Field, e.Reason)
}

// UnknownRouteError says that no table has a route of the name.
type UnknownRouteError struct {
	Route lovagestand.RouteName
}

// Error implements error.
func (e *UnknownRouteError) Error() string {
	return fmt.Sprintf("no route is named %q", e.Route)
}

// KeyMismatchError says that a key was used before for another request.
type KeyMismatchError struct {
	Key lovagestand.RequestKey
}

// Error implements error.
func (e *KeyMismatchError) Error() string {
	return fmt.Sprintf("key %q was used for a different request", e.Key)
}

// LimitedError says that a limit keeps a request out for now.
type LimitedError struct {
	Limit      string
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("limit reached: %s", e.Limit)
}

// NotReadyError says that the instance cannot take requests yet or any more.
type NotReadyError struct {
	Reason string
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return "not taking requests: " + e.Reason
}

// NoTargetError says that no shard is left to try.
type NoTargetError struct {
	Pool       lovagestand.PoolName
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("pool %q: %s", e.Pool, e.Reason)
}

// NotFoundError says that no instance holds a request with the key.
type NotFoundError struct {
	Key lovagestand.RequestKey
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no request with key %q is held", e.Key)
}

// UnknownOutcomeError says that a request may run through another instance.
type UnknownOutcomeError struct {
	Key    lovagestand.RequestKey
	Reason string
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("request %q may run: %s", e.Key, e.Reason)
}
