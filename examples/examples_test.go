package examples_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/examples"
)

func TestTablesCoverEveryClass(t *testing.T) {
	for _, firm := range []string{"glazedesk", "sheet-orders"} {
		t.Run(firm, func(t *testing.T) {
			c := qt.New(t)
			tables, err := examples.Tables(firm)
			c.Assert(err, qt.IsNil)
			classes := map[lovagestand.Class]bool{}
			for _, r := range tables.Routes() {
				classes[r.Class] = true
			}
			c.Assert(classes, qt.HasLen, len(lovagestand.Classes()))
			w := lovagestand.Worker{Runner: firm, Region: tables.Pools()[0].Regions[0]}
			pool, found := tables.PoolOf(w)
			c.Assert(found, qt.IsTrue)
			c.Assert(tables.Policy(pool).Teams, qt.HasLen, len(tables.Pools()[0].Teams))
		})
	}
}
