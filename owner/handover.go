package owner

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
)

// handover is an owner's try to pass a shard to a successor.
type handover struct {
	to    lovagestand.InstanceID
	stage chart.State
	since time.Time
	read  uint64
	// byHand passes without the store.
	byHand bool
	next   Entry
	// from is when next may be in force: all starts of this owner have been
	// answered or are too late.
	from time.Time
}

// due reports whether the next entry may be written or passed.
func (h *handover) due(now time.Time) bool {
	return h.stage == handoverPassing && !now.Before(h.from)
}

// handOver begins to pass an owned shard.
func (n *Node) handOver(now time.Time, s *seat, to lovagestand.InstanceID) {
	h := &handover{to: to, stage: handoverChart.Initial(), since: now}
	s.handover = h
	if s.entry.HasStandby(to) {
		follow(handoverChart, &h.stage, handoverJoin)
	}
}

// passOn goes on with a handover. Until the right is given up every failure
// leaves the owner as it was, to try again later.
func (n *Node) passOn(now time.Time, s *seat) {
	h := s.handover
	if handoverChart.Allows(h.stage, handoverDesist) && (now.Sub(h.since) > n.timing.Warm || !n.usable(now, h.to)) {
		n.desist(now, s)
		return
	}
	switch h.stage {
	case handoverJoining:
		if s.entry.HasStandby(h.to) {
			follow(handoverChart, &h.stage, handoverJoin)
		}
	case handoverWarming:
		n.send(h.to, Message{Kind: KindWarm, Entry: s.entry})
	case handoverPassing:
		if h.byHand && h.due(now) {
			n.send(h.to, Message{Kind: KindPass, Entry: h.next, ByHand: true})
		}
	}
}

func (n *Node) desist(now time.Time, s *seat) {
	follow(handoverChart, &s.handover.stage, handoverDesist)
	s.handover = nil
	s.resting = now.Add(n.timing.Rebalance)
	if n.leaving {
		s.resting = now.Add(2 * n.timing.Heartbeat)
	}
}

// warmed notes that the successor is ready.
func (n *Node) warmed(from lovagestand.InstanceID, m Message) {
	s := n.seats[m.Entry.Shard]
	if s == nil || s.entry.Epoch != m.Entry.Epoch || s.handover == nil {
		return
	}
	h := s.handover
	if h.to == from && !s.sent && follow(handoverChart, &h.stage, handoverWarm) {
		h.read = n.read(s.entry.Region)
	}
}

// chosenWay goes on once it is known whether the store answers. Only an
// instance that must go passes without it.
func (n *Node) chosenWay(now time.Time, s *seat, ok bool) {
	h := s.handover
	if !ok && !n.leaving {
		n.desist(now, s)
		return
	}
	if !follow(handoverChart, &h.stage, handoverChoose) {
		return
	}
	h.byHand = !ok
	n.effects = append(n.effects, Release{Shard: s.entry.Shard, Epoch: s.entry.Epoch})
}

// ReleaseDone reports that no start of this instance on a shard is under way;
// settled is false where some of them may still begin.
func (n *Node) ReleaseDone(now time.Time, shard lovagestand.ShardName, epoch lovagestand.Epoch, settled bool) []Effect {
	s := n.seats[shard]
	if s == nil || s.entry.Epoch != epoch || s.handover == nil {
		return n.take()
	}
	h := s.handover
	if !follow(handoverChart, &h.stage, handoverRelease) {
		return n.take()
	}
	h.next = s.entry.Next(h.to, n.swapped(s.entry, h.to), settled && !now.Before(s.settle))
	h.from = now
	if !settled {
		h.from = now.Add(n.timing.StartWindow)
	}
	s.given = true
	n.version++
	n.passOn(now, s)
	n.plan(now, n.region(s.entry.Region))
	return n.take()
}

// swapped returns the standbys of an entry with the successor replaced by the
// owner, so that all who may own it next have a voice in this epoch.
func (n *Node) swapped(e Entry, to lovagestand.InstanceID) []lovagestand.InstanceID {
	var standbys []lovagestand.InstanceID
	for _, id := range e.Standbys {
		if id != to {
			standbys = append(standbys, id)
		}
	}
	return append(standbys, n.self.ID)
}

// warm gets ready to own a shard.
func (n *Node) warm(now time.Time, from lovagestand.InstanceID, m Message) {
	n.learn(now, m.Entry)
	s := n.seats[m.Entry.Shard]
	if s == nil || m.Entry.Epoch > s.entry.Epoch {
		return
	}
	if s.entry.Epoch == m.Entry.Epoch && s.entry.Owner == from {
		n.effects = append(n.effects, Warm{Shard: m.Entry.Shard})
	}
}

// WarmDone reports that this instance is ready to own a shard.
func (n *Node) WarmDone(shard lovagestand.ShardName) []Effect {
	s := n.seats[shard]
	if s != nil && s.entry.HasStandby(n.self.ID) {
		n.send(s.entry.Owner, Message{Kind: KindWarmed, Entry: short(s.entry)})
	}
	return n.take()
}

// passed takes over an epoch from its owner's hand. One passed without the
// store is refused by an instance that has consented to a takeover: those are
// the two ways to end an epoch, and the successor's voice decides.
func (n *Node) passed(now time.Time, m Message) {
	s := n.seats[m.Entry.Shard]
	if m.ByHand && s != nil && s.entry.Epoch+1 == m.Entry.Epoch && (len(s.seals) > 0 || s.sent) {
		return
	}
	n.learn(now, m.Entry)
}
