package shard

import (
	"context"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
)

const (
	// preferredLease is the lease that workers are given unless the platform's limit
	// is shorter. It is long enough for a takeover and for network cuts of a few
	// seconds.
	preferredLease = 8 * time.Second
	// clockDriftFactor is the factor by which a worker's clock may run slower than the
	// clock of this instance.
	clockDriftFactor = 1.02
	// leaseSlack covers what rounding and late timers add to a lease.
	leaseSlack = 150 * time.Millisecond
	// holdWait is how long a worker waits for a run to end before it answers a hold.
	holdWait = time.Second
	// holdTimeout is the timeout of a hold beyond the time that the worker waits.
	holdTimeout = 700 * time.Millisecond
	// openFor is how long after its last answer a worker still gets new tasks.
	openFor = holdWait + holdTimeout
	// extendFor is how long after its last answer the lease of a worker is still
	// extended. After a longer gap, such as a suspension of the owner's process, a hold
	// only reads.
	extendFor = 2500 * time.Millisecond
	// holdRetryDelay is the pause after a failed hold, and between holds that do not wait.
	holdRetryDelay = 200 * time.Millisecond
	// fewConnectionsFor is how long holds do not wait after the worker has reset the
	// connection of an order.
	fewConnectionsFor = 5 * time.Second
	// unlistedGrace is how long a worker may be missing from the list after an outage of
	// the store before it gets no new tasks, or is removed if it does not answer either.
	unlistedGrace = 4 * time.Second
	// listGap is the time beyond ListInterval after which the next read of the list
	// counts as the first one: workers may have been unable to keep their entries.
	listGap = time.Second
	// silentAfter is how long a worker may be listed without an answer before it is taken
	// off the roster.
	silentAfter = 3 * time.Second
	// absentAfter is how long a worker may be closed before it no longer counts as one that
	// can hold a step. It is longer than the lease of a worker that does not answer.
	absentAfter = 10 * time.Second
	// heartbeatMargin allows for a store whose clock runs faster than that of this
	// instance.
	heartbeatMargin = 100 * time.Millisecond
	// maxHeartbeatStep is by how much the number of a heartbeat may rise between two reads of
	// the list. Any other change may be that of another writer or of another incarnation.
	maxHeartbeatStep = 8
	// acknowledgeWait is how long a hold is delayed until the listed ends are stored.
	acknowledgeWait = 150 * time.Millisecond
)

