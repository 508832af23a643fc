// Package runner stands in for the platform's workers: they start what they
// are told, fence orders by epoch, run under a lease on their own clock and
// list numbered ends. It notes every rule that the scheduler breaks.
package runner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
)

// Fault says what happens to one order.
type Fault int

// The faults of an order.
const (
	FaultNone Fault = iota
	// FaultRefused refuses the order as an unhealthy worker does.
	FaultRefused
	// FaultLostRequest does nothing and answers nothing.
	FaultLostRequest
	// FaultLostReply does what was asked and answers nothing.
	FaultLostReply
	// FaultLate answers nothing and does what was asked when Settle is called.
	FaultLate
)

// Fleet is a number of stand-in workers. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	workers map[lovagestand.WorkerName]*worker
	needs   func(order lovagestand.Order) lovagestand.Resources
	work    func(order lovagestand.Order) (time.Duration, lovagestand.RunEnding)
	fault   func(worker lovagestand.WorkerName, order string) Fault
	late    []func()
	// done are the tasks of which a run has ended done, by name.
	done       map[string]bool
	started    map[string]bool
	running    map[string]int
	starts     int
	violations []string
}

type worker struct {
	name     lovagestand.WorkerName
	born     int64
	begun    time.Time
	capacity lovagestand.Resources
	epoch    lovagestand.Epoch
	until    time.Time
	runs     map[string]*run
	ended    []lovagestand.EndedTask
	number   int64
	// seen is the highest number acknowledged: ends up to it are dropped.
	seen    int64
	highest map[string]int64
	changed chan struct{}
	cut     bool
	life    context.Context
	kill    context.CancelFunc
}

type run struct {
	number int64
	needs  lovagestand.Resources
	timer  *time.Timer
}

// New returns a fleet without workers. Needs tells what a run takes; work how
// long it takes and how it ends.
func New(needs func(lovagestand.Order) lovagestand.Resources, work func(lovagestand.Order) (time.Duration, lovagestand.RunEnding)) *Fleet {
	return &Fleet{
		workers: map[lovagestand.WorkerName]*worker{}, needs: needs, work: work,
		done: map[string]bool{}, started: map[string]bool{}, running: map[string]int{},
	}
}

// Add starts a worker, or starts it again with nothing left of before.
func (f *Fleet) Add(name lovagestand.WorkerName, capacity lovagestand.Resources) lovagestand.FleetWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if former := f.workers[name]; former != nil {
		f.crash(former)
	}
	life, kill := context.WithCancel(context.Background())
	w := &worker{
		name: name, born: time.Now().UnixMilli(), begun: time.Now(), capacity: capacity, runs: map[string]*run{},
		highest: map[string]int64{}, changed: make(chan struct{}), life: life, kill: kill,
	}
	f.workers[name] = w
	return lovagestand.FleetWorker{
		WorkerLife: lovagestand.WorkerLife{Name: name, Born: w.born}, Service: "glazedesk", Address: string(name),
		Rack: "r1-1", Capacity: capacity, Ready: true,
	}
}

// Crash ends a worker; nothing answers any more.
func (f *Fleet) Crash(name lovagestand.WorkerName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crash(f.workers[name])
	delete(f.workers, name)
}

func (f *Fleet) crash(w *worker) {
	w.kill()
	for task, r := range w.runs {
		r.timer.Stop()
		f.running[task]--
	}
	clear(w.runs)
	close(w.changed)
	w.changed = make(chan struct{})
}

// Cut has a worker run on without hearing anything, or ends that.
func (f *Fleet) Cut(name lovagestand.WorkerName, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[name].cut = cut
}

// SetFault has fault decide the fate of each order; nil lets all pass.
func (f *Fleet) SetFault(fault func(worker lovagestand.WorkerName, order string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Settle carries out the orders that were held back as late.
func (f *Fleet) Settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, order := range f.late {
		order()
	}
	f.late = nil
}

// Violations returns the rules that were broken.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Starts returns how many runs have begun.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Started returns the names of all tasks that have ever begun, sorted.
func (f *Fleet) Started() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.started))
}

