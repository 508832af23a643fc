// Package entry accepts the requests of callers, finds the owner of a suitable
// shard for each of them and returns the complete answer to the caller.
//
// An entry keeps a request only in memory. A caller that submits the same key
// again, to this or another instance, attaches to the same request.
package entry
