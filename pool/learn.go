package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/worker"
)

// learn takes in how a task ended.
func (d *Decider) learn(now time.Time, s slot, result lovagestand.TaskResult) {
	r := d.tasks.at(s)
	p := d.pools[r.pool]
	done, failed := result.Phase == lovagestand.TaskDone, result.Phase == lovagestand.TaskFailed
	if result.Ran > 0 && (done || failed) && r.rank != rankService {
		p.pace.add(result.Ran)
		if done {
			d.routes.rows[r.route].runTimes.Add(result.Ran)
		}
	}
	switch {
	case d.options.noQuarantine:
	case result.Refused:
		d.blame(p, now, r, worker.FailureRate{})
	case done || failed:
		d.judge(p, now, r, failed)
	}
}

// judge tells whether a result speaks against the worker or the request: a
// failure that is usual for its route, or a request that failed on several
// workers, does not speak against the worker.
func (d *Decider) judge(p *state, now time.Time, r *record, failed bool) {
	m := &p.members[r.row]
	rate := &d.routes.rows[r.route].failures
	rate.Add(r.row, failed)
	if !failed {
		d.requests.done(r.key)
		m.health.RecordSuccess()
		if m.state == stateProbing && p.turn(r.row, eventTrust) {
			p.register(r.row)
		}
		return
	}
	key := xxhash.Sum64String(string(r.key))
	if d.requests.failed(key, p.number, r.row) {
		return
	}
	d.blame(p, now, r, *rate)
}

// blame counts a failure or a refusal against a worker.
func (d *Decider) blame(p *state, now time.Time, r *record, usual worker.FailureRate) {
	m := &p.members[r.row]
	if m.health.RecordFailure(xxhash.Sum64String(string(r.key)), usual) || m.state == stateProbing {
		d.distrust(p, now, r.row)
	}
}

const (
	// quarantineDivisor bounds the quarantined workers of a pool to one in so
	// many, or to one in a small pool.
	quarantineDivisor = 5
	// quarantineFrom is the fewest workers of which one may be quarantined.
	quarantineFrom = 2
)

// distrust quarantines a worker unless too many are quarantined already.
func (*Decider) distrust(p *state, now time.Time, row worker.Row) {
	m := &p.members[row]
	known := p.ledger.Totals().Workers + p.quarantined
	suspects := p.quarantined + p.probing - count(m.state == stateProbing)
	if known < quarantineFrom || suspects >= max(known/quarantineDivisor, 1) {
		return
	}
	if p.turn(row, eventDistrust) {
		m.health.Quarantine(now)
		p.register(row)
	}
}

// probe lets quarantined workers that are due take one task at a time, and
// trusts those again for which no such task came.
func (p *state) probe(now time.Time) {
	if p.quarantined == 0 && p.probing == 0 {
		return
	}
	for i := range p.members {
		m := &p.members[i]
		switch {
		case m.state == stateQuarantined && m.health.ProbeDue(now):
			p.turn(worker.Row(i), eventProbe)
		case m.state == stateProbing && m.first == none && m.health.ProbeOverdue(now):
			p.turn(worker.Row(i), eventTrust)
		default:
			continue
		}
		p.register(worker.Row(i))
	}
}

// probeFor returns a worker that waits for a probe if r is harmless to run
// again.
func (p *state) probeFor(r *record) worker.Row {
	if p.probing == 0 || !r.flags.has(flagIdempotent) || r.gang >= 0 {
		return worker.None
	}
	for i := range p.members {
		row := worker.Row(i)
		if p.members[i].state == stateProbing && !p.members[i].claimed && p.ledger.HasRoom(row, r.size) {
			return row
		}
	}
	return worker.None
}

// requests remembers the requests that failed last and on how many workers.
type requests struct {
	byKey map[uint64]int
	rows  [badRequests]badRequest
	at    int
}

type badRequest struct {
	key uint64
	// workers are the places where it failed, each counted once.
	workers [3]place
	count   int
}

// badRequests is how many failed requests are remembered.
const badRequests = 1024

// failed counts a failure and reports whether the request failed on another
// worker before, so that this one is not to blame.
func (q *requests) failed(key uint64, pool uint16, row worker.Row) bool {
	b := q.row(key)
	at := place{pool, row}
	before := 0
	for _, w := range b.workers[:b.count] {
		if w == at {
			return false
		}
		before++
	}
	if b.count < len(b.workers) {
		b.workers[b.count] = at
		b.count++
	}
	return before > 0
}

// row returns the place of a key, in the stead of the oldest if it is new.
func (q *requests) row(key uint64) *badRequest {
	if q.byKey == nil {
		q.byKey = map[uint64]int{}
	}
	if i, ok := q.byKey[key]; ok {
		return &q.rows[i]
	}
	delete(q.byKey, q.rows[q.at].key)
	q.rows[q.at] = badRequest{key: key}
	q.byKey[key] = q.at
	q.at = (q.at + 1) % badRequests
	return &q.rows[(q.at+badRequests-1)%badRequests]
}

// done clears the failures of a request.
func (q *requests) done(key lovagestand.RequestKey) {
	if len(q.byKey) == 0 {
		return
	}
	if i, ok := q.byKey[xxhash.Sum64String(string(key))]; ok {
		q.rows[i].count = 0
	}
}

// bad reports whether a request failed on so many workers that it is itself
// to blame.
func (q *requests) bad(key lovagestand.RequestKey) bool {
	if len(q.byKey) == 0 {
		return false
	}
	i, ok := q.byKey[xxhash.Sum64String(string(key))]
	return ok && q.rows[i].count == len(q.rows[i].workers)
}
