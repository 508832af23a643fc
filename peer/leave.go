package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/owner"
)

// Leave passes all shards of this instance to other instances. It returns once this
// instance owns no shard and is a standby of none, so that no owner depends on its
// lease grants. The second condition is waited for at most twice the duration of a
// lease grant. Leave fails if ctx ends while the instance still owns shards.
// [Peer.Run] must still be running.
func (p *Peer) Leave(ctx context.Context) error {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.apply("", func(now time.Time, n *owner.Node) []owner.Effect { return n.Leave(now) })
	ticker := time.NewTicker(p.timing.Heartbeat / 10)
	defer ticker.Stop()
	grantDeadline := time.Now().Add(2 * p.timing.GrantDuration)
	for {
		owns, isStandby := p.roles()
		if !owns && (!isStandby || time.Now().After(grantDeadline)) {
			return nil
		}
		select {
		case <-ctx.Done():
			if !owns {
				return nil
			}
			return errors.Wrap(ctx.Err(), "some shards have not been handed over")
		case <-ticker.C:
		}
	}
}

// roles reports whether this instance is the owner of any shard, and whether it is
// a standby of any.
func (p *Peer) roles() (owns, isStandby bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, e := range p.node.Entries() {
		owns = owns || e.Owner == p.self.ID
		isStandby = isStandby || e.HasStandby(p.self.ID)
	}
	return owns, isStandby
}
