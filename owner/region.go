package owner

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
)

// maxFailures limits the growth of the backoff between calls to the store to 8
// heartbeats.
const maxFailures = 3

// region is the last document of one region and the state of the calls to the store
// for it.
type region struct {
	name     lovagestand.RegionName
	document Document
	revision lovagestand.Revision
	loaded   bool
	// readCount is the number of reads that have begun, and wantedRead is the
	// number of the last read that has been requested.
	readCount, wantedRead uint64
	readPending           bool
	writePending          bool
	// readRequired indicates that the document has to be read before the next
	// write, because the last write has met a conflict or its outcome is unknown.
	readRequired bool
	// writeBase is the revision that the last write was to replace.
	writeBase lovagestand.Revision
	// answeredAt is when the store last answered, and failures is how many reads
	// have failed since, up to maxFailures. Reads that can wait, and takeovers, do
	// not begin before retryAt.
	answeredAt time.Time
	failures   int
	retryAt    time.Time
}

// recordStoreAnswer records whether the store has answered. While it does not, the
// backoff between calls grows.
func (n *Node) recordStoreAnswer(now time.Time, r *region, ok bool) {
	if ok {
		r.answeredAt = now
		r.failures = 0
		r.retryAt = time.Time{}
		return
	}
	r.failures = min(r.failures+1, maxFailures)
	pause := n.timing.Heartbeat << r.failures
	jitter := xxhash.Sum64String(string(n.self.ID)+strconv.FormatUint(r.readCount, 10)) % uint64(pause)
	r.retryAt = now.Add(pause/2 + time.Duration(jitter))
}

