package shard_test

import (
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

// TestFinishedJobIsNotAcceptedAgain sends cancellations while the end of a job is being
// stored, and then a late duplicate of its submission, which must not run the job again.
func TestFinishedJobIsNotAcceptedAgain(t *testing.T) {
	for name, r := range map[string]struct {
		// cancelAt is how long after the submission the cancellations begin.
		cancelAt, gap time.Duration
		phase         string
	}{
		"cancelled twice":           {cancelAt: 700 * time.Millisecond, phase: "cancelled"},
		"cancelled again later":     {cancelAt: 700 * time.Millisecond, gap: 60 * time.Millisecond, phase: "cancelled"},
		"cancelled as it completes": {cancelAt: 1100 * time.Millisecond, phase: "completed"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 1, always(500*time.Millisecond, lovagestand.EndingDone))
				k.delay.Store(int64(100 * time.Millisecond))
				o := k.beginReadyTerm("a")
				defer func() { o.stop() }()
				steps := []job.Step{{Count: 2, Gang: true}, {Count: 2, Gang: true, After: []int{0}}}
				o.submit(c, id(1), steps...)
				time.Sleep(r.cancelAt)
				var cancelling sync.WaitGroup
				for i := range 3 {
					cancelling.Go(func() {
						time.Sleep(time.Duration(i) * r.gap)
						c.Check(o.Cancel(t.Context(), job.ID(id(1)), ""), qt.IsNil)
					})
				}
				cancelling.Wait()
				time.Sleep(3 * time.Second)
				assertDuplicateIsNotRun(c, k, o, r.phase, steps)
				o.stop()
				o = k.beginReadyTerm("b")
				assertDuplicateIsNotRun(c, k, o, r.phase, steps)
			})
		})
	}
}

// TestCancelledBeforeItsSubmissionArrives has a submission arrive after its cancellation
// was acknowledged, as from an instance that was suspended. The job must not run.
func TestCancelledBeforeItsSubmissionArrives(t *testing.T) {
	for name, takeover := range map[string]bool{"same owner": false, "next owner": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 1, always(500*time.Millisecond, lovagestand.EndingDone))
				o := k.beginReadyTerm("a")
				defer func() { o.stop() }()
				var unknownJob *shard.UnknownJobError
				for range 2 {
					c.Assert(o.Cancel(t.Context(), job.ID(id(1)), ""), qt.ErrorAs, &unknownJob)
				}
				_, err := o.State(job.ID(id(1)))
				c.Assert(err, qt.ErrorAs, &unknownJob)
				if takeover {
					o.stop()
					o = k.beginReadyTerm("b")
				}
				assertDuplicateIsNotRun(c, k, o, "cancelled", []job.Step{{Count: 2}})
			})
		})
	}
}

// assertDuplicateIsNotRun submits job 1 again and checks that no task starts, because
// the job has ended.
func assertDuplicateIsNotRun(c *qt.C, k *cell, o *owner, phase string, steps []job.Step) {
	c.Helper()
	starts := k.fleet.Starts()
	c.Assert(o.trySubmit(id(1), steps...), qt.IsNil)
	time.Sleep(5 * time.Second)
	assertPhase(c, o, id(1), phase)
	c.Assert(k.fleet.Starts(), qt.Equals, starts)
	k.assertNoViolations()
}

// TestFinishedJobIsKnownForItsRetention sends a duplicate of a submission at the end of
// the retention, after a takeover. Later the job must be unknown.
func TestFinishedJobIsKnownForItsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(500*time.Millisecond, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		defer func() { o.stop() }()
		steps := []job.Step{{Count: 1}}
		o.submit(c, id(1), steps...)
		time.Sleep(time.Minute)
		o.stop()
		o = k.beginReadyTerm("b")
		time.Sleep(time.Minute)
		assertDuplicateIsNotRun(c, k, o, "completed", steps)
		time.Sleep(30 * time.Second)
		var unknownJob *shard.UnknownJobError
		_, err := o.State(job.ID(id(1)))
		c.Assert(err, qt.ErrorAs, &unknownJob)
	})
}

