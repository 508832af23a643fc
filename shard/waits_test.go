package shard_test

import (
	"math/rand/v2"
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

// TestWideGangStartsBelowAStreamOfSmallSteps has a late gang that needs two fifths of its
// allowed workers whole, below smaller steps and gangs of higher score that use half of the
// processors. The gangs hold all reservations of each pass.
func TestWideGangStartsBelowAStreamOfSmallSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWaitsWorld(c, 1, 96, 16, 0.45)
		w.begin("a")
		defer w.stop()
		time.Sleep(time.Second)
		w.stream(1, 0.36, func(r *rand.Rand) *watchedStep {
			runTime := drawBetween(r, 5*time.Second, longestRun)
			return &watchedStep{
				policy: ticketPolicy("small", 60*time.Millisecond, time.Millisecond), runTime: runTime,
				Step: job.Step{Count: 1, Needs: cores(17 + r.Int64N(4)), Estimate: runTime},
			}
		})
		drawGang := func(r *rand.Rand) *watchedStep {
			runTime := drawBetween(r, 500*time.Millisecond, time.Second)
			return &watchedStep{
				policy: ticketPolicy("gang", 200*time.Millisecond, 3*time.Millisecond), runTime: runTime,
				Step: job.Step{Count: 12 + r.IntN(4), Gang: true, Needs: cores(20 + r.Int64N(3)), Estimate: runTime},
			}
		}
		w.stream(2, 0.14, drawGang)
		time.Sleep(10 * time.Second)
		burst := rand.New(rand.NewPCG(1, 3))
		for n := range 25 {
			w.submit(id(n), drawGang(burst))
		}
		wide := &watchedStep{
			policy: ticketPolicy("wide", 300*time.Millisecond, 5*time.Millisecond), runTime: 4 * time.Second,
			Step: job.Step{Count: 36, Gang: true, Needs: cores(15), Estimate: 4 * time.Second},
		}
		wide.policy.Stretch, wide.policy.Target = 0, time.Millisecond
		w.submit(id(99), wide)
		free, samples := 0.0, 0
		for ; w.tasksStarted(wide) < wide.Count && time.Since(wide.accepted) < waitBound; samples++ {
			_, share := w.free()
			free += share
			time.Sleep(sampleInterval)
		}
		c.Assert(w.tasksStarted(wide), qt.Equals, wide.Count, qt.Commentf("%s; %.2f of the processors were free on average", w.describe(wide), free/float64(samples)))
	})
}
