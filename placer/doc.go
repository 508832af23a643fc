// Package placer runs requests on the workers of the shards that an instance
// owns.
//
// For every shard with a right in force it keeps a [lovagestand.Decider], the
// requests that wait or run, and one link to each worker. All of it is in
// memory: a new owner rebuilds it from what the workers hold.
package placer