// TestDuplicateOfACancelledSubmissionIsAcknowledgedOnceStored cancels a job before its
// submission, submits it twice and has a takeover follow at once. The second submission
// must be acknowledged only once the first is stored, so that the next owner loads it.
func TestDuplicateOfACancelledSubmissionIsAcknowledgedOnceStored(t *testing.T) {
	for name, after := range map[string]time.Duration{"cancellation stored": 300 * time.Millisecond, "cancellation being written": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 1, always(500*time.Millisecond, lovagestand.EndingDone))
				o := k.beginReadyTerm("a")
				defer o.stop()
				k.delay.Store(int64(100 * time.Millisecond))
				go func() { _ = o.Cancel(t.Context(), job.ID(id(1)), "") }()
				time.Sleep(after)
				go func() { _ = o.trySubmit(id(1), job.Step{Count: 1}) }()
				time.Sleep(60 * time.Millisecond)
				o.submit(c, id(1), job.Step{Count: 1})
				later := k.beginTerm("b")
				defer later.stop()
				assertPhase(c, later, id(1), "cancelled")
			})
		})
	}
}

// TestUndecodableJobIsNotAcceptedAgain has a job in the store that a later version has
// written in a format that this version cannot decode.
func TestUndecodableJobIsNotAcceptedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(500*time.Millisecond, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		o.submit(c, id(1), job.Step{Count: 1})
		time.Sleep(3 * time.Second)
		o.stop()
		k.keys.Put("shards/0/jobs/"+id(1), []byte(`{"phase":"archived","finishedMillis":1}`))
		later := k.beginReadyTerm("b")
		defer later.stop()
		var unknown *shard.UnknownError
		c.Check(later.trySubmit(id(1), job.Step{Count: 1}), qt.ErrorAs, &unknown)
		c.Check(later.Cancel(t.Context(), job.ID(id(1)), ""), qt.ErrorAs, &unknown)
		var notOwner *shard.NotOwnerError
		_, err := later.State(job.ID(id(1)))
		c.Check(err, qt.ErrorAs, &notOwner)
		time.Sleep(3 * time.Second)
		k.assertNoViolations()
	})
}

// TestUnknownCancellationsDoNotAccumulate cancels many unknown jobs while the store is
// unavailable.
func TestUnknownCancellationsDoNotAccumulate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 0, always(time.Second, lovagestand.EndingDone))
		o := k.beginTerm("a")
		defer o.stop()
		k.keys.SetFault(func(string) keyspace.Fault { return keyspace.FaultLostRequest })
		var rejected *shard.RejectedError
		for i := range 1000 {
			go func() { _ = o.Cancel(t.Context(), job.ID(id(i)), "") }()
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(o.Status().Jobs < 100, qt.IsTrue, qt.Commentf("%d jobs", o.Status().Jobs))
		c.Assert(o.Cancel(t.Context(), job.ID(id(1000)), ""), qt.ErrorAs, &rejected)
		k.keys.SetFault(nil)
		time.Sleep(5 * time.Second)
		var unknownJob *shard.UnknownJobError
		c.Assert(o.Cancel(t.Context(), job.ID(id(1000)), ""), qt.ErrorAs, &unknownJob)
	})
}

// TestUndecodableRosterDelaysTasks has a roster in the store that a later version has
// written in a format that this version cannot decode. Any worker may then hold tasks,
// so tasks must not start before all leases have expired.
func TestUndecodableRosterDelaysTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(20*time.Second, lovagestand.EndingDone))
		former := k.beginReadyTerm("a")
		former.submit(c, id(1), job.Step{Count: 6})
		time.Sleep(time.Second)
		former.stop()
		k.keys.Put("shards/0/roster", []byte(`["w0","w1"]`))
		k.fleet.SetUnreachable("w0", true)
		later := k.beginTerm("b")
		defer later.stop()
		time.Sleep(50 * time.Second)
		assertPhase(c, later, id(1), "completed")
		k.assertNoViolations()
	})
}

// TestStoppingOwnerDoesNotRejectADuplicateOfAJobItMayStore sends a duplicate while the
// last write of a planned stop stores the job. The job may run, so the outcome of the
// duplicate must be reported as unknown.
func TestStoppingOwnerDoesNotRejectADuplicateOfAJobItMayStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(500*time.Millisecond, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		k.delay.Store(int64(400 * time.Millisecond))
		var submitting sync.WaitGroup
		submitting.Go(func() { c.Check(o.trySubmit(id(1), job.Step{Count: 1}), qt.IsNil) })
		time.Sleep(100 * time.Millisecond)
		submitting.Go(o.stop)
		time.Sleep(100 * time.Millisecond)
		var unknown *shard.UnknownError
		c.Check(o.trySubmit(id(1), job.Step{Count: 1}), qt.ErrorAs, &unknown)
		submitting.Wait()
		k.delay.Store(0)
		later := k.beginReadyTerm("b")
		defer later.stop()
		time.Sleep(5 * time.Second)
		assertPhase(c, later, id(1), "completed")
	})
}
