package pool

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/worker"
)

// claim reserves a worker for a waiting task, or for a refused hold, until it
// fits there.
type claim struct {
	// claimant is the waiting task, or none if the claim is for a hold;
	// heldGang then is the gang of the hold.
	claimant slot
	heldGang string
	row      worker.Row
	// until is when the claim expires.
	until int64
	// readyAt is when the worker is expected to have room. Tasks that are
	// expected to end before then may start there in the meantime; with 0 no
	// task may.
	readyAt int64
	// draining is set if the worker gets its room from running tasks that end.
	draining bool
	// triedVersion is the version at which the claimant last did not fit.
	triedVersion uint64
}

// claimable reports whether a worker may be claimed.
func (p *poolState) claimable(row worker.Row) bool {
	m := &p.members[row]
	return m.state == stateFit && !m.claimed && p.ledger.Schedulable(row)
}

// addClaim claims a worker.
func (d *Decider) addClaim(p *poolState, c claim) {
	if c.claimant != none && d.tasks.at(c.claimant).gang < 0 {
		d.tasks.at(c.claimant).row = c.row
		d.unlistUrgent(p, c.claimant)
	}
	p.claims = append(p.claims, c)
	p.members[c.row].claimed = true
	p.ledger.Close(c.row, true)
}

// dropClaims drops all claims of a task.
func (d *Decider) dropClaims(p *poolState, s slot) {
	d.retainClaims(p, func(c claim) bool { return c.claimant != s })
}

// dropClaimsOn drops the claims on a worker.
func (d *Decider) dropClaimsOn(p *poolState, row worker.Row) {
	d.retainClaims(p, func(c claim) bool { return c.row != row })
}

// expireClaims drops the claims that have expired.
func (d *Decider) expireClaims(p *poolState, now int64) {
	d.retainClaims(p, func(c claim) bool { return now < c.until })
}

// retainClaims drops the claims for which keep returns false.
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

// openClaimedWorkers opens or closes the workers that a gang has claimed, so
// that the gang itself can be placed there.
func (*Decider) openClaimedWorkers(p *poolState, s slot, open bool) {
	for _, c := range p.claims {
		if c.claimant == s {
			p.ledger.SetOpenTemporarily(c.row, open)
		}
	}
}

// firstClaimant returns the claimant of a class that fits on the workers it has
// claimed and is to be served before all other such claimants and, if hasNext is
// true, before next. It returns none if there is no such claimant.
func (d *Decider) firstClaimant(p *poolState, rank int8, next queue.Next, hasNext bool) slot {
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
		if !hasNext || n.Before(next) {
			found, next, hasNext = s, n, true
		}
	}
	return found
}

// markTried records that a claimant does not fit at the current version.
func (p *poolState) markTried(s slot) {
	for i := range p.claims {
		if p.claims[i].claimant == s {
			p.claims[i].triedVersion = p.version()
		}
	}
}

// claimantReady reports whether the claimant of c may start. A single task must
// fit on the worker of c. A gang must fit on all the workers it has claimed,
// taken together.
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
	} else if !p.ledger.HasRoom(c.row, r.size) {
		return false
	}
	return p.accounts.WithinQuota(r.team, totalOf(shape)) && p.leavesHeadroom(shape)
}

// gangReady reports whether the workers that a gang has claimed have room for
// all of its tasks together.
func (d *Decider) gangReady(p *poolState, anyClaim *claim, tasks int) bool {
	size := d.tasks.at(anyClaim.claimant).size
	room := 0
	for i := range p.claims {
		c := &p.claims[i]
		if c.claimant == anyClaim.claimant && p.ledger.Schedulable(c.row) {
			room += p.freeRoom(c.row, size)
		}
	}
	return room >= tasks
}

// freeRoom returns how many tasks of a size a worker has room for now.
func (p *poolState) freeRoom(row worker.Row, size lovagestand.Resources) int {
	most, used := p.ledger.Slots(row)
	return worker.FitCount(p.ledger.Free(row), size, most-used)
}

// backfill returns a claimed worker on which r is expected to end before the
// worker is ready for its claimant, or worker.None. The expectation is based
// only on the measured run times of the task's route.
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
		if end <= c.readyAt && p.ledger.HasRoom(c.row, r.size) {
			return c.row
		}
	}
	return worker.None
}

// listUrgent adds a waiting urgent task to the list of those without a claim,
// which is in order of arrival.
func (d *Decider) listUrgent(p *poolState, s slot) {
	r := d.tasks.at(s)
	if r.rank != rankUrgent || r.flags.has(flagUrgentListed) || r.handle < 0 {
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

// claimExpiry returns when a claim made now expires: after wait or after the
// claim timeout, whichever is longer.
func (d *Decider) claimExpiry(now int64, wait time.Duration) int64 {
	return now + int64(max(wait, d.options.claimTimeout))
}
