package shard

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

const (
	// preferredLease is the lease that workers are given where the platform
	// allows it: it outlives a takeover and cuts of some seconds.
	preferredLease = 8 * time.Second
	// clockDriftFactor is how much slower than ours a worker's clock may run.
	clockDriftFactor = 1.02
	// leaseSlack covers what rounding and late timers add to a lease.
	leaseSlack = 150 * time.Millisecond
	// holdWait is how long a worker waits for an end before it answers.
	holdWait = time.Second
	// holdTimeout bounds a hold beyond that wait.
	holdTimeout = 700 * time.Millisecond
	// openFor is how long after its last answer a worker gets new tasks.
	openFor = holdWait + holdTimeout
	// extendFor is how long after its last answer a worker's lease is still
	// prolonged, by an owner that stood still; later holds only look.
	extendFor = 2500 * time.Millisecond
	// holdRetryDelay spaces holds of a worker that does not answer.
	holdRetryDelay = 200 * time.Millisecond
	// unlistedGrace is how long a worker that answers may be missing in the list.
	unlistedGrace = 4 * time.Second
	// heartbeatMargin covers how late a heartbeat and its absence are seen here,
	// beside the time between two readings of the list.
	heartbeatMargin = 700 * time.Millisecond
	// acknowledgeWait is how long a hold waits for the store to keep the ends seen.
	acknowledgeWait = 150 * time.Millisecond
)

// worker is a worker under one name, through all its lives.
type worker struct {
	info lovagestand.FleetWorker // as last listed
	// born is the life that answers, 0 while none has told; replaced are the
	// lives before it, which are never believed again.
	born                 int64
	replacedIncarnations map[int64]bool
	// otherIncarnation is another life that the list told of at otherLifeAt, 0 for none: until
	// the next answer it is open which of the two is the later one.
	otherIncarnation   int64
	otherIncarnationAt time.Time

	cancel        context.CancelFunc
	listed        bool
	lastListed    time.Time // when it was last listed
	lastHeartbeat time.Time // when its heartbeat was last seen to change

	contacted           bool
	unresponsive        bool // the last hold has failed
	lastAnswer          time.Time
	holdSentAt          time.Time // when the last hold that was answered was sent
	clock               int64
	clockAt             time.Time
	leaseEnd            time.Time
	ackedEnds, seenEnds int64
	pendingAcks         []pendingAck
	acknowledged        chan struct{}

	placements map[string]*placement
	// free is the capacity less what placements need.
	free lovagestand.Resources
	// passIndex is the worker's place in the pass under way.
	passIndex int
	// strays are runs here that belong to nothing this term knows; their
	// needs are not known, so nothing new is placed beside them.
	strays map[string]int64

	inRosterWrite, enrolled bool
	health
}

// pendingAck is a number of ends that may be acknowledged once the write
// queue's entry at is written.
type pendingAck struct {
	queuePosition, number int64
}

// placement is a run of a task that holds room on a worker.
type placement struct {
	entry *jobEntry
	task  job.Task
	name  string
	run   int64
	needs lovagestand.Resources

	worker          *worker
	placedAt        time.Time
	expectedRunTime time.Duration
	settledAt       time.Time // when the worker's answer to the start arrived
	checkpoint      string
	checkpointAt    time.Time
	stopRequested   bool // an order to stop is to be sent or was sent
	startPending    bool
}

// leaseDuration returns the lease that workers are given.
func (s *Shard) leaseDuration() time.Duration {
	return min(preferredLease, s.limits.MaxLease)
}

// leaseUpperBound is how long a lease may last here, by the slowest clock.
func (s *Shard) leaseUpperBound() time.Duration {
	return onSlowestClock(s.leaseDuration())
}

// longestLease is how long a lease may last here that an order without an answer
// may have given: a life that began meanwhile takes its end, told by the clock of
// the former one, for far away and shortens it only to the longest lease that the
// platform allows, from when the order arrives.
func (s *Shard) longestLease() time.Duration {
	return orderTimeout + onSlowestClock(s.limits.MaxLease)
}

// onSlowestClock returns how long a time on a worker's clock may last here.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d)*clockDriftFactor) + leaseSlack
}

// extendLease prolongs a worker's lease from now on and returns its end on the
// worker's clock, for the order that carries it.
func (s *Shard) extendLease(w *worker, now time.Time) int64 {
	w.leaseEnd = later(w.leaseEnd, now.Add(s.leaseUpperBound()))
	return w.workerTime(now) + s.leaseDuration().Milliseconds()
}

// recordLease notes the lease that a start has given, by the worker's clock in its
// answer; an answer without a clock leaves the longest one possible.
func (s *Shard) recordLease(w *worker, order lovagestand.Order, clock int64) {
	lease := s.longestLease()
	if clock > 0 {
		lease = onSlowestClock(min(s.limits.MaxLease, time.Duration(order.Until-clock)*time.Millisecond))
	}
	w.leaseEnd = later(w.leaseEnd, time.Now().Add(lease))
}

// workerTime returns the worker's clock at t, as far as known.
func (w *worker) workerTime(t time.Time) int64 {
	return w.clock + t.Sub(w.clockAt).Milliseconds()
}

