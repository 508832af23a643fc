package lovagestand

import "context"

// Instance describes one running scheduler process.
type Instance struct {
	ID InstanceID `json:"id"`
	// Address is the host and port at which peers and callers reach the
	// instance.
	Address       string        `json:"address"`
	Region        RegionName    `json:"region"`
	FailureDomain FailureDomain `json:"failureDomain"`
	Leaving       bool          `json:"leaving,omitempty"`
	// Processors is the number of cores that the instance may use.
	Processors float64 `json:"processors,omitempty"`
	// MemoryMiB is the memory that the instance may use, in MiB; 0 if it is not known.
	MemoryMiB int64 `json:"memoryMiB,omitempty"`
}

// WithLeaving returns a copy of i that is or is not leaving.
func (i Instance) WithLeaving(leaving bool) Instance {
	i.Leaving = leaving
	return i
}

// Members is a snapshot of the platform's member list. It lags behind the actual
// state.
type Members struct {
	// Version increases with every change of the list.
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
	Workers   []Worker   `json:"workers"`
}

// MemberList is the platform's list of live and leaving instances and workers. It
// lags behind the actual state.
type MemberList interface {
	// Members returns the list as the platform has it now.
	Members(ctx context.Context) (Members, error)
	// Register reports that an instance is live. Each instance calls it about
	// once per heartbeat interval, and the list drops an instance that stops
	// doing so.
	Register(ctx context.Context, instance Instance) error
}
