package pool

import (
	"cmp"
	"math"
	"slices"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/worker"
)

const (
	// maxUrgentPerPass is the number of waiting urgent tasks for which one pass
	// searches for a worker.
	maxUrgentPerPass = 32
	// maxComparedWorkers is the number of workers that are compared for each
	// task.
	maxComparedWorkers = 16
)

// preemptForUrgent preempts batch tasks that checkpoint to make room for
// waiting urgent tasks. It claims each worker for one urgent task, and no other
// task starts there until the claim ends.
func (d *Decider) preemptForUrgent(p *poolState, now int64, decisions []lovagestand.Decision) []lovagestand.Decision {
	if d.options.noPreemption || p.firstUrgent == none || p.preemptTriedVersion == p.version() {
		return decisions
	}
	failedSize := lovagestand.Resources{MilliCPU: -1}
	attempts := 0
	for s := p.firstUrgent; s != none && attempts < maxUrgentPerPass; {
		r := d.tasks.at(s)
		following := r.next
		if r.size != failedSize && p.accounts.WithinQuota(r.team, r.size) {
			attempts++
			row := d.fewestPreemptions(p, r.size)
			if row == worker.None {
				failedSize = r.size
			} else {
				d.addClaim(p, claim{claimant: s, row: row, until: d.claimExpiry(now, 0)})
				decisions = d.preemptChosen(p, row, "displaced by urgent task "+string(r.id), decisions)
			}
		}
		s = following
	}
	p.changed = p.changed || attempts == maxUrgentPerPass
	if attempts < maxUrgentPerPass {
		p.preemptTriedVersion = p.version()
	}
	return decisions
}

// preemptChosen preempts the tasks in scratch.chosenVictims, which all run on
// one worker.
func (d *Decider) preemptChosen(p *poolState, row worker.Row, reason string, decisions []lovagestand.Decision) []lovagestand.Decision {
	for _, s := range d.scratch.chosenVictims {
		d.uncountPreemptible(s)
		r := d.tasks.at(s)
		r.transition(eventPreempt)
		decisions = append(decisions, lovagestand.Decision{
			Kind: lovagestand.DecisionPreempt, Task: d.taskOf(r),
			Worker: p.members[row].worker.Name, Reason: reason,
		})
	}
	return decisions
}

// fewestPreemptions returns the worker on which the fewest tasks must be
// preempted to make room for a size, and puts these tasks into
// scratch.chosenVictims. Among equal numbers it prefers tasks of teams with
// large shares. It returns worker.None if preemption helps on none of the
// workers it compared.
func (d *Decider) fewestPreemptions(p *poolState, size lovagestand.Resources) worker.Row {
	best := worker.None
	fewest, largestShare := 0, 0.0
	compared := 0
	for range p.members {
		row := worker.Row(p.scanCursor)
		p.scanCursor = (p.scanCursor + 1) % len(p.members)
		m := &p.members[row]
		if m.preemptibleCount == 0 || !p.claimable(row) || !size.Fits(p.ledger.Free(row).Add(m.preemptibleSize)) {
			continue
		}
		if compared == maxComparedWorkers {
			break
		}
		compared++
		n := d.chooseVictims(p, row, size)
		if n == 0 || best != worker.None && n > fewest {
			continue
		}
		least := d.leastShare(p, d.scratch.victims[:n])
		if best != worker.None && n == fewest && (least < largestShare || least == largestShare && p.ledger.Earlier(best, row)) {
			continue
		}
		best, fewest, largestShare = row, n, least
		d.scratch.chosenVictims = append(d.scratch.chosenVictims[:0], d.scratch.victims[:n]...)
	}
	return best
}

// leastShare returns the smallest share among the teams of the given tasks.
func (d *Decider) leastShare(p *poolState, tasks []slot) float64 {
	least := math.Inf(1)
	for _, s := range tasks {
		least = min(least, p.accounts.Share(d.tasks.at(s).team))
	}
	return least
}

// chooseVictims puts the preemptible tasks of a worker into scratch.victims and
// returns how many of the first ones must be preempted to make room for a size,
// or 0 if all of them are not enough. If a single task is enough, it comes
// first: the one of the team with the largest share, and of these the smallest.
// Otherwise the largest tasks come first.
func (d *Decider) chooseVictims(p *poolState, row worker.Row, size lovagestand.Resources) int {
	free := p.ledger.Free(row)
	most, used := p.ledger.Slots(row)
	victims := d.collectPreemptible(p, row)
	if i := d.singleVictim(p, row, size.Sub(free)); i >= 0 && used-1 < most {
		victims[0], victims[i] = victims[i], victims[0]
		return 1
	}
	victims = d.preemptibleBySize(p, row)
	for i, s := range victims {
		free = free.Add(d.tasks.at(s).size)
		if size.Fits(free) && most-used+i+1 > 0 {
			return i + 1
		}
	}
	return 0
}

// singleVictim returns the index in scratch.victims of the task to preempt if
// one is enough to free the lacking resources: of the team with the largest
// share, then the smallest, then the last to start. It returns -1 if no task is
// enough.
func (d *Decider) singleVictim(p *poolState, row worker.Row, lacking lovagestand.Resources) int {
	best := -1
	var largestShare, smallest float64
	for i, s := range d.scratch.victims {
		r := d.tasks.at(s)
		if !lacking.Fits(r.size) {
			continue
		}
		share, size := p.accounts.Share(r.team), r.size.DominantShare(p.ledger.Capacity(row))
		if best < 0 || share > largestShare || share == largestShare && size <= smallest {
			best, largestShare, smallest = i, share, size
		}
	}
	return best
}

// preemptibleBySize puts the preemptible tasks of a worker into
// scratch.victims, the largest first.
func (d *Decider) preemptibleBySize(p *poolState, row worker.Row) []slot {
	victims := d.collectPreemptible(p, row)
	capacity := p.ledger.Capacity(row)
	slices.SortStableFunc(victims, func(a, b slot) int {
		return cmp.Compare(d.tasks.at(b).size.DominantShare(capacity), d.tasks.at(a).size.DominantShare(capacity))
	})
	return victims
}

// collectPreemptible puts the preemptible tasks of a worker into
// scratch.victims, in order of their start.
func (d *Decider) collectPreemptible(p *poolState, row worker.Row) []slot {
	victims := d.scratch.victims[:0]
	m := &p.members[row]
	for s := m.firstTask; s != none; s = d.tasks.at(s).next {
		if m.preemptible(d.tasks.at(s)) {
			victims = append(victims, s)
		}
	}
	d.scratch.victims = victims
	return victims
}
