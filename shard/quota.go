package shard

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/quota"
	"lovagestand.example/lovagestand/shares"
)

const (
	// heldGrace is how long a team counts as held back by its quota after the last pass in
	// which it was, so that a team whose tasks end and start does not fill the log.
	heldGrace = 2 * time.Second
	// quotaRetryDelay is how long callers should wait before they submit a job again that
	// does not fit the quota of its team. Only a change of the configuration lets it run.
	quotaRetryDelay = time.Minute
)

// QuotaError reports that a job was not accepted because a task or a gang of it needs
// more than the quota of its team, so that it can never run under this quota.
type QuotaError struct {
	Team lovagestand.TeamName
	// Step is the index of the step. Needs is what the gang needs as a whole, or else one
	// task.
	Step  int
	Gang  bool
	Needs lovagestand.Resources
	// Quota is the team's quota; a resource of 0 is not limited.
	Quota lovagestand.Resources
}

// Error implements error.
func (e *QuotaError) Error() string {
	what := "a task"
	if e.Gang {
		what = "the gang"
	}
	return fmt.Sprintf("the job can never run: %s of step %d needs %s; the cap of team %s is %s (0: not limited)", what, e.Step, e.Needs, e.Team, e.Quota)
}

// Unwrap returns the error as a rejection.
func (e *QuotaError) Unwrap() error {
	return &RejectedError{Reason: e.Error(), RetryAfter: quotaRetryDelay, OverLimit: true}
}

// checkQuota returns a [QuotaError] if a job can never run within the quota of its team.
func (s *Shard) checkQuota(j job.Job) error {
	teams, ok := s.teams()
	if !ok || !teams.Enabled || j.Team == "" {
		return nil
	}
	limit := teams.Policy(j.Team).Quota
	if limit == nil {
		return nil
	}
	for i, step := range j.Steps {
		needs := leastNeeds(step)
		if needs.Fits(*limit) {
			continue
		}
		s.deps.Recorder.Count("jobsBeyondQuota", string(j.Team))
		err := &QuotaError{Team: j.Team, Step: i, Gang: step.Gang, Needs: needs, Quota: limited(*limit)}
		s.log.Warn().Err(err).Str("job", string(j.ID)).Str("team", string(j.Team)).Msg("job rejected")
		return err
	}
	return nil
}

// leastNeeds returns the least that must be free for a step to start: the needs of a task,
// or of a gang as a whole.
func leastNeeds(s job.Step) lovagestand.Resources {
	if s.Gang {
		return s.Needs.Times(int64(s.Count))
	}
	return s.Needs
}

// limited returns a quota with 0 for each resource that is not limited.
func limited(quota lovagestand.Resources) lovagestand.Resources {
	for _, amount := range []*int64{&quota.MilliCPU, &quota.MemoryMiB, &quota.Accelerators} {
		if *amount == math.MaxInt64 {
			*amount = 0
		}
	}
	return quota
}

// passTeam is a team with waiting steps in a pass.
type passTeam struct {
	dispatch.Team
	// waitingTasks is the number of tasks that wait, and waiting what they need.
	waitingTasks int
	waiting      lovagestand.Resources
	// next is the least that must be free for one of them to start.
	next lovagestand.Resources
	// tooLarge is the number of tasks that can never start within the quota.
	tooLarge int
}

// team returns the team of a waiting step for the dispatcher, nil if it has none.
func (p *pass) team(name lovagestand.TeamName) *dispatch.Team {
	if t := p.teams[name]; t != nil {
		return &t.Team
	}
	return nil
}

// selectWithinQuotas computes the headroom of each team and removes the waiting steps for
// which a quota leaves no room, so that they do not take the place of other steps.
func (s *Shard) selectWithinQuotas(p *pass) {
	if !p.policies.Enabled {
		return
	}
	p.teams = map[lovagestand.TeamName]*passTeam{}
	p.unknown = s.unknownUsage(p.now)
	p.ordered = p.ordered[:0]
	var t *passTeam
	var limit *lovagestand.Resources
	team := lovagestand.TeamName("")
	rooms := map[slotsKey]bool{}
	for i := range p.waiting {
		w := &p.waiting[i]
		if w.entry.team == "" {
			p.ordered = append(p.ordered, *w)
			continue
		}
		if t == nil || team != w.entry.team {
			team = w.entry.team
			limit = p.policies.Policy(team).Quota
			t = s.teamOf(p, team, limit)
		}
		t.waitingTasks += w.tasks
		least := w.needs
		if w.gang {
			least = w.needs.Times(int64(w.step.Count))
		}
		if t.waiting.IsZero() || least.Fits(t.next) {
			t.next = least
		}
		t.waiting = t.waiting.Add(w.needs.Times(int64(w.tasks)))
		if limit != nil && !least.Fits(*limit) {
			t.tooLarge += w.tasks
		}
		if t.Selects(w.needs, w.tasks, w.gang, limit == nil || p.hasRoom(w, rooms)) {
			p.ordered = append(p.ordered, *w)
		}
	}
	p.waiting, p.ordered = p.ordered, p.waiting
}

