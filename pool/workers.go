package pool

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
	"lovagestand.example/lovagestand/worker"
)

var workerChart = chart.Worker()

// The states and events of the worker chart.
var (
	stateFit         = workerChart.MustState("fit")
	stateProbing     = workerChart.MustState("probing")
	stateQuarantined = workerChart.MustState("quarantined")
	stateLeaving     = workerChart.MustState("leaving")
	stateGone        = workerChart.MustState("gone")
	eventDistrust    = workerChart.MustEvent("distrust")
	eventProbe       = workerChart.MustEvent("probe")
	eventTrust       = workerChart.MustEvent("trust")
	eventLeave       = workerChart.MustEvent("leave")
	eventReturn      = workerChart.MustEvent("return")
	eventRemove      = workerChart.MustEvent("remove")
)

// SetWorker implements [lovagestand.Decider].
func (d *Decider) SetWorker(now time.Time, w lovagestand.Worker, pool lovagestand.PoolName) {
	at, ok := d.workers[w.Name]
	if ok && d.pools[at.pool].name != pool {
		d.moveWorker(now, w, pool)
		return
	}
	p := d.pool(pool)
	p.changed = true
	if !ok {
		row := p.ledger.Add(worker.Spec{})
		for int(row) >= len(p.members) {
			p.members = append(p.members, member{})
		}
		p.members[row] = member{firstTask: none, lastTask: none, state: workerChart.Initial()}
		d.workers[w.Name] = workerRef{p.number, row}
		d.applyWorker(p, row, w)
		return
	}
	d.adjustReplicas(p, at.row, -1)
	d.applyWorker(p, at.row, w)
	d.adjustReplicas(p, at.row, 1)
}

// applyWorker stores the current description of a worker and applies it. A
// leaving worker loses its claims.
func (d *Decider) applyWorker(p *poolState, row worker.Row, w lovagestand.Worker) {
	m := &p.members[row]
	m.worker = w
	if w.Leaving {
		p.transition(row, eventLeave)
		d.dropClaimsOn(p, row)
	} else {
		p.transition(row, eventReturn)
	}
	p.updateLedger(row)
}

// updateLedger sets in the ledger what a worker may take in its present state.
func (p *poolState) updateLedger(row worker.Row) {
	m := &p.members[row]
	spec := worker.Spec{
		Capacity:    m.worker.Capacity,
		Slots:       m.worker.Slots,
		Schedulable: m.state == stateFit || m.state == stateProbing,
		Site:        worker.Site{Region: m.worker.Region, FailureDomain: m.worker.FailureDomain, Rack: m.worker.Rack},
	}
	if m.state == stateProbing {
		spec.Slots = min(spec.Slots, 1)
	}
	p.ledger.Set(row, spec)
	p.ledger.Close(row, m.claimed || m.state == stateProbing)
	p.changed = true
}

// transition applies an event of the worker chart if it is allowed, and reports
// whether it was.
func (p *poolState) transition(row worker.Row, e chart.Event) bool {
	m := &p.members[row]
	next, err := workerChart.Next(m.state, e)
	if err != nil {
		return false
	}
	p.quarantined += oneIf(next == stateQuarantined) - oneIf(m.state == stateQuarantined)
	p.probing += oneIf(next == stateProbing) - oneIf(m.state == stateProbing)
	m.state = next
	return true
}

func oneIf(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// adjustReplicas adds delta to the replica count of each service task on a
// worker. The counts are taken out and added again around a change of the
// worker, whose rack may differ after it.
func (d *Decider) adjustReplicas(p *poolState, row worker.Row, delta int32) {
	for s := p.members[row].firstTask; s != none; s = d.tasks.at(s).next {
		if r := d.tasks.at(s); r.rank == rankService {
			p.ledger.AddReplicas(p.replicasOf(r.route), row, delta)
		}
	}
}

// moveWorker moves a worker and its tasks to another pool.
func (d *Decider) moveWorker(now time.Time, w lovagestand.Worker, pool lovagestand.PoolName) {
	tasks := d.RemoveWorker(now, w.Name)
	d.SetWorker(now, w, pool)
	for i := range tasks {
		tasks[i].Pool = pool
		d.Adopt(now, tasks[i], w.Name)
	}
}

// RemoveWorker implements [lovagestand.Decider].
func (d *Decider) RemoveWorker(_ time.Time, name lovagestand.WorkerName) []lovagestand.Task {
	at, ok := d.workers[name]
	if !ok {
		return nil
	}
	delete(d.workers, name)
	p := d.pools[at.pool]
	var tasks []lovagestand.Task
	for s := p.members[at.row].firstTask; s != none; s = p.members[at.row].firstTask {
		tasks = append(tasks, d.taskOf(d.tasks.at(s)))
		d.uncountPreemptible(s)
		d.releaseTask(s, eventLose)
		d.forget(s)
	}
	d.releaseHoldsOn(p, at.row)
	d.dropClaimsOn(p, at.row)
	p.transition(at.row, eventRemove)
	p.ledger.Remove(at.row)
	p.changed = true
	return tasks
}

// Adopt implements [lovagestand.Decider]. A worker that is not registered yet
// is added as one that has no capacity and is leaving.
func (d *Decider) Adopt(now time.Time, t lovagestand.Task, on lovagestand.WorkerName) {
	d.Cancel(t.ID)
	if s := d.tasks.find(t.ID); s != none {
		d.uncountPreemptible(s)
		d.releaseTask(s, eventFinish)
		d.forget(s)
	}
	at, ok := d.workers[on]
	if !ok {
		d.SetWorker(now, lovagestand.Worker{Name: on, Leaving: true}, t.Pool)
		at = d.workers[on]
	}
	p := d.pools[at.pool]
	t.Pool = p.name
	s := d.newRecord(&t)
	r := d.tasks.at(s)
	r.transition(eventAdopt)
	p.ledger.Adopt(at.row, r.size)
	d.recordPlacement(now.UnixNano(), s, at.row)
}

// recordPlacement records a task as placed on a worker, on which the ledger has
// already reserved the task's resources.
func (d *Decider) recordPlacement(now int64, s slot, row worker.Row) {
	r := d.tasks.at(s)
	p := d.pools[r.pool]
	r.row = row
	r.sequenceOrStart = now
	p.attach(d, s)
	p.charge(r.team, r.rank, r.size)
	p.changed = true
}
