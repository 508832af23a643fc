package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	lovagestand "lovagestand.example/lovagestand"
)

// inTime runs a test in virtual time with a home that it may use.
func inTime(t *testing.T, do func(c *qt.C, s *fakeStore, h *Partition)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		h, stop := openHome(qt.New(t), s, 1)
		defer time.Sleep(time.Minute) // what is under way ends
		defer stop()
		do(qt.New(t), s, h)
	})
}

func openHome(c *qt.C, s *fakeStore, epoch lovagestand.Epoch) (*Partition, func()) {
	c.Helper()
	h, err := Open(context.Background(), PartitionName(0), s, alone(epoch), WithIDs(ids(fmt.Sprint("t", epoch))))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Run(ctx)
	}()
	return h, func() {
		cancel()
		<-done
	}
}

func ids(prefix string) func() string {
	n := 0
	return func() string {
		n++
		return fmt.Sprint(prefix, "-", n)
	}
}

func request(id string, key lovagestand.RequestKey) Request {
	return Request{ID: id, Key: key, Fingerprint: 7, Shard: "malabar/r1", StartBy: time.Now().Add(10 * time.Second)}
}

func claimed(c *qt.C, h *Partition, r Request) Claim {
	c.Helper()
	claim, err := h.Claim(context.Background(), r)
	c.Assert(err, qt.IsNil)
	return claim
}

func settled(c *qt.C, h *Partition, claim Claim, id string, outcome lovagestand.Outcome) Claim {
	c.Helper()
	claim, err := h.Settle(Settlement{ID: id, Key: claim.Key, Task: claim.Task, Outcome: outcome, ReadAt: time.Now()})
	c.Assert(err, qt.IsNil)
	return claim
}

func TestRepeatedKeyAttaches(t *testing.T) {
	inTime(t, func(c *qt.C, s *fakeStore, h *Partition) {
		first := claimed(c, h, request("1", "order"))
		c.Assert(first.Attempt, qt.Equals, 1)
		c.Assert(first.Sole, qt.IsTrue)
		shared := first
		shared.Sole = false
		c.Assert(claimed(c, h, request("2", "order").WithShard("malabar/r2")), qt.DeepEquals, shared)
		var mismatch *MismatchError
		other := request("3", "order")
		other.Fingerprint = 8
		_, err := h.Claim(context.Background(), other)
		c.Assert(err, qt.ErrorAs, &mismatch)
		settled(c, h, first, "", lovagestand.OutcomeDone)
		time.Sleep(time.Second)
		next, stop := openHome(c, s, 2)
		defer stop()
		c.Assert(claimed(c, next, request("4", "order")).Outcome, qt.Equals, lovagestand.OutcomeDone)
		time.Sleep(DefaultRetention + sweepInterval)
		c.Assert(claimed(c, next, request("5", "order")).Task, qt.Not(qt.Equals), first.Task)
	})
}

func TestNotRunOnlyWhenNobodyElseMayStart(t *testing.T) {
	inTime(t, func(c *qt.C, _ *fakeStore, h *Partition) {
		first := claimed(c, h, request("1", "order"))
		settled(c, h, first, "1", lovagestand.OutcomeNotRun)
		second := claimed(c, h, request("2", "order"))
		c.Assert(second.Attempt, qt.Equals, 2)
		claimed(c, h, request("3", "order"))
		var early *TooEarlyError
		_, err := h.Settle(Settlement{ID: "2", Key: "order", Task: second.Task, Outcome: lovagestand.OutcomeNotRun, ReadAt: time.Now()})
		c.Assert(err, qt.ErrorAs, &early)
		time.Sleep(time.Until(early.After))
		c.Assert(settled(c, h, second, "2", lovagestand.OutcomeNotRun).Outcome, qt.Equals, lovagestand.OutcomeNotRun)
		var stale *StaleError
		_, err = h.Settle(Settlement{Key: "order", Task: first.Task, Outcome: lovagestand.OutcomeDone})
		c.Assert(err, qt.ErrorAs, &stale)
	})
}

func TestRerunOnlyAfterFailure(t *testing.T) {
	inTime(t, func(c *qt.C, _ *fakeStore, h *Partition) {
		first := claimed(c, h, request("1", "frame"))
		again := request("2", "frame")
		again.Rerun = true
		c.Assert(claimed(c, h, again).Attempt, qt.Equals, 1)
		// While the task may still run, there is no other attempt.
		c.Assert(settled(c, h, first, "", lovagestand.OutcomeUnknown).Settled(), qt.IsFalse)
		c.Assert(claimed(c, h, again).Attempt, qt.Equals, 1)
		_, err := h.Settle(Settlement{Key: "frame", Task: first.Task, Outcome: lovagestand.OutcomeUnknown, Stopped: true})
		c.Assert(err, qt.IsNil)
		c.Assert(claimed(c, h, request("3", "frame")).Outcome, qt.Equals, lovagestand.OutcomeUnknown)
		second := claimed(c, h, again)
		c.Assert(second.Attempt, qt.Equals, 2)
		c.Assert(settled(c, h, second, "2", lovagestand.OutcomeNotRun).Outcome, qt.Equals, lovagestand.OutcomeUnknown)
	})
}

