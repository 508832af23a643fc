package pool

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/worker"
)

// makeRoom keeps workers for the task of each class that has waited too long
// and whose team has the least. Services and gangs displace batch tasks that
// checkpoint, batch those of teams that have much more; for all else the tasks
// that run there are left to end.
func (d *Decider) makeRoom(p *state, now int64, decisions []lovagestand.Decision) []lovagestand.Decision {
	if d.options.noAgeing {
		return decisions
	}
	for rank := rankService; rank <= rankBatch; rank++ {
		for range makeAtMost {
			s := d.starved(p, rank, now)
			if s == none {
				break
			}
			claims := len(p.claims)
			decisions = d.makeRoomFor(p, s, now, decisions)
			if len(p.claims) == claims {
				break
			}
		}
	}
	return decisions
}

// makeAtMost bounds the tasks of a class for which room is made at once.
const makeAtMost = 8

func (d *Decider) makeRoomFor(p *state, s slot, now int64, decisions []lovagestand.Decision) []lovagestand.Decision {
	r := d.tasks.at(s)
	tasks := 1
	if r.gang >= 0 {
		tasks = d.gangs.rows[r.gang].size
	}
	rows := d.cheapestRows(p, r, tasks, now)
	if len(rows) > 0 && rows[len(rows)-1].expected > now && d.draining(p, r.rank) {
		return decisions
	}
	for _, c := range rows {
		d.claim(p, claim{claimant: s, row: c.row, until: d.lapse(now, drainAtMost), expected: c.expected, drains: c.expected > now})
		d.scratch.best = append(d.scratch.best[:0], d.stoppableFor(p, c.row, r)[:c.stop]...)
		decisions = d.preempt(p, c.row, "displaced by waiting "+string(classes[r.rank])+" task "+string(r.id), decisions)
		p.changed = true
	}
	return decisions
}

// draining reports whether a worker is kept already for a class until tasks
// end on it.
func (d *Decider) draining(p *state, rank int8) bool {
	for i := range p.claims {
		c := &p.claims[i]
		if c.drains && d.tasks.at(c.claimant).rank == rank {
			return true
		}
	}
	return false
}

// claiming reports whether a task claims a worker.
func (d *Decider) claiming(p *state, s slot) bool {
	if r := d.tasks.at(s); r.gang < 0 {
		return r.row != worker.None
	}
	for i := range p.claims {
		if p.claims[i].claimant == s {
			return true
		}
	}
	return false
}

// starved returns the task of a class that has waited too long, of the team
// with the smallest share, leaving out those that room would not help; none if
// there is none.
func (d *Decider) starved(p *state, rank int8, now int64) slot {
	found := none
	var best queue.Next
	for _, g := range p.queue.Groups(rank) {
		shape := p.queue.Group(g).Shape
		if !p.leavesHeadroom(shape) {
			continue
		}
		for _, n := range p.queue.Heads(g) {
			waited := now - d.tasks.at(slot(n.Item)).submitted
			if waited < int64(d.options.ageAfter) || !p.accounts.Allows(n.Team, totalOf(shape)) {
				continue
			}
			if d.claiming(p, slot(n.Item)) {
				continue
			}
			if found == none || n.Before(best) {
				found, best = slot(n.Item), n
			}
		}
	}
	return found
}

// stoppableFor returns the tasks of a worker that may be displaced for r, those
// of the teams with the largest shares first. A
// batch task displaces only those of teams that will have more than its own
// all the same, so that no two displace each other in turn.
func (d *Decider) stoppableFor(p *state, row worker.Row, r *record) []slot {
	if d.options.noDisplacing {
		return nil
	}
	victims := d.stoppable(p, row)
	slices.SortStableFunc(victims, func(a, b slot) int {
		return cmp.Compare(p.accounts.Share(d.tasks.at(b).team), p.accounts.Share(d.tasks.at(a).team))
	})
	if r.rank != rankBatch {
		return victims
	}
	least := p.accounts.Share(r.team) + r.size.DominantShare(p.capacity)
	kept := victims[:0]
	for _, s := range victims {
		v := d.tasks.at(s)
		if p.accounts.Share(v.team)-v.size.DominantShare(p.capacity) > least {
			kept = append(kept, s)
		}
	}
	return kept
}

