package shard

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
)

const (
	// planInterval is the least time between two passes, so that one pass
	// answers several events.
	planInterval = 8 * time.Millisecond
	// idleInterval is the most time between two passes.
	idleInterval = 200 * time.Millisecond
	// planShare bounds the share of time that passes take: a pass that took
	// long is followed by a longer pause.
	planShare = 8
	// ticketMargin is how long before its end a ticket is no longer used: an
	// order must arrive in time.
	ticketMargin = 150 * time.Millisecond
	// askAheadWorkers and askAheadMargin size how long a call for advice
	// takes from here.
	askAheadWorkers = 20
	askAheadMargin  = 100 * time.Millisecond
)

// planLoop places waiting tasks whenever something has changed.
func (s *Shard) planLoop(ctx context.Context) {
	for {
		timer := time.NewTimer(idleInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.wakeup:
		case <-timer.C:
		}
		timer.Stop()
		begun := time.Now()
		s.plan()
		took := time.Since(begun)
		if !pause.For(ctx, max(planInterval, planShare*took)) {
			return
		}
	}
}

// pass is one round of placing.
type pass struct {
	now     time.Time
	workers []*worker
	index   map[*worker]int
	planned []dispatch.Worker
	steps   []dispatch.Step
	refs    []stepRef
}

type stepRef struct {
	entry *entry
	ref   job.StepRef
}

func (s *Shard) plan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.newPass(time.Now())
	for _, e := range s.live {
		if e.durable && (!e.recovered || s.resolved) {
			s.addSteps(p, e)
		}
	}
	s.summarize(p)
	if len(p.steps) == 0 {
		return
	}
	for _, d := range dispatch.Plan(p.now, p.planned, p.steps) {
		r := p.refs[d.Step]
		if len(d.Workers) > 0 {
			s.placeAll(p, r, d.Workers)
		}
		if len(d.Ask) > 0 {
			s.ask(p, r, d.Ask)
		}
	}
}

func (s *Shard) newPass(now time.Time) *pass {
	p := &pass{now: now, index: make(map[*worker]int, len(s.workers))}
	for _, w := range s.workers {
		p.workers = append(p.workers, w)
	}
	slices.SortFunc(p.workers, func(a, b *worker) int { return cmp.Compare(a.info.Name, b.info.Name) })
	for i, w := range p.workers {
		p.index[w] = i
		p.planned = append(p.planned, s.planned(w, now))
	}
	return p
}

// free returns the room that is left on a worker.
func (s *Shard) free(w *worker) lovagestand.Resources {
	free := w.info.Capacity
	for _, p := range w.placements {
		free = free.Sub(p.needs)
	}
	return free
}

func (s *Shard) planned(w *worker, now time.Time) dispatch.Worker {
	out := dispatch.Worker{
		Rack: w.info.Rack, Labels: w.info.Labels, Capacity: w.info.Capacity, Free: s.free(w),
		Open: w.open(now), Slowness: w.slowness,
	}
	for _, p := range w.placements {
		out.Releases = append(out.Releases, dispatch.Release{At: p.expectedEnd(now), Frees: p.needs})
	}
	slices.SortFunc(out.Releases, func(a, b dispatch.Release) int { return a.At.Compare(b.At) })
	return out
}

// expectedEnd guesses when a run ends; one that is overdue is guessed to need
// a part of its time again.
func (p *placement) expectedEnd(now time.Time) time.Time {
	if p.stop {
		return now
	}
	end := p.begun.Add(p.expect)
	if end.After(now) {
		return end
	}
	return now.Add(now.Sub(p.begun) / 4)
}

func (s *Shard) addSteps(p *pass, e *entry) {
	refs, due := e.progress.Startable(p.now)
	e.nextDue = due
	if len(refs) == 0 {
		return
	}
	j := e.progress.Job()
	for _, ref := range refs {
		step := j.Steps[ref.Step]
		waiting := len(e.startable(ref))
		if waiting == 0 || step.Gang && waiting < step.Count {
			continue
		}
		p.steps = append(p.steps, s.plannedStep(p, e, ref, step, waiting))
		p.refs = append(p.refs, stepRef{entry: e, ref: ref})
	}
}

