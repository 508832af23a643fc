package claim

import (
	"time"
)

// entry is what a home knows of one key.
type entry struct {
	claim Claim
	// version counts the changes of claim. Of these, sent was the last put
	// into a write and stored the last that is surely in the store; claimed
	// was the one that began the attempt.
	version, sent, stored, attemptVersion uint64
	// ready is closed when the attempt is surely in the store.
	ready chan struct{}
	// queued says that the entry waits for the next write.
	queued bool
	// inHead says that the next head holds the claim.
	inHead bool
	// archive names the document that holds the claim; empty for the head.
	archive string
	// waiting counts the calls that wait for the attempt, by request ID.
	waiting map[string]int
	// holder is the first request ID to be given the attempt, shared says that
	// others may have been given it as well.
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

// loadedEntry returns the entry of a claim read from the store. Who has been
// given it is not known.
func loadedEntry(c Claim, archive string) *entry {
	e := newEntry(c)
	e.sent = 1
	e.stored = 1
	e.shared = true
	e.archive = archive
	close(e.ready)
	return e
}

// granted reports whether the attempt is surely in the store.
func (e *entry) granted() bool {
	return e.stored >= e.attemptVersion
}

// set changes the claim within its attempt.
func (e *entry) set(c Claim) {
	e.claim = c
	e.version++
}

// begin replaces the claim by a new attempt.
func (e *entry) begin(c Claim) {
	e.set(c)
	e.attemptVersion = e.version
	e.ready = make(chan struct{})
	e.holder = ""
	e.shared = false
	e.waiting = make(map[string]int)
}

// recordStored records that a version is surely in the store.
func (e *entry) recordStored(version uint64) {
	wasGranted := e.granted()
	e.stored = max(e.stored, version)
	if !wasGranted && e.granted() {
		close(e.ready)
	}
}

// addHolder records that a request is given the attempt.
func (e *entry) addHolder(id string) {
	if e.holder == "" && !e.shared {
		e.holder = id
	}
	if e.holder != id {
		e.shared = true
	}
}

// heldOnlyBy reports whether no other request has been given the attempt.
func (e *entry) heldOnlyBy(id string) bool {
	return id != "" && !e.shared && e.holder == id
}

// removeWaiter ends the wait of one call for the attempt that w belongs to.
func (e *entry) removeWaiter(id string) {
	e.waiting[id]--
	if e.waiting[id] <= 0 {
		delete(e.waiting, id)
	}
}

// awaitedByOthers reports whether another request waits for the attempt.
func (e *entry) awaitedByOthers(id string) bool {
	for other := range e.waiting {
		if other != id {
			return true
		}
	}
	return false
}

// expired reports whether the claim may be forgotten.
func (e *entry) expired(now time.Time) bool {
	return len(e.waiting) == 0 && !e.queued && e.stored == e.version && !now.Before(e.claim.ExpiresAt())
}
