package dispatch

import (
	"math"
	"slices"
	"time"
)

// speedClass is the class of a worker by its speed, or the one in which a gang runs.
type speedClass int

const (
	anySpeed speedClass = iota
	fastWorkers
	slowWorkers
	classes = iota
)

const (
	// wrongClassCost is added to the cost of a worker of the class that a step does not
	// prefer. It outweighs the share of free processors, so that the preference decides
	// wherever both classes have room.
	wrongClassCost = 1
	// wastedShare is the part of the time for which fast members of a gang wait for slow ones
	// that other steps lose: about half of the demand could use it at once.
	wastedShare = 0.5
	// workersPerUnevenReservation replaces workersPerReservation: gangs compete for the room
	// of a part of the workers only, which other steps fill as soon as it is free.
	workersPerUnevenReservation = 20
	// A step that is not late can wait if its job ends within its objective although it
	// starts deferralTime later on a slow worker and its run times are deferralMargin times
	// as long as expected. It waits for steps that would lose value: gangs need room at one
	// time, which steps of single tasks take before them as it becomes free.
	deferralTime   = 3 * time.Second
	deferralMargin = 1.5
	// Expected room is counted by intervals of roomInterval up to reservationHorizon.
	roomInterval  = 50 * time.Millisecond
	roomIntervals = int(reservationHorizon / roomInterval)
	// maxClassChoices is the number of gangs for which one pass chooses a class by expected
	// ends. The gangs behind them start only on the fast workers, if these can hold them.
	maxClassChoices = 16
)

// classify divides the workers into fast and slow ones where the variance of the logarithms
// of speed within both classes is least, and determines which steps can wait. A worker of
// unknown speed counts as usual.
func (p *planner) classify() {
	if !p.Uneven {
		return
	}
	p.classChoices, p.classRooms = maxClassChoices, make([]classRoom, roomIntervals*classes)
	p.reservations = max(p.reservations, len(p.Workers)/workersPerUnevenReservation)
	speeds := make([]float64, 0, len(p.Workers))
	for i := range p.Workers {
		if p.Workers[i].Speed > 0 {
			speeds = append(speeds, math.Log(p.Workers[i].Speed))
		}
	}
	slices.Sort(speeds)
	fastFrom := splitByVariance(speeds)
	slow, sum := 0, 0.0
	for i := range p.Workers {
		w := &p.Workers[i]
		if w.class = fastWorkers; math.Log(w.knownSpeed()) < fastFrom {
			w.class = slowWorkers
			slow++
			sum += w.knownSpeed()
		}
	}
	slowSpeed := sum / float64(max(1, slow))
	for i := range p.Steps {
		if s := &p.Steps[i]; s.canWait(slowSpeed) {
			s.deferral = 1
		}
	}
}

// canWait reports whether a step loses no value if it waits for those that would: its job is
// in time all the same, or late already. Every second without a long-running task counts.
func (s *Step) canWait(slowSpeed float64) bool {
	if s.RunTime == 0 {
		return false
	}
	patient := !s.Gang && s.Work.Priority > 0
	return patient && s.inTimeAt(slowSpeed/deferralMargin, deferralTime) || timeliness(s.Work) < 1
}

// inTimeAt reports whether the job of a step ends within its objective if it runs at a speed
// after a delay.
func (s *Step) inTimeAt(speed float64, delay time.Duration) bool {
	return speed > 0 && s.Work.Age+delay+time.Duration(float64(s.Work.CriticalPath)/speed) <= s.Work.Objective
}

// splitByVariance returns the least value of the upper one of two classes of values, which
// are in ascending order.
func splitByVariance(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	best, at, lower := -1.0, math.Inf(1), 0.0
	for i, v := range values {
		if i > 0 {
			// The variance between the classes is greatest where that within them is least.
			n, rest := float64(i), float64(len(values)-i)
			difference := lower/n - (sum-lower)/rest
			if between := n * rest * difference * difference; between > best {
				best, at = between, v
			}
		}
		lower += v
	}
	return at
}

// knownSpeed returns the speed of a worker, 1 if it is not known.
func (w *Worker) knownSpeed() float64 {
	if w.Speed > 0 {
		return w.Speed
	}
	return 1
}

// runTimeOn returns the expected run time of a task of the step on a worker.
func (s *Step) runTimeOn(w *Worker) time.Duration {
	runTime := s.RunTime
	if w.Speed > 0 {
		runTime = time.Duration(float64(runTime) / w.Speed)
	}
	return scale(runTime, w.Slowness)
}

// runsOn reports whether a worker is of the class in which a gang runs.
func (s *Step) runsOn(w *Worker) bool {
	return s.class == anySpeed || s.class == w.class
}

// speedCost is the part of the cost of a worker that depends on its speed.
func (p *planner) speedCost(s *Step, w *Worker) float64 {
	if !p.Uneven || s.class != anySpeed {
		return 0
	}
	if (w.class == fastWorkers) == s.prefersFast() {
		return 0
	}
	return wrongClassCost
}

