package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
)

// Server serves the partitions that one instance owns. [Partitions] implements it
// for this instance, [Remote] for another one.
type Server interface {
	// Claim returns the claim of a key, see [Partition.Claim].
	Claim(ctx context.Context, r Request) (Claim, error)
	// Settle records the outcome of a claimed task, see [Partition.Settle].
	Settle(ctx context.Context, s Settlement) (Claim, error)
}

// Client calls the owner of a key's partition. It repeats the call until it has a
// reply that no later reply of another owner can contradict.
type Client struct {
	self       lovagestand.InstanceID
	ownership  lovagestand.Ownership
	local      Server
	remote     func(lovagestand.Instance) Server
	newBackoff func() backoff.BackOff
}

// ClientOption configures a [Client].
type ClientOption func(*Client)

// WithClientBackoff sets the source of the delays between calls.
func WithClientBackoff(newBackoff func() backoff.BackOff) ClientOption {
	return func(c *Client) { c.newBackoff = newBackoff }
}

// NewClient returns a client for the instance self. It calls local for the
// partitions that self owns, and the server that remote returns for those of
// other instances.
func NewClient(self lovagestand.InstanceID, ownership lovagestand.Ownership, local Server,
	remote func(lovagestand.Instance) Server, options ...ClientOption,
) *Client {
	c := &Client{self: self, ownership: ownership, local: local, remote: remote, newBackoff: defaultBackoff}
	for _, o := range options {
		o(c)
	}
	return c
}

// Claim returns the claim of a key. It fails with a [MismatchError], with an
// [InvalidError], with a [NotGrantedError] if the request is guaranteed not to
// have run, or with an [AmbiguousError] once ctx has ended or the request's
// StartBy has passed.
func (c *Client) Claim(ctx context.Context, r Request) (Claim, error) {
	// The owner replies by StartBy at the latest. The margin allows for the
	// reply to arrive.
	ctx, cancel := context.WithDeadline(ctx, r.StartBy.Add(2*ClockMargin))
	defer cancel()
	return c.retry(ctx, r.Key, func(ctx context.Context, s Server) (Claim, error) {
		return s.Claim(ctx, r)
	})
}

// Settle records the outcome of a claimed task and returns the resulting claim.
// It fails with a [StaleError], with a [TooEarlyError] or, once ctx has ended,
// with an [AmbiguousError].
func (c *Client) Settle(ctx context.Context, s Settlement) (Claim, error) {
	return c.retry(ctx, s.Key, func(ctx context.Context, server Server) (Claim, error) {
		return server.Settle(ctx, s)
	})
}

// serverCall is a call of [Server.Claim] or [Server.Settle].
type serverCall func(ctx context.Context, s Server) (Claim, error)

// retry calls the owner of a key's partition until a reply is conclusive or ctx
// ends.
func (c *Client) retry(ctx context.Context, key lovagestand.RequestKey, do serverCall) (Claim, error) {
	backoffs := c.newBackoff()
	for {
		claim, err := c.callOwner(ctx, key, do)
		if conclusive(claim, err, time.Now()) {
			return claim, err
		}
		if sleep(ctx, backoffs.NextBackOff()) != nil {
			return Claim{}, &AmbiguousError{Key: key, Reason: lastReason(err)}
		}
	}
}

// callOwner calls the current owner. It cancels the call when the owner changes.
func (c *Client) callOwner(ctx context.Context, key lovagestand.RequestKey, do serverCall) (Claim, error) {
	partition := PartitionOf(key)
	changed := c.ownership.Changed()
	owner, ok := c.ownership.Owner(partition)
	if !ok {
		return Claim{}, &NotOwnerError{Partition: partition}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.cancelOnOwnerChange(ctx, cancel, partition, owner.ID, changed)
	if owner.ID == c.self {
		return do(ctx, c.local)
	}
	return do(ctx, c.remote(owner))
}

// cancelOnOwnerChange calls cancel when a partition is no longer owned by owner.
func (c *Client) cancelOnOwnerChange(ctx context.Context, cancel func(), partition lovagestand.ShardName,
	owner lovagestand.InstanceID, changed <-chan struct{},
) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		changed = c.ownership.Changed()
		current, ok := c.ownership.Owner(partition)
		if !ok || current.ID != owner {
			cancel()
			return
		}
	}
}

// conclusive reports whether a reply can be relied on. A reply that the request
// has not run is conclusive only before its ValidUntil, less ClockMargin, because
// another attempt may begin after that.
func conclusive(claim Claim, err error, now time.Time) bool {
	var (
		mismatch   *MismatchError
		invalid    *InvalidError
		stale      *StaleError
		tooEarly   *TooEarlyError
		notGranted *NotGrantedError
	)
	switch {
	case err == nil:
		return claim.Outcome != lovagestand.OutcomeNotRun || now.Before(claim.ValidUntil.Add(-ClockMargin))
	case errors.As(err, &notGranted):
		return now.Before(notGranted.ValidUntil.Add(-ClockMargin))
	default:
		return errors.As(err, &mismatch) || errors.As(err, &invalid) ||
			errors.As(err, &stale) || errors.As(err, &tooEarly)
	}
}

// lastReason returns the reason why the last reply was not conclusive.
func lastReason(err error) string {
	if err == nil {
		return "the home's owner may have changed"
	}
	return err.Error()
}
