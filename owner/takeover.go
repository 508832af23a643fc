package owner

import (
	"fmt"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
)

// takeover is one standby's try to own a shard.
type takeover struct {
	attempt string
	stage   chart.State
	// read is the number of the store read that is waited for.
	read uint64
	// lapses are the ends of the standbys' promises, of those who consented.
	lapses map[lovagestand.InstanceID]time.Time
	// dropped says that the member list spoke for a standby.
	dropped bool
}

// watchOwner begins or goes on with a takeover whose time has come.
func (n *Node) watchOwner(now time.Time, s *seat) {
	rank := slices.Index(s.entry.Standbys, n.self.ID)
	if rank < 0 || !n.confirmed(now) || n.leaving && len(s.entry.Standbys) > 1 && s.takeover == nil {
		return
	}
	if s.takeover != nil {
		n.collect(now, s)
		return
	}
	if now.Before(s.lapse(n.timing).Add(time.Duration(rank) * n.timing.Stagger)) {
		return
	}
	if now.Before(n.region(s.entry.Region).retry) {
		return
	}
	n.attempts++
	s.takeover = &takeover{
		attempt: fmt.Sprintf("%s/%d", n.self.ID, n.attempts),
		stage:   takeoverChart.Initial(),
		read:    n.read(s.entry.Region),
		lapses:  map[lovagestand.InstanceID]time.Time{},
	}
}

// collect goes on with a takeover that waits for consent.
func (n *Node) collect(now time.Time, s *seat) {
	t := s.takeover
	if t.stage != takeoverSealing {
		return
	}
	ready := true
	ownerDropped := n.dropped(now, s.entry.Owner)
	for _, id := range s.entry.Standbys {
		if lapse, ok := t.lapses[id]; ok {
			ready = ready && !now.Before(lapse)
			continue
		}
		if n.dropped(now, id) && ownerDropped {
			t.dropped = true
			continue
		}
		ready = false
		n.send(id, Message{Kind: KindSeal, Entry: s.entry, Attempt: t.attempt})
	}
	if ready {
		follow(takeoverChart, &t.stage, takeoverConsent)
		t.read = n.read(s.entry.Region)
	}
}

// storeAnswered goes on with a takeover that waits for the store.
func (n *Node) storeAnswered(now time.Time, s *seat, ok bool) {
	t := s.takeover
	if !ok {
		if !s.sent {
			n.withdraw(s)
		}
		return
	}
	if follow(takeoverChart, &t.stage, takeoverAnswer) && t.stage == takeoverSealing {
		s.seals[t.attempt] = true
		t.lapses[n.self.ID] = s.lapse(n.timing)
		n.collect(now, s)
	}
}

// withdraw gives up a takeover whose write was never sent.
func (n *Node) withdraw(s *seat) {
	t := s.takeover
	s.takeover = nil
	delete(s.seals, t.attempt)
	unasked := t.stage == takeoverChecking
	if !follow(takeoverChart, &t.stage, takeoverWithdraw) || unasked {
		return
	}
	for _, id := range s.entry.Standbys {
		if id != n.self.ID {
			n.send(id, Message{Kind: KindUnseal, Entry: short(s.entry), Attempt: t.attempt})
		}
	}
}

// seal answers a standby that wants to take over. An owner heard of lately is
// not given up.
func (n *Node) seal(now time.Time, from lovagestand.InstanceID, m Message) {
	s := n.current(now, from, m)
	if s == nil {
		return
	}
	remaining := max(0, s.lapse(n.timing).Sub(now))
	if remaining > n.timing.Promise/2 {
		return
	}
	s.seals[m.Attempt] = true
	n.send(from, Message{Kind: KindConsent, Entry: short(s.entry), Attempt: m.Attempt, Remaining: remaining})
}

// consented counts a standby's consent.
func (n *Node) consented(now time.Time, from lovagestand.InstanceID, m Message) {
	s := n.seats[m.Entry.Shard]
	if s == nil || s.entry.Epoch != m.Entry.Epoch || s.takeover == nil || s.takeover.attempt != m.Attempt {
		return
	}
	s.takeover.lapses[from] = now.Add(m.Remaining)
	n.collect(now, s)
}

// unseal forgets the consent to an attempt that was withdrawn.
func (n *Node) unseal(m Message) {
	s := n.seats[m.Entry.Shard]
	if s != nil && s.entry.Epoch == m.Entry.Epoch {
		delete(s.seals, m.Attempt)
	}
}
