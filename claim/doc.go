// Package claim stores the claims of requests that must run at most once or
// never in two places at once.
//
// A claim records which task is the one current attempt to run a request. It is
// written to the store before any instance may send the task to a worker.
// Therefore a request with the same key attaches to the same task, whichever
// instance receives it and whichever process has crashed in between.
//
// Keys are spread over a fixed number of partitions, see [PartitionOf]. Each
// partition has one owner, which replies from memory and combines many claims
// in one store write. docs/design/claims.md contains the argument why this is
// safe.
package claim
