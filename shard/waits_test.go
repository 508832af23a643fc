package shard_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
)

func cores(n int64) lovagestand.Resources {
	return lovagestand.Resources{MilliCPU: 1000 * n, MemoryMiB: 1000 * n}
}

// ticketPolicy returns the policy of a route whose tasks need tickets.
func ticketPolicy(route lovagestand.RouteName, fixed, perWorker time.Duration) job.Policy {
	return job.Policy{
		Route: route, MaxAttempts: 2, Stretch: 2, Target: time.Second,
		Advice: job.AdvicePolicy{FixedDuration: fixed, PerWorker: perWorker, Validity: ticketValidity},
	}
}

// drawBetween draws a duration.
func drawBetween(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}

// drawWhole draws a task that leaves less than half of its worker to others.
func drawWhole(r *rand.Rand) *watchedStep {
	runTime := drawBetween(r, 5*time.Second, longestRun)
	return &watchedStep{
		policy: ticketPolicy("small", 60*time.Millisecond, time.Millisecond), runTime: runTime,
		Step: job.Step{Count: 1, Needs: cores(17 + r.Int64N(4)), Estimate: runTime},
	}
}

// drawGang draws a short gang with one task on each worker.
func drawGang(r *rand.Rand) *watchedStep {
	runTime := drawBetween(r, 500*time.Millisecond, time.Second)
	return &watchedStep{
		policy: ticketPolicy("gang", 200*time.Millisecond, 3*time.Millisecond), runTime: runTime,
		Step: job.Step{Count: 12 + r.IntN(4), Gang: true, Needs: cores(20 + r.Int64N(3)), Estimate: runTime},
	}
}

// newBusyWorld returns a world in which smaller steps and gangs use half of the processors,
// and a late gang that needs two fifths of its allowed workers whole. Gangs of higher score
// wait all the time and hold all reservations of each pass.
func newBusyWorld(c *qt.C, runTime time.Duration) (*waitsWorld, *watchedStep) {
	w := newWaitsWorld(c, 1, 96, 16, 0.45)
	w.begin("a")
	time.Sleep(time.Second)
	wide := &watchedStep{
		policy: ticketPolicy("wide", 300*time.Millisecond, 5*time.Millisecond), runTime: runTime,
		Step: job.Step{Count: 36, Gang: true, Needs: cores(15), Estimate: runTime},
	}
	wide.policy.Stretch, wide.policy.Target = 0, time.Millisecond
	w.stream(1, 0.36, drawWhole)
	w.stream(2, 0.14, drawGang)
	return w, wide
}

// assertRuns submits a burst of gangs of higher score and checks that a step runs although
// they wait.
func (w *waitsWorld) assertRuns(s *watchedStep) {
	w.c.Helper()
	burst, since := rand.New(rand.NewPCG(1, 3)), time.Now()
	for n := range 25 {
		w.submit(id(n), drawGang(burst))
	}
	for w.placed()[s.id] < s.Count && time.Since(since) < waitBound {
		time.Sleep(sampleInterval)
	}
	placed := w.placed()[s.id]
	free, share := w.free()
	w.locked(func() { w.c.Assert(placed, qt.Equals, s.Count, qt.Commentf("%s", w.describe(s, free, share))) })
}

func TestWideGangStartsBelowAStreamOfSmallSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, wide := newBusyWorld(qt.New(t), 4*time.Second)
		defer w.stop()
		time.Sleep(10 * time.Second)
		w.submit(id(99), wide)
		w.assertRuns(wide)
	})
}

// TestGangOfARestartedWorkerStartsBelowAStreamOfSmallSteps has a wide gang that ran until the
// worker of one of its tasks restarted. That task may have crashed its worker.
func TestGangOfARestartedWorkerStartsBelowAStreamOfSmallSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, wide := newBusyWorld(qt.New(t), time.Minute)
		defer w.stop()
		w.submit(id(99), wide)
		time.Sleep(10 * time.Second)
		w.c.Assert(w.placed()[wide.id], qt.Equals, wide.Count)
		w.restart(slices.IndexFunc(w.list(), func(worker lovagestand.FleetWorker) bool { return worker.Name == w.workerOf(wide) }))
		time.Sleep(sampleInterval)
		w.c.Assert(w.placed()[wide.id], qt.Equals, 0)
		w.assertRuns(wide)
	})
}

// workerOf returns the worker of the last run of a step.
func (w *waitsWorld) workerOf(s *watchedStep) (name lovagestand.WorkerName) {
	for _, r := range w.fleet.Runs() {
		if w.stepOf(r.Task) == s {
			name = r.Worker
		}
	}
	return name
}
