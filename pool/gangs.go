package pool

import "slices"

// gangs holds the gangs that have waiting or placed tasks.
type gangs struct {
	byKey  map[gangKey]int32
	rows   []gang
	unused []int32
}

type gangKey struct {
	pool uint16
	name string
}

// gang is a group of tasks that start together.
type gang struct {
	name string
	pool uint16
	size int
	// tasks counts the records that refer to the gang.
	tasks int
	// waiting holds its waiting tasks in order of arrival.
	waiting []slot
	// queuedTask is the task that represents the gang in the queue, or none
	// while the gang is incomplete.
	queuedTask slot
}

// acquire returns the index of the gang with a key, adds the gang if it is new,
// and counts one more task of it.
func (g *gangs) acquire(key gangKey, size int) int32 {
	n, ok := g.byKey[key]
	if !ok {
		n = g.newRow()
		g.byKey[key] = n
		g.rows[n] = gang{name: key.name, pool: key.pool, size: max(size, 1), queuedTask: none}
	}
	g.rows[n].tasks++
	return n
}

func (g *gangs) newRow() int32 {
	if n := len(g.unused); n > 0 {
		last := g.unused[n-1]
		g.unused = g.unused[:n-1]
		return last
	}
	g.rows = append(g.rows, gang{})
	return int32(len(g.rows) - 1)
}

// release counts one task of a gang less, and removes the gang after its last
// one.
func (g *gangs) release(n int32) {
	row := &g.rows[n]
	row.tasks--
	if row.tasks > 0 {
		return
	}
	delete(g.byKey, gangKey{row.pool, row.name})
	*row = gang{}
	g.unused = append(g.unused, n)
}

// joinGang adds a waiting task to its gang and queues the gang once it is
// complete.
func (d *Decider) joinGang(s slot) {
	g := &d.gangs.rows[d.tasks.at(s).gang]
	g.waiting = append(g.waiting, s)
	d.requeueGang(g)
}

// leaveGang removes a waiting task from its gang, which then waits until it is
// complete again.
func (d *Decider) leaveGang(s slot) {
	g := &d.gangs.rows[d.tasks.at(s).gang]
	i := slices.Index(g.waiting, s)
	g.waiting = slices.Delete(g.waiting, i, i+1)
	d.requeueGang(g)
}

// requeueGang queues a complete gang under its first waiting task, and removes
// an incomplete one from the queue.
func (d *Decider) requeueGang(g *gang) {
	first := none
	if len(g.waiting) >= g.size {
		first = g.waiting[0]
	}
	if g.queuedTask == first {
		return
	}
	if g.queuedTask != none {
		d.dequeue(g.queuedTask)
	}
	g.queuedTask = first
	if first != none {
		d.enqueue(first, g.size)
	}
}
