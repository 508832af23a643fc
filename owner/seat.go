package owner

import (
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// seat is what one instance knows of one shard and has said about it.
type seat struct {
	entry Entry
	// learned is when the entry's epoch was first heard of.
	learned time.Time
	// promised is the end of the latest promise given, for any epoch.
	promised time.Time
	// seals are the takeover attempts consented to in this epoch.
	seals map[string]bool
	// sent says that a write which ends this epoch may be under way.
	sent bool
	// shared are the standbys of this epoch that every entry sent to end it
	// has too. Their promises bind in the next epoch as well, so the owner may
	// go on by them while it does not know which epoch it is.
	shared []lovagestand.InstanceID

	// What follows is in use by the owner.

	grants map[lovagestand.InstanceID]time.Time
	// leftover is the end of this instance's right to the epoch before.
	leftover time.Time
	settle   time.Time
	// given says that the right was given up in this epoch.
	given    bool
	acquired bool
	// refused says that a standby was sealed.
	refused  bool
	handover *handover
	// resting is when the next move may begin.
	resting time.Time

	// takeover is in use by a standby.
	takeover *takeover
}

func newSeat(now time.Time, e Entry) *seat {
	return &seat{
		entry:   e,
		learned: now,
		seals:   map[string]bool{},
		grants:  map[lovagestand.InstanceID]time.Time{},
	}
}

// until returns the end of the owner's right by its standbys' promises.
func (s *seat) until() time.Time {
	until := s.leftover
	for _, t := range s.grants {
		if t.After(until) {
			until = t
		}
	}
	return until
}

// lapse returns when no promise of this standby can support an owner any more.
// Hearing of an epoch counts as a promise, since the owner may still act on
// those of the epoch before.
func (s *seat) lapse(timing Timing) time.Time {
	lapse := s.learned.Add(timing.Promise)
	if s.promised.After(lapse) {
		return s.promised
	}
	return lapse
}

// learn replaces what is known of a shard if e is newer. One that only names an
// epoch teaches nothing.
func (n *Node) learn(now time.Time, e Entry) bool {
	old := n.seats[e.Shard]
	if e.Owner == "" || old != nil && e.Epoch <= old.entry.Epoch {
		return false
	}
	s := newSeat(now, e)
	n.seats[e.Shard] = s
	n.version++
	if old != nil {
		s.promised = old.promised
	} else {
		i, _ := slices.BinarySearch(n.order, e.Shard)
		n.order = slices.Insert(n.order, i, e.Shard)
	}
	if e.Owner != n.self.ID {
		return true
	}
	if old != nil && old.entry.Owner == n.self.ID {
		n.keep(old, s)
	} else if !e.Settled {
		s.settle = now.Add(n.timing.Settle)
	}
	n.ask(now, s)
	return true
}

// keep carries over what stays true when an owner follows itself.
func (n *Node) keep(old, s *seat) {
	s.settle = old.settle
	s.acquired = old.acquired
	s.resting = old.resting
	if !old.given {
		s.leftover = old.until()
		if h := old.handover; h != nil && h.stage == handoverJoining && s.entry.HasStandby(h.to) {
			s.handover = h
		}
	}
}

// ask asks the standbys of an owned shard for their promises.
func (n *Node) ask(now time.Time, s *seat) {
	if s.entry.Owner != n.self.ID || s.given || !n.confirmed(now) {
		return
	}
	standbys := s.entry.Standbys
	if s.sent {
		standbys = s.shared
	}
	if len(s.entry.Standbys) == 0 && !s.sent {
		s.grants[n.self.ID] = now.Add(n.timing.Promise - n.timing.Guard)
		n.begin(now, s)
	}
	for _, id := range standbys {
		m := Message{Kind: KindLeaseRequest, Entry: s.entry, Sent: now.Sub(n.started)}
		if now.Before(s.grants[id]) {
			m.Entry = short(s.entry)
		}
		n.send(id, m)
	}
}

// begin tells the driver of a right that begins.
func (n *Node) begin(now time.Time, s *seat) {
	right, ok := n.right(now, s)
	if !ok || s.acquired {
		return
	}
	s.acquired = true
	n.version++
	n.effects = append(n.effects, Acquire{Right: right})
}

func (n *Node) right(now time.Time, s *seat) (lovagestand.OwnershipLease, bool) {
	if s == nil || s.entry.Owner != n.self.ID || s.given {
		return lovagestand.OwnershipLease{}, false
	}
	until := s.until()
	if fresh := n.list.checked.Add(n.timing.ListFresh); fresh.Before(until) {
		until = fresh
	}
	r := lovagestand.OwnershipLease{Shard: s.entry.Shard, Epoch: s.entry.Epoch, Until: until, SettleUntil: s.settle}
	return r, r.Valid(now)
}

// current returns the seat that a message of the present epoch is about, or
// nil. A sender with an older entry is told the newer one.
func (n *Node) current(now time.Time, from lovagestand.InstanceID, m Message) *seat {
	n.learn(now, m.Entry)
	s := n.seats[m.Entry.Shard]
	if s == nil || m.Entry.Epoch > s.entry.Epoch {
		return nil
	}
	if m.Entry.Epoch < s.entry.Epoch {
		n.send(from, Message{Kind: KindNewerEntry, Entry: s.entry})
		return nil
	}
	return s
}

// promise answers an owner's asking.
func (n *Node) promise(now time.Time, from lovagestand.InstanceID, m Message) {
	s := n.current(now, from, m)
	if s == nil {
		return
	}
	if !n.confirmed(now) || !s.entry.HasStandby(n.self.ID) || s.entry.Owner != from {
		return
	}
	if s.takeover != nil && !s.sent {
		n.withdraw(s)
	}
	if len(s.seals) > 0 {
		n.send(from, Message{Kind: KindSealed, Entry: s.entry})
		return
	}
	s.promised = now.Add(n.timing.Promise)
	n.send(from, Message{Kind: KindLeaseGrant, Entry: short(s.entry), Sent: m.Sent})
}

// granted counts a standby's promise, from before it was asked for.
func (n *Node) granted(now time.Time, from lovagestand.InstanceID, m Message) {
	s := n.seats[m.Entry.Shard]
	if s == nil || s.entry.Epoch != m.Entry.Epoch || s.entry.Owner != n.self.ID || s.given {
		return
	}
	end := n.started.Add(m.Sent).Add(n.timing.Promise - n.timing.Guard)
	if end.After(s.grants[from]) {
		s.grants[from] = end
	}
	n.begin(now, s)
}

// short strips an entry down to what names it.
func short(e Entry) Entry {
	return Entry{Shard: e.Shard, Region: e.Region, Epoch: e.Epoch}
}
