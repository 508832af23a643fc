package shard_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/runner"
)

// linkFault is what happens to orders on a link, or where no worker listens.
type linkFault int

// The faults of a link. Those from linkResets on may leave the order
// executed; linkMixes is another one for each order.
const (
	linkWorks linkFault = iota
	linkSilent
	linkRefuses
	linkUnhealthy
	linkDropsAndResets
	linkResets
	linkLosesReplies
	linkIsLate
	linkMixes
	linkFaults
)

// drainTime is how long workers serve after the list says that they are about to leave.
const drainTime = 2 * time.Second

// maxLatency bounds how long an order, or its reply, takes on a link that works, in
// milliseconds.
const maxLatency = 25

// The kinds of orders.
const (
	orderStart = "start"
	orderStop  = "stop"
	orderHold  = "hold"
)

// link is the state of a link: a share of the orders, in percent, meets a fault until a time.
type link struct {
	fault linkFault
	share int
	until time.Time
	// spared holds the kinds of orders that meet no fault.
	spared []string
}

// listening is a worker, up or not, with its entry in the list.
type listening struct {
	// info is how the worker describes itself, entry its last heartbeat, sent at beatAt.
	info, entry lovagestand.FleetWorker
	beatAt      time.Time
	up          bool
	// whenDown is what happens to orders while nothing listens at the address.
	whenDown linkFault
	// listed reports whether there is an entry, overwritten whether another writer has
	// overwritten it.
	listed, overwritten bool
	silentUntil         time.Time
	// leavingSince is when the list first said that it is about to leave.
	leavingSince time.Time
}

// world is a cell whose owners, workers, links and store fail.
type world struct {
	*cell
	// schedule draws events, faults what happens to single calls.
	schedule, faults *sharedRandom
	all              []*listening
	owners           []*worldOwner
	// storeFails is what happens to commits until storeFailsUntil; guarded by mu.
	storeFails      int
	storeFailsUntil time.Time
	// names and longRunning are the numbers of workers and of long-running jobs so far.
	names, longRunning int
	// focus is the worker that was drawn last.
	focus *listening
	ended chan struct{}
}

// worldOwner is an owner with its own links; those of the owner of the shard come last.
type worldOwner struct {
	*owner
	*runner.Fleet
	world *world
	links map[lovagestand.WorkerName]link
	// killed and cutOff report whether the process is gone, or has no path to the store.
	killed, cutOff atomic.Bool
	// suspendedUntil and replacedUntil bound when the ownership is not, or no longer, assured.
	suspendedUntil, replacedUntil time.Time
}

// worldStore is the store as one owner reaches it.
type worldStore struct {
	lovagestand.Keyspace
	owner *worldOwner
}

func (s worldStore) Commit(ctx context.Context, t lovagestand.Transaction) (lovagestand.Revision, error) {
	if s.owner.killed.Load() || s.owner.cutOff.Load() {
		return 0, noReply(ctx)
	}
	return s.Keyspace.Commit(ctx, t)
}

func noReply(ctx context.Context) error {
	<-ctx.Done()
	return &lovagestand.UnavailableError{System: "worker", Reason: ctx.Err().Error()}
}

// begin begins the term of the next owner.
func (w *world) begin() {
	o := &worldOwner{Fleet: w.fleet, world: w, links: map[lovagestand.WorkerName]link{}}
	w.storeWrapper = func(keys lovagestand.Keyspace) lovagestand.Keyspace { return worldStore{keys, o} }
	w.keys.SetFault(nil)
	if former, until := w.owner(), time.Now().Add(w.upTo(overlap)); former != nil {
		w.locked(func() { former.replacedUntil = until })
		if w.schedule.IntN(4) > 0 {
			o.links = maps.Clone(former.links)
		}
	}
	o.owner = w.beginTerm(fmt.Sprint("owner", len(w.owners)), func(d *shard.Deps) { d.Fleet, d.Assured = o, o.assured })
	w.locked(func() { w.owners = append(w.owners, o) })
	w.keys.SetFault(w.storeFault)
}

// owner returns the owner of the shard.
func (w *world) owner() *worldOwner {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.owners) == 0 {
		return nil
	}
	return w.owners[len(w.owners)-1]
}

