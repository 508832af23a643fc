package table_test

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/document"
	"lovagestand.example/lovagestand/table"
)

const (
	poolsText  = "pools:\n- name: p\n  runner: r\n  regions: [a, b]\n  defaultQuota: {processors: 1}\n  leaving: [w1]\n  teams:\n  - name: y\n    quota: {processors: 2}\n  - name: x\n"
	routesText = "routes:\n- name: q\n  pool: p\n  class: urgent\n  resources: {processors: 1}\n  startWithin: 2s\n"
)

func assertFault(t *testing.T, err error, file string, line int, want string) {
	t.Helper()
	c := qt.New(t)
	var fault *document.Error
	c.Assert(errors.As(err, &fault), qt.IsTrue)
	c.Assert(fault.File, qt.Equals, file)
	c.Assert(fault.Line, qt.Equals, line, qt.Commentf("%v", err))
	c.Assert(fault.Error(), qt.Contains, want)
}

func TestTablesLookups(t *testing.T) {
	c := qt.New(t)
	tables, err := table.Parse([]byte(routesText), []byte(poolsText))
	c.Assert(err, qt.IsNil)
	policy := tables.Policy("p")
	c.Assert(policy.Teams[0].Team, qt.Equals, lovagestand.TeamName("x"))
	c.Assert(policy.Teams[0].Quota.MilliCPU, qt.Equals, int64(1000))
	c.Assert(policy.Teams[1].Quota.MilliCPU, qt.Equals, int64(2000))
	c.Assert(tables.Leaving("w1"), qt.IsTrue)
	_, found := tables.PoolOf(lovagestand.Worker{Runner: "r", Region: "c"})
	c.Assert(found, qt.IsFalse)
	_, err = tables.Admit("q", "x")
	c.Assert(err, qt.IsNil)
	var missingRow *table.MissingRowError
	_, err = tables.Admit("none", "x")
	c.Assert(errors.As(err, &missingRow), qt.IsTrue)
	var notListed *table.TeamNotListedError
	_, err = tables.Admit("q", "z")
	c.Assert(errors.As(err, &notListed), qt.IsTrue)
	c.Assert(tables.CheckWaiting(lovagestand.Task{Route: "q", Pool: "p", Team: "x"}), qt.IsNil)
	c.Assert(errors.As(tables.CheckWaiting(lovagestand.Task{Route: "q", Pool: "old", Team: "x"}), &missingRow), qt.IsTrue)
}

func TestParseFaults(t *testing.T) {
	cases := []struct {
		name, file, old, replacement string
		line                         int
		want                         string
	}{
		{"dangling pool", "routes.yaml", "pool: p", "pool: pp", 3, "names no row of the pools table"},
		{"class", "routes.yaml", "urgent", "urgnt", 4, `did you mean "urgent"?`},
		{"no limit", "routes.yaml", "  startWithin: 2s\n", "", 2, "is missing"},
		{"gang", "routes.yaml", "class: urgent", "tasks: 3\n  class: urgent", 4, "starts one task"},
		{"nothing", "routes.yaml", "processors: 1", "processors: 0", 5, "must take something"},
		{"bad name", "routes.yaml", "name: q", "name: 'q q'", 2, "is not a name"},
		{"same home", "pools.yaml", "[a, b]", "[a, a]", 4, "already"},
		{"same team", "pools.yaml", "name: x", "name: y", 10, "given twice"},
		{"key", "pools.yaml", "defaultQuota", "defaultQuotas", 5, `did you mean "defaultQuota"?`},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			routes, pools := routesText, poolsText
			if k.file == "routes.yaml" {
				routes = strings.Replace(routes, k.old, k.replacement, 1)
			} else {
				pools = strings.Replace(pools, k.old, k.replacement, 1)
			}
			_, err := table.Parse([]byte(routes), []byte(pools))
			assertFault(t, err, k.file, k.line, k.want)
		})
	}
}
