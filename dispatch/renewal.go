package dispatch

import "time"

// heldMarginShare is the reciprocal of the share of further workers that a renewal names
// beside those whose room is held. They replace workers that leave or become closed while
// the call is pending.
const heldMarginShare = 4

// shortRunTime is the run time up to which steps of expired jobs need not leave headroom.
const shortRunTime = time.Second

// awaitsRenewal reports whether room is held for the step until its tickets arrive.
func (s *Step) awaitsRenewal() bool {
	return len(s.Held) > 0 && len(s.AdvicePending) > 0
}

// turn returns 0 for a step whose renewed tickets have arrived and whose room was held, 1
// for one that has the first turn or that of a suspect, and 2 for all others. Tickets are
// valid for a short time only, so the first of these go first.
func (s *Step) turn() int {
	switch {
	case len(s.Held) > 0 && len(s.AdvicePending) == 0:
		return 0
	case s.firstTurn > 0 || s.trialTurn:
		return 1
	}
	return 2
}

// holdForRenewals reserves the room of gangs whose tickets are being renewed. Tasks that
// end before the reply may use it.
func (p *planner) holdForRenewals() {
	for i := range p.Steps {
		s := &p.Steps[i]
		if !s.awaitsRenewal() {
			continue
		}
		for _, worker := range s.Held {
			p.reserveOn(worker, s.Needs, s.HeldUntil)
		}
		p.reserveQuota(s, s.HeldUntil)
	}
}

// leavesNoHeadroom reports whether a step of an expired job would use processors that
// are kept free for jobs that are still of use. Room that is kept for it after a
// preemption may be used, since runs were stopped for it, and short tasks need not wait,
// since they give the room back before a burst is over.
func (p *planner) leavesNoHeadroom(s *Step) bool {
	if !s.Expired || p.ExpiredHeadroom <= 0 || p.idle || s.firstTurn > 0 || len(s.Kept) > 0 || s.RunTime <= shortRunTime {
		return false
	}
	needs := s.Needs.MilliCPU
	if s.Gang {
		needs *= int64(s.Tasks)
	}
	return float64(p.free-needs) < p.ExpiredHeadroom*float64(p.capacity)
}

// mayRequestAdvice reports whether a call for a step is left in this pass.
func (p *planner) mayRequestAdvice(s *Step) bool {
	return p.AdviceCalls > 0 && (!p.HoldRenewals || !s.LongAdvice || p.LongAdviceCalls > 0)
}

// countAdviceCall counts a call for a step. Long calls are counted apart, so that those
// for which no client is free leave the short ones of later steps to be made.
func (p *planner) countAdviceCall(s *Step) {
	if p.HoldRenewals && s.LongAdvice {
		p.LongAdviceCalls--
		return
	}
	p.AdviceCalls--
}
