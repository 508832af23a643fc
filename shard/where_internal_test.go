package shard

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
)

// whereShard is a shard with workers of 4 cores on the racks r0 to r2, with the teams "a"
// and "b", and the job that is asked about.
type whereShard struct {
	*Shard
	teams   Teams
	absent  bool
	unsure  bool
	clients []AdviceClient
	job     job.Job
	version int64
}

func cores(n int64) lovagestand.Resources { return lovagestand.Resources{MilliCPU: 1000 * n} }

func whereJob(n int, priority int, steps ...job.Step) job.Job {
	return job.Job{
		ID: job.ID(fmt.Sprintf("%016x", n)), Team: "a", Steps: steps,
		Policy: job.Policy{Route: "quote", Priority: priority, MaxAttempts: 2, Stretch: 2, Target: time.Second},
	}
}

func newWhereShard(workers int) *whereShard {
	w := &whereShard{
		teams: Teams{Enabled: true, Version: 1, Policies: map[lovagestand.TeamName]lovagestand.TeamPolicy{"a": {Team: "a", Weight: 1}, "b": {Team: "b", Weight: 1}}},
		job:   whereJob(1, 2, job.Step{Count: 1, Needs: cores(1), Estimate: 10 * time.Second}),
	}
	w.Shard = New(jobstore.Term{Shard: "0"}, Limits{MaxLease: 6 * time.Second, HeartbeatTimeout: time.Hour}, Deps{
		Log: zerolog.Nop(), Recorder: lovagestand.NoRecorder{}, Confirmed: func() bool { return true },
		Assured: func() bool { return !w.unsure }, AdviceClients: func() []AdviceClient { return w.clients },
		Teams: func() (Teams, bool) { return w.teams, !w.absent },
	})
	w.resolved = true
	for i := range workers {
		info := lovagestand.FleetWorker{WorkerIncarnation: lovagestand.WorkerIncarnation{Name: lovagestand.WorkerName(fmt.Sprint("w", i))}, Ready: true, Rack: lovagestand.RackName(fmt.Sprint("r", i%3)), Capacity: cores(4)}
		w.workers[info.Name] = &worker{info: info, free: info.Capacity, placements: map[string]*placement{}, listed: true, enrolled: true, contacted: true, lastAnswer: time.Now().Add(time.Hour)}
	}
	return w
}

// run has a task of a team use cores of a worker for a time.
func (w *whereShard) run(worker lovagestand.WorkerName, team lovagestand.TeamName, n int64, d time.Duration) {
	j := whereJob(1000+len(w.workers[worker].placements), 2, job.Step{Count: 1, Needs: cores(n)})
	j.Team = team
	w.reserveRoom(&placement{entry: newJobEntry(job.New(j, time.Now()), nil), name: fmt.Sprint(worker, "-", len(w.workers[worker].placements)), needs: cores(n), worker: w.workers[worker], placedAt: time.Now(), expectedRunTime: d})
}

// fill has a team use all workers.
func (w *whereShard) fill(team lovagestand.TeamName) {
	w.run("w0", team, 4, time.Hour)
	w.run("w1", team, 4, time.Hour)
}

// add adds a stored job that waits.
func (w *whereShard) add(j job.Job) *jobEntry {
	e := newJobEntry(job.New(j, time.Now()), nil)
	e.durable = true
	w.estimateWork(e)
	w.live[e.id], w.jobs[e.id] = e, e
	return e
}

// addOfFormerOwner adds a job of a former owner, which may have given tasks to a worker that
// has not answered.
func (w *whereShard) addOfFormerOwner(j job.Job) {
	w.add(j).recovered = true
	w.resolved, w.loadedAt = false, time.Now()
	w.unresolved["w0"] = rosterEntry{}
}

func (w *whereShard) setCap(n int64) {
	quota := cores(n)
	w.teams.Policies["a"] = lovagestand.TeamPolicy{Team: "a", Weight: 1, Quota: &quota}
}

func (w *whereShard) needAdvice() {
	w.job.Policy.Advice = job.AdvicePolicy{FixedDuration: 50 * time.Millisecond, Validity: time.Second}
}

// flood adds jobs of the team that score higher than the job asked about.
func (w *whereShard) flood(jobs int) {
	for i := range jobs {
		w.add(whereJob(100+i, 0, job.Step{Count: 1, Needs: cores(1), Estimate: time.Second}))
	}
}