// worker is a worker under one name, through all of its incarnations.
type worker struct {
	info lovagestand.FleetWorker // as last listed
	// born identifies the incarnation that answers; 0 while none has reported it.
	// replacedIncarnations holds the ones before it, whose entries and answers are
	// ignored from then on.
	born                 int64
	replacedIncarnations map[int64]bool
	// leftBorn identifies the last incarnation that was about to leave when the entry of
	// another one followed; 0 for none.
	leftBorn int64
	// otherIncarnation is an incarnation that appeared in the list at
	// otherIncarnationAt and has not answered; 0 for none. Until the next answer it is
	// unknown which of the two is the later one.
	otherIncarnation   int64
	otherIncarnationAt time.Time

	cancel        context.CancelFunc
	listed        bool
	lastListed    time.Time // when it was last listed
	lastHeartbeat time.Time // when its heartbeat was last seen to change
	// heartbeatAfter is a time before that heartbeat: a read of the list that was sent then
	// still showed the heartbeat before. It is zero if there was no such read, or if the
	// heartbeat may not be that of the worker.
	heartbeatAfter time.Time
	// entryForeign reports whether the entry of the worker became undecodable, or names a worker
	// of another shard.
	entryForeign bool
	// expired indicates that the entry was removed from the list while the list was read
	// without gaps. The worker's capacity may have changed since its last heartbeat.
	expired bool

	addedAt time.Time
	// answered reports whether any incarnation has answered a hold in this term, silent
	// whether none has for so long that the entry may be that of another writer. A silent
	// worker has been given no task.
	answered, silent bool
	// closedSince is since when passes have found the worker closed; zero if it is open.
	// absent reports whether the worker does not count as one that can hold steps.
	closedSince time.Time
	absent      bool
	// answerAddress is the address at which it has last answered a hold; empty if none has.
	answerAddress string
	contacted     bool // whether the current incarnation has answered a hold
	unresponsive  bool // whether the last hold failed
	lastAnswer    time.Time
	// aliveUntil is when the worker is known to have been alive last, once it does not
	// answer or was found to have restarted.
	aliveUntil time.Time
	// timedOut reports whether contact ended with a time-out, so that the worker may have been
	// alive for longer.
	timedOut   bool
	holdSentAt time.Time // when the last hold that was answered was sent
	// clock is the worker's clock in milliseconds, as received at clockAt.
	clock   int64
	clockAt time.Time
	// leaseEnd is when the lease has expired at the latest.
	leaseEnd time.Time
	// seenEnds is the number of the last end that the worker has listed, ackedEnds the
	// number up to which its ends may be acknowledged.
	ackedEnds, seenEnds int64
	pendingAcks         []pendingAck
	// acknowledged is signalled when ackedEnds advances.
	acknowledged chan struct{}

	// placements holds the runs that occupy room on the worker, by task name.
	placements map[string]*placement
	// runs describes them for passes; see [Shard.runsOn]. It is nil after a run was added,
	// removed or ordered to stop.
	runs []workerRun
	// free is the capacity minus the needs of the placements.
	free lovagestand.Resources
	// maxCapacity is the largest capacity that the worker has had since it was added to
	// the roster.
	maxCapacity lovagestand.Resources
	// connections describes the connections to the worker.
	connections connectionUse
	// fewConnectionsUntil is the end of the time in which holds do not wait at the worker,
	// because orders may need their connection.
	fewConnectionsUntil time.Time
	// lastPlacedAt is when a run was last placed here. trialUntil is the end of the last of
	// the trials that go on here, see [placement.trialUntil]; zero if there is none.
	lastPlacedAt, trialUntil time.Time
	// passIndex is the index of the worker in the current planning pass. It is not valid if
	// the worker was removed.
	passIndex int
	removed   bool
	// strays holds the run numbers of runs that belong to no job known in this term.
	// Their needs are unknown, so no new task is placed beside them.
	strays map[string]int64

	// inRosterWrite reports whether the last encoded roster contains the worker, and
	// enrolled whether the stored roster does.
	inRosterWrite, enrolled bool
	health
}

// pendingAck is the number up to which ends may be acknowledged once everything up to
// a position in the write queue is durable, and the tasks of these ends.
type pendingAck struct {
	queuePosition, number int64
	tasks                 []string
}

// placement is a run of a task that occupies room on a worker.
type placement struct {
	entry *jobEntry
	task  job.Task
	name  string
	run   int64
	needs lovagestand.Resources

	worker          *worker
	placedAt        time.Time // when the run was ordered, or adopted
	born            int64     // the incarnation of the worker that was ordered to start it
	started         bool      // whether the worker has confirmed the start
	waitingSince    time.Time // since when the step had waited
	expectedRunTime time.Duration
	// farFactor is the factor in expectedRunTime that stands for a run elsewhere than near;
	// 0 for all other runs.
	farFactor float64
	// speed is the speed of the worker in expectedRunTime, or of the slowest one of a gang;
	// 0 if it is not taken into account.
	speed       float64
	locality    locality
	longRunning bool      // whether the task runs until its job is cancelled
	settledAt   time.Time // when the worker confirmed the last order or first listed the run
	// startUntil is the end of the lease that the order to start carried, on the worker's
	// clock.
	startUntil    int64
	checkpoint    string
	checkpointAt  time.Time
	stopRequested bool // whether an order to stop is to be sent or was sent
	startPending  bool // whether the order to start has not been answered
	// failedStops counts the orders to stop in a row that were not answered.
	failedStops int
	adopted     bool // whether a former owner has started the run
	// preemptedAt is when the run was preempted; zero if it was not. resumedWork is the
	// work of earlier, preempted runs of the task; resumed reports whether there was one.
	preemptedAt time.Time
	resumedWork time.Duration
	resumed     bool
	// passID is the index of the run in the runs of the last pass that considered it.
	passID int
	// trialUntil is the time from which a run whose task may crash its worker has shown
	// that it does not; zero for all other runs. No other run starts beside it before.
	trialUntil time.Time
	// crashAge is after which time a run on trial would crash its worker, by the former run of
	// its task; 0 if the trial is not shared with those of other steps.
	crashAge time.Duration
}

