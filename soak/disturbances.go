package soak

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/election"
)

// disturbance is a period during which a node, a worker or the store is affected
// by a fault. The target is the name of what is affected.
type disturbance struct {
	target string
	// to is zero while the disturbance lasts.
	from, to time.Time
}

const (
	// storeTarget is the name of the store.
	storeTarget = "store"
	// recoveryTime is how long a node must have been undisturbed to be in contact
	// with the rest of the cell again. What it does before is excused.
	recoveryTime = 3 * time.Second
)

// disturb records that the targets are disturbed from now on. The returned
// function records the end of the disturbance.
func (c *Cell) disturb(targets []string) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := len(c.disturbances)
	for _, t := range targets {
		c.disturbances = append(c.disturbances, disturbance{target: t, from: time.Now()})
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for i := range targets {
			c.disturbances[first+i].to = time.Now()
		}
	}
}

// disturbed reports whether one of the targets was disturbed at a time or within
// span before it. Without targets it considers all disturbances.
func (c *Cell) disturbed(at time.Time, span time.Duration, targets ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.disturbances, func(d disturbance) bool {
		if len(targets) > 0 && !slices.Contains(targets, d.target) {
			return false
		}
		return !d.from.After(at) && (d.to.IsZero() || d.to.After(at.Add(-span)))
	})
}

// undisturbedFrom returns the first time, not before at, that follows a period of
// length span without any disturbance. It returns false if there is none yet.
func (c *Cell) undisturbedFrom(at time.Time, span time.Duration) (time.Time, bool) {
	for c.disturbed(at, span) {
		at = at.Add(50 * time.Millisecond)
		if at.After(time.Now()) {
			return at, false
		}
	}
	return at, at.Before(time.Now())
}

// deliveredBacklog reports whether a disturbance of the worker ended around this
// time, so that the worker may have carried out orders that had been held back on
// the way to it.
func (c *Cell) deliveredBacklog(worker string, at time.Time) bool {
	const tolerance = 300 * time.Millisecond
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.disturbances, func(d disturbance) bool {
		return d.target == worker && !d.to.IsZero() && at.Sub(d.to).Abs() < tolerance
	})
}

// pickOwner returns the owner of a random shard; empty if it has none.
func (c *Cell) pickOwner(r *rand.Rand) string {
	shards := c.shape.layout().ShardNames()
	shard := shards[0]
	if len(shards) > 1 {
		shard = shards[r.IntN(len(shards))]
	}
	name, _ := c.owner(shard)
	return name
}

// owner reads the node that owns a shard, and its epoch, from the store. The
// name is empty if there is no owner.
func (c *Cell) owner(shard string) (string, lovagestand.Epoch) {
	item := c.Site.Keys.Peek(election.OwnerKey(shard))
	var owner lovagestand.Instance
	if json.Unmarshal(item.Value, &owner) != nil {
		return "", 0
	}
	return string(owner.ID), lovagestand.Epoch(item.Revision)
}

// ownerOf returns the node that owned a shard in an epoch.
func (c *Cell) ownerOf(epoch lovagestand.Epoch) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owners[epoch]
}

// recordOwners polls the owners of the shards until the cell is closed and records
// the owner of each epoch.
func (c *Cell) recordOwners() {
	const interval = 5 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
		}
		for _, shard := range c.shape.layout().ShardNames() {
			if name, epoch := c.owner(shard); name != "" {
				c.mu.Lock()
				c.owners[epoch] = name
				c.mu.Unlock()
			}
		}
	}
}
