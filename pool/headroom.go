package pool

import (
	"lovagestand.example/lovagestand/queue"
)

// headroom follows the demand for urgent work.
type headroom struct {
	// peak is the largest share that urgent work took in this period, before
	// in the one before.
	peak, before float64
	checks       int
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

// follow sets what is kept for urgent work: the recent peak and some more,
// within the policy's share.
func (d *Decider) follow(p *state) {
	h := &p.headroom
	most := p.policy.HeadroomShare
	h.peak = max(h.peak, p.urgent.DominantShare(p.capacity))
	h.checks++
	if h.checks >= headroomPeriod {
		h.before, h.peak, h.checks = h.peak, 0, 0
	}
	share := min(max(headroomGrowth*max(h.peak, h.before), headroomFloor*most), most)
	if d.options.fixedHeadroom {
		share = most
	}
	if share != h.share {
		h.share = share
		p.epoch++
	}
}

// leavesHeadroom reports whether a shape leaves free what is kept for urgent
// work. Urgent work that runs counts towards it. Batch gives way: services and
// gangs look only at each other, batch at all three. Where none of these runs
// any shape may start, so that none waits for ever.
func (p *state) leavesHeadroom(s queue.Shape) bool {
	share := p.headroom.share
	before := p.firm
	if s.Rank == rankBatch {
		before = p.firm.Add(p.batch)
	}
	if s.Rank == rankUrgent || share == 0 || before.IsZero() {
		return true
	}
	added := totalOf(s)
	sum := before.Add(added)
	return (added.MilliCPU == 0 || sum.MilliCPU <= keep(p.capacity.MilliCPU, share)) &&
		(added.MemoryMiB == 0 || sum.MemoryMiB <= keep(p.capacity.MemoryMiB, share)) &&
		(added.Accelerators == 0 || sum.Accelerators <= keep(p.capacity.Accelerators, share))
}

func keep(whole int64, share float64) int64 {
	return whole - int64(share*float64(whole))
}