// leaseDuration returns the duration of the lease that workers are given.
func (s *Shard) leaseDuration() time.Duration {
	return min(preferredLease, s.limits.MaxLease)
}

// leaseUpperBound returns how long that lease may last by this instance's clock if the
// worker's clock is as slow as clockDriftFactor allows.
func (s *Shard) leaseUpperBound() time.Duration {
	return onSlowestClock(s.leaseDuration())
}

// longestLease returns how long a lease given by an unanswered order may last by this
// instance's clock. The order states the end of the lease on the clock of the
// incarnation that it was sent to. On the clock of an incarnation that started
// meanwhile, that end may lie far ahead. The worker then limits the lease only to the
// longest one that the platform allows, counted from the arrival of the order.
func (s *Shard) longestLease() time.Duration {
	return orderTimeout + onSlowestClock(s.limits.MaxLease)
}

// onSlowestClock returns how long a duration on a worker's clock may last by this
// instance's clock, if the worker's clock is as slow as clockDriftFactor allows.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d)*clockDriftFactor) + leaseSlack
}

// extendLease records that the lease of a worker is extended now, and returns its end
// on the worker's clock for the order that carries it.
func (s *Shard) extendLease(w *worker, now time.Time) int64 {
	w.leaseEnd = later(w.leaseEnd, now.Add(s.leaseUpperBound()))
	return w.workerTime(now) + s.leaseDuration().Milliseconds()
}

// recordLease records the lease that an order to start has given, computed from the
// worker's clock in the answer. Without a clock it assumes the longest possible lease.
func (s *Shard) recordLease(w *worker, order lovagestand.Order, clock int64) {
	lease := s.longestLease()
	if clock > 0 {
		lease = onSlowestClock(min(s.limits.MaxLease, time.Duration(order.Until-clock)*time.Millisecond))
	}
	w.leaseEnd = later(w.leaseEnd, time.Now().Add(lease))
}

// workerTime returns the worker's clock at t in milliseconds, estimated from its last
// answer.
func (w *worker) workerTime(t time.Time) int64 {
	return w.clock + t.Sub(w.clockAt).Milliseconds()
}

// open reports whether a worker can be given new tasks.
func (s *Shard) open(w *worker, now time.Time) bool {
	return s.openForTrials(w, now) && !now.Before(w.trialUntil)
}

// openForTrials reports whether a worker can be given new tasks but for the trials that go on
// there.
func (s *Shard) openForTrials(w *worker, now time.Time) bool {
	return w.usable(now) && !slices.Contains(s.stuck, w)
}

// usable reports whether the worker can be given new tasks by what it has answered.
func (w *worker) usable(now time.Time) bool {
	if !w.contacted || w.unresponsive || w.otherIncarnation != 0 || !w.enrolled || !w.info.Ready || len(w.strays) > 0 || now.Sub(w.lastAnswer) > openFor {
		return false
	}
	if !w.listMatches() || w.expired || !w.listed && now.Sub(w.lastListed) > unlistedGrace {
		return false
	}
	return !w.quarantined(now)
}

// updateAbsence records whether a worker is absent: it has never answered, or it was closed for
// absentAfter. Steps then wait for it no longer.
func (s *Shard) updateAbsence(w *worker, open bool, now time.Time) {
	switch {
	case open:
		w.closedSince = time.Time{}
	case w.closedSince.IsZero():
		w.closedSince = now
	}
	absent := w.silent || !open && now.Sub(w.closedSince) >= absentAfter
	if absent == w.absent {
		return
	}
	w.absent = absent
	s.fleetVersion++
	s.log.Info().Str("worker", string(w.info.Name)).Bool("absent", absent).Msg("worker counts or no longer counts for the steps that wait")
}

// WorkerList is one read of the list of registered workers.
type WorkerList struct {
	Workers []lovagestand.FleetWorker
	// Undecodable holds the names of the entries that describe no worker. Another writer
	// may have overwritten the entry of a worker that runs on.
	Undecodable []lovagestand.WorkerName
	// OtherShards holds the workers of the other shards, by shard.
	OtherShards map[string][]lovagestand.FleetWorker
	// SentAt is when the read was sent.
	SentAt time.Time
}

