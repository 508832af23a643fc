package owner

import (
	"maps"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Node is the ownership state machine of one instance. It is not safe for
// concurrent use. All times are on the monotonic clock of this process.
type Node struct {
	self    lovagestand.Instance
	timing  Timing
	started time.Time
	shards  map[lovagestand.ShardName]*shardState
	// sortedShards holds the keys of shards in order.
	sortedShards     []lovagestand.ShardName
	regions          map[lovagestand.RegionName]*region
	units            map[lovagestand.RegionName][]Unit
	peers            map[lovagestand.InstanceID]*peer
	memberList       memberList
	leaving          bool
	takeoverAttempts uint64
	nextRebalance    time.Time
	version          uint64
	effects          []Effect
}

// NewNode returns the node of an instance that starts at now.
func NewNode(now time.Time, self lovagestand.Instance, timing Timing) *Node {
	n := &Node{
		self:          self,
		timing:        timing,
		started:       now,
		shards:        map[lovagestand.ShardName]*shardState{},
		regions:       map[lovagestand.RegionName]*region{},
		units:         map[lovagestand.RegionName][]Unit{},
		peers:         map[lovagestand.InstanceID]*peer{},
		nextRebalance: now.Add(timing.RebalanceInterval),
	}
	n.peers[self.ID] = &peer{instance: self}
	return n
}

// SetUnits replaces the units that need an owner.
func (n *Node) SetUnits(units []Unit) {
	n.units = map[lovagestand.RegionName][]Unit{}
	for _, u := range units {
		n.units[u.Region] = append(n.units[u.Region], u)
	}
	for _, list := range n.units {
		slices.SortFunc(list, func(a, b Unit) int { return cmpShard(a.Shard, b.Shard) })
	}
}

// Leave makes the instance hand over all shards that it owns.
func (n *Node) Leave(now time.Time) []Effect {
	n.leaving = true
	n.self = n.self.WithLeaving(true)
	return n.Tick(now)
}

// Tick does all work that is due. The driver calls it once per heartbeat.
func (n *Node) Tick(now time.Time) []Effect {
	for _, shard := range n.sortedShards {
		n.tickShard(now, n.shards[shard])
	}
	for _, name := range slices.Sorted(maps.Keys(n.units)) {
		n.rebalance(now, name)
		if !n.region(name).loaded && n.assignsOwners(now, name) {
			n.requestRead(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(n.regions)) {
		r := n.regions[name]
		if r.readRequired {
			n.probeStore(now, r)
		}
		n.planWrite(now, r)
	}
	return n.takeEffects()
}

func (n *Node) tickShard(now time.Time, s *shardState) {
	if s.entry.Owner != n.self.ID {
		n.tickStandby(now, s)
		return
	}
	n.requestGrants(now, s)
	if n.leaving {
		n.handOverOnLeave(now, s)
	}
	if s.handover != nil {
		n.continueHandover(now, s)
	}
}

// Receive handles a message from another instance.
func (n *Node) Receive(now time.Time, from lovagestand.InstanceID, m Message) []Effect {
	switch m.Kind {
	case KindLeaseRequest:
		n.handleLeaseRequest(now, from, m)
	case KindLeaseGrant:
		n.handleLeaseGrant(now, from, m)
	case KindSealed:
		n.handleSealed(now, m)
	case KindNewerEntry:
		n.applyEntry(now, m.Entry)
	case KindSeal:
		n.handleSeal(now, from, m)
	case KindConsent:
		n.handleConsent(now, from, m)
	case KindUnseal:
		n.handleUnseal(m)
	case KindWarm:
		n.handleWarm(now, from, m)
	case KindWarmed:
		n.handleWarmed(from, m)
	case KindPass:
		n.handlePass(now, m)
	}
	return n.takeEffects()
}

// handleSealed records that a standby grants no further lease in this epoch, so
// that the owner has to begin the next epoch.
func (n *Node) handleSealed(now time.Time, m Message) {
	s := n.shards[m.Entry.Shard]
	if s == nil || s.entry.Epoch != m.Entry.Epoch || s.entry.Owner != n.self.ID {
		return
	}
	s.sealedByStandby = true
	n.planWrite(now, n.region(s.entry.Region))
}

// Lease returns the ownership lease of a shard, and false if this instance has none
// at now.
func (n *Node) Lease(now time.Time, shard lovagestand.ShardName) (lovagestand.OwnershipLease, bool) {
	return n.lease(now, n.shards[shard])
}

// Owned returns, in order, the shards for which this instance has an ownership
// lease at now.
func (n *Node) Owned(now time.Time) []lovagestand.ShardName {
	var owned []lovagestand.ShardName
	for _, shard := range n.sortedShards {
		if _, ok := n.lease(now, n.shards[shard]); ok {
			owned = append(owned, shard)
		}
	}
	return owned
}

// Entry returns the newest entry of a shard that this instance has seen, and false
// if it has seen none.
func (n *Node) Entry(shard lovagestand.ShardName) (Entry, bool) {
	s := n.shards[shard]
	if s == nil {
		return Entry{}, false
	}
	return s.entry, true
}

// Entries returns the newest entries that this instance has seen, sorted by shard.
func (n *Node) Entries() []Entry {
	entries := make([]Entry, 0, len(n.shards))
	for _, shard := range n.sortedShards {
		entries = append(entries, n.shards[shard].entry)
	}
	return entries
}

// Regions returns, in order, the regions whose documents concern this instance: its
// own region and those in which it is an owner or a standby.
func (n *Node) Regions() []lovagestand.RegionName {
	regions := map[lovagestand.RegionName]bool{n.self.Region: true}
	for _, s := range n.shards {
		if s.entry.Owner == n.self.ID || s.entry.HasStandby(n.self.ID) {
			regions[s.entry.Region] = true
		}
	}
	return slices.Sorted(maps.Keys(regions))
}

// Version returns a number that grows whenever an entry changes and whenever this
// instance acquires or releases a shard.
func (n *Node) Version() uint64 {
	return n.version
}

func (n *Node) send(to lovagestand.InstanceID, m Message) {
	n.effects = append(n.effects, Send{To: to, Message: m})
}

// takeEffects returns the pending effects and clears them.
func (n *Node) takeEffects() []Effect {
	effects := n.effects
	n.effects = nil
	return effects
}

// shardsOf returns the states of a region's shards, sorted by shard.
func (n *Node) shardsOf(name lovagestand.RegionName) []*shardState {
	var shards []*shardState
	for _, shard := range n.sortedShards {
		if s := n.shards[shard]; s.entry.Region == name {
			shards = append(shards, s)
		}
	}
	return shards
}
