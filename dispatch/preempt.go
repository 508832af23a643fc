package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// waitMargin is how much later than the expected ends of runs a step is assumed to
	// start if nothing is preempted for it: other steps take part of the room, and run
	// times are often underestimated.
	waitMargin = 250 * time.Millisecond
	// checkpointRisk is the share of the work since a run's last checkpoint that counts
	// as lost. A stop stores a new checkpoint, unless the worker fails meanwhile.
	checkpointRisk = 0.1
	// maxPreemptingSteps bounds the steps for which one pass searches for runs to stop.
	maxPreemptingSteps = 40
)

// Run is a run of a task on a worker, as [Preempt] needs it.
type Run struct {
	// ID identifies the run in decisions.
	ID    int
	Needs lovagestand.Resources
	// Work describes the job of the run, Tier is the tier of its team's steps.
	Work Work
	Tier int
	// Checkpoints indicates that the task saves checkpoints, LongRunning that it runs
	// until it is cancelled.
	Checkpoints, LongRunning bool
	// Starting indicates that the worker has not confirmed the start, and Stopping that
	// the run is already being stopped.
	Starting, Stopping bool
	// Resumed indicates that an earlier run of the task was stopped, or that it is unknown
	// whether one was.
	Resumed bool
	// Worked is the work of this run, SinceCheckpoint that since its last checkpoint.
	Worked, SinceCheckpoint time.Duration
	// End is when the run is expected to end.
	End time.Time
	// Gang is the gang that the run belongs to; nil if there is none.
	Gang *GangRun
}

// GangRun is one run of a gang. All members share it.
type GangRun struct {
	// Size is the number of tasks of the gang.
	Size    int
	Members []GangMember
}

// GangMember is a member of a gang's run.
type GangMember struct {
	Worker int
	Run    Run
}

// PreemptionLoad is the input of [Preempt].
type PreemptionLoad struct {
	// Load is the load after [Plan], which returned Decisions.
	Load
	Decisions []Decision
	// Runs returns the runs on a worker, in an order that is always the same.
	Runs func(worker int) []Run
	// StopTime is how long a stop is expected to take, RestoreDelay how long a resumed
	// task waits before it continues.
	StopTime, RestoreDelay time.Duration
	// CheckpointInterval is the work that a resumed task must have done before it is
	// stopped again.
	CheckpointInterval time.Duration
	// MaxStops is the largest number of runs that the pass may stop.
	MaxStops int
}

// Preemption is a decision to keep room on a worker for one task of a step.
type Preemption struct {
	// Step is the index of the step.
	Step   int
	Worker int
	// Drop indicates that room that is kept for a task there is kept no longer, because
	// the runs on whose ends it depends run longer than expected. The decision precedes
	// others for the step.
	Drop bool
	// Stops contains the IDs of the runs to stop. It is empty if the room becomes free by
	// itself as soon as a stop would provide it.
	Stops []int
	// AdviceFor contains the workers to name in an advice call. It is set alone, if runs
	// would be stopped for the step but its tickets expire before they have ended.
	AdviceFor []int
}

// preemptor holds the state of one call of [Preempt].
type preemptor struct {
	PreemptionLoad
	readyAt time.Time
	runs    map[int][]Run
	// expected holds the resources of workers that will be free at readyAt, less the room
	// that is kept for steps.
	expected map[int]lovagestand.Resources
	// stopped contains the runs that the pass stops, and placed the tasks that Plan has
	// placed by step.
	stopped map[int]bool
	placed  map[int]int
	// headroom is what the quotas of teams leave beside what [Plan] has placed.
	headroom map[*Team]lovagestand.Resources
	// adviceCalls is how many advice calls the pass may still make.
	adviceCalls int
	result      []Preemption
	// times and later are used again by each search.
	times []time.Time
	later []*Run
}

