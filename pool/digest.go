package pool

import (
	"time"

	"lovagestand.example/lovagestand"
)

// Digest implements [lovagestand.Decider]. Its cost does not grow with the
// number of tasks.
func (d *Decider) Digest(time.Time) lovagestand.Digest {
	digest := lovagestand.Digest{Shard: d.shard}
	for _, p := range d.sortedPools {
		if p.ledger.WorkerCount() > 0 || p.waiting != [4]int{} {
			digest.Pools = append(digest.Pools, p.digest())
		}
	}
	return digest
}

func (p *poolState) digest() lovagestand.PoolDigest {
	totals := p.ledger.Totals()
	sum := lovagestand.PoolDigest{
		Pool: p.name, Capacity: totals.Capacity, Free: totals.Free,
		Largest: p.ledger.Largest(), LargestCapacity: p.ledger.LargestCapacity(),
		Workers: totals.Workers, Running: totals.Tasks,
		Waiting: make(map[lovagestand.Class]int, len(classes)),
		Wait:    make(map[lovagestand.Class]time.Duration, len(classes)),
	}
	for rank, class := range classes {
		sum.Waiting[class] = p.waiting[rank]
		sum.Wait[class] = p.estimateWait(int8(rank))
	}
	return sum
}
