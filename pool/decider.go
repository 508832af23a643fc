// Package pool implements the scheduling policy of one shard. It decides which
// waiting task starts on which worker, and when: services are spread, batch
// tasks are packed, gangs start as a whole, and urgent tasks preempt batch
// tasks.
package pool

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/chart"
	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/worker"
)

// Decider implements [lovagestand.GangDecider] for the workers of one shard.
// It is not safe for concurrent use.
type Decider struct {
	shard       lovagestand.ShardName
	options     options
	tasks       table
	routes      routes
	gangs       gangs
	pools       []*poolState
	poolsByName map[lovagestand.PoolName]*poolState
	// sortedPools holds the pools in order of name.
	sortedPools    []*poolState
	workers        map[lovagestand.WorkerName]workerRef
	holds          map[string]*hold
	deadlines      queue.Deadlines
	failedRequests failedRequests
	// pending holds decisions made outside of Decide, to be returned by its
	// next call.
	pending []lovagestand.Decision
	// waiting counts the waiting tasks; sequence counts all tasks ever queued
	// and orders them by arrival.
	waiting  int
	sequence int64
	scratch  scratch
}

// workerRef identifies a worker by its pool and its row in the pool's ledger.
type workerRef struct {
	pool uint16
	row  worker.Row
}

// scratch holds buffers that decisions reuse.
type scratch struct {
	rows          []worker.Row
	victims       []slot
	chosenVictims []slot
	heads         []queue.Next
}

var _ lovagestand.GangDecider = (*Decider)(nil)

var taskChart = chart.Task()

// The events of the task chart.
var (
	eventPlace   = taskChart.MustEvent("place")
	eventAdopt   = taskChart.MustEvent("adopt")
	eventCancel  = taskChart.MustEvent("cancel")
	eventExpire  = taskChart.MustEvent("expire")
	eventPreempt = taskChart.MustEvent("preempt")
	eventFinish  = taskChart.MustEvent("finish")
	eventLose    = taskChart.MustEvent("lose")
)

// New returns a decider with no workers and no tasks.
func New(shard lovagestand.ShardName, opts ...Option) *Decider {
	d := &Decider{
		shard:       shard,
		options:     defaultOptions(),
		routes:      routes{ids: map[lovagestand.RouteName]int32{}},
		gangs:       gangs{byKey: map[gangKey]int32{}},
		poolsByName: map[lovagestand.PoolName]*poolState{},
		workers:     map[lovagestand.WorkerName]workerRef{},
		holds:       map[string]*hold{},
	}
	for _, o := range opts {
		o(&d.options)
	}
	return d
}

// pool returns the state of a pool and creates it if it does not exist.
func (d *Decider) pool(name lovagestand.PoolName) *poolState {
	if p, ok := d.poolsByName[name]; ok {
		return p
	}
	p := newPoolState(name, uint16(len(d.pools)), !d.options.noFairSharing)
	d.pools = append(d.pools, p)
	d.poolsByName[name] = p
	d.sortedPools = append(d.sortedPools, p)
	slices.SortFunc(d.sortedPools, func(a, b *poolState) int { return cmp.Compare(a.name, b.name) })
	return p
}

// SetPolicies implements [lovagestand.Decider].
func (d *Decider) SetPolicies(policies []lovagestand.PoolPolicy) {
	for _, p := range d.pools {
		p.setPolicy(lovagestand.PoolPolicy{Pool: p.name})
	}
	for _, policy := range policies {
		d.pool(policy.Pool).setPolicy(policy)
	}
}

// Submit implements [lovagestand.Decider]. It ignores a task that already waits
// or runs.
func (d *Decider) Submit(now time.Time, t lovagestand.Task) error {
	if d.tasks.find(t.ID) != none {
		return nil
	}
	if err := d.admit(now, &t); err != nil {
		return err
	}
	s := d.newRecord(&t)
	r := d.tasks.at(s)
	d.sequence++
	r.sequenceOrStart = d.sequence
	r.submittedSeconds = uint32(now.Unix())
	p := d.pools[r.pool]
	p.waiting[r.rank]++
	p.changed = true
	d.waiting++
	if r.startBy != noTime {
		d.deadlines.Add(queue.Deadline{At: r.startBy, Item: queue.Item(s)})
	}
	if r.gang >= 0 {
		d.joinGang(s)
		return nil
	}
	d.enqueue(s, 1)
	return nil
}

