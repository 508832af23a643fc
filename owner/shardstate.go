package owner

import (
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// shardState is what one instance knows of one shard and has said about it.
type shardState struct {
	entry Entry
	// learnedAt is when the entry's epoch was first heard of.
	learnedAt time.Time
	// grantedUntil is the end of the latest promise given, for any epoch.
	grantedUntil time.Time
	// seals are the takeover attempts consented to in this epoch.
	seals map[string]bool
	// endWritePending says that a write which ends this epoch may be under way.
	endWritePending bool
	// commonStandbys are the standbys of this epoch that every entry sent to end it
	// has too. Their promises bind in the next epoch as well, so the owner may
	// go on by them while it does not know which epoch it is.
	commonStandbys []lovagestand.InstanceID

	// What follows is in use by the owner.

	grants map[lovagestand.InstanceID]time.Time
	// previousLeaseEnd is the end of this instance's right to the epoch before.
	previousLeaseEnd time.Time
	settleUntil      time.Time
	// released says that the right was given up in this epoch.
	released bool
	acquired bool
	// sealedByStandby says that a standby was sealed.
	sealedByStandby bool
	handover        *handover
	// nextHandover is when the next move may begin.
	nextHandover time.Time

	// takeover is in use by a standby.
	takeover *takeover
}

func newShardState(now time.Time, e Entry) *shardState {
	return &shardState{
		entry:     e,
		learnedAt: now,
		seals:     map[string]bool{},
		grants:    map[lovagestand.InstanceID]time.Time{},
	}
}

// leaseEnd returns the end of the owner's right by its standbys' promises.
func (s *shardState) leaseEnd() time.Time {
	until := s.previousLeaseEnd
	for _, t := range s.grants {
		if t.After(until) {
			until = t
		}
	}
	return until
}

// grantExpiry returns when no promise of this standby can support an owner any more.
// Hearing of an epoch counts as a promise, since the owner may still act on
// those of the epoch before.
func (s *shardState) grantExpiry(timing Timing) time.Time {
	expiry := s.learnedAt.Add(timing.Promise)
	if s.grantedUntil.After(expiry) {
		return s.grantedUntil
	}
	return expiry
}

// applyEntry replaces what is known of a shard if e is newer. One that only names an
// epoch teaches nothing.
func (n *Node) applyEntry(now time.Time, e Entry) bool {
	old := n.shards[e.Shard]
	if e.Owner == "" || old != nil && e.Epoch <= old.entry.Epoch {
		return false
	}
	s := newShardState(now, e)
	n.shards[e.Shard] = s
	n.version++
	if old != nil {
		s.grantedUntil = old.grantedUntil
	} else {
		i, _ := slices.BinarySearch(n.sortedShards, e.Shard)
		n.sortedShards = slices.Insert(n.sortedShards, i, e.Shard)
	}
	if e.Owner != n.self.ID {
		return true
	}
	if old != nil && old.entry.Owner == n.self.ID {
		n.carryOver(old, s)
	} else if !e.Settled {
		s.settleUntil = now.Add(n.timing.Settle)
	}
	n.requestGrants(now, s)
	return true
}

// carryOver carries over what stays true when an owner follows itself.
func (n *Node) carryOver(old, s *shardState) {
	s.settleUntil = old.settleUntil
	s.acquired = old.acquired
	s.nextHandover = old.nextHandover
	if !old.released {
		s.previousLeaseEnd = old.leaseEnd()
		if h := old.handover; h != nil && h.state == handoverJoining && s.entry.HasStandby(h.successor) {
			s.handover = h
		}
	}
}

// requestGrants asks the standbys of an owned shard for their promises.
func (n *Node) requestGrants(now time.Time, s *shardState) {
	if s.entry.Owner != n.self.ID || s.released || !n.mayAct(now) {
		return
	}
	standbys := s.entry.Standbys
	if s.endWritePending {
		standbys = s.commonStandbys
	}
	if len(s.entry.Standbys) == 0 && !s.endWritePending {
		s.grants[n.self.ID] = now.Add(n.timing.Promise - n.timing.Guard)
		n.reportAcquired(now, s)
	}
	for _, id := range standbys {
		m := Message{Kind: KindLeaseRequest, Entry: s.entry, Sent: now.Sub(n.started)}
		if now.Before(s.grants[id]) {
			m.Entry = identityOf(s.entry)
		}
		n.send(id, m)
	}
}

// reportAcquired tells the driver of a right that begins.
func (n *Node) reportAcquired(now time.Time, s *shardState) {
	lease, ok := n.lease(now, s)
	if !ok || s.acquired {
		return
	}
	s.acquired = true
	n.version++
	n.effects = append(n.effects, Acquire{Right: lease})
}

func (n *Node) lease(now time.Time, s *shardState) (lovagestand.OwnershipLease, bool) {
	if s == nil || s.entry.Owner != n.self.ID || s.released {
		return lovagestand.OwnershipLease{}, false
	}
	until := s.leaseEnd()
	if listExpiry := n.memberList.attemptedAt.Add(n.timing.ListFresh); listExpiry.Before(until) {
		until = listExpiry
	}
	lease := lovagestand.OwnershipLease{Shard: s.entry.Shard, Epoch: s.entry.Epoch, Until: until, SettleUntil: s.settleUntil}
	return lease, lease.Valid(now)
}

// currentShard returns the seat that a message of the present epoch is about, or
// nil. A sender with an older entry is told the newer one.
func (n *Node) currentShard(now time.Time, from lovagestand.InstanceID, m Message) *shardState {
	n.applyEntry(now, m.Entry)
	s := n.shards[m.Entry.Shard]
	if s == nil || m.Entry.Epoch > s.entry.Epoch {
		return nil
	}
	if m.Entry.Epoch < s.entry.Epoch {
		n.send(from, Message{Kind: KindNewerEntry, Entry: s.entry})
		return nil
	}
	return s
}

// handleLeaseRequest answers an owner's asking.
func (n *Node) handleLeaseRequest(now time.Time, from lovagestand.InstanceID, m Message) {
	s := n.currentShard(now, from, m)
	if s == nil {
		return
	}
	if !n.mayAct(now) || !s.entry.HasStandby(n.self.ID) || s.entry.Owner != from {
		return
	}
	if s.takeover != nil && !s.endWritePending {
		n.withdrawTakeover(s)
	}
	if len(s.seals) > 0 {
		n.send(from, Message{Kind: KindSealed, Entry: s.entry})
		return
	}
	s.grantedUntil = now.Add(n.timing.Promise)
	n.send(from, Message{Kind: KindLeaseGrant, Entry: identityOf(s.entry), Sent: m.Sent})
}

// handleLeaseGrant counts a standby's promise, from before it was asked for.
func (n *Node) handleLeaseGrant(now time.Time, from lovagestand.InstanceID, m Message) {
	s := n.shards[m.Entry.Shard]
	if s == nil || s.entry.Epoch != m.Entry.Epoch || s.entry.Owner != n.self.ID || s.released {
		return
	}
	end := n.started.Add(m.Sent).Add(n.timing.Promise - n.timing.Guard)
	if end.After(s.grants[from]) {
		s.grants[from] = end
	}
	n.reportAcquired(now, s)
}

// identityOf strips an entry down to what names it.
func identityOf(e Entry) Entry {
	return Entry{Shard: e.Shard, Region: e.Region, Epoch: e.Epoch}
}
