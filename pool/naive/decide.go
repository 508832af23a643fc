package naive

import (
	"cmp"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Decide implements [lovagestand.Decider].
func (d *Decider) Decide(now time.Time, decisions []lovagestand.Decision) []lovagestand.Decision {
	decisions = d.expire(now, decisions)
	for _, pool := range d.waitingPools() {
		for _, class := range lovagestand.Classes() {
			decisions = d.startAll(pool, class, decisions)
		}
		decisions = d.preemptForUrgent(pool, decisions)
	}
	return decisions
}

// waitingPools returns the pools for which tasks wait, in order of name.
func (d *Decider) waitingPools() []lovagestand.PoolName {
	var names []lovagestand.PoolName
	for _, e := range d.waiting {
		names = append(names, e.task.Pool)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (d *Decider) expire(now time.Time, decisions []lovagestand.Decision) []lovagestand.Decision {
	for _, e := range slices.Clone(d.waiting) {
		deadline := e.task.StartBy
		if deadline.IsZero() || now.Before(deadline) {
			continue
		}
		d.dequeue(e)
		decisions = append(decisions, lovagestand.Decision{
			Kind: lovagestand.DecisionExpire, Task: e.task,
			Reason: "no worker was free before the time limit", RetryAfter: retryAfter,
		})
	}
	return decisions
}

// startAll starts tasks of a class until none of those that wait fits. Each
// time it starts the first task that fits, in queue order.
func (d *Decider) startAll(pool lovagestand.PoolName, class lovagestand.Class, decisions []lovagestand.Decision) []lovagestand.Decision {
	for {
		started := false
		for _, e := range d.queueOrder(pool, class) {
			group := d.group(e)
			if !d.place(group) {
				continue
			}
			for _, m := range group {
				decisions = append(decisions, lovagestand.Decision{
					Kind: lovagestand.DecisionStart, Task: m.task, Worker: m.placedOn.worker.Name,
				})
			}
			started = true
			break
		}
		if !started {
			return decisions
		}
	}
}

// queueOrder returns the waiting tasks of a class in the order of their team's
// share. Tasks of teams with equal shares are in order of arrival.
func (d *Decider) queueOrder(pool lovagestand.PoolName, class lovagestand.Class) []*entry {
	var ordered []*entry
	shares := map[lovagestand.TeamName]float64{}
	for _, e := range d.waiting {
		if e.task.Pool == pool && e.task.Class == class {
			ordered = append(ordered, e)
			shares[e.task.Team] = d.share(pool, e.task.Team)
		}
	}
	slices.SortStableFunc(ordered, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(shares[a.task.Team], shares[b.task.Team]), cmp.Compare(a.sequence, b.sequence))
	})
	return ordered
}

// group returns the tasks that start together with e. It returns nil if e is
// not the first task of its gang, or if the gang is incomplete.
func (d *Decider) group(e *entry) []*entry {
	if e.task.Gang == "" {
		return []*entry{e}
	}
	var members []*entry
	for _, m := range d.waiting {
		if m.task.Gang == e.task.Gang && m.task.Pool == e.task.Pool {
			members = append(members, m)
		}
	}
	if members[0] != e || len(members) < e.task.GangSize {
		return nil
	}
	return members[:e.task.GangSize]
}

// place puts all tasks of a group on workers, or none.
func (d *Decider) place(group []*entry) bool {
	if len(group) == 0 {
		return false
	}
	first := group[0].task
	if !d.withinQuota(first, len(group)) || !d.leavesHeadroom(first, len(group)) {
		return false
	}
	for i, e := range group {
		w := d.chooseWorker(e)
		if w == nil {
			for _, placed := range slices.Backward(group[:i]) {
				placed.placedOn.removeLast()
			}
			return false
		}
		w.put(e)
	}
	for _, e := range group {
		d.dequeue(e)
	}
	return true
}

// chooseWorker returns the worker for a task, or nil if no worker has room now.
func (d *Decider) chooseWorker(e *entry) *workerState {
	var best *workerState
	for _, w := range d.workers {
		if w.pool != e.task.Pool || !w.holds(e) {
			continue
		}
		if best == nil || d.better(e.task, w, best) {
			best = w
		}
	}
	return best
}

// better reports whether a is a better worker for t than b, which joined
// earlier. Services are spread, all other tasks are packed tightly.
func (d *Decider) better(t lovagestand.Task, a, b *workerState) bool {
	if t.Class == lovagestand.ClassService && t.Gang == "" {
		return cmp.Or(
			cmp.Compare(d.replicas(t, a, sameDomain), d.replicas(t, b, sameDomain)),
			cmp.Compare(d.replicas(t, a, sameRack), d.replicas(t, b, sameRack)),
			cmp.Compare(a.free().Accelerators, b.free().Accelerators),
			cmp.Compare(b.free().MilliCPU, a.free().MilliCPU),
			cmp.Compare(b.free().MemoryMiB, a.free().MemoryMiB),
		) < 0
	}
	return cmp.Or(
		cmp.Compare(a.free().Accelerators, b.free().Accelerators),
		cmp.Compare(a.free().MilliCPU, b.free().MilliCPU),
		cmp.Compare(a.free().MemoryMiB, b.free().MemoryMiB),
	) < 0
}

// replicas counts the service tasks of t's route on the workers near w.
func (d *Decider) replicas(t lovagestand.Task, w *workerState, near func(a, b lovagestand.Worker) bool) int {
	count := 0
	for _, other := range d.workers {
		if other.pool != w.pool || !near(w.worker, other.worker) {
			continue
		}
		for _, e := range other.tasks {
			if e.task.Class == lovagestand.ClassService && e.task.Route == t.Route {
				count++
			}
		}
	}
	return count
}

func sameDomain(a, b lovagestand.Worker) bool {
	return a.Region == b.Region && a.FailureDomain == b.FailureDomain
}

func sameRack(a, b lovagestand.Worker) bool {
	return sameDomain(a, b) && a.Rack == b.Rack
}
