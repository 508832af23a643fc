package shard

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/job"
)

const (
	// wantedLease is the lease that workers are given where the platform
	// allows it: it outlives a takeover and cuts of some seconds.
	wantedLease = 8 * time.Second
	// clockRate is how much slower than ours a worker's clock may run.
	clockRate = 1.02
	// leaseSlack covers what rounding and late timers add to a lease.
	leaseSlack = 150 * time.Millisecond
	// holdWait is how long a worker waits for an end before it answers.
	holdWait = time.Second
	// holdTimeout bounds a hold beyond that wait.
	holdTimeout = 700 * time.Millisecond
	// openFor is how long after its last answer a worker gets new tasks.
	openFor = holdWait + holdTimeout
	// extendFor is how long after its last answer a worker's lease is still
	// prolonged; later holds only look, so that the lease comes to an end.
	extendFor = 2500 * time.Millisecond
	// holdRetry spaces holds of a worker that does not answer.
	holdRetry = 200 * time.Millisecond
	// missingFor is how long a worker that answers may be missing in the list.
	missingFor = 4 * time.Second
	// leftMargin covers how late a heartbeat and its absence are seen here.
	leftMargin = 1200 * time.Millisecond
	// ackWait is how long a hold waits for the store to keep the ends seen.
	ackWait = 150 * time.Millisecond
)

// worker is one life of a worker.
type worker struct {
	info    lovagestand.FleetWorker
	cancel  context.CancelFunc
	listed  bool
	lastSee time.Time // when it was last listed
	beatAt  time.Time // when its heartbeat was last seen to change

	contacted   bool
	silent      bool
	lastAnswer  time.Time
	askedAt     time.Time // when the last hold that was answered was sent
	clock       int64
	clockAt     time.Time
	leaseEnd    time.Time
	acked, seen int64
	pending     []pendingAck
	acks        chan struct{}

	placements map[string]*placement
	// free is the capacity less what placements need.
	free lovagestand.Resources
	// index is the worker's place in the pass under way.
	index int
	// strays are runs here that belong to nothing this term knows; their
	// needs are not known, so nothing new is placed beside them.
	strays map[string]int64

	rosterSent, enrolled bool
	health
}

// pendingAck is a number of ends that may be acknowledged once the write
// queue's entry at is written.
type pendingAck struct {
	at, number int64
}

// placement is a run of a task that holds room on a worker.
type placement struct {
	entry *entry
	task  job.Task
	name  string
	run   int64
	needs lovagestand.Resources

	worker  *worker
	begun   time.Time
	expect  time.Duration
	settled time.Time // when the worker's answer to the start arrived
	born    int64     // the life that answered the start; 0 where not known
	seen    bool      // listed as running
	saved   string
	savedAt time.Time
	stop    bool // an order to stop is to be sent or was sent
	sending bool
}

func (w *worker) lease(limits Limits) time.Duration {
	return min(wantedLease, limits.MaxLease)
}

// workerTime returns the worker's clock at t, as far as known.
func (w *worker) workerTime(t time.Time) int64 {
	return w.clock + t.Sub(w.clockAt).Milliseconds()
}

// open reports whether the worker may get new tasks.
func (w *worker) open(now time.Time) bool {
	if !w.contacted || !w.enrolled || !w.info.Ready || len(w.strays) > 0 || now.Sub(w.lastAnswer) > openFor {
		return false
	}
	if !w.listed && now.Sub(w.lastSee) > missingFor {
		return false
	}
	return !w.quarantined(now) && !w.stuck(now)
}

// SetWorkers takes the list of registered workers.
func (s *Shard) SetWorkers(list []lovagestand.FleetWorker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	now := time.Now()
	for _, w := range s.workers {
		w.listed = false
	}
	for _, info := range list {
		s.setWorker(info, now)
	}
	if !s.listed {
		s.listed = true
		s.startUnlisted()
	}
	for name, w := range s.workers {
		if s.left(w, now) {
			s.dismiss(w, "it has left")
		}
		if s.gone(w, now) {
			s.log.Info().Str("worker", string(name)).Msg("worker is gone")
			w.cancel()
			delete(s.workers, name)
			s.enrol()
		}
	}
	s.wake()
}

// left reports whether a worker that was about to leave has done so: its entry
// is gone although its heartbeat was not silent for long enough to lapse.
func (s *Shard) left(w *worker, now time.Time) bool {
	return !w.listed && !w.info.Ready && !w.beatAt.IsZero() && now.Sub(w.beatAt) < s.limits.Silence-leftMargin
}

// gone reports whether a worker has left and cannot run anything of ours.
func (s *Shard) gone(w *worker, now time.Time) bool {
	if _, unresolved := s.unresolved[w.info.Name]; unresolved || w.listed {
		return false
	}
	if len(w.placements)+len(w.strays) > 0 || !now.After(w.leaseEnd) {
		return false
	}
	return now.Sub(w.lastSee) > missingFor && now.Sub(w.lastAnswer) > missingFor
}

