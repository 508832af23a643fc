package pool

import (
	"cmp"
	"math"
	"slices"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/worker"
)

const (
	// displaceAtMost bounds the waiting urgent tasks for which a worker is
	// sought at once.
	displaceAtMost = 32
	// displaceAmong bounds the workers that are compared for each.
	displaceAmong = 16
)

// displace stops batch tasks that checkpoint to make room for waiting urgent
// ones. A worker serves one claim at a time and takes nothing else meanwhile.
func (d *Decider) displace(p *state, now int64, decisions []lovagestand.Decision) []lovagestand.Decision {
	if d.options.noDisplacing || p.first == none || p.displaceTried == p.version() {
		return decisions
	}
	failed := lovagestand.Resources{MilliCPU: -1}
	sought := 0
	for s := p.first; s != none && sought < displaceAtMost; {
		r := d.tasks.at(s)
		following := r.next
		if r.size != failed && p.accounts.WithinQuota(r.team, r.size) {
			sought++
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
	p.changed = p.changed || sought == displaceAtMost
	if sought < displaceAtMost {
		p.displaceTried = p.version()
	}
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

// cheapest returns, of some workers, the one on which the fewest tasks must
// stop for a size, those of teams with large shares first, and puts them in scratch.best;
// worker.None if stopping does not help.
func (d *Decider) cheapest(p *state, size lovagestand.Resources) worker.Row {
	best := worker.None
	fewest, richest := 0, 0.0
	compared := 0
	for range p.members {
		row := worker.Row(p.cursor)
		p.cursor = (p.cursor + 1) % len(p.members)
		m := &p.members[row]
		if m.stoppable == 0 || !p.claimable(row) || !size.Fits(p.ledger.Free(row).Add(m.room)) {
			continue
		}
		if compared == displaceAmong {
			break
		}
		compared++
		n := d.victims(p, row, size)
		if n == 0 || best != worker.None && n > fewest {
			continue
		}
		least := d.leastShare(p, d.scratch.victims[:n])
		if best != worker.None && n == fewest && (least < richest || least == richest && p.ledger.Earlier(best, row)) {
			continue
		}
		best, fewest, richest = row, n, least
		d.scratch.best = append(d.scratch.best[:0], d.scratch.victims[:n]...)
	}
	return best
}

// leastShare returns the smallest share of the teams of tasks.
func (d *Decider) leastShare(p *state, tasks []slot) float64 {
	least := math.Inf(1)
	for _, s := range tasks {
		least = min(least, p.accounts.Share(d.tasks.at(s).team))
	}
	return least
}

// victims puts the tasks of a worker that may be stopped in scratch.victims
// and returns how many of the first must stop for a size; 0 if all would not
// do. One that is enough alone comes first, of the team with the largest share
// and then the smallest; else the largest come first.
func (d *Decider) victims(p *state, row worker.Row, size lovagestand.Resources) int {
	free := p.ledger.Free(row)
	most, now := p.ledger.Slots(row)
	victims := d.collect(p, row)
	if i := d.enoughAlone(p, row, size.Sub(free)); i >= 0 && now-1 < most {
		victims[0], victims[i] = victims[i], victims[0]
		return 1
	}
	victims = d.stoppable(p, row)
	for i, s := range victims {
		free = free.Add(d.tasks.at(s).size)
		if size.Fits(free) && most-now+i+1 > 0 {
			return i + 1
		}
	}
	return 0
}

// enoughAlone returns the place in scratch.victims of the task that makes up
// alone for what is lacking: of the team with the largest share, then the
// smallest, then the last. It returns -1 if there is none.
func (d *Decider) enoughAlone(p *state, row worker.Row, lacking lovagestand.Resources) int {
	best := -1
	var richest, smallest float64
	for i, s := range d.scratch.victims {
		r := d.tasks.at(s)
		if !lacking.Fits(r.size) {
			continue
		}
		share, size := p.accounts.Share(r.team), r.size.DominantShare(p.ledger.Capacity(row))
		if best < 0 || share > richest || share == richest && size <= smallest {
			best, richest, smallest = i, share, size
		}
	}
	return best
}

// stoppable puts the tasks of a worker that may be stopped in
// scratch.victims, largest first.
func (d *Decider) stoppable(p *state, row worker.Row) []slot {
	victims := d.collect(p, row)
	capacity := p.ledger.Capacity(row)
	slices.SortStableFunc(victims, func(a, b slot) int {
		return cmp.Compare(d.tasks.at(b).size.DominantShare(capacity), d.tasks.at(a).size.DominantShare(capacity))
	})
	return victims
}

// collect puts the tasks of a worker that may be stopped in scratch.victims,
// in order of their start.
func (d *Decider) collect(p *state, row worker.Row) []slot {
	victims := d.scratch.victims[:0]
	m := &p.members[row]
	for s := m.first; s != none; s = d.tasks.at(s).next {
		if m.displaceable(d.tasks.at(s)) {
			victims = append(victims, s)
		}
	}
	d.scratch.victims = victims
	return victims
}
