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
	attemptID string
	state     chart.State
	// awaitedRead is the number of the store read that is waited for.
	awaitedRead uint64
	// grantExpiries are the ends of the standbys' promises, of those who consented.
	grantExpiries map[lovagestand.InstanceID]time.Time
	// standbyDead says that the member list spoke for a standby.
	standbyDead bool
}

// tickStandby begins or goes on with a takeover whose time has come.
func (n *Node) tickStandby(now time.Time, s *shardState) {
	rank := slices.Index(s.entry.Standbys, n.self.ID)
	if rank < 0 || !n.mayAct(now) || n.leaving && len(s.entry.Standbys) > 1 && s.takeover == nil {
		return
	}
	if s.takeover != nil {
		n.collectConsents(now, s)
		return
	}
	if now.Before(s.grantExpiry(n.timing).Add(time.Duration(rank) * n.timing.Stagger)) {
		return
	}
	if now.Before(n.region(s.entry.Region).retryAt) {
		return
	}
	n.takeoverAttempts++
	s.takeover = &takeover{
		attemptID:     fmt.Sprintf("%s/%d", n.self.ID, n.takeoverAttempts),
		state:         takeoverChart.Initial(),
		awaitedRead:   n.requestRead(s.entry.Region),
		grantExpiries: map[lovagestand.InstanceID]time.Time{},
	}
}

// collectConsents goes on with a takeover that waits for consent.
func (n *Node) collectConsents(now time.Time, s *shardState) {
	t := s.takeover
	if t.state != takeoverSealing {
		return
	}
	ready := true
	ownerDead := n.presumedDead(now, s.entry.Owner)
	for _, id := range s.entry.Standbys {
		if expiry, ok := t.grantExpiries[id]; ok {
			ready = ready && !now.Before(expiry)
			continue
		}
		if n.presumedDead(now, id) && ownerDead {
			t.standbyDead = true
			continue
		}
		ready = false
		n.send(id, Message{Kind: KindSeal, Entry: s.entry, Attempt: t.attemptID})
	}
	if ready {
		advance(takeoverChart, &t.state, takeoverConsent)
		t.awaitedRead = n.requestRead(s.entry.Region)
	}
}

// takeoverReadDone goes on with a takeover that waits for the store.
func (n *Node) takeoverReadDone(now time.Time, s *shardState, ok bool) {
	t := s.takeover
	if !ok {
		if !s.endWritePending {
			n.withdrawTakeover(s)
		}
		return
	}
	if advance(takeoverChart, &t.state, takeoverAnswer) && t.state == takeoverSealing {
		s.seals[t.attemptID] = true
		t.grantExpiries[n.self.ID] = s.grantExpiry(n.timing)
		n.collectConsents(now, s)
	}
}

// withdrawTakeover gives up a takeover whose write was never sent.
func (n *Node) withdrawTakeover(s *shardState) {
	t := s.takeover
	s.takeover = nil
	delete(s.seals, t.attemptID)
	notAsked := t.state == takeoverChecking
	if !advance(takeoverChart, &t.state, takeoverWithdraw) || notAsked {
		return
	}
	for _, id := range s.entry.Standbys {
		if id != n.self.ID {
			n.send(id, Message{Kind: KindUnseal, Entry: identityOf(s.entry), Attempt: t.attemptID})
		}
	}
}

// handleSeal answers a standby that wants to take over. An owner heard of lately is
// not given up.
func (n *Node) handleSeal(now time.Time, from lovagestand.InstanceID, m Message) {
	s := n.currentShard(now, from, m)
	if s == nil {
		return
	}
	remaining := max(0, s.grantExpiry(n.timing).Sub(now))
	if remaining > n.timing.Promise/2 {
		return
	}
	s.seals[m.Attempt] = true
	n.send(from, Message{Kind: KindConsent, Entry: identityOf(s.entry), Attempt: m.Attempt, Remaining: remaining})
}

// handleConsent counts a standby's consent.
func (n *Node) handleConsent(now time.Time, from lovagestand.InstanceID, m Message) {
	s := n.shards[m.Entry.Shard]
	if s == nil || s.entry.Epoch != m.Entry.Epoch || s.takeover == nil || s.takeover.attemptID != m.Attempt {
		return
	}
	s.takeover.grantExpiries[from] = now.Add(m.Remaining)
	n.collectConsents(now, s)
}

// handleUnseal forgets the consent to an attempt that was withdrawn.
func (n *Node) handleUnseal(m Message) {
	s := n.shards[m.Entry.Shard]
	if s != nil && s.entry.Epoch == m.Entry.Epoch {
		delete(s.seals, m.Attempt)
	}
}
