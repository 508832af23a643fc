package shard

import (
	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/shares"
)

// Teams holds the policies of the teams in one version of the configuration.
type Teams struct {
	// Version is the version of the configuration.
	Version int64
	// Enabled is false in a deployment without teams.
	Enabled  bool
	Policies map[lovagestand.TeamName]lovagestand.TeamPolicy
}

// Policy returns the policy of a team. A team that the configuration does not contain
// has weight 1 and no quota.
func (t Teams) Policy(team lovagestand.TeamName) lovagestand.TeamPolicy {
	if p, ok := t.Policies[team]; ok {
		return p
	}
	return lovagestand.TeamPolicy{Team: team, Weight: 1}
}

// Caps returns the caps of the teams that have one.
func (t Teams) Caps() shares.Caps {
	caps := shares.Caps{Version: t.Version, Enabled: t.Enabled, ByTeam: map[lovagestand.TeamName]lovagestand.Resources{}}
	for team, policy := range t.Policies {
		if policy.Quota != nil {
			caps.ByTeam[team] = *policy.Quota
		}
	}
	return caps
}

// addUsage adds an amount, which may be negative, to the usage of a team.
func (s *Shard) addUsage(team lovagestand.TeamName, amount lovagestand.Resources) {
	if team == "" {
		return
	}
	used := s.teamUsage[team].Add(amount)
	if used.IsZero() {
		delete(s.teamUsage, team)
		return
	}
	s.teamUsage[team] = used
}

// usage returns what the runs of a team hold on the workers of this shard, including
// runs that are being stopped and runs whose start is not confirmed.
func (s *Shard) usage(team lovagestand.TeamName) lovagestand.Resources {
	return s.teamUsage[team]
}

// teams returns the policies in force. It returns false while no configuration has
// been read.
func (s *Shard) teams() (Teams, bool) {
	if s.deps.Teams == nil {
		return Teams{}, true
	}
	return s.deps.Teams()
}
