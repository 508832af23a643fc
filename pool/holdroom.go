package pool

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/team"
)

// makeRoomForHold preempts batch tasks for a hold that was refused, and claims
// their workers so that the room is there when the gang requests the hold
// again. A pool does so for one gang at a time.
func (d *Decider) makeRoomForHold(p *poolState, id team.ID, h *lovagestand.Hold, now int64) {
	for i := range p.claims {
		if p.claims[i].heldGang != "" {
			return
		}
	}
	if d.options.noPreemption || p.ledger.WorkerCount() == 0 {
		return
	}
	r := &record{size: h.Resources, team: id, rank: rankGang, submittedSeconds: uint32(now / int64(time.Second))}
	for _, c := range d.soonestWorkers(p, r, h.Tasks, now) {
		d.addClaim(p, claim{
			claimant: none, heldGang: h.Gang, row: c.row, until: d.claimExpiry(now, 0),
			readyAt: c.readyAt, draining: c.readyAt > now,
		})
		d.scratch.chosenVictims = append(d.scratch.chosenVictims[:0], d.preemptibleFor(p, c.row, r)[:c.preemptions]...)
		d.pending = d.preemptChosen(p, c.row, "displaced by gang "+h.Gang, d.pending)
	}
}

// takePending appends the pending decisions on tasks that are still placed, and
// clears the pending decisions.
func (d *Decider) takePending(decisions []lovagestand.Decision) []lovagestand.Decision {
	for i := range d.pending {
		s := d.tasks.find(d.pending[i].Task.ID)
		if s != none && taskChart.Allows(d.tasks.at(s).state, eventFinish) {
			decisions = append(decisions, d.pending[i])
		}
	}
	d.pending = d.pending[:0]
	return decisions
}

// openHoldClaims opens or closes the workers that are claimed for a gang's
// hold.
func (p *poolState) openHoldClaims(gang string, open bool) {
	for i := range p.claims {
		if c := &p.claims[i]; c.claimant == none && c.heldGang == gang {
			p.ledger.SetOpenTemporarily(c.row, open)
		}
	}
}

// dropHoldClaims drops the claims for a gang's hold.
func (d *Decider) dropHoldClaims(p *poolState, gang string) {
	d.retainClaims(p, func(c claim) bool { return c.claimant != none || c.heldGang != gang })
}
