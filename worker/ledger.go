// Package worker keeps the ledger of a pool's workers: what each has, what is
// taken, and an index that finds a place for a task without scanning.
package worker

import (
	"lovagestand.example/lovagestand"
)

// Row is a worker's place in a [Ledger]; it is reused after [Ledger.Remove].
type Row int32

// None is no row.
const None = Row(-1)

// MaxAccelerators is the most accelerators that are counted on one worker.
const MaxAccelerators = 255

// Ledger counts what the tasks of a pool take of each worker. It never takes
// more than a worker has except by [Ledger.Adopt]. It is not safe for
// concurrent use.
type Ledger struct {
	rows            []row
	unused          []Row
	index           index
	types           []workerType
	sites           []site
	totals          Totals
	capacityVersion uint64
	lastJoinOrder   uint32
}

type row struct {
	capacity, used lovagestand.Resources
	slots, tasks   int32
	joinOrder      uint32
	site           int32
	present        bool
	// schedulable says that the worker takes new tasks; closed that it takes none
	// for the moment.
	schedulable, closed, indexed bool
}

// Totals sums up a ledger. Sums of resources are over fit workers.
type Totals struct {
	Capacity, Free lovagestand.Resources
	// Workers counts the fit workers, Tasks the tasks on all workers.
	Workers, Tasks int
}

// Spec is what a ledger must know of a worker.
type Spec struct {
	Capacity lovagestand.Resources
	// Slots is the most tasks at once.
	Slots int
	// Schedulable says that the worker takes new tasks.
	Schedulable bool
	Site        Site
}

// NewLedger returns a ledger with no workers.
func NewLedger() *Ledger {
	return &Ledger{}
}

// Add adds a worker.
func (l *Ledger) Add(s Spec) Row {
	r := l.newRow()
	l.lastJoinOrder++
	l.rows[r] = row{present: true, joinOrder: l.lastJoinOrder, site: l.siteIndex(s.Site)}
	l.sites[l.rows[r].site].add(r)
	l.applySpec(r, s)
	return r
}

// Set replaces what is known of a worker; its tasks stay.
func (l *Ledger) Set(r Row, s Spec) {
	l.detach(r)
	l.sites[l.rows[r].site].remove(r)
	l.rows[r].site = l.siteIndex(s.Site)
	l.sites[l.rows[r].site].add(r)
	l.applySpec(r, s)
}

// Remove forgets a worker and what was taken of it.
func (l *Ledger) Remove(r Row) {
	l.detach(r)
	l.sites[l.rows[r].site].remove(r)
	l.totals.Tasks -= int(l.rows[r].tasks)
	l.rows[r] = row{}
	l.unused = append(l.unused, r)
}

func (l *Ledger) newRow() Row {
	if n := len(l.unused); n > 0 {
		r := l.unused[n-1]
		l.unused = l.unused[:n-1]
		return r
	}
	l.rows = append(l.rows, row{})
	return Row(len(l.rows) - 1)
}

// applySpec puts a spec in force on a detached row.
func (l *Ledger) applySpec(r Row, s Spec) {
	w := &l.rows[r]
	w.capacity = s.Capacity
	w.capacity.Accelerators = min(w.capacity.Accelerators, MaxAccelerators)
	w.slots = int32(s.Slots)
	w.schedulable = s.Schedulable && s.Slots > 0
	if w.schedulable {
		l.totals.Workers++
		l.totals.Capacity = l.totals.Capacity.Add(w.capacity)
		l.totals.Free = l.totals.Free.Add(w.free())
		l.countType(w, 1)
	}
	l.addToIndex(r)
	l.capacityVersion++
}

// detach takes a row out of the totals and the index.
func (l *Ledger) detach(r Row) {
	w := &l.rows[r]
	l.removeFromIndex(r)
	if !w.schedulable {
		return
	}
	l.totals.Workers--
	l.totals.Capacity = l.totals.Capacity.Sub(w.capacity)
	l.totals.Free = l.totals.Free.Sub(w.free())
	l.countType(w, -1)
}

// free returns what is free of a worker, nothing where it is overfilled.
func (w *row) free() lovagestand.Resources {
	f := w.capacity.Sub(w.used)
	return lovagestand.Resources{
		MilliCPU:     max(f.MilliCPU, 0),
		MemoryMiB:    max(f.MemoryMiB, 0),
		Accelerators: max(f.Accelerators, 0),
	}
}

// HasRoom reports whether a fit worker has room for a task now, closed or not.
func (l *Ledger) HasRoom(r Row, size lovagestand.Resources) bool {
	w := &l.rows[r]
	return w.schedulable && w.tasks < w.slots && size.Fits(w.capacity.Sub(w.used))
}

// Take takes a task's resources of a worker; false, with nothing taken, where
// it has no room.
func (l *Ledger) Take(r Row, size lovagestand.Resources) bool {
	if !l.HasRoom(r, size) {
		return false
	}
	l.adjust(r, size, 1)
	return true
}

// Adopt counts a task that runs already, even past capacity.
func (l *Ledger) Adopt(r Row, size lovagestand.Resources) {
	l.adjust(r, size, 1)
}

