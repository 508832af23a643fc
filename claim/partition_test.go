package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	lovagestand "lovagestand.example/lovagestand"
)

// withPartition runs a test in virtual time with a store and an open partition.
func withPartition(t *testing.T, do func(c *qt.C, s *fakeStore, p *Partition)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		p, stop := openPartition(qt.New(t), s, 1)
		defer time.Sleep(time.Minute) // Calls in flight end.
		defer stop()
		do(qt.New(t), s, p)
	})
}

// openPartition opens and runs partition 0. The function that it returns stops the
// partition.
func openPartition(c *qt.C, s *fakeStore, epoch lovagestand.Epoch) (*Partition, func()) {
	c.Helper()
	p, err := Open(context.Background(), PartitionName(0), s, soleOwner(epoch), WithIDs(sequentialIDs(fmt.Sprint("t", epoch))))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(ctx)
	}()
	return p, func() {
		cancel()
		<-done
	}
}

// sequentialIDs returns a source of numbered IDs.
func sequentialIDs(prefix string) func() string {
	n := 0
	return func() string {
		n++
		return fmt.Sprint(prefix, "-", n)
	}
}

func request(id string, key lovagestand.RequestKey) Request {
	return Request{ID: id, Key: key, Fingerprint: 7, Shard: "malabar/r1", StartBy: time.Now().Add(10 * time.Second)}
}

func mustClaim(c *qt.C, p *Partition, r Request) Claim {
	c.Helper()
	claim, err := p.Claim(context.Background(), r)
	c.Assert(err, qt.IsNil)
	return claim
}

func mustSettle(c *qt.C, p *Partition, claim Claim, id string, outcome lovagestand.Outcome) Claim {
	c.Helper()
	claim, err := p.Settle(Settlement{ID: id, Key: claim.Key, Task: claim.Task, Outcome: outcome, ReadAt: time.Now()})
	c.Assert(err, qt.IsNil)
	return claim
}

// TestRepeatedKeyAttaches claims a key repeatedly, also after a change of owner:
// each request attaches to the first task until the claim has expired. A
// different request with the same key fails.
func TestRepeatedKeyAttaches(t *testing.T) {
	withPartition(t, func(c *qt.C, s *fakeStore, p *Partition) {
		first := mustClaim(c, p, request("1", "order"))
		c.Assert(first.Attempt, qt.Equals, 1)
		c.Assert(first.SoleHolder, qt.IsTrue)
		shared := first
		shared.SoleHolder = false
		c.Assert(mustClaim(c, p, request("2", "order").WithShard("malabar/r2")), qt.DeepEquals, shared)
		var mismatch *MismatchError
		other := request("3", "order")
		other.Fingerprint = 8
		_, err := p.Claim(context.Background(), other)
		c.Assert(err, qt.ErrorAs, &mismatch)
		mustSettle(c, p, first, "", lovagestand.OutcomeDone)
		time.Sleep(time.Second)
		next, stop := openPartition(c, s, 2)
		defer stop()
		c.Assert(mustClaim(c, next, request("4", "order")).Outcome, qt.Equals, lovagestand.OutcomeDone)
		time.Sleep(DefaultRetention + sweepInterval)
		c.Assert(mustClaim(c, next, request("5", "order")).Task, qt.Not(qt.Equals), first.Task)
	})
}

// TestNotRunOnlyWhenNoOtherHolderMayStart settles tasks as not run. While a second
// holder of the claim may still start the task, this must fail.
func TestNotRunOnlyWhenNoOtherHolderMayStart(t *testing.T) {
	withPartition(t, func(c *qt.C, _ *fakeStore, p *Partition) {
		first := mustClaim(c, p, request("1", "order"))
		mustSettle(c, p, first, "1", lovagestand.OutcomeNotRun)
		second := mustClaim(c, p, request("2", "order"))
		c.Assert(second.Attempt, qt.Equals, 2)
		mustClaim(c, p, request("3", "order"))
		var early *TooEarlyError
		_, err := p.Settle(Settlement{ID: "2", Key: "order", Task: second.Task, Outcome: lovagestand.OutcomeNotRun, ReadAt: time.Now()})
		c.Assert(err, qt.ErrorAs, &early)
		time.Sleep(time.Until(early.After))
		c.Assert(mustSettle(c, p, second, "2", lovagestand.OutcomeNotRun).Outcome, qt.Equals, lovagestand.OutcomeNotRun)
		var stale *StaleError
		_, err = p.Settle(Settlement{Key: "order", Task: first.Task, Outcome: lovagestand.OutcomeDone})
		c.Assert(err, qt.ErrorAs, &stale)
	})
}

