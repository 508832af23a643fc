// Package retry retries failed calls. A randomized exponential backoff spreads the
// retries of different callers over time, and a budget limits the retries to a
// fraction of the calls.
//
// The package never retries a start whose outcome is unknown. It retries a start
// only after an error that guarantees that nothing was started. See [KindOf].
package retry
