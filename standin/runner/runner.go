// Package runner is a stand-in for the platform's workers. They execute orders,
// fence them by epoch, run tasks under a lease on their own clock and list the
// ends of runs with numbers. The package records each rule that the scheduler
// violates.
package runner

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
)

// Fault is the fault that is injected into one order.
type Fault int

// The faults of an order.
const (
	// FaultNone executes the order and replies.
	FaultNone Fault = iota
	// FaultRefused refuses the order with the reason of an unhealthy worker.
	FaultRefused
	// FaultLostRequest drops the order: it has no effect and gets no reply.
	FaultLostRequest
	// FaultLostReply executes the order but sends no reply.
	FaultLostReply
	// FaultLate sends no reply and holds a start back until [Fleet.ApplyLate].
	// Any other order is dropped.
	FaultLate
)

// Fleet is a set of stand-in workers. It is safe for concurrent use.
type Fleet struct {
	mu         sync.Mutex
	workers    map[lovagestand.WorkerName]*worker
	needs      func(order lovagestand.Order) lovagestand.Resources
	work       func(order lovagestand.Order) (time.Duration, lovagestand.RunEnding)
	fault      func(worker lovagestand.WorkerName, order string) Fault
	lateOrders []func()
	// gangSize returns the number of members of a task's gang; 0 if the task
	// has no gang.
	gangSize func(order lovagestand.Order) int
	// checkpoint returns the checkpoint of a run that has worked for a time; empty if the
	// task saves none. stopTime is how long a stop takes.
	checkpoint func(order lovagestand.Order, worked time.Duration) string
	stopTime   time.Duration
	startedAt  time.Time
	runs       []*Run
	// history holds all runs of each task.
	history    map[string][]*Run
	gangs      map[string]*gang
	violations []string

	crashes Crashes
	// crashCounts is how many workers each task has crashed, and startsAfterCrashes
	// how often it was started after too many of them.
	crashCounts, startsAfterCrashes map[string]int
	// down holds the workers that a task has crashed, replaced those of them at
	// whose address another worker answers.
	down, replaced map[lovagestand.WorkerName]bool
}

// Option configures a new [Fleet].
type Option func(*Fleet)

// WithGangs makes the members of a gang wait for each other and end together. The
// function gangSize returns the number of members; 0 for a task without a gang.
func WithGangs(gangSize func(order lovagestand.Order) int) Option {
	return func(f *Fleet) { f.gangSize = gangSize }
}

// WithCheckpoints makes tasks save their progress once per second and when they are
// stopped. The function checkpoint returns the checkpoint of a run that has worked for a
// time; empty for a task that saves none.
func WithCheckpoints(checkpoint func(order lovagestand.Order, worked time.Duration) string) Option {
	return func(f *Fleet) { f.checkpoint = checkpoint }
}

// WithStopTime makes a stop take a time, in which the run continues.
func WithStopTime(d time.Duration) Option {
	return func(f *Fleet) { f.stopTime = d }
}

// checkpointInterval is the time between two checkpoints of a run.
const checkpointInterval = time.Second

type worker struct {
	name      lovagestand.WorkerName
	born      int64
	startedAt time.Time
	capacity  lovagestand.Resources
	// formerCapacities holds the earlier capacities, which the scheduler may assume
	// for some time.
	formerCapacities []formerCapacity
	epoch            lovagestand.Epoch
	leaseEnd         time.Time
	runs             map[string]*run
	ended            []endedRun
	lastEnd          int64
	// acknowledged is the highest number of an end that was acknowledged, and
	// lapses is how often the lease has run out.
	acknowledged int64
	lapses       int
	highestRun   map[string]int64
	changed      chan struct{}
	unreachable  bool
	lifetime     context.Context
	endLifetime  context.CancelFunc
}

type run struct {
	needs  lovagestand.Resources
	order  lovagestand.Order
	worker *worker
	timer  *time.Timer
	gang   *gang
	record *Run
	// stopOrderedAt is when a stop was ordered that is in progress. The run does no more work.
	stopOrderedAt time.Time
}