// Preempt decides for which steps that found no room runs of less urgent jobs are
// stopped. It answers the load of short urgent steps on workers that are kept full by
// long batch tasks. A step gets room only if it gains more than the stopped runs lose: a
// step gains the value that it would lose by waiting for runs to end; a stopped run loses
// the time of the stop and of its restoration, and the value that its job loses by the
// delay.
func Preempt(l PreemptionLoad) []Preemption {
	p := &preemptor{
		PreemptionLoad: l, readyAt: l.Now.Add(l.StopTime), runs: map[int][]Run{}, expected: map[int]lovagestand.Resources{},
		stopped: map[int]bool{}, placed: map[int]int{}, headroom: map[*Team]lovagestand.Resources{},
		adviceCalls: l.AdviceCalls,
	}
	for i := range l.Steps {
		if t := l.Steps[i].Team; t != nil && t.Headroom != nil {
			p.headroom[t] = *t.Headroom
		}
	}
	for _, d := range l.Decisions {
		p.placed[d.Step] += len(d.Workers)
		if len(d.AdviceFor) > 0 {
			p.adviceCalls--
		}
	}
	for i := range l.Steps {
		s := &l.Steps[i]
		for _, tasks := range s.Kept {
			p.charge(s, tasks)
		}
	}
	p.dropShort()
	considered := 0
	for _, i := range stepOrder(l.Steps) {
		s := &l.Steps[i]
		missing := p.missing(i)
		if missing <= 0 {
			continue
		}
		if considered++; considered > maxPreemptingSteps || len(p.stopped) >= p.MaxStops {
			break
		}
		p.decide(i, s, missing)
	}
	return p.result
}

// dropShort drops room that is kept on workers where it will not be free in time. What is
// kept for the steps that are decided last is dropped first.
func (p *preemptor) dropShort() {
	for _, i := range slices.Backward(stepOrder(p.Steps)) {
		s := &p.Steps[i]
		s.Kept = maps.Clone(s.Kept)
		for _, worker := range slices.Sorted(maps.Keys(s.Kept)) {
			for s.Kept[worker] > 0 && !(lovagestand.Resources{}).Fits(p.expectedOn(worker)) {
				s.Kept[worker]--
				p.charge(s, -1)
				p.expected[worker] = p.expected[worker].Add(s.Needs)
				p.result = append(p.result, Preemption{Step: i, Worker: worker, Drop: true})
			}
		}
	}
}

// charge charges tasks of a step to the quota of its team.
func (p *preemptor) charge(s *Step, tasks int) {
	if s.Team != nil && s.Team.Headroom != nil {
		p.headroom[s.Team] = p.headroom[s.Team].Sub(s.Needs.Times(int64(tasks)))
	}
}

// missing returns for how many tasks of a step room is still missing that the quota of
// its team allows it to use; 0 if nothing is preempted for the step.
func (p *preemptor) missing(index int) int {
	s := &p.Steps[index]
	if s.Suspects > 0 || s.NeedsTickets && len(s.Candidates) == 0 || s.awaitsRenewal() {
		return 0
	}
	missing := s.Tasks - p.placed[index]
	for _, tasks := range s.Kept {
		missing -= tasks
	}
	if missing <= 0 || s.Team == nil || s.Team.Headroom == nil {
		return missing
	}
	limited := *s
	limited.Tasks, limited.MaxPerWorker = missing, 0
	allowed := slotsIn(p.headroom[s.Team], &limited)
	if s.Gang && allowed < missing {
		return 0
	}
	return allowed
}

// room is room for one task of a step on a worker and what must be stopped for it.
type room struct {
	worker int
	stops  []int
	// within is whether a stopped run is of a team within its entitlement.
	within bool
	loss   float64
}

// less reports whether r is the better choice: it stops less of teams within their
// entitlement, and it loses less.
func (r room) less(o room) bool {
	if r.within != o.within {
		return !r.within
	}
	return r.loss < o.loss
}

// search is the search for room for one step. It changes the state of the pass only once
// it is committed.
type search struct {
	*preemptor
	step     *Step
	workers  []int
	expected map[int]lovagestand.Resources
	stopped  map[int]bool
	count    map[int]int
	rooms    []room
	// loss is the sum of the losses of rooms.
	loss float64
}

// decide decides what is preempted for the missing tasks of a step. If that fails only
// because tickets expire too early, it requests new ones.
func (p *preemptor) decide(index int, s *Step, missing int) {
	if t := p.search(s, missing, p.usable(s, true)); t != nil {
		t.commit(index)
		return
	}
	if !s.NeedsTickets || len(s.AdvicePending) > 0 || p.adviceCalls <= 0 {
		return
	}
	t := p.search(s, missing, p.usable(s, false))
	if t == nil {
		return
	}
	var workers []int
	for _, r := range t.rooms {
		workers = append(workers, r.worker)
	}
	slices.Sort(workers)
	p.adviceCalls--
	p.result = append(p.result, Preemption{Step: index, AdviceFor: slices.Compact(workers)})
}

