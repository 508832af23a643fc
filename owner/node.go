package owner

import (
	"maps"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Node is one instance's part in the ownership of shards. It is not safe for
// concurrent use. Times are this process's own monotonic clock.
type Node struct {
	self    lovagestand.Instance
	timing  Timing
	started time.Time
	shards  map[lovagestand.ShardName]*shardState
	// sortedShards holds the shards of seats, sorted.
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

// NewNode returns the state of an instance that starts now.
func NewNode(now time.Time, self lovagestand.Instance, timing Timing) *Node {
	n := &Node{
		self:          self,
		timing:        timing,
		started:       now,
		shards:        map[lovagestand.ShardName]*shardState{},
		regions:       map[lovagestand.RegionName]*region{},
		units:         map[lovagestand.RegionName][]Unit{},
		peers:         map[lovagestand.InstanceID]*peer{},
		nextRebalance: now.Add(timing.Rebalance),
	}
	n.peers[self.ID] = &peer{instance: self}
	return n
}

// SetUnits replaces what there is to own, by region.
func (n *Node) SetUnits(units []Unit) {
	n.units = map[lovagestand.RegionName][]Unit{}
	for _, u := range units {
		n.units[u.Region] = append(n.units[u.Region], u)
	}
	for _, list := range n.units {
		slices.SortFunc(list, func(a, b Unit) int { return cmpShard(a.Shard, b.Shard) })
	}
}

// Leave makes the instance pass on all it owns.
func (n *Node) Leave(now time.Time) []Effect {
	n.leaving = true
	n.self = n.self.WithLeaving(true)
	return n.Tick(now)
}

// Tick does what is due; it is called once a heartbeat.
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

// Receive takes a message of another instance.
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

// handleSealed notes that a standby will promise no more in this epoch, so that
// the owner needs the next one.
func (n *Node) handleSealed(now time.Time, m Message) {
	s := n.shards[m.Entry.Shard]
	if s == nil || s.entry.Epoch != m.Entry.Epoch || s.entry.Owner != n.self.ID {
		return
	}
	s.sealedByStandby = true
	n.planWrite(now, n.region(s.entry.Region))
}

// Lease returns the right to a shard; false if there is none now.
func (n *Node) Lease(now time.Time, shard lovagestand.ShardName) (lovagestand.OwnershipLease, bool) {
	return n.lease(now, n.shards[shard])
}

// Owned returns the shards to which this instance has a right now, sorted.
func (n *Node) Owned(now time.Time) []lovagestand.ShardName {
	var owned []lovagestand.ShardName
	for _, shard := range n.sortedShards {
		if _, ok := n.lease(now, n.shards[shard]); ok {
			owned = append(owned, shard)
		}
	}
	return owned
}

// Entry returns the newest entry known of a shard.
func (n *Node) Entry(shard lovagestand.ShardName) (Entry, bool) {
	s := n.shards[shard]
	if s == nil {
		return Entry{}, false
	}
	return s.entry, true
}

// Entries returns the newest entries known, sorted by shard.
func (n *Node) Entries() []Entry {
	entries := make([]Entry, 0, len(n.shards))
	for _, shard := range n.sortedShards {
		entries = append(entries, n.shards[shard].entry)
	}
	return entries
}

// Regions returns the regions whose documents this instance has a part in,
// sorted: its own and those that name it.
func (n *Node) Regions() []lovagestand.RegionName {
	regions := map[lovagestand.RegionName]bool{n.self.Region: true}
	for _, s := range n.shards {
		if s.entry.Owner == n.self.ID || s.entry.HasStandby(n.self.ID) {
			regions[s.entry.Region] = true
		}
	}
	return slices.Sorted(maps.Keys(regions))
}

// Version grows with every change of entries and beginning of a right.
func (n *Node) Version() uint64 {
	return n.version
}

func (n *Node) send(to lovagestand.InstanceID, m Message) {
	n.effects = append(n.effects, Send{To: to, Message: m})
}

// takeEffects returns the effects so far and forgets them.
func (n *Node) takeEffects() []Effect {
	effects := n.effects
	n.effects = nil
	return effects
}

// shardsOf returns the seats of a region's shards, sorted by shard.
func (n *Node) shardsOf(name lovagestand.RegionName) []*shardState {
	var shards []*shardState
	for _, shard := range n.sortedShards {
		if s := n.shards[shard]; s.entry.Region == name {
			shards = append(shards, s)
		}
	}
	return shards
}
