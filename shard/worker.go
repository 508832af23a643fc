package shard

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
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
	// prolonged, by an owner that stood still; later holds only look.
	extendFor = 2500 * time.Millisecond
	// holdRetry spaces holds of a worker that does not answer.
	holdRetry = 200 * time.Millisecond
	// missingFor is how long a worker that answers may be missing in the list.
	missingFor = 4 * time.Second
	// leftMargin covers how late a heartbeat and its absence are seen here,
	// beside the time between two readings of the list.
	leftMargin = 700 * time.Millisecond
	// acknowledgeWait is how long a hold waits for the store to keep the ends seen.
	acknowledgeWait = 150 * time.Millisecond
)

// worker is a worker under one name, through all its lives.
type worker struct {
	info lovagestand.FleetWorker // as last listed
	// born is the life that answers, 0 while none has told; replaced are the
	// lives before it, which are never believed again.
	born     int64
	replaced map[int64]bool
	// otherLife is another life that the list told of at otherLifeAt, 0 for none: until
	// the next answer it is open which of the two is the later one.
	otherLife   int64
	otherLifeAt time.Time

	cancel  context.CancelFunc
	listed  bool
	lastSee time.Time // when it was last listed
	beatAt  time.Time // when its heartbeat was last seen to change

	contacted    bool
	silent       bool // the last hold has failed
	lastAnswer   time.Time
	askedAt      time.Time // when the last hold that was answered was sent
	clock        int64
	clockAt      time.Time
	leaseEnd     time.Time
	acked, seen  int64
	pending      []unacknowledged
	acknowledged chan struct{}

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

// unacknowledged is a number of ends that may be acknowledged once the write
// queue's entry at is written.
type unacknowledged struct {
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
	saved   string
	savedAt time.Time
	stop    bool // an order to stop is to be sent or was sent
	sending bool
}

// lease returns the lease that workers are given.
func (s *Shard) lease() time.Duration {
	return min(wantedLease, s.limits.MaxLease)
}

// fullLease is how long a lease may last here, by the slowest clock.
func (s *Shard) fullLease() time.Duration {
	return slowest(s.lease())
}

// longestLease is how long a lease may last here that an order without an answer
// may have given: a life that began meanwhile takes its end, told by the clock of
// the former one, for far away and shortens it only to the longest lease that the
// platform allows, from when the order arrives.
func (s *Shard) longestLease() time.Duration {
	return orderTimeout + slowest(s.limits.MaxLease)
}

// slowest returns how long a time on a worker's clock may last here.
func slowest(d time.Duration) time.Duration {
	return time.Duration(float64(d)*clockRate) + leaseSlack
}

// extend prolongs a worker's lease from now on and returns its end on the
// worker's clock, for the order that carries it.
func (s *Shard) extend(w *worker, now time.Time) int64 {
	w.leaseEnd = laterOf(w.leaseEnd, now.Add(s.fullLease()))
	return w.workerTime(now) + s.lease().Milliseconds()
}

// leased notes the lease that a start has given, by the worker's clock in its
// answer; an answer without a clock leaves the longest one possible.
func (s *Shard) leased(w *worker, order lovagestand.Order, clock int64) {
	lease := s.longestLease()
	if clock > 0 {
		lease = slowest(min(s.limits.MaxLease, time.Duration(order.Until-clock)*time.Millisecond))
	}
	w.leaseEnd = laterOf(w.leaseEnd, time.Now().Add(lease))
}

// workerTime returns the worker's clock at t, as far as known.
func (w *worker) workerTime(t time.Time) int64 {
	return w.clock + t.Sub(w.clockAt).Milliseconds()
}

// open reports whether the worker may get new tasks.
func (w *worker) open(now time.Time) bool {
	if !w.contacted || w.silent || w.otherLife != 0 || !w.enrolled || !w.info.Ready || len(w.strays) > 0 || now.Sub(w.lastAnswer) > openFor {
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
	return !w.listed && w.described() && !w.info.Ready && !w.beatAt.IsZero() && now.Sub(w.beatAt) < s.limits.HeartbeatTimeout-s.limits.ListInterval-leftMargin
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
	w.listed, w.lastSee = true, now
	if w.outdated(info) {
		w.noteOtherLife(info.Born, now)
		return
	}
	if w.info.Ready != info.Ready {
		s.log.Info().Str("worker", string(info.Name)).Bool("ready", info.Ready).Msg("worker changed state")
		s.enrol()
	}
	if w.info.Address != info.Address {
		// Nothing is placed here until the next owner would find it.
		w.rosterSent, w.enrolled = false, false
		s.enrol()
	}
	if info.Heartbeat != w.info.Heartbeat {
		w.beatAt = now
	}
	w.free = w.free.Add(info.Capacity).Sub(w.info.Capacity)
	w.info = info
}

// outdated reports whether an entry of the list is to be passed over: a list may
// be older than an answer, so another life than the one that answers is not
// believed, and only followed to its address while nothing answers.
func (w *worker) outdated(info lovagestand.FleetWorker) bool {
	return w.replaced[info.Born] || !w.silent && !w.isLife(info.Born)
}

// noteOtherLife notes a life that the list tells of and that has not answered.
func (w *worker) noteOtherLife(born int64, now time.Time) {
	if !w.replaced[born] && w.otherLife == 0 {
		w.otherLife, w.otherLifeAt = born, now
	}
}

// settleLife notes that a life has answered a hold that was sent at begun. A life that
// was listed before and does not answer is a former one.
func (w *worker) settleLife(born int64, begun time.Time) {
	if w.otherLife == 0 || !begun.After(w.otherLifeAt) {
		return
	}
	if born != 0 && born != w.otherLife {
		w.replaced[w.otherLife] = true
	}
	w.otherLife = 0
}

// described reports whether the list tells of the life that answers, as far as
// known.
func (w *worker) described() bool { return w.isLife(w.info.Born) }

// isLife reports whether a life may be the one that answers.
func (w *worker) isLife(born int64) bool {
	return born == 0 || w.born == 0 || born == w.born
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
		placements: map[string]*placement{}, strays: map[string]int64{}, replaced: map[int64]bool{}, acknowledged: make(chan struct{}, 1),
	}
	s.workers[info.Name] = w
	s.log.Info().Str("worker", string(info.Name)).Str("address", info.Address).Str("rack", string(info.Rack)).Msg("worker added")
	s.enrol()
	go s.holdLoop(ctx, w)
}

// enrol has the roster written.
func (s *Shard) enrol() {
	s.rosterAt++
	s.writeSoon()
}