// whereReasons contains a load for each reason. The last step of the job waits for it.
var whereReasons = map[string]func(w *whereShard){
	string(dispatch.WaitsForWorker): func(w *whereShard) { w.job.Steps[0].Label = "none" },
	string(dispatch.WaitsForRoom):   func(w *whereShard) { w.fill("b") },
	string(dispatch.WaitsForSpread): func(w *whereShard) { w.job.Steps[0].Count, w.job.Steps[0].MaxPerWorker = 3, 1 },
	string(dispatch.WaitsForReservation): func(w *whereShard) {
		w.run("w0", "b", 2, 2*time.Second)
		w.run("w1", "b", 4, time.Hour)
		w.add(whereJob(2, 0, job.Step{Count: 4, Needs: cores(1), Estimate: time.Second, Gang: true}))
	},
	string(dispatch.WaitsForLocality): func(w *whereShard) {
		w.run("w0", "b", 4, 300*time.Millisecond)
		w.job.Steps[0].Affinity = "r0"
	},
	string(dispatch.WaitsForCap): func(w *whereShard) {
		w.setCap(2)
		w.run("w0", "a", 2, time.Hour)
	},
	string(dispatch.WaitsForAdvice): func(w *whereShard) {
		w.needAdvice()
		w.clients = []AdviceClient{{Instance: "i"}}
	},
	string(dispatch.WaitsForAdviceClient): func(w *whereShard) { w.needAdvice() },
	string(WaitsForPolicy): func(w *whereShard) {
		w.needAdvice()
		st := w.add(w.job).step(job.StepRef{})
		st.advised, st.decided[w.workers["w0"]], st.decided[w.workers["w1"]] = true, true, true
	},
	string(dispatch.WaitsForHeadroom): func(w *whereShard) {
		w.run("w0", "b", 4, time.Hour)
		w.run("w1", "b", 3, time.Hour)
		w.job.Policy.Stretch, w.job.Policy.Target = 0.1, 0
	},
	string(WaitsForSteps): func(w *whereShard) {
		w.job.Steps = append(w.job.Steps, job.Step{Count: 1, Needs: cores(1), After: []int{0}})
	},
	string(WaitsForStartTime): func(w *whereShard) {
		w.job.Schedule = job.Schedule{Repeat: 1, Start: time.Now().Add(time.Minute).UnixMilli()}
	},
	string(WaitsForConfiguration): func(w *whereShard) { w.absent = true },
	string(WaitsForAssurance):     func(w *whereShard) { w.unsure = true },
	string(WaitsForQueue):         func(w *whereShard) { w.flood(maxStepsPerPass) },
	string(WaitsForFairShare): func(w *whereShard) {
		w.fill("a")
		j := whereJob(2, 2, job.Step{Count: 8, Needs: cores(1)})
		j.Team = "b"
		w.add(j)
	},
	string(WaitsForCapShare): func(w *whereShard) {
		w.setCap(2)
		w.deps.DividedCaps = true
	},
	string(WaitsForFormerRuns): func(w *whereShard) {
		w.setCap(2)
		w.resolved = false
		capacity := cores(4)
		w.unresolved["w0"] = rosterEntry{Capacity: &capacity}
		w.former.live["a"] = cores(2)
	},
	string(WaitsForFormerOwner): func(w *whereShard) { w.addOfFormerOwner(w.job) },
	string(RejectsForStore):     func(w *whereShard) { w.stalled = true },
	string(RejectsForTeam): func(w *whereShard) {
		delete(w.teams.Policies, "a")
		w.teams.Version, w.version = 2, 1
	},
	string(RejectsForCap): func(w *whereShard) {
		w.setCap(2)
		w.job.Steps[0].Needs = cores(3)
	},
	string(RejectsForLoad): func(w *whereShard) {
		w.fill("a")
		w.flood(400)
		w.job.Steps[0].Estimate = time.Second
		w.plan()
	},
	string(RejectsKnownID): func(w *whereShard) { w.add(w.job) },
	string(RejectsOtherTeamsID): func(w *whereShard) {
		j := w.job
		j.Team = "b"
		w.add(j)
	},
	string(RejectsCancelledID): func(w *whereShard) {
		e := newFinishedJobEntry(w.job.ID, "", "", phaseCancelled, time.Now())
		e.unsubmitted, e.cancelledBy = true, []lovagestand.TeamName{"a"}
		w.jobs[e.id] = e
	},
}

// TestEachReason guards against a reason that is not given for the load that it describes,
// and against reasons without a sentence.
func TestEachReason(t *testing.T) {
	for reason := range waitMessages {
		qt.New(t).Check(whereReasons[string(reason)], qt.IsNotNil, qt.Commentf("%s", reason))
	}
	for reason, prepare := range whereReasons {
		t.Run(reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newWhereShard(2)
				prepare(w)
				got, err := w.Where(w.job, w.version)
				c.Assert(err, qt.IsNil)
				// Only for a job that is known policy has answered, or a former owner has accepted it.
				if got.Rejection != nil && reason != string(WaitsForPolicy) && reason != string(WaitsForFormerOwner) {
					c.Assert(string(got.Rejection.Reason), qt.Equals, reason)
					c.Assert(got.Rejection.Message, qt.Not(qt.Equals), "")
					return
				}
				last := got.Steps[len(got.Steps)-1]
				c.Assert(string(last.Reason), qt.Equals, reason, qt.Commentf("%+v", last))
				c.Assert(last.Message, qt.Not(qt.Equals), "")
				c.Assert(last.Waiting > 0, qt.IsTrue)
				timed := last.Reason == dispatch.WaitsForLocality || last.Reason == WaitsForStartTime
				c.Assert(last.Until > time.Now().UnixMilli(), qt.Equals, timed)
			})
		})
	}
}