// prefersFast reports whether the tasks of a step start on fast workers where both classes
// have room: those of urgent jobs and gangs. The others take what these leave, also on fast
// workers, so that nothing waits for a slow worker. Long-running tasks would keep fast
// workers for good.
func (s *Step) prefersFast() bool {
	return s.RunTime > 0 && (s.Work.Priority == 0 || s.Gang)
}

// classRoom is the room for tasks of a gang on the workers of a class that is expected to
// become free within one interval.
type classRoom struct {
	// tasks is the expected number of tasks, runTime the sum of their run times relative to
	// those at the usual speed, and slowest the greatest of these.
	tasks, runTime, slowest float64
}

func (r *classRoom) add(o classRoom) {
	r.tasks += o.tasks
	r.runTime += o.runTime
	r.slowest = max(r.slowest, o.slowest)
}

// chooseClass chooses the class of workers on which a gang runs, because it is as slow as
// its slowest member: the one on which it is expected to end first, or workers of both if
// that is so much earlier that the time is worth it for which the fast members wait.
func (p *planner) chooseClass(s *Step) {
	if !p.Uneven || !s.Gang || s.Tasks < 2 || s.Locality != nil {
		return
	}
	if p.classChoices <= 0 {
		if p.canHold(s, fastWorkers) {
			s.class = fastWorkers
		}
		return
	}
	if s.NeedsTickets && s.Candidates == nil && (len(s.AdvicePending) > 0 || !p.mayRequestAdvice(s)) {
		return
	}
	p.classChoices--
	clear(p.classRooms)
	p.expectRoom(s)
	best, bestCost := anySpeed, time.Duration(math.MaxInt64)
	for _, class := range []speedClass{fastWorkers, slowWorkers, anySpeed} {
		if cost, ok := p.classCost(s, class); ok && cost < bestCost {
			best, bestCost = class, cost
		}
	}
	s.class = best
}

// canHold reports whether a gang would fit on the workers of a class if these were empty. A
// worker counts unless it is known that policy does not allow it.
func (p *planner) canHold(s *Step, class speedClass) bool {
	room := 0
	add := func(worker int) {
		if w := &p.Workers[worker]; w.Open && w.class == class && s.matches(w) {
			room += slotsIn(w.Capacity, s)
		}
	}
	if s.NeedsTickets {
		for _, c := range s.Candidates {
			add(c.Worker)
		}
	}
	for i := range p.Workers {
		if room >= s.Tasks {
			return true
		}
		if !s.NeedsTickets || s.AdviceKnown == nil || !s.AdviceKnown(i) {
			add(i)
		}
	}
	return room >= s.Tasks
}

// classCost returns the expected time until a gang ends on workers of a class, plus what
// others lose. It returns false if it is not expected to fit there.
func (p *planner) classCost(s *Step, class speedClass) (time.Duration, bool) {
	var room classRoom
	for n := range roomIntervals {
		for _, c := range []speedClass{fastWorkers, slowWorkers} {
			if class == anySpeed || class == c {
				room.add(p.classRooms[n*classes+int(c)])
			}
		}
		if room.tasks < float64(s.Tasks) {
			continue
		}
		// The members that are faster than the slowest one wait for it.
		wasted := room.slowest - room.runTime/room.tasks
		return time.Duration(n)*roomInterval + time.Duration(float64(s.RunTime)*(room.slowest+wastedShare*wasted)), true
	}
	return 0, false
}

// expectRoom adds the expected room for tasks of a gang on all workers to p.classRooms. A
// worker of which it is not known whether policy allows it counts by the share of those
// that it usually allows, from when its advice can be there.
func (p *planner) expectRoom(s *Step) {
	if s.NeedsTickets {
		for _, c := range s.Candidates {
			switch {
			case !p.mayStart(s, c.Worker):
			case c.HasTicket:
				p.expectRoomOn(s, c.Worker, 0, 1)
			default:
				p.expectRoomOn(s, c.Worker, s.RenewAhead, 1)
			}
		}
	}
	for i := range p.Workers {
		switch {
		case s.NeedsTickets && s.AdviceKnown != nil && s.AdviceKnown(i) || !p.mayStart(s, i):
		case s.NeedsTickets:
			p.expectRoomOn(s, i, s.RenewAhead, s.AllowedShare)
		default:
			p.expectRoomOn(s, i, 0, 1)
		}
	}
}

// expectRoomOn adds the expected room on one worker, from a time on and by a weight.
func (p *planner) expectRoomOn(s *Step, worker int, earliest time.Duration, weight float64) {
	w := &p.Workers[worker]
	relative := 1 / w.knownSpeed()
	before := slotsIn(w.Free, s)
	add := func(tasks int, wait time.Duration) {
		n := int(max(wait, earliest) / roomInterval)
		if room := weight * float64(tasks); n < roomIntervals && tasks > 0 {
			p.classRooms[n*classes+int(w.class)].add(classRoom{tasks: room, runTime: room * relative, slowest: relative})
		}
	}
	add(before, 0)
	free := w.Free
	for _, r := range p.releasesOf(worker) {
		wait := r.At.Sub(p.Now)
		if wait >= reservationHorizon {
			return
		}
		free = free.Add(r.Frees)
		after := slotsIn(free, s)
		add(after-before, wait)
		before = max(before, after)
	}
}
