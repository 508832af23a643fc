package table

import (
	"slices"

	"lovagestand.example/lovagestand"
)

// Pool is a row of the pools table: a group of workers. A pool that lists
// teams serves only those teams; a pool that lists none serves every team.
type Pool struct {
	Name lovagestand.PoolName `yaml:"name" json:"name"`
	// Runner names the backend service whose workers belong to the pool.
	Runner string `yaml:"runner" json:"runner"`
	// Regions are those whose workers belong to the pool.
	Regions []lovagestand.RegionName `yaml:"regions" json:"regions"`
	// Leaving are workers that are to take no new work.
	Leaving []lovagestand.WorkerName `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	// QueueLimit is the most waiting tasks of each class in each shard; 0 for
	// no limit.
	QueueLimit int `yaml:"queueLimit,omitempty" json:"queueLimit,omitempty"`
	// Headroom is the fraction of capacity kept free for urgent work.
	Headroom float64 `yaml:"headroom,omitempty" json:"headroom,omitempty"`
	// DefaultQuota is the quota of each listed team that has none of its own.
	DefaultQuota *Amount `yaml:"defaultQuota,omitempty" json:"defaultQuota,omitempty"`
	// Teams are sorted by name once parsed.
	Teams []Team `yaml:"teams,omitempty" json:"teams,omitempty"`
	// Description is for people only.
	Description string `yaml:"description,omitempty" json:"description,omitempty"`
}

// Team is a team's row within a pool.
type Team struct {
	Name lovagestand.TeamName `yaml:"name" json:"name"`
	// Weight is the team's part in fair sharing; 0 counts as 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
	// Quota is the most that the team may run in the whole pool at once; nil
	// for the pool's default.
	Quota *Amount `yaml:"quota,omitempty" json:"quota,omitempty"`
}

// WithTeams returns a copy of p that lists teams.
func (p Pool) WithTeams(teams ...Team) Pool {
	p.Teams = slices.Clone(teams)
	slices.SortFunc(p.Teams, func(a, b Team) int { return compare(a.Name, b.Name) })
	return p
}

// WithLeaving returns a copy of p whose named workers take no new work.
func (p Pool) WithLeaving(workers ...lovagestand.WorkerName) Pool {
	p.Leaving = slices.Clone(workers)
	return p
}

// WithRegions returns a copy of p with the workers of other regions.
func (p Pool) WithRegions(regions ...lovagestand.RegionName) Pool {
	p.Regions = slices.Clone(regions)
	return p
}

// Team returns the row of a team; false if the pool does not list it.
func (p Pool) Team(name lovagestand.TeamName) (Team, bool) {
	i, found := slices.BinarySearchFunc(p.Teams, name, func(t Team, n lovagestand.TeamName) int {
		return compare(t.Name, n)
	})
	if !found {
		return Team{}, false
	}
	return p.Teams[i], true
}

// Serves reports whether the pool takes work of a team.
func (p Pool) Serves(team lovagestand.TeamName) bool {
	if len(p.Teams) == 0 {
		return true
	}
	_, listed := p.Team(team)
	return listed
}

// Quota returns a team's quota over the whole pool; nil for none.
func (p Pool) Quota(t Team) *lovagestand.Resources {
	amount := t.Quota
	if amount == nil {
		amount = p.DefaultQuota
	}
	if amount == nil {
		return nil
	}
	value := amount.Value()
	return &value
}

// Policy returns what a decider must know of the pool, with the quotas of the
// whole pool.
func (p Pool) Policy() lovagestand.PoolPolicy {
	policy := lovagestand.PoolPolicy{Pool: p.Name, QueueLimit: p.QueueLimit, HeadroomShare: p.Headroom}
	for _, t := range p.Teams {
		policy.Teams = append(policy.Teams, lovagestand.TeamPolicy{
			Team: t.Name, Weight: t.Weight, Quota: p.Quota(t),
		})
	}
	return policy
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
