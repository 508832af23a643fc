package lovagestand

// Catalog is the part of the tables in force that the owner of a shard needs.
type Catalog interface {
	// PoolOf returns the pool that a worker serves; false if it serves none.
	PoolOf(w Worker) (PoolName, bool)
	// Leaving reports whether the tables take a worker out of use.
	Leaving(w Worker) bool
	// Policies returns the policies of all pools as they apply in a shard.
	Policies(shard ShardName) []PoolPolicy
	// CheckWaiting returns nil while a waiting task may go on waiting, else why the
	// tables do not let it run any more.
	CheckWaiting(t Task) error
}
