package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
)

const (
	// watchedSteps is for how many steps of the longest waits, and for how many of those
	// with room, a pass determines why they wait. It is more than one because the pass may
	// start the first ones.
	watchedSteps = 4
	// maxRoomChecks is for how many steps of the longest waits room is looked for.
	maxRoomChecks = 250
)

// StepWait is a step with tasks that can start and of which none has been placed since.
type StepWait struct {
	Step  string                `json:"step"`
	Tasks int                   `json:"tasks"`
	Gang  bool                  `json:"gang,omitempty"`
	Needs lovagestand.Resources `json:"needs"`
	// Age is how long the step has waited, and JobAge the time since the job
	// was accepted, in milliseconds.
	Age    int64               `json:"ageMillis"`
	JobAge int64               `json:"jobAgeMillis"`
	Reason dispatch.WaitReason `json:"reason"`
	StepFigures
}

// StepFigures are the figures by which operators judge why a step waits.
type StepFigures struct {
	// WorkersNeeded is the smallest number of the shard's workers that hold a gang, or one
	// task of another step, if nothing else runs on them; 0 if they do not hold it.
	WorkersNeeded int `json:"workersNeeded"`
	// Allowed is the number of workers that policy is known to allow, Asked the number of
	// workers on which advice is known, and Ticketed how many of those allowed have a valid
	// ticket. They are 0 for a route without advice.
	Allowed  int `json:"allowed"`
	Asked    int `json:"asked"`
	Ticketed int `json:"ticketed"`
	// Free is the number of tasks with room on the workers that are allowed, and
	// FreeTicketed on those with a ticket. On one worker at most the tasks of the step count.
	Free         int `json:"free"`
	FreeTicketed int `json:"freeTicketed"`
	// CallPending reports whether a request for advice is pending.
	CallPending bool `json:"callPending,omitempty"`
}

// watchedStep is a waiting step of which a pass determines why it waits.
type watchedStep struct {
	waitingStep
	state   *stepState
	since   time.Time
	reason  dispatch.WaitReason
	figures StepFigures
	// hasRoom reports whether there is room for the step, on workers that policy allows or
	// on which advice is not known.
	hasRoom bool
	// held, if set, reports whether the step still waits for workers of a former owner.
	held func() bool
}

// waits reports whether no task of the step has been placed since it was watched.
func (w *watchedStep) waits() bool {
	if w.held != nil {
		return w.held() && !w.entry.final()
	}
	return w.state.waitingSince.Equal(w.since) && !w.entry.final()
}

// wait returns the wait of the step until now, which is zero if it has ended.
func (w *watchedStep) wait(now time.Time) StepWait {
	if w == nil || !w.waits() {
		return StepWait{}
	}
	progress := w.entry.progress
	return StepWait{
		Step: progress.Job().StepName(w.ref.Occurrence, w.ref.Step), Tasks: w.tasks, Gang: w.gang, Needs: w.needs,
		Age: now.Sub(w.since).Milliseconds(), JobAge: now.Sub(progress.Accepted()).Milliseconds(), Reason: w.reason, StepFigures: w.figures,
	}
}

// MarshalZerologObject implements [zerolog.LogObjectMarshaler].
func (w StepWait) MarshalZerologObject(e *zerolog.Event) {
	e.Str("step", w.Step).Float64("ageSeconds", float64(w.Age)/1000).Float64("jobAgeSeconds", float64(w.JobAge)/1000).
		Str("reason", string(w.Reason)).Int("tasks", w.Tasks).Bool("gang", w.Gang).
		Int64("milliCPU", w.Needs.MilliCPU).Int64("memoryMiB", w.Needs.MemoryMiB).Int64("accelerators", w.Needs.Accelerators).
		Int("workersNeeded", w.WorkersNeeded).Int("allowed", w.Allowed).Int("asked", w.Asked).Int("ticketed", w.Ticketed).
		Int("free", w.Free).Int("freeTicketed", w.FreeTicketed).Bool("callPending", w.CallPending)
}

// waitKey is what steps are sorted by to find the longest waits.
type waitKey struct {
	since time.Time
	id    job.ID
	index int
}

// watch chooses the steps that the summary of the pass may name: those that have waited
// longest, and those of them for which there is room.
func (s *Shard) watch(p *pass) {
	if !p.summarizes {
		return
	}
	steps := slices.Concat(p.waiting, p.unplaceable)
	firstHeld := len(steps)
	steps = append(steps, s.heldSteps(p)...)
	keys := make([]waitKey, 0, len(steps))
	jobs := map[*jobEntry]bool{}
	for i := range steps {
		jobs[steps[i].entry] = true
		since := steps[i].entry.step(steps[i].ref).waitingSince
		if i >= firstHeld {
			since = s.heldSince(&steps[i])
		}
		keys = append(keys, waitKey{since: since, id: steps[i].entry.id, index: i})
	}
	slices.SortFunc(keys, func(a, b waitKey) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.id, b.id), cmp.Compare(a.index, b.index))
	})
	p.waitingJobs = len(jobs)
	roomy := 0
	for n, k := range keys[:min(len(keys), maxRoomChecks)] {
		if n >= watchedSteps && roomy >= watchedSteps {
			return
		}
		newStep := s.newWatchedStep
		if k.index >= firstHeld {
			newStep = s.newHeldStep
		}
		w := newStep(p, steps[k.index])
		if k.index >= len(p.waiting) && k.index < firstHeld {
			w.reason, w.hasRoom = w.unplaceableReason(), false
		}
		if w.hasRoom {
			roomy++
		}
		if n < watchedSteps || w.hasRoom {
			w.figures.WorkersNeeded = s.workersNeeded(p, w)
			p.watched = append(p.watched, w)
		}
	}
}

