package pool

import (
	"cmp"
	"slices"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/worker"
)

// makeRoom claims workers for one starved task of each class other than urgent,
// chosen by the smallest team share. Services and gangs preempt batch tasks
// that checkpoint. Batch tasks preempt only those of teams with much larger
// shares. Where no task may be preempted, the worker stays claimed until enough
// of its tasks have ended.
func (d *Decider) makeRoom(p *poolState, now int64, decisions []lovagestand.Decision) []lovagestand.Decision {
	if d.options.noAgeing {
		return decisions
	}
	for rank := rankService; rank <= rankBatch; rank++ {
		if s := d.starvedTask(p, rank, now); s != none {
			decisions = d.makeRoomFor(p, s, now, decisions)
		}
	}
	return decisions
}

func (d *Decider) makeRoomFor(p *poolState, s slot, now int64, decisions []lovagestand.Decision) []lovagestand.Decision {
	r := d.tasks.at(s)
	tasks := 1
	if r.gang >= 0 {
		tasks = d.gangs.rows[r.gang].size
	}
	for _, c := range d.soonestWorkers(p, r, tasks, now) {
		d.addClaim(p, claim{claimant: s, row: c.row, until: d.claimExpiry(now, maxDrainTime), readyAt: c.readyAt, draining: c.readyAt > now})
		d.scratch.chosenVictims = append(d.scratch.chosenVictims[:0], d.preemptibleFor(p, c.row, r)[:c.preemptions]...)
		decisions = d.preemptChosen(p, c.row, "displaced by waiting "+string(classes[r.rank])+" task "+string(r.id), decisions)
		p.changed = true
	}
	return decisions
}

