// Package team keeps the resource usage of each team of callers in a pool, its
// weight and its quota.
package team

import "lovagestand.example/lovagestand"

// ID is a team's index in [Accounts].
type ID int32

// Accounts counts the resources that teams use. It is not safe for concurrent use.
type Accounts struct {
	ids  map[lovagestand.TeamName]ID
	rows []account
	// total is the capacity that shares are fractions of.
	total lovagestand.Resources
}

type account struct {
	used   lovagestand.Resources
	quota  *lovagestand.Resources
	weight float64
	share  float64
}

// NewAccounts returns accounts without any teams.
func NewAccounts() *Accounts {
	return &Accounts{ids: map[lovagestand.TeamName]ID{}}
}

// ID returns a team's index. It opens an account if the team is new.
func (a *Accounts) ID(name lovagestand.TeamName) ID {
	if id, ok := a.ids[name]; ok {
		return id
	}
	id := ID(len(a.rows))
	a.ids[name] = id
	a.rows = append(a.rows, account{weight: 1})
	return id
}

// Len returns the number of teams. All team IDs are less than it.
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

// SetTotal replaces the capacity that shares are fractions of.
func (a *Accounts) SetTotal(total lovagestand.Resources) {
	a.total = total
	for i := range a.rows {
		a.updateShare(&a.rows[i])
	}
}

// AddUsage adds size, which may be negative, to the usage of a team. It does not
// check the quota, since adopted tasks already run.
func (a *Accounts) AddUsage(id ID, size lovagestand.Resources) {
	r := &a.rows[id]
	r.used = r.used.Add(size)
	a.updateShare(r)
}

func (a *Accounts) updateShare(r *account) {
	r.share = r.used.DominantShare(a.total) / r.weight
}

// Share returns the dominant share of a team, which is the fraction of the total
// that it uses of its dominant resource, divided by its weight.
func (a *Accounts) Share(id ID) float64 {
	return a.rows[id].share
}

// Used returns the resources that a team uses.
func (a *Accounts) Used(id ID) lovagestand.Resources {
	return a.rows[id].used
}

// WithinQuota reports whether a team stays within its quota if it uses more in
// addition to its present usage.
func (a *Accounts) WithinQuota(id ID, more lovagestand.Resources) bool {
	r := &a.rows[id]
	return r.quota == nil || r.used.Add(more).Fits(*r.quota)
}

// ExceedsQuota reports whether size alone exceeds a team's quota, so that the team
// can never use it.
func (a *Accounts) ExceedsQuota(id ID, size lovagestand.Resources) bool {
	r := &a.rows[id]
	return r.quota != nil && !size.Fits(*r.quota)
}
