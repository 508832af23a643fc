package pool

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/worker"
)

// Decide implements [lovagestand.Decider]. It skips the pools that have not
// changed since the last call and are not due for a check, so that a call
// without changes costs almost nothing.
func (d *Decider) Decide(now time.Time, decisions []lovagestand.Decision) []lovagestand.Decision {
	n := now.UnixNano()
	decisions = d.expire(n, decisions)
	d.expireHolds(now)
	decisions = d.takePending(decisions)
	for _, p := range d.sortedPools {
		if p.changed || n >= p.nextCheck {
			decisions = d.decidePool(p, now, decisions)
		}
	}
	return decisions
}

const (
	// checkInterval is how often a pool is checked even if nothing has changed.
	checkInterval = time.Second
	// makeRoomInterval is how often room is made for one starved task of each
	// class.
	makeRoomInterval = 100 * time.Millisecond
)

func (d *Decider) decidePool(p *poolState, now time.Time, decisions []lovagestand.Decision) []lovagestand.Decision {
	n := now.UnixNano()
	p.changed = false
	p.now = n
	p.refreshShares()
	check := n >= p.nextCheck
	if check {
		p.nextCheck = n + int64(checkInterval)
		p.probeWorkers(now)
		d.expireClaims(p, n)
		d.updateHeadroom(p)
	}
	for rank := range int8(len(classes)) {
		decisions = d.startAll(p, rank, n, decisions)
	}
	decisions = d.preemptForUrgent(p, n, decisions)
	if n >= p.nextMakeRoom {
		p.nextMakeRoom = n + int64(makeRoomInterval)
		decisions = d.makeRoom(p, n, decisions)
	}
	return decisions
}

// expire removes the waiting tasks whose start deadline has passed.
func (d *Decider) expire(now int64, decisions []lovagestand.Decision) []lovagestand.Decision {
	for deadline, ok := d.deadlines.Pop(now); ok; deadline, ok = d.deadlines.Pop(now) {
		if !d.deadlineApplies(deadline) {
			continue
		}
		s := slot(deadline.Item)
		r := d.tasks.at(s)
		decisions = append(decisions, lovagestand.Decision{
			Kind: lovagestand.DecisionExpire, Task: d.taskOf(r),
			Reason:     "no worker was free before the time limit",
			RetryAfter: d.pools[r.pool].retryAfter(r.rank),
		})
		d.leaveQueue(s, eventExpire)
		d.forget(s)
	}
	return decisions
}

// startAll starts tasks of a class until none of those that wait fits.
func (d *Decider) startAll(p *poolState, rank int8, now int64, decisions []lovagestand.Decision) []lovagestand.Decision {
	for {
		s := d.nextTask(p, rank)
		if s == none {
			return decisions
		}
		decisions = d.startChosen(p, s, now, decisions)
	}
}

// nextTask returns the task of a class that starts now, and puts the workers
// chosen for it into scratch.rows. Of all tasks that fit it returns the one of
// the team with the smallest share and, within that team, the one that arrived
// first. It returns none if no task fits.
func (d *Decider) nextTask(p *poolState, rank int8) slot {
	for {
		group, best := d.firstGroup(p, rank)
		claimant := d.firstClaimant(p, rank, best, group >= 0)
		if claimant != none {
			if d.chooseWorkers(p, claimant) {
				return claimant
			}
			p.markTried(claimant)
			continue
		}
		if group < 0 {
			return none
		}
		s := slot(best.Item)
		if !p.accounts.WithinQuota(best.Team, totalOf(p.queue.Group(group).Shape)) {
			p.queue.Park(group)
			continue
		}
		if p.leavesHeadroom(p.queue.Group(group).Shape) && d.chooseWorkers(p, s) {
			return s
		}
		p.queue.Group(group).Tried = p.version()
	}
}

// firstGroup returns the group of a class that contains the task to be served
// next, and that task, among the groups that may fit. It returns -1 if there is
// no such group.
func (*Decider) firstGroup(p *poolState, rank int8) (int32, queue.Next) {
	best := queue.Next{}
	found := int32(-1)
	version := p.version()
	for _, g := range p.queue.Groups(rank) {
		if p.queue.Group(g).Tried == version {
			continue
		}
		n, ok := p.queue.Next(g)
		if ok && (found < 0 || n.Before(best)) {
			found, best = g, n
		}
	}
	return found, best
}

// totalOf returns the resources that all tasks of a shape take together.
func totalOf(s queue.Shape) lovagestand.Resources {
	return s.Size.Times(int64(s.Tasks))
}

// chooseWorkers chooses a worker for a task, or one for each task of its gang,
// and takes the resources there. It puts the chosen workers into scratch.rows.
// If not all tasks fit, it takes nothing and returns false.
func (d *Decider) chooseWorkers(p *poolState, s slot) bool {
	d.scratch.rows = d.scratch.rows[:0]
	r := d.tasks.at(s)
	tasks := 1
	if r.gang >= 0 {
		tasks = d.gangs.rows[r.gang].size
		d.openClaimedWorkers(p, s, true)
		defer d.openClaimedWorkers(p, s, false)
	}
	for range tasks {
		row := d.chooseWorker(p, r)
		if row == worker.None || !p.ledger.Take(row, r.size) {
			for _, taken := range d.scratch.rows {
				p.ledger.UndoTake(taken, r.size)
			}
			return false
		}
		d.scratch.rows = append(d.scratch.rows, row)
	}
	return true
}

// chooseWorker returns the worker for one task, or worker.None if none has
// room.
func (d *Decider) chooseWorker(p *poolState, r *record) worker.Row {
	if r.rank == rankService && r.gang < 0 {
		return p.ledger.BestSpread(r.size, p.replicasOf(r.route))
	}
	if row := p.workerToProbe(r); row != worker.None {
		return row
	}
	row := d.findOpenWorker(p, r.size)
	claimed := r.row
	if claimed != worker.None && p.ledger.HasRoom(claimed, r.size) && (row == worker.None || p.ledger.TighterFit(claimed, row)) {
		return claimed
	}
	if row == worker.None {
		return d.backfill(p, r)
	}
	return row
}

// findOpenWorker returns an open worker that has room for a size, or
// worker.None. A worker is open unless it is claimed or being probed.
func (d *Decider) findOpenWorker(p *poolState, size lovagestand.Resources) worker.Row {
	if d.options.firstFit {
		return firstFit(p, size)
	}
	return p.ledger.BestFit(size)
}

func firstFit(p *poolState, size lovagestand.Resources) worker.Row {
	for row := range p.ledger.Rows() {
		if p.ledger.HasRoom(row, size) && !p.ledger.Closed(row) {
			return row
		}
	}
	return worker.None
}

// startChosen starts a task, or its whole gang, on the workers in scratch.rows.
func (d *Decider) startChosen(p *poolState, s slot, now int64, decisions []lovagestand.Decision) []lovagestand.Decision {
	r := d.tasks.at(s)
	if r.gang < 0 {
		return append(decisions, d.startOne(p, s, d.scratch.rows[0], now))
	}
	for _, row := range d.scratch.rows {
		first := d.gangs.rows[r.gang].waiting[0]
		decisions = append(decisions, d.startOne(p, first, row, now))
	}
	return decisions
}

func (d *Decider) startOne(p *poolState, s slot, row worker.Row, now int64) lovagestand.Decision {
	d.leaveQueue(s, eventPlace)
	d.recordPlacement(now, s, row)
	return lovagestand.Decision{
		Kind: lovagestand.DecisionStart, Task: d.taskOf(d.tasks.at(s)), Worker: p.members[row].worker.Name,
	}
}
