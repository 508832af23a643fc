// Package shard runs the jobs of one shard for one term of ownership: it takes
// jobs in, starts their tasks on workers, follows their ends and keeps what
// must last in the store.
package shard
