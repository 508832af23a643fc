package shard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
)

// newUnevenShard returns a shard with 60 workers, of which a third is 2.4 times as fast as
// the others, that has completed 10 s of the usual load.
func newUnevenShard(unevenWorkers bool) (*Shard, time.Time) {
	s := New(jobstore.Term{Shard: "0"}, Limits{UnevenWorkers: unevenWorkers}, Deps{Recorder: lovagestand.NoRecorder{}, Log: zerolog.Nop()})
	random := rand.New(rand.NewPCG(1, 1))
	var workers []*worker
	for i := range 60 {
		name := lovagestand.WorkerName(fmt.Sprintf("w%02d", i))
		w := &worker{info: lovagestand.FleetWorker{WorkerIncarnation: lovagestand.WorkerIncarnation{Name: name}}, placements: map[string]*placement{}}
		s.workers[name] = w
		workers = append(workers, w)
	}
	now := time.UnixMilli(1_700_000_000_000)
	for second := range 10 {
		for n := range 8 {
			step := job.Step{Count: 6, Estimate: time.Second}
			e := newJobEntry(job.New(job.Job{ID: job.ID(fmt.Sprintf("%d-%d", second, n)), Policy: job.Policy{Route: "r"}, Steps: []job.Step{step}}, now), nil)
			for i := range step.Count {
				chosen := random.IntN(len(workers))
				took := 1.4 * (0.7 + 0.6*random.Float64())
				if chosen%3 == 0 {
					took /= 2.4
				}
				p := &placement{entry: e, task: job.Task{Index: i}, worker: workers[chosen], placedAt: now, settledAt: now, expectedRunTime: s.runTime(e, step)}
				s.recordRunTime(workers[chosen], p, now.Add(time.Duration(took*float64(time.Second))))
			}
		}
		now = now.Add(time.Second)
		p := &pass{now: now}
		s.collectWorkers(p)
		s.setSpeeds(p)
	}
	return s, now.Add(time.Second)
}

func passOf(s *Shard, now time.Time) *pass {
	p := &pass{now: now}
	s.collectWorkers(p)
	s.setSpeeds(p)
	return p
}

// TestUnevenWorkersAreSetInThePass guards against speeds that do not reach the decisions,
// and against decisions by speed where the setting does not allow them.
func TestUnevenWorkersAreSetInThePass(t *testing.T) {
	c := qt.New(t)
	s, now := newUnevenShard(true)
	p := passOf(s, now)
	c.Assert(p.uneven, qt.IsTrue, qt.Commentf("%+v", s.unevenness))
	c.Check(p.plansAdvice(), qt.IsTrue)
	c.Check(p.dispatchWorkers[0].Speed > 1.3, qt.IsTrue, qt.Commentf("%+v", s.unevenness))
	c.Check(p.dispatchWorkers[1].Speed < 1.1, qt.IsTrue)
	c.Check(s.speedStatus().Uneven, qt.IsTrue)
	speedOn := p.speedOn(job.Step{Gang: true}, []int{0, 1})
	c.Check(speedOn(0), qt.Equals, p.workers[1].speed, qt.Commentf("a gang is as slow as its slowest member"))

	s, now = newUnevenShard(false)
	p = passOf(s, now)
	c.Check(p.uneven, qt.IsFalse)
	c.Check(p.plansAdvice(), qt.IsFalse)
	c.Check(p.dispatchWorkers[0].Speed, qt.Equals, 0.0)
	c.Check(s.speedStatus(), qt.IsNil)
}

// TestSpeedsLastThroughRestarts guards against speeds that are lost with an incarnation of
// a worker, and against those of a former owner that remain in force.
func TestSpeedsLastThroughRestarts(t *testing.T) {
	c := qt.New(t)
	s, now := newUnevenShard(true)
	before := passOf(s, now).dispatchWorkers[0].Speed
	s.workers["w00"] = &worker{info: s.workers["w00"].info, placements: map[string]*placement{}}
	c.Check(passOf(s, now.Add(time.Second)).dispatchWorkers[0].Speed, qt.Equals, before)
	next := New(jobstore.Term{Shard: "0"}, s.limits, s.deps)
	next.workers = s.workers
	c.Check(passOf(next, now.Add(time.Second)).uneven, qt.IsFalse)
}

// TestSlownessFollowsKnownSpeed guards against a slowness that counts the speed of a worker
// twice, or not at all, after the speed became known or unknown on an uneven fleet.
func TestSlownessFollowsKnownSpeed(t *testing.T) {
	c := qt.New(t)
	s, now := newUnevenShard(true)
	w := s.workers["w01"]
	speed := s.speeds.Estimate(now, "w01").Speed
	w.speed, w.slowness = 0, 1/speed
	c.Assert(passOf(s, now).uneven, qt.IsTrue)
	c.Check(math.Abs(w.slowness-1) < 1e-9, qt.IsTrue, qt.Commentf("slowness %v at speed %v after it became known", w.slowness, w.speed))
	before, known := w.slowness, w.speed
	w.info.Name = "forgotten"
	c.Assert(passOf(s, now.Add(time.Second)).uneven, qt.IsTrue)
	c.Check(math.Abs(w.slowness-before/known) < 1e-9, qt.IsTrue, qt.Commentf("slowness %v after speed %v became unknown", w.slowness, known))
}
