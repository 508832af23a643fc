package shard_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// outage makes the store fail from now on for a time, and returns its end.
func (k *cell) outage(fault keyspace.Fault, lasting time.Duration) time.Time {
	end := time.Now().Add(lasting)
	k.keys.SetFault(func(string) keyspace.Fault {
		if time.Now().Before(end) {
			return fault
		}
		return keyspace.FaultNone
	})
	return end
}

// TestJobsAfterAnOutage guards against jobs that are accepted, or shown as completed, only
// long after an outage in which most jobs made progress.
func TestJobsAfterAnOutage(t *testing.T) {
	for name, fault := range map[string]keyspace.Fault{"silent": keyspace.FaultLostRequest, "rejecting": keyspace.FaultRejected} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				const jobs = 120
				k := newCell(c, jobs/4, always(2*time.Second, lovagestand.EndingDone))
				k.delay.Store(int64(4 * time.Millisecond))
				o := k.beginReadyTerm("a")
				defer o.stop()
				for i := range jobs {
					o.submit(c, id(i), job.Step{Count: 1}, job.Step{Count: 1 + min(i, 1), After: []int{0}})
				}
				end := k.outage(fault, 4200*time.Millisecond)
				time.Sleep(time.Until(end.Add(-100 * time.Millisecond)))
				for o.trySubmit(id(jobs)) != nil {
					time.Sleep(300 * time.Millisecond)
				}
				c.Check(time.Since(end) <= 800*time.Millisecond, qt.IsTrue, qt.Commentf("accepted %v after the outage", time.Since(end)))
				time.Sleep(time.Until(end.Add(500 * time.Millisecond)))
				assertPhase(c, o, id(0), "completed")
			})
		})
	}
}

// TestQueuedJobsAreNotAccepted guards against answers that leave the outcome of a job
// unknown that was in no write, and against jobs that run although their callers were told
// that they were not accepted.
func TestQueuedJobsAreNotAccepted(t *testing.T) {
	for name, takeover := range map[string]bool{"caller's deadline": false, "takeover": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 1, always(time.Second, lovagestand.EndingDone))
				o := k.beginReadyTerm("a")
				defer o.stop()
				k.delay.Store(int64(500 * time.Millisecond))
				submit := func(n int) error {
					j := job.Job{ID: job.ID(id(n)), Policy: job.Policy{Route: "quote", MaxAttempts: 2, Stretch: 2, Target: time.Second}, Steps: []job.Step{{Count: 1}}}
					body, err := job.EncodeJob(j)
					c.Check(err, qt.IsNil)
					ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
					defer cancel()
					if takeover {
						ctx = t.Context()
					}
					return o.Submit(ctx, j, body, 0)
				}
				var writing, queued error
				var calls sync.WaitGroup
				calls.Go(func() { writing = submit(1) })
				time.Sleep(10 * time.Millisecond)
				calls.Go(func() { queued = submit(2) })
				time.Sleep(40 * time.Millisecond)
				if takeover {
					k.keys.Put(ownerKey, []byte("b"))
				}
				calls.Wait()
				time.Sleep(5 * time.Second)
				var unknown *shard.UnknownError
				c.Check(writing, qt.ErrorAs, &unknown)
				if takeover {
					var notOwner *shard.NotOwnerError
					c.Check(queued, qt.ErrorAs, &notOwner)
					return
				}
				var rejected *shard.RejectedError
				c.Check(queued, qt.ErrorAs, &rejected)
				assertPhase(c, o, id(1), "completed")
				var unknownJob *shard.UnknownJobError
				_, err := o.State(job.ID(id(2)))
				c.Check(err, qt.ErrorAs, &unknownJob)
			})
		})
	}
}

// TestCallersOfAQueuedJobLearnThatItIsNotAccepted guards against answers that leave the
// outcome of a job unknown because the term ended at the time at which it was withdrawn.
func TestCallersOfAQueuedJobLearnThatItIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const callers = 100
		k := newCell(c, 1, always(time.Second, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		defer o.stop()
		k.delay.Store(int64(500 * time.Millisecond))
		var calls sync.WaitGroup
		calls.Go(func() { o.trySubmit(id(1)) })
		time.Sleep(10 * time.Millisecond)
		outcomes := make([]error, callers)
		for i := range callers {
			calls.Go(func() { outcomes[i] = o.trySubmit(id(2)) })
		}
		time.Sleep(40 * time.Millisecond)
		k.keys.Put(ownerKey, []byte("b"))
		calls.Wait()
		time.Sleep(5 * time.Second)
		for _, err := range outcomes {
			var notOwner *shard.NotOwnerError
			c.Check(err, qt.ErrorAs, &notOwner)
		}
	})
}
