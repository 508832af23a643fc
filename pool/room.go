package pool

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/worker"
)

// makeRoom keeps workers for the one task of a pool that has waited longest,
// if that is too long. Services and gangs displace batch tasks that
// checkpoint; for all else the tasks that run there are left to end.
func (d *Decider) makeRoom(p *state, now int64, decisions []lovagestand.Decision) []lovagestand.Decision {
	if d.options.noAgeing || d.making(p) {
		return decisions
	}
	s := d.starved(p, now)
	if s == none {
		return decisions
	}
	r := d.tasks.at(s)
	tasks := 1
	if r.gang >= 0 {
		tasks = d.gangs.rows[r.gang].size
	}
	rows := d.cheapestRows(p, r, tasks, now)
	for _, c := range rows {
		d.claim(p, claim{claimant: s, row: c.row, until: d.lapse(now, drainAtMost), expected: c.expected})
		if r.rank == rankBatch || d.options.noDisplacing {
			continue
		}
		d.scratch.best = append(d.scratch.best[:0], d.stoppable(p, c.row)[:c.stop]...)
		decisions = d.preempt(p, c.row, "displaced by waiting "+string(classes[r.rank])+" task "+string(r.id), decisions)
	}
	p.changed = p.changed || len(rows) > 0
	return decisions
}

// making reports whether room is being made already.
func (d *Decider) making(p *state) bool {
	for i := range p.claims {
		if d.tasks.at(p.claims[i].claimant).rank != rankUrgent {
			return true
		}
	}
	return false
}

// starved returns the task that has waited longest and too long, leaving out
// those that room would not help; none if there is none.
func (d *Decider) starved(p *state, now int64) slot {
	found := none
	for rank := rankService; rank <= rankBatch; rank++ {
		for _, g := range p.queue.Groups(rank) {
			shape := p.queue.Group(g).Shape
			n, ok := p.queue.Oldest(g)
			if !ok || !p.leavesHeadroom(shape) || !p.accounts.Allows(n.Team, totalOf(shape)) {
				continue
			}
			r := d.tasks.at(slot(n.Item))
			if now-r.submitted < int64(d.options.ageAfter) {
				continue
			}
			if found == none || r.moment < d.tasks.at(found).moment {
				found = slot(n.Item)
			}
		}
	}
	return found
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
	if r.rank != rankBatch && !d.options.noDisplacing {
		for i, s := range d.stoppable(p, row) {
			free = free.Add(d.tasks.at(s).size)
			room := min(worker.Times(free, r.size, most-used+i+1), tasks)
			if room > c.tasks {
				c.tasks, c.stop = room, i+1
			}
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
