package owner

import (
	"cmp"
	"time"

	"lovagestand.example/lovagestand"
)

// droppedSeal is the seal by which an instance that the member list has dropped
// binds itself.
const droppedSeal = "dropped"

// remoteTimeoutFactor is by how much longer an instance of another region, which is
// heard of less often, may be silent.
const remoteTimeoutFactor = 3

// peer is what is known of one instance.
type peer struct {
	instance lovagestand.Instance
	// lastContact is when it last spoke.
	lastContact time.Time
	// absentSince is since when the member list lacks it; zero if it is listed.
	absentSince time.Time
	listed      bool
}

// memberList is what is known of the member list.
type memberList struct {
	// attemptedAt is when the last try to read the list began, whether it went
	// well or not; read is the same for the last one that went well.
	attemptedAt, readAt time.Time
	// selfSeen says that the list once held this instance, gone that it no more
	// does.
	selfSeen, selfDropped bool
}

// MemberListRead reports a reading of the member list that began at began.
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

// MemberListFailed reports that the member list could not be read.
func (n *Node) MemberListFailed(began time.Time) {
	n.recordListAttempt(began)
}

// recordListAttempt notes a try at reading the list. After too long without one, as after a
// pause, the list may have dropped this instance and taken it up again since.
func (n *Node) recordListAttempt(began time.Time) {
	if !n.memberList.attemptedAt.IsZero() && began.Sub(n.memberList.attemptedAt) >= n.timing.ListFresh {
		n.endAllEpochs()
	}
	if began.After(n.memberList.attemptedAt) {
		n.memberList.attemptedAt = began
	}
}

// updateSelfListed stops all that this instance does once the list has dropped it,
// since others may count it as dead. Coming back it starts with new epochs.
func (n *Node) updateSelfListed(listed bool) {
	dropped := n.memberList.selfSeen && !listed
	if dropped != n.memberList.selfDropped {
		n.endAllEpochs()
	}
	n.memberList.selfDropped = dropped
	n.memberList.selfSeen = n.memberList.selfSeen || listed
}

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

// RecordContact notes that an instance has spoken.
func (n *Node) RecordContact(now time.Time, i lovagestand.Instance) {
	p := n.ensurePeer(i)
	p.instance = i
	p.lastContact = now
}

// Instance returns what is known of an instance; false if nothing is.
func (n *Node) Instance(id lovagestand.InstanceID) (lovagestand.Instance, bool) {
	p := n.peers[id]
	if p == nil {
		return lovagestand.Instance{}, false
	}
	return p.instance, true
}

// LiveInstances returns the instances that are listed or were heard of lately.
func (n *Node) LiveInstances(now time.Time) []lovagestand.Instance {
	var live []lovagestand.Instance
	for id, p := range n.peers {
		if id == n.self.ID || p.listed || now.Sub(p.lastContact) < n.timing.Replace {
			live = append(live, p.instance)
		}
	}
	return live
}

// PruneInstances drops instances that the list has lacked for long and that no entry
// names.
func (n *Node) PruneInstances(now time.Time) {
	referenced := map[lovagestand.InstanceID]bool{n.self.ID: true}
	for _, s := range n.shards {
		referenced[s.entry.Owner] = true
		for _, id := range s.entry.Standbys {
			referenced[id] = true
		}
	}
	for id, p := range n.peers {
		if !referenced[id] && !p.absentSince.IsZero() && now.Sub(p.absentSince) > 2*n.timing.Dropped {
			delete(n.peers, id)
		}
	}
}

func (n *Node) ensurePeer(i lovagestand.Instance) *peer {
	p := n.peers[i.ID]
	if p == nil {
		p = &peer{instance: i}
		n.peers[i.ID] = p
	}
	return p
}

// mayAct reports whether this instance may act and promise: it has lately
// tried to read the member list and was not dropped from it.
func (n *Node) mayAct(now time.Time) bool {
	return !n.memberList.selfDropped && now.Sub(n.memberList.attemptedAt) < n.timing.ListFresh
}

// eligible reports whether an instance may be given something to own.
func (n *Node) eligible(now time.Time, id lovagestand.InstanceID) bool {
	p := n.peers[id]
	if id == n.self.ID {
		return !n.leaving && !n.memberList.selfDropped
	}
	if p == nil || !p.listed || p.instance.Leaving || p.lastContact.IsZero() {
		return false
	}
	timeout := n.timing.Replace
	if p.instance.Region != n.self.Region {
		timeout *= remoteTimeoutFactor
	}
	return now.Sub(p.lastContact) < timeout
}

// presumedDead reports whether the member list has lacked an instance for so long
// that it counts as dead. One that was heard of lately does not.
func (n *Node) presumedDead(now time.Time, id lovagestand.InstanceID) bool {
	p := n.peers[id]
	if id == n.self.ID || p == nil && n.memberList.readAt.IsZero() {
		return false
	}
	if p == nil {
		p = n.ensurePeer(lovagestand.Instance{ID: id})
		p.absentSince = now
	}
	listFresh := now.Sub(n.memberList.readAt) < n.timing.ListFresh
	unresponsive := now.Sub(p.lastContact) >= n.timing.Dropped
	return listFresh && unresponsive && !p.absentSince.IsZero() && now.Sub(p.absentSince) >= n.timing.Dropped
}

// instance returns what is known of an instance, this one included.
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
