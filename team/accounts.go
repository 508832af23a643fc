// Package team keeps what each team of callers takes of a pool, its weight and
// its quota.
package team

import "lovagestand.example/lovagestand"

// ID is a team's place in [Accounts].
type ID int32

// Accounts counts what teams take. It is not safe for concurrent use.
type Accounts struct {
	ids  map[lovagestand.TeamName]ID
	rows []account
	// total is the capacity of which shares are taken.
	total lovagestand.Resources
}

type account struct {
	used   lovagestand.Resources
	quota  *lovagestand.Resources
	weight float64
	share  float64
}

// NewAccounts returns accounts of no teams.
func NewAccounts() *Accounts {
	return &Accounts{ids: map[lovagestand.TeamName]ID{}}
}

// ID returns a team's place, opening an account for a new team.
func (a *Accounts) ID(name lovagestand.TeamName) ID {
	if id, ok := a.ids[name]; ok {
		return id
	}
	id := ID(len(a.rows))
	a.ids[name] = id
	a.rows = append(a.rows, account{weight: 1})
	return id
}

// Len returns how many teams there are; their IDs are below it.
func (a *Accounts) Len() int {
	return len(a.rows)
}

// SetPolicies replaces the weights and quotas of all teams.
func (a *Accounts) SetPolicies(policies []lovagestand.TeamPolicy) {
	for i := range a.rows {
		a.rows[i].weight = 1
		a.rows[i].quota = nil
	}
	for _, p := range policies {
		r := &a.rows[a.ID(p.Team)]
		r.quota = p.Quota
		if p.Weight > 0 {
			r.weight = p.Weight
		}
	}
	a.SetTotal(a.total)
}

// SetTotal replaces the capacity of which shares are taken.
func (a *Accounts) SetTotal(total lovagestand.Resources) {
	a.total = total
	for i := range a.rows {
		a.updateShare(&a.rows[i])
	}
}

// AddUsage adds to what a team uses; what is added may be negative. The quota is
// not checked, since adopted tasks run already.
func (a *Accounts) AddUsage(id ID, size lovagestand.Resources) {
	r := &a.rows[id]
	r.used = r.used.Add(size)
	a.updateShare(r)
}

func (a *Accounts) updateShare(r *account) {
	r.share = r.used.DominantShare(a.total) / r.weight
}

// Share returns the part of the total that a team uses by dominant resource,
// divided by its weight.
func (a *Accounts) Share(id ID) float64 {
	return a.rows[id].share
}

// Used returns what a team uses.
func (a *Accounts) Used(id ID) lovagestand.Resources {
	return a.rows[id].used
}

// WithinQuota reports whether a team may use more within its quota.
func (a *Accounts) WithinQuota(id ID, more lovagestand.Resources) bool {
	r := &a.rows[id]
	return r.quota == nil || r.used.Add(more).Fits(*r.quota)
}

// ExceedsQuota reports whether a quota forbids a team to use size at all.
func (a *Accounts) ExceedsQuota(id ID, size lovagestand.Resources) bool {
	r := &a.rows[id]
	return r.quota != nil && !size.Fits(*r.quota)
}
