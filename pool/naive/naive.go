// Package naive implements a decider that scans plain lists and has no index.
// It is the reference to which the decisions of package pool are compared.
package naive

import (
	"time"

	"lovagestand.example/lovagestand"
)

// Decider implements [lovagestand.Decider] and scans all workers and tasks on
// each call.
type Decider struct {
	shard    lovagestand.ShardName
	policies map[lovagestand.PoolName]lovagestand.PoolPolicy
	workers  []*workerState
	waiting  []*entry
	sequence uint64
}

// workerState is a worker and the tasks placed on it, in order of placement.
type workerState struct {
	worker lovagestand.Worker
	pool   lovagestand.PoolName
	tasks  []*entry
	// claimant is the urgent task for which tasks of this worker are preempted.
	claimant *entry
}

// entry is a task. It waits if placedOn is nil, and otherwise runs there.
type entry struct {
	task      lovagestand.Task
	sequence  uint64
	placedOn  *workerState
	preempted bool
}

var _ lovagestand.Decider = (*Decider)(nil)

// New returns a decider with no workers and no tasks.
func New(shard lovagestand.ShardName) *Decider {
	return &Decider{shard: shard, policies: map[lovagestand.PoolName]lovagestand.PoolPolicy{}}
}

// SetPolicies implements [lovagestand.Decider].
func (d *Decider) SetPolicies(policies []lovagestand.PoolPolicy) {
	d.policies = map[lovagestand.PoolName]lovagestand.PoolPolicy{}
	for _, p := range policies {
		d.policies[p.Pool] = p
	}
}

// SetWorker implements [lovagestand.Decider].
func (d *Decider) SetWorker(_ time.Time, w lovagestand.Worker, pool lovagestand.PoolName) {
	state := d.findWorker(w.Name)
	if state == nil {
		state = &workerState{}
		d.workers = append(d.workers, state)
	}
	state.worker = w
	state.pool = pool
	if w.Leaving {
		state.claimant = nil
	}
}

// RemoveWorker implements [lovagestand.Decider].
func (d *Decider) RemoveWorker(_ time.Time, name lovagestand.WorkerName) []lovagestand.Task {
	for i, w := range d.workers {
		if w.worker.Name != name {
			continue
		}
		d.workers = append(d.workers[:i:i], d.workers[i+1:]...)
		var tasks []lovagestand.Task
		for _, e := range w.tasks {
			tasks = append(tasks, e.task)
		}
		return tasks
	}
	return nil
}

// Adopt implements [lovagestand.Decider]. A worker that is not registered yet
// is added as one that has no capacity and is leaving.
func (d *Decider) Adopt(now time.Time, t lovagestand.Task, on lovagestand.WorkerName) {
	d.Cancel(t.ID)
	d.Finish(now, t.ID, lovagestand.TaskResult{})
	w := d.findWorker(on)
	if w == nil {
		d.SetWorker(now, lovagestand.Worker{Name: on, Leaving: true}, t.Pool)
		w = d.findWorker(on)
	}
	w.put(&entry{task: t})
}

// Submit implements [lovagestand.Decider]. It ignores a task that already waits
// or runs.
func (d *Decider) Submit(_ time.Time, t lovagestand.Task) error {
	if d.has(t.ID) {
		return nil
	}
	if err := d.checkCapacity(t); err != nil {
		return err
	}
	limit := d.policies[t.Pool].QueueLimit
	waiting := d.countWaiting(t.Pool, t.Class)
	if limit > 0 && waiting >= limit {
		return &lovagestand.QueueFullError{Pool: t.Pool, Class: t.Class, Waiting: waiting, RetryAfter: retryAfter}
	}
	d.sequence++
	d.waiting = append(d.waiting, &entry{task: t, sequence: d.sequence})
	return nil
}

// Cancel implements [lovagestand.Decider].
func (d *Decider) Cancel(id lovagestand.TaskID) bool {
	for _, e := range d.waiting {
		if e.task.ID == id {
			d.dequeue(e)
			return true
		}
	}
	return false
}

// Finish implements [lovagestand.Decider].
func (d *Decider) Finish(_ time.Time, id lovagestand.TaskID, _ lovagestand.TaskResult) {
	for _, w := range d.workers {
		for i, e := range w.tasks {
			if e.task.ID == id {
				w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
				return
			}
		}
	}
}

func (d *Decider) findWorker(name lovagestand.WorkerName) *workerState {
	for _, w := range d.workers {
		if w.worker.Name == name {
			return w
		}
	}
	return nil
}

func (d *Decider) has(id lovagestand.TaskID) bool {
	for _, e := range d.waiting {
		if e.task.ID == id {
			return true
		}
	}
	for _, w := range d.workers {
		for _, e := range w.tasks {
			if e.task.ID == id {
				return true
			}
		}
	}
	return false
}

func (d *Decider) countWaiting(pool lovagestand.PoolName, class lovagestand.Class) int {
	count := 0
	for _, e := range d.waiting {
		if e.task.Pool == pool && e.task.Class == class {
			count++
		}
	}
	return count
}

// dequeue removes e from the waiting tasks and drops its claim.
func (d *Decider) dequeue(e *entry) {
	for i := range d.waiting {
		if d.waiting[i] == e {
			d.waiting = append(d.waiting[:i:i], d.waiting[i+1:]...)
			break
		}
	}
	for _, w := range d.workers {
		if w.claimant == e {
			w.claimant = nil
		}
	}
}
