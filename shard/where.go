package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/fairshare"
	"lovagestand.example/lovagestand/job"
)

// The query of operators, and its parameters.
const (
	// PathWhere is the path under which any instance answers operators where a job would
	// be placed. The body of the POST is the job in the form in which callers send it.
	PathWhere = "/debug/where"
	// QueryHost is the parameter with the host of the route.
	QueryHost = "host"
	// QueryPath is the parameter with the path of the route: its prefix, or the prefix and
	// the ID of the job.
	QueryPath = "path"
)

// Placement is where a job would be placed now, or why it would wait or be rejected.
type Placement struct {
	Shard string                `json:"shard"`
	Route lovagestand.RouteName `json:"route"`
	Team  lovagestand.TeamName  `json:"team,omitempty"`
	// Rejection is set if the job would not be accepted. There are no steps then, unless a
	// job with the ID is known: Steps holds those of that job which wait.
	Rejection *Rejection      `json:"rejection,omitempty"`
	Steps     []StepPlacement `json:"steps,omitempty"`
}

// Rejection is why a job would be rejected.
type Rejection struct {
	Reason  RejectionReason `json:"reason"`
	Message string          `json:"message"`
	// RetryAfter is how long the caller would be told to wait, in milliseconds; 0 if
	// another attempt with the same ID is of no use.
	RetryAfter int64 `json:"retryAfterMillis,omitempty"`
}

// StepPlacement is where the tasks of a step would start.
type StepPlacement struct {
	Step int `json:"step"`
	// Tasks is the number of tasks; of a known job, of those that can start.
	Tasks int  `json:"tasks"`
	Gang  bool `json:"gang,omitempty"`
	// Position is the place of the step among those that wait, from 1; 0 if it is not
	// among them.
	Position int               `json:"position,omitempty"`
	Workers  []WorkerPlacement `json:"workers,omitempty"`
	// Waiting is the number of tasks that would wait, for Reason; Message describes it.
	Waiting int                 `json:"waiting,omitempty"`
	Reason  dispatch.WaitReason `json:"reason,omitempty"`
	Message string              `json:"message,omitempty"`
	// Until is when a wait for locality or for the start time ends, in milliseconds; 0 for
	// other reasons.
	Until int64 `json:"untilMillis,omitempty"`
	// AdviceWorkers is on how many workers advice would be requested.
	AdviceWorkers int `json:"adviceWorkers,omitempty"`
	// Age is how long the step of a known job has waited in this term, in milliseconds.
	Age int64 `json:"ageMillis,omitempty"`
	// Figures are those of a step with tasks that wait.
	Figures StepFigures `json:"figures,omitzero"`
}

// WorkerPlacement is a worker on which tasks of a step would start.
type WorkerPlacement struct {
	Worker lovagestand.WorkerName `json:"worker"`
	Rack   lovagestand.RackName   `json:"rack,omitempty"`
	Tasks  int                    `json:"tasks"`
	// Free is what is free there before the pass.
	Free lovagestand.Resources `json:"free"`
}

// Where returns where a job would be placed if it were accepted now. It runs the parts of
// a pass that decide on a copy of the shard, and changes nothing. The version is that of
// the configuration with which the gateway would admit the job. It returns a
// [NotOwnerError] if the term is ending.
func (s *Shard) Where(j job.Job, version int64) (Placement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return Placement{}, &NotOwnerError{}
	}
	return s.copyForTrial().placementOf(j, version), nil
}

// copyForTrial returns a copy of what a pass reads. The copy has no store, fleet, log or
// recorder, so that nothing that is done with it has an effect outside. It shares the
// workers, the progress of the jobs and the states of their steps, of which the parts of a
// pass that decide change only caches. The caller holds mu while the copy is in use.
func (s *Shard) copyForTrial() *Shard {
	// These caches are filled here rather than by the copy: otherwise jobs with runs would
	// keep averages of the copy, and candidates would be cached for its version of the fleet.
	for _, w := range s.sortedWorkers() {
		s.runsOn(w)
	}
	deps := s.deps
	deps.Fleet, deps.Store, deps.Log, deps.Recorder = nil, nil, zerolog.Nop(), lovagestand.NoRecorder{}
	c := New(s.term, s.limits, deps)
	c.cancel()
	c.jobs, c.memory, c.unreadable, c.workers, c.stuck = s.jobs, s.memory, s.unreadable, s.workers, s.stuck
	c.stalled, c.writtenPosition = s.stalled, s.writtenPosition
	c.unresolved, c.rosterUnreadable, c.resolved, c.loadedAt = s.unresolved, s.rosterUnreadable, s.resolved, s.loadedAt
	c.teamUsage, c.former, c.shares = s.teamUsage, s.former, s.shares
	c.backlog, c.adviceSlots, c.firstTurnPausedUntil = s.backlog, s.adviceSlots, s.firstTurnPausedUntil
	c.workersByName, c.fleetVersion = s.workersByName, s.fleetVersion
	c.unevenness, c.teamNumbers = s.unevenness, maps.Clone(s.teamNumbers)
	for route, stats := range s.statsByRoute {
		copied := *stats
		c.statsByRoute[route] = &copied
	}
	for id, e := range s.live {
		copied := *e
		copied.steps, copied.stats = maps.Clone(e.steps), nil
		c.live[id] = &copied
	}
	for _, k := range s.kept {
		copied := *k
		if e := c.live[k.entry.id]; e != nil {
			copied.entry = e
		}
		c.kept = append(c.kept, &copied)
	}
	return c
}

