package naive

import (
	"fmt"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// retryAfter is the delay after which callers are asked to retry. waitPerTask
// is what each task ahead adds to the estimated wait.
const (
	retryAfter  = time.Second
	waitPerTask = 10 * time.Millisecond
)

// Digest implements [lovagestand.Decider]. The estimated waits are in
// proportion to the number of waiting tasks.
func (d *Decider) Digest(time.Time) lovagestand.Digest {
	digest := lovagestand.Digest{Shard: d.shard}
	var names []lovagestand.PoolName
	for _, w := range d.workers {
		names = append(names, w.pool)
	}
	names = append(names, d.waitingPools()...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		digest.Pools = append(digest.Pools, d.poolDigest(name))
	}
	return digest
}

func (d *Decider) poolDigest(name lovagestand.PoolName) lovagestand.PoolDigest {
	p := lovagestand.PoolDigest{
		Pool: name, Capacity: d.capacity(name),
		Waiting: map[lovagestand.Class]int{}, Wait: map[lovagestand.Class]time.Duration{},
	}
	for _, w := range d.workers {
		if w.pool != name {
			continue
		}
		p.Running += len(w.tasks)
		if !w.fit() {
			continue
		}
		p.Workers++
		p.Free = p.Free.Add(w.free().Max(lovagestand.Resources{}))
		p.LargestCapacity = p.LargestCapacity.Max(w.worker.Capacity)
		if w.claimant == nil && w.free().Valid() && len(w.tasks) < w.worker.Slots {
			p.Largest = p.Largest.Max(w.free())
		}
	}
	ahead := 0
	for _, class := range lovagestand.Classes() {
		p.Waiting[class] = d.countWaiting(name, class)
		ahead += p.Waiting[class]
		p.Wait[class] = time.Duration(ahead) * waitPerTask
	}
	return p
}

// Explain implements [lovagestand.Decider].
func (d *Decider) Explain(_ time.Time, id lovagestand.TaskID) string {
	for _, w := range d.workers {
		for _, e := range w.tasks {
			if e.task.ID == id {
				return fmt.Sprintf("runs on worker %s", w.worker.Name)
			}
		}
	}
	for _, e := range d.waiting {
		if e.task.ID == id {
			return d.explainWaiting(e)
		}
	}
	return "not known in this shard"
}

func (d *Decider) explainWaiting(e *entry) string {
	size := max(e.task.GangSize, 1)
	switch {
	case e.task.Gang != "" && d.waitingMembers(e) < size:
		return fmt.Sprintf("waits for the rest of its gang: %d of %d are here", d.waitingMembers(e), size)
	case !d.withinQuota(e.task, size):
		return fmt.Sprintf("waits because team %s is at its quota", e.task.Team)
	case !d.leavesHeadroom(e.task, size):
		return "waits because the rest of the pool is kept free for urgent work"
	case d.chooseWorker(e) == nil:
		return "waits because no worker has enough free"
	}
	return "waits for the next decision"
}

func (d *Decider) waitingMembers(e *entry) int {
	count := 0
	for _, m := range d.waiting {
		if m.task.Gang == e.task.Gang && m.task.Pool == e.task.Pool {
			count++
		}
	}
	return count
}
