package owner

import (
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Unit is a unit of ownership: a shard of workers or a claim partition.
type Unit struct {
	Shard  lovagestand.ShardName
	Region lovagestand.RegionName
	// Weight is the load that the unit puts on its owner, such as its number of
	// workers.
	Weight int
}

// assignsOwners reports whether this instance assigns owners to the shards of a
// region that have none. The candidate with the lowest ID does. It is harmless if
// several instances assign owners. An instance that started recently does not, because
// it has seen only few instances, and none of other regions.
func (n *Node) assignsOwners(now time.Time, region lovagestand.RegionName) bool {
	minUptime := 4 * n.timing.Heartbeat
	if region != n.self.Region {
		minUptime = n.timing.PresumedDeadAfter
	}
	if n.leaving || !n.mayAct(now) || now.Sub(n.started) < minUptime {
		return false
	}
	candidates := n.candidates(now, region)
	return len(candidates) > 0 && candidates[0] == n.self.ID
}

// candidates returns, in order, the eligible instances of a region. If the member
// list has no instance of the region that is not leaving, it returns the eligible
// instances of all regions, except for the region of this instance.
func (n *Node) candidates(now time.Time, region lovagestand.RegionName) []lovagestand.InstanceID {
	var local, all []lovagestand.InstanceID
	listed := n.self.Region == region
	for id, p := range n.peers {
		inRegion := n.instance(id).Region == region
		listed = listed || inRegion && p.listed && !p.instance.Leaving
		if !n.eligible(now, id) {
			continue
		}
		all = append(all, id)
		if inRegion {
			local = append(local, id)
		}
	}
	if !listed {
		local = all
	}
	slices.Sort(local)
	return local
}

// assignments returns entries for the shards of a region that have no owner, or whose
// owner and standbys are all presumed dead.
func (n *Node) assignments(now time.Time, r *region) []Entry {
	if !n.assignsOwners(now, r.name) {
		return nil
	}
	loads := n.loads(now, r.name)
	var entries []Entry
	for _, u := range n.units[r.name] {
		s := n.shards[u.Shard]
		if s != nil && !n.membersPresumedDead(now, s.entry) {
			continue
		}
		e := Entry{Shard: u.Shard, Region: r.name}
		if s != nil {
			e = s.entry.skipUnstoredEpochs()
		}
		to := leastLoaded(loads)
		loads[to] += u.Weight
		entries = append(entries, e.Next(to, n.chooseStandbys(now, e, to, ""), s == nil))
	}
	return entries
}

func (n *Node) membersPresumedDead(now time.Time, e Entry) bool {
	dead := n.presumedDead(now, e.Owner)
	for _, id := range e.Standbys {
		dead = n.presumedDead(now, id) && dead
	}
	return dead
}

// loads returns, for each candidate, the sum of the weights of the units that it owns
// in a region.
func (n *Node) loads(now time.Time, region lovagestand.RegionName) map[lovagestand.InstanceID]int {
	loads := map[lovagestand.InstanceID]int{}
	for _, id := range n.candidates(now, region) {
		loads[id] = 0
	}
	for _, u := range n.units[region] {
		s := n.shards[u.Shard]
		if s == nil {
			continue
		}
		if _, ok := loads[s.entry.Owner]; ok {
			loads[s.entry.Owner] += u.Weight
		}
	}
	return loads
}

func leastLoaded(loads map[lovagestand.InstanceID]int) lovagestand.InstanceID {
	var best lovagestand.InstanceID
	for id, load := range loads {
		if best == "" || load < loads[best] || load == loads[best] && id < best {
			best = id
		}
	}
	return best
}

// rebalance starts at most one handover of a shard of a region to the least loaded
// candidate, if that brings the loads of the two instances closer together. An
// instance that is no candidate hands over without regard to the loads.
func (n *Node) rebalance(now time.Time, region lovagestand.RegionName) {
	if n.leaving || now.Before(n.nextRebalance) {
		return
	}
	loads := n.loads(now, region)
	to := leastLoaded(loads)
	ownLoad, isCandidate := loads[n.self.ID]
	if to == "" || to == n.self.ID {
		return
	}
	var best *shardState
	weight := 0
	for _, u := range n.units[region] {
		s := n.shards[u.Shard]
		if s == nil || !n.canHandOver(now, s) {
			continue
		}
		gain := ownLoad - loads[to]
		if (!isCandidate || u.Weight < gain) && (best == nil || u.Weight > weight) {
			best, weight = s, u.Weight
		}
	}
	if best != nil && !isCandidate {
		to = n.preferLocalStandby(now, best, to)
	}
	if best != nil {
		n.nextRebalance = now.Add(n.timing.RebalanceInterval)
		n.startHandover(now, best, to)
	}
}

// preferLocalStandby returns an eligible standby of the shard's own region, since a
// standby need not join first. If there is none, it returns fallback.
func (n *Node) preferLocalStandby(now time.Time, s *shardState, fallback lovagestand.InstanceID) lovagestand.InstanceID {
	for _, id := range s.entry.Standbys {
		if n.eligible(now, id) && n.instance(id).Region == s.entry.Region {
			return id
		}
	}
	return fallback
}

func (n *Node) canHandOver(now time.Time, s *shardState) bool {
	_, ok := n.lease(now, s)
	return ok && s.handover == nil && !now.Before(s.nextHandover) && !now.Before(s.settleUntil)
}

// handOverOnLeave starts the handover of a shard that a leaving instance owns.
func (n *Node) handOverOnLeave(now time.Time, s *shardState) {
	if s.handover != nil || s.released || now.Before(s.nextHandover) {
		return
	}
	for _, id := range s.entry.Standbys {
		if n.eligible(now, id) {
			n.startHandover(now, s, id)
			return
		}
	}
	candidates := n.chooseStandbys(now, s.entry, n.self.ID, "")
	if len(candidates) > 0 {
		n.startHandover(now, s, candidates[0])
	}
}