// startingFleet carries out every order to start.
type startingFleet struct{ lovagestand.Fleet }

func (startingFleet) Start(context.Context, lovagestand.FleetWorker, lovagestand.Order) (lovagestand.WorkerClock, error) {
	return lovagestand.WorkerClock{}, nil
}

// calls counts the calls of a recorder.
type calls struct{ n atomic.Int64 }

func (r *calls) Count(string, string)                  { r.n.Add(1) }
func (r *calls) Observe(string, string, time.Duration) { r.n.Add(1) }

// randomJob returns job n, with steps that may be gangs, near data or in need of advice.
func (w *whereShard) randomJob(n int, random *rand.Rand) job.Job {
	j := whereJob(n, random.IntN(3))
	j.Policy.Route = lovagestand.RouteName(fmt.Sprint("route-", random.IntN(2)))
	if w.teams.Enabled {
		j.Team = []lovagestand.TeamName{"a", "b"}[random.IntN(2)]
	}
	if random.IntN(4) == 0 {
		j.Policy.Advice = job.AdvicePolicy{FixedDuration: 30 * time.Millisecond, PerWorker: time.Millisecond, Validity: time.Second}
	}
	step := job.Step{
		Count: 1 + random.IntN(4), Gang: random.IntN(3) == 0, Needs: cores(int64(1 + random.IntN(2))), Estimate: time.Duration(1+random.IntN(9)) * time.Second,
		MaxPerWorker: random.IntN(3), Affinity: []lovagestand.RackName{"", "", "r0", "r1"}[random.IntN(4)],
	}
	// A pass decides in no fixed order on steps of one job that wait together.
	later := step
	later.After = []int{0}
	j.Steps = []job.Step{step, later}
	return j
}

// TestWhereAgreesWithThePass guards against a query whose answer differs from what the next
// pass does with the same load, and against a query that changes anything. Jobs fill the
// workers and the caps one after the other.
func TestWhereAgreesWithThePass(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, random, w := qt.New(t), rand.New(rand.NewPCG(seed, 1)), newWhereShard(12)
				asked, placed, waiting := 0, 0, 0
				var log bytes.Buffer
				recorded := &calls{}
				w.deps.Recorder = recorded
				w.deps.Fleet, w.log, w.teams.Enabled = startingFleet{}, zerolog.New(zerolog.SyncWriter(&log)), seed%2 == 0
				w.stats("route-0").taskRunTime, w.stats("route-1").estimateRatio = 3*time.Second, 0.4
				w.setCap(20)
				w.clients = []AdviceClient{{Instance: "i", Advise: func(_ context.Context, _ string, workers []lovagestand.WorkerName) (lovagestand.Advice, error) {
					asked = len(workers)
					return lovagestand.Advice{}, nil
				}}}
				for n := range 40 {
					j := w.randomJob(n, random)
					before := fmt.Sprintf("%+v %d %d %d", w.Status(), log.Len(), recorded.n.Load(), asked)
					got, err := w.Where(j, 1)
					synctest.Wait()
					c.Assert(err, qt.IsNil)
					c.Assert(fmt.Sprintf("%+v %d %d %d", w.Status(), log.Len(), recorded.n.Load(), asked), qt.Equals, before, qt.Commentf("a query changes nothing"))
					asked = 0
					e := w.add(j)
					w.plan()
					synctest.Wait()
					want, starts := map[lovagestand.WorkerName]int{}, map[lovagestand.WorkerName]int{}
					for _, p := range got.Steps[0].Workers {
						want[p.Worker] = p.Tasks
						placed += p.Tasks
					}
					for _, p := range e.active {
						starts[p.worker.info.Name]++
					}
					c.Assert(starts, qt.DeepEquals, want, qt.Commentf("job %d: %+v", n, got))
					c.Assert(asked, qt.Equals, got.Steps[0].AdviceWorkers)
					waiting += got.Steps[0].Waiting
					time.Sleep(50 * time.Millisecond)
				}
				c.Assert(placed > 0 && waiting > 0 && log.Len() > 0, qt.IsTrue, qt.Commentf("%d placed, %d waiting", placed, waiting))
			})
		})
	}
}

// BenchmarkWhere measures a query, during which the shard is locked, with the load of
// BenchmarkPass.
func BenchmarkWhere(b *testing.B) {
	s := fullShard(20)
	j := whereJob(100_000, 2, job.Step{Count: 1, Needs: cores(1)})
	j.Team = "t1"
	for b.Loop() {
		if _, err := s.Where(j, 0); err != nil {
			b.Fatal(err)
		}
	}
}
