package shard

import (
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/clock"
)

// The functions in this file decide what an owner concludes from replies, from missing
// replies and from the list of workers: that a start was not executed, that a run is over,
// and that a worker is gone. docs/design/evidence.md describes the rules.

// refusalOf returns the refusal that err contains, nil if it contains none.
func refusalOf(err error) *lovagestand.OrderRefusedError {
	var refused *lovagestand.OrderRefusedError
	errors.As(err, &refused)
	return refused
}

// neverSent reports whether err means that the worker cannot have received an order.
func neverSent(err error) bool {
	var unavailable *lovagestand.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Unsent
}

// connectionReset reports whether err means that the connection of an order was closed
// without a reply.
func connectionReset(err error) bool {
	var unavailable *lovagestand.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Reset
}

// refusalConfirmsStop reports whether the refusal of an order to stop confirms that the
// task no longer runs there. An unhealthy worker may still run it, and
// [lovagestand.RefusalRestarted] comes from another worker than the one that may run it.
func refusalConfirmsStop(reason lovagestand.RefusalReason) bool {
	return reason != lovagestand.RefusalUnhealthy && reason != lovagestand.RefusalRestarted
}

// unlistedIsOver reports whether a run is over because the worker does not list it in a
// complete answer to a hold that was sent at begun. The answer may be older than an order
// that was confirmed after the hold was sent.
func (p *placement) unlistedIsOver(begun time.Time, clock int64) bool {
	if p.startPending {
		return false
	}
	if p.settledAt.IsZero() {
		return p.startExpired(clock)
	}
	return p.settledAt.Before(begun)
}

// startExpired reports whether a start that was not confirmed can no longer be executed: on
// the worker's clock the lease that it carries has ended, so the worker refuses it.
func (p *placement) startExpired(clock int64) bool {
	return p.startUntil > 0 && p.worker.born == p.born && clock > p.startUntil
}

// hasLeft reports whether a worker that was about to leave has left: its entry is gone
// although its heartbeat cannot have been missing for long enough to let the entry expire.
func (s *Shard) hasLeft(w *worker) bool {
	if w.listed || w.entryLost || w.info.Ready || !w.listMatches() || w.heartbeatAfter.IsZero() {
		return false
	}
	return clock.Elapsed(w.heartbeatAfter) < s.limits.HeartbeatTimeout-heartbeatMargin
}
