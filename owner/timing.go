package owner

import "time"

// Timing holds the durations of the protocol. They must be equal on all instances.
type Timing struct {
	// Heartbeat is the time between two requests for a lease.
	Heartbeat time.Duration
	// GrantDuration is how long a lease grant is in force. The standby that granted
	// it does not take the shard over within that time.
	GrantDuration time.Duration
	// Guard is how much earlier the owner lets a grant expire than the standby,
	// because their clocks may run at different rates.
	Guard time.Duration
	// StartWindow is the longest time from an owner's check of its ownership
	// lease to the last moment at which a worker may begin the start.
	StartWindow time.Duration
	// SettleDelay is how long a new owner waits before it places tasks if starts
	// of the previous owner may be unanswered. On the previous owner's clock these
	// starts are already too late. The wait covers twice the difference between
	// wall clocks.
	SettleDelay time.Duration
	// Stagger is how much longer than the first standby the second one waits
	// before it starts a takeover.
	Stagger time.Duration
	// PresumedDeadAfter is how long an instance must have been missing from the
	// member list before it is presumed dead.
	PresumedDeadAfter time.Duration
	// MaxListAge is how long an instance may act after an attempt to read the
	// member list. It must be shorter than PresumedDeadAfter.
	MaxListAge time.Duration
	// ReplaceAfter is how long a standby may be unresponsive before it is replaced.
	ReplaceAfter time.Duration
	// RebalanceInterval is the least time between two handovers by which one owner
	// balances the load.
	RebalanceInterval time.Duration
	// WarmTimeout is how long a successor may take to prepare.
	WarmTimeout time.Duration
}

// DefaultTiming returns the default durations.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:         500 * time.Millisecond,
		GrantDuration:     2 * time.Second,
		Guard:             100 * time.Millisecond,
		StartWindow:       time.Second,
		SettleDelay:       500 * time.Millisecond,
		Stagger:           500 * time.Millisecond,
		PresumedDeadAfter: 10 * time.Second,
		MaxListAge:        5 * time.Second,
		ReplaceAfter:      2 * time.Second,
		RebalanceInterval: 5 * time.Second,
		WarmTimeout:       10 * time.Second,
	}
}
