package instance

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/claim"
	"lovagestand.example/lovagestand/owner"
	"lovagestand.example/lovagestand/peer"
)

// releaseTimeout bounds how long the release of a shard waits for starts that are
// in flight. The next owner waits until any remaining start has arrived or can no
// longer take effect.
const releaseTimeout = 3 * time.Second

// units returns all units of ownership, which are the shards of the workers and the
// claim partitions. The claim partitions are spread over the regions of the cell.
func (i *Instance) units(members lovagestand.Members) []owner.Unit {
	return append(peer.WorkerUnits(members), peer.ClaimUnits(claim.NumberOfPartitions, i.settings.Regions)...)
}

// hooks returns the functions that are called when the ownership of a shard
// changes. They prepare and release the shard in the placer and count the changes.
func (i *Instance) hooks() peer.Hooks {
	return peer.Hooks{
		Warm: func(ctx context.Context, shard lovagestand.ShardName) error {
			return i.placer.Warm(ctx, shard)
		},
		Acquire: func(context.Context, lovagestand.OwnershipLease) { i.metrics.Acquired() },
		Release: func(ctx context.Context, shard lovagestand.ShardName) error {
			i.metrics.Released()
			callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			return i.placer.Release(callCtx, shard)
		},
	}
}
