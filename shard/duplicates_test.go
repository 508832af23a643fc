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

// TestExplorationOfDuplicates runs random scenarios, one for each seed, in which
// duplicates of submissions and cancellations arrive at any time, also at former
// owners.
func TestExplorationOfDuplicates(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { exploreDuplicates(t, seed) })
		})
	}
}

// maxStartDelay is how long after an acknowledged cancellation a start order that was
// in flight may still arrive.
const maxStartDelay = 300 * time.Millisecond

// callerView is what callers requested and which replies they received for one job.
type callerView struct {
	accepted, outcomeUnknown bool
	// cancelling reports whether a cancellation was sent. cancelledAt is when the first
	// one was acknowledged.
	cancelling  bool
	cancelledAt time.Time
}

// scenario is a cell with its owners and callers.
type scenario struct {
	*cell
	random *sharedRandom

	mu         sync.Mutex
	owners     []*owner // the newest last
	views      map[string]*callerView
	lastStarts map[string]time.Time // the last one of each job
}

// randomOwner returns the newest owner, or the one before it in a quarter of the calls.
func (s *scenario) randomOwner() *owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.owners)
	if n > 1 && s.random.IntN(4) == 0 {
		return s.owners[n-2]
	}
	return s.owners[n-1]
}

// nextOwner starts the term of another owner. In half of the calls it stops the former
// owner first.
func (s *scenario) nextOwner(name string) {
	if s.random.IntN(2) == 0 {
		s.owners[len(s.owners)-1].stop()
	}
	s.keys.SetFault(nil)
	o := s.beginTerm(name)
	s.keys.SetFault(s.fault)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners = append(s.owners, o)
}

func (s *scenario) fault(string) keyspace.Fault {
	if s.random.IntN(10) > 0 {
		return keyspace.FaultNone
	}
	return keyspace.Fault(s.random.IntN(5))
}

func (s *scenario) pause(maxMillis int) {
	time.Sleep(time.Duration(s.random.IntN(maxMillis)) * time.Millisecond)
}

func (s *scenario) submit(id string) {
	err := s.randomOwner().trySubmit(id, job.Step{Count: 1 + s.random.IntN(2), Gang: true}, job.Step{Count: 1, After: []int{0}})
	s.mu.Lock()
	defer s.mu.Unlock()
	var unknown *shard.UnknownError
	s.views[id].accepted = s.views[id].accepted || err == nil
	s.views[id].outcomeUnknown = s.views[id].outcomeUnknown || errors.As(err, &unknown)
}

func (s *scenario) cancel(id string) {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	s.mu.Lock()
	s.views[id].cancelling = true
	s.mu.Unlock()
	err := s.randomOwner().Cancel(ctx, job.ID(id), "")
	var unknownJob *shard.UnknownJobError
	s.mu.Lock()
	defer s.mu.Unlock()
	if (err == nil || errors.As(err, &unknownJob)) && s.views[id].cancelledAt.IsZero() {
		s.views[id].cancelledAt = time.Now()
	}
}

// runCaller sends one or more duplicates of a submission and up to three cancellations
// of it.
func (s *scenario) runCaller(id string) {
	var sending sync.WaitGroup
	for range 1 + s.random.IntN(4) {
		sending.Go(func() { s.pause(4000); s.submit(id) })
	}
	for range s.random.IntN(4) {
		sending.Go(func() { s.pause(4000); s.cancel(id) })
	}
	sending.Wait()
}

func exploreDuplicates(t *testing.T, seed uint64) {
	c := qt.New(t)
	s := &scenario{random: &sharedRandom{source: rand.New(rand.NewPCG(seed, 2))}, views: map[string]*callerView{}, lastStarts: map[string]time.Time{}}
	s.cell = newCell(c, 4, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
		id, _, _ := strings.Cut(o.Task, ".")
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastStarts[id] = time.Now()
		return time.Duration(100+s.random.IntN(500)) * time.Millisecond, lovagestand.EndingDone
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
		s.delay.Store(int64(s.random.IntN(400)) * int64(time.Millisecond))
		if s.random.IntN(3) == 0 {
			s.keys.ApplyLate()
			s.nextOwner(fmt.Sprint(i))
		}
	}
	calling.Wait()
	s.keys.SetFault(nil)
	s.keys.ApplyLate()
	s.delay.Store(0)
	time.Sleep(30 * time.Second)
	last := s.owners[len(s.owners)-1]
	for id, view := range s.views {
		state, err := last.State(job.ID(id))
		s.mu.Lock()
		started, ran := s.lastStarts[id]
		s.mu.Unlock()
		comment := qt.Commentf("job %s: callers saw %+v, now %q %v, started %v", id, *view, state, err, started)
		c.Check(ran && !view.accepted && !view.outcomeUnknown, qt.IsFalse, comment)
		c.Check(ran && !view.cancelledAt.IsZero() && started.After(view.cancelledAt.Add(maxStartDelay)), qt.IsFalse, comment)
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
