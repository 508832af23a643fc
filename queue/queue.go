// Package queue holds waiting tasks in the order in which fair sharing serves
// them, learns how long tasks run and keeps time limits.
package queue

import (
	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/team"
)

// Item is what waits, by the caller's own number.
type Item int32

// Handle is an item's place in a [Queue]; it is reused after [Queue.Remove].
type Handle int32

// Shape is what makes waiting items alike for placement.
type Shape struct {
	// Rank is the class's place in [lovagestand.Classes].
	Rank int8
	// Tasks is how many tasks start together, each of Size.
	Tasks int32
	Size  lovagestand.Resources
}

// Queue holds items by shape, within a shape by team, within a team by
// arrival. Adding and removing cost the logarithm of the number of teams and
// finding the next one of a shape costs nothing. It is not safe for
// concurrent use.
type Queue struct {
	entries          []entry
	unusedHandles    []Handle
	teamQueues       []teamQueue
	unusedTeamQueues []int32
	groups           []Group
	unusedGroups     []int32
	teamQueueOf      map[teamQueueKey]int32
	groupOf          map[Shape]int32
	byRank           [][]int32
	byTeam           [][]int32
	shares           []float64
}

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

// teamQueue is a team's items of one shape, first come first.
type teamQueue struct {
	key        teamQueueKey
	head, tail Handle
	// heapIndex is the line's place in its group's heap; parked if it has none.
	heapIndex int32
}

// Group is the waiting items of one shape.
type Group struct {
	Shape Shape
	// Tried is for the caller's own use: the state in which the shape last
	// found no place. It is 0 for a new group.
	Tried uint64
	// heap holds the lines that are not parked, by share, then by arrival.
	heap       []int32
	teamQueues int32
}

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

// Push adds an item. Items of one team are served by sequence.
func (q *Queue) Push(item Item, shape Shape, id team.ID, sequence uint64) Handle {
	n := q.teamQueueFor(teamQueueKey{q.groupFor(shape), id})
	h := q.newHandle()
	q.entries[h] = entry{item: item, teamQueue: n, prev: none, next: none, sequence: sequence}
	q.link(&q.teamQueues[n], h)
	q.reorder(n)
	return h
}

// link puts t behind all earlier ones of its line.
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

// Remove takes an item out.
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

// Groups returns the shapes that wait in a class, in no order. The result is
// valid until the next change.
func (q *Queue) Groups(rank int8) []int32 {
	return q.byRank[rank]
}

// Group returns a group of [Queue.Groups].
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

// Before reports whether n is served before m: the smaller share first, then
// the earlier item.
func (n Next) Before(m Next) bool {
	if n.Share != m.Share {
		return n.Share < m.Share
	}
	return n.Sequence < m.Sequence
}

// Next returns the item that a group serves next; false if all are parked.
func (q *Queue) Next(g int32) (Next, bool) {
	heap := q.groups[g].heap
	if len(heap) == 0 {
		return Next{}, false
	}
	tq := &q.teamQueues[heap[0]]
	e := &q.entries[tq.head]
	return Next{e.item, tq.key.team, q.shares[tq.key.team], e.sequence}, true
}

// Heads appends the first items of a group's teams to heads, at most limit,
// and returns it: the one served next, then some of those served soon.
func (q *Queue) Heads(g int32, limit int, heads []Next) []Next {
	heap := q.groups[g].heap
	for _, n := range heap[:min(limit, len(heap))] {
		tq := &q.teamQueues[n]
		e := &q.entries[tq.head]
		heads = append(heads, Next{e.item, tq.key.team, q.shares[tq.key.team], e.sequence})
	}
	return heads
}

// Share returns the share last set for a team.
func (q *Queue) Share(id team.ID) float64 {
	if int(id) >= len(q.shares) {
		return 0
	}
	return q.shares[id]
}
