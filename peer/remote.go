package peer

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/owner"
)

// bestPerResource is how many shards of each pool a region reports to other regions
// for each resource by which it ranks them.
const bestPerResource = 4

// remoteOwners holds the owners of another region's shards as last polled, and the
// hash that the region reported with them.
type remoteOwners struct {
	hash   uint64
	owners map[lovagestand.ShardName]owner.Entry
}

// regionOwners returns the owners of the shards of this instance's region.
func (p *Peer) regionOwners() []*ShardOwner {
	var owners []*ShardOwner
	for _, e := range p.node.Entries() {
		if e.Region == p.self.Region {
			owners = append(owners, &ShardOwner{Shard: string(e.Shard), Epoch: uint64(e.Epoch), Owner: string(e.Owner)})
		}
	}
	return owners
}

// hashOwners returns the hash by which a poll detects whether the owners have
// changed.
func hashOwners(owners []*ShardOwner) uint64 {
	hash := xxhash.New()
	for _, o := range owners {
		_, _ = hash.WriteString(o.GetShard() + " " + strconv.FormatUint(o.GetEpoch(), 10) + " " + o.GetOwner() + "\n")
	}
	return hash.Sum64()
}

func (p *Peer) remoteOwnersHash(region lovagestand.RegionName) uint64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.remoteOwners[region].hash
}

func (p *Peer) regionOf(id lovagestand.InstanceID) lovagestand.RegionName {
	p.mu.RLock()
	defer p.mu.RUnlock()
	i, _ := p.node.Instance(id)
	return i.Region
}

// recordRemoteOwners records the owners in the reply to a poll. The reply contains
// none if their hash is the one that the request gave as known.
func (p *Peer) recordRemoteOwners(region lovagestand.RegionName, response *SurveyResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response.GetOwnersHash() == p.remoteOwners[region].hash {
		return
	}
	remote := remoteOwners{hash: response.GetOwnersHash(), owners: map[lovagestand.ShardName]owner.Entry{}}
	for _, o := range response.GetOwners() {
		shard := lovagestand.ShardName(o.GetShard())
		remote.owners[shard] = owner.Entry{
			Shard:  shard,
			Region: region,
			Epoch:  lovagestand.Epoch(o.GetEpoch()),
			Owner:  lovagestand.InstanceID(o.GetOwner()),
		}
	}
	p.remoteOwners[region] = remote
	close(p.changed)
	p.changed = make(chan struct{})
}

// bestDigests returns the digests that this region reports to other regions. For
// each pool these are the digests of the shards with the most free processors, of
// those with the most free accelerators, and of those that show the capacity of
// the largest workers.
func (p *Peer) bestDigests() []DigestView {
	byPool := map[lovagestand.PoolName][]DigestView{}
	for _, v := range p.digests {
		i, ok := p.node.Instance(v.Owner)
		if !ok || i.Region != p.self.Region {
			continue
		}
		for _, pool := range v.Digest.Pools {
			byPool[pool.Pool] = append(byPool[pool.Pool], v)
		}
	}
	best := map[lovagestand.ShardName]DigestView{}
	for pool, views := range byPool {
		addBest(best, views, func(v DigestView) int64 { return v.poolDigest(pool).Free.MilliCPU })
		addBest(best, views, func(v DigestView) int64 { return v.poolDigest(pool).Free.Accelerators })
		addLargest(best, views, pool)
	}
	return slices.Collect(maps.Values(best))
}

// addBest adds the bestPerResource views with the largest amounts.
func addBest(best map[lovagestand.ShardName]DigestView, views []DigestView, amount func(DigestView) int64) {
	slices.SortFunc(views, func(a, b DigestView) int {
		return cmp.Or(cmp.Compare(amount(b), amount(a)), cmp.Compare(a.Digest.Shard, b.Digest.Shard))
	})
	for _, v := range views[:min(bestPerResource, len(views))] {
		best[v.Digest.Shard] = v
	}
}

// addLargest adds each shard unless one that it has already added has at least the
// same largest capacity in every resource. Without these shards another region could
// reject a task as infeasible although a worker of this region can hold it.
func addLargest(best map[lovagestand.ShardName]DigestView, views []DigestView, pool lovagestand.PoolName) {
	var included []lovagestand.Resources
	slices.SortFunc(views, func(a, b DigestView) int {
		return cmp.Compare(b.poolDigest(pool).LargestCapacity.MilliCPU, a.poolDigest(pool).LargestCapacity.MilliCPU)
	})
	for _, v := range views {
		largest := v.poolDigest(pool).LargestCapacity
		if slices.ContainsFunc(included, largest.Fits) {
			continue
		}
		included = append(included, largest)
		best[v.Digest.Shard] = v
	}
}

func (v DigestView) poolDigest(pool lovagestand.PoolName) lovagestand.PoolDigest {
	for _, d := range v.Digest.Pools {
		if d.Pool == pool {
			return d
		}
	}
	return lovagestand.PoolDigest{}
}
