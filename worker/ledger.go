// Package worker keeps the ledger of a pool's workers. The ledger holds the
// capacity and the usage of each worker, and an index that finds a worker for a
// task without a scan over all workers.
package worker

import (
	"lovagestand.example/lovagestand"
)

// Row is a worker's index in a [Ledger]. It is reused after [Ledger.Remove].
type Row int32

// None is the row of no worker.
const None = Row(-1)

// MaxAccelerators is the maximum number of accelerators that are counted on one
// worker.
const MaxAccelerators = 255

// Ledger counts the resources that the tasks of a pool use on each worker. Usage
// never exceeds the capacity of a worker, except through [Ledger.Adopt]. Ledger is
// not safe for concurrent use.
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
	// schedulable is set if the worker takes new tasks at all, closed if it takes
	// none for the moment, and indexed if it is in the index.
	schedulable, closed, indexed bool
}

// Totals holds the sums of a ledger. Sums of resources are over the schedulable
// workers.
type Totals struct {
	Capacity, Free lovagestand.Resources
	// Workers counts the schedulable workers, Tasks the tasks on all workers.
	Workers, Tasks int
}

// Spec describes a worker for a [Ledger].
type Spec struct {
	Capacity lovagestand.Resources
	// Slots is the maximum number of tasks at once.
	Slots int
	// Schedulable is set if the worker takes new tasks.
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

// Set replaces the spec of a worker. Its tasks stay.
func (l *Ledger) Set(r Row, s Spec) {
	l.detach(r)
	l.sites[l.rows[r].site].remove(r)
	l.rows[r].site = l.siteIndex(s.Site)
	l.sites[l.rows[r].site].add(r)
	l.applySpec(r, s)
}

// Remove removes a worker and its usage.
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

// applySpec applies a spec to a new or detached row.
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

// detach removes a row from the totals and the index.
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

// free returns the free resources of a worker. A resource whose usage exceeds the
// capacity counts as 0.
func (w *row) free() lovagestand.Resources {
	f := w.capacity.Sub(w.used)
	return lovagestand.Resources{
		MilliCPU:     max(f.MilliCPU, 0),
		MemoryMiB:    max(f.MemoryMiB, 0),
		Accelerators: max(f.Accelerators, 0),
	}
}

// HasRoom reports whether a worker is schedulable and has room for a task now,
// whether or not it is closed.
func (l *Ledger) HasRoom(r Row, size lovagestand.Resources) bool {
	w := &l.rows[r]
	return w.schedulable && w.tasks < w.slots && size.Fits(w.capacity.Sub(w.used))
}

// Take reserves a task's resources on a worker. If there is no room, it reserves
// nothing and returns false.
func (l *Ledger) Take(r Row, size lovagestand.Resources) bool {
	if !l.HasRoom(r, size) {
		return false
	}
	l.adjust(r, size, 1)
	return true
}

// Adopt counts the resources of a task that already runs on a worker, even if this
// exceeds the worker's capacity.
func (l *Ledger) Adopt(r Row, size lovagestand.Resources) {
	l.adjust(r, size, 1)
}

// Release releases the resources of a task.
func (l *Ledger) Release(r Row, size lovagestand.Resources) {
	l.adjust(r, lovagestand.Resources{}.Sub(size), -1)
	l.capacityVersion++
}

// UndoTake releases what [Ledger.Take] reserved for a task that does not start
// after all. It does not change [Ledger.CapacityVersion], since a task that did
// not fit before the reservation does not fit after it either.
func (l *Ledger) UndoTake(r Row, size lovagestand.Resources) {
	l.adjust(r, lovagestand.Resources{}.Sub(size), -1)
}

// Resize changes the resources of a task. If the worker lacks room for an increase,
// it changes nothing and returns false.
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

// adjust adds size and tasks, which may be negative, to the usage of a worker and
// updates the totals and the index.
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

// Close sets whether a worker is closed, which means that it takes no new tasks for
// the moment. A closed worker still counts as schedulable.
func (l *Ledger) Close(r Row, closed bool) {
	l.removeFromIndex(r)
	l.rows[r].closed = closed
	l.addToIndex(r)
	if !closed {
		l.capacityVersion++
	}
}

// SetOpenTemporarily opens or closes a worker within one decision. Unlike
// [Ledger.Close] it does not change [Ledger.CapacityVersion], since a task that
// did not fit before the decision does not fit after it either.
func (l *Ledger) SetOpenTemporarily(r Row, open bool) {
	l.removeFromIndex(r)
	l.rows[r].closed = !open
	l.addToIndex(r)
}

// addToIndex adds a row to the index if the worker can take a task.
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

// BestFit returns the open worker with room for a task that has the least free
// resources: the fewest accelerators, then the least processor time, then the least
// memory. It returns [None] if no worker has room.
func (l *Ledger) BestFit(size lovagestand.Resources) Row {
	return l.index.first(size)
}

// TighterFit reports whether a has less free resources than b, in the order of
// [Ledger.BestFit].
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

// Free returns the free resources of a worker. A field is negative if the usage
// exceeds the capacity.
func (l *Ledger) Free(r Row) lovagestand.Resources {
	return l.rows[r].capacity.Sub(l.rows[r].used)
}

// Capacity returns the capacity of a worker.
func (l *Ledger) Capacity(r Row) lovagestand.Resources {
	return l.rows[r].capacity
}

// Slots returns the number of tasks that a worker holds at most and the number
// that it holds now.
func (l *Ledger) Slots(r Row) (most, used int) {
	return int(l.rows[r].slots), int(l.rows[r].tasks)
}

// Schedulable reports whether the worker in a row takes new tasks. It is false for
// an unused row.
func (l *Ledger) Schedulable(r Row) bool {
	return l.rows[r].schedulable
}

// Closed reports whether a worker takes no new tasks for the moment.
func (l *Ledger) Closed(r Row) bool {
	return l.rows[r].closed
}

// Earlier reports whether a joined before b.
func (l *Ledger) Earlier(a, b Row) bool {
	return l.rows[a].joinOrder < l.rows[b].joinOrder
}

// Rows returns the number of rows, including unused ones.
func (l *Ledger) Rows() Row {
	return Row(len(l.rows))
}

// Totals returns the sums of the ledger.
func (l *Ledger) Totals() Totals {
	return l.totals
}

// CapacityVersion returns a number that increases with each change after which a
// task that did not fit before may fit.
func (l *Ledger) CapacityVersion() uint64 {
	return l.capacityVersion
}

// Largest returns the largest free amount of each resource on any one open worker.
func (l *Ledger) Largest() lovagestand.Resources {
	return l.index.largest()
}

// WorkerCount returns the number of workers, whether or not they are schedulable.
func (l *Ledger) WorkerCount() int {
	return len(l.rows) - len(l.unused)
}
