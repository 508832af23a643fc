package pool

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/team"
)

// makeRoomForHold displaces batch tasks for a hold that was refused and keeps
// the room until the gang asks again, for one gang of a pool at a time.
func (d *Decider) makeRoomForHold(p *state, id team.ID, h *lovagestand.Hold, now int64) {
	for i := range p.claims {
		if p.claims[i].hold != "" {
			return
		}
	}
	if d.options.noDisplacing || p.ledger.WorkerCount() == 0 {
		return
	}
	r := &record{size: h.Resources, team: id, rank: rankGang, queued: uint32(now / int64(time.Second))}
	for _, c := range d.cheapestRows(p, r, h.Tasks, now) {
		d.claim(p, claim{
			claimant: none, hold: h.Gang, row: c.row, until: d.lapse(now, 0),
			expected: c.expected, drains: c.expected > now,
		})
		d.scratch.best = append(d.scratch.best[:0], d.stoppableFor(p, c.row, r)[:c.stop]...)
		d.pending = d.preempt(p, c.row, "displaced by gang "+h.Gang, d.pending)
	}
}

// takePending appends the pending decisions about tasks that still run.
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

// openRoom opens or closes the workers that are kept for a gang's hold.
func (p *state) openRoom(gang string, open bool) {
	for i := range p.claims {
		if c := &p.claims[i]; c.claimant == none && c.hold == gang {
			p.ledger.SetOpenTemporarily(c.row, open)
		}
	}
}

// dropRoom gives up the workers that are kept for a gang's hold.
func (d *Decider) dropRoom(p *state, gang string) {
	d.filterClaims(p, func(c claim) bool { return c.claimant != none || c.hold != gang })
}