// endedRun is an end that the worker lists until it is acknowledged. Its lapses
// are those of the worker when the run ended.
type endedRun struct {
	lovagestand.EndedTask
	run    *run
	lapses int
}

// New returns a fleet without workers. The function needs returns the resources
// of a run, and work returns its duration and its ending.
func New(needs func(lovagestand.Order) lovagestand.Resources, work func(lovagestand.Order) (time.Duration, lovagestand.RunEnding), options ...Option) *Fleet {
	f := &Fleet{
		workers: map[lovagestand.WorkerName]*worker{}, needs: needs, work: work, startedAt: time.Now(),
		crashCounts: map[string]int{}, startsAfterCrashes: map[string]int{}, down: map[lovagestand.WorkerName]bool{}, replaced: map[lovagestand.WorkerName]bool{},
		history: map[string][]*Run{}, gangs: map[string]*gang{}, gangSize: func(lovagestand.Order) int { return 0 },
		checkpoint: func(lovagestand.Order, time.Duration) string { return "" },
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Add starts a worker. If there is a worker with that name, it crashes and
// restarts without its earlier state.
func (f *Fleet) Add(name lovagestand.WorkerName, capacity lovagestand.Resources) lovagestand.FleetWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if former := f.workers[name]; former != nil {
		f.crash(former)
	}
	lifetime, endLifetime := context.WithCancel(context.Background())
	w := &worker{
		name: name, born: time.Now().UnixMilli(), startedAt: time.Now(), capacity: capacity, runs: map[string]*run{},
		highestRun: map[string]int64{}, changed: make(chan struct{}), lifetime: lifetime, endLifetime: endLifetime,
	}
	f.workers[name] = w
	return lovagestand.FleetWorker{
		WorkerIncarnation: lovagestand.WorkerIncarnation{Name: name, Born: w.born}, Service: "glazedesk", Address: string(name),
		Rack: "r1-1", Capacity: capacity, Ready: true,
	}
}

// Born returns the incarnation of a worker; 0 if it does not run.
func (f *Fleet) Born(name lovagestand.WorkerName) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[name]; w != nil {
		return w.born
	}
	return 0
}

// Crash ends a worker. It no longer replies.
func (f *Fleet) Crash(name lovagestand.WorkerName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[name]; w != nil {
		f.crash(w)
		delete(f.workers, name)
	}
}

// Leave ends a worker that was about to leave. It no longer replies, and what still runs
// there ends without counting as crashed.
func (f *Fleet) Leave(name lovagestand.WorkerName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[name]; w != nil {
		f.endRuns(w)
		delete(f.workers, name)
	}
}

func (f *Fleet) crash(w *worker) {
	for _, r := range w.runs {
		r.record.WorkerCrashed = true
	}
	for _, e := range w.ended {
		e.run.record.WorkerCrashed = true
	}
	f.endRuns(w)
}

// endRuns ends a worker and all that runs there.
func (f *Fleet) endRuns(w *worker) {
	w.endLifetime()
	for task, r := range w.runs {
		delete(w.runs, task)
		f.recordEnd(r, EndingUnlisted)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// SetUnreachable sets whether orders reach a worker. While they don't, the worker
// continues to run its tasks.
func (f *Fleet) SetUnreachable(name lovagestand.WorkerName, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[name].unreachable = unreachable
}

// SetFault makes a function choose the fault of each order, given its kind, such as
// "start". If the function is nil, no faults are injected.
func (f *Fleet) SetFault(fault func(worker lovagestand.WorkerName, order string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// ApplyLate executes the orders that [FaultLate] held back.
func (f *Fleet) ApplyLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, order := range f.lateOrders {
		order()
	}
	f.lateOrders = nil
}

// Violations returns a text for each rule that the scheduler violated.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// CrashesUnder returns how many workers have crashed that ran the task, or had run it
// and their list of its end was not acknowledged.
func (f *Fleet) CrashesUnder(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.history[task] {
		if r.WorkerCrashed {
			n++
		}
	}
	return n
}

// Starts returns the number of runs that have started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs)
}

// Running returns the number of runs that have not ended.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += len(w.runs)
	}
	return n
}

