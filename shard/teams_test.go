package shard_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// teamJob returns job n of a team. Its tasks name the team in their spec.
func teamJob(n int, team lovagestand.TeamName) job.Job {
	return job.Job{
		ID: job.ID(id(n)), Team: team, Spec: string(team), Policy: job.Policy{Route: "quote", MaxAttempts: 2, Stretch: 2, Target: time.Second},
		Steps: []job.Step{{Count: 2}},
	}
}

// assertUnknownTo checks that a job does not exist for a team and that the team cannot
// take its ID.
func assertUnknownTo(c *qt.C, o *owner, n int, team lovagestand.TeamName) {
	c.Helper()
	var unknownJob *shard.UnknownJobError
	var otherTeam *shard.OtherTeamError
	_, err := o.Shard.State(c.Context(), job.ID(id(n)), team)
	c.Check(err, qt.ErrorAs, &unknownJob)
	c.Check(o.Cancel(c.Context(), job.ID(id(n)), team), qt.ErrorAs, &unknownJob)
	c.Check(o.submitJob(teamJob(n, team)), qt.ErrorAs, &otherTeam)
}

func assertTeamPhase(c *qt.C, o *owner, n int, team lovagestand.TeamName, phase string) {
	c.Helper()
	got, err := o.Shard.State(c.Context(), job.ID(id(n)), team)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, phase)
}

// TestJobsOfOtherTeams guards against a team that sees, cancels or replaces a job of
// another one, in each phase of the job and by the next owner.
func TestJobsOfOtherTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(2*time.Second, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		defer func() { o.stop() }()
		c.Assert(o.submitJob(teamJob(1, "a")), qt.IsNil)
		assertUnknownTo(c, o, 1, "b")
		assertUnknownTo(c, o, 1, "")
		time.Sleep(time.Second)
		assertUnknownTo(c, o, 1, "b")
		assertTeamPhase(c, o, 1, "a", "running")
		o.stop()
		o = k.beginReadyTerm("b")
		assertUnknownTo(c, o, 1, "b")
		time.Sleep(3 * time.Second)
		assertTeamPhase(c, o, 1, "a", "completed")
		assertUnknownTo(c, o, 1, "b")
		o.stop()
		o = k.beginReadyTerm("c")
		assertUnknownTo(c, o, 1, "b")
		assertTeamPhase(c, o, 1, "a", "completed")
		c.Assert(o.submitJob(teamJob(1, "a")), qt.IsNil, qt.Commentf("a duplicate of its own team"))
		c.Assert(k.fleet.Starts(), qt.Equals, 2)
		k.assertNoViolations()
	})
}

// TestJobsWithoutATeam guards against jobs of a public route that become unknown once the
// route needs keys.
func TestJobsWithoutATeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(2*time.Second, lovagestand.EndingDone))
		o := k.beginReadyTerm("a")
		defer o.stop()
		c.Assert(o.submitJob(teamJob(1, "")), qt.IsNil)
		c.Assert(o.submitJob(teamJob(1, "a")), qt.IsNil)
		time.Sleep(time.Second)
		assertTeamPhase(c, o, 1, "a", "running")
		c.Assert(o.Cancel(t.Context(), job.ID(id(1)), "b"), qt.IsNil)
	})
}

// TestCancelledByAnotherTeamBeforeSubmission has a submission follow the cancellation of
// the same ID by another team. It must run, also if the cancellation is still being
// written or the owner changes on either side of the submission; and the other team's
// own submission must not run.
func TestCancelledByAnotherTeamBeforeSubmission(t *testing.T) {
	for name, r := range map[string]struct {
		// delay is how long each write takes, gap the time from the cancellation to the
		// submission.
		delay, gap    time.Duration
		before, after bool
	}{
		"stored":                     {gap: time.Second},
		"being written":              {delay: 200 * time.Millisecond, gap: 100 * time.Millisecond},
		"queued":                     {delay: 200 * time.Millisecond, gap: 10 * time.Millisecond},
		"next owner before":          {gap: time.Second, before: true},
		"next owner after":           {gap: time.Second, after: true},
		"being written, owner after": {delay: 200 * time.Millisecond, gap: 100 * time.Millisecond, after: true},
		"next owners":                {gap: time.Second, before: true, after: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				k := newCell(c, 1, always(500*time.Millisecond, lovagestand.EndingDone))
				o := k.beginReadyTerm("1")
				defer func() { o.stop() }()
				change := func(wanted bool, name string) {
					if wanted {
						o.stop()
						o = k.beginReadyTerm(name)
					}
				}
				k.delay.Store(int64(r.delay))
				var cancelling sync.WaitGroup
				cancelling.Go(func() {
					var unknownJob *shard.UnknownJobError
					c.Check(o.Cancel(t.Context(), job.ID(id(1)), "a"), qt.ErrorAs, &unknownJob)
				})
				time.Sleep(r.gap)
				change(r.before, "2")
				c.Assert(o.submitJob(teamJob(1, "b")), qt.IsNil)
				cancelling.Wait()
				change(r.after, "3")
				time.Sleep(5 * time.Second)
				assertTeamPhase(c, o, 1, "b", "completed")
				assertUnknownTo(c, o, 1, "a")
				c.Assert(k.fleet.Starts(), qt.Equals, 2)
				k.assertNoViolations()
			})
		})
	}
}