// Running returns how many runs there are now.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += len(w.runs)
	}
	return n
}

func (f *Fleet) violate(format string, arguments ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, arguments...))
}

func (w *worker) clock() int64 {
	return time.Since(w.begun).Milliseconds()
}

// admit finds the worker that an order is for, checks the epoch and decides
// the fault.
func (f *Fleet) admit(target lovagestand.FleetWorker, order string, epoch lovagestand.Epoch) (*worker, Fault, error) {
	w := f.workers[target.Name]
	if w == nil || w.cut {
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
	return w, fault, nil
}

func noAnswer(ctx context.Context) error {
	<-ctx.Done()
	return &lovagestand.UnavailableError{System: "worker", Reason: ctx.Err().Error()}
}

// Start implements [lovagestand.Fleet].
func (f *Fleet) Start(ctx context.Context, target lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.Clock, error) {
	f.mu.Lock()
	w, fault, err := f.admit(target, "start", o.Epoch)
	if err != nil {
		f.mu.Unlock()
		return lovagestand.Clock{}, err
	}
	switch fault {
	case FaultNone:
		defer f.mu.Unlock()
		return lovagestand.Clock{Millis: w.clock(), Born: w.born}, f.start(w, o)
	case FaultLostReply:
		_ = f.start(w, o)
	case FaultLate:
		f.late = append(f.late, func() {
			// A worker that has crashed since has forgotten the order.
			if w.life.Err() == nil {
				_ = f.start(w, o)
			}
		})
	}
	f.mu.Unlock()
	return lovagestand.Clock{}, noAnswer(ctx)
}

func (f *Fleet) start(w *worker, o lovagestand.Order) error {
	refuse := func(reason lovagestand.RefusalReason) error {
		return &lovagestand.OrderRefusedError{Worker: w.name, Reason: reason}
	}
	if o.Epoch < w.epoch {
		return refuse(lovagestand.RefusalFenced)
	}
	w.epoch = o.Epoch
	late := o.Until <= w.clock()
	if !late {
		f.extend(w, o.Until)
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return nil
	}
	if o.Run <= w.highest[o.Task] {
		return refuse(lovagestand.RefusalStaleRun)
	}
	if late {
		return refuse(lovagestand.RefusalLate)
	}
	f.check(w, o)
	duration, ending := f.work(o)
	r := &run{number: o.Run, needs: f.needs(o)}
	r.timer = time.AfterFunc(duration, func() { f.end(w, o.Task, o.Run, ending) })
	w.runs[o.Task] = r
	w.highest[o.Task] = o.Run
	f.running[o.Task]++
	f.started[o.Task] = true
	f.starts++
	return nil
}

// check notes what a start breaks.
func (f *Fleet) check(w *worker, o lovagestand.Order) {
	if f.running[o.Task] > 0 {
		f.violate("two runs of %s at the same time", o.Task)
	}
	if f.done[o.Task] {
		f.violate("%s starts after it was done", o.Task)
	}
	taken := f.needs(o)
	for _, r := range w.runs {
		taken = taken.Add(r.needs)
	}
	if !taken.Fits(w.capacity) {
		f.violate("%s brings %s over its capacity", o.Task, w.name)
	}
}

// MaxLease is the longest lease that a worker takes.
const MaxLease = 10 * time.Second

func (f *Fleet) extend(w *worker, until int64) {
	at := w.begun.Add(time.Duration(until) * time.Millisecond)
	if longest := time.Now().Add(MaxLease); at.After(longest) {
		at = longest
	}
	if at.Before(w.until) {
		return
	}
	w.until = at
	time.AfterFunc(time.Until(at), func() { f.lapse(w) })
}

func (f *Fleet) lapse(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(w.until) {
		return
	}
	for task, r := range w.runs {
		r.timer.Stop()
		f.finish(w, task, r.number, lovagestand.EndingLapsed)
	}
}

func (f *Fleet) end(w *worker, task string, number int64, ending lovagestand.RunEnding) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := w.runs[task]; r == nil || r.number != number {
		return
	}
	f.finish(w, task, number, ending)
}