func (f *Fleet) addViolation(format string, arguments ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, arguments...))
}

func (w *worker) clock() int64 {
	return time.Since(w.startedAt).Milliseconds()
}

// admit returns the worker that an order is for and the fault of the order, which
// is [FaultLostRequest] if the worker is missing or unreachable. It fails if the
// order is refused. The epoch of an order with a fault is not checked here.
func (f *Fleet) admit(target lovagestand.FleetWorker, order string, epoch lovagestand.Epoch) (*worker, Fault, error) {
	if err := f.refuseForDown(target.Name); err != nil {
		return nil, FaultNone, err
	}
	w := f.workers[target.Name]
	if w == nil || w.unreachable {
		return nil, FaultLostRequest, nil
	}
	fault := FaultNone
	if f.fault != nil {
		fault = f.fault(target.Name, order)
	}
	if fault == FaultRefused {
		return nil, fault, &lovagestand.OrderRefusedError{Worker: w.name, Reason: lovagestand.RefusalUnhealthy}
	}
	if fault == FaultNone && epoch < w.epoch {
		return nil, fault, &lovagestand.OrderRefusedError{Worker: w.name, Reason: lovagestand.RefusalFenced}
	}
	if fault == FaultLostReply && epoch < w.epoch {
		// The order is refused, so it has no effect either.
		return w, FaultLostRequest, nil
	}
	return w, fault, nil
}

// noReply waits until ctx ends and returns the error of an order without a reply.
func noReply(ctx context.Context) error {
	<-ctx.Done()
	return &lovagestand.UnavailableError{System: "worker", Reason: ctx.Err().Error()}
}

// Start implements [lovagestand.Fleet].
func (f *Fleet) Start(ctx context.Context, target lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.WorkerClock, error) {
	f.mu.Lock()
	w, fault, err := f.admit(target, "start", o.Epoch)
	if err != nil {
		f.mu.Unlock()
		return lovagestand.WorkerClock{}, err
	}
	switch fault {
	case FaultNone:
		defer f.mu.Unlock()
		return lovagestand.WorkerClock{Millis: w.clock(), Born: w.born}, f.start(w, o, false)
	case FaultLostReply:
		_ = f.start(w, o, false)
	case FaultLate:
		f.lateOrders = append(f.lateOrders, func() {
			// A worker that has crashed in the meantime lost the order.
			if w.lifetime.Err() == nil {
				_ = f.start(w, o, true)
			}
		})
	}
	f.mu.Unlock()
	return lovagestand.WorkerClock{}, noReply(ctx)
}

func (f *Fleet) start(w *worker, o lovagestand.Order, late bool) error {
	refuse := func(reason lovagestand.RefusalReason) error {
		return &lovagestand.OrderRefusedError{Worker: w.name, Reason: reason}
	}
	if o.Epoch < w.epoch {
		return refuse(lovagestand.RefusalFenced)
	}
	w.epoch = o.Epoch
	expired := o.Until <= w.clock()
	if !expired {
		f.extendLease(w, o.Until)
	}
	if r := w.runs[o.Task]; r != nil && r.record.Number == o.Run {
		return nil
	}
	if o.Run <= w.highestRun[o.Task] {
		return refuse(lovagestand.RefusalStaleRun)
	}
	if expired {
		return refuse(lovagestand.RefusalLate)
	}
	record := &Run{Task: o.Task, Number: o.Run, Worker: w.name, Epoch: o.Epoch, Late: late, Begun: time.Now()}
	f.checkStart(w, o, record)
	f.checkCrashBudget(record)
	if former := w.runs[o.Task]; former != nil {
		f.recordEnd(former, EndingUnlisted)
	}
	r := &run{needs: f.needs(o), order: o, worker: w, record: record}
	w.runs[o.Task] = r
	w.highestRun[o.Task] = o.Run
	f.runs = append(f.runs, record)
	f.history[o.Task] = append(f.history[o.Task], record)
	f.scheduleCrash(w, o)
	duration, ending := f.work(o)
	if members := f.gangSize(o); members > 0 {
		f.joinGang(r, members, duration, ending)
		return nil
	}
	r.timer = time.AfterFunc(duration, func() { f.end(r, ending) })
	return nil
}

