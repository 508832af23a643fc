// Package election gives each shard one owner: the instance that holds the
// shard's key in the platform's store under a lease. The key's revision is the
// epoch of the ownership. A directory follows who owns what and who is live.
package election