func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// upTo draws a duration.
func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.schedule.IntN(int(d.Milliseconds()))) * time.Millisecond
}

func (o *worldOwner) assured() bool {
	o.world.mu.Lock()
	defer o.world.mu.Unlock()
	now := time.Now()
	return now.After(o.suspendedUntil) && (o.replacedUntil.IsZero() || now.Before(o.replacedUntil))
}

// listener returns the worker that listens at an address, or the last one that did.
func (w *world) listener(address string) *listening {
	var found *listening
	for _, l := range w.all {
		if l.info.Address == address && (found == nil || !found.up) {
			found = l
		}
	}
	return found
}

// meet returns what happens to an order for a worker, and whether another one answers.
func (o *worldOwner) meet(target lovagestand.FleetWorker, order string) (fault linkFault, elsewhere bool) {
	w := o.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.killed.Load() {
		return linkSilent, false
	}
	l := w.listener(target.Address)
	if l == nil || !l.up {
		if l == nil || l.whenDown == linkWorks {
			return linkSilent, false
		}
		return l.whenDown, false
	}
	state := o.links[l.info.Name]
	if time.Now().Before(state.until) && !slices.Contains(state.spared, order) && w.faults.IntN(100) < state.share {
		fault = state.fault
		if fault == linkMixes {
			fault = linkFault(1 + w.faults.IntN(int(linkMixes)-1))
		}
	}
	return fault, l.info.Name != target.Name
}

// send sends an order over a link.
func send[R any](ctx context.Context, o *worldOwner, target lovagestand.FleetWorker, order string, call func(context.Context) (R, error)) (R, error) {
	var none R
	fault, elsewhere := o.meet(target, order)
	reset := &lovagestand.UnavailableError{System: "worker", Reason: "reset", Reset: true}
	switch {
	case fault == linkSilent:
		return none, noReply(ctx)
	case fault == linkRefuses:
		return none, &lovagestand.UnavailableError{System: "worker", Reason: "connection refused", Unsent: true}
	case fault == linkUnhealthy && !elsewhere:
		return none, &lovagestand.OrderRefusedError{Worker: target.Name, Reason: lovagestand.RefusalUnhealthy}
	case fault == linkDropsAndResets:
		return none, reset
	case elsewhere:
		return none, &lovagestand.OrderRefusedError{Worker: target.Name, Reason: lovagestand.RefusalRestarted}
	case fault == linkResets, fault == linkLosesReplies, fault == linkIsLate:
		lateness := time.Duration(0)
		if fault == linkIsLate {
			lateness = time.Duration(o.world.faults.IntN(6000)) * time.Millisecond
		}
		o.world.executeLater(target.Name, lateness, func(ctx context.Context) { _, _ = call(ctx) })
		if fault == linkResets || fault == linkIsLate && o.world.faults.IntN(2) == 0 {
			return none, reset
		}
		return none, noReply(ctx)
	}
	// Orders and replies on other connections may overtake these.
	pause.For(ctx, time.Duration(o.world.faults.IntN(maxLatency))*time.Millisecond)
	reply, err := call(ctx)
	pause.For(ctx, time.Duration(o.world.faults.IntN(maxLatency))*time.Millisecond)
	switch fault, _ := o.meet(target, order); fault {
	case linkWorks, linkUnhealthy, linkIsLate:
		return reply, err
	case linkSilent, linkLosesReplies:
		return none, noReply(ctx)
	}
	return none, reset
}

// executeLater executes an order unless the process that received it ends before.
func (w *world) executeLater(name lovagestand.WorkerName, after time.Duration, call func(context.Context)) {
	born := w.fleet.Born(name)
	execute := func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if w.fleet.Born(name) == born {
			call(ctx)
		}
	}
	if after == 0 {
		execute()
		return
	}
	time.AfterFunc(after, execute)
}

func (o *worldOwner) Start(ctx context.Context, w lovagestand.FleetWorker, order lovagestand.Order) (lovagestand.WorkerClock, error) {
	return send(ctx, o, w, orderStart, func(ctx context.Context) (lovagestand.WorkerClock, error) { return o.Fleet.Start(ctx, w, order) })
}