// candidate is a worker on which room can be made.
type candidate struct {
	row worker.Row
	// tasks is how many of the claimant's tasks it will hold, stop how many
	// of its own are displaced for that.
	tasks, stop int
	// expected is when the room is there.
	expected int64
}

// cheapestRows returns the workers on which room for tasks tasks like r is
// made soonest; none if all workers together would not do.
func (d *Decider) cheapestRows(p *state, r *record, tasks int, now int64) []candidate {
	var all []candidate
	for i := range p.members {
		row := worker.Row(i)
		if !p.claimable(row) {
			continue
		}
		if c := d.roomOn(p, row, r, tasks, now); c.tasks > 0 {
			all = append(all, c)
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.expected, b.expected), cmp.Compare(a.stop*b.tasks, b.stop*a.tasks))
	})
	room := 0
	for i := range all {
		room += all[i].tasks
		if room >= tasks {
			return all[:i+1]
		}
	}
	return nil
}

// roomOn tells what room can be made on a worker: at once, by displacing or,
// failing both for even one task, by letting tasks end.
func (d *Decider) roomOn(p *state, row worker.Row, r *record, tasks int, now int64) candidate {
	c := candidate{row: row, expected: now, tasks: min(p.roomNow(row, r.size), tasks)}
	free := p.ledger.Free(row)
	most, used := p.ledger.Slots(row)
	for i, s := range d.stoppableFor(p, row, r) {
		free = free.Add(d.tasks.at(s).size)
		room := min(worker.Times(free, r.size, most-used+i+1), tasks)
		if room > c.tasks {
			c.tasks, c.stop = room, i+1
		}
	}
	if c.tasks > 0 {
		return c
	}
	return d.drained(p, row, r, now)
}

// drained tells when a worker has room for one task like r if it starts no
// more.
func (d *Decider) drained(p *state, row worker.Row, r *record, now int64) candidate {
	ends := d.ends(p, row, now)
	free := p.ledger.Free(row)
	most, used := p.ledger.Slots(row)
	for i, e := range ends {
		free = free.Add(e.size)
		if worker.Times(free, r.size, most-used+i+1) > 0 {
			return candidate{row: row, tasks: 1, expected: e.at}
		}
	}
	return candidate{row: row}
}

// ending is when a running task is believed to end.
type ending struct {
	at   int64
	size lovagestand.Resources
}

// ends returns the tasks of a worker in the order in which they are believed
// to end, by what was learned of their routes. Services do not end.
func (d *Decider) ends(p *state, row worker.Row, now int64) []ending {
	var ends []ending
	for s := p.members[row].first; s != none; s = d.tasks.at(s).next {
		r := d.tasks.at(s)
		if r.rank == rankService {
			continue
		}
		ends = append(ends, ending{r.moment + int64(d.likely(r, now)), r.size})
	}
	slices.SortStableFunc(ends, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	return ends
}

// likely returns the run time of a running task that half of its route's
// tasks keep, or twice what it has run already.
func (d *Decider) likely(r *record, now int64) time.Duration {
	times := &d.routes.rows[r.route].runTimes
	half := times.Quantile(0.5)
	if ran := time.Duration(now - r.moment); half <= ran {
		return 2*ran + time.Second
	}
	return half
}

// Kept returns what is free on the workers that are kept for waiting tasks.
func (d *Decider) Kept() lovagestand.Resources {
	var kept lovagestand.Resources
	for _, p := range d.pools {
		for i := range p.claims {
			kept = kept.Add(p.ledger.Free(p.claims[i].row))
		}
	}
	return kept
}
