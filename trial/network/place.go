package network

import (
	"time"

	"lovagestand.example/lovagestand"
)

// Kind is the kind of process at an address.
type Kind int

// The kinds of process.
const (
	KindCaller Kind = iota
	KindInstance
	KindWorker
	KindStore
	KindMemberList

	kindCount = 5
)

// The round-trip times that users of the scheduler observe on their links. That of
// a caller is added to the one between the places.
const (
	CallerRoundTrip = 3 * time.Millisecond
	RegionRoundTrip = 20 * time.Millisecond
	DomainRoundTrip = 500 * time.Microsecond
)

// Place is the location and the kind of a process.
type Place struct {
	Kind   Kind
	Region lovagestand.RegionName
	Domain lovagestand.FailureDomain
}

// roundTrip returns the round-trip time of a connection from p to q.
func (p Place) roundTrip(q Place) time.Duration {
	var d time.Duration
	switch {
	case p.Region != q.Region:
		d = RegionRoundTrip
	case p.Domain != q.Domain:
		d = DomainRoundTrip
	}
	if p.Kind == KindCaller {
		d += CallerRoundTrip
	}
	return d
}

// Bytes counts the bytes sent and received over the links of a trial.
type Bytes struct {
	// Callers counts the bytes between callers and instances.
	Callers uint64 `json:"callers"`
	// Instances, Workers, Store and MemberList count the bytes between instances
	// and their peers, the workers, the store and the member list.
	Instances  uint64 `json:"instances"`
	Workers    uint64 `json:"workers"`
	Store      uint64 `json:"store"`
	MemberList uint64 `json:"memberList"`
	// AcrossRegions counts the bytes of the last four that cross regions. They are
	// billed.
	AcrossRegions uint64 `json:"acrossRegions"`
}

// Control returns the bytes of all links except those to callers.
func (b Bytes) Control() uint64 {
	return b.Instances + b.Workers + b.Store + b.MemberList
}