// SetWorkers applies the list of registered workers.
func (s *Shard) SetWorkers(list WorkerList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	now := time.Now()
	if now.Sub(s.listReadAt) > s.limits.ListInterval+listGap {
		s.listReadSince = now
	}
	s.listReadAt = now
	for _, w := range s.workers {
		w.listed = false
	}
	for _, info := range list.Workers {
		s.updateWorker(info, now)
	}
	for _, name := range list.Undecodable {
		s.recordForeignEntry(name)
	}
	s.listSentAt = list.SentAt
	s.otherShards = map[string][]dispatch.Worker{}
	for name, workers := range list.OtherShards {
		s.otherShards[name] = holders(workers)
		for i := range workers {
			s.recordForeignEntry(workers[i].Name)
		}
	}
	if !s.workersListed {
		s.workersListed = true
		s.addFormerWorkers()
	}
	for name, w := range s.workers {
		s.checkSilence(w, now)
		w.expired = !w.listed && !w.lastListed.Before(s.listReadSince)
		if s.hasLeft(w) {
			s.markGone(w, lossLeft)
		}
		if s.removable(w, now) {
			s.log.Info().Str("worker", string(name)).Msg("worker removed")
			w.cancel()
			delete(s.workers, name)
			w.removed, s.workersByName = true, nil
			s.requestRosterWrite()
		}
	}
	s.wake()
}

// recordForeignEntry records that there is an entry under the name of a worker that is not
// listed. Another writer may have written it, so it was not removed by the worker.
func (s *Shard) recordForeignEntry(name lovagestand.WorkerName) {
	if w := s.workers[name]; w != nil && !w.listed {
		w.entryForeign = true
	}
}

// checkSilence takes a worker that has not answered since it was added off the roster.
func (s *Shard) checkSilence(w *worker, now time.Time) {
	if w.answered || w.silent || now.Sub(w.addedAt) <= silentAfter {
		return
	}
	w.silent, w.inRosterWrite, w.enrolled = true, false, false
	s.log.Warn().Str("worker", string(w.info.Name)).Str("address", w.info.Address).Str("service", w.info.Service).Msg("worker has never answered; it is taken off the roster")
	s.requestRosterWrite()
}

// removable reports whether a worker is gone and cannot run any task of this shard.
func (s *Shard) removable(w *worker, now time.Time) bool {
	if _, unresolved := s.unresolved[w.info.Name]; unresolved || w.listed {
		return false
	}
	if len(w.placements)+len(w.strays) > 0 || !now.After(w.leaseEnd) {
		return false
	}
	return now.Sub(w.lastListed) > unlistedGrace && now.Sub(w.lastAnswer) > unlistedGrace
}

// updateWorker applies the entry of one worker in the list.
func (s *Shard) updateWorker(info lovagestand.FleetWorker, now time.Time) {
	w := s.workers[info.Name]
	if w == nil {
		s.addWorker(info, now)
		return
	}
	if info.Born == 0 && w.info.Born != 0 {
		// The worker states its incarnation in its entries, so this is that of another writer.
		w.entryForeign = true
		return
	}
	w.listed, w.lastListed = true, now
	if w.outdated(info) {
		w.recordOtherIncarnation(info.Born, now)
		return
	}
	if w.info.Ready != info.Ready {
		if info.Ready {
			// No task is placed here while the stored roster says that none is.
			w.inRosterWrite, w.enrolled = false, false
		}
		s.log.Info().Str("worker", string(info.Name)).Bool("ready", info.Ready).Msg("worker changed state")
		s.requestRosterWrite()
	}
	if w.info.Address != info.Address {
		// No task is placed here until the roster is stored with the new address, at
		// which the next owner would find the worker.
		w.inRosterWrite, w.enrolled = false, false
		s.requestRosterWrite()
	}
	w.entryForeign = false
	if info.Heartbeat != w.info.Heartbeat {
		w.lastHeartbeat, w.heartbeatAfter = now, time.Time{}
		if step := info.Heartbeat - w.info.Heartbeat; step > 0 && step <= maxHeartbeatStep {
			w.heartbeatAfter = s.listSentAt
		}
	}
	if info.Ready != w.info.Ready || info.Capacity != w.info.Capacity || info.Service != w.info.Service || !slices.Equal(info.Labels, w.info.Labels) {
		s.workersByName = nil
	}
	if !w.info.Ready && w.info.Born != info.Born {
		w.leftBorn = w.info.Born
	}
	w.free = w.free.Add(info.Capacity).Sub(w.info.Capacity)
	w.info = info
	if !info.Capacity.Fits(w.maxCapacity) {
		w.maxCapacity = w.maxCapacity.Max(info.Capacity)
		s.capacityGrown(w)
	}
}

