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
	// Regions are the regions whose workers belong to the pool.
	Regions []lovagestand.RegionName `yaml:"regions" json:"regions"`
	// Leaving are workers that must not be given new tasks.
	Leaving []lovagestand.WorkerName `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	// QueueLimit is the maximum number of waiting tasks of each class in each
	// shard; 0 means no limit.
	QueueLimit int `yaml:"queueLimit,omitempty" json:"queueLimit,omitempty"`
	// Headroom is the fraction of the capacity that is reserved for urgent tasks.
	Headroom float64 `yaml:"headroom,omitempty" json:"headroom,omitempty"`
	// DefaultQuota is the quota of every listed team without a quota of its own.
	DefaultQuota *Amount `yaml:"defaultQuota,omitempty" json:"defaultQuota,omitempty"`
	// Teams are the teams that the pool serves. They are sorted by name in
	// [Tables].
	Teams []Team `yaml:"teams,omitempty" json:"teams,omitempty"`
	// Description is a note for operators and has no effect.
	Description string `yaml:"description,omitempty" json:"description,omitempty"`
}

// Team is a team's row within a pool.
type Team struct {
	Name lovagestand.TeamName `yaml:"name" json:"name"`
	// Weight is the team's weight in fair sharing; 0 counts as 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
	// Quota is the maximum amount of resources that the team may use in the whole
	// pool at once. If it is nil, the pool's default quota applies.
	Quota *Amount `yaml:"quota,omitempty" json:"quota,omitempty"`
}

// WithTeams returns a copy of p that lists the given teams, sorted by name.
func (p Pool) WithTeams(teams ...Team) Pool {
	p.Teams = slices.Clone(teams)
	slices.SortFunc(p.Teams, func(a, b Team) int { return compare(a.Name, b.Name) })
	return p
}

// WithLeaving returns a copy of p in which only the given workers are leaving.
func (p Pool) WithLeaving(workers ...lovagestand.WorkerName) Pool {
	p.Leaving = slices.Clone(workers)
	return p
}

// WithRegions returns a copy of p with the given regions.
func (p Pool) WithRegions(regions ...lovagestand.RegionName) Pool {
	p.Regions = slices.Clone(regions)
	return p
}

// Team returns the row of a team, and false if the pool does not list the team. The
// teams of p must be sorted by name.
func (p Pool) Team(name lovagestand.TeamName) (Team, bool) {
	i, found := slices.BinarySearchFunc(p.Teams, name, func(t Team, n lovagestand.TeamName) int {
		return compare(t.Name, n)
	})
	if !found {
		return Team{}, false
	}
	return p.Teams[i], true
}

// Serves reports whether the pool serves a team.
func (p Pool) Serves(team lovagestand.TeamName) bool {
	if len(p.Teams) == 0 {
		return true
	}
	_, listed := p.Team(team)
	return listed
}

// Quota returns a team's quota in the whole pool, or nil if it has none.
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

// Policy returns the pool's policy for a [lovagestand.Decider]. Its quotas are
// those of the whole pool, not shares of a shard.
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
