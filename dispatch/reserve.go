package dispatch

import (
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// releasesOf returns the expected releases on a worker.
func (p *planner) releasesOf(worker int) []Release {
	if p.releases[worker] == nil && p.Releases != nil {
		p.releases[worker] = p.Releases(worker)
	}
	return p.releases[worker]
}

// reserve reserves the workers on which a gang that does not fit now will fit
// soonest, and returns them with the expected start. It returns none if it reserves
// nothing.
func (p *planner) reserve(s *Step) ([]int, time.Time) {
	if s.firstTurn > 0 {
		return p.reserveFirst(s)
	}
	if !s.Gang || p.reservations <= 0 {
		return nil, time.Time{}
	}
	eligible := p.eligible(s, false)
	workers, start := p.earliestStart(s, eligible)
	if s.Locality != nil && workers != nil {
		workers, start = p.preferRack(s, eligible, workers, start)
	}
	if workers == nil || start.Sub(p.Now) > reservationHorizon {
		return nil, time.Time{}
	}
	p.reservations--
	for _, i := range workers {
		p.reserveOn(i, s.Needs, start)
	}
	p.reserveQuota(s, start)
	return workers, start
}

// earliestStart returns the workers among those eligible on which all tasks of a step will
// fit soonest, one for each task, and the expected start. It returns none if they never do.
func (p *planner) earliestStart(s *Step, eligible []int) ([]int, time.Time) {
	// The soonest slots so far are kept in order, those found first before others of the
	// same time.
	slots := p.scratch.slots[:0]
	for _, i := range eligible {
		p.eachSlot(s, i, s.Tasks, func(at time.Time) bool {
			if len(slots) == s.Tasks {
				if !at.Before(slots[len(slots)-1].at) {
					return false
				}
				slots = slots[:len(slots)-1]
			}
			n := len(slots)
			for n > 0 && at.Before(slots[n-1].at) {
				n--
			}
			slots = slices.Insert(slots, n, slot{worker: i, at: at})
			return true
		})
	}
	p.scratch.slots = slots
	if len(slots) < s.Tasks {
		return nil, time.Time{}
	}
	workers := make([]int, s.Tasks)
	for n, slot := range slots {
		workers[n] = slot.worker
	}
	return workers, slots[s.Tasks-1].at
}

// reserveOn reserves room on a worker for one task that is expected to start at
// start.
func (p *planner) reserveOn(worker int, needs lovagestand.Resources, start time.Time) {
	w := &p.Workers[worker]
	if w.reservedFrom.IsZero() {
		w.spare = w.Free
	}
	for _, r := range p.releasesOf(worker) {
		if r.At.After(w.reservedFrom) && !r.At.After(start) {
			w.spare = w.spare.Add(r.Frees)
		}
	}
	if start.After(w.reservedFrom) {
		w.reservedFrom = start
	}
	w.spare = w.spare.Sub(needs)
}