// checkStart adds a violation for each rule that a start breaks: a task must not
// start while it runs or after its end was acknowledged, and the runs of a worker
// must not exceed its capacity.
func (f *Fleet) checkStart(w *worker, o lovagestand.Order, started *Run) {
	for _, earlier := range f.history[o.Task] {
		if earlier.Ended.IsZero() {
			f.addViolation("TWICE: %s starts while %s", f.describe(started), f.describe(earlier))
		}
		if !earlier.acknowledgedAt.IsZero() {
			f.addViolation("TWICE: %s starts after %s, acknowledged at %.3f", f.describe(started), f.describe(earlier), f.Seconds(earlier.acknowledgedAt))
		}
	}
	taken := f.needs(o)
	for _, r := range w.runs {
		taken = taken.Add(r.needs)
	}
	if !taken.Fits(w.limit(time.Now())) {
		f.addViolation("LIMIT: the start of %s at %.3f exceeds the capacity of %s", o.Task, f.Seconds(time.Now()), w.name)
	}
}

// MaxLease is the longest lease that a worker accepts. A longer lease is cut to it.
const MaxLease = 10 * time.Second

// extendLease extends the lease of a worker to a time on its clock. It never
// shortens the lease.
func (f *Fleet) extendLease(w *worker, until int64) {
	end := w.startedAt.Add(time.Duration(until) * time.Millisecond)
	if latest := time.Now().Add(MaxLease); end.After(latest) {
		end = latest
	}
	if end.Before(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	time.AfterFunc(time.Until(end), func() { f.expireLease(w) })
}

// expireLease ends all runs of a worker, unless its lease was extended after the
// timer was set.
func (f *Fleet) expireLease(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(w.leaseEnd) {
		return
	}
	w.lapses++
	for _, r := range w.runs {
		f.finish(r, lovagestand.EndingLapsed)
	}
}

// end ends a run when its timer fires.
func (f *Fleet) end(r *run, ending lovagestand.RunEnding) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finish(r, ending)
}

// finish ends a run and lists its end. It has no effect if the worker no longer
// holds the run. An end whose number is already acknowledged is not listed.
func (f *Fleet) finish(r *run, ending lovagestand.RunEnding) {
	w := r.worker
	if w.runs[r.record.Task] != r {
		return
	}
	delete(w.runs, r.record.Task)
	f.recordEnd(r, ending)
	w.lastEnd++
	end := endedRun{run: r, lapses: w.lapses, EndedTask: lovagestand.EndedTask{
		Number: w.lastEnd, Task: r.record.Task, Run: r.record.Number, Ending: ending, Checkpoint: f.saved(r, ending),
	}}
	if w.lastEnd <= w.acknowledged {
		f.acknowledgeEnd(w, end)
		return
	}
	w.ended = append(w.ended, end)
	close(w.changed)
	w.changed = make(chan struct{})
}

// saved returns the checkpoint of a run with an ending; the ending is empty while the run
// continues. A run that is not stopped has the last checkpoint that it saved in time.
func (f *Fleet) saved(r *run, ending lovagestand.RunEnding) string {
	worked := time.Since(r.record.Begun)
	if !r.stopOrderedAt.IsZero() {
		worked = r.stopOrderedAt.Sub(r.record.Begun)
	}
	if ending != lovagestand.EndingStopped {
		worked = worked.Truncate(checkpointInterval)
	}
	if worked == 0 {
		return r.order.Checkpoint
	}
	return f.checkpoint(r.order, worked)
}