func TestOutageEndsInNotGranted(t *testing.T) {
	inTime(t, func(c *qt.C, s *fakeStore, h *Partition) {
		s.fail(fault{late: 30 * time.Second})
		_, err := h.Claim(context.Background(), request("1", "order"))
		var notGranted *NotGrantedError
		c.Assert(err, qt.ErrorAs, &notGranted)
		s.fail(fault{})
		// The write that was not answered takes effect, but as an attempt that
		// has ended.
		c.Assert(claimed(c, h, request("2", "order")).Attempt, qt.Equals, 2)
	})
}

func TestArchivesKeepEveryLivingClaim(t *testing.T) {
	inTime(t, func(c *qt.C, s *fakeStore, h *Partition) {
		key := func(i int) lovagestand.RequestKey { return lovagestand.RequestKey(fmt.Sprint("k", i)) }
		const askers, count = 32, 4 * rollRecords
		done := make(chan Claim, count)
		for a := range askers {
			go func() {
				for i := a; i < count; i += askers {
					done <- claimed(c, h, request("1", key(i)))
				}
			}()
		}
		tasks := make(map[lovagestand.RequestKey]lovagestand.TaskID)
		for range count {
			claim := <-done
			tasks[claim.Key] = claim.Task
			if claim.Key != key(5) {
				settled(c, h, claim, "", lovagestand.OutcomeDone)
			}
		}
		// Later claims make the first archives expire.
		for i := range 3 * rollRecords {
			if i%rollRecords == 0 {
				time.Sleep(DefaultRetention)
			}
			claimed(c, h, request("1", key(count+i)))
		}
		next, stop := openHome(c, s, 2)
		defer stop()
		c.Assert(claimed(c, next, request("2", key(5))).Task, qt.Equals, tasks[key(5)])
		c.Assert(next.Stats().Claims < count, qt.IsTrue)
		c.Assert(claimed(c, next, request("2", key(count))).Attempt, qt.Equals, 1)
	})
}

func TestPausedOwnerGrantsNothing(t *testing.T) {
	inTime(t, func(c *qt.C, s *fakeStore, h *Partition) {
		s.fail(fault{before: time.Second})
		failed := make(chan error)
		go func() {
			_, err := h.Claim(context.Background(), request("1", "order"))
			failed <- err
		}()
		time.Sleep(time.Millisecond)
		s.fail(fault{})
		next, stop := openHome(c, s, 2)
		defer stop()
		claimed(c, next, request("2", "order"))
		var notOwner *NotOwnerError
		c.Assert(<-failed, qt.ErrorAs, &notOwner)
	})
}

// TestWritesStayWithinBudget claims at growing rates at one home: its store
// writes a second stay within its part of the budget.
func TestWritesStayWithinBudget(t *testing.T) {
	const seconds = 20
	for _, rate := range []int{1, 10, 100, 300} {
		t.Run(fmt.Sprint(rate, " a second"), func(t *testing.T) {
			inTime(t, func(c *qt.C, _ *fakeStore, h *Partition) {
				began, before := time.Now(), h.Stats()
				var waited atomic.Int64
				var calls sync.WaitGroup
				for i := range rate * seconds {
					calls.Go(func() {
						asked := time.Now()
						claimed(c, h, request("1", lovagestand.RequestKey(fmt.Sprint(i))))
						waited.Add(int64(time.Since(asked)))
					})
					time.Sleep(time.Second / time.Duration(rate))
				}
				calls.Wait()
				s := h.Stats()
				writes, elapsed := float64(s.Writes-before.Writes), time.Since(began).Seconds()
				c.Logf("%d claims/s: %.1f writes/s, %.1f KB/s, mean wait %s", rate, writes/elapsed,
					float64(s.WrittenBytes)/elapsed/1e3, time.Duration(waited.Load()/int64(rate*seconds)))
				c.Assert(writes <= (elapsed+1)*DefaultWritesPerSecond/NumberOfPartitions, qt.IsTrue)
			})
		})
	}
}

func TestLateCopyIsNotAnotherTry(t *testing.T) {
	inTime(t, func(c *qt.C, _ *fakeStore, h *Partition) {
		late := request("2", "order")
		late.Submitted = time.Now()
		first := claimed(c, h, request("1", "order"))
		time.Sleep(time.Second)
		_, err := h.Settle(Settlement{ID: "1", Key: first.Key, Task: first.Task, Outcome: lovagestand.OutcomeNotRun})
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Minute)
		got := claimed(c, h, late)
		c.Assert(got.Attempt, qt.Equals, 1)
		c.Assert(got.Outcome, qt.Equals, lovagestand.OutcomeNotRun)
		again := request("3", "order")
		again.Submitted = time.Now()
		c.Assert(claimed(c, h, again).Attempt, qt.Equals, 2)
	})
}