// TestRerunOnlyAfterFailure requests reruns of an idempotent request. Another
// attempt begins only once the last one is recorded as stopped without being done.
func TestRerunOnlyAfterFailure(t *testing.T) {
	withPartition(t, func(c *qt.C, _ *fakeStore, p *Partition) {
		first := mustClaim(c, p, request("1", "frame"))
		again := request("2", "frame")
		again.Rerun = true
		c.Assert(mustClaim(c, p, again).Attempt, qt.Equals, 1)
		// No other attempt begins while the task may still be running.
		c.Assert(mustSettle(c, p, first, "", lovagestand.OutcomeUnknown).Settled(), qt.IsFalse)
		c.Assert(mustClaim(c, p, again).Attempt, qt.Equals, 1)
		_, err := p.Settle(Settlement{Key: "frame", Task: first.Task, Outcome: lovagestand.OutcomeUnknown, Stopped: true})
		c.Assert(err, qt.IsNil)
		c.Assert(mustClaim(c, p, request("3", "frame")).Outcome, qt.Equals, lovagestand.OutcomeUnknown)
		second := mustClaim(c, p, again)
		c.Assert(second.Attempt, qt.Equals, 2)
		c.Assert(mustSettle(c, p, second, "2", lovagestand.OutcomeNotRun).Outcome, qt.Equals, lovagestand.OutcomeUnknown)
	})
}

// TestOutageEndsInNotGranted delays the effect of all store writes beyond the
// request's StartBy. The claim is not granted then, and the late write must not
// make it a granted one.
func TestOutageEndsInNotGranted(t *testing.T) {
	withPartition(t, func(c *qt.C, s *fakeStore, p *Partition) {
		s.setFault(fault{lateEffect: 30 * time.Second})
		_, err := p.Claim(context.Background(), request("1", "order"))
		var notGranted *NotGrantedError
		c.Assert(err, qt.ErrorAs, &notGranted)
		s.setFault(fault{})
		// The write that got no reply still takes effect, but its attempt has
		// already ended.
		c.Assert(mustClaim(c, p, request("2", "order")).Attempt, qt.Equals, 2)
	})
}

// TestArchivesKeepEveryUnexpiredClaim makes the first archives expire while they
// contain one claim that is not settled. That claim must survive.
func TestArchivesKeepEveryUnexpiredClaim(t *testing.T) {
	withPartition(t, func(c *qt.C, s *fakeStore, p *Partition) {
		key := func(i int) lovagestand.RequestKey { return lovagestand.RequestKey(fmt.Sprint("k", i)) }
		const clients, count = 32, 4 * archiveThreshold
		done := make(chan Claim, count)
		for a := range clients {
			go func() {
				for i := a; i < count; i += clients {
					done <- mustClaim(c, p, request("1", key(i)))
				}
			}()
		}
		tasks := make(map[lovagestand.RequestKey]lovagestand.TaskID)
		for range count {
			claim := <-done
			tasks[claim.Key] = claim.Task
			if claim.Key != key(5) {
				mustSettle(c, p, claim, "", lovagestand.OutcomeDone)
			}
		}
		// Time passes, and later claims make the partition drop the first
		// archives.
		for i := range 3 * archiveThreshold {
			if i%archiveThreshold == 0 {
				time.Sleep(DefaultRetention)
			}
			mustClaim(c, p, request("1", key(count+i)))
		}
		next, stop := openPartition(c, s, 2)
		defer stop()
		c.Assert(mustClaim(c, next, request("2", key(5))).Task, qt.Equals, tasks[key(5)])
		c.Assert(next.Stats().Claims < count, qt.IsTrue)
		c.Assert(mustClaim(c, next, request("2", key(count))).Attempt, qt.Equals, 1)
	})
}

// TestDroppedArchiveStaysUntilAHeadIsStored makes archives expire. The partition
// drops one of them together with the last claim of its queue, and the store loses
// all later writes, so the stored head still lists the archive. The next owner must
// find it, and delete it once a head without it is stored.
func TestDroppedArchiveStaysUntilAHeadIsStored(t *testing.T) {
	withPartition(t, func(c *qt.C, s *fakeStore, p *Partition) {
		claimAndSettle(c, p, "old", 2*archiveThreshold+2)
		time.Sleep(2 * DefaultRetention)
		expired := s.archives()[0]
		claimUntilArchived(c, s, p, "new")
		s.setFault(fault{dropCall: true})
		go func() { _, _ = p.Claim(context.Background(), request("1", "lost")) }()
		time.Sleep(5 * time.Second)
		s.setFault(fault{})
		next, stop := openPartition(c, s, 2)
		defer stop()
		c.Assert(mustClaim(c, next, request("2", "new0")).Attempt, qt.Equals, 1)
		time.Sleep(time.Second)
		mustClaim(c, next, request("2", "second"))
		time.Sleep(time.Second)
		var listed []string
		for _, a := range next.archives {
			listed = append(listed, a.Key)
		}
		c.Assert(s.archives(), qt.DeepEquals, listed)
		c.Assert(listed, qt.Not(qt.Contains), expired)
	})
}

