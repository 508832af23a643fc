package table_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
)

// drawTables draws random tables with up to three routes, and one pool with up to
// three teams.
func drawTables(t *rapid.T, label string) table.Tables {
	var routes []table.Route
	pool := table.Pool{Name: "p", Runner: "r", Regions: []lovagestand.RegionName{"a"}}
	for _, name := range []string{"a", "b", "c"} {
		if burst := rapid.IntRange(0, 3).Draw(t, label+name); burst > 0 {
			routes = append(routes, table.Route{
				Name: lovagestand.RouteName(name), Pool: "p", Class: lovagestand.ClassBatch, StartWithin: time.Second,
				Resources: table.Amount{Processors: 1}, Limits: table.Limits{RatePerSecond: 1, Burst: burst},
			})
		}
		if weight := rapid.IntRange(0, 3).Draw(t, label+name+"team"); weight > 0 {
			pool.Teams = append(pool.Teams, table.Team{Name: lovagestand.TeamName(name), Weight: float64(weight)})
		}
	}
	tables, err := table.New(1, routes, []table.Pool{pool})
	if err != nil {
		t.Fatal(err)
	}
	return tables
}

// rowValues returns the values of all rows. Absent rows have no entry and therefore
// the value 0.
func rowValues(t table.Tables) map[string]int {
	values := map[string]int{}
	for _, r := range t.Routes() {
		values["route "+string(r.Name)] = r.Limits.Burst
	}
	for _, team := range t.Pools()[0].Teams {
		values["team "+string(team.Name)] = int(team.Weight)
	}
	return values
}

// TestMergeMatchesNaiveLoop compares the merge with a three-way merge in a simple
// loop over every row.
func TestMergeMatchesNaiveLoop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := drawTables(t, "base"), drawTables(t, "mine"), drawTables(t, "theirs")
		want, conflict := map[string]int{}, false
		for _, row := range []string{"route a", "route b", "route c", "team a", "team b", "team c"} {
			b, m, o := rowValues(base)[row], rowValues(mine)[row], rowValues(theirs)[row]
			conflict = conflict || (m != b && o != b && m != o)
			value := o
			if m != b {
				value = m
			}
			if value > 0 {
				want[row] = value
			}
		}
		merged, err := table.Merge(base, mine, theirs)
		if (err != nil) != conflict {
			t.Fatalf("conflict wanted %v, got %v", conflict, err)
		}
		if !conflict && !maps.Equal(rowValues(merged), want) {
			t.Fatalf("merged %v, want %v", rowValues(merged), want)
		}
	})
}
