package owner

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
)

// handover is an owner's attempt to hand a shard over to a successor.
type handover struct {
	successor   lovagestand.InstanceID
	state       chart.State
	startedAt   time.Time
	awaitedRead uint64
	// withoutStore indicates that the owner sends the next entry to the successor
	// itself because the store does not answer.
	withoutStore bool
	nextEntry    Entry
	// notBefore is when nextEntry may come into force: all starts of this owner
	// have been answered by then or are too late.
	notBefore time.Time
}

// nextEntryDue reports whether nextEntry may be written or sent to the successor.
func (h *handover) nextEntryDue(now time.Time) bool {
	return h.state == handoverPassing && !now.Before(h.notBefore)
}

// startHandover starts the handover of an owned shard.
func (n *Node) startHandover(now time.Time, s *shardState, successor lovagestand.InstanceID) {
	h := &handover{successor: successor, state: handoverChart.Initial(), startedAt: now}
	s.handover = h
	if s.entry.HasStandby(successor) {
		advance(handoverChart, &h.state, handoverJoin)
	}
}

// continueHandover takes the next step of a handover. Until the shard is released,
// any failure leaves the owner in place, and it tries again later.
func (n *Node) continueHandover(now time.Time, s *shardState) {
	h := s.handover
	if handoverChart.Allows(h.state, handoverDesist) && (now.Sub(h.startedAt) > n.timing.WarmTimeout || !n.eligible(now, h.successor)) {
		n.abandonHandover(now, s)
		return
	}
	switch h.state {
	case handoverJoining:
		if s.entry.HasStandby(h.successor) {
			advance(handoverChart, &h.state, handoverJoin)
		}
	case handoverWarming:
		n.send(h.successor, Message{Kind: KindWarm, Entry: s.entry})
	case handoverPassing:
		if h.withoutStore && h.nextEntryDue(now) {
			n.send(h.successor, Message{Kind: KindPass, Entry: h.nextEntry, WithoutStore: true})
		}
	}
}

// abandonHandover ends a handover that has failed. An owner that is leaving tries
// again sooner.
func (n *Node) abandonHandover(now time.Time, s *shardState) {
	advance(handoverChart, &s.handover.state, handoverDesist)
	s.handover = nil
	s.nextHandover = now.Add(n.timing.RebalanceInterval)
	if n.leaving {
		s.nextHandover = now.Add(2 * n.timing.Heartbeat)
	}
}

// handleWarmed records that the successor is ready.
func (n *Node) handleWarmed(from lovagestand.InstanceID, m Message) {
	s := n.shards[m.Entry.Shard]
	if s == nil || s.entry.Epoch != m.Entry.Epoch || s.handover == nil {
		return
	}
	h := s.handover
	if h.successor == from && !s.endWritePending && advance(handoverChart, &h.state, handoverWarm) {
		h.awaitedRead = n.requestRead(s.entry.Region)
	}
}

// handoverReadDone continues a handover once a read has shown whether the store
// answers. If it does not, only an instance that is leaving continues.
func (n *Node) handoverReadDone(now time.Time, s *shardState, ok bool) {
	h := s.handover
	if !ok && !n.leaving {
		n.abandonHandover(now, s)
		return
	}
	if !advance(handoverChart, &h.state, handoverChoose) {
		return
	}
	h.withoutStore = !ok
	n.effects = append(n.effects, Release{Shard: s.entry.Shard, Epoch: s.entry.Epoch})
}

// ReleaseDone reports that this instance has no more starts in flight on a shard.
// settled is false if a worker may still begin some of them.
func (n *Node) ReleaseDone(now time.Time, shard lovagestand.ShardName, epoch lovagestand.Epoch, settled bool) []Effect {
	s := n.shards[shard]
	if s == nil || s.entry.Epoch != epoch || s.handover == nil {
		return n.takeEffects()
	}
	h := s.handover
	if !advance(handoverChart, &h.state, handoverRelease) {
		return n.takeEffects()
	}
	h.nextEntry = s.entry.Next(h.successor, n.standbysAfterHandover(s.entry, h.successor), settled && !now.Before(s.settleUntil))
	h.notBefore = now
	if !settled {
		h.notBefore = now.Add(n.timing.StartWindow)
	}
	s.released = true
	n.version++
	n.continueHandover(now, s)
	n.planWrite(now, n.region(s.entry.Region))
	return n.takeEffects()
}

// standbysAfterHandover returns the standbys of an entry with the successor replaced
// by the owner, so that every instance that may own the shard next is an owner or a
// standby in this epoch.
func (n *Node) standbysAfterHandover(e Entry, successor lovagestand.InstanceID) []lovagestand.InstanceID {
	var standbys []lovagestand.InstanceID
	for _, id := range e.Standbys {
		if id != successor {
			standbys = append(standbys, id)
		}
	}
	return append(standbys, n.self.ID)
}

// handleWarm prepares to own a shard.
func (n *Node) handleWarm(now time.Time, from lovagestand.InstanceID, m Message) {
	n.applyEntry(now, m.Entry)
	s := n.shards[m.Entry.Shard]
	if s == nil || m.Entry.Epoch > s.entry.Epoch {
		return
	}
	if s.entry.Epoch == m.Entry.Epoch && s.entry.Owner == from {
		n.effects = append(n.effects, Warm{Shard: m.Entry.Shard})
	}
}

// WarmDone reports that this instance is ready to own a shard.
func (n *Node) WarmDone(shard lovagestand.ShardName) []Effect {
	s := n.shards[shard]
	if s != nil && s.entry.HasStandby(n.self.ID) {
		n.send(s.entry.Owner, Message{Kind: KindWarmed, Entry: identityOf(s.entry)})
	}
	return n.takeEffects()
}

// handlePass applies the entry that a previous owner passes on. An instance that has
// sealed the epoch, or has sent a write that may end it, refuses an entry that was
// passed without the store. In this way, a takeover and a handover cannot both end the
// epoch, because the takeover needs the consent of the successor.
func (n *Node) handlePass(now time.Time, m Message) {
	s := n.shards[m.Entry.Shard]
	if m.WithoutStore && s != nil && s.entry.Epoch+1 == m.Entry.Epoch && (len(s.seals) > 0 || s.endWritePending) {
		return
	}
	n.applyEntry(now, m.Entry)
}