// claimAndSettle claims count keys with a prefix and settles them as done.
func claimAndSettle(c *qt.C, p *Partition, prefix string, count int) {
	c.Helper()
	for i := range count {
		claim := mustClaim(c, p, request("1", lovagestand.RequestKey(fmt.Sprint(prefix, i))))
		mustSettle(c, p, claim, "", lovagestand.OutcomeDone)
	}
}

// claimUntilArchived claims keys with a prefix, each once the partition is idle,
// until another archive is in the store.
func claimUntilArchived(c *qt.C, s *fakeStore, p *Partition, prefix string) {
	c.Helper()
	before := s.archives()
	for i := 0; slices.Equal(s.archives(), before); i++ {
		mustClaim(c, p, request("1", lovagestand.RequestKey(fmt.Sprint(prefix, i))))
		time.Sleep(time.Second)
	}
}

// TestPausedOwnerGrantsNothing delays a write of an owner until another owner has
// taken over. The claim of the first owner must fail.
func TestPausedOwnerGrantsNothing(t *testing.T) {
	withPartition(t, func(c *qt.C, s *fakeStore, p *Partition) {
		s.setFault(fault{delayBefore: time.Second})
		failed := make(chan error)
		go func() {
			_, err := p.Claim(context.Background(), request("1", "order"))
			failed <- err
		}()
		time.Sleep(time.Millisecond)
		s.setFault(fault{})
		next, stop := openPartition(c, s, 2)
		defer stop()
		mustClaim(c, next, request("2", "order"))
		var notOwner *NotOwnerError
		c.Assert(<-failed, qt.ErrorAs, &notOwner)
	})
}

// TestWritesStayWithinBudget claims at growing rates from one partition. Its store
// writes per second must stay within its part of the budget.
func TestWritesStayWithinBudget(t *testing.T) {
	const seconds = 20
	for _, rate := range []int{1, 10, 100, 300} {
		t.Run(fmt.Sprint(rate, " a second"), func(t *testing.T) {
			withPartition(t, func(c *qt.C, _ *fakeStore, p *Partition) {
				startedAt, before := time.Now(), p.Stats()
				var totalWait atomic.Int64
				var calls sync.WaitGroup
				for i := range rate * seconds {
					calls.Go(func() {
						calledAt := time.Now()
						mustClaim(c, p, request("1", lovagestand.RequestKey(fmt.Sprint(i))))
						totalWait.Add(int64(time.Since(calledAt)))
					})
					time.Sleep(time.Second / time.Duration(rate))
				}
				calls.Wait()
				s := p.Stats()
				writes, elapsed := float64(s.Writes-before.Writes), time.Since(startedAt).Seconds()
				c.Logf("%d claims/s: %.1f writes/s, %.1f KB/s, mean wait %s", rate, writes/elapsed,
					float64(s.WrittenBytes)/elapsed/1e3, time.Duration(totalWait.Load()/int64(rate*seconds)))
				c.Assert(writes <= (elapsed+1)*DefaultWritesPerSecond/NumberOfPartitions, qt.IsTrue)
			})
		})
	}
}

// TestLateDuplicateIsNotAnotherAttempt delays a duplicate of a request until the
// request has been answered as not run. The duplicate must get the same answer,
// and only a request that was submitted later begins another attempt.
func TestLateDuplicateIsNotAnotherAttempt(t *testing.T) {
	withPartition(t, func(c *qt.C, _ *fakeStore, p *Partition) {
		late := request("2", "order")
		late.Submitted = time.Now()
		first := mustClaim(c, p, request("1", "order"))
		time.Sleep(time.Second)
		_, err := p.Settle(Settlement{ID: "1", Key: first.Key, Task: first.Task, Outcome: lovagestand.OutcomeNotRun})
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Minute)
		got := mustClaim(c, p, late)
		c.Assert(got.Attempt, qt.Equals, 1)
		c.Assert(got.Outcome, qt.Equals, lovagestand.OutcomeNotRun)
		again := request("3", "order")
		again.Submitted = time.Now()
		c.Assert(mustClaim(c, p, again).Attempt, qt.Equals, 2)
	})
}
