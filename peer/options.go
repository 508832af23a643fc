package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/owner"
)

// Hooks are called as rights come and go. Those of one shard are called one
// after the other.
type Hooks struct {
	// Warm gets ready to own a shard, while its owner still does. An error
	// keeps the shard where it is for now.
	Warm func(ctx context.Context, shard lovagestand.ShardName) error
	// Acquire is called when this instance begins to own a shard.
	Acquire func(ctx context.Context, lease lovagestand.OwnershipLease)
	// Release is called before a shard is passed on. It stops new starts and
	// returns when those sent have been answered; an error says that some may
	// still begin, which makes the successor wait. Its context ends after the
	// timing's Warm.
	Release func(ctx context.Context, shard lovagestand.ShardName) error
}

// Option sets up a [Peer].
type Option func(*Peer)

// WithTiming replaces the timing of the protocol.
func WithTiming(timing owner.Timing) Option {
	return func(p *Peer) { p.timing = timing }
}

// WithHooks sets the hooks.
func WithHooks(hooks Hooks) Option {
	return func(p *Peer) { p.hooks = hooks }
}

// WithUnits sets what there is to own, given the member list. The region of a
// unit must never change.
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

// WithWatchWait sets how long one watch of the store waits.
func WithWatchWait(wait time.Duration) Option {
	return func(p *Peer) { p.watchWait = wait }
}

// WithPollInterval sets the time between two surveys of another region.
func WithPollInterval(interval time.Duration) Option {
	return func(p *Peer) { p.pollInterval = interval }
}