// TestCancelledByTwoTeamsBeforeSubmission guards against a cancellation that is forgotten
// because another team has cancelled the same unknown ID.
func TestCancelledByTwoTeamsBeforeSubmission(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		for _, submitter := range []lovagestand.TeamName{"a", "b"} {
			t.Run(fmt.Sprint(submitter, " ", takeover), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					k := newCell(c, 1, always(500*time.Millisecond, lovagestand.EndingDone))
					k.delay.Store(int64(100 * time.Millisecond))
					o := k.beginReadyTerm("1")
					defer func() { o.stop() }()
					var cancelling sync.WaitGroup
					for i, team := range []lovagestand.TeamName{"a", "b", "a", "b"} {
						cancelling.Go(func() {
							time.Sleep(time.Duration(i) * 30 * time.Millisecond)
							var unknownJob *shard.UnknownJobError
							c.Check(o.Cancel(t.Context(), job.ID(id(1)), team), qt.ErrorAs, &unknownJob)
						})
					}
					cancelling.Wait()
					if takeover {
						o.stop()
						o = k.beginReadyTerm("2")
					}
					c.Assert(o.submitJob(teamJob(1, submitter)), qt.IsNil)
					time.Sleep(3 * time.Second)
					assertTeamPhase(c, o, 1, submitter, "cancelled")
					c.Assert(k.fleet.Starts(), qt.Equals, 0)
				})
			})
		}
	}
}

// TestCancellationWithoutTeams guards against a stored record that differs from that of
// earlier versions in a deployment without teams.
func TestCancellationWithoutTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(time.Second, lovagestand.EndingDone))
		o := k.beginReadyTerm("1")
		defer o.stop()
		var unknownJob *shard.UnknownJobError
		c.Assert(o.Cancel(t.Context(), job.ID(id(1)), ""), qt.ErrorAs, &unknownJob)
		items, _, err := k.keys.Range(t.Context(), "shards/0/jobs/")
		c.Assert(err, qt.IsNil)
		c.Assert(items, qt.HasLen, 1)
		c.Assert(string(items[0].Value), qt.Matches, `\{"phase":"cancelled","route":"","acceptedMillis":-?\d+,"finishedMillis":\d+,"unsubmitted":true\}`)
	})
}

// TestWithdrawnTeam guards against a job that is accepted because its gateway has not yet
// seen that the team was removed, and against rejections by an owner that is behind.
func TestWithdrawnTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(time.Second, lovagestand.EndingDone))
		// Passes read the teams while the test replaces them.
		var teams atomic.Pointer[shard.Teams]
		o := k.beginTerm("1", func(d *shard.Deps) {
			d.Teams = func() (shard.Teams, bool) {
				if t := teams.Load(); t != nil {
					return *t, true
				}
				return shard.Teams{}, false
			}
		})
		defer o.stop()
		time.Sleep(time.Second)
		c.Assert(o.submitAdmitted(teamJob(1, "gone"), 6), qt.IsNil, qt.Commentf("the owner has no configuration yet"))
		teams.Store(&shard.Teams{Version: 7, Enabled: true, Policies: map[lovagestand.TeamName]lovagestand.TeamPolicy{"a": {Team: "a"}}})
		var rejected *shard.RejectedError
		c.Assert(o.submitAdmitted(teamJob(2, "gone"), 6), qt.ErrorAs, &rejected)
		c.Assert(o.submitAdmitted(teamJob(1, "gone"), 6), qt.IsNil, qt.Commentf("an accepted job is not rejected later"))
		c.Assert(o.submitAdmitted(teamJob(3, "new"), 8), qt.IsNil)
		c.Assert(o.submitAdmitted(teamJob(4, "gone"), 7), qt.IsNil)
		c.Assert(o.submitAdmitted(teamJob(5, "a"), 6), qt.IsNil)
		c.Assert(o.submitAdmitted(teamJob(6, ""), 6), qt.IsNil)
		teams.Store(&shard.Teams{Version: 9})
		c.Assert(o.submitAdmitted(teamJob(7, "gone"), 6), qt.IsNil, qt.Commentf("the newer version has no teams"))
	})
}

// TestCancellationSurvivesARejectedReplacement has the store stall while another team's
// submission replaces a stored cancellation. The team that cancelled must not see its
// late submission run.
func TestCancellationSurvivesARejectedReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 1, always(500*time.Millisecond, lovagestand.EndingDone))
		o := k.beginReadyTerm("1")
		defer o.stop()
		var unknownJob *shard.UnknownJobError
		c.Assert(o.Cancel(t.Context(), job.ID(id(1)), "a"), qt.ErrorAs, &unknownJob)
		k.keys.SetFault(func(string) keyspace.Fault { return keyspace.FaultLostRequest })
		go func() { _ = o.submitJob(teamJob(2, "b")) }()
		time.Sleep(100 * time.Millisecond)
		err := o.submitJob(teamJob(1, "b"))
		var unknown *shard.UnknownError
		c.Assert(err, qt.ErrorAs, &unknown)
		k.keys.SetFault(nil)
		time.Sleep(5 * time.Second)
		var otherTeam *shard.OtherTeamError
		c.Assert(o.submitJob(teamJob(1, "a")), qt.ErrorAs, &otherTeam)
		assertTeamPhase(c, o, 1, "b", "completed")
	})
}

