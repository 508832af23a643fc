package table_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	"lovagestand.example/lovagestand/table"
)

// FuzzParse checks that the parser never panics, and that tables that it accepts
// are unchanged after a round trip through a store value and through YAML.
func FuzzParse(f *testing.F) {
	f.Add([]byte(routesText), []byte(poolsText))
	f.Add([]byte("routes: []\n"), []byte(""))
	f.Add([]byte("routes: [{name: q, limits: {}}]"), []byte("pools: [{regions: [a]}]"))
	f.Fuzz(func(t *testing.T, routes, pools []byte) {
		tables, err := table.Parse(routes, pools)
		if err != nil {
			return
		}
		data, err := table.Record{Tables: tables.WithRevision(1)}.Encode()
		qt.Assert(t, err, qt.IsNil)
		record, err := table.DecodeRecord(data)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, table.Diff(tables, record.Tables), qt.HasLen, 0)

		routes, err = yaml.Marshal(table.RoutesFile{Routes: tables.Routes()})
		qt.Assert(t, err, qt.IsNil)
		pools, err = yaml.Marshal(table.PoolsFile{Pools: tables.Pools()})
		qt.Assert(t, err, qt.IsNil)
		again, err := table.Parse(routes, pools)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, table.Diff(tables, again), qt.HasLen, 0)
	})
}