// stop ends a run after the time that a stop takes.
func (f *Fleet) stop(r *run) {
	if f.stopTime == 0 {
		f.finish(r, lovagestand.EndingStopped)
		return
	}
	if !r.stopOrderedAt.IsZero() {
		return
	}
	r.stopOrderedAt = time.Now()
	if r.timer != nil {
		r.timer.Stop()
	}
	time.AfterFunc(f.stopTime, func() { f.end(r, lovagestand.EndingStopped) })
}

// Stop implements [lovagestand.Fleet].
func (f *Fleet) Stop(ctx context.Context, target lovagestand.FleetWorker, task string, number int64, epoch lovagestand.Epoch) (lovagestand.WorkerClock, error) {
	f.mu.Lock()
	w, fault, err := f.admit(target, "stop", epoch)
	if err != nil {
		f.mu.Unlock()
		return lovagestand.WorkerClock{}, err
	}
	if fault == FaultNone || fault == FaultLostReply {
		w.epoch = epoch
		w.highestRun[task] = max(w.highestRun[task], number)
		if r := w.runs[task]; r != nil && r.record.Number == number {
			f.stop(r)
		}
	}
	if fault == FaultNone {
		defer f.mu.Unlock()
		return lovagestand.WorkerClock{Millis: w.clock(), Born: w.born}, nil
	}
	f.mu.Unlock()
	return lovagestand.WorkerClock{}, noReply(ctx)
}

// Hold implements [lovagestand.Fleet].
func (f *Fleet) Hold(ctx context.Context, target lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	f.mu.Lock()
	w, fault, err := f.admit(target, "hold", r.Epoch)
	if err != nil {
		f.mu.Unlock()
		return lovagestand.HoldReply{}, err
	}
	if fault == FaultNone || fault == FaultLostReply {
		w.epoch = max(w.epoch, r.Epoch)
		if r.Born != 0 && r.Born != w.born {
			// The request is for an earlier incarnation, and no connection to
			// that one leads here. Its acknowledgement, lease and wait are
			// ignored; only its epoch counts.
			r.Seen, r.Until, r.Wait = 0, 0, 0
		}
		if r.Until > 0 {
			f.extendLease(w, r.Until)
		}
		f.acknowledge(w, r.Seen)
	}
	if fault != FaultNone {
		f.mu.Unlock()
		return lovagestand.HoldReply{}, noReply(ctx)
	}
	changed := w.changed
	if len(w.ended) > 0 {
		r.Wait = 0
	}
	f.mu.Unlock()
	if fault == FaultLostReply {
		return lovagestand.HoldReply{}, noReply(ctx)
	}
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return lovagestand.HoldReply{}, noReply(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.unreachable || w.lifetime.Err() != nil {
		return lovagestand.HoldReply{}, &lovagestand.UnavailableError{System: "worker", Reason: "reset"}
	}
	return f.holdReply(w), nil
}

// acknowledge removes the ends with numbers up to seen from the list.
func (f *Fleet) acknowledge(w *worker, seen int64) {
	w.acknowledged = max(w.acknowledged, seen)
	unacknowledged := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > w.acknowledged {
			unacknowledged = append(unacknowledged, e)
			continue
		}
		f.acknowledgeEnd(w, e)
	}
	w.ended = unacknowledged
}

// maxEndsPerReply is the maximum number of ends that one reply lists.
const maxEndsPerReply = 500

func (f *Fleet) holdReply(w *worker) lovagestand.HoldReply {
	h := lovagestand.HoldReply{Clock: w.clock(), Born: w.born}
	for _, e := range w.ended[:min(len(w.ended), maxEndsPerReply)] {
		h.Ended = append(h.Ended, e.EndedTask)
	}
	for task, r := range w.runs {
		h.Running = append(h.Running, lovagestand.RunningTask{
			Task: task, Run: r.record.Number, Percent: 100, Checkpoint: f.saved(r, ""),
		})
	}
	slices.SortFunc(h.Running, func(a, b lovagestand.RunningTask) int { return strings.Compare(a.Task, b.Task) })
	return h
}
