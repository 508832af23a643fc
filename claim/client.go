package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
)

// Server answers calls for the homes of one instance: [Homes] does for this
// one, [Remote] for another.
type Server interface {
	Claim(ctx context.Context, r Request) (Claim, error)
	Settle(ctx context.Context, s Settlement) (Claim, error)
}

// Client finds the owner of a key's home and calls it, again and again until
// it has an answer that no other owner's can contradict.
type Client struct {
	self       lovagestand.InstanceID
	ownership  lovagestand.Ownership
	local      Server
	remote     func(lovagestand.Instance) Server
	newBackoff func() backoff.BackOff
}

// ClientOption configures a [Client].
type ClientOption func(*Client)

// WithClientBackoff sets the source of the pauses between calls.
func WithClientBackoff(newBackoff func() backoff.BackOff) ClientOption {
	return func(c *Client) { c.newBackoff = newBackoff }
}

// NewClient returns a client for the instance self, which serves its own homes
// by local and reaches others by remote.
func NewClient(self lovagestand.InstanceID, ownership lovagestand.Ownership, local Server,
	remote func(lovagestand.Instance) Server, options ...ClientOption,
) *Client {
	c := &Client{self: self, ownership: ownership, local: local, remote: remote, newBackoff: defaultBackoff}
	for _, o := range options {
		o(c)
	}
	return c
}

// Claim returns the claim of a key. It fails with a [MismatchError], an
// [InvalidError], a [NotGrantedError], which says that the request has surely
// not run, or, once ctx or the request's StartBy has passed, an
// [AmbiguousError].
func (c *Client) Claim(ctx context.Context, r Request) (Claim, error) {
	// The home answers at StartBy; the margin is for its answer to arrive.
	ctx, cancel := context.WithDeadline(ctx, r.StartBy.Add(2*ClockMargin))
	defer cancel()
	return c.retry(ctx, r.Key, func(ctx context.Context, s Server) (Claim, error) {
		return s.Claim(ctx, r)
	})
}

// Settle records what became of a claimed task and returns the claim as it is
// now. It fails with a [StaleError], a [TooEarlyError] or, once ctx has ended,
// an [AmbiguousError].
func (c *Client) Settle(ctx context.Context, s Settlement) (Claim, error) {
	return c.retry(ctx, s.Key, func(ctx context.Context, server Server) (Claim, error) {
		return server.Settle(ctx, s)
	})
}

// serverCall is one call of the owner of a home.
type serverCall func(ctx context.Context, s Server) (Claim, error)

// retry calls the owner of a key's home until an answer holds.
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

// callOwner calls the present owner, and gives up when there is another one.
func (c *Client) callOwner(ctx context.Context, key lovagestand.RequestKey, do serverCall) (Claim, error) {
	partition := PartitionOf(key)
	changed := c.ownership.Changed()
	owner, ok := c.ownership.Owner(partition)
	if !ok {
		return Claim{}, &NotOwnerError{Home: partition}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.cancelOnOwnerChange(ctx, cancel, partition, owner.ID, changed)
	if owner.ID == c.self {
		return do(ctx, c.local)
	}
	return do(ctx, c.remote(owner))
}

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

// conclusive reports whether an answer is final. What depends on nobody else having
// been given the claim holds only while the home's right surely does.
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

func lastReason(err error) string {
	if err == nil {
		return "the home's owner may have changed"
	}
	return err.Error()
}
