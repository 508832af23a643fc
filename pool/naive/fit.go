package naive

import (
	"lovagestand.example/lovagestand"
)

// put places e on the worker, even if it exceeds the worker's capacity.
func (w *workerState) put(e *entry) {
	e.placedOn = w
	w.tasks = append(w.tasks, e)
}

// removeLast undoes the last put.
func (w *workerState) removeLast() {
	last := len(w.tasks) - 1
	w.tasks[last].placedOn = nil
	w.tasks = w.tasks[:last]
}

func (w *workerState) used() lovagestand.Resources {
	var sum lovagestand.Resources
	for _, e := range w.tasks {
		sum = sum.Add(e.task.Resources)
	}
	return sum
}

func (w *workerState) free() lovagestand.Resources {
	return w.worker.Capacity.Sub(w.used())
}

// fit reports whether the worker takes new tasks at all.
func (w *workerState) fit() bool {
	return !w.worker.Leaving && w.worker.Slots > 0
}

// holds reports whether e can start on the worker now.
func (w *workerState) holds(e *entry) bool {
	if !w.fit() || len(w.tasks) >= w.worker.Slots {
		return false
	}
	if w.claimant != nil && w.claimant != e {
		return false
	}
	return e.task.Resources.Fits(w.free())
}

// checkCapacity returns an error if the workers could not hold t, and the rest
// of its gang, even if they were empty.
func (d *Decider) checkCapacity(t lovagestand.Task) error {
	e := &lovagestand.InfeasibleError{Pool: t.Pool, Requested: t.Resources}
	room := 0
	for _, w := range d.workers {
		if w.pool != t.Pool || !w.fit() {
			continue
		}
		e.Largest = e.Largest.Max(w.worker.Capacity)
		room += roomFor(t.Resources, w.worker.Capacity, w.worker.Slots)
	}
	size := max(t.GangSize, 1)
	switch {
	case !t.Resources.Valid():
		e.Reason = "it asks for less than nothing"
	case d.differsFromGang(t):
		e.Reason = "the tasks of a gang must be alike"
	case room == 0:
		e.Reason = "it asks for more than any one worker has"
	case room < size:
		e.Reason = "the gang asks for more than all workers have together"
	default:
		return nil
	}
	return e
}

// differsFromGang reports whether t differs from the waiting tasks of its gang
// in its resources, class, team or gang size.
func (d *Decider) differsFromGang(t lovagestand.Task) bool {
	for _, e := range d.waiting {
		m := e.task
		if t.Gang != "" && m.Gang == t.Gang && m.Pool == t.Pool {
			return m.Resources != t.Resources || m.Class != t.Class || m.Team != t.Team || m.GangSize != t.GangSize
		}
	}
	return false
}

// roomFor returns how many tasks of a size an empty worker holds.
func roomFor(size, capacity lovagestand.Resources, slots int) int {
	room := 0
	for room < slots && size.Times(int64(room+1)).Fits(capacity) {
		room++
	}
	return room
}

// team returns a team's weight and quota.
func (d *Decider) team(pool lovagestand.PoolName, name lovagestand.TeamName) lovagestand.TeamPolicy {
	for _, t := range d.policies[pool].Teams {
		if t.Team == name {
			return t
		}
	}
	return lovagestand.TeamPolicy{Team: name}
}

// capacity returns the total capacity of the pool's workers that take new
// tasks.
func (d *Decider) capacity(pool lovagestand.PoolName) lovagestand.Resources {
	var sum lovagestand.Resources
	for _, w := range d.workers {
		if w.pool == pool && w.fit() {
			sum = sum.Add(w.worker.Capacity)
		}
	}
	return sum
}

// reserved returns the total resources of the pool's placed tasks for which
// accepts returns true.
func (d *Decider) reserved(pool lovagestand.PoolName, accepts func(*entry) bool) lovagestand.Resources {
	var sum lovagestand.Resources
	for _, w := range d.workers {
		for _, e := range w.tasks {
			if w.pool == pool && accepts(e) {
				sum = sum.Add(e.task.Resources)
			}
		}
	}
	return sum
}

// share returns the dominant share of its pool that a team uses, divided by the
// team's weight.
func (d *Decider) share(pool lovagestand.PoolName, name lovagestand.TeamName) float64 {
	weight := d.team(pool, name).Weight
	if weight == 0 {
		weight = 1
	}
	used := d.reserved(pool, func(e *entry) bool { return e.task.Team == name })
	return used.DominantShare(d.capacity(pool)) / weight
}

// withinQuota reports whether a team stays within its quota if it runs the
// given number of tasks like t in addition.
func (d *Decider) withinQuota(t lovagestand.Task, tasks int) bool {
	quota := d.team(t.Pool, t.Team).Quota
	if quota == nil {
		return true
	}
	used := d.reserved(t.Pool, func(e *entry) bool { return e.task.Team == t.Team })
	return used.Add(t.Resources.Times(int64(tasks))).Fits(*quota)
}

// leavesHeadroom reports whether the capacity reserved for urgent tasks stays
// free of other tasks if the given number of tasks like t start. Urgent tasks
// that already run use the reserved capacity. Services and gangs are limited by
// what services and gangs use, batch tasks by what these and batch tasks use,
// so that batch tasks give way to the others. If none of the tasks that count
// is running, any task may start, so that no task waits forever.
func (d *Decider) leavesHeadroom(t lovagestand.Task, tasks int) bool {
	share := d.policies[t.Pool].HeadroomShare
	if t.Class == lovagestand.ClassUrgent || share == 0 {
		return true
	}
	others := d.reserved(t.Pool, func(e *entry) bool {
		isBatch := e.task.Class == lovagestand.ClassBatch
		return e.task.Class != lovagestand.ClassUrgent && (!isBatch || t.Class == lovagestand.ClassBatch)
	})
	if others.IsZero() {
		return true
	}
	capacity := d.capacity(t.Pool)
	added := t.Resources.Times(int64(tasks))
	limit := lovagestand.Resources{
		MilliCPU:     capacity.MilliCPU - int64(share*float64(capacity.MilliCPU)),
		MemoryMiB:    capacity.MemoryMiB - int64(share*float64(capacity.MemoryMiB)),
		Accelerators: capacity.Accelerators - int64(share*float64(capacity.Accelerators)),
	}
	return fitsWhereRequested(added, others, limit)
}

// fitsWhereRequested reports whether used plus added is within limit for every
// resource that added requests.
func fitsWhereRequested(added, used, limit lovagestand.Resources) bool {
	sum := used.Add(added)
	return (added.MilliCPU == 0 || sum.MilliCPU <= limit.MilliCPU) &&
		(added.MemoryMiB == 0 || sum.MemoryMiB <= limit.MemoryMiB) &&
		(added.Accelerators == 0 || sum.Accelerators <= limit.Accelerators)
}