// Release returns what a task took.
func (l *Ledger) Release(r Row, size lovagestand.Resources) {
	l.adjust(r, lovagestand.Resources{}.Sub(size), -1)
	l.capacityVersion++
}

// UndoTake returns what [Ledger.Take] took for a task that is not to start after
// all; nothing that found no place before will find one now.
func (l *Ledger) UndoTake(r Row, size lovagestand.Resources) {
	l.adjust(r, lovagestand.Resources{}.Sub(size), -1)
}

// Resize changes what a task takes; false, with nothing changed, where the
// worker lacks room for the growth.
func (l *Ledger) Resize(r Row, from, to lovagestand.Resources) bool {
	w := &l.rows[r]
	used := w.used.Sub(from).Add(to)
	if !to.Fits(from) && !used.Fits(w.capacity) {
		return false
	}
	l.adjust(r, to.Sub(from), 0)
	l.capacityVersion++
	return true
}

func (l *Ledger) adjust(r Row, size lovagestand.Resources, tasks int32) {
	w := &l.rows[r]
	before := w.free()
	l.removeFromIndex(r)
	w.used = w.used.Add(size)
	w.tasks += tasks
	l.totals.Tasks += int(tasks)
	if w.schedulable {
		l.totals.Free = l.totals.Free.Sub(before).Add(w.free())
	}
	l.addToIndex(r)
}

// Close stops or allows new tasks on a worker for the moment; it still counts
// as fit.
func (l *Ledger) Close(r Row, closed bool) {
	l.removeFromIndex(r)
	l.rows[r].closed = closed
	l.addToIndex(r)
	if !closed {
		l.capacityVersion++
	}
}

// SetOpenTemporarily is Close for a moment within one decision: a task that found no
// place before will find none after it.
func (l *Ledger) SetOpenTemporarily(r Row, open bool) {
	l.removeFromIndex(r)
	l.rows[r].closed = !open
	l.addToIndex(r)
}

// addToIndex puts a row in the index if it can take a task.
func (l *Ledger) addToIndex(r Row) {
	w := &l.rows[r]
	if !w.schedulable || w.closed || w.tasks >= w.slots || !w.used.Fits(w.capacity) {
		return
	}
	w.indexed = true
	l.index.insert(r, w.capacity.Sub(w.used), w.joinOrder)
}

func (l *Ledger) removeFromIndex(r Row) {
	if w := &l.rows[r]; w.indexed {
		w.indexed = false
		l.index.remove(r, w.capacity.Sub(w.used), w.joinOrder)
	}
}

// BestFit returns the open worker that holds a task with the least to spare:
// fewest accelerators, then processors, then memory; None if there is none.
func (l *Ledger) BestFit(size lovagestand.Resources) Row {
	return l.index.first(size)
}

// TighterFit reports whether a has less to spare than b, in the order of
// [Ledger.Tightest].
func (l *Ledger) TighterFit(a, b Row) bool {
	return tighterFit(&l.rows[a], &l.rows[b])
}

func tighterFit(a, b *row) bool {
	f, g := a.capacity.Sub(a.used), b.capacity.Sub(b.used)
	switch {
	case f.Accelerators != g.Accelerators:
		return f.Accelerators < g.Accelerators
	case f.MilliCPU != g.MilliCPU:
		return f.MilliCPU < g.MilliCPU
	case f.MemoryMiB != g.MemoryMiB:
		return f.MemoryMiB < g.MemoryMiB
	}
	return a.joinOrder < b.joinOrder
}

// Free returns what is free of a worker; fields are negative where it is
// overfilled.
func (l *Ledger) Free(r Row) lovagestand.Resources {
	return l.rows[r].capacity.Sub(l.rows[r].used)
}

// Capacity returns what a worker has.
func (l *Ledger) Capacity(r Row) lovagestand.Resources {
	return l.rows[r].capacity
}

// Slots returns how many tasks a worker holds at most and holds now.
func (l *Ledger) Slots(r Row) (most, now int) {
	return int(l.rows[r].slots), int(l.rows[r].tasks)
}

// Schedulable reports whether a row is a worker that takes new tasks.
func (l *Ledger) Schedulable(r Row) bool {
	return l.rows[r].schedulable
}

// Closed reports whether a worker takes no tasks for the moment.
func (l *Ledger) Closed(r Row) bool {
	return l.rows[r].closed
}

// Earlier reports whether a joined before b.
func (l *Ledger) Earlier(a, b Row) bool {
	return l.rows[a].joinOrder < l.rows[b].joinOrder
}

// Rows returns how many rows there are, unused ones included.
func (l *Ledger) Rows() Row {
	return Row(len(l.rows))
}

// Totals returns the sums.
func (l *Ledger) Totals() Totals {
	return l.totals
}

// CapacityVersion counts the changes after which a task that found no place may find
// one.
func (l *Ledger) CapacityVersion() uint64 {
	return l.capacityVersion
}

// Largest returns the most of each resource that one open worker has free.
func (l *Ledger) Largest() lovagestand.Resources {
	return l.index.largest()
}

// WorkerCount returns how many workers there are, fit or not.
func (l *Ledger) WorkerCount() int {
	return len(l.rows) - len(l.unused)
}
