package claim

import (
	"time"
)

// entry is the state of one key in the memory of a partition.
type entry struct {
	claim Claim
	// version is increased by each change of claim. sent is the last version
	// that was part of a write, stored the last one that is guaranteed to be in
	// the store, and attemptVersion the one that began the attempt.
	version, sent, stored, attemptVersion uint64
	// ready is closed when the attempt is guaranteed to be in the store.
	ready chan struct{}
	// queued is set while the entry waits for the next write.
	queued bool
	// inHead is set if the next head contains the claim.
	inHead bool
	// archive is the store key of the archive that contains the claim; empty if
	// the head contains it.
	archive string
	// waiting is the number of calls that wait for the attempt, by request ID.
	waiting map[string]int
	// holder is the ID of the first request that received the attempt. shared is
	// set if other requests may have received it too.
	holder string
	shared bool
}

// newEntry returns the entry of a claim that is not in the store yet.
func newEntry(c Claim) *entry {
	return &entry{
		claim:          c,
		version:        1,
		attemptVersion: 1,
		ready:          make(chan struct{}),
		waiting:        make(map[string]int),
	}
}

// loadedEntry returns the entry of a claim that was read from the store. It is
// marked as shared, because the store does not record its holders.
func loadedEntry(c Claim, archive string) *entry {
	e := newEntry(c)
	e.sent = 1
	e.stored = 1
	e.shared = true
	e.archive = archive
	close(e.ready)
	return e
}

// granted reports whether the attempt is guaranteed to be in the store.
func (e *entry) granted() bool {
	return e.stored >= e.attemptVersion
}

// set replaces the claim without beginning another attempt.
func (e *entry) set(c Claim) {
	e.claim = c
	e.version++
}

// begin replaces the claim by that of a new attempt.
func (e *entry) begin(c Claim) {
	e.set(c)
	e.attemptVersion = e.version
	e.ready = make(chan struct{})
	e.holder = ""
	e.shared = false
	e.waiting = make(map[string]int)
}

// recordStored records that a version is guaranteed to be in the store.
func (e *entry) recordStored(version uint64) {
	wasGranted := e.granted()
	e.stored = max(e.stored, version)
	if !wasGranted && e.granted() {
		close(e.ready)
	}
}

// addHolder records that the request with an ID receives the attempt.
func (e *entry) addHolder(id string) {
	if e.holder == "" && !e.shared {
		e.holder = id
	}
	if e.holder != id {
		e.shared = true
	}
}

// heldOnlyBy reports whether the request with an ID is the only one that has
// received the attempt.
func (e *entry) heldOnlyBy(id string) bool {
	return id != "" && !e.shared && e.holder == id
}

// removeWaiter records that a call of the request with an ID no longer waits for
// the attempt.
func (e *entry) removeWaiter(id string) {
	e.waiting[id]--
	if e.waiting[id] <= 0 {
		delete(e.waiting, id)
	}
}

// awaitedByOthers reports whether any other request waits for the attempt.
func (e *entry) awaitedByOthers(id string) bool {
	for other := range e.waiting {
		if other != id {
			return true
		}
	}
	return false
}

// expired reports whether the entry can be removed from memory.
func (e *entry) expired(now time.Time) bool {
	return len(e.waiting) == 0 && !e.queued && e.stored == e.version && !now.Before(e.claim.ExpiresAt())
}
