package shard

import (
	"time"

	"lovagestand.example/lovagestand"
)

// A worker accepts a limited number of connections and does not notice when the machine of an
// owner vanishes. Each owner that vanishes leaves what it holds open, until the worker
// restarts. The functions in this file bound what it holds by what its predecessors may have
// left: the sum, which the roster passes on from owner to owner, stays below the limit of the
// worker, however many of them vanish. docs/design/connections.md describes the rules.

const (
	// defaultMaxConnections is how many connections a worker is expected to accept if the
	// configuration does not state it.
	defaultMaxConnections = 32
	// reservedConnections is the inverse of the share of the connections of a worker that
	// stay free for orders of owners that keep none open.
	reservedConnections = 5
	// maxKeptConnections is how many connections an owner keeps open to a worker at most.
	maxKeptConnections = 4
	// openPerKept is how many connections may be open for each that is kept.
	openPerKept = 4
	// minOpenConnections is how many connections may be open if none or few are kept.
	minOpenConnections = 4
	// connectionHoldDelay is the pause between holds for which a connection is opened each.
	connectionHoldDelay = 500 * time.Millisecond
)

// connectionUse describes the connections to one incarnation of a worker.
type connectionUse struct {
	// former is how many connections former owners may have left open to the incarnation
	// formerBorn, which is 0 if it is not known.
	former     int
	formerBorn int64
	// kept is how many connections this owner keeps open. It is 0 until the stored roster
	// counts them. keptInWrite is what the last encoded roster counts.
	kept, keptInWrite int
}

// keptConnections returns how many connections an owner may keep open to a worker that accepts
// a number of them, of which former owners may have left some open.
func keptConnections(accepted, former int) int {
	budget := accepted - accepted/reservedConnections
	free := budget - former
	if free <= 0 {
		return 0
	}
	share := (maxKeptConnections*free + budget - 1) / budget
	return min(share, free-(leftConnections(share)-share))
}

// leftConnections returns how many connections an owner may leave open that keeps a number of
// them: one more may be in use by an order.
func leftConnections(kept int) int {
	if kept == 0 {
		return 0
	}
	return kept + 1
}

// limits returns the bounds for orders to the worker.
func (u *connectionUse) limits() lovagestand.ConnectionLimits {
	return lovagestand.ConnectionLimits{Open: max(minOpenConnections, openPerKept*u.kept), Kept: u.kept}
}

// scarce reports whether holds share their connection with orders, so that they do not wait at
// the worker.
func (u *connectionUse) scarce() bool { return u.kept <= 1 }

// holdDelay returns the pause between holds that do not wait, to a worker that was added some
// time ago. Usually the roster is stored soon after that.
func (u *connectionUse) holdDelay(added time.Duration) time.Duration {
	if u.kept == 0 && added > connectionHoldDelay {
		return connectionHoldDelay
	}
	return holdRetryDelay
}

// answered records which incarnation of the worker has answered. It reports whether the
// connections of former owners led to another one and are gone.
func (u *connectionUse) answered(born int64) bool {
	if born == 0 || u.formerBorn == born {
		return false
	}
	restarted := u.formerBorn != 0
	if restarted {
		*u = connectionUse{}
	}
	u.formerBorn = born
	return restarted
}

// acceptedConnections returns how many connections a worker accepts.
func (s *Shard) acceptedConnections(w *worker) int {
	if services, ok := s.services(); ok && services.MaxConnections[w.info.Service] > 0 {
		return services.MaxConnections[w.info.Service]
	}
	return defaultMaxConnections
}

// countConnections adds the connections to a worker to its entry in the roster that is being
// encoded.
func (s *Shard) countConnections(w *worker, entry *rosterEntry) {
	use := &w.connections
	use.keptInWrite = keptConnections(s.acceptedConnections(w), use.former)
	entry.Connections, entry.Born = use.former+leftConnections(use.keptInWrite), use.formerBorn
}

// target returns the entry of a worker to which orders are sent, with the bounds for their
// connections.
func (w *worker) target() lovagestand.FleetWorker {
	target := w.info
	target.Connections = w.connections.limits()
	return target
}
