// Package claim keeps the claims of requests that must run at most once or
// never in two places at once.
//
// A claim says which task is the one attempt to run a request. It is written
// to the store before any instance may send the task to a worker, so that a
// repeated key, through any instance and after any death, attaches to the same
// task. Keys are spread over a fixed number of homes, see [HomeOf]. Each home
// has one owner, which answers from memory and writes many claims in one store
// write. docs/design/claims.md argues why this is safe.
package claim