// placementOf adds a job to the shard and returns how a pass decides on it.
func (s *Shard) placementOf(j job.Job, version int64) Placement {
	e := newJobEntry(job.New(j, time.Now()), nil)
	out := Placement{Shard: s.term.Shard, Route: e.route, Team: e.team}
	if out.Rejection = s.rejectionOfNew(e, version); out.Rejection != nil {
		if known := s.live[e.id]; known != nil && out.Rejection.Reason == RejectsKnownID {
			out.Steps = newTrial(s, known).waitingSteps()
		}
		return out
	}
	e.durable = true
	s.live[e.id] = e
	t := newTrial(s, e)
	for i := range j.Steps {
		out.Steps = append(out.Steps, t.step(i))
	}
	return out
}

// rejectionOfNew returns why a new job would be rejected, nil if it would be accepted. It
// checks in the order of [Shard.Submit].
func (s *Shard) rejectionOfNew(e *jobEntry, version int64) *Rejection {
	known := s.jobs[e.id]
	switch {
	case s.unreadable[e.id]:
		return &Rejection{Reason: RejectsKnownID, Message: "the ID belongs to a stored job"}
	case known == nil:
	case known.unsubmitted && known.cancelled(e.team):
		return &Rejection{Reason: RejectsCancelledID, Message: "the job was cancelled before it was submitted"}
	case known.unsubmitted:
	case !known.visibleTo(e.team):
		return &Rejection{Reason: RejectsOtherTeamsID, Message: (&OtherTeamError{}).Error()}
	default:
		return &Rejection{Reason: RejectsKnownID, Message: "the ID belongs to a job that was submitted before; another submission changes nothing"}
	}
	if err := s.rejection(e.progress.Job(), version); err != nil {
		return rejectionOf(err)
	}
	body, err := job.EncodeJob(e.progress.Job())
	if err == nil {
		err = s.memoryError(time.Now(), e.id, weightOf(e.progress.Job(), body))
	}
	if err != nil {
		return rejectionOf(err)
	}
	s.estimateWork(e)
	if err := s.admit(time.Now(), e); err != nil {
		return rejectionOf(err)
	}
	return nil
}

// trial is a pass whose decisions are explained for one job and not acted on.
type trial struct {
	shard *Shard
	entry *jobEntry
	pass  *pass
	// assured reports whether the pass may start anything.
	assured bool
	// positions and tiers are those of the waiting steps of the job, by step. selected
	// holds the steps within the cap, and explained those that the pass considers.
	positions map[int]int
	tiers     map[int]fairshare.Tier
	selected  map[int]bool
	// unplaceable holds why no pass decides on steps.
	unplaceable map[int]dispatch.WaitReason
	explained   map[int]dispatch.Explanation
	// waits holds the steps of the job with tasks that can start.
	waits map[int]*watchedStep
}

// newTrial runs a pass for a job of the shard.
func newTrial(s *Shard, e *jobEntry) *trial {
	t := &trial{
		shard: s, entry: e, pass: s.newPass(), assured: s.deps.Assured(),
		positions: map[int]int{}, tiers: map[int]fairshare.Tier{}, selected: map[int]bool{}, unplaceable: map[int]dispatch.WaitReason{}, explained: map[int]dispatch.Explanation{},
		waits: map[int]*watchedStep{},
	}
	s.collect(t.pass)
	for _, w := range s.heldSteps(t.pass) {
		if w.entry == e && w.ref.Occurrence == 0 {
			t.unplaceable[w.ref.Step] = WaitsForFormerOwner
			t.addWait(s.newHeldStep(t.pass, w))
		}
	}
	s.applySpeeds(t.pass)
	s.dropKeptRoom(t.pass)
	s.dropUnplaceable(t.pass)
	for _, w := range t.pass.unplaceable {
		if w.entry == e && w.ref.Occurrence == 0 {
			t.unplaceable[w.ref.Step] = w.unplaceableReason()
			t.addWait(s.newWatchedStep(t.pass, w))
		}
	}
	t.ownSteps(func(_ int, w waitingStep) { t.addWait(s.newWatchedStep(t.pass, w)) })
	t.pass.sortByScore()
	s.assignTiers(t.pass)
	if t.pass.divisions != nil {
		t.pass.sortByTier()
	}
	t.ownSteps(func(position int, w waitingStep) { t.positions[w.ref.Step], t.tiers[w.ref.Step] = position, w.tier })
	if !t.assured {
		return t
	}
	s.selectWithinQuotas(t.pass)
	t.ownSteps(func(_ int, w waitingStep) { t.selected[w.ref.Step] = true })
	load := s.load(t.pass)
	var steps, indexes []int
	t.ownSteps(func(position int, w waitingStep) {
		steps, indexes = append(steps, w.ref.Step), append(indexes, position-1)
	})
	for n, explanation := range dispatch.Explain(load, indexes) {
		t.explained[steps[n]] = explanation
	}
	return t
}

