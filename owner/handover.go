package owner

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
)

// handover is an owner's try to pass a shard to a successor.
type handover struct {
	successor   lovagestand.InstanceID
	state       chart.State
	startedAt   time.Time
	awaitedRead uint64
	// withoutStore passes without the store.
	withoutStore bool
	nextEntry    Entry
	// notBefore is when next may be in force: all starts of this owner have been
	// answered or are too late.
	notBefore time.Time
}

// nextEntryDue reports whether the next entry may be written or passed.
func (h *handover) nextEntryDue(now time.Time) bool {
	return h.state == handoverPassing && !now.Before(h.notBefore)
}

// startHandover begins to pass an owned shard.
func (n *Node) startHandover(now time.Time, s *shardState, successor lovagestand.InstanceID) {
	h := &handover{successor: successor, state: handoverChart.Initial(), startedAt: now}
	s.handover = h
	if s.entry.HasStandby(successor) {
		advance(handoverChart, &h.state, handoverJoin)
	}
}

// continueHandover goes on with a handover. Until the right is given up every failure
// leaves the owner as it was, to try again later.
func (n *Node) continueHandover(now time.Time, s *shardState) {
	h := s.handover
	if handoverChart.Allows(h.state, handoverDesist) && (now.Sub(h.startedAt) > n.timing.Warm || !n.eligible(now, h.successor)) {
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
			n.send(h.successor, Message{Kind: KindPass, Entry: h.nextEntry, ByHand: true})
		}
	}
}

func (n *Node) abandonHandover(now time.Time, s *shardState) {
	advance(handoverChart, &s.handover.state, handoverDesist)
	s.handover = nil
	s.nextHandover = now.Add(n.timing.Rebalance)
	if n.leaving {
		s.nextHandover = now.Add(2 * n.timing.Heartbeat)
	}
}

// handleWarmed notes that the successor is ready.
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

// handoverReadDone goes on once it is known whether the store answers. Only an
// instance that must go passes without it.
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

// ReleaseDone reports that no start of this instance on a shard is under way;
// settled is false where some of them may still begin.
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

// standbysAfterHandover returns the standbys of an entry with the successor replaced by the
// owner, so that all who may own it next have a voice in this epoch.
func (n *Node) standbysAfterHandover(e Entry, successor lovagestand.InstanceID) []lovagestand.InstanceID {
	var standbys []lovagestand.InstanceID
	for _, id := range e.Standbys {
		if id != successor {
			standbys = append(standbys, id)
		}
	}
	return append(standbys, n.self.ID)
}

// handleWarm gets ready to own a shard.
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

// handlePass takes over an epoch from its owner's hand. One passed without the
// store is refused by an instance that has consented to a takeover: those are
// the two ways to end an epoch, and the successor's voice decides.
func (n *Node) handlePass(now time.Time, m Message) {
	s := n.shards[m.Entry.Shard]
	if m.ByHand && s != nil && s.entry.Epoch+1 == m.Entry.Epoch && (len(s.seals) > 0 || s.endWritePending) {
		return
	}
	n.applyEntry(now, m.Entry)
}
