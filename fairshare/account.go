package fairshare

import (
	"sort"

	"lovagestand.example/lovagestand"
)

// Account counts what a team uses against its entitlement, while its waiting steps are
// considered in the team's own order.
type Account struct {
	capacity    lovagestand.Resources
	entitlement Entitlement
	used        lovagestand.Resources
	limit       *lovagestand.Resources
}

// NewAccount returns the account of a team before any of its waiting steps.
func NewAccount(capacity lovagestand.Resources, t Team, e Entitlement) *Account {
	return &Account{capacity: capacity, entitlement: e, used: t.Used, limit: t.Cap}
}

// Admit reports whether a step of some tasks is within the entitlement, and counts it if
// it is. The tasks of a step that does not start as a whole count as far as the cap
// leaves room for them.
//
// A step that crosses the boundary is within if at least half of it is, so that a team
// gets its entitlement on average. A step larger than the entitlement counts as large as
// the entitlement; otherwise a team with a low weight would never start a large gang
// beside small tasks. The first step of a team that uses nothing is always within.
func (a *Account) Admit(task lovagestand.Resources, tasks int, whole bool) bool {
	if !whole {
		tasks = a.tasksBelowCap(task, tasks)
	}
	after := a.used.Add(task.Times(int64(tasks)))
	if tasks == 0 || !a.covers(after) && !a.crossesWithin(after) {
		return false
	}
	a.used = after
	return true
}

// tasksBelowCap returns how many of some equal tasks the cap leaves room for.
func (a *Account) tasksBelowCap(task lovagestand.Resources, tasks int) int {
	if a.limit == nil || a.used.Add(task.Times(int64(tasks))).Fits(*a.limit) {
		return tasks
	}
	return sort.Search(tasks, func(n int) bool { return !a.used.Add(task.Times(int64(n + 1))).Fits(*a.limit) })
}

// covers reports whether the whole demand of the team is covered and the amount is part
// of the demand that counts.
func (a *Account) covers(after lovagestand.Resources) bool {
	return a.entitlement.Satisfied && (a.limit == nil || after.Fits(*a.limit))
}

func (a *Account) crossesWithin(after lovagestand.Resources) bool {
	from, to := a.used.DominantShare(a.capacity), after.DominantShare(a.capacity)
	return (from+min(to, from+a.entitlement.Share))/2 <= a.entitlement.Share
}
