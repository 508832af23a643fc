package queue

import "lovagestand.example/lovagestand/team"

// groupFor returns the index of the group of a shape and adds the group if there
// is none.
func (q *Queue) groupFor(shape Shape) int32 {
	if g, ok := q.groupOf[shape]; ok {
		return g
	}
	var g int32
	if n := len(q.unusedGroups); n > 0 {
		g = q.unusedGroups[n-1]
		q.unusedGroups = q.unusedGroups[:n-1]
	} else {
		g = int32(len(q.groups))
		q.groups = append(q.groups, Group{})
	}
	q.groups[g] = Group{Shape: shape, heap: q.groups[g].heap[:0]}
	q.groupOf[shape] = g
	q.byRank[shape.Rank] = append(q.byRank[shape.Rank], g)
	return g
}

// dropGroup removes a group that has no more items.
func (q *Queue) dropGroup(g int32) {
	shape := q.groups[g].Shape
	delete(q.groupOf, shape)
	q.byRank[shape.Rank] = without(q.byRank[shape.Rank], g)
	q.unusedGroups = append(q.unusedGroups, g)
}

// teamQueueFor returns the index of the team queue of a key and adds an empty one
// if there is none.
func (q *Queue) teamQueueFor(key teamQueueKey) int32 {
	if n, ok := q.teamQueueOf[key]; ok {
		return n
	}
	var n int32
	if u := len(q.unusedTeamQueues); u > 0 {
		n = q.unusedTeamQueues[u-1]
		q.unusedTeamQueues = q.unusedTeamQueues[:u-1]
	} else {
		n = int32(len(q.teamQueues))
		q.teamQueues = append(q.teamQueues, teamQueue{})
	}
	q.teamQueues[n] = teamQueue{key: key, head: none, tail: none, heapIndex: parked}
	q.teamQueueOf[key] = n
	q.growTeams(key.team)
	q.byTeam[key.team] = append(q.byTeam[key.team], n)
	q.groups[key.group].teamQueues++
	q.addToHeap(n)
	return n
}

// dropTeamQueue removes a team queue that has no more items, and its group if that
// has none either.
func (q *Queue) dropTeamQueue(n int32) {
	tq := &q.teamQueues[n]
	q.removeFromHeap(n)
	delete(q.teamQueueOf, tq.key)
	q.byTeam[tq.key.team] = without(q.byTeam[tq.key.team], n)
	q.unusedTeamQueues = append(q.unusedTeamQueues, n)
	g := &q.groups[tq.key.group]
	g.teamQueues--
	if g.teamQueues == 0 {
		q.dropGroup(tq.key.group)
	}
}

// without removes n from list, which may change the order of the other elements.
func without(list []int32, n int32) []int32 {
	for i := range list {
		if list[i] == n {
			list[i] = list[len(list)-1]
			return list[:len(list)-1]
		}
	}
	return list
}

// growTeams extends the slices that are indexed by team so that they include id.
func (q *Queue) growTeams(id team.ID) {
	for int(id) >= len(q.byTeam) {
		q.byTeam = append(q.byTeam, nil)
	}
	for int(id) >= len(q.shares) {
		q.shares = append(q.shares, 0)
	}
}

// SetShare sets the share that a team uses now. Teams with smaller shares are
// served first.
func (q *Queue) SetShare(id team.ID, share float64) {
	q.growTeams(id)
	q.shares[id] = share
	for _, n := range q.byTeam[id] {
		q.reorder(n)
	}
}

// Park removes the team that a group serves next from the order of service until
// [Queue.Unpark] is called.
func (q *Queue) Park(g int32) {
	q.removeFromHeap(q.groups[g].heap[0])
}

// Unpark puts a team's items back into the order of service of their groups. It
// reports whether any of them were parked.
func (q *Queue) Unpark(id team.ID) bool {
	if int(id) >= len(q.byTeam) {
		return false
	}
	found := false
	for _, n := range q.byTeam[id] {
		if q.teamQueues[n].heapIndex == parked {
			q.addToHeap(n)
			found = true
		}
	}
	return found
}

func (q *Queue) addToHeap(n int32) {
	tq := &q.teamQueues[n]
	g := &q.groups[tq.key.group]
	tq.heapIndex = int32(len(g.heap))
	g.heap = append(g.heap, n)
	if tq.head != none {
		q.up(g, tq.heapIndex)
	}
}

func (q *Queue) removeFromHeap(n int32) {
	tq := &q.teamQueues[n]
	if tq.heapIndex == parked {
		return
	}
	g := &q.groups[tq.key.group]
	last := int32(len(g.heap) - 1)
	index := tq.heapIndex
	q.swap(g, index, last)
	g.heap = g.heap[:last]
	tq.heapIndex = parked
	if index < last {
		q.down(g, index)
		q.up(g, index)
	}
}

// reorder restores the heap order after a change of a team queue.
func (q *Queue) reorder(n int32) {
	tq := &q.teamQueues[n]
	if tq.heapIndex == parked {
		return
	}
	g := &q.groups[tq.key.group]
	q.up(g, tq.heapIndex)
	q.down(g, tq.heapIndex)
}

// before reports whether team queue a is served before team queue b.
func (q *Queue) before(a, b int32) bool {
	first, second := &q.teamQueues[a], &q.teamQueues[b]
	firstShare, secondShare := q.shares[first.key.team], q.shares[second.key.team]
	if firstShare != secondShare {
		return firstShare < secondShare
	}
	return q.entries[first.head].sequence < q.entries[second.head].sequence
}

func (q *Queue) up(g *Group, i int32) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.before(g.heap[i], g.heap[parent]) {
			return
		}
		q.swap(g, i, parent)
		i = parent
	}
}

func (q *Queue) down(g *Group, i int32) {
	for {
		child := 2*i + 1
		if int(child) >= len(g.heap) {
			return
		}
		if other := child + 1; int(other) < len(g.heap) && q.before(g.heap[other], g.heap[child]) {
			child = other
		}
		if !q.before(g.heap[child], g.heap[i]) {
			return
		}
		q.swap(g, i, child)
		i = child
	}
}

func (q *Queue) swap(g *Group, i, k int32) {
	g.heap[i], g.heap[k] = g.heap[k], g.heap[i]
	q.teamQueues[g.heap[i]].heapIndex = i
	q.teamQueues[g.heap[k]].heapIndex = k
}
