package lovagestand

// Catalog is the part of the tables in force that the owner of a shard needs.
type Catalog interface {
	// PoolOf returns the pool that a worker serves, and false if it serves none.
	PoolOf(w Worker) (PoolName, bool)
	// Leaving reports whether the tables take a worker out of service.
	Leaving(w Worker) bool
	// Policies returns the policies of all pools as they apply in a shard.
	Policies(shard ShardName) []PoolPolicy
	// CheckWaiting returns nil while a waiting task may continue to wait.
	// Otherwise it returns the reason why the tables no longer let it run.
	CheckWaiting(t Task) error
}
