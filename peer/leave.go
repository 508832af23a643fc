package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/owner"
)

// Leave passes all shards of this instance to others and returns when none is
// left, or with an error when the context ends first. Run must still be running.
func (p *Peer) Leave(ctx context.Context) error {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.apply("", func(now time.Time, n *owner.Node) []owner.Effect { return n.Leave(now) })
	ticker := time.NewTicker(p.timing.Heartbeat / 10)
	defer ticker.Stop()
	for p.owns() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "shards not passed on")
		case <-ticker.C:
		}
	}
	return nil
}

// owns reports whether this instance is the owner of a shard.
func (p *Peer) owns() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, e := range p.node.Entries() {
		if e.Owner == p.self.ID {
			return true
		}
	}
	return false
}