// probeStore reports whether the store has answered within the last heartbeat. If it
// has not, probeStore requests a read, but not before retryAt.
func (n *Node) probeStore(now time.Time, r *region) bool {
	if now.Sub(r.answeredAt) < n.timing.Heartbeat && r.failures == 0 {
		return true
	}
	if !r.readPending && !now.Before(r.retryAt) {
		n.requestRead(r.name)
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

// requestRead requests a read that has not begun yet and returns its number.
func (n *Node) requestRead(name lovagestand.RegionName) uint64 {
	r := n.region(name)
	r.wantedRead = r.readCount + 1
	n.startRead(r)
	return r.wantedRead
}

func (n *Node) startRead(r *region) {
	if r.readPending || r.readCount >= r.wantedRead {
		return
	}
	r.readPending = true
	r.readCount++
	n.effects = append(n.effects, Read{Region: r.name})
}

// ReadDone reports the result of a [Read]. ok is false if it has failed.
func (n *Node) ReadDone(now time.Time, d Document, revision lovagestand.Revision, ok bool) []Effect {
	r := n.region(d.Region)
	r.readPending = false
	n.recordStoreAnswer(now, r, ok)
	if ok {
		r.readRequired = false
		n.observeDocument(now, r, d, revision)
	}
	for _, s := range n.shardsOf(r.name) {
		if s.takeover != nil && s.takeover.awaitedRead != 0 && s.takeover.awaitedRead <= r.readCount {
			s.takeover.awaitedRead = 0
			n.takeoverReadDone(now, s, ok)
		}
		if s.handover != nil && s.handover.awaitedRead != 0 && s.handover.awaitedRead <= r.readCount {
			s.handover.awaitedRead = 0
			n.handoverReadDone(now, s, ok)
		}
		if !ok && s.handover != nil && s.handover.state == handoverPassing {
			s.handover.withoutStore = true
			n.continueHandover(now, s)
		}
	}
	n.startRead(r)
	n.planWrite(now, r)
	return n.takeEffects()
}

// Watched reports a region's document that a watch of the store has returned.
func (n *Node) Watched(now time.Time, d Document, revision lovagestand.Revision) []Effect {
	r := n.region(d.Region)
	n.observeDocument(now, r, d, revision)
	n.planWrite(now, r)
	return n.takeEffects()
}

// WriteDone reports the result of a [Write]. After a write that has failed, a read
// shows whether it took effect: an entry names the owner of an epoch, and an instance
// has a new name after each restart, so the entry shows whose write it was.
func (n *Node) WriteDone(now time.Time, d Document, revision lovagestand.Revision, err error) []Effect {
	r := n.region(d.Region)
	r.writePending = false
	if err == nil {
		n.recordStoreAnswer(now, r, true)
		n.notifyNewOwners(r, d)
		n.observeDocument(now, r, d, revision)
	} else {
		r.readRequired = true
		n.requestRead(r.name)
	}
	n.planWrite(now, r)
	return n.takeEffects()
}

// notifyNewOwners sends each new owner in a document that was just written its entry.
func (n *Node) notifyNewOwners(r *region, d Document) {
	for _, e := range d.Entries {
		previous, ok := r.document.Entry(e.Shard)
		if e.Owner != n.self.ID && (!ok || previous.Epoch < e.Epoch) {
			n.send(e.Owner, Message{Kind: KindPass, Entry: e})
		}
	}
}

// observeDocument applies the entries of a document that is newer than the last one.
// Once the store has a later revision than the one that a write was to replace, that
// write has taken effect or never will.
func (n *Node) observeDocument(now time.Time, r *region, d Document, revision lovagestand.Revision) {
	if r.loaded && revision <= r.revision {
		return
	}
	r.loaded = true
	r.document = d
	r.revision = revision
	for _, e := range d.Entries {
		n.applyEntry(now, e)
	}
	if revision <= r.writeBase {
		return
	}
	for _, s := range n.shardsOf(r.name) {
		s.endWritePending = false
	}
}

// planWrite writes all changes of a region that are due, in a single write.
func (n *Node) planWrite(now time.Time, r *region) {
	if !r.loaded || r.writePending || r.readRequired {
		return
	}
	entries := n.dueEntries(now, r)
	if len(entries) == 0 || !n.probeStore(now, r) {
		return
	}
	for _, e := range entries {
		s := n.shards[e.Shard]
		if s != nil && e.Epoch > s.entry.Epoch {
			s.recordEndWrite(e)
		}
	}
	r.writePending = true
	r.writeBase = r.revision
	n.effects = append(n.effects, Write{Document: r.document.With(entries...), Previous: r.revision})
}

// dueEntries returns the entries that this instance wants to write for a region.
func (n *Node) dueEntries(now time.Time, r *region) []Entry {
	var entries []Entry
	for _, s := range n.shardsOf(r.name) {
		e, ok := n.dueEntry(now, r, s)
		if ok {
			entries = append(entries, e)
		}
	}
	return append(entries, n.assignments(now, r)...)
}

// recordEndWrite records that an entry that ends this epoch is being written.
func (s *shardState) recordEndWrite(next Entry) {
	if !s.endWritePending {
		s.commonStandbys = s.entry.Standbys
	}
	s.endWritePending = true
	var common []lovagestand.InstanceID
	for _, id := range s.commonStandbys {
		if next.HasStandby(id) {
			common = append(common, id)
		}
	}
	s.commonStandbys = common
}

// dueEntry returns the entry that this instance wants to write for a shard, and false
// if there is none. An owner also writes its present entry if the store still lacks it
// two heartbeats after the owner received it.
func (n *Node) dueEntry(now time.Time, r *region, s *shardState) (Entry, bool) {
	if s.takeover != nil && s.takeover.state == takeoverReady {
		e := s.entry
		if s.takeover.standbyDead {
			e = e.skipUnstoredEpochs()
		}
		return e.Next(n.self.ID, n.chooseStandbys(now, e, n.self.ID, ""), false), true
	}
	if s.entry.Owner != n.self.ID {
		return Entry{}, false
	}
	if s.handover != nil && s.handover.state == handoverPassing {
		return s.handover.nextEntry, s.handover.nextEntryDue(now)
	}
	if e, ok := n.standbyChange(now, s); ok {
		return e, true
	}
	written, _ := r.document.Entry(s.entry.Shard)
	overdue := now.Sub(s.learnedAt) > 2*n.timing.Heartbeat
	return s.entry, overdue && written.Epoch < s.entry.Epoch
}
