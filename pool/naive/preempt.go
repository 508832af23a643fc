package naive

import (
	"cmp"
	"math"
	"slices"

	"lovagestand.example/lovagestand"
)

// preemptForUrgent preempts batch tasks that checkpoint to make room for
// waiting urgent tasks, in order of arrival. It claims each worker for one
// urgent task, and no other task starts there until the claim ends.
func (d *Decider) preemptForUrgent(pool lovagestand.PoolName, decisions []lovagestand.Decision) []lovagestand.Decision {
	for _, e := range d.waiting {
		if e.task.Pool != pool || e.task.Class != lovagestand.ClassUrgent || e.task.Gang != "" {
			continue
		}
		if d.hasClaim(e) || !d.withinQuota(e.task, 1) {
			continue
		}
		w, victims := d.fewestPreemptions(e)
		if w == nil {
			continue
		}
		w.claimant = e
		for _, v := range victims {
			v.preempted = true
			decisions = append(decisions, lovagestand.Decision{
				Kind: lovagestand.DecisionPreempt, Task: v.task, Worker: w.worker.Name,
				Reason: "displaced by urgent task " + string(e.task.ID),
			})
		}
	}
	return decisions
}

func (d *Decider) hasClaim(e *entry) bool {
	for _, w := range d.workers {
		if w.claimant == e {
			return true
		}
	}
	return false
}

// fewestPreemptions returns the worker on which the fewest tasks must be
// preempted to make room for e, and these tasks. Among equal numbers it prefers
// tasks of teams with large shares.
func (d *Decider) fewestPreemptions(e *entry) (*workerState, []*entry) {
	var best *workerState
	var fewest []*entry
	largestShare := 0.0
	for _, w := range d.workers {
		if w.pool != e.task.Pool || !w.fit() || w.claimant != nil {
			continue
		}
		victims := d.chooseVictims(w, e.task.Resources)
		if len(victims) == 0 {
			continue
		}
		least := d.leastShare(victims)
		if best == nil || cmp.Or(cmp.Compare(len(victims), len(fewest)), cmp.Compare(largestShare, least)) < 0 {
			best, fewest, largestShare = w, victims, least
		}
	}
	return best, fewest
}

// leastShare returns the smallest share among the teams of the given tasks.
func (d *Decider) leastShare(tasks []*entry) float64 {
	least := math.Inf(1)
	for _, e := range tasks {
		least = min(least, d.share(e.placedOn.pool, e.task.Team))
	}
	return least
}

// chooseVictims returns the tasks of w that must be preempted so that requested
// fits, or nil if preempting all that may be preempted is not enough. If a
// single task is enough, it returns the one of the team with the largest share,
// and of these the smallest. Otherwise it takes the largest tasks first.
func (d *Decider) chooseVictims(w *workerState, requested lovagestand.Resources) []*entry {
	var candidates []*entry
	for _, e := range w.tasks {
		if e.task.Class == lovagestand.ClassBatch && e.task.Checkpoints && !e.preempted {
			candidates = append(candidates, e)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *entry) int {
		share := func(e *entry) float64 { return e.task.Resources.DominantShare(w.worker.Capacity) }
		return cmp.Compare(share(b), share(a))
	})
	free := w.free()
	var single *entry
	for _, e := range candidates {
		enough := requested.Fits(free.Add(e.task.Resources)) && len(w.tasks)-1 < w.worker.Slots
		if enough && (single == nil || d.leastShare([]*entry{e}) >= d.leastShare([]*entry{single})) {
			single = e
		}
	}
	if single != nil {
		return []*entry{single}
	}
	for i, e := range candidates {
		free = free.Add(e.task.Resources)
		slots := w.worker.Slots - len(w.tasks) + i + 1
		if requested.Fits(free) && slots > 0 {
			return candidates[:i+1]
		}
	}
	return nil
}
