package dispatch

import (
	"time"

	"lovagestand.example/lovagestand"
)

// Team is what a pass needs of a team of callers. All steps of the team share it. The
// methods accept nil, for a step without a team.
type Team struct {
	// Headroom is what the team's quota leaves beside the tasks that run or may run; nil
	// if the team has no quota. A resource is negative if the team uses more than its
	// quota, which may have been lowered. [Plan] reduces it.
	Headroom *lovagestand.Resources
	// Releases returns the expected ends of the team's runs, soonest first. If the function
	// is nil, no run is expected to end.
	Releases func() []Release
	// HeldTasks is the number of tasks that the quota alone kept from being considered.
	// [Plan] sets it.
	HeldTasks int

	// advised is what the steps need for which the pass has requested, or awaits, the
	// first advice.
	advised lovagestand.Resources
	// reservedFrom is when a gang of the team is expected to have room in the quota; zero
	// if none is held back. Tasks that end before then may use all of the headroom, longer
	// ones only spare, what remains beside the gang.
	reservedFrom time.Time
	spare        lovagestand.Resources
	// withRoom and withoutRoom are the selections of the steps for which workers have room
	// and of the others. See [Team.Selects].
	withRoom, withoutRoom selection
	// released is what the runs of the team release; it is set once releasedKnown is.
	released      lovagestand.Resources
	releasedKnown bool
	// gangSelected reports whether a gang was selected for which there is no room yet.
	gangSelected bool
}

// fits reports whether the headroom has room for an amount.
func (t *Team) fits(amount lovagestand.Resources) bool {
	return t == nil || t.Headroom == nil || t.Headroom.Valid() && amount.Fits(*t.Headroom)
}

// limited reports whether the team has a quota.
func (t *Team) limited() bool { return t != nil && t.Headroom != nil }

// delaysGang reports whether a task of the step is expected to run beyond the start for
// which room in the quota of its team is reserved.
func (p *planner) delaysGang(s *Step) bool {
	return s.Team.limited() && !s.Team.reservedFrom.IsZero() && p.Now.Add(s.RunTime).After(s.Team.reservedFrom)
}

// fitsQuota reports whether the quota of the team has room for a task of the step, beside
// what is reserved for a gang.
func (p *planner) fitsQuota(s *Step) bool {
	return s.Team.fits(s.Needs) && (!p.delaysGang(s) || s.Needs.Fits(s.Team.spare))
}

// takeQuota takes room for a number of tasks of a step, which may be negative, from the
// headroom of its team.
func (p *planner) takeQuota(s *Step, tasks int) {
	if !s.Team.limited() {
		return
	}
	amount := s.Needs.Times(int64(tasks))
	*s.Team.Headroom = s.Team.Headroom.Sub(amount)
	if p.delaysGang(s) {
		s.Team.spare = s.Team.spare.Sub(amount)
	}
}

// idleQuotaHorizon replaces [reservationHorizon] for a team that uses less than half of its
// quota: its other steps must not wait 3 s for a gang while there is room for them.
const idleQuotaHorizon = 2 * time.Second

