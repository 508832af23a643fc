package shard

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/admission"
	"lovagestand.example/lovagestand/fairshare"
	"lovagestand.example/lovagestand/job"
)

const (
	// maxBacklogAge is the age from which a recorded backlog is not used, because work
	// may have ended since.
	maxBacklogAge = time.Second
	// beyondGrace is how long a team must have had no waiting step beyond its entitlement
	// before a period beyond it counts as over.
	beyondGrace = time.Second
)

// backlog is the work that waits as of a pass, by service.
type backlog struct {
	at        time.Time
	divisions map[string]*division
}

// beyondPeriod is a period in which a team had waiting steps beyond its entitlement.
type beyondPeriod struct {
	since, last time.Time
}

// recordBacklogs records the waiting steps, in order, as the work ahead of new jobs.
// Tasks that run until they are cancelled have no run time and do not count.
func (s *Shard) recordBacklogs(p *pass) {
	for _, d := range p.divisions {
		d.all.Reset()
		d.backlogs = slices.Grow(d.backlogs[:0], len(d.teams))[:len(d.teams)]
		for i := range d.backlogs {
			d.backlogs[i].Reset()
		}
	}
	for i := range p.waiting {
		w := &p.waiting[i]
		if w.longRunning {
			continue
		}
		d := w.division
		work := w.needs.Times(int64(w.tasks)).DominantShare(d.capacity) * w.runTime.Seconds()
		d.all.Add(w.score, work)
		d.backlogs[w.team].Add(w.score, work)
	}
	s.backlog = &backlog{at: p.now, divisions: p.divisions}
}

// admit returns a [RejectedError] if a new job is certain to end too late to be of use
// to its caller. Without teams all jobs are admitted.
func (s *Shard) admit(now time.Time, e *jobEntry) error {
	j := e.progress.Job()
	if s.backlog == nil || now.Sub(s.backlog.at) > maxBacklogAge || j.LongRunning() || !j.Schedule.Due(0).IsZero() {
		return nil
	}
	d := s.backlog.divisions[j.Policy.Service]
	if d == nil {
		return nil
	}
	i, ok := d.find(s.teamNumber(e))
	if !ok {
		return nil
	}
	score := s.score(now, e, job.StepRef{})
	decision := admission.Decide(
		admission.Load{Use: d.used.DominantShare(d.capacity), All: &d.all, Team: &d.backlogs[i], TeamShare: d.accounts[i].Reach()},
		admission.Job{Score: score, CriticalPath: e.criticalPath, Stretch: j.Policy.Stretch, Target: j.Policy.Target, Hash: xxhash.Sum64String(string(e.id))},
	)
	if !decision.Rejected || s.hasIdleWorker(now, j) {
		return nil
	}
	s.deps.Recorder.Count("rejectedJobs", string(e.team))
	s.log.Info().Str("job", string(e.id)).Str("team", string(e.team)).Str("route", string(e.route)).Dur("wait", decision.Wait).Dur("slack", decision.Slack).
		Dur("retryAfter", decision.RetryAfter).Float64("teamBacklog", d.backlogs[i].Total()).Float64("backlog", d.all.Total()).Float64("teamReach", d.accounts[i].Reach()).
		Msg("job rejected because of the load")
	return &RejectedError{Reason: "the job would end too late to be of use", RetryAfter: decision.RetryAfter, Overloaded: true}
}

// hasIdleWorker reports whether a task of a job fits on a worker now.
func (s *Shard) hasIdleWorker(now time.Time, j job.Job) bool {
	for _, w := range s.sortedWorkers() {
		for i := range j.Steps {
			step := &j.Steps[i]
			matches := (j.Policy.Service == "" || w.info.Service == j.Policy.Service) && (step.Label == "" || slices.Contains(w.info.Labels, step.Label))
			if matches && step.Needs.Fits(w.free) && s.open(w, now) {
				return true
			}
		}
	}
	return false
}

// recordBeyond logs and measures the periods in which teams have waiting steps beyond
// their entitlements.
func (s *Shard) recordBeyond(p *pass) {
	for i := range p.waiting {
		w := &p.waiting[i]
		if w.tier != fairshare.Beyond {
			continue
		}
		period := s.beyond[w.entry.team]
		if period == nil {
			period = &beyondPeriod{since: p.now}
			s.beyond[w.entry.team] = period
			s.logBeyond(p, w.entry.team)
		}
		period.last = p.now
	}
}

// endBeyondPeriods ends the periods of teams that have had no waiting step beyond their
// entitlement for a while.
func (s *Shard) endBeyondPeriods(now time.Time) {
	for team, period := range s.beyond {
		if now.Sub(period.last) > beyondGrace {
			delete(s.beyond, team)
			s.deps.Recorder.Observe("timesBeyondEntitlement", string(team), period.last.Sub(period.since))
			s.log.Info().Str("team", string(team)).Dur("duration", period.last.Sub(period.since)).Msg("team is within its entitlement again")
		}
	}
}

// logBeyond logs what a team uses, and what it waits for beyond its entitlement.
func (s *Shard) logBeyond(p *pass, team lovagestand.TeamName) {
	steps, beyond := 0, lovagestand.Resources{}
	for _, w := range p.waiting {
		if w.entry.team == team && w.tier == fairshare.Beyond {
			steps++
			beyond = beyond.Add(w.needs.Times(int64(w.tasks)))
		}
	}
	s.log.Info().Str("team", string(team)).Stringer("used", s.usage(team)).Int("stepsBeyond", steps).Stringer("beyond", beyond).Msg("team has waiting steps beyond its entitlement")
}
