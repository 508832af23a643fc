package pool

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/worker"
)

// claim keeps a worker for a waiting task, or for a hold that was refused,
// until it fits there.
type claim struct {
	// claimant is the task; none where hold names the gang.
	claimant slot
	heldGang string
	row      worker.Row
	// until is when the claim lapses.
	until int64
	// readyAt is when the worker is believed to have room; tasks that surely
	// end before may start there meanwhile. 0 allows none.
	readyAt int64
	// draining says that tasks are left to end there.
	draining bool
	// triedVersion is the state in which the claimant last found no place.
	triedVersion uint64
}

// claimable reports whether a worker may be kept for a task.
func (p *poolState) claimable(row worker.Row) bool {
	m := &p.members[row]
	return m.state == stateFit && !m.claimed && p.ledger.Fit(row)
}

// addClaim keeps a worker for s.
func (d *Decider) addClaim(p *poolState, c claim) {
	if c.claimant != none && d.tasks.at(c.claimant).gang < 0 {
		d.tasks.at(c.claimant).row = c.row
		d.unlistUrgent(p, c.claimant)
	}
	p.claims = append(p.claims, c)
	p.members[c.row].claimed = true
	p.ledger.Close(c.row, true)
}

// dropClaims gives up all claims of a task.
func (d *Decider) dropClaims(p *poolState, s slot) {
	d.retainClaims(p, func(c claim) bool { return c.claimant != s })
}

// dropClaimsOn gives up the claims on a worker.
func (d *Decider) dropClaimsOn(p *poolState, row worker.Row) {
	d.retainClaims(p, func(c claim) bool { return c.row != row })
}

// expireClaims gives up claims that have lapsed.
func (d *Decider) expireClaims(p *poolState, now int64) {
	d.retainClaims(p, func(c claim) bool { return now < c.until })
}

func (d *Decider) retainClaims(p *poolState, keep func(claim) bool) {
	if len(p.claims) == 0 {
		return
	}
	kept := p.claims[:0]
	for _, c := range p.claims {
		if keep(c) {
			kept = append(kept, c)
			continue
		}
		m := &p.members[c.row]
		m.claimed = false
		p.ledger.Close(c.row, m.state == stateProbing)
		if c.claimant != none && d.tasks.at(c.claimant).gang < 0 {
			d.tasks.at(c.claimant).row = worker.None
			d.listUrgent(p, c.claimant)
		}
		p.changed = true
	}
	p.claims = kept
}

// openClaimedWorkers opens or closes the workers that a gang claims, so that the gang
// itself may use them.
func (*Decider) openClaimedWorkers(p *poolState, s slot, open bool) {
	for _, c := range p.claims {
		if c.claimant == s {
			p.ledger.Reopen(c.row, open)
		}
	}
}

// firstClaimant returns the claimant of a class that now fits where it
// claims and is served before next, if there is a next; none if there is none.
func (d *Decider) firstClaimant(p *poolState, rank int8, next queue.Next, exists bool) slot {
	found := none
	for i := range p.claims {
		s := p.claims[i].claimant
		if s == none {
			continue
		}
		r := d.tasks.at(s)
		if r.rank != rank || !d.claimantReady(p, &p.claims[i]) {
			continue
		}
		n := queue.Next{Share: p.queue.Share(r.team), Sequence: uint64(r.sequenceOrStart)}
		if !exists || n.Before(next) {
			found, next, exists = s, n, true
		}
	}
	return found
}

// markTried notes that a claimant found no place in this state.
func (p *poolState) markTried(s slot) {
	for i := range p.claims {
		if p.claims[i].claimant == s {
			p.claims[i].triedVersion = p.version()
		}
	}
}

// claimantReady reports whether a claimant may start, by its own first claim.
func (d *Decider) claimantReady(p *poolState, c *claim) bool {
	if c.triedVersion == p.version() {
		return false
	}
	r := d.tasks.at(c.claimant)
	shape := queue.Shape{Rank: r.rank, Tasks: 1, Size: r.size}
	if r.gang >= 0 {
		shape.Tasks = int32(d.gangs.rows[r.gang].size)
		if !d.gangReady(p, c, int(shape.Tasks)) {
			return false
		}
	} else if !p.ledger.Holds(c.row, r.size) {
		return false
	}
	return p.accounts.Allows(r.team, totalOf(shape)) && p.leavesHeadroom(shape)
}

// gangReady reports whether the workers that a gang claims hold all of it.
func (d *Decider) gangReady(p *poolState, first *claim, tasks int) bool {
	size := d.tasks.at(first.claimant).size
	room := 0
	for i := range p.claims {
		c := &p.claims[i]
		if c.claimant == first.claimant && p.ledger.Fit(c.row) {
			room += p.freeRoom(c.row, size)
		}
	}
	return room >= tasks
}

// freeRoom returns how many tasks of a size a worker has room for.
func (p *poolState) freeRoom(row worker.Row, size lovagestand.Resources) int {
	most, now := p.ledger.Slots(row)
	return worker.Times(p.ledger.Free(row), size, most-now)
}

// backfill returns a claimed worker on which r will surely end before the
// claimant's turn, judged by what was learned of its route alone.
func (d *Decider) backfill(p *poolState, r *record) worker.Row {
	if d.options.noBackfill || len(p.claims) == 0 || r.gang >= 0 || r.rank == rankService {
		return worker.None
	}
	ran, known := d.routes.runTimeP90(r.route)
	if !known {
		return worker.None
	}
	end := p.now + int64(ran)
	for i := range p.claims {
		c := &p.claims[i]
		if end <= c.readyAt && p.ledger.Holds(c.row, r.size) {
			return c.row
		}
	}
	return worker.None
}

// listUrgent adds a waiting urgent task to the list of those without a claim, in
// order of arrival.
func (d *Decider) listUrgent(p *poolState, s slot) {
	r := d.tasks.at(s)
	if r.rank != rankUrgent || r.flags.has(flagUrgentListed) || r.ticket < 0 {
		return
	}
	r.flags |= flagUrgentListed
	after := p.lastUrgent
	for after != none && d.tasks.at(after).sequenceOrStart > r.sequenceOrStart {
		after = d.tasks.at(after).prev
	}
	r.prev = after
	if after != none {
		r.next = d.tasks.at(after).next
		d.tasks.at(after).next = s
	} else {
		r.next = p.firstUrgent
		p.firstUrgent = s
	}
	if r.next != none {
		d.tasks.at(r.next).prev = s
	} else {
		p.lastUrgent = s
	}
	p.preemptTriedVersion = 0
}

func (d *Decider) unlistUrgent(p *poolState, s slot) {
	r := d.tasks.at(s)
	if !r.flags.has(flagUrgentListed) {
		return
	}
	r.flags &^= flagUrgentListed
	if r.prev != none {
		d.tasks.at(r.prev).next = r.next
	} else {
		p.firstUrgent = r.next
	}
	if r.next != none {
		d.tasks.at(r.next).prev = r.prev
	} else {
		p.lastUrgent = r.prev
	}
	r.prev, r.next = none, none
}

// claimExpiry returns when a claim made now lapses.
func (d *Decider) claimExpiry(now int64, wait time.Duration) int64 {
	return now + int64(max(wait, d.options.claimTimeout))
}
