package peer

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/owner"
)

const (
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// updateWatches watches the ownership documents of this instance's region and of
// every region in which it is an owner or a standby. It stops all other watches.
func (p *Peer) updateWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[lovagestand.RegionName]bool{}
	for _, region := range p.node.Regions() {
		wanted[region] = true
		if p.watches[region] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		p.watches[region] = cancel
		p.spawn(func() { p.watch(ctx, region) })
	}
	for region, cancel := range p.watches {
		if !wanted[region] {
			cancel()
			delete(p.watches, region)
		}
	}
}

// watch applies every change of a region's document until ctx ends. It retries
// failed calls without limit.
func (p *Peer) watch(ctx context.Context, region lovagestand.RegionName) {
	var seen lovagestand.Value
	retry := newBackOff()
	for first := true; ctx.Err() == nil; {
		value, err := p.nextValue(ctx, region, seen.Revision, first)
		if err != nil {
			pause.For(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		if first || value.Revision != seen.Revision {
			p.applyDocument(region, value)
		}
		first = false
		seen = value
	}
}

func (p *Peer) nextValue(ctx context.Context, region lovagestand.RegionName, after lovagestand.Revision, first bool) (lovagestand.Value, error) {
	if first {
		p.counters.StoreReads.Add(1)
		return p.store.Get(ctx, owner.DocumentKey(region))
	}
	ctx, cancel := context.WithTimeout(ctx, p.watchWait+callTimeout)
	defer cancel()
	p.counters.StoreWatches.Add(1)
	return p.store.Watch(ctx, owner.DocumentKey(region), after, p.watchWait)
}

func (p *Peer) applyDocument(region lovagestand.RegionName, value lovagestand.Value) {
	document, err := owner.ParseDocument(region, value.Data)
	if err != nil {
		p.logStoreError("watch", region, err, nil)
		return
	}
	p.apply("", func(now time.Time, n *owner.Node) []owner.Effect {
		return n.Watched(now, document, value.Revision)
	})
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}