// reserveQuota reserves room in the quota of a team for the first gang that has to wait,
// from the time earliest or, if the quota holds it back, the time at which the runs of the
// team are expected to leave the room. It answers the load of a team whose small steps use
// the quota up again and again, so that it never has room for the gang. Until then, tasks
// that end earlier may use the room.
func (p *planner) reserveQuota(s *Step, earliest time.Time) {
	t := s.Team
	if !s.Gang || !t.limited() || !t.reservedFrom.IsZero() || t.Releases == nil {
		return
	}
	total := s.Needs.Times(int64(s.Tasks))
	room, start := *t.Headroom, earliest
	var used lovagestand.Resources
	for _, r := range t.Releases() {
		used = used.Add(r.Frees)
		if total.Fits(room) && r.At.After(earliest) {
			continue
		}
		room = room.Add(r.Frees)
		start = later(start, r.At)
	}
	horizon := reservationHorizon
	if used.Fits(*t.Headroom) {
		horizon = idleQuotaHorizon
	}
	if total.Fits(room) && start.Sub(p.Now) <= horizon {
		t.reservedFrom, t.spare = start, room.Sub(total)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// admitAdvice reports whether a step may wait for its first advice. The headroom must
// have room for it beside the other steps that do: otherwise each step of a long backlog
// would request advice in turn although only the first ones can start.
func (t *Team) admitAdvice(s *Step) bool {
	if !t.limited() {
		return true
	}
	if !t.fits(t.advised.Add(s.leastNeeds())) {
		t.HeldTasks += s.Tasks
		return false
	}
	t.advised = t.advised.Add(s.Needs.Times(int64(s.Tasks)))
	return true
}

// withinQuota returns the step with as many of its tasks as the quota of its team leaves
// room for, or nil if there is no room: a gang needs room for all of its tasks. It also
// returns how many tasks the quota holds back.
func (p *planner) withinQuota(s *Step) (*Step, int) {
	if !s.Team.limited() {
		return s, 0
	}
	tasks := 0
	if s.Team.Headroom.Valid() {
		tasks = tasksIn(*s.Team.Headroom, s.Needs, s.Tasks)
	}
	if p.delaysGang(s) {
		tasks = min(tasks, tasksIn(s.Team.spare, s.Needs, s.Tasks))
	}
	if s.Gang && tasks < s.Tasks {
		tasks = 0
	}
	switch tasks {
	case s.Tasks:
		return s, 0
	case 0:
		return nil, s.Tasks
	}
	wave := *s
	wave.Tasks, wave.Suspects = tasks, min(s.Suspects, tasks)
	return &wave, s.Tasks - tasks
}

// selectionRounds is how many times the headroom of a team may be taken by the steps that
// a pass considers, because some of them find no worker.
const selectionRounds = 2

// selection is what the steps of a team that were selected leave of its headroom.
type selection struct {
	// left is the part of the headroom that they leave in the round; it is set once begun is.
	left  lovagestand.Resources
	round int
	begun bool
}

// Selects reports whether a pass should consider a step of the team. It is called for the
// steps of the pass in their order, and bounds the steps of a long backlog to those that
// the headroom may have room for. Otherwise they would take the place of other teams'
// steps in the pass. Steps for which workers have no room are bounded on their own: the
// headroom is left to others until they have.
func (t *Team) Selects(needs lovagestand.Resources, tasks int, gang, hasRoom bool) bool {
	if !t.limited() {
		return true
	}
	least := needs
	if gang {
		least = needs.Times(int64(tasks))
	}
	chosen := &t.withoutRoom
	if hasRoom {
		chosen = &t.withRoom
	}
	if t.fits(least) && chosen.take(*t.Headroom, least, needs, tasks) {
		return true
	}
	if gang && !t.gangSelected && t.mayFit(least) {
		// Room in the quota may be reserved for the first gang.
		t.gangSelected = true
		return true
	}
	t.HeldTasks += tasks
	return false
}

// take takes what a step may use from the headroom. It returns false if the headroom has been
// taken selectionRounds times.
func (c *selection) take(headroom, least, needs lovagestand.Resources, tasks int) bool {
	if !c.begun {
		c.left, c.begun = headroom, true
	}
	if !least.Fits(c.left) && c.round+1 < selectionRounds {
		c.left, c.round = headroom, c.round+1
	}
	if !least.Fits(c.left) {
		return false
	}
	c.left = c.left.Sub(needs.Times(int64(tasksIn(c.left, needs, tasks))))
	return true
}

// mayFit reports whether the headroom will have room for an amount once the runs of the team
// have ended. It may not if the quota was lowered.
func (t *Team) mayFit(amount lovagestand.Resources) bool {
	if t.Releases == nil {
		return true
	}
	if !t.releasedKnown {
		for _, r := range t.Releases() {
			t.released = t.released.Add(r.Frees)
		}
		t.releasedKnown = true
	}
	return amount.Fits(t.Headroom.Add(t.released))
}