// enqueue adds a task to its pool's queue. The parameter tasks is the number of
// tasks that start together: the size of the task's gang, or 1.
func (d *Decider) enqueue(s slot, tasks int) {
	r := d.tasks.at(s)
	p := d.pools[r.pool]
	shape := queue.Shape{Rank: r.rank, Tasks: int32(tasks), Size: r.size}
	r.handle = p.queue.Push(queue.Item(s), shape, r.team, uint64(r.sequenceOrStart))
	if r.rank == rankUrgent && r.gang < 0 {
		d.listUrgent(p, s)
	}
	p.changed = true
}

// dequeue removes a task from its pool's queue and drops its claims.
func (d *Decider) dequeue(s slot) {
	r := d.tasks.at(s)
	if r.handle < 0 {
		return
	}
	p := d.pools[r.pool]
	p.queue.Remove(r.handle)
	r.handle = -1
	d.unlistUrgent(p, s)
	d.dropClaims(p, s)
}

// Cancel implements [lovagestand.Decider].
func (d *Decider) Cancel(id lovagestand.TaskID) bool {
	s := d.tasks.find(id)
	if s == none || !taskChart.Allows(d.tasks.at(s).state, eventCancel) {
		return false
	}
	d.leaveQueue(s, eventCancel)
	d.forget(s)
	return true
}

// leaveQueue applies an event that ends the waiting of a task, and removes the
// task from its gang, from the queue and from the counts.
func (d *Decider) leaveQueue(s slot, e chart.Event) {
	r := d.tasks.at(s)
	p := d.pools[r.pool]
	r.transition(e)
	if r.gang >= 0 {
		d.leaveGang(s)
	}
	d.dequeue(s)
	p.waiting[r.rank]--
	d.waiting--
	p.changed = true
	d.deadlines.Sweep(d.waiting, d.deadlineApplies)
}

// deadlineApplies reports whether a start deadline is still in effect. The slot
// of a task that has ended may be in use by another task, so the deadline must
// also equal that of the task now in the slot.
func (d *Decider) deadlineApplies(deadline queue.Deadline) bool {
	r := d.tasks.at(slot(deadline.Item))
	return r.startBy == deadline.At && taskChart.Allows(r.state, eventExpire)
}

// Finish implements [lovagestand.Decider].
func (d *Decider) Finish(now time.Time, id lovagestand.TaskID, result lovagestand.TaskResult) {
	s := d.tasks.find(id)
	if s == none || !taskChart.Allows(d.tasks.at(s).state, eventFinish) {
		return
	}
	d.recordOutcome(now, s, result)
	d.uncountPreemptible(s)
	d.releaseTask(s, eventFinish)
	d.forget(s)
}

// releaseTask applies an event that ends a placed task, and returns the task's
// resources to its worker and its team.
func (d *Decider) releaseTask(s slot, e chart.Event) {
	r := d.tasks.at(s)
	p := d.pools[r.pool]
	r.transition(e)
	p.detach(d, s)
	p.ledger.Release(r.row, r.size)
	p.charge(r.team, r.rank, lovagestand.Resources{}.Sub(r.size))
	p.changed = true
}

// Resize changes the resources reserved for a placed task. It returns false and
// changes nothing if the task is not placed, or if its worker or its team's
// quota lacks room for the new size.
func (d *Decider) Resize(id lovagestand.TaskID, size lovagestand.Resources) bool {
	s := d.tasks.find(id)
	if s == none || !taskChart.Allows(d.tasks.at(s).state, eventFinish) || !size.Valid() {
		return false
	}
	r := d.tasks.at(s)
	p := d.pools[r.pool]
	more := size.Sub(r.size)
	if !size.Fits(r.size) && !p.accounts.WithinQuota(r.team, more) {
		return false
	}
	if !p.ledger.Resize(r.row, r.size, size) {
		return false
	}
	m := &p.members[r.row]
	if m.preemptible(r) {
		m.preemptibleSize = m.preemptibleSize.Add(more)
	}
	r.size = size
	p.charge(r.team, r.rank, more)
	p.changed = true
	return true
}
