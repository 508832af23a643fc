package pool

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/worker"
)

// drainAtMost bounds how long a worker is kept for a task while others end.
const drainAtMost = 10 * time.Minute

// drained tells when a worker has room for one task like r if it starts no
// more.
func (d *Decider) drained(p *state, row worker.Row, r *record, now int64) candidate {
	ends := d.ends(p, row, now)
	free := p.ledger.Free(row)
	most, used := p.ledger.Slots(row)
	for i, e := range ends {
		free = free.Add(e.size)
		if worker.FitCount(free, r.size, most-used+i+1) > 0 {
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

// draining reports whether a worker is kept already for a class until tasks
// end on it.
func (d *Decider) draining(p *state, rank int8) bool {
	for i := range p.claims {
		c := &p.claims[i]
		if c.drains && (c.claimant == none && rank == rankGang || c.claimant != none && d.tasks.at(c.claimant).rank == rank) {
			return true
		}
	}
	return false
}
