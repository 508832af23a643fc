package lovagestand

import "time"

// OwnershipLease is an instance's permission to place on the workers of a shard.
type OwnershipLease struct {
	Shard ShardName `json:"shard"`
	Epoch Epoch     `json:"epoch"`
	// Until is when the right ends unless renewed, by this process's own
	// monotonic clock.
	Until time.Time `json:"until"`
	// SettleUntil is when starts sent by earlier owners have surely arrived
	// or are too late; nothing is placed before it.
	SettleUntil time.Time `json:"settleUntil"`
}

// Valid reports whether the right is in force at now.
func (r OwnershipLease) Valid(now time.Time) bool {
	return now.Before(r.Until)
}

// Ownership tells which instance may place on which shard. It is asked before
// every start and once more after it, so it answers from memory.
type Ownership interface {
	// Lease returns this instance's right to a shard; false if it has none.
	Lease(shard ShardName) (OwnershipLease, bool)
	// Owned returns the shards to which this instance has a right, sorted.
	Owned() []ShardName
	// Owner returns the instance that is believed to own a shard.
	Owner(shard ShardName) (Instance, bool)
	// Changed returns a channel that is closed at the next change of owners.
	Changed() <-chan struct{}
}
