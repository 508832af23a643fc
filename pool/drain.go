package pool

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/worker"
)

// maxDrainTime is how long a worker may stay claimed for a starved task while
// the tasks that run there end.
const maxDrainTime = 10 * time.Minute

// roomByDraining returns a candidate with the time at which a worker is expected
// to have room for one task like r if no other task starts there. If the worker
// is not expected to have room at any time, the candidate has room for no task.
func (d *Decider) roomByDraining(p *poolState, row worker.Row, r *record, now int64) candidate {
	ends := d.expectedEnds(p, row, now)
	free := p.ledger.Free(row)
	most, used := p.ledger.Slots(row)
	for i, e := range ends {
		free = free.Add(e.size)
		if worker.FitCount(free, r.size, most-used+i+1) > 0 {
			return candidate{row: row, tasks: 1, readyAt: e.at}
		}
	}
	return candidate{row: row}
}

// expectedEnd is when a running task is expected to end, and what it then
// frees.
type expectedEnd struct {
	at   int64
	size lovagestand.Resources
}

// expectedEnds returns the tasks of a worker in the order in which they are
// expected to end, based on the measured run times of their routes. Services
// are left out as they do not end.
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

// expectedRunTime returns the median run time of a task's route or, if the task
// has already run that long, a second more than twice its run time so far.
func (d *Decider) expectedRunTime(r *record, now int64) time.Duration {
	times := &d.routes.rows[r.route].runTimes
	median := times.Quantile(0.5)
	if ran := time.Duration(now - r.sequenceOrStart); median <= ran {
		return 2*ran + time.Second
	}
	return median
}

// drainingFor reports whether a worker is already being drained for a class.
func (d *Decider) drainingFor(p *poolState, rank int8) bool {
	for i := range p.claims {
		c := &p.claims[i]
		if c.draining && (c.claimant == none && rank == rankGang || c.claimant != none && d.tasks.at(c.claimant).rank == rank) {
			return true
		}
	}
	return false
}
