// Package limit refuses requests that exceed the rate or concurrency limit of
// a route or team, or that arrive while the instance is overloaded.
//
// The limits in the tables apply to the sum over all instances. Each instance
// enforces its share, which is calculated from the number of live instances, so
// that admission needs no call to another instance. A refusal carries the time
// after which the caller may retry. Refused callers get different times, so
// that they do not all retry at once.
package limit
