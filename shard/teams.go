package shard

import (
	"slices"
	"time"

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

// withdrawn reports whether a newer version of the configuration than the given one no
// longer contains a team.
func (s *Shard) withdrawn(team lovagestand.TeamName, version int64) bool {
	teams, ok := s.teams()
	if !ok || team == "" || !teams.Enabled || teams.Version <= version {
		return false
	}
	_, exists := teams.Policies[team]
	return !exists
}

// visibleTo reports whether callers of a team may see and cancel a job: it is their own,
// or it has no team because its route was public when it was submitted.
func (e *jobEntry) visibleTo(team lovagestand.TeamName) bool {
	return e.team == "" || e.team == team
}

// cancelled reports whether a team has cancelled an unsubmitted job.
func (e *jobEntry) cancelled(team lovagestand.TeamName) bool {
	return slices.Contains(e.cancelledBy, team)
}

// cancellationStored reports whether everything is stored that a cancellation by a team
// has to store. For a job of another team that is the job itself.
func (e *jobEntry) cancellationStored(team lovagestand.TeamName) bool {
	switch {
	case e.unsubmitted:
		return e.endDurable && e.cancelled(team)
	case !e.visibleTo(team):
		return e.durable
	}
	return e.endDurable
}

// addCancellation records that one more team has cancelled an unsubmitted job, which is
// then kept for its retention from now on.
func (e *jobEntry) addCancellation(team lovagestand.TeamName) {
	e.cancelledBy = append(e.cancelledBy, team)
	e.finishedAt = time.Now()
	e.expired, e.endDurable = false, false
	e.generation++
}

// replacedBy turns the entry of an unsubmitted job into that of a new job with the same
// ID. It remains the same entry, so that the writes of both cannot overtake each other.
func (e *jobEntry) replacedBy(n *jobEntry) *jobEntry {
	e.team, e.route, e.service, e.progress, e.body, e.started = n.team, n.route, n.service, n.progress, n.body, n.started
	e.steps, e.crashAges, e.failedOn = n.steps, n.crashAges, n.failedOn
	e.objective, e.totalCoreTime, e.longRunning, e.workStale = n.objective, n.totalCoreTime, n.longRunning, true
	e.phase, e.finishedAt = "", time.Time{}
	e.unsubmitted, e.expired, e.cancelledBy = false, false, nil
	e.durable, e.endDurable = false, false
	e.generation++
	return e
}
