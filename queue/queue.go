// Package queue holds waiting tasks in the order in which fair sharing serves
// them, estimates how long tasks run and keeps deadlines.
package queue

import (
	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/team"
)

// Item identifies a waiting item by a number that the caller chooses.
type Item int32

// Handle identifies an item within a [Queue]. It is reused after [Queue.Remove].
type Handle int32

// Shape is what a placement depends on. Waiting items of the same shape are
// interchangeable for placement.
type Shape struct {
	// Rank is the index of the class in [lovagestand.Classes].
	Rank int8
	// Tasks is the number of tasks that start together, each of Size.
	Tasks int32
	Size  lovagestand.Resources
}

// Queue holds items by shape, within a shape by team, and within a team by
// arrival. The cost of adding or removing an item is logarithmic in the number of
// teams. The next item of a shape is found in constant time. Queue is not safe for
// concurrent use.
type Queue struct {
	// entries is indexed by handle, teamQueues and groups by the index that
	// refers to them elsewhere. The unused ones are reused first.
	entries          []entry
	unusedHandles    []Handle
	teamQueues       []teamQueue
	unusedTeamQueues []int32
	groups           []Group
	unusedGroups     []int32
	teamQueueOf      map[teamQueueKey]int32
	groupOf          map[Shape]int32
	// byRank holds the groups of each class, byTeam the team queues of each team
	// and shares the share of each team.
	byRank [][]int32
	byTeam [][]int32
	shares []float64
}

// entry is a waiting item, which is linked into its team queue.
type entry struct {
	item       Item
	teamQueue  int32
	prev, next Handle
	sequence   uint64
}

type teamQueueKey struct {
	group int32
	team  team.ID
}

// teamQueue holds a team's items of one shape in order of arrival.
type teamQueue struct {
	key        teamQueueKey
	head, tail Handle
	// heapIndex is the index of the team queue in the heap of its group, or
	// parked if it is not in the heap.
	heapIndex int32
}

// Group holds the waiting items of one shape.
type Group struct {
	Shape Shape
	// Tried is for the caller's own use. It is the version of the caller's
	// state at which the shape last did not fit, and 0 for a new group.
	Tried uint64
	// heap holds the team queues that are not parked, ordered by share and then
	// by arrival.
	heap       []int32
	teamQueues int32
}

// The handle of no entry, and the heap index of a parked team queue.
const (
	none   = -1
	parked = int32(-1)
)

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		teamQueueOf: map[teamQueueKey]int32{},
		groupOf:     map[Shape]int32{},
		byRank:      make([][]int32, len(lovagestand.Classes())),
	}
}

// Push adds an item. The items of one team are served in order of sequence.
func (q *Queue) Push(item Item, shape Shape, id team.ID, sequence uint64) Handle {
	n := q.teamQueueFor(teamQueueKey{q.groupFor(shape), id})
	h := q.newHandle()
	q.entries[h] = entry{item: item, teamQueue: n, prev: none, next: none, sequence: sequence}
	q.link(&q.teamQueues[n], h)
	q.reorder(n)
	return h
}

// link inserts h into its team queue behind all items with a smaller sequence.
func (q *Queue) link(tq *teamQueue, h Handle) {
	after := tq.tail
	for after != none && q.entries[after].sequence > q.entries[h].sequence {
		after = q.entries[after].prev
	}
	before := tq.head
	if after != none {
		before = q.entries[after].next
		q.entries[after].next = h
	} else {
		tq.head = h
	}
	if before != none {
		q.entries[before].prev = h
	} else {
		tq.tail = h
	}
	q.entries[h].prev, q.entries[h].next = after, before
}

// Remove removes an item.
func (q *Queue) Remove(h Handle) {
	e := q.entries[h]
	tq := &q.teamQueues[e.teamQueue]
	if e.prev != none {
		q.entries[e.prev].next = e.next
	} else {
		tq.head = e.next
	}
	if e.next != none {
		q.entries[e.next].prev = e.prev
	} else {
		tq.tail = e.prev
	}
	q.unusedHandles = append(q.unusedHandles, h)
	if tq.head == none {
		q.dropTeamQueue(e.teamQueue)
		return
	}
	if e.prev == none {
		q.reorder(e.teamQueue)
	}
}

func (q *Queue) newHandle() Handle {
	if n := len(q.unusedHandles); n > 0 {
		h := q.unusedHandles[n-1]
		q.unusedHandles = q.unusedHandles[:n-1]
		return h
	}
	q.entries = append(q.entries, entry{})
	return Handle(len(q.entries) - 1)
}

// Groups returns the indices of the groups with waiting items of a class, in no
// particular order. The result is valid until the next change of the queue.
func (q *Queue) Groups(rank int8) []int32 {
	return q.byRank[rank]
}

// Group returns the group with an index of [Queue.Groups].
func (q *Queue) Group(g int32) *Group {
	return &q.groups[g]
}

// Next is the item that a group serves next.
type Next struct {
	Item     Item
	Team     team.ID
	Share    float64
	Sequence uint64
}

// Before reports whether n is served before m. The smaller share is served first,
// and with equal shares the earlier item.
func (n Next) Before(m Next) bool {
	if n.Share != m.Share {
		return n.Share < m.Share
	}
	return n.Sequence < m.Sequence
}

// Next returns the item that a group serves next, and false if all items of the
// group are parked.
func (q *Queue) Next(g int32) (Next, bool) {
	heap := q.groups[g].heap
	if len(heap) == 0 {
		return Next{}, false
	}
	tq := &q.teamQueues[heap[0]]
	e := &q.entries[tq.head]
	return Next{e.item, tq.key.team, q.shares[tq.key.team], e.sequence}, true
}

// Heads appends the first items of at most limit teams of a group to heads and
// returns the extended slice. The first one is the item that is served next. The
// others are served soon but need not be the next ones, nor in order.
func (q *Queue) Heads(g int32, limit int, heads []Next) []Next {
	heap := q.groups[g].heap
	for _, n := range heap[:min(limit, len(heap))] {
		tq := &q.teamQueues[n]
		e := &q.entries[tq.head]
		heads = append(heads, Next{e.item, tq.key.team, q.shares[tq.key.team], e.sequence})
	}
	return heads
}

// Share returns the share that was last set for a team.
func (q *Queue) Share(id team.ID) float64 {
	if int(id) >= len(q.shares) {
		return 0
	}
	return q.shares[id]
}
