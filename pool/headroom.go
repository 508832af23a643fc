package pool

import (
	"lovagestand.example/lovagestand/queue"
)

// headroom follows the demand for urgent work.
type headroom struct {
	// peak is the largest share that urgent work took in this period, before
	// in the one before.
	peak, previousPeak float64
	checks             int
	// share is the fraction of capacity now kept for urgent work.
	share float64
}

const (
	// headroomPeriod is how many checks make a period.
	headroomPeriod = 60
	// headroomGrowth is how much more is kept than the last peak.
	headroomGrowth = 1.25
	// headroomFloor is the part of the policy's share that is always kept.
	headroomFloor = 0.25
)

// updateHeadroom sets what is kept for urgent work: the recent peak and some more,
// within the policy's share.
func (d *Decider) updateHeadroom(p *poolState) {
	h := &p.headroom
	most := p.policy.HeadroomShare
	h.peak = max(h.peak, p.urgentUsed.DominantShare(p.capacity))
	h.checks++
	if h.checks >= headroomPeriod {
		h.previousPeak, h.peak, h.checks = h.peak, 0, 0
	}
	share := min(max(headroomGrowth*max(h.peak, h.previousPeak), headroomFloor*most), most)
	if d.options.fixedHeadroom {
		share = most
	}
	if share != h.share {
		h.share = share
		p.otherChanges++
	}
}

// leavesHeadroom reports whether a shape leaves free what is kept for urgent
// work. Urgent work that runs counts towards it. Batch gives way: services and
// gangs look only at each other, batch at all three. Where none of these runs
// any shape may start, so that none waits for ever.
func (p *poolState) leavesHeadroom(s queue.Shape) bool {
	share := p.headroom.share
	before := p.serviceAndGangUsed
	if s.Rank == rankBatch {
		before = p.serviceAndGangUsed.Add(p.batchUsed)
	}
	if s.Rank == rankUrgent || share == 0 || before.IsZero() {
		return true
	}
	added := totalOf(s)
	sum := before.Add(added)
	return (added.MilliCPU == 0 || sum.MilliCPU <= lessHeadroom(p.capacity.MilliCPU, share)) &&
		(added.MemoryMiB == 0 || sum.MemoryMiB <= lessHeadroom(p.capacity.MemoryMiB, share)) &&
		(added.Accelerators == 0 || sum.Accelerators <= lessHeadroom(p.capacity.Accelerators, share))
}

func lessHeadroom(whole int64, share float64) int64 {
	return whole - int64(share*float64(whole))
}
