package quota

import (
	"lovagestand.example/lovagestand"
)

// steps is how many notable steps the quota has, all shards together: a share
// that differs by less than a step is not worth a write.
const steps = 32

// live counts the shards that have a line.
func (b *Ledger) live() int64 {
	n := int64(0)
	for _, e := range b.Shards {
		if e.Name != "" {
			n++
		}
	}
	return max(n, 1)
}

// step returns the smallest notable change of one shard's share of q.
func (b *Ledger) step(q lovagestand.Resources) lovagestand.Resources {
	n := steps * b.live()
	return lovagestand.Resources{MilliCPU: q.MilliCPU / n, MemoryMiB: q.MemoryMiB / n, Accelerators: q.Accelerators / n}
}

// near reports whether a and b differ by less than a step, or are equal, in
// each resource.
func near(a, b, step lovagestand.Resources) bool {
	return a == b || a.Sub(b).Fits(step) && b.Sub(a).Fits(step)
}

// want returns the share that a shard should have: its demand and part of
// what nobody asks for, or, where demand exceeds the quota, its part of the
// quota by demand in whole tasks.
func want(t *TeamEntry, i int, shards int64, q lovagestand.Resources, u Usage) lovagestand.Resources {
	own := u.demand()
	all := t.demand().Sub(t.Demands[i].Resources()).Add(own)
	return each3(func(r resource) int64 {
		return wantOf(r.of(q), r.of(own), r.of(all), r.of(u.Next), shards)
	})
}

func wantOf(q, own, all, task, shards int64) int64 {
	if all <= q {
		const spareParts = 2
		return own + (q-all)/(spareParts*shards)
	}
	part := int64(float64(q) * float64(own) / float64(all))
	if task > 0 {
		part = (part + task - 1) / task * task
	}
	return min(part, own)
}

// plan returns what a shard should start within until its share is written.
func plan(t *TeamEntry, i int, shards int64, q lovagestand.Resources, u Usage, limit lovagestand.Resources) lovagestand.Resources {
	wanted := want(t, i, shards, q, u)
	scarce := !t.demand().Fits(q)
	if scarce {
		wanted = wanted.Add(slack(wanted, u.Next))
	}
	lowered := least(limit, most(u.Running, wanted))
	free := most(q.Sub(t.sum()), lovagestand.Resources{})
	if scarce && u.stuck(lowered.Add(free)) {
		// What is left is too little for a task here; another shard may use it.
		return least(limit, u.Running)
	}
	return lowered
}

// slack is how far a shard in use may stay above what it should have: what is
// given up lies idle until another shard has it.
func slack(wanted, task lovagestand.Resources) lovagestand.Resources {
	const part = 4
	return each3(func(r resource) int64 { return max(r.of(wanted)/part, r.of(task)) })
}

// grant returns how much is added to a share: what is needed as far as there
// is room. Nothing is taken while it would not let the next task start.
func grant(need, room lovagestand.Resources, u Usage, held lovagestand.Resources) lovagestand.Resources {
	if u.stuck(held) {
		need = most(need, u.Running.Add(u.Next).Sub(held))
	}
	added := least(most(need, lovagestand.Resources{}), room)
	if u.stuck(held.Add(added)) {
		return lovagestand.Resources{}
	}
	return added
}

// resource is one of the three resources.
type resource int

const (
	processors resource = iota
	memory
	accelerators
)

func (r resource) of(all lovagestand.Resources) int64 {
	return AmountOf(all)[r]
}

// each3 makes resources of one amount each.
func each3(amount func(resource) int64) lovagestand.Resources {
	return Amount{amount(processors), amount(memory), amount(accelerators)}.Resources()
}

// least returns the lesser of each resource.
func least(a, b lovagestand.Resources) lovagestand.Resources {
	return each3(func(r resource) int64 { return min(r.of(a), r.of(b)) })
}

// most returns the greater of each resource.
func most(a, b lovagestand.Resources) lovagestand.Resources {
	return each3(func(r resource) int64 { return max(r.of(a), r.of(b)) })
}

// lower returns a with each team's amount no more than b's, where b has one.
func lower(a, b TeamResources) TeamResources {
	lowered := TeamResources{}
	for team, amount := range a {
		if other, found := b[team]; found {
			amount = least(amount, other)
		}
		lowered[team] = amount
	}
	return lowered
}
