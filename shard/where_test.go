package shard_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

// whereScenario is a cell whose tasks never end, so that the load of a query is that of
// the pass that follows. Only the tasks of the first jobs end, so that speeds are known.
type whereScenario struct {
	*cell
	*owner
	random *rand.Rand
	teams  bool
	log    bytes.Buffer
	counts *recorder
	// asked is the number of workers that advice was last requested on.
	asked int
}

func endingBySpec(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
	if o.Spec == shortSpec {
		return 1500 * time.Millisecond, lovagestand.EndingDone
	}
	return time.Hour, lovagestand.EndingDone
}

const shortSpec = "short"

func newWhereScenario(c *qt.C, seed uint64, teams bool) *whereScenario {
	w := &whereScenario{cell: newCell(c, 0, endingBySpec), random: rand.New(rand.NewPCG(seed, 1)), teams: teams, counts: &recorder{counts: map[string]int{}}}
	w.cell.log = zerolog.New(zerolog.SyncWriter(&w.log))
	w.advice = func(_ string, workers []lovagestand.WorkerName) (lovagestand.Advice, error) {
		w.asked = len(workers)
		return lovagestand.Advice{}, nil
	}
	w.addWorkers(12)
	for i := range w.workers {
		w.workers[i].Rack = lovagestand.RackName(fmt.Sprint("r", i%3))
	}
	changes := []func(*shard.Deps){func(d *shard.Deps) { d.Recorder = w.counts }}
	if teams {
		changes = append(changes, newTeamCaps(map[lovagestand.TeamName]int64{"a": 20, "b": 30}).use)
	}
	w.owner = w.beginTerm("a", changes...)
	time.Sleep(time.Second)
	for n := range 4 {
		j := job.Job{ID: job.ID(id(1000 + n)), Spec: shortSpec, Policy: job.Policy{Route: "quote", MaxAttempts: 2, Stretch: 2, Target: time.Second}, Steps: []job.Step{{Count: 1 + 4*n}}}
		c.Assert(w.submitJob(j), qt.IsNil)
	}
	time.Sleep(3 * time.Second)
	return w
}

// randomJob returns job n, with steps that may be gangs, near data or in need of advice.
func (w *whereScenario) randomJob(n int) job.Job {
	j := job.Job{ID: job.ID(id(n)), Policy: job.Policy{Route: "quote", Priority: w.random.IntN(3), MaxAttempts: 2, Stretch: 2, Target: time.Second}}
	if w.teams {
		j.Team = []lovagestand.TeamName{"a", "b"}[w.random.IntN(2)]
	}
	if w.random.IntN(4) == 0 {
		j.Policy.Advice = job.AdvicePolicy{FixedDuration: 30 * time.Millisecond, PerWorker: time.Millisecond, Validity: time.Second}
	}
	for i := range 1 + w.random.IntN(2) {
		step := job.Step{Count: 1 + w.random.IntN(4), Gang: w.random.IntN(3) == 0, Needs: needs(lovagestand.Order{}), Estimate: time.Second}
		if w.random.IntN(3) == 0 {
			step.Affinity = lovagestand.RackName(fmt.Sprint("r", w.random.IntN(3)))
		}
		if w.random.IntN(3) == 0 {
			step.MaxPerWorker = 1
		}
		if i > 0 {
			// A pass decides in no fixed order on steps of one job that wait together.
			step.After = []int{0}
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// startsOf returns on how many workers' rooms tasks of the steps of a job run, by
// "STEP WORKER".
func (w *whereScenario) startsOf(n int) map[string]int {
	starts := map[string]int{}
	for _, r := range w.fleet.Runs() {
		if taskID, task, ok := job.ParseTaskName(r.Task); ok && taskID == job.ID(id(n)) {
			starts[fmt.Sprint(task.Step, " ", r.Worker)]++
		}
	}
	return starts
}

// query asks where a job would be placed, and checks that this changes nothing.
func (w *whereScenario) query(j job.Job) shard.Placement {
	synctest.Wait()
	revision, lines, state := w.lastRevision(), w.log.Len(), fmt.Sprintf("%+v", w.Status())
	w.counts.mu.Lock()
	counts := fmt.Sprint(w.counts.counts)
	w.counts.mu.Unlock()
	asked := w.asked
	got, err := w.Where(j, 0)
	w.c.Assert(err, qt.IsNil)
	synctest.Wait()
	w.c.Assert(w.lastRevision(), qt.Equals, revision, qt.Commentf("a query writes nothing"))
	w.c.Assert(w.log.Len(), qt.Equals, lines, qt.Commentf("a query logs nothing: %s", w.log.Bytes()[lines:]))
	w.c.Assert(fmt.Sprintf("%+v", w.Status()), qt.Equals, state)
	w.c.Assert(w.asked, qt.Equals, asked)
	w.counts.mu.Lock()
	defer w.counts.mu.Unlock()
	w.c.Assert(fmt.Sprint(w.counts.counts), qt.Equals, counts)
	return got
}

func (w *whereScenario) lastRevision() lovagestand.Revision {
	_, revision, err := w.keys.Range(w.c.Context(), "")
	w.c.Assert(err, qt.IsNil)
	return revision
}

// TestWhereAgreesWithThePass guards against a query whose answer differs from what the next
// pass does with the same load, and against a query that changes anything. Jobs fill the
// workers and the caps one after the other.
func TestWhereAgreesWithThePass(t *testing.T) {
	const jobs = 40
	for seed := range uint64(10) {
		for _, teams := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, teams %v", seed, teams), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					w := newWhereScenario(c, seed, teams)
					defer w.stop()
					placed, waiting := 0, 0
					for n := range jobs {
						j := w.randomJob(n)
						got := w.query(j)
						w.asked = 0
						err := w.submitJob(j)
						c.Assert(err != nil, qt.Equals, got.Rejection != nil, qt.Commentf("%v", err))
						time.Sleep(20 * time.Millisecond)
						synctest.Wait()
						want, asked := map[string]int{}, 0
						for _, s := range got.Steps {
							for _, p := range s.Workers {
								want[fmt.Sprint(s.Step, " ", p.Worker)] = p.Tasks
								placed += p.Tasks
							}
							waiting += s.Waiting
							asked += s.AdviceWorkers
						}
						c.Assert(w.startsOf(n), qt.DeepEquals, want, qt.Commentf("job %d: %+v", n, got))
						c.Assert(w.asked > 0, qt.Equals, asked > 0)
						// Calls for advice end before the next query.
						time.Sleep(time.Second)
					}
					synctest.Wait()
					c.Assert(placed > 0 && waiting > 0, qt.IsTrue, qt.Commentf("%d placed, %d waiting", placed, waiting))
					c.Assert(strings.Contains(w.log.String(), "task placed"), qt.IsTrue)
				})
			})
		}
	}
}
