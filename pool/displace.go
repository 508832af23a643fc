package pool

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/worker"
)

// displaceAtMost bounds the waiting urgent tasks that are looked at at once.
const displaceAtMost = 256

// displace stops batch tasks that checkpoint to make room for waiting urgent
// ones. A worker serves one claim at a time and takes nothing else meanwhile.
func (d *Decider) displace(p *state, now int64, decisions []lovagestand.Decision) []lovagestand.Decision {
	if d.options.noDisplacing || p.first == none || p.displaceTried == p.version() {
		return decisions
	}
	failed := lovagestand.Resources{MilliCPU: -1}
	s := p.first
	for range displaceAtMost {
		if s == none {
			break
		}
		r := d.tasks.at(s)
		following := r.next
		if r.size != failed && p.accounts.Allows(r.team, r.size) {
			row := d.cheapest(p, r.size)
			if row == worker.None {
				failed = r.size
			} else {
				d.claim(p, claim{claimant: s, row: row, until: d.lapse(now, 0)})
				decisions = d.preempt(p, row, "displaced by urgent task "+string(r.id), decisions)
			}
		}
		s = following
	}
	p.displaceTried = p.version()
	return decisions
}

// preempt stops the tasks in scratch.best, all on one worker.
func (d *Decider) preempt(p *state, row worker.Row, reason string, decisions []lovagestand.Decision) []lovagestand.Decision {
	for _, s := range d.scratch.best {
		d.displaced(s)
		r := d.tasks.at(s)
		r.step(eventPreempt)
		decisions = append(decisions, lovagestand.Decision{
			Kind: lovagestand.DecisionPreempt, Task: d.task(r),
			Worker: p.members[row].worker.Name, Reason: reason,
		})
	}
	return decisions
}

// cheapest returns the worker on which the fewest tasks must stop for a size,
// and puts them in scratch.best; worker.None if stopping does not help.
func (d *Decider) cheapest(p *state, size lovagestand.Resources) worker.Row {
	best := worker.None
	fewest := 0
	for i := range p.members {
		row := worker.Row(i)
		m := &p.members[i]
		if m.stoppable == 0 || !p.claimable(row) || !size.Fits(p.ledger.Free(row).Add(m.room)) {
			continue
		}
		if fewest == 1 && p.ledger.Earlier(best, row) {
			continue
		}
		n := d.victims(p, row, size)
		if n == 0 || best != worker.None && (n > fewest || n == fewest && p.ledger.Earlier(best, row)) {
			continue
		}
		best, fewest = row, n
		d.scratch.best = append(d.scratch.best[:0], d.scratch.victims[:n]...)
	}
	return best
}

// victims puts the tasks of a worker that may be stopped in scratch.victims,
// largest first, and returns how many must stop for a size; 0 if all would
// not do.
func (d *Decider) victims(p *state, row worker.Row, size lovagestand.Resources) int {
	victims := d.stoppable(p, row)
	free := p.ledger.Free(row)
	most, now := p.ledger.Slots(row)
	for i, s := range victims {
		free = free.Add(d.tasks.at(s).size)
		if size.Fits(free) && most-now+i+1 > 0 {
			return i + 1
		}
	}
	return 0
}

func (d *Decider) stoppable(p *state, row worker.Row) []slot {
	victims := d.scratch.victims[:0]
	m := &p.members[row]
	for s := m.first; s != none; s = d.tasks.at(s).next {
		if m.displaceable(d.tasks.at(s)) {
			victims = append(victims, s)
		}
	}
	capacity := p.ledger.Capacity(row)
	slices.SortStableFunc(victims, func(a, b slot) int {
		return cmp.Compare(d.tasks.at(b).size.DominantShare(capacity), d.tasks.at(a).size.DominantShare(capacity))
	})
	d.scratch.victims = victims
	return victims
}

// drainAtMost bounds how long a worker is kept for a task while others end.
const drainAtMost = 10 * time.Minute
