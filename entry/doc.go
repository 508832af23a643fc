// Package entry takes callers' requests, finds the owner of a fitting shard
// and gives each caller the whole answer to their own request.
//
// An entry keeps a request only in memory. Asking again with the same key,
// here or at another instance, attaches to the same request.
package entry