func (f *Fleet) finish(w *worker, task string, number int64, ending lovagestand.RunEnding) {
	delete(w.runs, task)
	f.running[task]--
	w.number++
	w.ended = append(w.ended, lovagestand.EndedTask{Number: w.number, Task: task, Run: number, Ending: ending})
	close(w.changed)
	w.changed = make(chan struct{})
	f.acknowledge(w, w.seen)
}

// Stop implements [lovagestand.Fleet].
func (f *Fleet) Stop(ctx context.Context, target lovagestand.FleetWorker, task string, number int64, epoch lovagestand.Epoch) (lovagestand.Clock, error) {
	f.mu.Lock()
	w, fault, err := f.admit(target, "stop", epoch)
	if err != nil {
		f.mu.Unlock()
		return lovagestand.Clock{}, err
	}
	if fault == FaultNone || fault == FaultLostReply {
		w.epoch = epoch
		w.highest[task] = max(w.highest[task], number)
		if r := w.runs[task]; r != nil && r.number == number {
			r.timer.Stop()
			f.finish(w, task, number, lovagestand.EndingStopped)
		}
	}
	if fault == FaultNone {
		defer f.mu.Unlock()
		return lovagestand.Clock{Millis: w.clock(), Born: w.born}, nil
	}
	f.mu.Unlock()
	return lovagestand.Clock{}, noAnswer(ctx)
}

// Hold implements [lovagestand.Fleet].
func (f *Fleet) Hold(ctx context.Context, target lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.Holding, error) {
	f.mu.Lock()
	w, fault, err := f.admit(target, "hold", r.Epoch)
	if err != nil || fault != FaultNone && fault != FaultLostReply {
		f.mu.Unlock()
		if err != nil {
			return lovagestand.Holding{}, err
		}
		return lovagestand.Holding{}, noAnswer(ctx)
	}
	w.epoch = max(w.epoch, r.Epoch)
	if r.Born != 0 && r.Born != w.born {
		// No connection to the former life leads here.
		r.Seen, r.Until, r.Wait = 0, 0, 0
	}
	if r.Until > 0 {
		f.extend(w, r.Until)
	}
	f.acknowledge(w, r.Seen)
	changed := w.changed
	if len(w.ended) > 0 {
		r.Wait = 0
	}
	f.mu.Unlock()
	if fault == FaultLostReply {
		return lovagestand.Holding{}, noAnswer(ctx)
	}
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return lovagestand.Holding{}, noAnswer(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.cut || w.life.Err() != nil {
		return lovagestand.Holding{}, &lovagestand.UnavailableError{System: "worker", Reason: "reset"}
	}
	return w.holding(), nil
}

func (f *Fleet) acknowledge(w *worker, seen int64) {
	w.seen = max(w.seen, seen)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > w.seen {
			kept = append(kept, e)
			continue
		}
		if e.Ending == lovagestand.EndingDone {
			f.done[e.Task] = true
		}
	}
	w.ended = kept
}

// endsPerAnswer is how many ends one answer lists.
const endsPerAnswer = 500

func (w *worker) holding() lovagestand.Holding {
	h := lovagestand.Holding{Clock: w.clock(), Born: w.born, Ended: slices.Clone(w.ended[:min(len(w.ended), endsPerAnswer)])}
	for task, r := range w.runs {
		h.Running = append(h.Running, lovagestand.RunningTask{Task: task, Run: r.number, Percent: 100})
	}
	slices.SortFunc(h.Running, func(a, b lovagestand.RunningTask) int { return strings.Compare(a.Task, b.Task) })
	return h
}
