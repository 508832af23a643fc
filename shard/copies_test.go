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

// TestExplorationOfDuplicates plays seeded days on which copies of submissions and
// cancellations come at any time and at former owners too.
func TestExplorationOfDuplicates(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { exploreDuplicates(t, seed) })
		})
	}
}

// maxStartDelay is how long after an acknowledged cancellation a start that was
// under way may still arrive.
const maxStartDelay = 300 * time.Millisecond

// callerView is what callers asked and were told of one job.
type callerView struct {
	accepted, outcomeUnknown bool
	// cancelling says that a cancellation was sent, cancelled is when the first
	// one was acknowledged.
	cancelling bool
	cancelled  time.Time
}

// scenario is a day with its callers.
type scenario struct {
	*cell
	dice *sharedRandom

	mu         sync.Mutex
	owners     []*owner // the newest last
	views      map[string]*callerView
	lastStarts map[string]time.Time // the last one of each job
}

// randomOwner returns the newest owner, or at times the one before.
func (d *scenario) randomOwner() *owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.owners)
	if n > 1 && d.dice.IntN(4) == 0 {
		return d.owners[n-2]
	}
	return d.owners[n-1]
}

// nextOwner has another owner follow, with or without a stop of the former one.
func (d *scenario) nextOwner(name string) {
	if d.dice.IntN(2) == 0 {
		d.owners[len(d.owners)-1].stop()
	}
	d.keys.SetFault(nil)
	o := d.beginTerm(name)
	d.keys.SetFault(d.fault)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owners = append(d.owners, o)
}

func (d *scenario) fault(string) keyspace.Fault {
	if d.dice.IntN(10) > 0 {
		return keyspace.FaultNone
	}
	return keyspace.Fault(d.dice.IntN(5))
}

func (d *scenario) pause(most int) { time.Sleep(time.Duration(d.dice.IntN(most)) * time.Millisecond) }

func (d *scenario) submit(id string) {
	err := d.randomOwner().trySubmit(id, job.Step{Count: 1 + d.dice.IntN(2), Gang: true}, job.Step{Count: 1, After: []int{0}})
	d.mu.Lock()
	defer d.mu.Unlock()
	var unknown *shard.UnknownError
	d.views[id].accepted = d.views[id].accepted || err == nil
	d.views[id].outcomeUnknown = d.views[id].outcomeUnknown || errors.As(err, &unknown)
}

func (d *scenario) cancel(id string) {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	d.mu.Lock()
	d.views[id].cancelling = true
	d.mu.Unlock()
	err := d.randomOwner().Cancel(ctx, job.ID(id))
	var absent *shard.UnknownJobError
	d.mu.Lock()
	defer d.mu.Unlock()
	if (err == nil || errors.As(err, &absent)) && d.views[id].cancelled.IsZero() {
		d.views[id].cancelled = time.Now()
	}
}

// runCaller sends copies of one submission, and cancels it more or less often.
func (d *scenario) runCaller(id string) {
	var sending sync.WaitGroup
	for range 1 + d.dice.IntN(4) {
		sending.Go(func() { d.pause(4000); d.submit(id) })
	}
	for range d.dice.IntN(4) {
		sending.Go(func() { d.pause(4000); d.cancel(id) })
	}
	sending.Wait()
}

func exploreDuplicates(t *testing.T, seed uint64) {
	c := qt.New(t)
	s := &scenario{dice: &sharedRandom{source: rand.New(rand.NewPCG(seed, 2))}, views: map[string]*callerView{}, lastStarts: map[string]time.Time{}}
	s.cell = newCell(c, 4, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
		id, _, _ := strings.Cut(o.Task, ".")
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastStarts[id] = time.Now()
		return time.Duration(100+s.dice.IntN(500)) * time.Millisecond, lovagestand.EndingDone
	})
	s.owners = []*owner{s.beginTerm("0")}
	s.keys.SetFault(s.fault)
	var calling sync.WaitGroup
	for i := range 40 {
		s.views[id(i)] = &callerView{}
	}
	for i := range 40 {
		calling.Go(func() { s.runCaller(id(i)) })
	}
	for i := range 8 {
		s.pause(1000)
		s.delay.Store(int64(s.dice.IntN(400)) * int64(time.Millisecond))
		if s.dice.IntN(3) == 0 {
			s.keys.Settle()
			s.nextOwner(fmt.Sprint(i))
		}
	}
	calling.Wait()
	s.keys.SetFault(nil)
	s.keys.Settle()
	s.delay.Store(0)
	time.Sleep(30 * time.Second)
	last := s.owners[len(s.owners)-1]
	for id, view := range s.views {
		state, err := last.State(job.ID(id))
		s.mu.Lock()
		started, ran := s.lastStarts[id]
		s.mu.Unlock()
		comment := qt.Commentf("job %s: told %+v, now %q %v, started %v", id, *view, state, err, started)
		c.Check(ran && !view.accepted && !view.outcomeUnknown, qt.IsFalse, comment)
		c.Check(ran && !view.cancelled.IsZero() && started.After(view.cancelled.Add(maxStartDelay)), qt.IsFalse, comment)
		if view.accepted {
			c.Check(err, qt.IsNil, comment)
			c.Check(state == "completed" || state == "cancelled" && view.cancelling, qt.IsTrue, comment)
		}
	}
	for _, o := range s.owners {
		o.stop()
	}
	s.assertNoViolations()
}
