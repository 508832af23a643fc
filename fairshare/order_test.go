package fairshare_test

import (
	"testing"

	"pgregory.net/rapid"

	"lovagestand.example/lovagestand/fairshare"
)

// TestNoTeamStartsAheadOfOnesBelowTheirPart drives a pool with tasks of a core each that
// start in the order of tiers. It guards against idle capacity while tasks wait, and
// against a start for a team beyond a bound while another team that waits is below it.
// With both bounds at 1, no team starts tasks beyond its entitlement while another waits
// below its own.
func TestNoTeamStartsAheadOfOnesBelowTheirPart(t *testing.T) {
	const size = 40
	rapid.Check(t, func(t *rapid.T) {
		bounds := rapid.SampledFrom([]fairshare.Bounds{{Guaranteed: 1, Shared: 1}, fairshare.DefaultBounds}).Draw(t, "bounds")
		teams := make([]fairshare.Team, rapid.IntRange(1, 6).Draw(t, "teams"))
		running, waiting := make([]int64, len(teams)), make([]int64, len(teams))
		for i := range teams {
			teams[i].Weight = rapid.Float64Range(0.1, 20).Draw(t, "weight")
		}
		free := int64(size)
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			i := rapid.IntRange(0, len(teams)-1).Draw(t, "team")
			waiting[i] += rapid.Int64Range(0, size).Draw(t, "arrivals")
			for k := range teams {
				ended := rapid.Int64Range(0, running[k]).Draw(t, "ended")
				running[k], free = running[k]-ended, free+ended
				teams[k].Used, teams[k].Waiting = cores(running[k]), cores(waiting[k])
			}
			entitled := fairshare.Entitlements(cores(size), teams)
			var tiers [fairshare.Beyond + 1][]int
			for k, a := range fairshare.NewAccounts(cores(size), teams, bounds) {
				for range waiting[k] {
					tier := a.Tier(cores(1), 1, false)
					tiers[tier] = append(tiers[tier], k)
				}
			}
			for tier, steps := range tiers {
				for _, k := range steps[:min(int(free), len(steps))] {
					free--
					running[k]++
					waiting[k]--
					for other, e := range entitled {
						part := [...]float64{0, bounds.Guaranteed, min(1, bounds.Shared)}[tier] * e.Share * size
						if waiting[other] > 0 && part-float64(running[other]) >= 1 {
							t.Fatalf("team %d starts a task of tier %d while team %d waits with %d of %v cores", k, tier, other, running[other], part)
						}
					}
				}
			}
			for k, n := range waiting {
				if free > 0 && n > 0 {
					t.Fatalf("%d cores are idle while team %d waits", free, k)
				}
			}
		}
	})
}