func (o *worldOwner) Stop(ctx context.Context, w lovagestand.FleetWorker, task string, run int64, epoch lovagestand.Epoch) (lovagestand.WorkerClock, error) {
	return send(ctx, o, w, orderStop, func(ctx context.Context) (lovagestand.WorkerClock, error) {
		return o.Fleet.Stop(ctx, w, task, run, epoch)
	})
}

func (o *worldOwner) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	return send(ctx, o, w, orderHold, func(ctx context.Context) (lovagestand.HoldReply, error) { return o.Fleet.Hold(ctx, w, r) })
}

// add starts a worker under a new name at an address, or at a new one.
func (w *world) add(address string) {
	l := &listening{}
	l.info.Name = lovagestand.WorkerName(fmt.Sprint("w", w.names))
	w.names++
	l.info.Address = address
	w.mu.Lock()
	w.all = append(w.all, l)
	// The entries of the list contain heartbeats already.
	w.silentSince[l.info.Name] = time.Time{}
	w.mu.Unlock()
	w.start(l)
}

// start starts a worker under its name.
func (w *world) start(l *listening) {
	address := l.info.Address
	info := w.fleet.Add(l.info.Name, lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 1000})
	w.mu.Lock()
	if at := w.listener(address); address == "" || at != nil && at != l && at.up {
		address = fmt.Sprint(info.Name, "/", info.Born)
	}
	info.Address = address
	l.info, l.up, l.silentUntil = info, true, time.Time{}
	l.beat()
	w.mu.Unlock()
}

// beat writes the entry of a worker.
func (l *listening) beat() {
	l.info.Heartbeat++
	l.entry, l.beatAt, l.listed, l.overwritten = l.info, time.Now(), true, false
	if l.info.Ready {
		l.leavingSince = time.Time{}
	} else if l.leavingSince.IsZero() {
		l.leavingSince = time.Now()
	}
}

// keepList sends the heartbeats and removes the entries that have expired, until the end.
func (w *world) keepList() {
	for {
		select {
		case <-w.ended:
			return
		case <-time.After(50 * time.Millisecond):
		}
		w.mu.Lock()
		now := time.Now()
		for _, l := range w.all {
			if l.up && now.After(l.silentUntil) && now.Sub(l.beatAt) >= heartbeatInterval {
				l.beat()
			}
			if now.Sub(l.beatAt) > 3*heartbeatInterval && !l.overwritten {
				l.listed = false
			}
		}
		w.writeList()
		w.mu.Unlock()
	}
}

// writeList makes the list contain the entries; the caller holds mu.
func (w *world) writeList() {
	w.workers, w.undecodable = nil, nil
	for _, l := range w.all {
		switch {
		case l.overwritten:
			w.undecodable = append(w.undecodable, l.info.Name)
		case l.listed:
			w.workers = append(w.workers, l.entry)
		}
	}
}

// setReady sets whether a worker is about to leave, and writes its entry if it can.
func (w *world) setReady(l *listening, ready bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.info.Ready = ready
	if time.Now().After(l.silentUntil) {
		l.beat()
	}
	w.writeList()
}

// mayLeave reports whether a worker has been about to leave for long enough.
func (l *listening) mayLeave() bool {
	return l.up && !l.info.Ready && !l.leavingSince.IsZero() && time.Since(l.leavingSince) > drainTime
}

// leave makes a worker that is about to leave exit and remove its entry.
func (w *world) leave(l *listening) {
	w.fleet.Leave(l.info.Name)
	w.mu.Lock()
	defer w.mu.Unlock()
	l.up, l.listed, l.overwritten = false, false, false
	w.writeList()
}

// pick draws a worker for which a condition holds; nil if there is none. It mostly draws the
// same one, so that what happens there combines and others can take over its tasks.
func (w *world) pick(condition func(*listening) bool) *listening {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.focus != nil && condition(w.focus) && w.schedule.IntN(6) > 0 {
		return w.focus
	}
	candidates := slices.DeleteFunc(slices.Clone(w.all), func(l *listening) bool { return !condition(l) })
	if len(candidates) == 0 {
		return nil
	}
	w.focus = candidates[w.schedule.IntN(len(candidates))]
	return w.focus
}
