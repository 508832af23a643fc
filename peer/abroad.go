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

// bestShards is how many shards of each pool a region shows to others.
const bestShards = 4

// abroad is what is known of the owners of another region's shards.
type abroad struct {
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
	digest := xxhash.New()
	for _, o := range owners {
		_, _ = digest.WriteString(o.GetShard() + " " + strconv.FormatUint(o.GetEpoch(), 10) + " " + o.GetOwner() + "\n")
	}
	return digest.Sum64()
}

func (p *Peer) knownAbroad(region lovagestand.RegionName) uint64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.abroad[region].hash
}

func (p *Peer) regionOf(id lovagestand.InstanceID) lovagestand.RegionName {
	p.mu.RLock()
	defer p.mu.RUnlock()
	i, _ := p.node.Instance(id)
	return i.Region
}

// learnOwners keeps the owners told by a survey; none are told if nothing has
// changed.
func (p *Peer) learnOwners(region lovagestand.RegionName, response *SurveyResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response.GetOwnersHash() == p.abroad[region].hash {
		return
	}
	a := abroad{hash: response.GetOwnersHash(), owners: map[lovagestand.ShardName]owner.Entry{}}
	for _, o := range response.GetOwners() {
		shard := lovagestand.ShardName(o.GetShard())
		a.owners[shard] = owner.Entry{
			Shard:  shard,
			Region: region,
			Epoch:  lovagestand.Epoch(o.GetEpoch()),
			Owner:  lovagestand.InstanceID(o.GetOwner()),
		}
	}
	p.abroad[region] = a
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
		keepBest(best, views, func(v DigestView) int64 { return v.of(pool).Free.MilliCPU })
		keepBest(best, views, func(v DigestView) int64 { return v.of(pool).Free.Accelerators })
		keepLargest(best, views, pool)
	}
	return slices.Collect(maps.Values(best))
}

func keepBest(best map[lovagestand.ShardName]DigestView, views []DigestView, amount func(DigestView) int64) {
	slices.SortFunc(views, func(a, b DigestView) int {
		return cmp.Or(cmp.Compare(amount(b), amount(a)), cmp.Compare(a.Digest.Shard, b.Digest.Shard))
	})
	for _, v := range views[:min(bestShards, len(views))] {
		best[v.Digest.Shard] = v
	}
}

// keepLargest keeps the shards whose largest capacity no other one matches in
// every resource, so that nobody takes a task for one that fits nowhere.
func keepLargest(best map[lovagestand.ShardName]DigestView, views []DigestView, pool lovagestand.PoolName) {
	var kept []lovagestand.Resources
	slices.SortFunc(views, func(a, b DigestView) int {
		return cmp.Compare(b.of(pool).LargestCapacity.MilliCPU, a.of(pool).LargestCapacity.MilliCPU)
	})
	for _, v := range views {
		largest := v.of(pool).LargestCapacity
		if slices.ContainsFunc(kept, largest.Fits) {
			continue
		}
		kept = append(kept, largest)
		best[v.Digest.Shard] = v
	}
}

func (v DigestView) of(pool lovagestand.PoolName) lovagestand.PoolDigest {
	for _, d := range v.Digest.Pools {
		if d.Pool == pool {
			return d
		}
	}
	return lovagestand.PoolDigest{}
}
