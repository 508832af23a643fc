// Package limit keeps requests out that are over a route's or team's rate or
// concurrency, or that come while the instance is overloaded.
//
// The limits of the tables hold over all instances. Each instance applies its
// share of them, worked out from how many instances are live, so that no call
// leaves the instance. A refusal tells when to come back; refused callers get
// different times, so that they do not come back together.
package limit
