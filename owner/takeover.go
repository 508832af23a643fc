package owner

import (
	"fmt"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
)

// takeover is one standby's attempt to take over a shard.
type takeover struct {
	attemptID string
	state     chart.State
	// awaitedRead is the number of the store read that the takeover waits for, or
	// 0.
	awaitedRead uint64
	// grantExpiries holds, for each standby that has consented, when an owner can
	// no longer rely on its grants.
	grantExpiries map[lovagestand.InstanceID]time.Time
	// standbyDead indicates that the takeover continues without the consent of a
	// standby that is presumed dead.
	standbyDead bool
}

// tickStandby starts a takeover once this standby's own grants have expired, and
// continues one that has started.
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

// collectConsents asks the standbys that have not consented yet to seal the epoch. The
// takeover continues once all have consented and their grants have expired. A standby
// that is presumed dead need not consent if the owner is presumed dead as well.
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

// takeoverReadDone continues a takeover that waits for a read of the store. The
// takeover is withdrawn if the read has failed and no write has been sent.
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

// withdrawTakeover withdraws a takeover whose write was never sent.
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

// handleSeal answers a standby that attempts a takeover. This instance refuses to
// seal the epoch while more than half of the lease that it last granted to the owner
// remains.
func (n *Node) handleSeal(now time.Time, from lovagestand.InstanceID, m Message) {
	s := n.currentShard(now, from, m)
	if s == nil {
		return
	}
	remaining := max(0, s.grantExpiry(n.timing).Sub(now))
	if remaining > n.timing.GrantDuration/2 {
		return
	}
	s.seals[m.Attempt] = true
	n.send(from, Message{Kind: KindConsent, Entry: identityOf(s.entry), Attempt: m.Attempt, Remaining: remaining})
}

// handleConsent records a standby's consent to a takeover.
func (n *Node) handleConsent(now time.Time, from lovagestand.InstanceID, m Message) {
	s := n.shards[m.Entry.Shard]
	if s == nil || s.entry.Epoch != m.Entry.Epoch || s.takeover == nil || s.takeover.attemptID != m.Attempt {
		return
	}
	s.takeover.grantExpiries[from] = now.Add(m.Remaining)
	n.collectConsents(now, s)
}

// handleUnseal removes the seal of a takeover attempt that was withdrawn.
func (n *Node) handleUnseal(m Message) {
	s := n.shards[m.Entry.Shard]
	if s != nil && s.entry.Epoch == m.Entry.Epoch {
		delete(s.seals, m.Attempt)
	}
}
