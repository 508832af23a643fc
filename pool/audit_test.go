package pool_test

import (
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/pool"
)

var startTime = time.Date(2026, 6, 1, 9, 0, 0, 0, time.UTC)

// auditor tracks the workers and tasks of a decider by the calls to it and its
// decisions, and checks each decision against them.
type auditor struct {
	c       *qt.C
	decider *pool.Decider
	now     time.Time
	workers map[lovagestand.WorkerName]lovagestand.Worker
	waiting map[lovagestand.TaskID]lovagestand.Task
	placed  map[lovagestand.TaskID]lovagestand.WorkerName
	tasks   map[lovagestand.TaskID]lovagestand.Task
	held    map[string]lovagestand.Hold
	quotas  map[lovagestand.TeamName]lovagestand.Resources
}

func newAuditor(c *qt.C, d *pool.Decider) *auditor {
	return &auditor{
		c: c, decider: d, now: startTime,
		workers: map[lovagestand.WorkerName]lovagestand.Worker{},
		waiting: map[lovagestand.TaskID]lovagestand.Task{},
		placed:  map[lovagestand.TaskID]lovagestand.WorkerName{},
		tasks:   map[lovagestand.TaskID]lovagestand.Task{},
		held:    map[string]lovagestand.Hold{},
		quotas:  map[lovagestand.TeamName]lovagestand.Resources{},
	}
}

// check checks the decisions of one call: tasks, capacity, slots and quotas.
func (a *auditor) check(decisions []lovagestand.Decision) {
	for _, d := range decisions {
		id := d.Task.ID
		switch d.Kind {
		case lovagestand.DecisionStart:
			a.c.Assert(a.waiting[id].ID, qt.Equals, id, qt.Commentf("a task that was not waiting was started"))
			delete(a.waiting, id)
			a.place(d.Task, d.Worker)
			a.checkStart(d.Worker)
			a.checkQuota(d.Task.Team)
		case lovagestand.DecisionExpire:
			a.c.Assert(a.waiting[id].ID, qt.Equals, id, qt.Commentf("a task that was not waiting has expired"))
			a.c.Assert(a.now.Before(a.waiting[id].StartBy), qt.IsFalse)
			delete(a.waiting, id)
		case lovagestand.DecisionPreempt:
			a.c.Assert(a.placed[id], qt.Equals, d.Worker)
			a.c.Assert(d.Task.Checkpoints && d.Task.Class == lovagestand.ClassBatch, qt.IsTrue)
		}
	}
	a.checkCounts()
}

func (a *auditor) place(t lovagestand.Task, on lovagestand.WorkerName) {
	a.placed[t.ID] = on
	a.tasks[t.ID] = t
}

func (a *auditor) remove(id lovagestand.TaskID) {
	delete(a.placed, id)
	delete(a.tasks, id)
}

// checkStart checks that a worker may have been given another task.
func (a *auditor) checkStart(name lovagestand.WorkerName) {
	w := a.workers[name]
	a.c.Assert(w.Leaving, qt.IsFalse)
	a.c.Assert(a.checkCapacity(name) <= w.Slots, qt.IsTrue)
}

// checkCapacity checks that the tasks of a worker fit on it, and returns their
// count.
func (a *auditor) checkCapacity(name lovagestand.WorkerName) int {
	var used lovagestand.Resources
	tasks := 0
	for id, on := range a.placed {
		if on == name {
			used = used.Add(a.tasks[id].Resources)
			tasks++
		}
	}
	w := a.workers[name]
	a.c.Assert(used.Fits(w.Capacity), qt.IsTrue, qt.Commentf("the tasks on worker %s use %s of %s", name, used, w.Capacity))
	return tasks
}

func (a *auditor) checkQuota(name lovagestand.TeamName) {
	quota, ok := a.quotas[name]
	if !ok {
		return
	}
	var used lovagestand.Resources
	for _, t := range a.tasks {
		if t.Team == name {
			used = used.Add(t.Resources)
		}
	}
	a.c.Assert(used.Fits(quota), qt.IsTrue, qt.Commentf("the tasks of team %s use %s of its quota %s", name, used, quota))
}

// checkCounts checks that no task was lost or counted twice.
func (a *auditor) checkCounts() {
	waiting, running, held := 0, 0, 0
	var free, capacity lovagestand.Resources
	for _, p := range a.decider.Digest(a.now).Pools {
		running += p.Running
		free, capacity = free.Add(p.Free), capacity.Add(p.Capacity)
		for _, n := range p.Waiting {
			waiting += n
		}
	}
	for _, h := range a.held {
		held += h.Tasks
	}
	a.c.Assert(waiting, qt.Equals, len(a.waiting))
	a.c.Assert(running, qt.Equals, len(a.placed)+held)
	a.c.Assert(free.Valid() && free.Fits(capacity), qt.IsTrue)
}
