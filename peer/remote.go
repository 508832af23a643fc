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

// bestPerResource is how many shards of each pool a region shows to others.
const bestPerResource = 4

// remoteOwners is what is known of the owners of another region's shards.
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

// recordRemoteOwners keeps the owners told by a survey; none are told if nothing has
// changed.
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

// bestDigests returns the digests of those shards of this region that have most
// free for some pool, by processors and by accelerators, and of those that show
// what the largest workers can hold.
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

func addBest(best map[lovagestand.ShardName]DigestView, views []DigestView, amount func(DigestView) int64) {
	slices.SortFunc(views, func(a, b DigestView) int {
		return cmp.Or(cmp.Compare(amount(b), amount(a)), cmp.Compare(a.Digest.Shard, b.Digest.Shard))
	})
	for _, v := range views[:min(bestPerResource, len(views))] {
		best[v.Digest.Shard] = v
	}
}

// addLargest keeps the shards whose largest capacity no other one matches in
// every resource, so that nobody takes a task for one that fits nowhere.
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
