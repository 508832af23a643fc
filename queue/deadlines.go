package queue

// Deadlines orders items by their deadlines. A deadline that no longer applies
// stays until it is due or until the next sweep, so cancelling an item costs
// nothing here.
type Deadlines struct {
	heap []Deadline
}

// Deadline is the deadline of an item. At is in nanoseconds since 1970.
type Deadline struct {
	At   int64
	Item Item
}

// minSweepSize is the smallest number of deadlines that is worth a sweep.
const minSweepSize = 1024

// Add adds a deadline.
func (d *Deadlines) Add(deadline Deadline) {
	d.heap = append(d.heap, deadline)
	d.up(len(d.heap) - 1)
}

// Pop removes and returns the earliest deadline if it is not after now.
func (d *Deadlines) Pop(now int64) (Deadline, bool) {
	if len(d.heap) == 0 || d.heap[0].At > now {
		return Deadline{}, false
	}
	first := d.heap[0]
	last := len(d.heap) - 1
	d.heap[0] = d.heap[last]
	d.heap = d.heap[:last]
	d.down(0)
	return first, true
}

// Sweep removes the deadlines for which isLive returns false. It does so only if
// there are at least minSweepSize deadlines and at least twice as many as the
// number of live ones, which is passed as live.
func (d *Deadlines) Sweep(live int, isLive func(Deadline) bool) {
	if len(d.heap) < minSweepSize || len(d.heap) < 2*live {
		return
	}
	kept := d.heap[:0]
	for _, deadline := range d.heap {
		if isLive(deadline) {
			kept = append(kept, deadline)
		}
	}
	d.heap = kept
	for i := len(d.heap) / 2; i >= 0; i-- {
		d.down(i)
	}
}

func (d *Deadlines) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if d.heap[i].At >= d.heap[parent].At {
			return
		}
		d.heap[i], d.heap[parent] = d.heap[parent], d.heap[i]
		i = parent
	}
}

func (d *Deadlines) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(d.heap) {
			return
		}
		if other := child + 1; other < len(d.heap) && d.heap[other].At < d.heap[child].At {
			child = other
		}
		if d.heap[child].At >= d.heap[i].At {
			return
		}
		d.heap[i], d.heap[child] = d.heap[child], d.heap[i]
		i = child
	}
}
