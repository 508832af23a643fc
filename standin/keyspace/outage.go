package keyspace

import (
	"context"
	"slices"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
)

// OutageKind is what happens to calls during an outage.
type OutageKind string

// The kinds of outage.
const (
	// OutageSilent leaves calls without a reply. Connections that were opened before the
	// end of the outage stay silent for good.
	OutageSilent OutageKind = "silent"
	// OutageRejecting rejects calls with status 503.
	OutageRejecting OutageKind = "rejecting"
	// OutageResetting resets connections.
	OutageResetting OutageKind = "resetting"
)

// idleConnections is the number of idle connections with which a client starts.
const idleConnections = 8

// Client is the view that one instance has of a store through connections, with an outage
// from From to To. It implements [lovagestand.Keyspace] and is safe for concurrent use.
type Client struct {
	Store *Store
	Kind  OutageKind
	// From and To are changed by SetOutage only, once calls have been made.
	From, To time.Time
	// MinTTL, if not 0, is the least time to live of a lease, so that leases outlast the
	// outage.
	MinTTL time.Duration

	mu sync.Mutex
	// idle holds the times at which the idle connections were opened.
	idle []time.Time
	// sent holds the times at which the commits were sent.
	sent []time.Time
	// silent holds the contexts of the commits without a reply, of which there were at most
	// mostSilent.
	silent     []context.Context
	mostSilent int
}

// NewClient returns a client with an outage. Its idle connections are older than that.
func NewClient(store *Store, kind OutageKind, from, to time.Time) *Client {
	return &Client{Store: store, Kind: kind, From: from, To: to, idle: make([]time.Time, idleConnections)}
}

// SetOutage sets the time of the outage.
func (c *Client) SetOutage(from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.From, c.To = from, to
}

// MostCommits returns the largest number of commits sent in a second of the outage that
// begins after its first second.
func (c *Client) MostCommits() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for i, first := range c.sent {
		n := 0
		for _, at := range c.sent[i:] {
			if first.Sub(c.From) >= time.Second && at.Sub(first) < time.Second && at.Before(c.To) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// MostUnanswered returns the largest number of commits that waited for a reply in vain at
// the same time.
func (c *Client) MostUnanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mostSilent
}

// connect returns the time at which the connection of a call was opened.
func (c *Client) connect(ctx context.Context) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lovagestand.NewConnectionRequired(ctx) {
		c.idle = nil
	}
	if len(c.idle) == 0 {
		return time.Now()
	}
	opened := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return opened
}

// fail returns the error of a call over a connection, or nil if there is no outage for it.
func (c *Client) fail(ctx context.Context, opened time.Time) error {
	c.mu.Lock()
	from, to := c.From, c.To
	c.mu.Unlock()
	now := time.Now()
	if now.Before(from) || c.Kind != OutageSilent && !now.Before(to) {
		return nil
	}
	switch c.Kind {
	case OutageSilent:
		if opened.Before(to) {
			return unavailable(ctx)
		}
	case OutageRejecting:
		return &lovagestand.RejectedError{System: "store", Status: 503}
	case OutageResetting:
		return &lovagestand.UnavailableError{System: "store", Reason: "connection reset"}
	}
	return nil
}

// call makes a call over a connection.
func (c *Client) call(ctx context.Context, send func() error) error {
	opened := c.connect(ctx)
	if err := c.fail(ctx, opened); err != nil {
		return err
	}
	err := send()
	if failure := c.fail(ctx, opened); failure != nil {
		return failure
	}
	if ctx.Err() == nil && !lovagestand.NewConnectionRequired(ctx) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle = append(c.idle, opened)
	}
	return err
}

func (c *Client) recordCommit(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.sent = append(c.sent, now)
	c.silent = slices.DeleteFunc(c.silent, func(ctx context.Context) bool { return ctx.Err() != nil })
	if !now.Before(c.From) && now.Before(c.To) && c.Kind == OutageSilent {
		c.silent = append(c.silent, ctx)
	}
	c.mostSilent = max(c.mostSilent, len(c.silent))
}

// Item implements [lovagestand.Keyspace].
func (c *Client) Item(ctx context.Context, key string) (item lovagestand.Item, err error) {
	err = c.call(ctx, func() error {
		item, err = c.Store.Item(ctx, key)
		return err
	})
	return item, err
}

// Range implements [lovagestand.Keyspace].
func (c *Client) Range(ctx context.Context, prefix string) (items []lovagestand.Item, revision lovagestand.Revision, err error) {
	err = c.call(ctx, func() error {
		items, revision, err = c.Store.Range(ctx, prefix)
		return err
	})
	return items, revision, err
}

// Watch implements [lovagestand.Keyspace].
func (c *Client) Watch(ctx context.Context, prefix string, after lovagestand.Revision, wait time.Duration) (items []lovagestand.Item, revision lovagestand.Revision, err error) {
	err = c.call(ctx, func() error {
		items, revision, err = c.Store.Watch(ctx, prefix, after, wait)
		return err
	})
	return items, revision, err
}

// Commit implements [lovagestand.Keyspace].
func (c *Client) Commit(ctx context.Context, t lovagestand.Transaction) (revision lovagestand.Revision, err error) {
	c.recordCommit(ctx)
	err = c.call(ctx, func() error {
		revision, err = c.Store.Commit(ctx, t)
		return err
	})
	return revision, err
}

// Grant implements [lovagestand.Keyspace].
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (lease lovagestand.LeaseID, granted time.Duration, err error) {
	err = c.call(ctx, func() error {
		lease, granted, err = c.Store.Grant(ctx, max(ttl, c.MinTTL))
		return err
	})
	return lease, granted, err
}

// Renew implements [lovagestand.Keyspace].
func (c *Client) Renew(ctx context.Context, lease lovagestand.LeaseID) error {
	return c.call(ctx, func() error { return c.Store.Renew(ctx, lease) })
}

// Revoke implements [lovagestand.Keyspace].
func (c *Client) Revoke(ctx context.Context, lease lovagestand.LeaseID) error {
	return c.call(ctx, func() error { return c.Store.Revoke(ctx, lease) })
}
