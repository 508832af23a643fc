package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/owner"
)

// Hooks are called as ownership leases begin and end. The hooks of one shard are
// called one after the other.
type Hooks struct {
	// Warm prepares this instance to own a shard while the shard still has its
	// present owner. If it fails, the shard stays with that owner for now.
	Warm func(ctx context.Context, shard lovagestand.ShardName) error
	// Acquire is called when an ownership lease of this instance begins.
	Acquire func(ctx context.Context, lease lovagestand.OwnershipLease)
	// Release is called before a shard is passed on. It stops new starts and
	// returns when those already sent have been answered. An error means that
	// some of them may still take effect, which makes the successor wait. The
	// context ends after the WarmTimeout of [owner.Timing].
	Release func(ctx context.Context, shard lovagestand.ShardName) error
}

// Option sets up a [Peer].
type Option func(*Peer)

// WithTiming sets the timing of the ownership protocol.
func WithTiming(timing owner.Timing) Option {
	return func(p *Peer) { p.timing = timing }
}

// WithHooks sets the hooks.
func WithHooks(hooks Hooks) Option {
	return func(p *Peer) { p.hooks = hooks }
}

// WithUnits sets the function that derives the units to be owned from the member
// list. The region of a unit must never change.
func WithUnits(units func(lovagestand.Members) []owner.Unit) Option {
	return func(p *Peer) { p.units = units }
}

// WithClient sets the HTTP client for calls to peers.
func WithClient(client *http.Client) Option {
	return func(p *Peer) { p.client = client }
}

// WithLogger sets the logger.
func WithLogger(logger zerolog.Logger) Option {
	return func(p *Peer) { p.log = logger }
}

// WithWatchWait sets how long one watch of the store waits for a change.
func WithWatchWait(wait time.Duration) Option {
	return func(p *Peer) { p.watchWait = wait }
}

// WithPollInterval sets the time between two polls of another region.
func WithPollInterval(interval time.Duration) Option {
	return func(p *Peer) { p.pollInterval = interval }
}
