package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/worker"
)

// recordOutcome records the run time of a task that has ended, and what its
// result indicates about its route, its worker and its request.
func (d *Decider) recordOutcome(now time.Time, s slot, result lovagestand.TaskResult) {
	r := d.tasks.at(s)
	p := d.pools[r.pool]
	done, failed := result.Phase == lovagestand.TaskDone, result.Phase == lovagestand.TaskFailed
	if result.Ran > 0 && (done || failed) && r.rank != rankService {
		p.meanRunTime.add(result.Ran)
		if done {
			d.routes.rows[r.route].runTimes.Add(result.Ran)
		}
	}
	switch {
	case d.options.noQuarantine:
	case result.Refused:
		d.countFailure(p, now, r, worker.FailureRate{})
	case done || failed:
		d.updateHealth(p, now, r, failed)
	}
}

// updateHealth records a result of a worker. A failure counts less against the
// worker the more often tasks of the route fail, and not at all if the request
// failed on another worker before.
func (d *Decider) updateHealth(p *poolState, now time.Time, r *record, failed bool) {
	m := &p.members[r.row]
	rate := &d.routes.rows[r.route].failures
	rate.Add(r.row, failed)
	if !failed {
		d.failedRequests.clearFailures(r.key)
		m.health.RecordSuccess()
		if m.state == stateProbing && p.transition(r.row, eventTrust) {
			p.updateLedger(r.row)
		}
		return
	}
	key := xxhash.Sum64String(string(r.key))
	if d.failedRequests.recordFailure(key, p.number, r.row) {
		return
	}
	d.countFailure(p, now, r, *rate)
}

// countFailure counts a failure or a refusal against a worker and quarantines
// the worker if it has failed too often or was being probed.
func (d *Decider) countFailure(p *poolState, now time.Time, r *record, routeRate worker.FailureRate) {
	m := &p.members[r.row]
	if m.health.RecordFailure(xxhash.Sum64String(string(r.key)), routeRate) || m.state == stateProbing {
		d.quarantine(p, now, r.row)
	}
}

const (
	// quarantineDivisor limits the quarantined workers of a pool to one in this
	// many, or to one in a small pool.
	quarantineDivisor = 5
	// quarantineMinWorkers is the smallest number of workers in a pool of which
	// one may be quarantined.
	quarantineMinWorkers = 2
)

// quarantine quarantines a worker, unless too many are quarantined already.
func (*Decider) quarantine(p *poolState, now time.Time, row worker.Row) {
	m := &p.members[row]
	total := p.ledger.Totals().Workers + p.quarantined
	suspects := p.quarantined + p.probing - oneIf(m.state == stateProbing)
	if total < quarantineMinWorkers || suspects >= max(total/quarantineDivisor, 1) {
		return
	}
	if p.transition(row, eventDistrust) {
		m.health.Quarantine(now)
		p.updateLedger(row)
	}
}

// probeWorkers lets the quarantined workers that are due for a probe take one
// task at a time. It releases a worker from quarantine if no task to probe it
// with has come in time.
func (p *poolState) probeWorkers(now time.Time) {
	if p.quarantined == 0 && p.probing == 0 {
		return
	}
	for i := range p.members {
		m := &p.members[i]
		switch {
		case m.state == stateQuarantined && m.health.ProbeDue(now):
			p.transition(worker.Row(i), eventProbe)
		case m.state == stateProbing && m.firstTask == none && m.health.ProbeOverdue(now):
			p.transition(worker.Row(i), eventTrust)
		default:
			continue
		}
		p.updateLedger(worker.Row(i))
	}
}

// workerToProbe returns a worker that waits for a task to be probed with. It
// returns worker.None if there is none, or if r belongs to a gang or is not
// idempotent and may thus not be run again if the worker fails it.
func (p *poolState) workerToProbe(r *record) worker.Row {
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

// failedRequests records the latest requests that failed, and on which workers
// they did.
type failedRequests struct {
	byKey map[uint64]int
	rows  [maxFailedRequests]failedRequest
	next  int
}

type failedRequest struct {
	key uint64
	// workers are the workers on which it failed, each listed once.
	workers [3]workerRef
	count   int
}

// maxFailedRequests is how many failed requests are recorded.
const maxFailedRequests = 1024

// recordFailure records that a request failed on a worker. It reports whether
// the request failed on another worker before, so that the failure is not
// attributed to this one.
func (f *failedRequests) recordFailure(key uint64, pool uint16, row worker.Row) bool {
	request := f.entry(key)
	at := workerRef{pool, row}
	before := 0
	for _, w := range request.workers[:request.count] {
		if w == at {
			return false
		}
		before++
	}
	if request.count < len(request.workers) {
		request.workers[request.count] = at
		request.count++
	}
	return before > 0
}

// entry returns the entry of a key. The entry of a new key replaces the oldest
// one.
func (f *failedRequests) entry(key uint64) *failedRequest {
	if f.byKey == nil {
		f.byKey = map[uint64]int{}
	}
	if i, ok := f.byKey[key]; ok {
		return &f.rows[i]
	}
	delete(f.byKey, f.rows[f.next].key)
	f.rows[f.next] = failedRequest{key: key}
	f.byKey[key] = f.next
	f.next = (f.next + 1) % maxFailedRequests
	return &f.rows[(f.next+maxFailedRequests-1)%maxFailedRequests]
}

// clearFailures clears the recorded failures of a request.
func (f *failedRequests) clearFailures(key lovagestand.RequestKey) {
	if len(f.byKey) == 0 {
		return
	}
	if i, ok := f.byKey[xxhash.Sum64String(string(key))]; ok {
		f.rows[i].count = 0
	}
}

// isBad reports whether a request failed on so many workers that the failures
// are attributed to the request itself.
func (f *failedRequests) isBad(key lovagestand.RequestKey) bool {
	if len(f.byKey) == 0 {
		return false
	}
	i, ok := f.byKey[xxhash.Sum64String(string(key))]
	return ok && f.rows[i].count == len(f.rows[i].workers)
}
