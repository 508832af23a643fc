package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

// withTeams returns a change that gives an owner teams of equal weight.
func withTeams(names ...lovagestand.TeamName) func(*shard.Deps) {
	t := shard.Teams{Enabled: true, Policies: map[lovagestand.TeamName]lovagestand.TeamPolicy{}}
	for _, name := range names {
		t.Policies[name] = lovagestand.TeamPolicy{Team: name, Weight: 1}
	}
	return func(d *shard.Deps) {
		d.Teams = func() (shard.Teams, bool) { return t, true }
	}
}

func (o *owner) submitOf(c *qt.C, team lovagestand.TeamName, id string, priority int, steps ...job.Step) {
	c.Helper()
	j := job.Job{ID: job.ID(id), Team: team, Policy: job.Policy{Route: "quote", Priority: priority, MaxAttempts: 2, Stretch: 2, Target: time.Second}, Steps: steps}
	c.Assert(o.submitJob(j), qt.IsNil)
}

// TestTakeoverKeepsShares guards against shares that a next owner does not know: a job of
// a small team that arrives after the takeover does not wait behind the flood before it.
func TestTakeoverKeepsShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(time.Second, lovagestand.EndingDone))
		former := k.beginTerm("a", withTeams("hot", "small"))
		time.Sleep(time.Second)
		for i := range 300 {
			former.submitOf(c, "hot", id(i), 0, job.Step{Count: 1})
		}
		former.stop()
		o := k.beginTerm("b", withTeams("hot", "small"))
		defer o.stop()
		time.Sleep(time.Second)
		o.submitOf(c, "small", id(300), 2, job.Step{Count: 1})
		time.Sleep(3 * time.Second)
		phase, err := o.Shard.State(t.Context(), job.ID(id(300)), "small")
		c.Assert(err, qt.IsNil)
		c.Assert(phase, qt.Equals, "completed")
		k.assertNoViolations()
	})
}

// TestFloodOfOneTeamDelaysNoOther guards against a team that keeps others out of the
// workers, and out of the passes, by many urgent jobs. Without teams the order is that
// of the scores alone.
func TestFloodOfOneTeamDelaysNoOther(t *testing.T) {
	const flood = 400
	for name, test := range map[string]struct {
		changes []func(*shard.Deps)
		phase   string
	}{
		"teams":    {[]func(*shard.Deps){withTeams("hot", "small")}, "completed"},
		"no teams": {nil, "queued"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 2, always(time.Second, lovagestand.EndingDone))
				o := k.beginTerm("a", test.changes...)
				defer o.stop()
				time.Sleep(time.Second)
				for i := range flood {
					o.submitOf(c, "hot", id(i), 0, job.Step{Count: 1})
				}
				o.submitOf(c, "small", id(flood), 2, job.Step{Count: 1})
				time.Sleep(3 * time.Second)
				phase, err := o.Shard.State(t.Context(), job.ID(id(flood)), "small")
				c.Assert(err, qt.IsNil)
				c.Assert(phase, qt.Equals, test.phase)
				k.assertNoViolations()
			})
		})
	}
}
