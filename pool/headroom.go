package pool

import (
	"lovagestand.example/lovagestand/queue"
)

// headroom tracks the demand for urgent work and holds the capacity reserved for
// it.
type headroom struct {
	// peak is the largest share of the capacity that urgent tasks used in this
	// period, previousPeak that of the period before.
	peak, previousPeak float64
	checks             int
	// share is the fraction of the capacity that is reserved for urgent tasks
	// now.
	share float64
}

const (
	// headroomPeriod is the number of checks in a period.
	headroomPeriod = 60
	// headroomFactor is the ratio of the reserved capacity to the recent peak.
	headroomFactor = 1.25
	// headroomFloor is the part of the policy's share that is always reserved.
	headroomFloor = 0.25
)

// updateHeadroom sets the capacity that is reserved for urgent tasks to the
// recent peak plus a margin, within the bounds that the policy's share sets.
func (d *Decider) updateHeadroom(p *poolState) {
	h := &p.headroom
	maxShare := p.policy.HeadroomShare
	h.peak = max(h.peak, p.urgentUsed.DominantShare(p.capacity))
	h.checks++
	if h.checks >= headroomPeriod {
		h.previousPeak, h.peak, h.checks = h.peak, 0, 0
	}
	share := min(max(headroomFactor*max(h.peak, h.previousPeak), headroomFloor*maxShare), maxShare)
	if d.options.fixedHeadroom {
		share = maxShare
	}
	if share != h.share {
		h.share = share
		p.otherChanges++
	}
}

// leavesHeadroom reports whether the capacity reserved for urgent tasks stays
// free of other tasks if a shape starts. Urgent tasks that already run use the
// reserved capacity. Services and gangs are limited by what services and gangs
// use, batch tasks by what these and batch tasks use, so that batch tasks give
// way to the others. If none of the tasks that count is running, any shape may
// start, so that no shape waits forever.
func (p *poolState) leavesHeadroom(s queue.Shape) bool {
	share := p.headroom.share
	used := p.serviceAndGangUsed
	if s.Rank == rankBatch {
		used = p.serviceAndGangUsed.Add(p.batchUsed)
	}
	if s.Rank == rankUrgent || share == 0 || used.IsZero() {
		return true
	}
	added := totalOf(s)
	sum := used.Add(added)
	return (added.MilliCPU == 0 || sum.MilliCPU <= lessHeadroom(p.capacity.MilliCPU, share)) &&
		(added.MemoryMiB == 0 || sum.MemoryMiB <= lessHeadroom(p.capacity.MemoryMiB, share)) &&
		(added.Accelerators == 0 || sum.Accelerators <= lessHeadroom(p.capacity.Accelerators, share))
}

// lessHeadroom returns what is left of whole without the reserved share.
func lessHeadroom(whole int64, share float64) int64 {
	return whole - int64(share*float64(whole))
}
