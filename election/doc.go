// Package election elects one owner for each shard: the instance that holds the
// shard's key in the platform's store under a lease. The revision of the key is
// the epoch of the ownership. A directory keeps track of the owners of all
// shards and of the registered instances.
package election
