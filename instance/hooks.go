package instance

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/claim"
	"lovagestand.example/lovagestand/owner"
	"lovagestand.example/lovagestand/peer"
)

// releaseTimeout bounds how long a hand-over waits for starts in flight. The
// successor waits out those that are left.
const releaseTimeout = 3 * time.Second

// units returns all there is to own: the workers' shards and the homes of
// claims, which are spread over the cell's regions.
func (i *Instance) units(m lovagestand.Members) []owner.Unit {
	return append(peer.WorkerUnits(m), peer.ClaimUnits(claim.NumberOfPartitions, i.settings.Regions)...)
}

// hooks connects ownership to the placer.
func (i *Instance) hooks() peer.Hooks {
	return peer.Hooks{
		Warm: func(ctx context.Context, shard lovagestand.ShardName) error {
			return i.placer.Warm(ctx, shard)
		},
		Acquire: func(context.Context, lovagestand.OwnershipLease) { i.metrics.Acquired() },
		Release: func(ctx context.Context, shard lovagestand.ShardName) error {
			i.metrics.Released()
			limited, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			return i.placer.Release(limited, shard)
		},
	}
}