// hasRoom reports whether open workers that policy may allow have room for a task of a step, or
// for all of a gang. The answers for all workers are kept in rooms.
func (p *pass) hasRoom(w *waitingStep, rooms map[slotsKey]bool) bool {
	key := slotsKey{shape: shapeOf(w.entry, w.step), tasks: w.step.MinStart()}
	room, known := rooms[key]
	if !known {
		room = key.shape.HasRoomFor(key.tasks, p.dispatchWorkers, func(int) bool { return false })
		rooms[key] = room
	}
	st := w.entry.steps[w.ref]
	if !room || st == nil || len(st.decided) == 0 {
		return room
	}
	return key.shape.HasRoomFor(key.tasks, p.dispatchWorkers, func(i int) bool { return st.denies(p.workers[i]) })
}

// teamOf returns a team of the pass, and adds it with its headroom below a limit if it is
// missing. A nil limit stands for no quota.
func (s *Shard) teamOf(p *pass, team lovagestand.TeamName, limit *lovagestand.Resources) *passTeam {
	t := p.teams[team]
	if t != nil {
		return t
	}
	t = &passTeam{}
	if limit != nil {
		headroom := s.limit(p.policies, team, *limit).Sub(s.usage(team)).Sub(p.unknown.of(team))
		t.Headroom = &headroom
		t.Releases = func() []dispatch.Release { return s.teamReleases(p, team) }
	}
	p.teams[team] = t
	return t
}

// teamReleases returns when the runs of a team are expected to end and what each frees,
// soonest first.
func (s *Shard) teamReleases(p *pass, team lovagestand.TeamName) []dispatch.Release {
	var releases []dispatch.Release
	for _, w := range p.workers {
		runs := s.runsOn(w)
		for i := range runs {
			if r := &runs[i]; r.team == team && !r.longRunning {
				releases = append(releases, dispatch.Release{At: r.expectedEnd(p.now), Frees: r.needs})
			}
		}
	}
	slices.SortFunc(releases, func(a, b dispatch.Release) int { return a.At.Compare(b.At) })
	return releases
}

// heldTeam describes a team that is held back by its quota.
type heldTeam struct {
	since, last time.Time
}

// The reasons for which the tasks of a team wait.
const (
	// waitsForConfiguration means that no configuration has been read.
	waitsForConfiguration = "no configuration has been read"
	// waitsForQuota means that the quota leaves no room beside the runs of the team.
	waitsForQuota = "the cap leaves no room"
	// waitsForShare means that other shards hold the rest of the cap.
	waitsForShare = "the shard's share of the cap leaves no room"
	// waitsForFormerRuns means that the quota leaves room, but runs of former terms are
	// not all known.
	waitsForFormerRuns = "runs of former owners are not all known"
	// waitsForWorkers means that the quota leaves room.
	waitsForWorkers = "no worker has room or a ticket"
	// neverFits means that a task or gang needs more than the quota.
	neverFits = "a task or gang is larger than the cap"
)

// TeamStatus is what a team runs and what waits in a shard, for operators.
type TeamStatus struct {
	Team   lovagestand.TeamName `json:"team"`
	Weight float64              `json:"weight"`
	// Cap is the quota, in which 0 means that a resource is not limited; nil if the team
	// has no quota.
	Cap *lovagestand.Resources `json:"cap,omitempty"`
	// Share is the part of the cap that the team may use in this shard, if the cap is
	// divided among several shards.
	Share   *lovagestand.Resources `json:"share,omitempty"`
	Running lovagestand.Resources  `json:"running"`
	// Unknown is what is charged to the team for runs that are not known yet.
	Unknown      lovagestand.Resources `json:"unknown"`
	WaitingTasks int                   `json:"waitingTasks"`
	Waiting      lovagestand.Resources `json:"waiting"`
	// HeldTasks is the number of tasks that the quota alone kept from being considered in
	// the last pass, TooLargeTasks how many can never start within the quota.
	HeldTasks     int `json:"heldTasks"`
	TooLargeTasks int `json:"tooLargeTasks"`
	// HeldSince is when the quota began to hold back tasks, in milliseconds; 0 if it does
	// not.
	HeldSince int64 `json:"heldSinceMillis,omitempty"`
	// Reason is why the tasks wait; empty if none do.
	Reason string `json:"reason,omitempty"`
}

