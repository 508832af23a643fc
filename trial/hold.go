package trial

import (
	"time"

	"lovagestand.example/lovagestand/trial/caller"
)

// hold is whether faults other than a planned stop keep a node's calls from
// their answers. Calls that began while one did may break after its end, and
// are no evidence about a planned stop that begins meanwhile.
type hold struct {
	faults int
	until  time.Time
}

// with returns h with a fault more or less as of now.
func (h hold) with(faults int, now time.Time) hold {
	return hold{faults: h.faults + faults, until: now.Add(caller.CallTimeout)}
}

// holds reports whether calls may still break because of a fault.
func (h hold) holds(now time.Time) bool {
	return h.faults > 0 || now.Before(h.until)
}

// hold notes a fault that keeps calls to n from their answers.
func (n *node) hold() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.held = n.held.with(1, time.Now())
}

// release notes the end of such a fault.
func (n *node) release() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.held = n.held.with(-1, time.Now())
}

func (n *node) isHeld() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.held.holds(time.Now())
}

// steady draws an instance that is up and that no fault holds; nil if there is
// none.
func (s stage) steady() *node {
	var free []*node
	for _, n := range s.trial.present(nodeUp) {
		if !n.isHeld() {
			free = append(free, n)
		}
	}
	if len(free) == 0 {
		return nil
	}
	return free[s.random.IntN(len(free))]
}
