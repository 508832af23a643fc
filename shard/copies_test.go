package shard_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// TestExplorationOfCopies plays seeded days on which copies of submissions and
// cancellations come at any time and at former owners too.
func TestExplorationOfCopies(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { exploreCopies(t, seed) })
		})
	}
}

// startGrace is how long after an acknowledged cancellation a start that was
// under way may still arrive.
const startGrace = 300 * time.Millisecond

// told is what callers asked and were told of one job.
type told struct {
	taken, doubtful bool
	// cancelling says that a cancellation was sent, cancelled is when the first
	// one was acknowledged.
	cancelling bool
	cancelled  time.Time
}

// day is a day with its callers.
type day struct {
	*cell
	dice *dice

	mu     sync.Mutex
	owners []*owner // the newest last
	told   map[string]*told
	starts map[string]time.Time // the last one of each job
}

// owner returns the newest owner, or at times the one before.
func (d *day) owner() *owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.owners)
	if n > 1 && d.dice.IntN(4) == 0 {
		return d.owners[n-2]
	}
	return d.owners[n-1]
}

// next has another owner follow, with or without a stop of the former one.
func (d *day) next(name string) {
	if d.dice.IntN(2) == 0 {
		d.owners[len(d.owners)-1].stop()
	}
	d.keys.SetFault(nil)
	o := d.own(name)
	d.keys.SetFault(d.fault)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owners = append(d.owners, o)
}

func (d *day) fault(string) keyspace.Fault {
	if d.dice.IntN(10) > 0 {
		return keyspace.FaultNone
	}
	return keyspace.Fault(d.dice.IntN(5))
}

func (d *day) pause(most int) { time.Sleep(time.Duration(d.dice.IntN(most)) * time.Millisecond) }

func (d *day) submit(id string) {
	err := d.owner().try(id, job.Step{Count: 1 + d.dice.IntN(2), Gang: true}, job.Step{Count: 1, After: []int{0}})
	d.mu.Lock()
	defer d.mu.Unlock()
	var unknown *shard.UnknownError
	d.told[id].taken = d.told[id].taken || err == nil
	d.told[id].doubtful = d.told[id].doubtful || errors.As(err, &unknown)
}

func (d *day) cancel(id string) {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	d.mu.Lock()
	d.told[id].cancelling = true
	d.mu.Unlock()
	err := d.owner().Cancel(ctx, job.ID(id))
	var absent *shard.UnknownJobError
	d.mu.Lock()
	defer d.mu.Unlock()
	if (err == nil || errors.As(err, &absent)) && d.told[id].cancelled.IsZero() {
		d.told[id].cancelled = time.Now()
	}
}

// caller sends copies of one submission, and cancels it more or less often.
func (d *day) caller(id string) {
	var sending sync.WaitGroup
	for range 1 + d.dice.IntN(4) {
		sending.Go(func() { d.pause(4000); d.submit(id) })
	}
	for range d.dice.IntN(4) {
		sending.Go(func() { d.pause(4000); d.cancel(id) })
	}
	sending.Wait()
}

func exploreCopies(t *testing.T, seed uint64) {
	c := qt.New(t)
	d := &day{dice: &dice{source: rand.New(rand.NewPCG(seed, 2))}, told: map[string]*told{}, starts: map[string]time.Time{}}
	d.cell = newCell(c, 4, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
		id, _, _ := strings.Cut(o.Task, ".")
		d.mu.Lock()
		defer d.mu.Unlock()
		d.starts[id] = time.Now()
		return time.Duration(100+d.dice.IntN(500)) * time.Millisecond, lovagestand.EndingDone
	})
	d.owners = []*owner{d.own("0")}
	d.keys.SetFault(d.fault)
	var calling sync.WaitGroup
	for i := range 40 {
		d.told[id(i)] = &told{}
	}
	for i := range 40 {
		calling.Go(func() { d.caller(id(i)) })
	}
	for i := range 8 {
		d.pause(1000)
		d.delay.Store(int64(d.dice.IntN(400)) * int64(time.Millisecond))
		if d.dice.IntN(3) == 0 {
			d.keys.Settle()
			d.next(fmt.Sprint(i))
		}
	}
	calling.Wait()
	d.keys.SetFault(nil)
	d.keys.Settle()
	d.delay.Store(0)
	time.Sleep(30 * time.Second)
	last := d.owners[len(d.owners)-1]
	for id, told := range d.told {
		state, err := last.State(job.ID(id))
		d.mu.Lock()
		started, ran := d.starts[id]
		d.mu.Unlock()
		comment := qt.Commentf("job %s: told %+v, now %q %v, started %v", id, *told, state, err, started)
		c.Check(ran && !told.taken && !told.doubtful, qt.IsFalse, comment)
		c.Check(ran && !told.cancelled.IsZero() && started.After(told.cancelled.Add(startGrace)), qt.IsFalse, comment)
		if told.taken {
			c.Check(err, qt.IsNil, comment)
			c.Check(state == "completed" || state == "cancelled" && told.cancelling, qt.IsTrue, comment)
		}
	}
	for _, o := range d.owners {
		o.stop()
	}
	d.assertSound()
}
