package trial

import (
	"time"

	"lovagestand.example/lovagestand/trial/caller"
)

// disruption tracks the faults, other than a planned stop, that block the answers
// to calls to a node. A call that begins during such a fault may still break after
// the end of the fault. If a planned stop begins before the call breaks, the broken
// call is not evidence that the stop caused it.
type disruption struct {
	activeFaults int
	// callsBreakUntil is [caller.CallTimeout] after the latest start or end of a
	// fault, when all calls that began before have ended.
	callsBreakUntil time.Time
}

// withFaults returns d after the number of active faults has changed by delta.
func (d disruption) withFaults(delta int, now time.Time) disruption {
	return disruption{activeFaults: d.activeFaults + delta, callsBreakUntil: now.Add(caller.CallTimeout)}
}

// mayBreakCalls reports whether calls may still break because of a fault.
func (d disruption) mayBreakCalls(now time.Time) bool {
	return d.activeFaults > 0 || now.Before(d.callsBreakUntil)
}

// beginDisruption records the start of a fault that blocks the answers to calls to
// n.
func (n *node) beginDisruption() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.disruption = n.disruption.withFaults(1, time.Now())
}

// endDisruption records the end of such a fault.
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

// randomUndisruptedNode returns a random instance that is up and whose calls no
// fault may break; nil if there is none.
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
