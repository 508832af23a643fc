package fairshare

import (
	"cmp"
	"slices"

	"lovagestand.example/lovagestand"
)

// Team is what the division needs of a team.
type Team struct {
	// Weight is the team's share in relation to those of other teams; 0 counts as 1.
	Weight float64
	// Used is what the team has running, and Waiting what its waiting work needs.
	Used, Waiting lovagestand.Resources
	// Cap is the maximum that the team may have running; nil for none. Demand beyond it
	// does not count.
	Cap *lovagestand.Resources
}

// Entitlement is the part of the capacity that a team may use before the demand of
// others.
type Entitlement struct {
	// Share is the dominant share of the capacity.
	Share float64
	// Satisfied indicates that the share covers the team's demand up to its cap.
	Satisfied bool
}

// resourceKinds is the number of resources that are divided.
const resourceKinds = 3

// demand is a team's demand while capacity is divided.
type demand struct {
	weight float64
	// share is the dominant share of the whole demand, and level the share by weight.
	share, level float64
	// rates are the fractions of each resource that the team takes at a dominant share
	// of 1.
	rates [resourceKinds]float64
}

// Entitlements divides capacity by weighted dominant resource fairness: the shares of
// all teams grow in proportion to their weights until their demand is covered or a
// resource that they need is used up. What one team does not need goes to the others.
// The cost is n log n in the number of teams.
func Entitlements(capacity lovagestand.Resources, teams []Team) []Entitlement {
	demands := make([]demand, len(teams))
	order := make([]int, len(teams))
	for i, t := range teams {
		demands[i] = demandOf(capacity, t)
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[a].level, demands[b].level) })
	f := filling{out: make([]Entitlement, len(teams)), demands: demands, frozen: make([]bool, len(teams))}
	for r := range f.left {
		f.left[r] = 1
	}
	for i := range demands {
		f.addGrowth(i, 1)
	}
	for _, i := range order {
		for !f.frozen[i] {
			if !f.fillTo(demands[i].level) {
				f.freeze(i, Entitlement{Share: demands[i].share, Satisfied: true})
			}
		}
	}
	return f.out
}

func demandOf(capacity lovagestand.Resources, t Team) demand {
	wanted := t.Used.Add(t.Waiting).Max(lovagestand.Resources{})
	share := wanted.DominantShare(capacity)
	d := demand{weight: weight(t), share: share}
	if share > 0 {
		for r, part := range parts(wanted, capacity) {
			d.rates[r] = part / share
		}
	}
	if t.Cap != nil && !wanted.Fits(*t.Cap) {
		d.share = share * fittingFraction(wanted, *t.Cap)
	}
	d.level = d.share / d.weight
	return d
}

func weight(t Team) float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}

// parts returns the fraction that an amount takes of each resource of the capacity.
func parts(amount, capacity lovagestand.Resources) [resourceKinds]float64 {
	return [resourceKinds]float64{
		lovagestand.Resources{MilliCPU: amount.MilliCPU}.DominantShare(capacity),
		lovagestand.Resources{MemoryMiB: amount.MemoryMiB}.DominantShare(capacity),
		lovagestand.Resources{Accelerators: amount.Accelerators}.DominantShare(capacity),
	}
}

// fittingFraction returns the fraction of wanted that fits within limit.
func fittingFraction(wanted, limit lovagestand.Resources) float64 {
	fraction := 1.0
	for _, r := range [resourceKinds][2]int64{
		{wanted.MilliCPU, limit.MilliCPU}, {wanted.MemoryMiB, limit.MemoryMiB}, {wanted.Accelerators, limit.Accelerators},
	} {
		if r[0] > r[1] {
			fraction = min(fraction, float64(max(r[1], 0))/float64(r[0]))
		}
	}
	return fraction
}

// filling is the state of a division in which shares have grown to level times the
// weight of each team.
type filling struct {
	out     []Entitlement
	demands []demand
	frozen  []bool
	level   float64
	// left is the fraction of each resource that is not taken, and growth what is taken
	// of it for each unit of the level. growing counts the teams that take some.
	left, growth [resourceKinds]float64
	growing      [resourceKinds]int
}

// addGrowth adds a team to those whose shares grow, or removes it with a sign of -1.
func (f *filling) addGrowth(i, sign int) {
	d := f.demands[i]
	for r, rate := range d.rates {
		if rate > 0 {
			f.growth[r] += float64(sign) * rate * d.weight
			f.growing[r] += sign
		}
	}
}

// freeze ends the growth of a team's share.
func (f *filling) freeze(i int, e Entitlement) {
	f.frozen[i] = true
	f.out[i] = e
	f.addGrowth(i, -1)
}

// fillTo raises the level. It stops at a lower level if a resource is used up, ends the
// growth of the teams that need it, and returns true.
func (f *filling) fillTo(level float64) bool {
	next, exhausted := level, -1
	for r := range f.left {
		if f.growing[r] == 0 || f.growth[r] <= 0 {
			continue
		}
		if at := f.level + max(f.left[r], 0)/f.growth[r]; at < next-rounding*next {
			next, exhausted = at, r
		}
	}
	for r := range f.left {
		if f.growing[r] > 0 {
			f.left[r] -= f.growth[r] * (next - f.level)
		}
	}
	f.level = next
	if exhausted < 0 {
		return false
	}
	for i, d := range f.demands {
		if !f.frozen[i] && d.rates[exhausted] > 0 {
			f.freeze(i, Entitlement{Share: f.level * d.weight})
		}
	}
	return true
}

// rounding is the relative error of a level by floating-point arithmetic. Demand that
// takes exactly the whole capacity counts as covered.
const rounding = 1e-9