// claim is what the callers of one team requested and which replies they received for
// one ID.
type claim struct {
	accepted, outcomeUnknown bool
	cancelledAt              time.Time
}

// claimants is a cell in which two teams use the same IDs.
type claimants struct {
	scenario
	claims map[string]*claim
}

func claimKey(n int, team lovagestand.TeamName) string { return id(n) + " " + string(team) }

func (s *claimants) submit(n int, team lovagestand.TeamName) {
	err := s.randomOwner().submitJob(teamJob(n, team))
	s.mu.Lock()
	defer s.mu.Unlock()
	claim := s.claims[claimKey(n, team)]
	var unknown *shard.UnknownError
	claim.accepted = claim.accepted || err == nil
	claim.outcomeUnknown = claim.outcomeUnknown || errors.As(err, &unknown)
}

func (s *claimants) cancel(n int, team lovagestand.TeamName) {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	err := s.randomOwner().Cancel(ctx, job.ID(id(n)), team)
	var unknownJob *shard.UnknownJobError
	s.mu.Lock()
	defer s.mu.Unlock()
	claim := s.claims[claimKey(n, team)]
	if (err == nil || errors.As(err, &unknownJob)) && claim.cancelledAt.IsZero() {
		claim.cancelledAt = time.Now()
	}
}

// TestExplorationOfTeams runs random scenarios, one for each seed, in which two teams
// submit and cancel jobs with the same IDs, at changing owners and with faults of the
// store. It guards against a job that runs although its own team cancelled it or was
// rejected, that is lost, or that both teams see.
func TestExplorationOfTeams(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { exploreTeams(t, seed) })
		})
	}
}

func exploreTeams(t *testing.T, seed uint64) {
	c := qt.New(t)
	const jobs = 20
	teams := []lovagestand.TeamName{"a", "b"}
	s := &claimants{claims: map[string]*claim{}, scenario: scenario{random: &sharedRandom{source: rand.New(rand.NewPCG(seed, 3))}, lastStarts: map[string]time.Time{}}}
	s.cell = newCell(c, 4, func(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
		id, _, _ := strings.Cut(o.Task, ".")
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastStarts[id+" "+o.Spec] = time.Now()
		return time.Duration(100+s.random.IntN(500)) * time.Millisecond, lovagestand.EndingDone
	})
	s.owners = []*owner{s.beginTerm("0")}
	s.keys.SetFault(s.fault)
	var calling sync.WaitGroup
	for n := range jobs {
		for _, team := range teams {
			s.claims[claimKey(n, team)] = &claim{}
		}
	}
	for n := range jobs {
		for _, team := range teams {
			for range s.random.IntN(3) {
				calling.Go(func() { s.pause(3000); s.submit(n, team) })
			}
			for range s.random.IntN(3) {
				calling.Go(func() { s.pause(3000); s.cancel(n, team) })
			}
		}
	}
	for i := range 6 {
		s.pause(1000)
		s.delay.Store(int64(s.random.IntN(400)) * int64(time.Millisecond))
		if s.random.IntN(3) == 0 {
			s.keys.ApplyLate()
			s.nextOwner(fmt.Sprint(i))
		}
	}
	calling.Wait()
	s.keys.SetFault(nil)
	s.keys.ApplyLate()
	s.delay.Store(0)
	time.Sleep(20 * time.Second)
	s.assertClaims(c, jobs, teams)
	for _, o := range s.owners {
		o.stop()
	}
	s.assertNoViolations()
}

// assertClaims checks what has become of the jobs of all teams.
func (s *claimants) assertClaims(c *qt.C, jobs int, teams []lovagestand.TeamName) {
	last := s.owners[len(s.owners)-1]
	for n := range jobs {
		visible := 0
		for _, team := range teams {
			state, err := last.Shard.State(context.Background(), job.ID(id(n)), team)
			if err == nil {
				visible++
			}
			claim := s.claims[claimKey(n, team)]
			started, ran := s.lastStarts[claimKey(n, team)]
			comment := qt.Commentf("job %s: callers saw %+v, now %q %v, started %v", claimKey(n, team), *claim, state, err, started)
			c.Check(ran && !claim.accepted && !claim.outcomeUnknown, qt.IsFalse, comment)
			c.Check(ran && !claim.cancelledAt.IsZero() && started.After(claim.cancelledAt.Add(maxStartDelay)), qt.IsFalse, comment)
			if claim.accepted {
				c.Check(err, qt.IsNil, comment)
			}
		}
		c.Check(visible <= 1, qt.IsTrue, qt.Commentf("job %s is visible to %d teams", id(n), visible))
	}
}
