package owner

import (
	"cmp"
	"time"

	"lovagestand.example/lovagestand"
)

// dropSeal is the seal by which an instance that the member list has dropped
// binds itself.
const dropSeal = "dropped"

// remoteSilence is by how much longer an instance of another region, which is
// heard of less often, may be silent.
const remoteSilence = 3

// peer is what is known of one instance.
type peer struct {
	instance lovagestand.Instance
	// heard is when it last spoke.
	heard time.Time
	// absent is since when the member list lacks it; zero if it is listed.
	absent time.Time
	listed bool
}

// listing is what is known of the member list.
type listing struct {
	// checked is when the last try to read the list began, whether it went
	// well or not; read is the same for the last one that went well.
	checked, read time.Time
	// seen says that the list once held this instance, gone that it no more
	// does.
	seen, gone bool
}

// MemberListRead reports a reading of the member list that began at began.
func (n *Node) MemberListRead(now, began time.Time, members []lovagestand.Instance) []Effect {
	if began.Before(n.list.read) {
		return nil
	}
	n.check(began)
	n.list.read = began
	listed := map[lovagestand.InstanceID]bool{}
	for _, i := range members {
		listed[i.ID] = true
		p := n.meet(i)
		p.listed = true
		p.absent = time.Time{}
		p.instance.Leaving = p.instance.Leaving || i.Leaving
	}
	for id, p := range n.peers {
		if !listed[id] && p.absent.IsZero() {
			p.listed = false
			p.absent = now
		}
	}
	n.judgeSelf(listed[n.self.ID])
	return n.take()
}

// MemberListFailed reports that the member list could not be read.
func (n *Node) MemberListFailed(began time.Time) {
	n.check(began)
}

// check notes a try at reading the list. After too long without one, as after a
// pause, the list may have dropped this instance and taken it up again since.
func (n *Node) check(began time.Time) {
	if !n.list.checked.IsZero() && began.Sub(n.list.checked) >= n.timing.ListFresh {
		n.stopAll()
	}
	if began.After(n.list.checked) {
		n.list.checked = began
	}
}

// judgeSelf stops all that this instance does once the list has dropped it,
// since others may count it as dead. Coming back it starts with new epochs.
func (n *Node) judgeSelf(listed bool) {
	gone := n.list.seen && !listed
	if gone != n.list.gone {
		n.stopAll()
	}
	n.list.gone = gone
	n.list.seen = n.list.seen || listed
}

func (n *Node) stopAll() {
	n.version++
	for _, s := range n.seats {
		s.seals[dropSeal] = true
		if s.takeover != nil && !s.sent {
			s.takeover = nil
		}
		if s.entry.Owner == n.self.ID {
			s.given = true
			s.leftover = time.Time{}
		}
	}
}

// RecordContact notes that an instance has spoken.
func (n *Node) RecordContact(now time.Time, i lovagestand.Instance) {
	p := n.meet(i)
	p.instance = i
	p.heard = now
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
		if id == n.self.ID || p.listed || now.Sub(p.heard) < n.timing.Replace {
			live = append(live, p.instance)
		}
	}
	return live
}

// PruneInstances drops instances that the list has lacked for long and that no entry
// names.
func (n *Node) PruneInstances(now time.Time) {
	named := map[lovagestand.InstanceID]bool{n.self.ID: true}
	for _, s := range n.seats {
		named[s.entry.Owner] = true
		for _, id := range s.entry.Standbys {
			named[id] = true
		}
	}
	for id, p := range n.peers {
		if !named[id] && !p.absent.IsZero() && now.Sub(p.absent) > 2*n.timing.Dropped {
			delete(n.peers, id)
		}
	}
}

func (n *Node) meet(i lovagestand.Instance) *peer {
	p := n.peers[i.ID]
	if p == nil {
		p = &peer{instance: i}
		n.peers[i.ID] = p
	}
	return p
}

// confirmed reports whether this instance may act and promise: it has lately
// tried to read the member list and was not dropped from it.
func (n *Node) confirmed(now time.Time) bool {
	return !n.list.gone && now.Sub(n.list.checked) < n.timing.ListFresh
}

// usable reports whether an instance may be given something to own.
func (n *Node) usable(now time.Time, id lovagestand.InstanceID) bool {
	p := n.peers[id]
	if id == n.self.ID {
		return !n.leaving && !n.list.gone
	}
	if p == nil || !p.listed || p.instance.Leaving || p.heard.IsZero() {
		return false
	}
	silence := n.timing.Replace
	if p.instance.Region != n.self.Region {
		silence *= remoteSilence
	}
	return now.Sub(p.heard) < silence
}

// dropped reports whether the member list has lacked an instance for so long
// that it counts as dead. One that was heard of lately does not.
func (n *Node) dropped(now time.Time, id lovagestand.InstanceID) bool {
	p := n.peers[id]
	if id == n.self.ID || p == nil && n.list.read.IsZero() {
		return false
	}
	if p == nil {
		p = n.meet(lovagestand.Instance{ID: id})
		p.absent = now
	}
	fresh := now.Sub(n.list.read) < n.timing.ListFresh
	silent := now.Sub(p.heard) >= n.timing.Dropped
	return fresh && silent && !p.absent.IsZero() && now.Sub(p.absent) >= n.timing.Dropped
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
