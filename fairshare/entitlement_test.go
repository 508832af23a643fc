package fairshare_test

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/fairshare"
)

// tolerance is the permitted rounding error of shares.
const tolerance = 1e-6

func cores(n int64) lovagestand.Resources {
	return lovagestand.Resources{MilliCPU: n * 1000}
}

func TestEntitlements(t *testing.T) {
	limit := cores(10)
	for name, test := range map[string]struct {
		teams []fairshare.Team
		want  []float64
	}{
		"what one team does not need goes to the others by weight": {
			[]fairshare.Team{{Weight: 1, Waiting: cores(10)}, {Weight: 1, Waiting: cores(500)}, {Weight: 2, Used: cores(90), Waiting: cores(500)}},
			[]float64{0.1, 0.3, 0.6},
		},
		"a weight of 0 counts as 1": {
			[]fairshare.Team{{Waiting: cores(500)}, {Weight: 3, Waiting: cores(500)}},
			[]float64{0.25, 0.75},
		},
		"demand beyond a cap does not count": {
			[]fairshare.Team{{Weight: 8, Waiting: cores(500), Cap: &limit}, {Weight: 1, Waiting: cores(500)}},
			[]float64{0.1, 0.9},
		},
		"teams of different dominant resources get equal dominant shares": {
			[]fairshare.Team{
				{Waiting: lovagestand.Resources{MilliCPU: 200_000, MemoryMiB: 1000}},
				{Waiting: lovagestand.Resources{MilliCPU: 100_000, MemoryMiB: 2000}},
			},
			[]float64{2.0 / 3, 2.0 / 3},
		},
		"a team that does not need the exhausted resource continues": {
			[]fairshare.Team{{Waiting: cores(500)}, {Waiting: cores(500)}, {Waiting: lovagestand.Resources{MemoryMiB: 800}}},
			[]float64{0.5, 0.5, 0.8},
		},
		"demand of exactly the capacity is covered": {
			[]fairshare.Team{{Weight: 3, Waiting: cores(33)}, {Weight: 7, Waiting: cores(33)}, {Weight: 1, Waiting: cores(34)}},
			[]float64{0.33, 0.33, 0.34},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := fairshare.Entitlements(lovagestand.Resources{MilliCPU: 100_000, MemoryMiB: 1000}, test.teams)
			for i, e := range got {
				c.Check(math.Abs(e.Share-test.want[i]) < tolerance, qt.IsTrue, qt.Commentf("team %d: %v, want %v", i, e.Share, test.want[i]))
			}
		})
	}
}

func drawTeams(t *rapid.T) []fairshare.Team {
	teams := make([]fairshare.Team, rapid.IntRange(1, 12).Draw(t, "teams"))
	for i := range teams {
		amount := func(name string) lovagestand.Resources {
			return lovagestand.Resources{
				MilliCPU: rapid.Int64Range(0, 60_000).Draw(t, name+"CPU"), MemoryMiB: rapid.Int64Range(0, 60_000).Draw(t, name+"Memory"),
				Accelerators: rapid.Int64Range(0, 3).Draw(t, name+"Accelerators"),
			}
		}
		teams[i] = fairshare.Team{Weight: rapid.Float64Range(0.1, 20).Draw(t, "weight"), Used: amount("used"), Waiting: amount("waiting")}
		if rapid.Bool().Draw(t, "capped") {
			limit := amount("cap")
			teams[i].Cap = &limit
		}
	}
	return teams
}

// usage returns the fractions of the capacity that the teams use at their entitlements.
func usage(capacity lovagestand.Resources, teams []fairshare.Team, entitlements []fairshare.Entitlement) [3]float64 {
	var sum [3]float64
	for i, t := range teams {
		wanted := t.Used.Add(t.Waiting)
		share := wanted.DominantShare(capacity)
		if share == 0 {
			continue
		}
		for r, part := range []lovagestand.Resources{{MilliCPU: wanted.MilliCPU}, {MemoryMiB: wanted.MemoryMiB}, {Accelerators: wanted.Accelerators}} {
			sum[r] += part.DominantShare(capacity) * entitlements[i].Share / share
		}
	}
	return sum
}

