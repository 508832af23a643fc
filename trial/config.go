package trial

import (
	"context"
	"net"
	"net/http"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
)

const (
	// DefaultDuration is how long callers send new requests.
	DefaultDuration = 10 * time.Second
	// DefaultRate is the mean number of requests a second.
	DefaultRate = 150
	// InstancesPerRegion is the number of instances in each region.
	InstancesPerRegion = 3
	// MaxInFlight bounds the requests without an answer. Callers send no further
	// ones while it is reached.
	MaxInFlight = 2000
)

// Config configures a trial.
type Config struct {
	Tables table.Tables
	// Duration is how long callers send new requests.
	Duration time.Duration
	// Rate is the mean number of requests a second.
	Rate float64
	Seed uint64
	// Faults are the faults to inject, see [ParseFaults].
	Faults []Fault
	// Launch starts an instance.
	Launch Launch
	// Progress is called about once a second with the progress of the trial; it
	// may be nil.
	Progress func(Progress)
}

// Progress is the progress of a running trial.
type Progress struct {
	Elapsed  time.Duration
	Duration time.Duration
	// Submitted counts the requests sent, Answered those with a final answer.
	Submitted  int
	Answered   int
	Placements int
	Violations int
	// Fault names the active faults, joined by "+".
	Fault string
}

// Instance is a scheduler instance that runs within the process of the trial.
type Instance interface {
	// Address returns the host and port that serve callers.
	Address() string
	// Ready returns nil if the instance serves, and otherwise the reason why it
	// does not.
	Ready() error
	// Revision returns the revision of the tables in force; 0 for none.
	Revision() table.Revision
	// Stop performs a planned stop of the instance.
	Stop(ctx context.Context) error
	// Kill ends the instance at once, as a crash does.
	Kill()
}

// Launch starts an instance.
type Launch func(Site) (Instance, error)

// Site is the location of an instance and the network that connects it.
type Site struct {
	Region lovagestand.RegionName
	// Regions are all regions of the cell.
	Regions       []lovagestand.RegionName
	FailureDomain lovagestand.FailureDomain
	// Listen opens the instance's listener.
	Listen func() (net.Listener, error)
	// Dial opens the instance's connections to its peers.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Transport carries the calls to the platform and the workers.
	Transport http.RoundTripper
	// Store and Members are the base URLs of the store and the member list.
	Store, Members string
}
