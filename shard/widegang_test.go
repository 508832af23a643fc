package shard_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

// TestGangWiderThanACallStartsThroughOneClient has a gang on 120 of 160 workers, which are
// in use when it arrives. Its tickets take two calls one after the other, beside small steps of
// higher score that use a tenth of the processors. Where calls are planned, its room is held until the later one is answered.
func TestGangWiderThanACallStartsThroughOneClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWaitsWorld(c, 1, 160, 1, 1)
		w.begin("a", func(d *shard.Deps) {
			d.Teams = func() (shard.Teams, bool) {
				return shard.Teams{Enabled: true, Policies: map[lovagestand.TeamName]lovagestand.TeamPolicy{"a": {Team: "a", Weight: 1}}}, true
			}
		})
		defer w.stop()
		time.Sleep(time.Second)
		w.stream(1, 0.1, func(r *rand.Rand) *watchedStep {
			runTime := drawBetween(r, 500*time.Millisecond, 2*time.Second)
			return &watchedStep{
				team: "a", policy: ticketPolicy("small", 20*time.Millisecond, 100*time.Microsecond), runTime: runTime,
				Step: job.Step{Count: 1, Needs: cores(13 + r.Int64N(4)), Estimate: runTime},
			}
		})
		busy := &watchedStep{
			team: "a", policy: ticketPolicy("busy", 20*time.Millisecond, 100*time.Microsecond), runTime: longestRun,
			Step: job.Step{Count: 160, Needs: cores(16), Estimate: longestRun},
		}
		w.submit(id(98), busy)
		time.Sleep(time.Second)
		wide := &watchedStep{
			team: "a", policy: ticketPolicy("wide", 390*time.Millisecond, 5600*time.Microsecond), runTime: 4 * time.Second,
			Step: job.Step{Count: 120, Gang: true, Needs: cores(20), Estimate: 4 * time.Second},
		}
		wide.policy.Target = time.Minute
		w.submit(id(99), wide)
		time.Sleep(waitBound)
		free, share := w.free()
		c.Assert(w.placed()[wide.id], qt.Equals, wide.Count, qt.Commentf("%s", w.describe(wide, free, share)))
	})
}
