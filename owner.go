package lovagestand

import "time"

// OwnershipLease permits an instance to place tasks on the workers of a shard for
// a limited time.
type OwnershipLease struct {
	Shard ShardName `json:"shard"`
	Epoch Epoch     `json:"epoch"`
	// Until is when the lease ends unless it is renewed, on the monotonic clock
	// of this process.
	Until time.Time `json:"until"`
	// SettleUntil is when every start that an earlier owner sent is guaranteed
	// to have arrived or to be too late to take effect. Nothing is placed
	// before it.
	SettleUntil time.Time `json:"settleUntil"`
}

// Valid reports whether the lease is in force at now.
func (l OwnershipLease) Valid(now time.Time) bool {
	return now.Before(l.Until)
}

// Ownership reports which instance may place tasks on which shard. It is queried
// before and after every start, so it answers from memory.
type Ownership interface {
	// Lease returns this instance's ownership lease for a shard, and false if
	// it has none.
	Lease(shard ShardName) (OwnershipLease, bool)
	// Owned returns, in order of their names, the shards for which this
	// instance has an ownership lease.
	Owned() []ShardName
	// Owner returns the owner of a shard as last seen by this instance.
	Owner(shard ShardName) (Instance, bool)
	// Changed returns a channel that is closed at the next change of owners.
	Changed() <-chan struct{}
}