func (s *Shard) setWorker(info lovagestand.FleetWorker, now time.Time) {
	w := s.workers[info.Name]
	if w == nil {
		s.addWorker(info, now)
		return
	}
	if info.Born != 0 && w.info.Born != 0 && info.Born != w.info.Born {
		s.reborn(w, info.Born)
	}
	if w.info.Ready != info.Ready {
		s.log.Info().Str("worker", string(info.Name)).Bool("ready", info.Ready).Msg("worker changed state")
		s.enrol()
	}
	if info.Heartbeat != w.info.Heartbeat {
		w.beatAt = now
	}
	born := w.info.Born
	w.free = w.free.Add(info.Capacity).Sub(w.info.Capacity)
	w.info = info
	if info.Born == 0 {
		w.info.Born = born
	}
	w.listed, w.lastSee = true, now
}

// startUnlisted begins to hold the workers that a former term may have given
// tasks to and that are not listed now.
func (s *Shard) startUnlisted() {
	for name, former := range s.unresolved {
		if s.workers[name] == nil {
			info := lovagestand.FleetWorker{WorkerLife: lovagestand.WorkerLife{Name: name}, Address: former.Address, Ready: !former.Leaving}
			s.addWorker(info, time.Time{})
		}
	}
}

func (s *Shard) addWorker(info lovagestand.FleetWorker, now time.Time) {
	ctx, cancel := context.WithCancel(s.ctx)
	w := &worker{
		info: info, free: info.Capacity, cancel: cancel, listed: !now.IsZero(), lastSee: now,
		placements: map[string]*placement{}, strays: map[string]int64{}, acks: make(chan struct{}, 1),
	}
	s.workers[info.Name] = w
	s.log.Info().Str("worker", string(info.Name)).Str("address", info.Address).Str("rack", string(info.Rack)).Msg("worker added")
	s.enrol()
	go s.holdLoop(ctx, w)
}

// enrol has the roster written.
func (s *Shard) enrol() {
	s.rosterAt++
	select {
	case s.dirtied <- struct{}{}:
	default:
	}
}

// holdLoop keeps a worker's lease and follows what it runs.
func (s *Shard) holdLoop(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		s.mu.Lock()
		request, unacked := s.holdRequest(w)
		target := w.info
		s.mu.Unlock()
		if unacked && !s.awaitAck(ctx, w) {
			continue
		}
		begun := time.Now()
		limited, cancel := context.WithTimeout(ctx, request.Wait+holdTimeout)
		holding, err := s.deps.Fleet.Hold(limited, target, request)
		cancel()
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		if err != nil {
			s.holdFailed(w, err)
		} else {
			s.held(w, begun, holding)
		}
		s.mu.Unlock()
		if err != nil {
			pause.For(ctx, holdRetry)
		}
	}
}

// look asks a worker at once what it holds, because a start was left in doubt.
func (s *Shard) look(w *worker) {
	s.mu.Lock()
	request := lovagestand.HoldRequest{Epoch: s.term.Epoch, Seen: w.acked}
	target := w.info
	s.mu.Unlock()
	begun := time.Now()
	limited, cancel := context.WithTimeout(s.ctx, holdTimeout)
	holding, err := s.deps.Fleet.Hold(limited, target, request)
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.ctx.Err() == nil {
		s.held(w, begun, holding)
	}
}

