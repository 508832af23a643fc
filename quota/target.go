package quota

import (
	"lovagestand.example/lovagestand"
)

// minChangeDivisor determines the smallest change of a share that is worth a
// write, which is the quota divided by minChangeDivisor and by the number of
// shards.
const minChangeDivisor = 32

// shardCount returns the number of shards that have an entry, but at least 1.
func (l *Ledger) shardCount() int64 {
	n := int64(0)
	for _, e := range l.Shards {
		if e.Name != "" {
			n++
		}
	}
	return max(n, 1)
}

// minChange returns the smallest change of one shard's share of a quota that is
// worth a write.
func (l *Ledger) minChange(quota lovagestand.Resources) lovagestand.Resources {
	n := minChangeDivisor * l.shardCount()
	return lovagestand.Resources{MilliCPU: quota.MilliCPU / n, MemoryMiB: quota.MemoryMiB / n, Accelerators: quota.Accelerators / n}
}

// nearlyEqual reports whether a and b are equal or differ by no more than
// minChange in any resource.
func nearlyEqual(a, b, minChange lovagestand.Resources) bool {
	return a == b || a.Sub(b).Fits(minChange) && b.Sub(a).Fits(minChange)
}

// targetShare returns the share that a shard should have. If the total demand
// fits within the quota, it is the demand of the shard plus a part of the spare
// quota. Otherwise it is a part of the quota in proportion to the demand of the
// shard, rounded up to whole tasks.
func targetShare(entry *TeamEntry, index int, shards int64, quota lovagestand.Resources, usage Usage) lovagestand.Resources {
	ownDemand := usage.demand()
	totalDemand := entry.totalDemand().Sub(entry.Demands[index].Resources()).Add(ownDemand)
	return perResource(func(r resource) int64 {
		return targetAmount(r.of(quota), r.of(ownDemand), r.of(totalDemand), r.of(usage.Next), shards)
	})
}

// targetAmount returns the target share of one resource, see [targetShare].
func targetAmount(quota, ownDemand, totalDemand, task, shards int64) int64 {
	if totalDemand <= quota {
		const spareDivisor = 2
		return ownDemand + (quota-totalDemand)/(spareDivisor*shards)
	}
	part := int64(float64(quota) * float64(ownDemand) / float64(totalDemand))
	if task > 0 {
		part = (part + task - 1) / task * task
	}
	return min(part, ownDemand)
}

// reducedLimit returns the limit within which a shard should start tasks until
// its lower share is written.
func reducedLimit(entry *TeamEntry, index int, shards int64, quota lovagestand.Resources, usage Usage, limit lovagestand.Resources) lovagestand.Resources {
	target := targetShare(entry, index, shards, quota, usage)
	scarce := !entry.totalDemand().Fits(quota)
	if scarce {
		target = target.Add(hysteresis(target, usage.Next))
	}
	reduced := minResources(limit, maxResources(usage.Running, target))
	available := maxResources(quota.Sub(entry.totalShares()), lovagestand.Resources{})
	if scarce && usage.blocked(reduced.Add(available)) {
		// The remaining quota is too small for a waiting task here, but another
		// shard may be able to use it.
		return minResources(limit, usage.Running)
	}
	return reduced
}

// hysteresis returns how far the limit of a shard may stay above its target
// share. Without it, quota that a shard gives up would remain unused until
// another shard has gained it.
func hysteresis(target, task lovagestand.Resources) lovagestand.Resources {
	const divisor = 4
	return perResource(func(r resource) int64 { return max(r.of(target)/divisor, r.of(task)) })
}

// shareIncrease returns the amount by which a share is increased: what is
// needed, within the room. It is zero if the increased share would still be too
// small to start the next task.
func shareIncrease(need, room lovagestand.Resources, usage Usage, current lovagestand.Resources) lovagestand.Resources {
	if usage.blocked(current) {
		need = maxResources(need, usage.Running.Add(usage.Next).Sub(current))
	}
	increase := minResources(maxResources(need, lovagestand.Resources{}), room)
	if usage.blocked(current.Add(increase)) {
		return lovagestand.Resources{}
	}
	return increase
}

// resource is an index into [Amount].
type resource int

const (
	processors resource = iota
	memory
	accelerators
)

func (r resource) of(resources lovagestand.Resources) int64 {
	return AmountOf(resources)[r]
}

// perResource returns resources with the given amount of each resource.
func perResource(amount func(resource) int64) lovagestand.Resources {
	return Amount{amount(processors), amount(memory), amount(accelerators)}.Resources()
}

// minResources returns the smaller amount of each resource.
func minResources(a, b lovagestand.Resources) lovagestand.Resources {
	return a.Min(b)
}

// maxResources returns the larger amount of each resource.
func maxResources(a, b lovagestand.Resources) lovagestand.Resources {
	return a.Max(b)
}

// minByTeam returns a copy of a in which the resources of each team are no
// larger than in b. Teams that are not in b keep their resources.
func minByTeam(a, b TeamResources) TeamResources {
	lowered := TeamResources{}
	for team, amount := range a {
		if other, found := b[team]; found {
			amount = minResources(amount, other)
		}
		lowered[team] = amount
	}
	return lowered
}
