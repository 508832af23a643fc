package pool

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/team"
	"lovagestand.example/lovagestand/worker"
)

// hold is a reservation of room for the tasks of a gang that are to run in this
// shard, while its other tasks run in other shards.
type hold struct {
	pool uint16
	team team.ID
	size lovagestand.Resources
	rows []worker.Row
	// until is when the hold ends unless it is committed.
	until time.Time
}

// Hold implements [lovagestand.GangDecider].
func (d *Decider) Hold(now time.Time, h lovagestand.Hold) error {
	d.dropHold(h.Gang)
	p := d.pool(h.Pool)
	fail := func(reason string) error {
		return &lovagestand.HoldError{Gang: h.Gang, Reason: reason}
	}
	total := h.Resources.Times(int64(h.Tasks))
	id := p.team(h.Team)
	switch {
	case h.Tasks < 1 || !h.Resources.Valid():
		return fail("it asks for nothing")
	case !now.Before(h.Until):
		return fail("its time is over")
	case !p.accounts.WithinQuota(id, total):
		return fail("the team is at its quota")
	}
	p.openHoldClaims(h.Gang, true)
	rows, ok := p.takeWorkers(h.Resources, h.Tasks)
	p.openHoldClaims(h.Gang, false)
	if !ok {
		d.makeRoomForHold(p, id, &h, now.UnixNano())
		return fail("not enough is free")
	}
	d.dropHoldClaims(p, h.Gang)
	p.charge(id, rankGang, total)
	d.holds[h.Gang] = &hold{pool: p.number, team: id, size: h.Resources, rows: rows, until: h.Until}
	return nil
}

// takeWorkers takes room for the given number of tasks and returns their
// workers. If not all tasks fit, it takes nothing and returns false.
func (p *poolState) takeWorkers(size lovagestand.Resources, tasks int) ([]worker.Row, bool) {
	rows := make([]worker.Row, 0, tasks)
	for range tasks {
		row := p.ledger.BestFit(size)
		if row == worker.None || !p.ledger.Take(row, size) {
			for _, taken := range rows {
				p.ledger.UndoTake(taken, size)
			}
			return nil, false
		}
		rows = append(rows, row)
	}
	return rows, true
}

// Commit implements [lovagestand.GangDecider].
func (d *Decider) Commit(now time.Time, gang string, tasks []lovagestand.Task, decisions []lovagestand.Decision) ([]lovagestand.Decision, error) {
	h, ok := d.holds[gang]
	if !ok || !now.Before(h.until) {
		return decisions, &lovagestand.HoldError{Gang: gang, Reason: "nothing is held"}
	}
	if !d.matchesHold(h, tasks) {
		return decisions, &lovagestand.HoldError{Gang: gang, Reason: "the tasks are not those it was held for"}
	}
	p := d.pools[h.pool]
	if !p.holdValid(h) {
		d.Release(gang)
		return decisions, &lovagestand.HoldError{Gang: gang, Reason: "a worker or the quota has shrunk since"}
	}
	delete(d.holds, gang)
	p.charge(h.team, rankGang, lovagestand.Resources{}.Sub(h.size.Times(int64(len(h.rows)))))
	for i := range tasks {
		s := d.newRecord(&tasks[i])
		d.tasks.at(s).transition(eventPlace)
		d.recordPlacement(now.UnixNano(), s, h.rows[i])
		decisions = append(decisions, lovagestand.Decision{
			Kind: lovagestand.DecisionStart, Task: tasks[i], Worker: p.members[h.rows[i]].worker.Name,
		})
	}
	return decisions, nil
}

// holdValid reports whether the workers of a hold still take new tasks and are
// within their capacity, and the team is within its quota.
func (p *poolState) holdValid(h *hold) bool {
	for _, row := range h.rows {
		most, used := p.ledger.Slots(row)
		if !p.ledger.Schedulable(row) || !p.ledger.Free(row).Valid() || used > most {
			return false
		}
	}
	return p.accounts.WithinQuota(h.team, lovagestand.Resources{})
}

// matchesHold reports whether tasks are new to the decider and have the number,
// pool, resources and team of a hold.
func (d *Decider) matchesHold(h *hold, tasks []lovagestand.Task) bool {
	if len(tasks) != len(h.rows) {
		return false
	}
	p := d.pools[h.pool]
	seen := map[lovagestand.TaskID]bool{}
	for i := range tasks {
		t := &tasks[i]
		alike := t.Pool == p.name && t.Resources == h.size && t.Team == p.teams[h.team]
		if !alike || seen[t.ID] || d.tasks.find(t.ID) != none {
			return false
		}
		seen[t.ID] = true
	}
	return true
}

// Release implements [lovagestand.GangDecider].
func (d *Decider) Release(gang string) {
	d.dropHold(gang)
	for _, p := range d.pools {
		d.dropHoldClaims(p, gang)
	}
}

// dropHold returns the resources of a gang's hold, if there is one.
func (d *Decider) dropHold(gang string) {
	h, ok := d.holds[gang]
	if !ok {
		return
	}
	delete(d.holds, gang)
	p := d.pools[h.pool]
	for _, row := range h.rows {
		p.ledger.Release(row, h.size)
	}
	p.charge(h.team, rankGang, lovagestand.Resources{}.Sub(h.size.Times(int64(len(h.rows)))))
	p.changed = true
}

// expireHolds releases the holds that have ended without a commit.
func (d *Decider) expireHolds(now time.Time) {
	for gang, h := range d.holds {
		if !now.Before(h.until) {
			d.Release(gang)
		}
	}
}

// releaseHoldsOn releases the holds that have room on a worker that is removed.
func (d *Decider) releaseHoldsOn(p *poolState, row worker.Row) {
	for gang, h := range d.holds {
		if h.pool != p.number {
			continue
		}
		for _, held := range h.rows {
			if held == row {
				d.Release(gang)
				break
			}
		}
	}
}