func (s *Shard) plannedStep(p *pass, e *entry, ref job.StepRef, step job.Step, waiting int) dispatch.Step {
	st := e.step(ref)
	j := e.progress.Job()
	out := dispatch.Step{
		Tasks: waiting, Needs: step.Needs, Gang: step.Gang, SameRack: step.SameRack, Label: step.Label,
		Affinity: step.Affinity, MaxPerWorker: step.MaxPerWorker, Advised: j.Policy.Advice.Needed(), Asking: st.asking,
		AskAhead: j.Policy.Advice.Cost(askAheadWorkers) + askAheadMargin,
		RunTime:  s.runTime(e, step), Score: s.score(p.now, e, ref),
	}
	if step.MaxPerWorker > 0 {
		out.Placed = map[int]int{}
	}
	for name, n := range st.placed {
		if i, ok := s.indexOf(p, name); ok && out.Placed != nil {
			out.Placed[i] = n
		}
	}
	for name := range st.avoid {
		if i, ok := s.indexOf(p, name); ok {
			if out.Avoid == nil {
				out.Avoid = map[int]bool{}
			}
			out.Avoid[i] = true
		}
	}
	if out.Advised && st.advised {
		out.Candidates = s.candidates(p, st)
		out.Asked = make(map[int]bool, len(st.asked))
		for name := range st.asked {
			if i, ok := s.indexOf(p, name); ok {
				out.Asked[i] = true
			}
		}
	}
	return out
}

func (s *Shard) indexOf(p *pass, name lovagestand.WorkerName) (int, bool) {
	w := s.workers[name]
	if w == nil {
		return 0, false
	}
	i, ok := p.index[w]
	return i, ok
}

func (s *Shard) candidates(p *pass, st *stepState) []dispatch.Candidate {
	candidates := make([]dispatch.Candidate, 0, len(st.tickets))
	for name, t := range st.tickets {
		if i, ok := s.indexOf(p, name); ok {
			candidates = append(candidates, dispatch.Candidate{Worker: i, Permitted: t.until.After(p.now.Add(ticketMargin))})
		}
	}
	slices.SortFunc(candidates, func(a, b dispatch.Candidate) int { return cmp.Compare(a.Worker, b.Worker) })
	return candidates
}

func (s *Shard) score(now time.Time, e *entry, ref job.StepRef) float64 {
	runTime := func(step job.Step) time.Duration { return s.runTime(e, step) }
	core, chain := e.progress.RemainingWork(ref.Occurrence, runTime)
	j := e.progress.Job()
	accepted := e.progress.Accepted()
	if due := j.Schedule.Due(ref.Occurrence); !due.IsZero() {
		accepted = due
	}
	return dispatch.Score(dispatch.Work{
		Priority: j.Policy.Priority, Age: now.Sub(accepted), Objective: e.objective, Chain: chain,
		Total: e.total, Remaining: core, Mean: s.stats(e.route).core,
	})
}

// placeAll starts waiting tasks of a step on the workers chosen for them.
func (s *Shard) placeAll(p *pass, r stepRef, workers []int) {
	e := r.entry
	st := e.step(r.ref)
	indexes := e.startable(r.ref)
	step := e.progress.Job().Steps[r.ref.Step]
	expect := s.runTime(e, step)
	for n, i := range workers {
		task := job.Task{Occurrence: r.ref.Occurrence, Step: r.ref.Step, Index: indexes[n]}
		run := e.progress.NextRun(task)
		if step.Gang && n > 0 {
			run--
		}
		w := p.workers[i]
		s.place(e, task, run, w, st.tickets[w.info.Name], expect)
	}
}