// search searches room for the missing tasks of a step on workers. It returns nil if
// nothing is to be kept or stopped for the step.
func (p *preemptor) search(s *Step, missing int, workers []int) *search {
	if !p.anyLessUrgent(s, workers) {
		return nil
	}
	t := &search{preemptor: p, step: s, workers: workers, expected: map[int]lovagestand.Resources{}, stopped: map[int]bool{}, count: map[int]int{}}
	for worker, tasks := range s.Kept {
		t.count[worker] = tasks
	}
	gain := p.gain(s, p.naturalStart(s, workers, missing))
	t.find(missing, gain/float64(missing))
	if len(t.rooms) < missing && gain > 0 {
		t.findGang(missing, gain/float64(missing))
	}
	if len(t.rooms) == 0 || s.Gang && len(t.rooms) < missing || len(p.stopped)+len(t.stopped) > p.MaxStops {
		return nil
	}
	return t
}

// usable returns the workers on which a task of the step may start when a stop has
// provided room. If ticketed is set, only workers with a ticket that is valid then are
// usable.
func (p *preemptor) usable(s *Step, ticketed bool) []int {
	var usable []int
	add := func(worker int) {
		w := &p.Workers[worker]
		if w.Open && s.matches(w) && s.Needs.Fits(w.Capacity) && (w.keptFor == 0 || w.keptFor == s.number) {
			usable = append(usable, worker)
		}
	}
	if !s.NeedsTickets {
		for i := range p.Workers {
			add(i)
		}
		return usable
	}
	for _, c := range s.Candidates {
		if !ticketed || c.HasTicket && c.TicketUntil.After(p.readyAt) {
			add(c.Worker)
		}
	}
	return usable
}

// anyLessUrgent reports whether a run of a less urgent job is on one of the workers.
func (p *preemptor) anyLessUrgent(s *Step, workers []int) bool {
	for _, worker := range workers {
		runs := p.runsOn(worker)
		for i := range runs {
			if runs[i].Work.Priority > s.Work.Priority && runs[i].Tier >= s.Tier {
				return true
			}
		}
	}
	return false
}

// runsOn returns the runs on a worker.
func (p *preemptor) runsOn(worker int) []Run {
	runs, ok := p.runs[worker]
	if !ok && p.Runs != nil {
		runs = p.Runs(worker)
		p.runs[worker] = runs
	}
	return runs
}

// endsInTime reports whether a run frees its resources as soon as a stop would.
func (p *preemptor) endsInTime(r *Run) bool {
	return r.Stopping || !r.LongRunning && !r.End.After(p.readyAt)
}

// expectedOn returns the resources of a worker that will be free at readyAt.
func (p *preemptor) expectedOn(worker int) lovagestand.Resources {
	expected, ok := p.expected[worker]
	if ok {
		return expected
	}
	expected = p.Workers[worker].Free
	runs := p.runsOn(worker)
	for i := range runs {
		if p.endsInTime(&runs[i]) {
			expected = expected.Add(runs[i].Needs)
		}
	}
	p.expected[worker] = expected
	return expected
}

