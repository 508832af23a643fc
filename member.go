package lovagestand

import "context"

// Instance describes one running scheduler process.
type Instance struct {
	ID InstanceID `json:"id"`
	// Address is the host and port that peers and callers reach.
	Address       string        `json:"address"`
	Region        RegionName    `json:"region"`
	FailureDomain FailureDomain `json:"failureDomain"`
	Leaving       bool          `json:"leaving,omitempty"`
	// Processors is how many cores the instance may use.
	Processors float64 `json:"processors,omitempty"`
}

// WithLeaving returns a copy of i that is or is not leaving.
func (i Instance) WithLeaving(leaving bool) Instance {
	i.Leaving = leaving
	return i
}

// Members is one reading of the platform's member list. It lags.
type Members struct {
	// Version grows with every change of the list.
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
	Workers   []Worker   `json:"workers"`
}

// MemberList is the platform's lagging list of what is live and leaving.
type MemberList interface {
	// Members returns the list as the platform has it now.
	Members(ctx context.Context) (Members, error)
	// Register says that an instance is live; it is called about once a
	// heartbeat and the list drops an instance that stops calling.
	Register(ctx context.Context, instance Instance) error
}
