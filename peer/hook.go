package peer

import (
	"context"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/owner"
)

// hookLocks keeps the hooks of one shard one after the other.
type hookLocks struct {
	mu      sync.Mutex
	shards  map[lovagestand.ShardName]*sync.Mutex
	warming map[lovagestand.ShardName]bool
}

func (h *hookLocks) lock(shard lovagestand.ShardName) (unlock func()) {
	h.mu.Lock()
	if h.shards == nil {
		h.shards = map[lovagestand.ShardName]*sync.Mutex{}
	}
	l := h.shards[shard]
	if l == nil {
		l = &sync.Mutex{}
		h.shards[shard] = l
	}
	h.mu.Unlock()
	l.Lock()
	return l.Unlock
}

// enter reports whether nobody warms the shard yet.
func (h *hookLocks) enter(shard lovagestand.ShardName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.warming == nil {
		h.warming = map[lovagestand.ShardName]bool{}
	}
	if h.warming[shard] {
		return false
	}
	h.warming[shard] = true
	return true
}

func (h *hookLocks) leave(shard lovagestand.ShardName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.warming, shard)
}

func (p *Peer) warm(shard lovagestand.ShardName) {
	if !p.hooking.enter(shard) {
		return
	}
	defer p.hooking.leave(shard)
	if p.hooks.Warm != nil {
		unlock := p.hooking.lock(shard)
		err := p.hooks.Warm(p.ctx, shard)
		unlock()
		if err != nil {
			p.log.Warn().Err(err).Str("event", "warmFailed").Str("shard", string(shard)).Send()
			return
		}
	}
	p.apply("", func(_ time.Time, n *owner.Node) []owner.Effect { return n.WarmDone(shard) })
}

func (p *Peer) acquire(r lovagestand.OwnershipLease) {
	p.log.Info().Str("event", "rightAcquired").Str("shard", string(r.Shard)).Uint64("epoch", uint64(r.Epoch)).Send()
	if p.hooks.Acquire == nil {
		return
	}
	defer p.hooking.lock(r.Shard)()
	p.hooks.Acquire(p.ctx, r)
}

func (p *Peer) release(e owner.Release) {
	settled := true
	if p.hooks.Release != nil {
		unlock := p.hooking.lock(e.Shard)
		ctx, cancel := context.WithTimeout(p.ctx, p.timing.Warm)
		err := p.hooks.Release(ctx, e.Shard)
		cancel()
		unlock()
		settled = err == nil
	}
	p.log.Info().Str("event", "rightReleased").Str("shard", string(e.Shard)).Uint64("epoch", uint64(e.Epoch)).Bool("settled", settled).Send()
	p.apply("", func(now time.Time, n *owner.Node) []owner.Effect {
		return n.ReleaseDone(now, e.Shard, e.Epoch, settled)
	})
}
