package owner

import "time"

// Timing holds the durations of the protocol. All instances use the same.
type Timing struct {
	// Heartbeat is the time between two askings for promises.
	Heartbeat time.Duration
	// Promise is how long a standby promises not to take over.
	Promise time.Duration
	// Guard is taken off a promise by the owner, for clocks that run at
	// different rates.
	Guard time.Duration
	// StartWindow is the longest time from an owner's check of its right to the
	// last moment at which the start may begin.
	StartWindow time.Duration
	// Settle is how long a new owner waits where the starts of an earlier one
	// are too late by that one's clock. It covers twice the difference between
	// wall clocks.
	Settle time.Duration
	// Stagger is how long the second standby leaves a takeover to the first.
	Stagger time.Duration
	// Dropped is how long the member list must have lacked an instance
	// before it counts as dead.
	Dropped time.Duration
	// ListFresh is how long one try at reading the member list allows an
	// instance to act; less than Dropped.
	ListFresh time.Duration
	// Replace is how long a standby may be silent before it is replaced.
	Replace time.Duration
	// Rebalance is the least time between two moves by one owner.
	Rebalance time.Duration
	// Warm is how long a successor may take to get ready.
	Warm time.Duration
}

// DefaultTiming returns the timing in use unless set otherwise.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:   500 * time.Millisecond,
		Promise:     2 * time.Second,
		Guard:       100 * time.Millisecond,
		StartWindow: time.Second,
		Settle:      500 * time.Millisecond,
		Stagger:     500 * time.Millisecond,
		Dropped:     10 * time.Second,
		ListFresh:   5 * time.Second,
		Replace:     2 * time.Second,
		Rebalance:   5 * time.Second,
		Warm:        10 * time.Second,
	}
}
