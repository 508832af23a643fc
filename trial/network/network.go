package network

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// dialTimeout bounds a dial, and is how long a dial across a partition takes to
// fail.
const dialTimeout = time.Second

// Network holds the places of all addresses, the current partition and the byte
// counts.
type Network struct {
	mutex  sync.Mutex
	places map[string]Place
	// isolated is the region partitioned from all others; empty for none.
	isolated lovagestand.RegionName
	// changed is closed and replaced at each change of isolated.
	changed chan struct{}
	// bytes counts the bytes on links that callers have not dialled, by the kind of
	// the dialled place. acrossRegions counts those of them that cross regions.
	// callers counts the bytes on the links of callers.
	bytes         [kindCount]atomic.Uint64
	callers       atomic.Uint64
	acrossRegions atomic.Uint64
}

// New returns a network without addresses.
func New() *Network {
	return &Network{places: map[string]Place{}, changed: make(chan struct{})}
}

// Register sets the place of an address.
func (n *Network) Register(address string, p Place) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.places[address] = p
}

// Partition partitions a region from all others; the empty name ends the partition.
// Data sent during a partition arrives after its end.
func (n *Network) Partition(region lovagestand.RegionName) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolated = region
	close(n.changed)
	n.changed = make(chan struct{})
}

// Bytes returns the byte counts up to now.
func (n *Network) Bytes() Bytes {
	return Bytes{
		Callers:       n.callers.Load(),
		Instances:     n.bytes[KindInstance].Load(),
		Workers:       n.bytes[KindWorker].Load(),
		Store:         n.bytes[KindStore].Load(),
		MemberList:    n.bytes[KindMemberList].Load(),
		AcrossRegions: n.acrossRegions.Load(),
	}
}

func (n *Network) placeOf(address string) Place {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.places[address]
}

// partitioned reports whether two regions are partitioned from each other, and
// returns a channel that is closed at the next change.
func (n *Network) partitioned(a, b lovagestand.RegionName) (bool, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.isolated != "" && a != b && (a == n.isolated || b == n.isolated), n.changed
}

// awaitReachable waits while two regions are partitioned from each other, or until
// closed is closed.
func (n *Network) awaitReachable(a, b lovagestand.RegionName, closed <-chan struct{}) error {
	for {
		partitioned, changed := n.partitioned(a, b)
		if !partitioned {
			return nil
		}
		select {
		case <-changed:
		case <-closed:
			return net.ErrClosed
		}
	}
}

// count adds bytes sent or received on a link.
func (n *Network) count(from, to Place, bytes int) {
	if from.Kind == KindCaller {
		n.callers.Add(uint64(bytes))
		return
	}
	n.bytes[to.Kind].Add(uint64(bytes))
	if from.Region != to.Region {
		n.acrossRegions.Add(uint64(bytes))
	}
}

// dial connects a place to an address. Across a partition it fails only after
// dialTimeout.
func (n *Network) dial(ctx context.Context, from Place, network, address string) (net.Conn, Place, error) {
	to := n.placeOf(address)
	if partitioned, _ := n.partitioned(from.Region, to.Region); partitioned {
		if err := sleep(ctx, dialTimeout); err != nil {
			return nil, to, err
		}
		return nil, to, &net.OpError{Op: "dial", Net: network, Err: errors.New("region cut off")}
	}
	if err := sleep(ctx, from.roundTrip(to)); err != nil {
		return nil, to, err
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	return conn, to, err
}

// sleep waits for d, or returns the error of ctx if that ends before.
func sleep(ctx context.Context, d time.Duration) error {
	if d > 0 && !pause.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}
