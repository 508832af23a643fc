package worker

import "lovagestand.example/lovagestand"

// workerType counts the schedulable workers with the same capacity and slots.
type workerType struct {
	capacity lovagestand.Resources
	slots    int32
	workers  int
}

// countType adds delta to the number of workers with the capacity and slots of w.
func (l *Ledger) countType(w *row, delta int) {
	for i := range l.types {
		t := &l.types[i]
		if t.capacity != w.capacity || t.slots != w.slots {
			continue
		}
		t.workers += delta
		if t.workers == 0 {
			l.types = append(l.types[:i], l.types[i+1:]...)
		}
		return
	}
	l.types = append(l.types, workerType{w.capacity, w.slots, delta})
}

// LargestCapacity returns the largest capacity of each resource of any one
// schedulable worker.
func (l *Ledger) LargestCapacity() lovagestand.Resources {
	var largest lovagestand.Resources
	for i := range l.types {
		largest = largest.Max(l.types[i].capacity)
	}
	return largest
}

// MaxTasks returns how many tasks of a size all schedulable workers together could
// hold if they were empty. It counts up to limit.
func (l *Ledger) MaxTasks(size lovagestand.Resources, limit int) int {
	tasks := 0
	for i := range l.types {
		t := &l.types[i]
		tasks += FitCount(t.capacity, size, int(t.slots)) * t.workers
		if tasks >= limit {
			return limit
		}
	}
	return tasks
}

// FitCount returns how many tasks of a size fit into free resources, at most limit.
func FitCount(free, size lovagestand.Resources, limit int) int {
	n := int64(max(limit, 0))
	n = min(n, quotient(free.MilliCPU, size.MilliCPU, n))
	n = min(n, quotient(free.MemoryMiB, size.MemoryMiB, n))
	return int(min(n, quotient(free.Accelerators, size.Accelerators, n)))
}

// quotient returns how many times part fits into whole, or limit if part is not
// positive.
func quotient(whole, part, limit int64) int64 {
	if whole < 0 {
		return 0
	}
	if part <= 0 {
		return limit
	}
	return whole / part
}
