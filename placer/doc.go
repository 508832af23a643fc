// Package placer runs requests on the workers of the shards that an instance
// owns.
//
// For every shard with an ownership lease in force it holds a
// [lovagestand.Decider], the waiting and running requests, and one link to each
// worker. All of this is in memory: a new owner rebuilds it from what the
// workers report.
package placer
