package queue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/queue"
	"lovagestand.example/lovagestand/team"
)

func TestQuantileBoundsSamples(t *testing.T) {
	c := qt.New(t)
	var r queue.RunTimes
	c.Assert(r.Quantile(0.5), qt.Equals, time.Duration(0))
	for i := 1; i <= 100; i++ {
		r.Add(time.Duration(i) * time.Second)
	}
	half := r.Quantile(0.5)
	c.Assert(half >= 50*time.Second && half <= 63*time.Second, qt.IsTrue, qt.Commentf("%s", half))
	c.Assert(r.Quantile(1) >= 100*time.Second, qt.IsTrue)
}

func TestDeadlinesPopInOrder(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var d queue.Deadlines
	for i := range 3000 {
		d.Add(queue.Deadline{At: random.Int64N(1000), Item: queue.Item(i)})
	}
	d.Sweep(100, func(deadline queue.Deadline) bool { return deadline.Item%30 == 0 })
	last, popped := int64(0), 0
	for deadline, ok := d.Pop(500); ok; deadline, ok = d.Pop(500) {
		c.Assert(deadline.At >= last && deadline.At <= 500 && deadline.Item%30 == 0, qt.IsTrue)
		last = deadline.At
		popped++
	}
	c.Assert(popped > 30 && popped < 70, qt.IsTrue)
}

// TestQueueServesSmallestShare compares the next item of the queue to a scan of all
// waiting items.
func TestQueueServesSmallestShare(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	q := queue.New()
	waiting := map[queue.Handle]queue.Next{}
	shares := [5]float64{}
	var handles []queue.Handle
	for sequence := range uint64(5000) {
		id := team.ID(random.IntN(len(shares)))
		switch random.IntN(3) {
		case 0:
			shares[id] = float64(random.IntN(3))
			q.SetShare(id, shares[id])
		case 1:
			if len(handles) == 0 {
				continue
			}
			i := random.IntN(len(handles))
			q.Remove(handles[i])
			delete(waiting, handles[i])
			handles = slices.Delete(handles, i, i+1)
		default:
			order := random.Uint64N(sequence+1)*10000 + sequence
			handle := q.Push(queue.Item(sequence), queue.Shape{Tasks: 1}, id, order)
			handles = append(handles, handle)
			waiting[handle] = queue.Next{Item: queue.Item(sequence), Team: id, Sequence: order}
		}
		assertNext(c, q, waiting, shares[:])
	}
}

// assertNext checks that no waiting item is served before the next item of the
// queue.
func assertNext(c *qt.C, q *queue.Queue, waiting map[queue.Handle]queue.Next, shares []float64) {
	groups := q.Groups(0)
	c.Assert(len(groups) == 0, qt.Equals, len(waiting) == 0)
	if len(groups) == 0 {
		return
	}
	next, ok := q.Next(groups[0])
	c.Assert(ok, qt.IsTrue)
	for _, n := range waiting {
		n.Share = shares[n.Team]
		c.Assert(n.Before(next), qt.IsFalse)
	}
}