// open reports whether the worker may get new tasks.
func (w *worker) open(now time.Time) bool {
	if !w.contacted || w.unresponsive || w.otherIncarnation != 0 || !w.enrolled || !w.info.Ready || len(w.strays) > 0 || now.Sub(w.lastAnswer) > openFor {
		return false
	}
	if !w.listed && now.Sub(w.lastListed) > unlistedGrace {
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
		s.updateWorker(info, now)
	}
	if !s.workersListed {
		s.workersListed = true
		s.addFormerWorkers()
	}
	for name, w := range s.workers {
		if s.hasLeft(w, now) {
			s.markGone(w, "it has left")
		}
		if s.removable(w, now) {
			s.log.Info().Str("worker", string(name)).Msg("worker is gone")
			w.cancel()
			delete(s.workers, name)
			s.requestRosterWrite()
		}
	}
	s.wake()
}

// hasLeft reports whether a worker that was about to leave has done so: its entry
// is gone although its heartbeat was not silent for long enough to lapse.
func (s *Shard) hasLeft(w *worker, now time.Time) bool {
	return !w.listed && w.listMatches() && !w.info.Ready && !w.lastHeartbeat.IsZero() && now.Sub(w.lastHeartbeat) < s.limits.HeartbeatTimeout-s.limits.ListInterval-heartbeatMargin
}

// removable reports whether a worker has left and cannot run anything of ours.
func (s *Shard) removable(w *worker, now time.Time) bool {
	if _, unresolved := s.unresolved[w.info.Name]; unresolved || w.listed {
		return false
	}
	if len(w.placements)+len(w.strays) > 0 || !now.After(w.leaseEnd) {
		return false
	}
	return now.Sub(w.lastListed) > unlistedGrace && now.Sub(w.lastAnswer) > unlistedGrace
}

func (s *Shard) updateWorker(info lovagestand.FleetWorker, now time.Time) {
	w := s.workers[info.Name]
	if w == nil {
		s.addWorker(info, now)
		return
	}
	w.listed, w.lastListed = true, now
	if w.outdated(info) {
		w.recordOtherIncarnation(info.Born, now)
		return
	}
	if w.info.Ready != info.Ready {
		s.log.Info().Str("worker", string(info.Name)).Bool("ready", info.Ready).Msg("worker changed state")
		s.requestRosterWrite()
	}
	if w.info.Address != info.Address {
		// Nothing is placed here until the next owner would find it.
		w.inRosterWrite, w.enrolled = false, false
		s.requestRosterWrite()
	}
	if info.Heartbeat != w.info.Heartbeat {
		w.lastHeartbeat = now
	}
	w.free = w.free.Add(info.Capacity).Sub(w.info.Capacity)
	w.info = info
}

// outdated reports whether an entry of the list is to be passed over: a list may
// be older than an answer, so another life than the one that answers is not
// believed, and only followed to its address while nothing answers.
func (w *worker) outdated(info lovagestand.FleetWorker) bool {
	return w.replacedIncarnations[info.Born] || !w.unresponsive && !w.mayBeIncarnation(info.Born)
}

// recordOtherIncarnation notes a life that the list tells of and that has not answered.
func (w *worker) recordOtherIncarnation(born int64, now time.Time) {
	if !w.replacedIncarnations[born] && w.otherIncarnation == 0 {
		w.otherIncarnation, w.otherIncarnationAt = born, now
	}
}

// resolveIncarnation notes that a life has answered a hold that was sent at begun. A life that
// was listed before and does not answer is a former one.
func (w *worker) resolveIncarnation(born int64, begun time.Time) {
	if w.otherIncarnation == 0 || !begun.After(w.otherIncarnationAt) {
		return
	}
	if born != 0 && born != w.otherIncarnation {
		w.replacedIncarnations[w.otherIncarnation] = true
	}
	w.otherIncarnation = 0
}

// listMatches reports whether the list tells of the life that answers, as far as
// known.
func (w *worker) listMatches() bool { return w.mayBeIncarnation(w.info.Born) }

// mayBeIncarnation reports whether a life may be the one that answers.
func (w *worker) mayBeIncarnation(born int64) bool {
	return born == 0 || w.born == 0 || born == w.born
}

// addFormerWorkers begins to hold the workers that a former term may have given
// tasks to and that are not listed now.
func (s *Shard) addFormerWorkers() {
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
		info: info, free: info.Capacity, cancel: cancel, listed: !now.IsZero(), lastListed: now,
		placements: map[string]*placement{}, strays: map[string]int64{}, replacedIncarnations: map[int64]bool{}, acknowledged: make(chan struct{}, 1),
	}
	s.workers[info.Name] = w
	s.log.Info().Str("worker", string(info.Name)).Str("address", info.Address).Str("rack", string(info.Rack)).Msg("worker added")
	s.requestRosterWrite()
	go s.holdLoop(ctx, w)
}

// requestRosterWrite has the roster written.
func (s *Shard) requestRosterWrite() {
	s.rosterChanges++
	s.requestWrite()
}
