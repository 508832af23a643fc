package owner

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
)

// maxFailures bounds how far the pauses between tries at the store grow: to
// 8 heartbeats.
const maxFailures = 3

// region is what is known of one region's document and asked of the store.
type region struct {
	name     lovagestand.RegionName
	document Document
	revision lovagestand.Revision
	known    bool
	// reads counts the reads begun, wanted is the number of the last one that
	// somebody waits for.
	reads, wanted uint64
	reading       bool
	writing       bool
	// unclear says that the document has to be read before the next write: the
	// last one met a conflict, or may or may not have taken effect.
	unclear  bool
	sentWith lovagestand.Revision
	// answered is when the store last answered, failures how often it did not
	// since, and retry when it is asked again for what can wait.
	answered time.Time
	failures int
	retry    time.Time
}

// answers notes whether the store answered; while it does not, it is asked
// ever less often.
func (n *Node) answers(now time.Time, r *region, ok bool) {
	if ok {
		r.answered = now
		r.failures = 0
		r.retry = time.Time{}
		return
	}
	r.failures = min(r.failures+1, maxFailures)
	pause := n.timing.Heartbeat << r.failures
	jitter := xxhash.Sum64String(string(n.self.ID)+strconv.FormatUint(r.reads, 10)) % uint64(pause)
	r.retry = now.Add(pause/2 + time.Duration(jitter))
}

// probe asks the store whether it answers, unless it did just now; false if
// that is not known yet.
func (n *Node) probe(now time.Time, r *region) bool {
	if now.Sub(r.answered) < n.timing.Heartbeat && r.failures == 0 {
		return true
	}
	if !r.reading && !now.Before(r.retry) {
		n.read(r.name)
	}
	return false
}

func (n *Node) region(name lovagestand.RegionName) *region {
	r := n.regions[name]
	if r == nil {
		r = &region{name: name, document: Document{Region: name}}
		n.regions[name] = r
	}
	return r
}

// read asks for a read that begins from now on and returns its number.
func (n *Node) read(name lovagestand.RegionName) uint64 {
	r := n.region(name)
	r.wanted = r.reads + 1
	n.startRead(r)
	return r.wanted
}

func (n *Node) startRead(r *region) {
	if r.reading || r.reads >= r.wanted {
		return
	}
	r.reading = true
	r.reads++
	n.effects = append(n.effects, Read{Region: r.name})
}

// ReadDone reports a read asked for by [Read]; ok is false if it failed.
func (n *Node) ReadDone(now time.Time, d Document, revision lovagestand.Revision, ok bool) []Effect {
	r := n.region(d.Region)
	r.reading = false
	n.answers(now, r, ok)
	if ok {
		r.unclear = false
		n.observe(now, r, d, revision)
	}
	for _, s := range n.seatsOf(r.name) {
		if s.takeover != nil && s.takeover.read != 0 && s.takeover.read <= r.reads {
			s.takeover.read = 0
			n.storeAnswered(now, s, ok)
		}
		if s.handover != nil && s.handover.read != 0 && s.handover.read <= r.reads {
			s.handover.read = 0
			n.chosenWay(now, s, ok)
		}
		if !ok && s.handover != nil && s.handover.stage == handoverPassing {
			s.handover.byHand = true
			n.passOn(now, s)
		}
	}
	n.startRead(r)
	n.plan(now, r)
	return n.take()
}

// Watched reports a region's document as the store has it.
func (n *Node) Watched(now time.Time, d Document, revision lovagestand.Revision) []Effect {
	r := n.region(d.Region)
	n.observe(now, r, d, revision)
	n.plan(now, r)
	return n.take()
}

// WriteDone reports how a write asked for by [Write] went. One that failed is
// settled by reading: an epoch names its owner, whose name is that of one run,
// so an entry that is found tells whose write it was.
func (n *Node) WriteDone(now time.Time, d Document, revision lovagestand.Revision, err error) []Effect {
	r := n.region(d.Region)
	r.writing = false
	if err == nil {
		n.answers(now, r, true)
		n.announce(r, d)
		n.observe(now, r, d, revision)
	} else {
		r.unclear = true
		n.read(r.name)
	}
	n.plan(now, r)
	return n.take()
}

// announce tells the new owners in a document that was just written.
func (n *Node) announce(r *region, d Document) {
	for _, e := range d.Entries {
		before, ok := r.document.Entry(e.Shard)
		if e.Owner != n.self.ID && (!ok || before.Epoch < e.Epoch) {
			n.send(e.Owner, Message{Kind: KindPass, Entry: e})
		}
	}
}

// observe learns a document. Once the store is past the revision with which a
// write was sent, that write has had its effect or never will.
func (n *Node) observe(now time.Time, r *region, d Document, revision lovagestand.Revision) {
	if r.known && revision <= r.revision {
		return
	}
	r.known = true
	r.document = d
	r.revision = revision
	for _, e := range d.Entries {
		n.learn(now, e)
	}
	if revision <= r.sentWith {
		return
	}
	for _, s := range n.seatsOf(r.name) {
		s.sent = false
	}
}

// plan writes all changes of a region that are due, in one go.
func (n *Node) plan(now time.Time, r *region) {
	if !r.known || r.writing || r.unclear {
		return
	}
	entries := n.due(now, r)
	if len(entries) == 0 || !n.probe(now, r) {
		return
	}
	for _, e := range entries {
		s := n.seats[e.Shard]
		if s != nil && e.Epoch > s.entry.Epoch {
			s.share(e)
		}
	}
	r.writing = true
	r.sentWith = r.revision
	n.effects = append(n.effects, Write{Document: r.document.With(entries...), Previous: r.revision})
}

// due returns the entries that this instance wants written.
func (n *Node) due(now time.Time, r *region) []Entry {
	var entries []Entry
	for _, s := range n.seatsOf(r.name) {
		e, ok := n.next(now, r, s)
		if ok {
			entries = append(entries, e)
		}
	}
	return append(entries, n.assign(now, r)...)
}

// share notes that an entry is sent which ends this epoch.
func (s *seat) share(next Entry) {
	if !s.sent {
		s.shared = s.entry.Standbys
	}
	s.sent = true
	var shared []lovagestand.InstanceID
	for _, id := range s.shared {
		if next.HasStandby(id) {
			shared = append(shared, id)
		}
	}
	s.shared = shared
}

// next returns the entry that this instance wants written for a shard.
func (n *Node) next(now time.Time, r *region, s *seat) (Entry, bool) {
	if s.takeover != nil && s.takeover.stage == takeoverReady {
		e := s.entry
		if s.takeover.dropped {
			e = e.beyond()
		}
		return e.Next(n.self.ID, n.standbys(now, e, n.self.ID, ""), false), true
	}
	if s.entry.Owner != n.self.ID {
		return Entry{}, false
	}
	if s.handover != nil && s.handover.stage == handoverPassing {
		return s.handover.next, s.handover.due(now)
	}
	if e, ok := n.regroup(now, s); ok {
		return e, true
	}
	written, _ := r.document.Entry(s.entry.Shard)
	late := now.Sub(s.learned) > 2*n.timing.Heartbeat
	return s.entry, late && written.Epoch < s.entry.Epoch
}
