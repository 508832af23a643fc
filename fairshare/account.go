package fairshare

import (
	"slices"
	"sort"

	"lovagestand.example/lovagestand"
)

// Tier is the class of a waiting step by its team's entitlement. Lower tiers go first.
type Tier int

// The tiers.
const (
	// Guaranteed is the tier of the steps within the guaranteed part of the entitlement,
	// and of all steps while the capacity covers all demand.
	Guaranteed Tier = iota
	// Shared is the tier of the further steps up to the burst limit.
	Shared
	// Beyond is the tier of the steps beyond it.
	Beyond
)

// Bounds are the multiples of the entitlement at which tiers end.
type Bounds struct {
	Guaranteed, Shared float64
}

// DefaultBounds let the steps of teams near their entitlements compete by score. A small
// team exceeds its entitlement with each large job, although it stays within it over
// time. With both bounds at 1, replays of 20 teams at 110% load cost the teams beside a
// hot one more value than the order by score alone.
var DefaultBounds = Bounds{Guaranteed: 0.5, Shared: 1.5}

// Account counts what a team uses against its entitlement, while its waiting steps are
// considered in the team's own order.
type Account struct {
	capacity lovagestand.Resources
	// guaranteed and shared are the dominant shares at which the tiers end. covered
	// indicates that the team's whole demand is covered, and ample that that of all teams
	// is.
	guaranteed, shared float64
	covered, ample     bool
	used               lovagestand.Resources
	limit              *lovagestand.Resources
}

// NewAccounts divides the capacity and returns the accounts of the teams before any of
// their waiting steps.
func NewAccounts(capacity lovagestand.Resources, teams []Team, b Bounds) []*Account {
	entitlements := Entitlements(capacity, teams)
	ample := !slices.ContainsFunc(entitlements, func(e Entitlement) bool { return !e.Satisfied })
	accounts := make([]*Account, len(teams))
	backing := make([]Account, len(teams))
	for i, e := range entitlements {
		accounts[i] = &backing[i]
		backing[i] = Account{
			capacity: capacity, guaranteed: b.Guaranteed * e.Share, shared: b.Shared * e.Share, covered: e.Satisfied, ample: ample,
			used: teams[i].Used, limit: teams[i].Cap,
		}
	}
	return accounts
}

// Reach returns the largest dominant share up to which the team's steps go before those
// beyond the bounds of other teams; 1 if its whole demand is covered.
func (a *Account) Reach() float64 {
	if a.covered {
		return 1
	}
	return a.shared
}

// RunningTier returns the tier that the running tasks of the team reach together with the
// waiting ones that [Account.Tier] has accepted so far.
func (a *Account) RunningTier() Tier {
	return a.tierUpTo(a.used)
}

// Tier returns the tier of a step of some tasks, and counts it unless it is beyond the
// bounds. The tasks of a step that does not start as a whole count as far as the cap
// leaves room for them.
//
// A step that crosses a boundary is within if at least half of it is, so that a team
// gets its part on average. A step larger than the part counts as large as the part;
// otherwise a team with a low weight would never start a large gang beside small tasks.
// The first step of a team that uses nothing is always guaranteed.
func (a *Account) Tier(task lovagestand.Resources, tasks int, whole bool) Tier {
	if !whole {
		tasks = a.tasksBelowCap(task, tasks)
	}
	after := a.used.Add(task.Times(int64(tasks)))
	tier := a.tierUpTo(after)
	if tasks == 0 {
		tier = Beyond
	}
	if tier != Beyond {
		a.used = after
	}
	return tier
}

// tierUpTo returns the tier of a step after which the team uses an amount.
func (a *Account) tierUpTo(after lovagestand.Resources) Tier {
	counts := a.covered && (a.limit == nil || after.Fits(*a.limit))
	switch {
	case counts && a.ample, a.crossesWithin(after, a.guaranteed):
		return Guaranteed
	case counts, a.crossesWithin(after, a.shared):
		return Shared
	}
	return Beyond
}

// crossesWithin reports whether a step after which the team uses an amount is mostly
// within a dominant share.
func (a *Account) crossesWithin(after lovagestand.Resources, share float64) bool {
	from, to := a.used.DominantShare(a.capacity), after.DominantShare(a.capacity)
	return (from+min(to, from+share))/2 <= share
}

// tasksBelowCap returns how many of some equal tasks the cap leaves room for.
func (a *Account) tasksBelowCap(task lovagestand.Resources, tasks int) int {
	if a.limit == nil || a.used.Add(task.Times(int64(tasks))).Fits(*a.limit) {
		return tasks
	}
	return sort.Search(tasks, func(n int) bool { return !a.used.Add(task.Times(int64(n + 1))).Fits(*a.limit) })
}
