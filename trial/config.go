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
	// DefaultRate is how many requests callers send a second.
	DefaultRate = 150
	// InstancesPerRegion is how many instances a trial has in each region.
	InstancesPerRegion = 3
	// MaxInFlight bounds the requests without an answer; callers send no more.
	MaxInFlight = 2000
)

// Config says what a trial is to do.
type Config struct {
	Tables   table.Tables
	Duration time.Duration
	// Rate is the mean number of requests a second.
	Rate float64
	Seed uint64
	// Faults are the faults to put in, see [ParseFaults].
	Faults []Fault
	// Launch starts an instance.
	Launch Launch
	// Progress is told about once a second how far the trial is; may be nil.
	Progress func(Progress)
}

// Progress is how far a trial is.
type Progress struct {
	Elapsed    time.Duration
	Duration   time.Duration
	Asked      int
	Answered   int
	Placements int
	Violations int
	// Fault names the faults in force.
	Fault string
}

// Instance is one scheduler process within the trial's own.
type Instance interface {
	// Address returns the host and port that callers reach.
	Address() string
	// Ready returns why the instance does not serve; nil if it does.
	Ready() error
	// Revision returns the revision of the tables in force; 0 for none.
	Revision() table.Revision
	// Stop stops the instance as planned.
	Stop(ctx context.Context) error
	// Kill ends the instance without any of that.
	Kill()
}

// Launch starts an instance at a site.
type Launch func(Site) (Instance, error)

// Site is all that an instance is given by a trial.
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
	// Store and Members are the base URLs of the platform's services.
	Store, Members string
}
