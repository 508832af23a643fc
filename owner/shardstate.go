package owner

import (
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// shardState is what one instance has seen of one shard and what it has granted to
// others for it.
type shardState struct {
	entry Entry
	// learnedAt is when this instance first received the entry's epoch.
	learnedAt time.Time
	// grantedUntil is the end of the last lease that this instance has granted,
	// in any epoch.
	grantedUntil time.Time
	// seals holds the IDs of the takeover attempts for which this instance has
	// sealed the epoch, and droppedSeal once this instance may have been dropped
	// from the member list.
	seals map[string]bool
	// endWritePending indicates that a write that ends this epoch has been sent
	// and may still take effect.
	endWritePending bool
	// commonStandbys are the standbys of this epoch that are also standbys in
	// every entry sent to end it. Their grants bind them in the next epoch as
	// well, so the owner may rely on these grants while it is unknown whether
	// the epoch has ended.
	commonStandbys []lovagestand.InstanceID

	// The following fields are used by the owner.

	// grants holds the end of the lease that each standby has granted.
	grants map[lovagestand.InstanceID]time.Time
	// previousLeaseEnd is the end of the ownership lease that this instance had
	// in the previous epoch.
	previousLeaseEnd time.Time
	settleUntil      time.Time
	// released indicates that the owner has released the shard in this epoch.
	released bool
	acquired bool
	// sealedByStandby indicates that a standby has sealed the epoch.
	sealedByStandby bool
	handover        *handover
	// nextHandover is when the next handover may begin.
	nextHandover time.Time

	// takeover is used by a standby.
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

// leaseEnd returns the end of the owner's lease: the latest end of a grant of this
// epoch or of its own lease in the previous epoch.
func (s *shardState) leaseEnd() time.Time {
	until := s.previousLeaseEnd
	for _, t := range s.grants {
		if t.After(until) {
			until = t
		}
	}
	return until
}

// grantExpiry returns when an owner can no longer rely on any grant of this standby.
// The receipt of a new epoch counts as a grant, because the owner may still act on
// the grants of the previous epoch.
func (s *shardState) grantExpiry(timing Timing) time.Time {
	expiry := s.learnedAt.Add(timing.GrantDuration)
	if s.grantedUntil.After(expiry) {
		return s.grantedUntil
	}
	return expiry
}

// applyEntry replaces the state of a shard if e is newer, and reports whether it did.
// An entry without an owner only identifies an epoch and is ignored.
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
		s.settleUntil = now.Add(n.timing.SettleDelay)
	}
	n.requestGrants(now, s)
	return true
}

// carryOver copies the state that stays valid when an owner succeeds itself.
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

// requestGrants asks the standbys of an owned shard for lease grants. An owner
// without standbys grants the lease to itself.
func (n *Node) requestGrants(now time.Time, s *shardState) {
	if s.entry.Owner != n.self.ID || s.released || !n.mayAct(now) {
		return
	}
	standbys := s.entry.Standbys
	if s.endWritePending {
		standbys = s.commonStandbys
	}
	if len(s.entry.Standbys) == 0 && !s.endWritePending {
		s.grants[n.self.ID] = now.Add(n.timing.GrantDuration - n.timing.Guard)
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

// reportAcquired reports to the driver that this instance has acquired the
// ownership lease of a shard.
func (n *Node) reportAcquired(now time.Time, s *shardState) {
	lease, ok := n.lease(now, s)
	if !ok || s.acquired {
		return
	}
	s.acquired = true
	n.version++
	n.effects = append(n.effects, Acquire{Lease: lease})
}

// lease returns the ownership lease of a shard. It ends when the grants expire, or
// earlier if this instance does not try to read the member list again in time.
func (n *Node) lease(now time.Time, s *shardState) (lovagestand.OwnershipLease, bool) {
	if s == nil || s.entry.Owner != n.self.ID || s.released {
		return lovagestand.OwnershipLease{}, false
	}
	until := s.leaseEnd()
	if listExpiry := n.memberList.attemptedAt.Add(n.timing.MaxListAge); listExpiry.Before(until) {
		until = listExpiry
	}
	lease := lovagestand.OwnershipLease{Shard: s.entry.Shard, Epoch: s.entry.Epoch, Until: until, SettleUntil: s.settleUntil}
	return lease, lease.Valid(now)
}

// currentShard returns the state of the shard that a message is about, or nil if the
// message is not about the current epoch. It sends the current entry to a sender
// that has an older one.
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

// handleLeaseRequest answers an owner that requests a lease grant.
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
	s.grantedUntil = now.Add(n.timing.GrantDuration)
	n.send(from, Message{Kind: KindLeaseGrant, Entry: identityOf(s.entry), Sent: m.Sent})
}

// handleLeaseGrant records a standby's grant. The lease runs from the time of the
// request, which is earlier than the time of the grant.
func (n *Node) handleLeaseGrant(now time.Time, from lovagestand.InstanceID, m Message) {
	s := n.shards[m.Entry.Shard]
	if s == nil || s.entry.Epoch != m.Entry.Epoch || s.entry.Owner != n.self.ID || s.released {
		return
	}
	end := n.started.Add(m.Sent).Add(n.timing.GrantDuration - n.timing.Guard)
	if end.After(s.grants[from]) {
		s.grants[from] = end
	}
	n.reportAcquired(now, s)
}

// identityOf returns the entry with only the fields that identify its epoch.
func identityOf(e Entry) Entry {
	return Entry{Shard: e.Shard, Region: e.Region, Epoch: e.Epoch}
}