// holdRequest returns the next hold, and whether ends are seen that may not be
// acknowledged yet.
func (s *Shard) holdRequest(w *worker) (lovagestand.HoldRequest, bool) {
	now := time.Now()
	request := lovagestand.HoldRequest{Epoch: s.term.Epoch, Seen: w.acked}
	if !w.contacted {
		return request, false
	}
	unacked := w.acked < w.seen
	if now.Sub(w.lastAnswer) < extendFor {
		lease := w.lease(s.limits)
		request.Until = w.workerTime(now) + lease.Milliseconds()
		request.Wait = holdWait
		w.leaseEnd = laterOf(w.leaseEnd, now.Add(time.Duration(float64(lease)*clockRate)+leaseSlack))
	}
	if unacked {
		request.Wait = 0
	}
	return request, unacked
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// awaitAck waits until the store has kept the ends seen; true when a hold
// should be sent although it has not.
func (s *Shard) awaitAck(ctx context.Context, w *worker) bool {
	timer := time.NewTimer(ackWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-w.acks:
		return false
	case <-timer.C:
		return true
	}
}

// acknowledge lets workers forget the ends that are kept now.
func (s *Shard) acknowledge() {
	for _, w := range s.workers {
		s.acknowledgeWorker(w)
	}
}

func (s *Shard) acknowledgeWorker(w *worker) {
	n := 0
	for n < len(w.pending) && w.pending[n].at <= s.written {
		w.acked = w.pending[n].number
		n++
	}
	if n == 0 {
		return
	}
	w.pending = slices.Delete(w.pending, 0, n)
	select {
	case w.acks <- struct{}{}:
	default:
	}
}

func (s *Shard) holdFailed(w *worker, err error) {
	var refused *lovagestand.OrderRefusedError
	if errors.As(err, &refused) {
		switch refused.Reason {
		case lovagestand.RefusalFenced:
			s.lose("worker " + string(w.info.Name) + " has seen a higher epoch")
			return
		case lovagestand.RefusalReborn:
			s.expire(w, "another life answers")
			return
		}
	}
	now := time.Now()
	var unavailable *lovagestand.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Refused && !w.info.Ready {
		s.dismiss(w, "it was leaving, and no process listens there any more")
		return
	}
	if !w.silent {
		w.silent = true
		s.log.Warn().Str("worker", string(w.info.Name)).Err(err).Dur("sinceAnswer", now.Sub(w.lastAnswer)).Int("tasks", len(w.placements)).Msg("worker does not answer")
	}
	if w.contacted && now.After(w.leaseEnd) && len(w.placements)+len(w.strays) > 0 {
		s.expire(w, "its lease has expired")
	}
	if !w.contacted && now.Sub(s.began) > s.formerLease() {
		s.resolve(w.info.Name)
	}
}

// dismiss takes a worker as gone for good.
func (s *Shard) dismiss(w *worker, reason string) {
	s.expire(w, reason)
	w.leaseEnd, w.lastAnswer, w.lastSee = time.Time{}, time.Time{}, time.Time{}
}

// expire takes everything on a worker as ended without a verdict.
func (s *Shard) expire(w *worker, reason string) {
	if len(w.placements)+len(w.strays) > 0 {
		s.log.Warn().Str("worker", string(w.info.Name)).Int("tasks", len(w.placements)).Str("reason", reason).Msg("tasks lost")
	}
	for _, p := range w.placements {
		s.vanish(p)
	}
	clear(w.strays)
	s.resolve(w.info.Name)
	s.wake()
}

// reborn takes note that a worker has begun a new life under its name.
func (s *Shard) reborn(w *worker, born int64) {
	s.log.Warn().Str("worker", string(w.info.Name)).Int64("born", born).Msg("worker has a new life")
	w.info.Born = born
	w.acked, w.seen, w.pending = 0, 0, nil
	w.health = health{}
	for _, p := range w.placements {
		if p.sending || p.born == born {
			// The new life may get this start, or has answered it.
			continue
		}
		s.vanish(p)
	}
	clear(w.strays)
}

// held takes what a worker answered to a hold that was sent at begun.
func (s *Shard) held(w *worker, begun time.Time, h lovagestand.Holding) {
	if begun.Before(w.askedAt) {
		// A later hold was answered first; what this one tells may be outdated.
		w.lastAnswer = laterOf(w.lastAnswer, begun)
		return
	}
	w.askedAt = begun
	if h.Born != 0 && w.info.Born != 0 && h.Born != w.info.Born {
		s.reborn(w, h.Born)
	}
	if h.Born != 0 {
		w.info.Born = h.Born
	}
	now := time.Now()
	if !w.contacted {
		s.log.Info().Str("worker", string(w.info.Name)).Int("running", len(h.Running)).Int("ended", len(h.Ended)).Msg("worker contacted")
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
		w.pending = append(w.pending, pendingAck{at: s.queued, number: w.seen})
		s.acknowledgeWorker(w)
	}
	s.reconcile(w, begun, now, h.Running)
	s.resolve(w.info.Name)
	s.wake()
}

// reconcile compares what a worker runs with what this term believes.
func (s *Shard) reconcile(w *worker, begun, now time.Time, running []lovagestand.RunningTask) {
	listed := make(map[string]int64, len(running))
	for _, r := range running {
		listed[r.Task] = max(listed[r.Task], r.Run)
		s.seenRunning(w, now, r)
	}
	for name, p := range w.placements {
		if _, ok := listed[name]; ok || p.sending || p.settled.IsZero() || !p.settled.Before(begun) {
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
	p.seen = true
	if p.settled.IsZero() && !p.sending {
		p.settled = now
	}
	if r.Checkpoint != p.saved {
		p.saved, p.savedAt = r.Checkpoint, now
		if p.entry.progress != nil {
			p.entry.progress.Saved(p.task, p.run, r.Checkpoint)
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
		begun: now, settled: now, seen: true, saved: r.Checkpoint, savedAt: now, expect: s.runTime(e, step),
	}
	wanted := e.active[r.Task] == nil && e.progress.Adopt(task, r.Run)
	s.take(p)
	e.held[r.Task]++
	if !wanted {
		s.log.Info().Str("task", r.Task).Int64("run", r.Run).Str("worker", string(w.info.Name)).Msg("unwanted run is stopped")
		s.stop(p)
		return
	}
	s.log.Info().Str("task", r.Task).Int64("run", r.Run).Str("worker", string(w.info.Name)).Msg("task adopted")
	e.active[r.Task] = p
	e.step(job.StepRef{Occurrence: task.Occurrence, Step: task.Step}).placed[w.info.Name]++
	e.progress.Saved(task, r.Run, r.Checkpoint)
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
