package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/clock"
	"lovagestand.example/lovagestand/job"
)

// The functions in this file decide what an owner concludes from replies, from missing
// replies and from the list of workers: that a start was not executed, that a run is over,
// and that a worker is gone. docs/design/evidence.md describes the rules.

// refusalOf returns the refusal that err contains, nil if it contains none.
func refusalOf(err error) *lovagestand.OrderRefusedError {
	var refused *lovagestand.OrderRefusedError
	errors.As(err, &refused)
	return refused
}

// neverSent reports whether err means that the worker cannot have received an order.
func neverSent(err error) bool {
	var unavailable *lovagestand.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Unsent
}

// connectionReset reports whether err means that the connection of an order was closed
// without a reply.
func connectionReset(err error) bool {
	var unavailable *lovagestand.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Reset
}

// refusalConfirmsStop reports whether the refusal of an order to stop confirms that the
// task no longer runs there. An unhealthy worker may still run it, and
// [lovagestand.RefusalRestarted] comes from another worker than the one that may run it.
func refusalConfirmsStop(reason lovagestand.RefusalReason) bool {
	return reason != lovagestand.RefusalUnhealthy && reason != lovagestand.RefusalRestarted
}

// unlistedIsOver reports whether a run is over because the worker does not list it in a
// complete answer to a hold that was sent at begun. The answer may be older than an order
// that was confirmed after the hold was sent.
func (p *placement) unlistedIsOver(begun time.Time, clock int64) bool {
	if p.startPending {
		return false
	}
	if p.settledAt.IsZero() {
		return p.startExpired(clock)
	}
	return p.settledAt.Before(begun)
}

// madeBefore reports whether the worker has made an answer to a hold before the one that was
// last received. Its list may contain runs that have ended since. Answers can overtake each
// other although the holds were sent in order, since a hold may wait for an end.
func (w *worker) madeBefore(holding lovagestand.HoldReply) bool {
	return w.contacted && holding.Born != 0 && holding.Born == w.born && holding.Clock < w.clock
}

// startExpired reports whether a start that was not confirmed can no longer be executed: on
// the worker's clock the lease that it carries has ended, so the worker refuses it.
func (p *placement) startExpired(clock int64) bool {
	return p.startUntil > 0 && p.worker.born == p.born && clock > p.startUntil
}

// anyTaskMayRun reports whether a worker that has not answered may run any task of the
// recovered jobs, so that none of them may be started.
func (s *Shard) anyTaskMayRun() bool {
	if s.rosterUnreadable {
		return true
	}
	for _, former := range s.unresolved {
		if former.Tasks == nil {
			return true
		}
	}
	return false
}

// tasksOnLeaving returns the tasks that may run on a worker that is about to leave, and those
// whose ends are not stored: the next owner learns of these ends from the worker only. The
// worker is given no more tasks, so their number only decreases. The result is nil if the
// worker is not about to leave or may run tasks of former terms that are not known.
func (s *Shard) tasksOnLeaving(w *worker) *[]string {
	former, unresolved := s.unresolved[w.info.Name]
	switch {
	case w.info.Ready || s.rosterUnreadable:
		return nil
	case unresolved:
		return former.Tasks
	}
	tasks := slices.AppendSeq(slices.AppendSeq([]string{}, maps.Keys(w.placements)), maps.Keys(w.strays))
	for _, a := range w.pendingAcks {
		tasks = append(tasks, a.tasks...)
	}
	slices.Sort(tasks)
	tasks = slices.Compact(tasks)
	return &tasks
}

// holdFormerRuns keeps the tasks from being started that may run on workers that have not
// answered, where the roster tells them; see [Shard.anyTaskMayRun].
func (s *Shard) holdFormerRuns() {
	for _, former := range s.unresolved {
		s.forEachTask(former, func(e *jobEntry, name string) { e.heldRuns[name]++ })
	}
}

// releaseFormerRuns undoes holdFormerRuns for a worker that has answered or is gone.
func (s *Shard) releaseFormerRuns(former rosterEntry) {
	s.forEachTask(former, (*jobEntry).releaseHeldRun)
}

// forEachTask calls f for each of the listed tasks of recovered jobs.
func (s *Shard) forEachTask(former rosterEntry, f func(e *jobEntry, name string)) {
	if former.Tasks == nil {
		return
	}
	for _, name := range *former.Tasks {
		id, _, ok := job.ParseTaskName(name)
		if e := s.jobs[id]; ok && e != nil && e.recovered {
			f(e, name)
		}
	}
}

// wasAt reports whether an address is the one at which a worker has last answered or, if it has
// not, the one at which a former owner called it. The list may state another one: another
// writer may have left it there.
func (s *Shard) wasAt(w *worker, address string) bool {
	last := w.answerAddress
	if last == "" {
		last = s.unresolved[w.info.Name].Address
	}
	return last == "" || last == address
}

// hasLeft reports whether a worker that was about to leave has left: its entry is gone
// although its heartbeat cannot have been missing for long enough to let the entry expire.
func (s *Shard) hasLeft(w *worker) bool {
	if w.listed || w.entryForeign || w.info.Ready || !w.listMatches() || w.heartbeatAfter.IsZero() {
		return false
	}
	return clock.Elapsed(w.heartbeatAfter) < s.limits.HeartbeatTimeout-heartbeatMargin
}
