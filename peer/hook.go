package peer

import (
	"context"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/owner"
)

// shardHookLocks serializes the hooks of each shard.
type shardHookLocks struct {
	mu         sync.Mutex
	shardLocks map[lovagestand.ShardName]*sync.Mutex
	warming    map[lovagestand.ShardName]bool
}

func (h *shardHookLocks) lock(shard lovagestand.ShardName) (unlock func()) {
	h.mu.Lock()
	if h.shardLocks == nil {
		h.shardLocks = map[lovagestand.ShardName]*sync.Mutex{}
	}
	l := h.shardLocks[shard]
	if l == nil {
		l = &sync.Mutex{}
		h.shardLocks[shard] = l
	}
	h.mu.Unlock()
	l.Lock()
	return l.Unlock
}

// startWarming marks a shard as being warmed. It returns false if the shard was
// already marked.
func (h *shardHookLocks) startWarming(shard lovagestand.ShardName) bool {
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

func (h *shardHookLocks) endWarming(shard lovagestand.ShardName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.warming, shard)
}

// warm calls the Warm hook, unless that is already under way for the shard, and
// reports its success to the state machine.
func (p *Peer) warm(shard lovagestand.ShardName) {
	if !p.hookLocks.startWarming(shard) {
		return
	}
	defer p.hookLocks.endWarming(shard)
	if p.hooks.Warm != nil {
		unlock := p.hookLocks.lock(shard)
		err := p.hooks.Warm(p.ctx, shard)
		unlock()
		if err != nil {
			p.log.Warn().Err(err).Str("event", "warmFailed").Str("shard", string(shard)).Send()
			return
		}
	}
	p.apply("", func(_ time.Time, n *owner.Node) []owner.Effect { return n.WarmDone(shard) })
}

func (p *Peer) acquire(lease lovagestand.OwnershipLease) {
	p.log.Info().Str("event", "rightAcquired").Str("shard", string(lease.Shard)).Uint64("epoch", uint64(lease.Epoch)).Send()
	if p.hooks.Acquire == nil {
		return
	}
	defer p.hookLocks.lock(lease.Shard)()
	p.hooks.Acquire(p.ctx, lease)
}

func (p *Peer) release(e owner.Release) {
	settled := true
	if p.hooks.Release != nil {
		unlock := p.hookLocks.lock(e.Shard)
		ctx, cancel := context.WithTimeout(p.ctx, p.timing.WarmTimeout)
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
