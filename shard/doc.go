// Package shard runs the jobs of one shard for one term of ownership. It accepts
// jobs, starts their tasks on workers, records how the tasks end, and persists in
// the store what the next owner needs.
package shard