// TestEntitlementsAreFair guards against entitlements that exceed the capacity, leave
// some of it to no team although a team wants it, or give a team more by weight than
// another one that wants more.
func TestEntitlementsAreFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := lovagestand.Resources{MilliCPU: 100_000, MemoryMiB: 100_000, Accelerators: 8}
		teams := drawTeams(t)
		entitlements := fairshare.Entitlements(capacity, teams)
		sum := usage(capacity, teams, entitlements)
		for i, e := range entitlements {
			wanted := teams[i].Used.Add(teams[i].Waiting)
			if e.Share > wanted.DominantShare(capacity)+tolerance {
				t.Fatalf("team %d gets %v of %v", i, e.Share, wanted)
			}
			if e.Satisfied {
				continue
			}
			blocked := false
			for r, amount := range []int64{wanted.MilliCPU, wanted.MemoryMiB, wanted.Accelerators} {
				blocked = blocked || amount > 0 && sum[r] > 1-tolerance
			}
			if !blocked {
				t.Fatalf("team %d gets %v of %v while capacity is left: %v", i, e.Share, wanted, sum)
			}
			for k, other := range entitlements {
				if amount := teams[k].Used.Add(teams[k].Waiting); !sharesExhausted(wanted, amount, sum) {
					continue
				}
				if other.Share/teams[k].Weight > e.Share/teams[i].Weight+tolerance && lastToGrow(sum, wanted) {
					t.Fatalf("team %d gets %v by weight, team %d waits with %v", k, other.Share/teams[k].Weight, i, e.Share/teams[i].Weight)
				}
			}
		}
		for r, part := range sum {
			if part > 1+tolerance {
				t.Fatalf("resource %d is divided %v times", r, part)
			}
		}
	})
}

// sharesExhausted reports whether both amounts need a resource that is used up.
func sharesExhausted(a, b lovagestand.Resources, sum [3]float64) bool {
	pairs := [][2]int64{{a.MilliCPU, b.MilliCPU}, {a.MemoryMiB, b.MemoryMiB}, {a.Accelerators, b.Accelerators}}
	for r, p := range pairs {
		if p[0] > 0 && p[1] > 0 && sum[r] > 1-tolerance {
			return true
		}
	}
	return false
}

// lastToGrow reports whether exactly one resource that the amount needs is used up, so
// that the team stopped growing when that resource was.
func lastToGrow(sum [3]float64, amount lovagestand.Resources) bool {
	n := 0
	for r, a := range []int64{amount.MilliCPU, amount.MemoryMiB, amount.Accelerators} {
		if a > 0 && sum[r] > 1-tolerance {
			n++
		}
	}
	return n == 1
}

// TestEntitlementGrowsWithWeight guards against a team that loses by a higher weight.
func TestEntitlementGrowsWithWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := lovagestand.Resources{MilliCPU: 100_000, MemoryMiB: 100_000, Accelerators: 8}
		teams := drawTeams(t)
		i := rapid.IntRange(0, len(teams)-1).Draw(t, "team")
		before := fairshare.Entitlements(capacity, teams)[i]
		teams[i].Weight *= rapid.Float64Range(1, 10).Draw(t, "factor")
		after := fairshare.Entitlements(capacity, teams)[i]
		if after.Share < before.Share-tolerance {
			t.Fatalf("share falls from %v to %v", before.Share, after.Share)
		}
	})
}