// hasClaim reports whether a worker is claimed for a waiting task.
func (d *Decider) hasClaim(p *poolState, s slot) bool {
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

// maxStarvedTeams is the number of teams, for each shape, whose first waiting
// task is checked for starvation.
const maxStarvedTeams = 8

// starvedTask returns the task of a class that has waited for the ageing delay
// and whose team has the smallest share. It skips tasks that already have a
// claim, and those that the headroom or their team's quota would keep from
// starting even if there was room. It returns none if no task is starved.
func (d *Decider) starvedTask(p *poolState, rank int8, now int64) slot {
	found := none
	var best queue.Next
	for _, g := range p.queue.Groups(rank) {
		shape := p.queue.Group(g).Shape
		if !p.leavesHeadroom(shape) {
			continue
		}
		d.scratch.heads = p.queue.Heads(g, maxStarvedTeams, d.scratch.heads[:0])
		for _, n := range d.scratch.heads {
			if d.tasks.at(slot(n.Item)).age(now) < d.options.ageingDelay || !p.accounts.WithinQuota(n.Team, totalOf(shape)) {
				continue
			}
			if d.hasClaim(p, slot(n.Item)) {
				continue
			}
			if found == none || n.Before(best) {
				found, best = slot(n.Item), n
			}
		}
	}
	return found
}

const (
	// oldAgeFactor is the multiple of the ageing delay that a batch task waits
	// before it may preempt smaller tasks of any team.
	oldAgeFactor = 12
	// minSizeRatio is how many times smaller these tasks must be.
	minSizeRatio = 4
)

// preemptibleFor returns the tasks of a worker that may be preempted for r,
// those of the teams with the largest shares first. A batch task preempts only
// tasks of teams whose share stays larger than that of its own team, so that
// two teams cannot preempt each other in turn. A batch task that has waited
// very long may also preempt much smaller tasks.
func (d *Decider) preemptibleFor(p *poolState, row worker.Row, r *record) []slot {
	if d.options.noPreemption {
		return nil
	}
	victims := d.collectPreemptible(p, row)
	if r.rank == rankBatch {
		victims = d.preemptibleForBatch(p, victims, r)
	}
	slices.SortStableFunc(victims, func(a, b slot) int {
		v, w := d.tasks.at(a), d.tasks.at(b)
		return cmp.Or(cmp.Compare(p.accounts.Share(w.team), p.accounts.Share(v.team)), cmp.Compare(w.size.MilliCPU, v.size.MilliCPU))
	})
	return victims
}

// preemptibleForBatch removes the tasks that the batch task r may not preempt
// from victims.
func (d *Decider) preemptibleForBatch(p *poolState, victims []slot, r *record) []slot {
	requested := r.size.DominantShare(p.capacity)
	shareAfterStart := p.accounts.Share(r.team) + requested
	old := r.age(p.now) > oldAgeFactor*d.options.ageingDelay
	allowed := victims[:0]
	for _, s := range victims {
		v := d.tasks.at(s)
		size := v.size.DominantShare(p.capacity)
		if p.accounts.Share(v.team)-size > shareAfterStart || old && size*minSizeRatio <= requested {
			allowed = append(allowed, s)
		}
	}
	return allowed
}

// candidate is a worker on which room can be made.
type candidate struct {
	row worker.Row
	// tasks is how many of the claimant's tasks the worker will have room for,
	// preemptions is how many of the worker's tasks must be preempted for that.
	tasks, preemptions int
	// readyAt is when the room is expected to be available.
	readyAt int64
}

// maxScannedWorkers is the number of workers that are scanned for a single
// task; the next scan continues after them. The search for a gang may end once
// it has found this many candidates.
const maxScannedWorkers = 16

// soonestWorkers returns the workers on which room for the given number of
// tasks like r is available soonest: at once by preemption or, if that is not
// enough, by draining, which waits for running tasks to end. Draining is left out
// if a worker is already being drained for the class. It returns nil if the
// scanned workers together do not have enough room.
func (d *Decider) soonestWorkers(p *poolState, r *record, tasks int, now int64) []candidate {
	rows := d.scanWorkers(p, r, tasks)
	var all []candidate
	room := 0
	for _, row := range rows {
		c := d.roomByPreempting(p, row, r, tasks, now)
		if c.tasks > 0 {
			all = append(all, c)
		}
		room += c.tasks
		if room >= gangRoomFactor*tasks && len(all) >= maxScannedWorkers {
			break
		}
	}
	if chosen := selectCandidates(all, tasks); chosen != nil || d.drainingFor(p, r.rank) {
		return chosen
	}
	for _, row := range rows {
		if c := d.roomByDraining(p, row, r, now); c.tasks > 0 && !slices.ContainsFunc(all, c.sameWorker) {
			all = append(all, c)
		}
	}
	return selectCandidates(all, tasks)
}

// gangRoomFactor is how many times the room that a gang needs must be found
// before the search may end.
const gangRoomFactor = 2

// scanWorkers returns the claimable workers that are large enough for r. It
// visits all workers for a gang, and at most maxScannedWorkers for a single
// task.
func (d *Decider) scanWorkers(p *poolState, r *record, tasks int) []worker.Row {
	most := len(p.members)
	if tasks == 1 {
		most = min(most, maxScannedWorkers)
	}
	var rows []worker.Row
	for range most {
		row := worker.Row(p.scanCursor)
		p.scanCursor = (p.scanCursor + 1) % len(p.members)
		if p.claimable(row) && r.size.Fits(p.ledger.Capacity(row)) {
			rows = append(rows, row)
		}
	}
	return rows
}

// selectCandidates returns the first candidates that together hold the given
// number of tasks, in order of their readiness and then of the preemptions per
// task. It returns nil if all candidates together hold fewer.
func selectCandidates(all []candidate, tasks int) []candidate {
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.readyAt, b.readyAt), cmp.Compare(a.preemptions*b.tasks, b.preemptions*a.tasks))
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

// sameWorker reports whether c and o are on the same worker.
func (c candidate) sameWorker(o candidate) bool {
	return c.row == o.row
}

// roomByPreempting returns the room that a worker has now, or that can be made
// there by preemption.
func (d *Decider) roomByPreempting(p *poolState, row worker.Row, r *record, tasks int, now int64) candidate {
	c := candidate{row: row, readyAt: now, tasks: min(p.freeRoom(row, r.size), tasks)}
	free := p.ledger.Free(row)
	if !r.size.Fits(free.Add(p.members[row].preemptibleSize)) {
		return c
	}
	most, used := p.ledger.Slots(row)
	for i, s := range d.preemptibleFor(p, row, r) {
		free = free.Add(d.tasks.at(s).size)
		room := min(worker.FitCount(free, r.size, most-used+i+1), tasks)
		if room > c.tasks {
			c.tasks, c.preemptions = room, i+1
		}
	}
	return c
}

// ClaimedFree returns the sum of the free resources of all claimed workers.
func (d *Decider) ClaimedFree() lovagestand.Resources {
	var free lovagestand.Resources
	for _, p := range d.pools {
		for i := range p.claims {
			free = free.Add(p.ledger.Free(p.claims[i].row))
		}
	}
	return free
}
