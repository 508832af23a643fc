package node

import (
	"context"
	"sync"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/layout"
)

// candidate returns this instance's candidate for a shard. It creates the
// candidate when it is first needed.
func (n *Node) candidate(name string) *election.Candidate {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.candidates[name]
	if c == nil {
		c = &election.Candidate{
			Shard: name, Self: n.self, Keys: n.deps.Keys, Directory: n.directory, Log: n.deps.Log, Serve: n.serveShard,
			RecentOutage: n.storeCalls.recentOutage,
			AskOwnershipEnded: func(ctx context.Context, member lovagestand.Instance, epoch lovagestand.Epoch) (bool, error) {
				reply, err := n.peers.client(member.Address).Over(ctx, &cellpb.OverRequest{Shard: name, Epoch: uint64(epoch)})
				return reply.GetOver(), err
			},
		}
		n.candidates[name] = c
	}
	return c
}

// depose ends the ownership of a shard with the given epoch in the store.
func (n *Node) depose(name string, epoch lovagestand.Epoch) {
	n.candidate(name).Depose(epoch)
}

// contend contends for all shards and watches their owners until ctx ends. It
// begins with the first shard alone, because its owner decides on the layout.
func (n *Node) contend(ctx context.Context) {
	var contending sync.WaitGroup
	contendFor := func(name string) {
		contending.Go(func() { n.candidate(name).Run(ctx) })
		contending.Go(func() { n.detector(name).Run(ctx) })
	}
	contendFor(layout.FirstShard)
	if l, ok := n.awaitLayout(ctx); ok {
		for _, name := range l.ShardNames() {
			if name != layout.FirstShard {
				contendFor(name)
			}
		}
	}
	contending.Wait()
}

// detector returns this instance's detector of unresponsive owners of a shard. It
// creates the detector when it is first needed.
func (n *Node) detector(name string) *election.Detector {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.detectors[name]
	if d == nil {
		d = &election.Detector{
			Shard: name, Self: n.self, Directory: n.directory, Log: n.deps.Log,
			Depose: func(epoch lovagestand.Epoch) { n.depose(name, epoch) },
			Ping: func(ctx context.Context, owner election.Owner) error {
				_, err := n.peers.client(owner.Address).Ping(ctx, &cellpb.PingRequest{})
				return err
			},
			AskSuspects: func(ctx context.Context, watcher lovagestand.Instance, epoch lovagestand.Epoch) (bool, error) {
				reply, err := n.peers.client(watcher.Address).Missed(ctx, &cellpb.MissedRequest{Shard: name, Epoch: uint64(epoch)})
				return reply.GetMissed(), err
			},
		}
		n.detectors[name] = d
	}
	return d
}
