package owner

import (
	"cmp"
	"time"

	"lovagestand.example/lovagestand"
)

// droppedSeal is the seal that an instance sets on all its epochs once it may have
// been dropped from the member list. No takeover attempt withdraws it.
const droppedSeal = "dropped"

// remoteTimeoutFactor is how many times longer an instance of another region may be
// unresponsive, since instances of different regions exchange fewer messages.
const remoteTimeoutFactor = 3

// peer is what this instance has seen of one instance.
type peer struct {
	instance lovagestand.Instance
	// lastContact is when the last message from the instance arrived.
	lastContact time.Time
	// absentSince is when the instance was first missing from the member list, or
	// zero if it is listed.
	absentSince time.Time
	listed      bool
}

// memberList is what this instance has seen of the member list.
type memberList struct {
	// attemptedAt is when the last attempt to read the list began, and readAt is
	// when the last successful attempt began.
	attemptedAt, readAt time.Time
	// selfSeen indicates that the list has contained this instance, and
	// selfDropped that it has done so but no longer does.
	selfSeen, selfDropped bool
}

// MemberListRead reports the result of a read of the member list that began at
// began.
func (n *Node) MemberListRead(now, began time.Time, members []lovagestand.Instance) []Effect {
	if began.Before(n.memberList.readAt) {
		return nil
	}
	n.recordListAttempt(began)
	n.memberList.readAt = began
	listed := map[lovagestand.InstanceID]bool{}
	for _, i := range members {
		listed[i.ID] = true
		p := n.ensurePeer(i)
		p.listed = true
		p.absentSince = time.Time{}
		p.instance.Leaving = p.instance.Leaving || i.Leaving
	}
	for id, p := range n.peers {
		if !listed[id] && p.absentSince.IsZero() {
			p.listed = false
			p.absentSince = now
		}
	}
	n.updateSelfListed(listed[n.self.ID])
	return n.takeEffects()
}

// MemberListFailed reports that a read of the member list that began at began has
// failed.
func (n *Node) MemberListFailed(began time.Time) {
	n.recordListAttempt(began)
}

// recordListAttempt records an attempt to read the member list. If the attempt before
// it is too long ago, for example because the process was paused, the list may have
// dropped this instance and listed it again in the meantime.
func (n *Node) recordListAttempt(began time.Time) {
	if !n.memberList.attemptedAt.IsZero() && began.Sub(n.memberList.attemptedAt) >= n.timing.MaxListAge {
		n.endAllEpochs()
	}
	if began.After(n.memberList.attemptedAt) {
		n.memberList.attemptedAt = began
	}
}

// updateSelfListed ends all epochs of this instance once the list has dropped it,
// because others may presume it dead. When it is listed again, it takes part in new
// epochs only.
func (n *Node) updateSelfListed(listed bool) {
	dropped := n.memberList.selfSeen && !listed
	if dropped != n.memberList.selfDropped {
		n.endAllEpochs()
	}
	n.memberList.selfDropped = dropped
	n.memberList.selfSeen = n.memberList.selfSeen || listed
}

// endAllEpochs seals the epochs of all shards, releases the shards that this instance
// owns, and drops its takeovers whose write has not been sent.
func (n *Node) endAllEpochs() {
	n.version++
	for _, s := range n.shards {
		s.seals[droppedSeal] = true
		if s.takeover != nil && !s.endWritePending {
			s.takeover = nil
		}
		if s.entry.Owner == n.self.ID {
			s.released = true
			s.previousLeaseEnd = time.Time{}
		}
	}
}

// RecordContact records that a message from an instance has arrived.
func (n *Node) RecordContact(now time.Time, i lovagestand.Instance) {
	p := n.ensurePeer(i)
	p.instance = i
	p.lastContact = now
}

// Instance returns an instance as last seen, and false if it has not been seen.
func (n *Node) Instance(id lovagestand.InstanceID) (lovagestand.Instance, bool) {
	p := n.peers[id]
	if p == nil {
		return lovagestand.Instance{}, false
	}
	return p.instance, true
}

// LiveInstances returns the instances that are listed or have sent a message
// recently.
func (n *Node) LiveInstances(now time.Time) []lovagestand.Instance {
	var live []lovagestand.Instance
	for id, p := range n.peers {
		if id == n.self.ID || p.listed || now.Sub(p.lastContact) < n.timing.ReplaceAfter {
			live = append(live, p.instance)
		}
	}
	return live
}

// PruneInstances removes the instances that have long been missing from the member
// list and that are neither owner nor standby in any entry.
func (n *Node) PruneInstances(now time.Time) {
	referenced := map[lovagestand.InstanceID]bool{n.self.ID: true}
	for _, s := range n.shards {
		referenced[s.entry.Owner] = true
		for _, id := range s.entry.Standbys {
			referenced[id] = true
		}
	}
	for id, p := range n.peers {
		if !referenced[id] && !p.absentSince.IsZero() && now.Sub(p.absentSince) > 2*n.timing.PresumedDeadAfter {
			delete(n.peers, id)
		}
	}
}

// ensurePeer returns the peer of an instance and adds it if it is missing.
func (n *Node) ensurePeer(i lovagestand.Instance) *peer {
	p := n.peers[i.ID]
	if p == nil {
		p = &peer{instance: i}
		n.peers[i.ID] = p
	}
	return p
}

// mayAct reports whether this instance may act as an owner and grant leases: it has
// recently tried to read the member list and has not been dropped from it.
func (n *Node) mayAct(now time.Time) bool {
	return !n.memberList.selfDropped && now.Sub(n.memberList.attemptedAt) < n.timing.MaxListAge
}

// eligible reports whether an instance may become an owner or a standby.
func (n *Node) eligible(now time.Time, id lovagestand.InstanceID) bool {
	p := n.peers[id]
	if id == n.self.ID {
		return !n.leaving && !n.memberList.selfDropped
	}
	if p == nil || !p.listed || p.instance.Leaving || p.lastContact.IsZero() {
		return false
	}
	timeout := n.timing.ReplaceAfter
	if p.instance.Region != n.self.Region {
		timeout *= remoteTimeoutFactor
	}
	return now.Sub(p.lastContact) < timeout
}

// presumedDead reports whether an instance has been missing from the member list for
// so long that it is presumed dead. An instance that has sent a message recently is
// not.
func (n *Node) presumedDead(now time.Time, id lovagestand.InstanceID) bool {
	p := n.peers[id]
	if id == n.self.ID || p == nil && n.memberList.readAt.IsZero() {
		return false
	}
	if p == nil {
		p = n.ensurePeer(lovagestand.Instance{ID: id})
		p.absentSince = now
	}
	listCurrent := now.Sub(n.memberList.readAt) < n.timing.MaxListAge
	unresponsive := now.Sub(p.lastContact) >= n.timing.PresumedDeadAfter
	return listCurrent && unresponsive && !p.absentSince.IsZero() && now.Sub(p.absentSince) >= n.timing.PresumedDeadAfter
}

// instance returns an instance as last seen. It includes this instance.
func (n *Node) instance(id lovagestand.InstanceID) lovagestand.Instance {
	if id == n.self.ID {
		return n.self
	}
	if p := n.peers[id]; p != nil {
		return p.instance
	}
	return lovagestand.Instance{ID: id}
}

func cmpShard(a, b lovagestand.ShardName) int {
	return cmp.Compare(a, b)
}
