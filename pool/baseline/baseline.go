// Package baseline implements simple schedulers that place tasks in order of
// arrival and apply no policies. Benchmarks and replays compare package pool to
// them.
package baseline

import (
	"math/rand/v2"
	"time"

	"lovagestand.example/lovagestand"
)

// Decider implements [lovagestand.Decider] in order of arrival: each waiting
// task is placed on a worker that has room for it, or continues to wait if
// there is none. Teams, quotas, headroom and classes are ignored, no task is
// preempted, and a gang starts when it is complete and all of it fits.
type Decider struct {
	shard   lovagestand.ShardName
	random  *rand.Rand
	workers []*workerState
	byName  map[lovagestand.WorkerName]*workerState
	tasks   map[lovagestand.TaskID]*entry
	waiting []*entry
	changed bool
}

type workerState struct {
	worker lovagestand.Worker
	pool   lovagestand.PoolName
	used   lovagestand.Resources
	tasks  int
}

type entry struct {
	task     lovagestand.Task
	placedOn *workerState
	// cancelled is set when the task has been cancelled or has expired.
	cancelled bool
}

var _ lovagestand.Decider = (*Decider)(nil)

// Option configures a [Decider].
type Option func(*Decider)

// WithRandomPlacement starts the search for a worker that has room for a task at
// a random worker, instead of always at the first one.
func WithRandomPlacement(seed uint64) Option {
	return func(d *Decider) { d.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a decider that places each task on the first worker that has room
// for it, unless an option changes that.
func New(shard lovagestand.ShardName, opts ...Option) *Decider {
	d := &Decider{
		shard:  shard,
		byName: map[lovagestand.WorkerName]*workerState{},
		tasks:  map[lovagestand.TaskID]*entry{},
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// SetPolicies implements [lovagestand.Decider]. It ignores the policies.
func (*Decider) SetPolicies([]lovagestand.PoolPolicy) {}

// SetWorker implements [lovagestand.Decider].
func (d *Decider) SetWorker(_ time.Time, w lovagestand.Worker, pool lovagestand.PoolName) {
	state, ok := d.byName[w.Name]
	if !ok {
		state = &workerState{}
		d.byName[w.Name] = state
		d.workers = append(d.workers, state)
	}
	state.worker = w
	state.pool = pool
	d.changed = true
}

// RemoveWorker implements [lovagestand.Decider].
func (d *Decider) RemoveWorker(now time.Time, name lovagestand.WorkerName) []lovagestand.Task {
	w, ok := d.byName[name]
	if !ok {
		return nil
	}
	delete(d.byName, name)
	for i := range d.workers {
		if d.workers[i] == w {
			d.workers = append(d.workers[:i:i], d.workers[i+1:]...)
			break
		}
	}
	var lost []lovagestand.Task
	for id, e := range d.tasks {
		if e.placedOn == w {
			lost = append(lost, e.task)
			d.Finish(now, id, lovagestand.TaskResult{})
		}
	}
	return lost
}

// Adopt implements [lovagestand.Decider].
func (d *Decider) Adopt(_ time.Time, t lovagestand.Task, on lovagestand.WorkerName) {
	if w, ok := d.byName[on]; ok {
		e := &entry{task: t}
		d.tasks[t.ID] = e
		w.put(e)
	}
}

// Submit implements [lovagestand.Decider].
func (d *Decider) Submit(_ time.Time, t lovagestand.Task) error {
	e := &entry{task: t}
	d.tasks[t.ID] = e
	d.waiting = append(d.waiting, e)
	d.changed = true
	return nil
}

// Cancel implements [lovagestand.Decider].
func (d *Decider) Cancel(id lovagestand.TaskID) bool {
	e, ok := d.tasks[id]
	if !ok || e.placedOn != nil {
		return false
	}
	e.cancelled = true
	delete(d.tasks, id)
	return true
}

// Finish implements [lovagestand.Decider].
func (d *Decider) Finish(_ time.Time, id lovagestand.TaskID, _ lovagestand.TaskResult) {
	if e, ok := d.tasks[id]; ok && e.placedOn != nil {
		e.placedOn.remove(e)
		delete(d.tasks, id)
		d.changed = true
	}
}

// Digest implements [lovagestand.Decider]. The digest contains only the shard.
func (d *Decider) Digest(time.Time) lovagestand.Digest {
	return lovagestand.Digest{Shard: d.shard}
}

// Explain implements [lovagestand.Decider].
func (d *Decider) Explain(_ time.Time, id lovagestand.TaskID) string {
	e, ok := d.tasks[id]
	switch {
	case !ok:
		return "not known in this shard"
	case e.placedOn != nil:
		return "runs on worker " + string(e.placedOn.worker.Name)
	}
	return "waits"
}
