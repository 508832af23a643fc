package shard

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

// endsPerAnswer is how many ends a worker lists at most; more follow once these
// are acknowledged.
const endsPerAnswer = 500

// held takes what a worker answered to a hold that was sent at begun; false if a
// life that has been replaced has answered.
func (s *Shard) held(w *worker, begun time.Time, h lovagestand.HoldReply) bool {
	if w.replaced[h.Born] {
		s.log.Warn().Str("worker", string(w.info.Name)).Int64("born", h.Born).Msg("a former life answers")
		return false
	}
	if begun.Before(w.askedAt) {
		// A later hold was answered first; what this one tells may be outdated.
		w.lastAnswer = laterOf(w.lastAnswer, begun)
		return true
	}
	w.askedAt = begun
	if !w.isLife(h.Born) {
		s.reborn(w, h.Born)
	}
	if h.Born != 0 {
		w.born = h.Born
	}
	w.settleLife(h.Born, begun)
	now := time.Now()
	if !w.contacted {
		s.log.Info().Str("worker", string(w.info.Name)).Int("running", len(h.Running)).Int("ended", len(h.Ended)).Msg("worker contacted")
		// A former owner may have extended its lease until now.
		w.leaseEnd = laterOf(w.leaseEnd, now.Add(s.longestLease()))
	}
	w.contacted = true
	w.silent = false
	w.lastAnswer = now
	w.clock, w.clockAt = h.Clock, now
	for _, end := range h.Ended {
		if end.Number > w.seen {
			w.seen = end.Number
			s.ended(w, end)
		}
	}
	if w.seen > w.acked && (len(w.pending) == 0 || w.pending[len(w.pending)-1].number < w.seen) {
		w.pending = append(w.pending, unacknowledged{at: s.queued, number: w.seen})
		s.acknowledgeWorker(w)
	}
	whole := len(h.Ended) < endsPerAnswer
	s.reconcile(w, begun, now, h.Running, whole)
	if whole {
		s.resolve(w.info.Name)
	}
	s.wake()
	return true
}

// reconcile compares what a worker runs with what this term believes; whole says
// that no ends are left to be listed.
func (s *Shard) reconcile(w *worker, begun, now time.Time, running []lovagestand.RunningTask, whole bool) {
	listed := make(map[string]int64, len(running))
	for _, r := range running {
		listed[r.Task] = max(listed[r.Task], r.Run)
		s.seenRunning(w, now, r)
	}
	for name, p := range w.placements {
		if _, ok := listed[name]; ok || !whole || p.sending || p.settled.IsZero() || !p.settled.Before(begun) {
			continue
		}
		s.log.Warn().Str("task", name).Int64("run", p.run).Str("worker", string(w.info.Name)).Msg("task is not where it was started")
		s.vanish(p)
	}
	for name := range w.strays {
		if _, ok := listed[name]; !ok {
			delete(w.strays, name)
		}
	}
}

func (s *Shard) seenRunning(w *worker, now time.Time, r lovagestand.RunningTask) {
	p := w.placements[r.Task]
	if p == nil || p.run != r.Run {
		s.adopt(w, now, r)
		return
	}
	p.entry.started = true
	if p.settled.IsZero() && !p.sending {
		p.settled = now
	}
	if r.Checkpoint != p.saved {
		p.saved, p.savedAt = r.Checkpoint, now
		if p.entry.progress != nil {
			p.entry.progress.RecordCheckpoint(p.task, p.run, r.Checkpoint)
		}
	}
}

// adopt takes in a run that a former term started.
func (s *Shard) adopt(w *worker, now time.Time, r lovagestand.RunningTask) {
	id, task, ok := job.ParseTaskName(r.Task)
	e := s.jobs[id]
	if !ok || e == nil || w.placements[r.Task] != nil {
		s.stray(w, r)
		return
	}
	if e.progress == nil || task.Step >= len(e.progress.Job().Steps) {
		s.stray(w, r)
		return
	}
	j := e.progress.Job()
	step := j.Steps[task.Step]
	p := &placement{
		entry: e, task: task, name: r.Task, run: r.Run, needs: step.Needs, worker: w,
		begun: now, settled: now, saved: r.Checkpoint, savedAt: now, expect: s.runTime(e, step),
	}
	e.started = true
	wanted := e.active[r.Task] == nil && e.progress.Adopt(task, r.Run)
	s.take(p)
	if !wanted {
		s.log.Info().Str("task", r.Task).Int64("run", r.Run).Str("worker", string(w.info.Name)).Msg("unwanted run is stopped")
		s.stop(p)
		return
	}
	s.log.Info().Str("task", r.Task).Int64("run", r.Run).Str("worker", string(w.info.Name)).Msg("task adopted")
	s.activate(p)
	e.progress.RecordCheckpoint(task, r.Run, r.Checkpoint)
}

// stray stops a run that belongs to nothing this term knows.
func (s *Shard) stray(w *worker, r lovagestand.RunningTask) {
	if _, known := w.strays[r.Task]; known {
		return
	}
	w.strays[r.Task] = r.Run
	s.log.Warn().Str("task", r.Task).Int64("run", r.Run).Str("worker", string(w.info.Name)).Msg("unknown run is stopped")
	go s.stopStray(s.ctx, w, r)
}
