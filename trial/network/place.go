package network

import (
	"time"

	"lovagestand.example/lovagestand"
)

// Kind says what stands at an address.
type Kind int

// The kinds of place.
const (
	KindCaller Kind = iota
	KindInstance
	KindWorker
	KindStore
	KindMemberList

	kindCount = 5
)

// The round trips that the users see on their links.
const (
	CallerRoundTrip = 3 * time.Millisecond
	RegionRoundTrip = 20 * time.Millisecond
	DomainRoundTrip = 500 * time.Microsecond
)

// Place says where something stands and what it is.
type Place struct {
	Kind   Kind
	Region lovagestand.RegionName
	Domain lovagestand.FailureDomain
}

// roundTrip returns the round trip between two places.
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

// Bytes counts what was sent and received over the links of a trial.
type Bytes struct {
	// Callers counts between callers and instances.
	Callers uint64 `json:"callers"`
	// Instances, Workers, Store and MemberList count between an instance and
	// its peers, the workers and the platform's services.
	Instances  uint64 `json:"instances"`
	Workers    uint64 `json:"workers"`
	Store      uint64 `json:"store"`
	MemberList uint64 `json:"memberList"`
	// AcrossRegions is the part of Instances and Workers that is paid for.
	AcrossRegions uint64 `json:"acrossRegions"`
}

// Control returns the bytes of all links but those to callers.
func (b Bytes) Control() uint64 {
	return b.Instances + b.Workers + b.Store + b.MemberList
}