// recordTeams records the status of the teams at the end of a pass.
func (s *Shard) recordTeams(p *pass) {
	names := map[lovagestand.TeamName]bool{}
	for team := range s.teamUsage {
		names[team] = true
	}
	for team := range p.teams {
		names[team] = true
	}
	for team := range s.held {
		names[team] = true
	}
	unconfigured := s.unconfiguredTeams(p)
	for team := range unconfigured {
		names[team] = true
	}
	s.teamStatus = nil
	s.teamUsages = map[lovagestand.TeamName]quota.Usage{}
	for team, t := range p.teams {
		s.teamUsages[team] = quota.Usage{Waiting: t.waiting, Next: t.next}
	}
	if len(names) == 0 {
		return
	}
	if p.unknown.byTeam == nil {
		p.unknown = s.unknownUsage(p.now)
	}
	for name := range names {
		t := cmp.Or(p.teams[name], &passTeam{})
		policy := p.policies.Policy(name)
		status := TeamStatus{
			Team: name, Weight: policy.Weight, Running: s.usage(name), Unknown: p.unknown.of(name),
			WaitingTasks: t.waitingTasks, Waiting: t.waiting, HeldTasks: t.HeldTasks, TooLargeTasks: t.tooLarge,
		}
		if policy.Quota != nil {
			limit := limited(*policy.Quota)
			status.Cap = &limit
			if s.deps.DividedCaps {
				share := s.limit(p.policies, name, *policy.Quota)
				status.Share = &share
			}
		}
		status.Reason = waitReason(status, unconfigured[name])
		status.HeldSince = s.recordHeld(status, p.now)
		s.teamStatus = append(s.teamStatus, status)
	}
	slices.SortFunc(s.teamStatus, func(a, b TeamStatus) int { return cmp.Compare(a.Team, b.Team) })
}

// unconfiguredTeams returns the teams with jobs that wait because no configuration has
// been read.
func (s *Shard) unconfiguredTeams(p *pass) map[lovagestand.TeamName]bool {
	if p.configured {
		return nil
	}
	teams := map[lovagestand.TeamName]bool{}
	for _, e := range s.live {
		if e.team != "" {
			teams[e.team] = true
		}
	}
	return teams
}

// waitReason returns why tasks of a team wait.
func waitReason(status TeamStatus, unconfigured bool) string {
	switch {
	case unconfigured:
		return waitsForConfiguration
	case status.WaitingTasks == 0:
		return ""
	case status.TooLargeTasks > 0 && status.TooLargeTasks == status.HeldTasks:
		return neverFits
	case status.HeldTasks > 0 && !status.Unknown.IsZero():
		return waitsForFormerRuns
	case status.HeldTasks > 0 && status.Share != nil:
		return waitsForShare
	case status.HeldTasks > 0:
		return waitsForQuota
	}
	return waitsForWorkers
}

// recordHeld records whether the quota of a team holds back tasks, and returns since when
// it does, in milliseconds, or 0 if it does not.
func (s *Shard) recordHeld(status TeamStatus, now time.Time) int64 {
	h := s.held[status.Team]
	switch {
	case status.HeldTasks > 0 && h == nil:
		h = &heldTeam{since: now, last: now}
		s.held[status.Team] = h
		s.deps.Recorder.Count("teamsHeldByQuota", string(status.Team))
		event := s.log.Info().Str("team", string(status.Team)).Int64("usedMilliCPU", status.Running.MilliCPU).Int64("usedMemoryMiB", status.Running.MemoryMiB).
			Int64("unknownMilliCPU", status.Unknown.MilliCPU).Int("heldTasks", status.HeldTasks).Int("tooLargeTasks", status.TooLargeTasks)
		if status.Cap != nil {
			event = event.Int64("capMilliCPU", status.Cap.MilliCPU).Int64("capMemoryMiB", status.Cap.MemoryMiB).Int64("capAccelerators", status.Cap.Accelerators)
		}
		event.Str("reason", status.Reason).Msg("team held back by its cap")
	case status.HeldTasks > 0:
		h.last = now
	case h != nil && now.Sub(h.last) > heldGrace:
		delete(s.held, status.Team)
		s.deps.Recorder.Observe("heldByQuotaTimes", string(status.Team), now.Sub(h.since))
		s.log.Info().Str("team", string(status.Team)).Dur("for", now.Sub(h.since)).Msg("team no longer held back by its cap")
		return 0
	}
	if h == nil {
		return 0
	}
	return h.since.UnixMilli()
}

// limit returns what a team may use in the shard, given its quota in the cell.
func (s *Shard) limit(teams Teams, team lovagestand.TeamName, cellQuota lovagestand.Resources) lovagestand.Resources {
	if !s.deps.DividedCaps {
		return cellQuota
	}
	return s.shares.Limit(team, cellQuota, teams.Version)
}

// SetShares implements [shares.Shard].
func (s *Shard) SetShares(grant shares.Grant) shares.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares = grant
	report := shares.Report{Usage: map[lovagestand.TeamName]quota.Usage{}, Unknown: map[lovagestand.TeamName]lovagestand.Resources{}}
	for team, usage := range s.teamUsages {
		report.Usage[team] = usage
	}
	for team, running := range s.teamUsage {
		usage := report.Usage[team]
		usage.Running = running
		report.Usage[team] = usage
	}
	unknown := s.unknownUsage(time.Now())
	for team := range grant.Limits {
		if amount := unknown.of(team); !amount.IsZero() {
			report.Unknown[team] = amount
		}
	}
	s.wake()
	return report
}

var _ shares.Shard = (*Shard)(nil)
