package limit_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/limit"
	"lovagestand.example/lovagestand/table"
)

// manualClock is a clock that advances only when its time is set.
type manualClock struct{ at time.Time }

func (c *manualClock) now() time.Time { return c.at }

func newClock() *manualClock { return &manualClock{at: time.Unix(1e9, 0)} }

// tablesWithLimits returns tables with one route per class, each with the given
// limits.
func tablesWithLimits(t testing.TB, limits table.Limits) table.Tables {
	var routes []table.Route
	for _, class := range lovagestand.Classes() {
		routes = append(routes, table.Route{
			Name: lovagestand.RouteName(class), Class: class, Pool: "p", StartWithin: time.Second,
			Resources: table.Amount{Processors: 1}, Limits: limits,
		})
	}
	pool := table.Pool{Name: "p", Runner: "r", Regions: []lovagestand.RegionName{"a"}}
	tables, err := table.New(1, routes, []table.Pool{pool})
	qt.Assert(t, err, qt.IsNil)
	return tables
}

func newLimiter(t testing.TB, c *manualClock, limits table.Limits, options ...limit.Option) *limit.Limiter {
	l := limit.New(append(options, limit.WithClock(c.now))...)
	l.SetTables(tablesWithLimits(t, limits))
	return l
}

func assertRefused(t testing.TB, err error, kind limit.Kind) time.Duration {
	t.Helper()
	var refusal *limit.Error
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, refusal.Kind, qt.Equals, kind)
	qt.Assert(t, refusal.RetryAfter >= limit.MinRetryAfter && refusal.RetryAfter <= limit.MaxRetryAfter, qt.IsTrue)
	return refusal.RetryAfter
}

// admitCount submits n requests and returns the number admitted.
func admitCount(l *limit.Limiter, route lovagestand.RouteName, team lovagestand.TeamName, n int) int {
	count := 0
	for range n {
		if _, err := l.Admit(route, team); err == nil {
			count++
		}
	}
	return count
}

func TestSharesAddUp(t *testing.T) {
	c := qt.New(t)
	rates, concurrent := 0, 0
	for i := range 4 {
		share := limit.Share{Index: i, LiveInstances: 4}
		clock := newClock()
		byRate := newLimiter(t, clock, table.Limits{RatePerSecond: 40, Burst: 4})
		byRate.SetShare(share)
		admitCount(byRate, "urgent", "t", 100)
		for range 100 {
			clock.at = clock.at.Add(100 * time.Millisecond)
			rates += admitCount(byRate, "urgent", "t", 5)
		}
		byCount := newLimiter(t, newClock(), table.Limits{Concurrent: 6})
		byCount.SetShare(share)
		concurrent += admitCount(byCount, "batch", "t", 10)
	}
	c.Assert(rates, qt.Equals, 400)
	c.Assert(concurrent, qt.Equals, 6)
}

func TestRetryTimesAreSpreadOut(t *testing.T) {
	l := newLimiter(t, newClock(), table.Limits{RatePerSecond: 2, Burst: 1})
	qt.Assert(t, admitCount(l, "urgent", "t", 1), qt.Equals, 1)
	var last time.Duration
	for range 10 {
		_, err := l.Admit("urgent", "t")
		after := assertRefused(t, err, limit.RouteRate)
		qt.Assert(t, after-last, qt.Equals, 500*time.Millisecond)
		last = after
	}
	refusals := l.Refusals()
	qt.Assert(t, refusals, qt.HasLen, 1)
	qt.Assert(t, refusals[0].Count, qt.Equals, uint64(10))
}

func TestTeamLimitsAreIndependent(t *testing.T) {
	clock := newClock()
	l := newLimiter(t, clock, table.Limits{TeamRatePerSecond: 5, TeamConcurrent: 3})
	qt.Assert(t, admitCount(l, "batch", "a", 10), qt.Equals, 3)
	_, err := l.Admit("batch", "a")
	assertRefused(t, err, limit.TeamConcurrent)
	release, err := l.Admit("batch", "b")
	qt.Assert(t, err, qt.IsNil)
	release()
	release()
	qt.Assert(t, l.InFlight(), qt.Equals, 3)
}

func TestOverloadRejectsLowerClassesFirst(t *testing.T) {
	l := newLimiter(t, newClock(), table.Limits{}, limit.WithInFlight(100))
	want := map[lovagestand.Class]int{
		lovagestand.ClassBatch: 60, lovagestand.ClassGang: 10, lovagestand.ClassService: 10, lovagestand.ClassUrgent: 20,
	}
	classes := lovagestand.Classes()
	for i := len(classes) - 1; i >= 0; i-- {
		qt.Assert(t, admitCount(l, lovagestand.RouteName(classes[i]), "t", 200), qt.Equals, want[classes[i]])
		_, err := l.Admit(lovagestand.RouteName(classes[i]), "t")
		assertRefused(t, err, limit.Overload)
	}
}

func TestTeamGatesAreBounded(t *testing.T) {
	clock := newClock()
	l := newLimiter(t, clock, table.Limits{TeamConcurrent: 1}, limit.WithInFlight(1e6))
	for i := range limit.MaxTeams {
		qt.Assert(t, admitCount(l, "batch", lovagestand.TeamName(fmt.Sprint(i)), 1), qt.Equals, 1)
	}
	qt.Assert(t, admitCount(l, "batch", "more", 1), qt.Equals, 1)
	_, err := l.Admit("batch", "evenMore")
	assertRefused(t, err, limit.TeamConcurrent)
}

// TestConcurrencyMatchesNaiveCount compares the limiter with plain counters
// under random admissions, releases and table changes.
func TestConcurrencyMatchesNaiveCount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newLimiter(t, newClock(), table.Limits{Concurrent: 4, TeamConcurrent: 2})
		limits := table.Limits{Concurrent: 4, TeamConcurrent: 2}
		open := map[lovagestand.TeamName][]func(){}
		total := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			team := lovagestand.TeamName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "team"))
			switch rapid.IntRange(0, 4).Draw(rt, "do") {
			case 0:
				limits = table.Limits{Concurrent: rapid.IntRange(1, 6).Draw(rt, "c"), TeamConcurrent: rapid.IntRange(1, 4).Draw(rt, "tc")}
				l.SetTables(tablesWithLimits(t, limits))
			case 1:
				if n := len(open[team]); n > 0 {
					open[team][n-1]()
					open[team] = open[team][:n-1]
					total--
				}
			default:
				release, err := l.Admit("batch", team)
				fits := total < limits.Concurrent && len(open[team]) < limits.TeamConcurrent
				if (err == nil) != fits {
					rt.Fatalf("admitted: %v, want %v by the naive count", err == nil, fits)
				}
				if err == nil {
					open[team] = append(open[team], release)
					total++
				}
			}
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	l := limit.New(limit.WithInFlight(1 << 30))
	l.SetTables(tablesWithLimits(b, table.Limits{RatePerSecond: 1e9, Burst: 1e9, Concurrent: 1e6, TeamRatePerSecond: 1e9, TeamConcurrent: 1e6}))
	teams := make([]lovagestand.TeamName, 380)
	for i := range teams {
		teams[i] = lovagestand.TeamName(fmt.Sprint("team-", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		release, err := l.Admit("urgent", teams[i%len(teams)])
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}