// TestCoveredDemandKeepsItsOrder guards against another order than that of scores while
// there is capacity for all demand.
func TestCoveredDemandKeepsItsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type step struct {
			team, tasks int
			task        lovagestand.Resources
			gang        bool
		}
		teams := make([]fairshare.Team, rapid.IntRange(1, 6).Draw(t, "teams"))
		var capacity lovagestand.Resources
		for i := range teams {
			teams[i].Weight = rapid.Float64Range(0.1, 20).Draw(t, "weight")
			teams[i].Used = lovagestand.Resources{MilliCPU: rapid.Int64Range(0, 9999).Draw(t, "used")}
			capacity = capacity.Add(teams[i].Used)
		}
		steps := make([]step, rapid.IntRange(1, 30).Draw(t, "steps"))
		for i := range steps {
			s := step{team: rapid.IntRange(0, len(teams)-1).Draw(t, "team"), tasks: rapid.IntRange(1, 30).Draw(t, "tasks"), gang: rapid.Bool().Draw(t, "gang")}
			s.task = lovagestand.Resources{MilliCPU: rapid.Int64Range(1, 9999).Draw(t, "cpu"), MemoryMiB: rapid.Int64Range(1, 9999).Draw(t, "memory")}
			teams[s.team].Waiting = teams[s.team].Waiting.Add(s.task.Times(int64(s.tasks)))
			capacity = capacity.Add(s.task.Times(int64(s.tasks)))
			steps[i] = s
		}
		accounts := fairshare.NewAccounts(capacity, teams, fairshare.DefaultBounds)
		for i, s := range steps {
			if accounts[s.team].Tier(s.task, s.tasks, s.gang) != fairshare.Guaranteed {
				t.Fatalf("step %d is beyond the entitlement", i)
			}
		}
	})
}

// TestStepsAcrossTheBoundary guards against teams that are starved by rounding.
func TestStepsAcrossTheBoundary(t *testing.T) {
	c := qt.New(t)
	// The team is entitled to 10 cores.
	account := func(used int64, limit *lovagestand.Resources) *fairshare.Account {
		return fairshare.NewAccounts(cores(100), []fairshare.Team{{Weight: 1, Used: cores(used), Waiting: cores(100), Cap: limit}, {Weight: 9, Waiting: cores(500)}}, fairshare.Bounds{Guaranteed: 1, Shared: 2})[0]
	}
	c.Check(account(0, nil).Tier(cores(4), 20, true), qt.Equals, fairshare.Guaranteed, qt.Commentf("the first step of a team that runs nothing"))
	c.Check(account(4, nil).Tier(cores(4), 20, true), qt.Equals, fairshare.Guaranteed, qt.Commentf("a gang beside less than half of the entitlement"))
	c.Check(account(6, nil).Tier(cores(4), 20, true), qt.Equals, fairshare.Shared, qt.Commentf("a gang beside more than half of it"))
	c.Check(account(8, nil).Tier(cores(1), 4, false), qt.Equals, fairshare.Guaranteed, qt.Commentf("a step half within"))
	c.Check(account(8, nil).Tier(cores(1), 6, false), qt.Equals, fairshare.Shared, qt.Commentf("a step mostly beyond"))
	a := account(19, nil)
	c.Check([]fairshare.Tier{a.Tier(cores(4), 1, false), a.Tier(cores(1), 1, false), a.Tier(cores(1), 1, false)}, qt.DeepEquals,
		[]fairshare.Tier{fairshare.Beyond, fairshare.Shared, fairshare.Beyond}, qt.Commentf("smaller steps behind one beyond"))
	limit := cores(5)
	c.Check(account(0, &limit).Tier(cores(1), 50, false), qt.Equals, fairshare.Guaranteed, qt.Commentf("a step that its team's cap lets run in waves"))
	c.Check(account(5, &limit).Tier(cores(1), 50, false), qt.Equals, fairshare.Beyond, qt.Commentf("a step that the cap holds back"))
}

func BenchmarkEntitlements(b *testing.B) {
	for _, n := range []int{20, 380} {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			teams := make([]fairshare.Team, n)
			for i := range teams {
				teams[i] = fairshare.Team{Weight: 1 / float64(i+1), Used: cores(int64(i % 20)), Waiting: cores(int64(i * 7 % 300))}
			}
			for b.Loop() {
				fairshare.Entitlements(cores(5600), teams)
			}
		})
	}
}
