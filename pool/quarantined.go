package pool

import "lovagestand.example/lovagestand"

var _ lovagestand.QuarantineDecider = (*Decider)(nil)

// Quarantined implements [lovagestand.QuarantineDecider]. A worker that is
// being probed with a task counts as quarantined.
func (d *Decider) Quarantined(name lovagestand.WorkerName) bool {
	at, ok := d.workers[name]
	if !ok {
		return false
	}
	state := d.pools[at.pool].members[at.row].state
	return state == stateQuarantined || state == stateProbing
}
