package quota

import (
	"lovagestand.example/lovagestand"
)

// minChangeDivisor is how many notable steps the quota has, all shards together: a share
// that differs by less than a step is not worth a write.
const minChangeDivisor = 32

// shardCount counts the shards that have a line.
func (b *Ledger) shardCount() int64 {
	n := int64(0)
	for _, e := range b.Shards {
		if e.Name != "" {
			n++
		}
	}
	return max(n, 1)
}

// minChange returns the smallest notable change of one shard's share of q.
func (b *Ledger) minChange(quota lovagestand.Resources) lovagestand.Resources {
	n := minChangeDivisor * b.shardCount()
	return lovagestand.Resources{MilliCPU: quota.MilliCPU / n, MemoryMiB: quota.MemoryMiB / n, Accelerators: quota.Accelerators / n}
}

// nearlyEqual reports whether a and b differ by less than a step, or are equal, in
// each resource.
func nearlyEqual(a, b, minChange lovagestand.Resources) bool {
	return a == b || a.Sub(b).Fits(minChange) && b.Sub(a).Fits(minChange)
}

// targetShare returns the share that a shard should have: its demand and part of
// what nobody asks for, or, where demand exceeds the quota, its part of the
// quota by demand in whole tasks.
func targetShare(entry *TeamEntry, index int, shards int64, quota lovagestand.Resources, usage Usage) lovagestand.Resources {
	ownDemand := usage.demand()
	totalDemand := entry.totalDemand().Sub(entry.Demands[index].Resources()).Add(ownDemand)
	return perResource(func(r resource) int64 {
		return targetAmount(r.of(quota), r.of(ownDemand), r.of(totalDemand), r.of(usage.Next), shards)
	})
}

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

// reducedLimit returns what a shard should start within until its share is written.
func reducedLimit(entry *TeamEntry, index int, shards int64, quota lovagestand.Resources, usage Usage, limit lovagestand.Resources) lovagestand.Resources {
	target := targetShare(entry, index, shards, quota, usage)
	scarce := !entry.totalDemand().Fits(quota)
	if scarce {
		target = target.Add(hysteresis(target, usage.Next))
	}
	reduced := minResources(limit, maxResources(usage.Running, target))
	available := maxResources(quota.Sub(entry.totalShares()), lovagestand.Resources{})
	if scarce && usage.blocked(reduced.Add(available)) {
		// What is left is too little for a task here; another shard may use it.
		return minResources(limit, usage.Running)
	}
	return reduced
}

// hysteresis is how far a shard in use may stay above what it should have: what is
// given up lies idle until another shard has it.
func hysteresis(target, task lovagestand.Resources) lovagestand.Resources {
	const divisor = 4
	return perResource(func(r resource) int64 { return max(r.of(target)/divisor, r.of(task)) })
}

// shareIncrease returns how much is added to a share: what is needed as far as there
// is room. Nothing is taken while it would not let the next task start.
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

// resource is one of the three resources.
type resource int

const (
	processors resource = iota
	memory
	accelerators
)

func (r resource) of(resources lovagestand.Resources) int64 {
	return AmountOf(resources)[r]
}

// perResource makes resources of one amount each.
func perResource(amount func(resource) int64) lovagestand.Resources {
	return Amount{amount(processors), amount(memory), amount(accelerators)}.Resources()
}

// minResources returns the lesser of each resource.
func minResources(a, b lovagestand.Resources) lovagestand.Resources {
	return perResource(func(r resource) int64 { return min(r.of(a), r.of(b)) })
}

// maxResources returns the greater of each resource.
func maxResources(a, b lovagestand.Resources) lovagestand.Resources {
	return perResource(func(r resource) int64 { return max(r.of(a), r.of(b)) })
}

// minByTeam returns a with each team's amount no more than b's, where b has one.
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
