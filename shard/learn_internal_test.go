package shard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
)

// TestFarFactorIsLearnedFromRunsWithWrongEstimates guards against a factor that follows
// the errors of estimates, which are off by up to 90% in both directions, or slow workers,
// instead of the run times near and elsewhere.
func TestFarFactorIsLearnedFromRunsWithWrongEstimates(t *testing.T) {
	c := qt.New(t)
	for _, factor := range []float64{1, 1.5, 3} {
		for seed := range uint64(5) {
			c.Run(fmt.Sprintf("factor %g, seed %d", factor, seed), func(c *qt.C) {
				s := New(jobstore.Term{Shard: "0"}, Limits{}, Deps{})
				learnFarFactor(s, factor, rand.New(rand.NewPCG(seed, 1)))
				got := s.stats("plan").locality.factor()
				c.Check(math.Abs(math.Log(got.Value/factor)) <= math.Log(1.2), qt.IsTrue, qt.Commentf("learned %+v", got))
				c.Check(got.Near > 0 && got.Far > 0, qt.IsTrue)
			})
		}
	}
}

// learnFarFactor records the completed tasks of 600 steps, which run on 40 workers. A
// quarter of the workers are 2.4 times as slow as the others; tasks elsewhere run on them
// twice as often as tasks near.
func learnFarFactor(s *Shard, factor float64, random *rand.Rand) {
	workers := make([]*worker, 40)
	for i := range workers {
		workers[i] = &worker{}
	}
	now := time.UnixMilli(1_700_000_000_000)
	for range 600 {
		runTime := 3 * (0.5 + random.Float64())
		estimate := time.Duration(runTime * (0.1 + 1.8*random.Float64()) * float64(time.Second))
		step := job.Step{Count: 6, Estimate: estimate, Affinity: "near"}
		e := newJobEntry(job.New(job.Job{Policy: job.Policy{Route: "plan"}, Steps: []job.Step{step}}, now), nil)
		for range step.Count {
			where, took, chosen := localityNear, runTime, random.IntN(40)
			p := &placement{entry: e, placedAt: now, settledAt: now, expectedRunTime: s.runTime(e, step)}
			if random.IntN(2) == 0 {
				where, took = localityFar, took*factor
				if random.IntN(4) == 0 {
					chosen = random.IntN(10)
				}
				p.farFactor = s.stats("plan").locality.factor().Value
				p.expectedRunTime = time.Duration(p.farFactor * float64(p.expectedRunTime))
			}
			if chosen < 10 {
				took *= 2.4
			}
			p.locality = where
			s.recordRunTime(workers[chosen], p, now.Add(time.Duration(took*float64(time.Second))))
		}
	}
}

// TestFarFactorBeforeEvidence guards against decisions on a factor for which there are no
// runs near or elsewhere to compare with, as after a takeover, and against one absurd run
// that decides the factor.
func TestFarFactorBeforeEvidence(t *testing.T) {
	c := qt.New(t)
	var stats localityStats
	c.Assert(stats.factor().Value, qt.Equals, priorFarFactor)
	stats.record(localityNear, 1, 1)
	c.Assert(stats.factor().Value, qt.Equals, priorFarFactor)
	stats.record(localityFar, 1000, 1)
	c.Assert(stats.factor().Value <= maxFarFactor, qt.IsTrue)
	stats = localityStats{}
	for range 100 {
		stats.record(localityNear, 1, 1)
		stats.record(localityFar, 1.5, 1)
	}
	stats.record(localityFar, 1000, 1)
	c.Assert(stats.factor().Value < 1.6, qt.IsTrue)
}

// TestResumedRunsDoNotCount guards against a factor that is learned from runs that were
// resumed from a checkpoint, which are shorter than whole ones.
func TestResumedRunsDoNotCount(t *testing.T) {
	c := qt.New(t)
	s := New(jobstore.Term{Shard: "0"}, Limits{}, Deps{})
	now := time.UnixMilli(1_700_000_000_000)
	step := job.Step{Count: 1, Estimate: time.Second, Affinity: "near"}
	e := newJobEntry(job.New(job.Job{Policy: job.Policy{Route: "plan"}, Steps: []job.Step{step}}, now), nil)
	p := &placement{entry: e, placedAt: now, settledAt: now, checkpoint: "c", checkpointAt: now, expectedRunTime: time.Second, locality: localityFar}
	s.recordRunTime(&worker{}, p, now.Add(100*time.Millisecond))
	c.Assert(s.stats(lovagestand.RouteName("plan")).locality.far.tasks, qt.Equals, 0)
}