// naturalStart returns when the workers are expected to have room for a number of tasks
// if nothing is stopped, and false if they will not.
func (p *preemptor) naturalStart(s *Step, workers []int, tasks int) time.Time {
	times := p.times[:0]
	for _, worker := range workers {
		free := p.expectedOn(worker)
		at := p.readyAt
		later := p.later[:0]
		runs := p.runsOn(worker)
		for i := range runs {
			if r := &runs[i]; !p.endsInTime(r) && !r.LongRunning && !p.stopped[r.ID] {
				later = append(later, r)
			}
		}
		p.later = later
		slices.SortFunc(later, func(a, b *Run) int { return a.End.Compare(b.End) })
		for n := range tasks {
			if s.MaxPerWorker > 0 && s.Placed[worker]+s.Kept[worker]+n >= s.MaxPerWorker {
				break
			}
			for !s.Needs.Fits(free) && len(later) > 0 {
				free, at = free.Add(later[0].Needs), later[0].End
				later = later[1:]
			}
			if !s.Needs.Fits(free) {
				break
			}
			free = free.Sub(s.Needs)
			times = append(times, at)
		}
	}
	p.times = times
	if len(times) < tasks {
		return time.Time{}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[tasks-1]
}

// gain returns the value that a step keeps if it starts at readyAt and not at its natural
// start, which is zero if there is none.
func (p *preemptor) gain(s *Step, natural time.Time) float64 {
	preempting := timeliness(s.Work.delayedBy(p.StopTime))
	waiting := expiredShare
	if !natural.IsZero() {
		waiting = timeliness(s.Work.delayedBy(natural.Sub(p.Now) + waitMargin))
	}
	return s.Work.value() * (preempting - waiting)
}

// mayStop reports whether a run may be stopped for the step, apart from its gang.
func (t *search) mayStop(r *Run) bool {
	if r.Work.Priority <= t.step.Work.Priority || r.Tier < t.step.Tier || !r.Checkpoints || r.LongRunning {
		return false
	}
	if r.Starting || t.endsInTime(r) || t.preemptor.stopped[r.ID] || t.stopped[r.ID] {
		return false
	}
	return !r.Resumed || r.Worked >= t.CheckpointInterval
}

// ownLoss returns what stopping a run loses: the work of the stop and the restoration.
func (t *search) ownLoss(r *Run) float64 {
	lost := t.StopTime + t.RestoreDelay + time.Duration(checkpointRisk*float64(r.SinceCheckpoint))
	return lost.Seconds() * float64(r.Needs.MilliCPU) / 1000 * r.Work.weight()
}

// lateLoss returns the value that the job of a run loses by waiting while the step runs.
func (t *search) lateLoss(r *Run) float64 {
	delay := t.StopTime + t.step.RunTime + t.RestoreDelay
	return r.Work.value() * (timeliness(r.Work) - timeliness(r.Work.delayedBy(delay)))
}

func (t *search) freeOn(worker int) lovagestand.Resources {
	if free, ok := t.expected[worker]; ok {
		return free
	}
	return t.expectedOn(worker)
}

// find finds room for tasks of the step, one after the other, at the smallest loss. A task
// whose loss exceeds maxLoss gets no room, unless the step is a gang, for which the sum
// counts.
func (t *search) find(tasks int, maxLoss float64) {
	options := map[int]room{}
	for _, worker := range t.workers {
		if r, ok := t.roomOn(worker); ok {
			options[worker] = r
		}
	}
	for len(t.rooms) < tasks {
		best, found := room{}, false
		for _, worker := range t.workers {
			if r, ok := options[worker]; ok && (!found || r.less(best)) {
				best, found = r, true
			}
		}
		if !found {
			return
		}
		if len(best.stops) > 0 && !t.worthwhile(best.loss, tasks, maxLoss) {
			return
		}
		t.loss += best.loss
		t.take(best)
		delete(options, best.worker)
		if r, ok := t.roomOn(best.worker); ok {
			options[best.worker] = r
		}
	}
}

// worthwhile reports whether the step may cause a further loss for one of its tasks.
func (t *search) worthwhile(loss float64, tasks int, maxLoss float64) bool {
	if t.step.Gang {
		return t.loss+loss < maxLoss*float64(tasks)
	}
	return loss < maxLoss
}

// take takes room for one task.
func (t *search) take(r room) {
	free := t.freeOn(r.worker)
	for _, run := range t.runsOn(r.worker) {
		if slices.Contains(r.stops, run.ID) {
			free = free.Add(run.Needs)
			t.stopped[run.ID] = true
		}
	}
	t.expected[r.worker] = free.Sub(t.step.Needs)
	t.count[r.worker]++
	t.rooms = append(t.rooms, r)
}

// roomOn returns the room for one more task on a worker at the smallest loss.
func (t *search) roomOn(worker int) (room, bool) {
	if t.step.MaxPerWorker > 0 && t.step.Placed[worker]+t.count[worker] >= t.step.MaxPerWorker {
		return room{}, false
	}
	free := t.freeOn(worker)
	if t.step.Needs.Fits(free) {
		return room{worker: worker}, true
	}
	type victim struct {
		*Run
		loss float64
	}
	var beyond, within []victim
	runs := t.runsOn(worker)
	for i := range runs {
		r := &runs[i]
		if r.Gang != nil || !t.mayStop(r) {
			continue
		}
		v := victim{Run: r, loss: t.ownLoss(r) + t.lateLoss(r)}
		if r.Tier > 0 {
			beyond = append(beyond, v)
		} else {
			within = append(within, v)
		}
	}
	byLoss := func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), b.End.Compare(a.End), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(beyond, byLoss)
	slices.SortFunc(within, byLoss)
	chosen, sum := []victim{}, free
	for _, v := range slices.Concat(beyond, within) {
		if t.step.Needs.Fits(sum) {
			break
		}
		chosen, sum = append(chosen, v), sum.Add(v.Needs)
	}
	if !t.step.Needs.Fits(sum) {
		return room{}, false
	}
	// Later choices may have made earlier ones unnecessary; runs of teams within their
	// entitlement are spared first, then those with the highest loss.
	for i := len(chosen) - 1; i >= 0; i-- {
		if t.step.Needs.Fits(sum.Sub(chosen[i].Needs)) {
			sum = sum.Sub(chosen[i].Needs)
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	out := room{worker: worker}
	for _, v := range chosen {
		out.stops = append(out.stops, v.ID)
		out.loss += v.loss
		out.within = out.within || v.Tier == 0
	}
	return out, true
}

// findGang stops one gang if no other runs provide room for all tasks, and finds room for
// the rest of the tasks then.
func (t *search) findGang(tasks int, maxLoss float64) {
	var best *GangRun
	bestLoss, bestSlots := 0.0, 0
	seen := map[*GangRun]bool{}
	for _, worker := range t.workers {
		runs := t.runsOn(worker)
		for i := range runs {
			r := &runs[i]
			if r.Gang == nil || seen[r.Gang] {
				continue
			}
			seen[r.Gang] = true
			loss, slots, ok := t.gangOption(r.Gang, tasks-len(t.rooms))
			if ok && slots > 0 && loss < maxLoss*float64(slots) && (best == nil || loss*float64(bestSlots) < bestLoss*float64(slots)) {
				best, bestLoss, bestSlots = r.Gang, loss, slots
			}
		}
	}
	if best == nil || t.step.Gang && (len(t.rooms)+bestSlots < tasks || t.loss+bestLoss >= maxLoss*float64(tasks)) {
		return
	}
	for _, m := range best.Members {
		t.expected[m.Worker] = t.freeOn(m.Worker).Add(m.Run.Needs)
		t.stopped[m.Run.ID] = true
	}
	t.loss += bestLoss
	first := len(t.rooms)
	t.find(tasks, maxLoss)
	for _, m := range best.Members {
		if first < len(t.rooms) {
			t.rooms[first].stops = append(t.rooms[first].stops, m.Run.ID)
		} else {
			delete(t.stopped, m.Run.ID)
			t.expected[m.Worker] = t.freeOn(m.Worker).Sub(m.Run.Needs)
		}
	}
}

// gangOption returns the loss of stopping a whole gang and for how many tasks of the step
// it provides room. It returns false if the gang must not be stopped.
func (t *search) gangOption(g *GangRun, limit int) (loss float64, slots int, ok bool) {
	if len(g.Members) != g.Size {
		return 0, 0, false
	}
	freed := map[int]lovagestand.Resources{}
	for i := range g.Members {
		m := &g.Members[i]
		if !t.mayStop(&m.Run) {
			return 0, 0, false
		}
		loss += t.ownLoss(&m.Run)
		freed[m.Worker] = freed[m.Worker].Add(m.Run.Needs)
	}
	limited := *t.step
	for _, worker := range t.workers {
		if amount, there := freed[worker]; there {
			limited.Tasks = limit
			slots += slotsIn(t.freeOn(worker).Add(amount), &limited)
		}
	}
	return loss + t.lateLoss(&g.Members[0].Run), min(slots, limit), true
}

// commit makes the result of the search part of the pass.
func (t *search) commit(index int) {
	for worker, free := range t.expected {
		t.preemptor.expected[worker] = free
	}
	for id := range t.stopped {
		t.preemptor.stopped[id] = true
	}
	for _, r := range t.rooms {
		t.result = append(t.result, Preemption{Step: index, Worker: r.worker, Stops: r.stops})
	}
	t.charge(t.step, len(t.rooms))
}
