package trial

import (
	"time"

	"lovagestand.example/lovagestand/trial/caller"
)

// disruption is whether faults other than a planned stop keep a node's calls from
// their answers. Calls that began while one did may break after its end, and
// are no evidence about a planned stop that begins meanwhile.
type disruption struct {
	activeFaults    int
	callsBreakUntil time.Time
}

// withFaults returns h with a fault more or less as of now.
func (d disruption) withFaults(added int, now time.Time) disruption {
	return disruption{activeFaults: d.activeFaults + added, callsBreakUntil: now.Add(caller.CallTimeout)}
}

// mayBreakCalls reports whether calls may still break because of a fault.
func (d disruption) mayBreakCalls(now time.Time) bool {
	return d.activeFaults > 0 || now.Before(d.callsBreakUntil)
}

// beginDisruption notes a fault that keeps calls to n from their answers.
func (n *node) beginDisruption() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.disruption = n.disruption.withFaults(1, time.Now())
}

// endDisruption notes the end of such a fault.
func (n *node) endDisruption() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.disruption = n.disruption.withFaults(-1, time.Now())
}

func (n *node) isDisrupted() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.disruption.mayBreakCalls(time.Now())
}

// randomUndisruptedNode draws an instance that is up and that no fault holds; nil if there is
// none.
func (i injection) randomUndisruptedNode() *node {
	var undisrupted []*node
	for _, n := range i.trial.nodesIn(nodeUp) {
		if !n.isDisrupted() {
			undisrupted = append(undisrupted, n)
		}
	}
	if len(undisrupted) == 0 {
		return nil
	}
	return undisrupted[i.random.IntN(len(undisrupted))]
}
