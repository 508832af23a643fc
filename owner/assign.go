package owner

import (
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Unit is one thing to be owned: a shard of workers, or a claim home.
type Unit struct {
	Shard  lovagestand.ShardName
	Region lovagestand.RegionName
	// Weight is the unit's part in balancing, such as its number of workers.
	Weight int
}

// proposes reports whether this instance gives owners to the shards of a
// region that have none: the lowest usable one of the region, or of all
// regions where it has none. More than one proposer is harmless, but early ones
// know few instances and none of other regions.
func (n *Node) proposes(now time.Time, region lovagestand.RegionName) bool {
	patience := 4 * n.timing.Heartbeat
	if region != n.self.Region {
		patience = n.timing.Dropped
	}
	if n.leaving || !n.confirmed(now) || now.Sub(n.started) < patience {
		return false
	}
	candidates := n.candidates(now, region)
	return len(candidates) > 0 && candidates[0] == n.self.ID
}

// candidates returns the usable instances of a region, sorted, or those of all
// regions if the member list has none of it.
func (n *Node) candidates(now time.Time, region lovagestand.RegionName) []lovagestand.InstanceID {
	var own, all []lovagestand.InstanceID
	listed := n.self.Region == region
	for id, p := range n.peers {
		inside := n.instance(id).Region == region
		listed = listed || inside && p.listed && !p.instance.Leaving
		if !n.usable(now, id) {
			continue
		}
		all = append(all, id)
		if inside {
			own = append(own, id)
		}
	}
	if !listed {
		own = all
	}
	slices.Sort(own)
	return own
}

// assign returns entries for the shards of a region that have no owner, or
// whose owner and standbys the member list has all dropped.
func (n *Node) assign(now time.Time, r *region) []Entry {
	if !n.proposes(now, r.name) {
		return nil
	}
	loads := n.loads(now, r.name)
	var entries []Entry
	for _, u := range n.units[r.name] {
		s := n.seats[u.Shard]
		if s != nil && !n.abandoned(now, s.entry) {
			continue
		}
		e := Entry{Shard: u.Shard, Region: r.name}
		if s != nil {
			e = s.entry.beyond()
		}
		to := lightest(loads)
		loads[to] += u.Weight
		entries = append(entries, e.Next(to, n.standbys(now, e, to, ""), s == nil))
	}
	return entries
}

func (n *Node) abandoned(now time.Time, e Entry) bool {
	abandoned := n.dropped(now, e.Owner)
	for _, id := range e.Standbys {
		abandoned = n.dropped(now, id) && abandoned
	}
	return abandoned
}

// loads returns the summed weights owned in a region by each candidate.
func (n *Node) loads(now time.Time, region lovagestand.RegionName) map[lovagestand.InstanceID]int {
	loads := map[lovagestand.InstanceID]int{}
	for _, id := range n.candidates(now, region) {
		loads[id] = 0
	}
	for _, u := range n.units[region] {
		s := n.seats[u.Shard]
		if s == nil {
			continue
		}
		if _, ok := loads[s.entry.Owner]; ok {
			loads[s.entry.Owner] += u.Weight
		}
	}
	return loads
}

func lightest(loads map[lovagestand.InstanceID]int) lovagestand.InstanceID {
	var best lovagestand.InstanceID
	for id, load := range loads {
		if best == "" || load < loads[best] || load == loads[best] && id < best {
			best = id
		}
	}
	return best
}

// rebalance begins at most one move of a shard of a region to the instance
// that owns least, if that brings the two closer.
func (n *Node) rebalance(now time.Time, region lovagestand.RegionName) {
	if n.leaving || now.Before(n.nextMove) {
		return
	}
	loads := n.loads(now, region)
	to := lightest(loads)
	own, inside := loads[n.self.ID]
	if to == "" || to == n.self.ID {
		return
	}
	var best *seat
	weight := 0
	for _, u := range n.units[region] {
		s := n.seats[u.Shard]
		if s == nil || !n.movable(now, s) {
			continue
		}
		gain := own - loads[to]
		if (!inside || u.Weight < gain) && (best == nil || u.Weight > weight) {
			best, weight = s, u.Weight
		}
	}
	if best != nil && !inside {
		to = n.nearest(now, best, to)
	}
	if best != nil {
		n.nextMove = now.Add(n.timing.Rebalance)
		n.handOver(now, best, to)
	}
}

// nearest returns a standby of the shard's own region, which needs no joining,
// or else to.
func (n *Node) nearest(now time.Time, s *seat, to lovagestand.InstanceID) lovagestand.InstanceID {
	for _, id := range s.entry.Standbys {
		if n.usable(now, id) && n.instance(id).Region == s.entry.Region {
			return id
		}
	}
	return to
}

func (n *Node) movable(now time.Time, s *seat) bool {
	_, ok := n.right(now, s)
	return ok && s.handover == nil && !now.Before(s.resting) && !now.Before(s.settle)
}

// depart begins to pass on every shard that a leaving instance owns.
func (n *Node) depart(now time.Time, s *seat) {
	if s.handover != nil || s.given || now.Before(s.resting) {
		return
	}
	for _, id := range s.entry.Standbys {
		if n.usable(now, id) {
			n.handOver(now, s, id)
			return
		}
	}
	candidates := n.standbys(now, s.entry, n.self.ID, "")
	if len(candidates) > 0 {
		n.handOver(now, s, candidates[0])
	}
}