// unplaceableReason returns why the step waits if it is unplaceable.
func (w *waitingStep) unplaceableReason() dispatch.WaitReason {
	if w.cause == causeDenied {
		return WaitsForPolicy
	}
	return dispatch.WaitsForWorker
}

// heldSteps returns the waiting steps of the jobs that wait for workers of a former owner.
func (s *Shard) heldSteps(p *pass) []waitingStep {
	first := len(p.waiting)
	for _, e := range p.held {
		s.collectWaitingSteps(p, e)
	}
	held := slices.Clone(p.waiting[first:])
	p.waiting = p.waiting[:first]
	return held
}

// heldSince returns since when a step waits for workers of a former owner: since the job was
// accepted if nothing of it has run, and otherwise at least since the shard was loaded.
func (s *Shard) heldSince(w *waitingStep) time.Time {
	return w.entry.waitingSince(w.ref, s.loadedAt)
}

// outsidePass reports whether the step was found to wait for a reason that no pass decides on.
func (w *watchedStep) outsidePass() bool {
	return w.held != nil || w.reason == dispatch.WaitsForWorker || w.reason == WaitsForPolicy
}

// workersNeeded is [StepFigures.WorkersNeeded] of a step.
func (s *Shard) workersNeeded(p *pass, w *watchedStep) int {
	return shapeOf(w.entry, w.step).WorkersNeeded(s.holders(p), w.step.MinStart())
}

// newWatchedStep returns a waiting step with its figures at the begin of the pass.
func (s *Shard) newWatchedStep(p *pass, waiting waitingStep) *watchedStep {
	st := waiting.entry.step(waiting.ref)
	room := s.roomFor(p, &waiting, st)
	return &watchedStep{
		waitingStep: waiting, state: st, since: st.waitingSince, reason: WaitsForQueue,
		hasRoom: room.PossibleTasks >= waiting.step.MinStart(),
		figures: StepFigures{
			Allowed: room.Allowed, Asked: room.Asked, Ticketed: room.Ticketed, Free: room.Tasks, FreeTicketed: room.TicketedTasks,
			CallPending: len(st.pendingRequests) > 0,
		},
	}
}

// newHeldStep is [Shard.newWatchedStep] for a step of a job that waits for workers of a former
// owner.
func (s *Shard) newHeldStep(p *pass, waiting waitingStep) *watchedStep {
	w := s.newWatchedStep(p, waiting)
	w.reason, w.since, w.held = WaitsForFormerOwner, s.heldSince(&waiting), s.anyTaskMayRun
	return w
}

// roomFor returns the room that the workers have for a waiting step.
func (s *Shard) roomFor(p *pass, w *waitingStep, st *stepState) dispatch.Room {
	step := dispatch.Step{
		Tasks: w.tasks, Needs: w.needs, Gang: w.gang, Service: w.entry.service, Label: w.step.Label, MaxPerWorker: w.step.MaxPerWorker,
		NeedsTickets: w.entry.progress.Policy().Advice.Needed(),
	}
	s.setAllowed(p, st, &step)
	return step.RoomOn(p.dispatchWorkers)
}

// explainAll gives the watched steps that a pass would decide on one reason.
func (p *pass) explainAll(reason dispatch.WaitReason) {
	for _, w := range p.watched {
		if !w.outsidePass() {
			w.reason = reason
		}
	}
}

// explainHeld gives the watched steps that the quotas have kept out of the pass their reason.
func (s *Shard) explainHeld(p *pass) {
	for _, w := range p.watched {
		if !w.outsidePass() && p.indexOf(w) < 0 {
			w.reason = s.refine(p, w.entry.team, w.tier, dispatch.WaitsForCap)
		}
	}
}

// watchedSteps returns the watched steps that the pass considers, and their indexes.
func (p *pass) watchedSteps() ([]*watchedStep, []int) {
	var steps []*watchedStep
	var indexes []int
	for _, w := range p.watched {
		if i := p.indexOf(w); i >= 0 {
			steps, indexes = append(steps, w), append(indexes, i)
		}
	}
	return steps, indexes
}

// indexOf returns the index of a watched step among the waiting ones, -1 if it is not among
// them.
func (p *pass) indexOf(w *watchedStep) int {
	return slices.IndexFunc(p.waiting, func(o waitingStep) bool { return o.entry == w.entry && o.ref == w.ref && o.suspects == w.suspects })
}

// summarizeWaits logs the longest waits if the pass logs a summary.
func (s *Shard) summarizeWaits(p *pass) {
	if !p.summarizes {
		return
	}
	s.longestWait, s.longestWaitWithRoom = nil, nil
	for _, w := range p.watched {
		if !w.waits() {
			continue
		}
		if s.longestWait == nil {
			s.longestWait = w
		}
		if s.longestWaitWithRoom == nil && w.hasRoom {
			s.longestWaitWithRoom = w
		}
	}
	s.logWait(p.now, s.longestWait, p.waitingJobs, "longest wait")
	s.logWait(p.now, s.longestWaitWithRoom, p.waitingJobs, "longest wait with room free")
}

// logWait logs a wait beside the number of jobs that wait.
func (s *Shard) logWait(now time.Time, w *watchedStep, jobs int, message string) {
	if w != nil {
		s.log.Info().EmbedObject(w.wait(now)).Int("jobsWaiting", jobs).Msg(message)
	}
}
