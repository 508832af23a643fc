package shard

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

// unboundedAmount stands for an unknown amount of a resource. It leaves room for sums.
const unboundedAmount = 1 << 60

// unbounded stands for unknown resources.
var unbounded = lovagestand.Resources{MilliCPU: unboundedAmount, MemoryMiB: unboundedAmount, Accelerators: unboundedAmount}

// formerRuns is what runs of former terms may hold that this term has not seen, until all
// of them are known.
type formerRuns struct {
	// live is the sum of [jobEntry.former] over the recovered jobs of each team.
	live map[lovagestand.TeamName]lovagestand.Resources
	// ended holds the jobs that ended recently while they had runs.
	ended []endedRuns
}

// endedRuns is what the runs of an ended job may hold until a time.
type endedRuns struct {
	team  lovagestand.TeamName
	held  lovagestand.Resources
	until time.Time
}

func newFormerRuns() formerRuns {
	return formerRuns{live: map[lovagestand.TeamName]lovagestand.Resources{}}
}

// endedRunDuration returns how long after the recorded end of a job runs of it may exist
// on workers that do not answer.
func (s *Shard) endedRunDuration() time.Duration {
	return s.longestLease() + s.limits.Overlap + maxClockSkew
}

// addLive adds a recovered job. Any of its tasks that are not stored as done may run, also
// of later steps: the end of a run that let them start may not have been stored.
func (f *formerRuns) addLive(e *jobEntry, now time.Time) {
	if e.team == "" {
		return
	}
	e.former = e.progress.Unfinished(now.Add(maxClockSkew))
	e.accounted = map[job.Task]bool{}
	for _, t := range e.progress.Done() {
		e.accounted[t] = true
	}
	f.live[e.team] = f.live[e.team].Add(e.former)
}

// addEnded adds an ended job, given what its runs held.
func (f *formerRuns) addEnded(e *jobEntry, held *lovagestand.Resources, until, now time.Time) {
	if held == nil || e.team == "" {
		return
	}
	e.former = *held
	if until.After(now) {
		f.ended = append(f.ended, endedRuns{team: e.team, held: *held, until: until})
	}
}

// account records that the run of a task is known: it is listed as running or done. The
// task then has no other run that is not known.
func (f *formerRuns) account(e *jobEntry, task job.Task) {
	before, ok := f.live[e.team]
	if !ok || !e.recovered || e.accounted[task] || e.progress == nil || !e.progress.Valid(task) {
		return
	}
	needs := e.progress.Job().Steps[task.Step].Needs
	e.accounted[task] = true
	e.former = e.former.Sub(needs)
	f.live[e.team] = before.Sub(needs)
}

// byTeam returns what the runs of each team may hold.
func (f *formerRuns) byTeam(now time.Time) map[lovagestand.TeamName]lovagestand.Resources {
	sums := make(map[lovagestand.TeamName]lovagestand.Resources, len(f.live))
	for team, amount := range f.live {
		sums[team] = amount
	}
	for _, e := range f.ended {
		if e.until.After(now) {
			sums[e.team] = sums[e.team].Add(e.held)
		}
	}
	return sums
}

// unknownUsage is what the runs may hold that are not part of [Shard.usage].
type unknownUsage struct {
	byTeam map[lovagestand.TeamName]lovagestand.Resources
	// any is what runs hold whose team is not known.
	any lovagestand.Resources
}

// of returns what unknown runs of a team may hold.
func (u unknownUsage) of(team lovagestand.TeamName) lovagestand.Resources {
	return u.byTeam[team].Add(u.any)
}

// unknownUsage returns what the runs may hold that former terms have started and this
// term has not seen, and the runs without a placement.
func (s *Shard) unknownUsage(now time.Time) unknownUsage {
	u := unknownUsage{byTeam: map[lovagestand.TeamName]lovagestand.Resources{}}
	if !s.resolved {
		limit := s.unansweredCapacity()
		u.byTeam = s.former.byTeam(now)
		if len(s.unreadable) > 0 {
			u.any = limit
		}
		for team, amount := range u.byTeam {
			u.byTeam[team] = amount.Min(limit)
		}
	}
	s.addStrayUsage(&u)
	return u
}

// unansweredCapacity returns the capacity of the workers that may run tasks of former
// terms and have not answered.
func (s *Shard) unansweredCapacity() lovagestand.Resources {
	var sum lovagestand.Resources
	if s.rosterUnreadable {
		return unbounded
	}
	for _, former := range s.unresolved {
		if former.Capacity == nil {
			return unbounded
		}
		sum = sum.Add(*former.Capacity)
	}
	return sum
}

// formerCapacity returns the largest capacity that a worker has had as far as the roster
// of the former terms and its entry in the list tell.
func (s *Shard) formerCapacity(info lovagestand.FleetWorker) lovagestand.Resources {
	if former := s.unresolved[info.Name].Capacity; former != nil {
		return info.Capacity.Max(*former)
	}
	return info.Capacity
}

// addStrayUsage adds the runs that belong to no placement. They hold at most the capacity
// of their workers, and those of an ended job at most what its record states. A run of a
// job that is not known counts against every team.
func (s *Shard) addStrayUsage(u *unknownUsage) {
	ended := map[*jobEntry]lovagestand.Resources{}
	for _, w := range s.sortedWorkers() {
		if len(w.strays) == 0 {
			continue
		}
		for name := range w.strays {
			id, task, ok := job.ParseTaskName(name)
			e := s.jobs[id]
			switch {
			case !ok:
			case e == nil:
				u.any = u.any.Add(w.maxCapacity)
			case e.progress != nil && task.Step < len(e.progress.Job().Steps):
				u.byTeam[e.team] = u.byTeam[e.team].Add(e.progress.Job().Steps[task.Step].Needs)
			default:
				ended[e] = ended[e].Add(w.maxCapacity)
			}
		}
	}
	for e, amount := range ended {
		if !e.former.IsZero() {
			amount = amount.Min(e.former)
		}
		u.byTeam[e.team] = u.byTeam[e.team].Add(amount)
	}
}

// heldBy returns what the runs of an ended job of a team hold or may hold, nil if that is
// nothing.
func (s *Shard) heldBy(e *jobEntry) *lovagestand.Resources {
	if e.team == "" {
		return nil
	}
	var held lovagestand.Resources
	if len(e.heldRuns) > 0 {
		for _, w := range s.workers {
			for _, p := range w.placements {
				if p.entry == e {
					held = held.Add(p.needs)
				}
			}
		}
	}
	if e.recovered && !s.resolved {
		held = held.Add(e.former)
	}
	if held.IsZero() {
		return nil
	}
	return &held
}

// rosterCapacity returns the capacity of a worker to be stored in the roster, nil in a
// deployment without teams.
func (s *Shard) rosterCapacity(w *worker) *lovagestand.Resources {
	if teams, ok := s.teams(); ok && !teams.Enabled {
		return nil
	}
	capacity := w.maxCapacity
	return &capacity
}
