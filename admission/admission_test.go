package admission_test

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovagestand.example/lovagestand/admission"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "7")
	}
	os.Exit(m.Run())
}

// backlogOf returns a backlog of one piece of work ahead of a score of 1, in seconds of
// the capacity.
func backlogOf(work float64) *admission.Backlog {
	b := &admission.Backlog{}
	b.Add(2, work)
	b.Add(1, 1000)
	return b
}

func renewCheck() admission.Job {
	return admission.Job{Score: 1, CriticalPath: 800 * time.Millisecond, Stretch: 1.5, Target: 500 * time.Millisecond}
}

func TestDecide(t *testing.T) {
	for name, test := range map[string]struct {
		load     admission.Load
		rejected bool
	}{
		"a job behind a minute of work of its own team": {admission.Load{Use: 1, All: backlogOf(60), Team: backlogOf(60), TeamShare: 1}, true},
		"while a worker is idle":                        {admission.Load{Use: 1, Idle: true, All: backlogOf(60), Team: backlogOf(60), TeamShare: 1}, false},
		"under half load":                               {admission.Load{Use: 0.49, All: backlogOf(60), Team: backlogOf(60), TeamShare: 1}, false},
		"behind another team's work":                    {admission.Load{Use: 1, All: backlogOf(60), Team: backlogOf(0.1), TeamShare: 0.1}, false},
		"behind work within its entitlement":            {admission.Load{Use: 1, All: backlogOf(60), Team: backlogOf(1), TeamShare: 0.2}, false},
		"behind work beyond its entitlement":            {admission.Load{Use: 1, All: backlogOf(60), Team: backlogOf(10), TeamShare: 0.2}, true},
		"while others leave it more":                    {admission.Load{Use: 1, All: backlogOf(5), Team: backlogOf(5), TeamShare: 0.01}, false},
		"behind work that may be overestimated":         {admission.Load{Use: 1, All: backlogOf(8), Team: backlogOf(8), TeamShare: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := admission.Decide(test.load, renewCheck())
			c.Assert(d.Rejected, qt.Equals, test.rejected, qt.Commentf("wait %v, slack %v", d.Wait, d.Slack))
			c.Assert(d.RetryAfter > 0, qt.Equals, test.rejected)
		})
	}
}

// TestDecideIsConservative guards against rejections at idle or half load, for work that
// is not ahead of the job, of jobs that a shorter wait would not save, and against
// callers that return at once or much too late.
func TestDecideIsConservative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, team := &admission.Backlog{}, &admission.Backlog{}
		score := 100.0
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			score -= rapid.Float64Range(0, 9).Draw(t, "difference")
			work := rapid.Float64Range(0, 10).Draw(t, "work")
			all.Add(score, work)
			if rapid.Bool().Draw(t, "own") {
				team.Add(score, work)
			}
		}
		l := admission.Load{Use: rapid.Float64Range(0, 1).Draw(t, "use"), Idle: rapid.Bool().Draw(t, "idle"), All: all, Team: team, TeamShare: rapid.Float64Range(0, 1).Draw(t, "share")}
		j := admission.Job{
			Score: rapid.Float64Range(0, 100).Draw(t, "score"), CriticalPath: time.Duration(rapid.IntRange(20, 20000).Draw(t, "path")) * time.Millisecond,
			Stretch: rapid.Float64Range(1, 4).Draw(t, "stretch"), Target: time.Duration(rapid.IntRange(0, 3000).Draw(t, "target")) * time.Millisecond, Hash: rapid.Uint64().Draw(t, "hash"),
		}
		d := admission.Decide(l, j)
		limit := 3 * (j.Stretch*j.CriticalPath.Seconds() + j.Target.Seconds())
		switch {
		case d.Rejected && (l.Idle || l.Use < 0.5):
			t.Fatalf("rejected at use %v, idle %v", l.Use, l.Idle)
		case d.Rejected && all.Ahead(j.Score)+j.CriticalPath.Seconds() <= limit:
			t.Fatalf("rejected although the work ahead takes %v s and the job may take %v s", all.Ahead(j.Score), limit)
		case d.Rejected && (d.RetryAfter < time.Second || d.RetryAfter > 30*time.Second):
			t.Fatalf("callers return after %v", d.RetryAfter)
		}
		l.Team = team
		l.TeamShare = math.Min(1, 2*l.TeamShare)
		if !d.Rejected && admission.Decide(l, j).Rejected {
			t.Fatalf("a higher entitlement leads to a rejection")
		}
	})
}

// TestRejectedCallersReturnApart guards against rejected callers that all return in the
// same second.
func TestRejectedCallersReturnApart(t *testing.T) {
	c := qt.New(t)
	seconds := map[int]int{}
	for i := range uint64(1000) {
		j := renewCheck()
		j.Hash = i * 0x9e3779b97f4a7c15
		d := admission.Decide(admission.Load{Use: 1, All: backlogOf(20), Team: backlogOf(20), TeamShare: 1}, j)
		seconds[int(math.Ceil(d.RetryAfter.Seconds()))]++
	}
	c.Assert(len(seconds) >= 10, qt.IsTrue, qt.Commentf("%v", seconds))
	for _, n := range seconds {
		c.Assert(n <= 150, qt.IsTrue, qt.Commentf("%v", seconds))
	}
}
