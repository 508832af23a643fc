package pool

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/worker"
)

// maxDrainTime bounds how long a worker is kept for a task while others end.
const maxDrainTime = 10 * time.Minute

// roomByDraining tells when a worker has room for one task like r if it starts no
// more.
func (d *Decider) roomByDraining(p *poolState, row worker.Row, r *record, now int64) candidate {
	ends := d.expectedEnds(p, row, now)
	free := p.ledger.Free(row)
	most, used := p.ledger.Slots(row)
	for i, e := range ends {
		free = free.Add(e.size)
		if worker.Times(free, r.size, most-used+i+1) > 0 {
			return candidate{row: row, tasks: 1, readyAt: e.at}
		}
	}
	return candidate{row: row}
}

// expectedEnd is when a running task is believed to end.
type expectedEnd struct {
	at   int64
	size lovagestand.Resources
}

// expectedEnds returns the tasks of a worker in the order in which they are believed
// to end, by what was learned of their routes. Services do not end.
func (d *Decider) expectedEnds(p *poolState, row worker.Row, now int64) []expectedEnd {
	var ends []expectedEnd
	for s := p.members[row].firstTask; s != none; s = d.tasks.at(s).next {
		r := d.tasks.at(s)
		if r.rank == rankService {
			continue
		}
		ends = append(ends, expectedEnd{r.sequenceOrStart + int64(d.expectedRunTime(r, now)), r.size})
	}
	slices.SortStableFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.at, b.at) })
	return ends
}

// expectedRunTime returns the run time of a running task that half of its route's
// tasks keep, or twice what it has run already.
func (d *Decider) expectedRunTime(r *record, now int64) time.Duration {
	times := &d.routes.rows[r.route].runTimes
	half := times.Quantile(0.5)
	if ran := time.Duration(now - r.sequenceOrStart); half <= ran {
		return 2*ran + time.Second
	}
	return half
}

// drainingFor reports whether a worker is kept already for a class until tasks
// end on it.
func (d *Decider) drainingFor(p *poolState, rank int8) bool {
	for i := range p.claims {
		c := &p.claims[i]
		if c.draining && (c.claimant == none && rank == rankGang || c.claimant != none && d.tasks.at(c.claimant).rank == rank) {
			return true
		}
	}
	return false
}
