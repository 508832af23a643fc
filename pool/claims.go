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
	hold     string
	row      worker.Row
	// until is when the claim lapses.
	until int64
	// expected is when the worker is believed to have room; tasks that surely
	// end before may start there meanwhile. 0 allows none.
	expected int64
	// drains says that tasks are left to end there.
	drains bool
	// tried is the state in which the claimant last found no place.
	tried uint64
}

// claimable reports whether a worker may be kept for a task.
func (p *state) claimable(row worker.Row) bool {
	m := &p.members[row]
	return m.state == stateFit && !m.claimed && p.ledger.Schedulable(row)
}

// claim keeps a worker for s.
func (d *Decider) claim(p *state, c claim) {
	if c.claimant != none && d.tasks.at(c.claimant).gang < 0 {
		d.tasks.at(c.claimant).row = c.row
		d.unlist(p, c.claimant)
	}
	p.claims = append(p.claims, c)
	p.members[c.row].claimed = true
	p.ledger.Close(c.row, true)
}

// dropClaims gives up all claims of a task.
func (d *Decider) dropClaims(p *state, s slot) {
	d.filterClaims(p, func(c claim) bool { return c.claimant != s })
}

// dropClaimsOn gives up the claims on a worker.
func (d *Decider) dropClaimsOn(p *state, row worker.Row) {
	d.filterClaims(p, func(c claim) bool { return c.row != row })
}

// expireClaims gives up claims that have lapsed.
func (d *Decider) expireClaims(p *state, now int64) {
	d.filterClaims(p, func(c claim) bool { return now < c.until })
}

func (d *Decider) filterClaims(p *state, keeps func(claim) bool) {
	if len(p.claims) == 0 {
		return
	}
	kept := p.claims[:0]
	for _, c := range p.claims {
		if keeps(c) {
			kept = append(kept, c)
			continue
		}
		m := &p.members[c.row]
		m.claimed = false
		p.ledger.Close(c.row, m.state == stateProbing)
		if c.claimant != none && d.tasks.at(c.claimant).gang < 0 {
			d.tasks.at(c.claimant).row = worker.None
			d.list(p, c.claimant)
		}
		p.changed = true
	}
	p.claims = kept
}

// openClaims opens or closes the workers that a gang claims, so that the gang
// itself may use them.
func (*Decider) openClaims(p *state, s slot, open bool) {
	for _, c := range p.claims {
		if c.claimant == s {
			p.ledger.SetOpenTemporarily(c.row, open)
		}
	}
}

// firstClaimant returns the claimant of a class that now fits where it
// claims and is served before next, if there is a next; none if there is none.
func (d *Decider) firstClaimant(p *state, rank int8, next queue.Next, exists bool) slot {
	found := none
	for i := range p.claims {
		s := p.claims[i].claimant
		if s == none {
			continue
		}
		r := d.tasks.at(s)
		if r.rank != rank || !d.ready(p, &p.claims[i]) {
			continue
		}
		n := queue.Next{Share: p.queue.Share(r.team), Sequence: uint64(r.moment)}
		if !exists || n.Before(next) {
			found, next, exists = s, n, true
		}
	}
	return found
}

// giveUp notes that a claimant found no place in this state.
func (p *state) giveUp(s slot) {
	for i := range p.claims {
		if p.claims[i].claimant == s {
			p.claims[i].tried = p.version()
		}
	}
}

// ready reports whether a claimant may start, by its own first claim.
func (d *Decider) ready(p *state, c *claim) bool {
	if c.tried == p.version() {
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

// gangReady reports whether the workers that a gang claims hold all of it.
func (d *Decider) gangReady(p *state, first *claim, tasks int) bool {
	size := d.tasks.at(first.claimant).size
	room := 0
	for i := range p.claims {
		c := &p.claims[i]
		if c.claimant == first.claimant && p.ledger.Schedulable(c.row) {
			room += p.roomNow(c.row, size)
		}
	}
	return room >= tasks
}

// roomNow returns how many tasks of a size a worker has room for.
func (p *state) roomNow(row worker.Row, size lovagestand.Resources) int {
	most, now := p.ledger.Slots(row)
	return worker.FitCount(p.ledger.Free(row), size, most-now)
}

// backfill returns a claimed worker on which r will surely end before the
// claimant's turn, judged by what was learned of its route alone.
func (d *Decider) backfill(p *state, r *record) worker.Row {
	if d.options.noBackfill || len(p.claims) == 0 || r.gang >= 0 || r.rank == rankService {
		return worker.None
	}
	ran, known := d.routes.runTime(r.route)
	if !known {
		return worker.None
	}
	end := p.now + int64(ran)
	for i := range p.claims {
		c := &p.claims[i]
		if end <= c.expected && p.ledger.HasRoom(c.row, r.size) {
			return c.row
		}
	}
	return worker.None
}

// list adds a waiting urgent task to the list of those without a claim, in
// order of arrival.
func (d *Decider) list(p *state, s slot) {
	r := d.tasks.at(s)
	if r.rank != rankUrgent || r.flags.has(flagListed) || r.ticket < 0 {
		return
	}
	r.flags |= flagListed
	after := p.last
	for after != none && d.tasks.at(after).moment > r.moment {
		after = d.tasks.at(after).prev
	}
	r.prev = after
	if after != none {
		r.next = d.tasks.at(after).next
		d.tasks.at(after).next = s
	} else {
		r.next = p.first
		p.first = s
	}
	if r.next != none {
		d.tasks.at(r.next).prev = s
	} else {
		p.last = s
	}
	p.displaceTried = 0
}

func (d *Decider) unlist(p *state, s slot) {
	r := d.tasks.at(s)
	if !r.flags.has(flagListed) {
		return
	}
	r.flags &^= flagListed
	if r.prev != none {
		d.tasks.at(r.prev).next = r.next
	} else {
		p.first = r.next
	}
	if r.next != none {
		d.tasks.at(r.next).prev = r.prev
	} else {
		p.last = r.prev
	}
	r.prev, r.next = none, none
}

// lapse returns when a claim made now lapses.
func (d *Decider) lapse(now int64, wait time.Duration) int64 {
	return now + int64(max(wait, d.options.claimFor))
}
