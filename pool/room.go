package pool

import (
	"cmp"
	"slices"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/worker"
)

// makeRoom keeps workers for the task of each class that has waited too long
// and whose team has the least. Services and gangs displace batch tasks that
// checkpoint, batch those of teams that have much more; for all else the tasks
// that run there are left to end.
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
	for _, c := range d.cheapestWorkers(p, r, tasks, now) {
		d.addClaim(p, claim{claimant: s, row: c.row, until: d.claimExpiry(now, maxDrainTime), readyAt: c.readyAt, draining: c.readyAt > now})
		d.scratch.chosenVictims = append(d.scratch.chosenVictims[:0], d.preemptibleFor(p, c.row, r)[:c.preemptions]...)
		decisions = d.preemptChosen(p, c.row, "displaced by waiting "+string(classes[r.rank])+" task "+string(r.id), decisions)
		p.changed = true
	}
	return decisions
}

// hasClaim reports whether a task claims a worker.
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

// maxStarvedTeams bounds the teams of a shape that are looked at.
const maxStarvedTeams = 8

// starvedTask returns the task of a class that has waited too long, of the team
// with the smallest share, leaving out those that room would not help; none if
// there is none.
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
			if d.tasks.at(slot(n.Item)).age(now) < d.options.ageingDelay || !p.accounts.Allows(n.Team, totalOf(shape)) {
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
	// oldAgeFactor is how many times the age at which room is made a batch task
	// waits before it may displace smaller ones of any team.
	oldAgeFactor = 12
	// minSizeRatio is how many times smaller those must be.
	minSizeRatio = 4
)

// preemptibleFor returns the tasks of a worker that may be displaced for r, those
// of the teams with the largest shares first. A batch task displaces only
// those of teams that will have more than its own all the same, so that no two
// displace each other in turn; an old one also much smaller ones.
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

// preemptibleForBatch keeps the victims that a batch task may displace.
func (d *Decider) preemptibleForBatch(p *poolState, victims []slot, r *record) []slot {
	asked := r.size.DominantShare(p.capacity)
	shareAfterStart := p.accounts.Share(r.team) + asked
	old := r.age(p.now) > oldAgeFactor*d.options.ageingDelay
	allowed := victims[:0]
	for _, s := range victims {
		v := d.tasks.at(s)
		size := v.size.DominantShare(p.capacity)
		if p.accounts.Share(v.team)-size > shareAfterStart || old && size*minSizeRatio <= asked {
			allowed = append(allowed, s)
		}
	}
	return allowed
}

// candidate is a worker on which room can be made.
type candidate struct {
	row worker.Row
	// tasks is how many of the claimant's tasks it will hold, stop how many
	// of its own are displaced for that.
	tasks, preemptions int
	// readyAt is when the room is there.
	readyAt int64
}

// maxScannedWorkers bounds the workers that are looked at for a task alone; the next
// scan goes on from there.
const maxScannedWorkers = 16

// cheapestWorkers returns the workers on which room for tasks tasks like r is
// made soonest: at once by displacing or, failing that, by letting tasks end
// unless workers are kept for that already. It returns none if all that it
// looked at together would not do.
func (d *Decider) cheapestWorkers(p *poolState, r *record, tasks int, now int64) []candidate {
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
	if chosen := cheapestCandidates(all, tasks); chosen != nil || d.drainingFor(p, r.rank) {
		return chosen
	}
	for _, row := range rows {
		if c := d.roomByDraining(p, row, r, now); c.tasks > 0 && !slices.ContainsFunc(all, c.sameWorker) {
			all = append(all, c)
		}
	}
	return cheapestCandidates(all, tasks)
}

// gangRoomFactor is how many times the room a gang needs is found before the
// search ends.
const gangRoomFactor = 2

// scanWorkers returns the workers to look at for r.
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

// cheapestCandidates returns the first candidates that together hold tasks tasks, those
// that are ready sooner and displace fewer first; none if all do not.
func cheapestCandidates(all []candidate, tasks int) []candidate {
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

// roomByPreempting tells what room is on a worker or can be made there by displacing.
func (d *Decider) roomByPreempting(p *poolState, row worker.Row, r *record, tasks int, now int64) candidate {
	c := candidate{row: row, readyAt: now, tasks: min(p.freeRoom(row, r.size), tasks)}
	free := p.ledger.Free(row)
	if !r.size.Fits(free.Add(p.members[row].preemptibleSize)) {
		return c
	}
	most, used := p.ledger.Slots(row)
	for i, s := range d.preemptibleFor(p, row, r) {
		free = free.Add(d.tasks.at(s).size)
		room := min(worker.Times(free, r.size, most-used+i+1), tasks)
		if room > c.tasks {
			c.tasks, c.preemptions = room, i+1
		}
	}
	return c
}

// ClaimedFree returns what is free on the workers that are kept for waiting tasks.
func (d *Decider) ClaimedFree() lovagestand.Resources {
	var free lovagestand.Resources
	for _, p := range d.pools {
		for i := range p.claims {
			free = free.Add(p.ledger.Free(p.claims[i].row))
		}
	}
	return free
}
