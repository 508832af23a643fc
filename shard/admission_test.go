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
)

// recorder counts events and observations by name and kind.
type recorder struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *recorder) Count(counter, kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[counter+" "+kind]++
}

func (r *recorder) Observe(histogram, kind string, _ time.Duration) { r.Count(histogram, kind) }

func (r *recorder) count(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

// TestHopelessJobsAreRejected guards against jobs that wait in vain behind those of their
// own team, against rejections of duplicates and of other teams, and against rejections
// without teams.
func TestHopelessJobsAreRejected(t *testing.T) {
	const flood = 400
	for name, test := range map[string]struct {
		changes  []func(*shard.Deps)
		rejected bool
	}{
		"teams":    {[]func(*shard.Deps){withTeams("hot", "small")}, true},
		"no teams": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 2, always(time.Second, lovagestand.EndingDone))
				measured := &recorder{counts: map[string]int{}}
				o := k.beginTerm("a", append(test.changes, func(d *shard.Deps) { d.Recorder = measured })...)
				defer o.stop()
				time.Sleep(time.Second)
				submit := func(team lovagestand.TeamName, id string, priority int) error {
					return o.submitJob(job.Job{ID: job.ID(id), Team: team, Policy: job.Policy{Route: "quote", Priority: priority, MaxAttempts: 2, Stretch: 2, Target: time.Second}, Steps: []job.Step{{Count: 1}}})
				}
				c.Assert(submit("hot", id(0), 2), qt.IsNil)
				var calls sync.WaitGroup
				for i := range flood {
					calls.Go(func() { c.Check(submit("hot", id(1+i), 0), qt.IsNil) })
				}
				calls.Wait()
				time.Sleep(100 * time.Millisecond)
				err := submit("hot", id(flood+1), 2)
				if test.rejected {
					var rejected *shard.RejectedError
					c.Assert(err, qt.ErrorAs, &rejected)
					c.Assert(rejected.Overloaded, qt.IsTrue)
					c.Assert(rejected.RetryAfter >= time.Second, qt.IsTrue)
				} else {
					c.Assert(err, qt.IsNil)
				}
				c.Assert(submit("hot", id(0), 2), qt.IsNil, qt.Commentf("a duplicate"))
				c.Assert(submit("small", id(flood+2), 2), qt.IsNil, qt.Commentf("a team that waits for nothing"))
				time.Sleep(100 * time.Millisecond)
				c.Assert(submit("small", id(flood+3), 2), qt.IsNil, qt.Commentf("a team within its entitlement"))
				time.Sleep(90 * time.Second)
				c.Assert(submit("hot", id(flood+1), 2), qt.IsNil, qt.Commentf("after the flood"))
				c.Assert(measured.count("rejectedJobs hot") > 0, qt.Equals, test.rejected)
				c.Assert(measured.count("timesBeyondEntitlement hot") > 0, qt.Equals, test.rejected)
				c.Assert(measured.count("timesBeyondEntitlement small"), qt.Equals, 0)
				k.assertNoViolations()
			})
		})
	}
}
