package dispatch

import "lovagestand.example/lovagestand"

// Team is what a pass needs of a team of callers. All steps of the team share it. The
// methods accept nil, for a step without a team.
type Team struct {
	// Headroom is what the team's quota leaves beside the tasks that run or may run; nil
	// if the team has no quota. A resource is negative if the team uses more than its
	// quota, which may have been lowered. [Plan] reduces it.
	Headroom *lovagestand.Resources
	// HeldTasks is the number of tasks that the quota alone kept from being considered.
	// [Plan] sets it.
	HeldTasks int

	// advised is what the steps need for which the pass has requested, or awaits, the
	// first advice.
	advised lovagestand.Resources
	// selectable is the part of the headroom that the selected steps leave in the round
	// selectionRound; it is set once selecting is. See [Team.Selects].
	selectable     lovagestand.Resources
	selectionRound int
	selecting      bool
}

// fits reports whether the headroom has room for an amount.
func (t *Team) fits(amount lovagestand.Resources) bool {
	return t == nil || t.Headroom == nil || t.Headroom.Valid() && amount.Fits(*t.Headroom)
}

// take takes an amount from the headroom.
func (t *Team) take(amount lovagestand.Resources) {
	if t != nil && t.Headroom != nil {
		*t.Headroom = t.Headroom.Sub(amount)
	}
}

// release returns an amount to the headroom.
func (t *Team) release(amount lovagestand.Resources) {
	if t != nil && t.Headroom != nil {
		*t.Headroom = t.Headroom.Add(amount)
	}
}

// admitAdvice reports whether a step may wait for its first advice. The headroom must
// have room for it beside the other steps that do: otherwise each step of a long backlog
// would request advice in turn although only the first ones can start.
func (t *Team) admitAdvice(s *Step) bool {
	if t == nil || t.Headroom == nil {
		return true
	}
	least := s.Needs
	if s.Gang {
		least = s.Needs.Times(int64(s.Tasks))
	}
	if !t.fits(t.advised.Add(least)) {
		t.HeldTasks += s.Tasks
		return false
	}
	t.advised = t.advised.Add(s.Needs.Times(int64(s.Tasks)))
	return true
}

// withinQuota returns the step with as many of its tasks as the quota of its team leaves
// room for, or nil if there is no room: a gang needs room for all of its tasks. It also
// returns how many tasks the quota holds back.
func (s *Step) withinQuota() (*Step, int) {
	t := s.Team
	if t == nil || t.Headroom == nil {
		return s, 0
	}
	tasks := 0
	if t.Headroom.Valid() {
		tasks = tasksIn(*t.Headroom, s.Needs, s.Tasks)
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

// Selects reports whether a pass should consider a step of the team. It is called for the
// steps of the pass in their order, and bounds the steps of a long backlog to those that
// the headroom may have room for. Otherwise they would take the place of other teams'
// steps in the pass.
func (t *Team) Selects(needs lovagestand.Resources, tasks int, gang bool) bool {
	if t == nil || t.Headroom == nil {
		return true
	}
	if !t.selecting {
		t.selectable, t.selecting = *t.Headroom, true
	}
	least := needs
	if gang {
		least = needs.Times(int64(tasks))
	}
	if t.fits(least) {
		if !least.Fits(t.selectable) && t.selectionRound+1 < selectionRounds {
			t.selectable, t.selectionRound = *t.Headroom, t.selectionRound+1
		}
		if least.Fits(t.selectable) {
			t.selectable = t.selectable.Sub(needs.Times(int64(tasksIn(t.selectable, needs, tasks))))
			return true
		}
	}
	t.HeldTasks += tasks
	return false
}