// capacityGrown has the roster stored if a worker has more capacity than the stored one
// states. In a deployment with teams the next owner counts on that amount, so no task is
// placed here before.
func (s *Shard) capacityGrown(w *worker) {
	if s.rosterCapacity(w) != nil {
		w.inRosterWrite, w.enrolled = false, false
		s.requestRosterWrite()
	}
}

// outdated reports whether an entry of the list must be ignored. The list may be older
// than the last answer, so an entry of another incarnation than the one that answers
// is used only while the worker is unresponsive, for its address.
func (w *worker) outdated(info lovagestand.FleetWorker) bool {
	return w.replacedIncarnations[info.Born] || !w.unresponsive && !w.mayBeIncarnation(info.Born)
}

// recordOtherIncarnation records an incarnation that is listed and has not answered.
func (w *worker) recordOtherIncarnation(born int64, now time.Time) {
	if !w.replacedIncarnations[born] && w.otherIncarnation == 0 {
		w.otherIncarnation, w.otherIncarnationAt = born, now
	}
}

// resolveIncarnation records that an incarnation has answered a hold that was sent at
// begun. An incarnation that was listed before that time and is not the one that
// answered is a former one.
func (w *worker) resolveIncarnation(born int64, begun time.Time) {
	if w.otherIncarnation == 0 || !begun.After(w.otherIncarnationAt) {
		return
	}
	if born != 0 && born != w.otherIncarnation {
		w.replacedIncarnations[w.otherIncarnation] = true
	}
	w.otherIncarnation = 0
}

// listMatches reports whether the worker's entry in the list may describe the
// incarnation that answers.
func (w *worker) listMatches() bool { return w.mayBeIncarnation(w.info.Born) }

// mayBeIncarnation reports whether born may identify the incarnation that answers. It
// returns false only if both are known and differ.
func (w *worker) mayBeIncarnation(born int64) bool {
	return born == 0 || w.born == 0 || born == w.born
}

// addFormerWorkers adds the workers that a former term may have given tasks to and that
// are not listed now, and starts to send holds to them.
func (s *Shard) addFormerWorkers() {
	for name, former := range s.unresolved {
		if s.workers[name] == nil {
			info := lovagestand.FleetWorker{WorkerIncarnation: lovagestand.WorkerIncarnation{Name: name}, Address: former.Address, Ready: !former.Leaving}
			s.addWorker(info, time.Time{})
		}
	}
}

// addWorker adds a worker and starts to send holds to it. A zero time means that the
// worker is not listed.
func (s *Shard) addWorker(info lovagestand.FleetWorker, now time.Time) {
	ctx, cancel := context.WithCancel(s.ctx)
	w := &worker{
		addedAt: time.Now(), info: info, free: info.Capacity, maxCapacity: s.formerCapacity(info), cancel: cancel, listed: !now.IsZero(), lastListed: now,
		placements: map[string]*placement{}, strays: map[string]int64{}, replacedIncarnations: map[int64]bool{}, acknowledged: make(chan struct{}, 1),
		connections: s.formerConnections[info.Name],
	}
	if w.connections.former == 0 {
		w.connections.formerBorn = info.Born
	}
	s.workers[info.Name] = w
	s.workersByName = nil
	s.log.Info().Str("worker", string(info.Name)).Str("address", info.Address).Str("rack", string(info.Rack)).Msg("worker added")
	s.requestRosterWrite()
	go s.holdLoop(ctx, w)
}

// requestRosterWrite requests a write of the roster.
func (s *Shard) requestRosterWrite() {
	s.rosterChanges++
	s.requestWrite()
}