// addWait adds a step of the job with tasks that can start.
func (t *trial) addWait(w *watchedStep) {
	w.figures.WorkersNeeded = t.shard.workersNeeded(t.pass, w)
	t.waits[w.ref.Step] = w
}

// waitingSteps returns the steps of the job with tasks that wait.
func (t *trial) waitingSteps() []StepPlacement {
	var steps []StepPlacement
	for _, index := range slices.Sorted(maps.Keys(t.waits)) {
		steps = append(steps, t.step(index))
	}
	return steps
}

// ownSteps calls f for each waiting step of the first occurrence of the job, with its
// position in the pass, from 1.
func (t *trial) ownSteps(f func(position int, w waitingStep)) {
	for i, w := range t.pass.waiting {
		if w.entry == t.entry && w.ref.Occurrence == 0 {
			f(i+1, w)
		}
	}
}

// step returns where the tasks of a step would start.
func (t *trial) step(index int) StepPlacement {
	step := t.entry.progress.Job().Steps[index]
	out := StepPlacement{Step: index, Tasks: step.Count, Gang: step.Gang, Position: t.positions[index], Waiting: step.Count}
	wait := t.waits[index]
	if wait != nil {
		out.Tasks, out.Waiting = wait.tasks, wait.tasks
	}
	explanation, considered := t.explained[index]
	switch {
	case considered:
		out.Workers, out.Waiting, out.AdviceWorkers = t.workers(explanation.Workers), explanation.Waiting, len(explanation.AdviceFor)
		out.Reason, out.Until = t.shard.refine(t.pass, t.entry.team, t.tiers[index], explanation.Reason), millisOf(explanation.Until)
	case t.unplaceable[index] != "":
		out.Reason = t.unplaceable[index]
	case out.Position == 0:
		out.Reason, out.Until = t.notWaiting()
	case !t.assured:
		out.Reason = WaitsForAssurance
	case !t.selected[index]:
		out.Reason = t.shard.refine(t.pass, t.entry.team, t.tiers[index], dispatch.WaitsForCap)
	default:
		out.Reason = WaitsForQueue
	}
	out.Message = waitMessages[out.Reason]
	if wait != nil && out.Waiting > 0 {
		out.Figures = wait.figures
		if !wait.since.IsZero() {
			out.Age = t.pass.now.Sub(wait.since).Milliseconds()
		}
	}
	return out
}

// notWaiting returns why a step is not among those that wait, and until when.
func (t *trial) notWaiting() (dispatch.WaitReason, int64) {
	due := t.entry.progress.Job().Schedule.Due(0)
	switch {
	case !t.pass.configured && t.entry.team != "":
		return WaitsForConfiguration, 0
	case due.After(t.pass.now):
		return WaitsForStartTime, millisOf(due)
	}
	return WaitsForSteps, 0
}

// refine returns the reason for operators where the dispatcher does not distinguish, for a
// step of a team and its tier.
func (s *Shard) refine(p *pass, team lovagestand.TeamName, tier fairshare.Tier, reason dispatch.WaitReason) dispatch.WaitReason {
	switch {
	case reason == dispatch.WaitsForCap && !p.unknown.of(team).IsZero():
		return WaitsForFormerRuns
	case reason == dispatch.WaitsForCap && s.deps.DividedCaps:
		return WaitsForCapShare
	case reason == dispatch.WaitsForRoom && tier == fairshare.Beyond:
		return WaitsForFairShare
	}
	return reason
}

// workers groups the workers of tasks by name.
func (t *trial) workers(indexes []int) []WorkerPlacement {
	var out []WorkerPlacement
	slices.Sort(indexes)
	for n, i := range indexes {
		if n > 0 && indexes[n-1] == i {
			out[len(out)-1].Tasks++
			continue
		}
		w := t.pass.workers[i]
		out = append(out, WorkerPlacement{Worker: w.info.Name, Rack: w.info.Rack, Tasks: 1, Free: w.free})
	}
	return out
}

// millisOf returns a time in milliseconds, or 0 for the zero time.
func millisOf(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}
