package table_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/document"
	"lovagestand.example/lovagestand/examples"
	"lovagestand.example/lovagestand/standin/kv"
	"lovagestand.example/lovagestand/table"
)

// sampleTables returns the example tables of sheet-orders.
func sampleTables(t testing.TB) table.Tables {
	tables, err := examples.Tables("sheet-orders")
	qt.Assert(t, err, qt.IsNil)
	return tables
}

// withBurst returns a copy of tables in which route i has the given burst and a
// rate of 1.
func withBurst(t testing.TB, tables table.Tables, i, burst int) table.Tables {
	routes := append([]table.Route(nil), tables.Routes()...)
	limits := routes[i].Limits
	limits.Burst, limits.RatePerSecond = burst, 1
	routes[i] = routes[i].WithLimits(limits)
	edited, err := table.New(tables.Revision(), routes, tables.Pools())
	qt.Assert(t, err, qt.IsNil)
	return edited
}

// seededStore returns a store that holds the sample tables at revision 1, and these
// tables.
func seededStore(t testing.TB) (*kv.Store, table.Tables) {
	store := kv.New()
	result, err := table.NewApplier(store).Apply(t.Context(), table.Edit{Tables: sampleTables(t), Writer: "first"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result.Revision, qt.Equals, table.Revision(1))
	return store, sampleTables(t).WithRevision(1)
}

func apply(t testing.TB, store lovagestand.Store, base, edited table.Tables, writer string) (table.Result, error) {
	return table.NewApplier(store).Apply(t.Context(), table.Edit{Tables: edited, Base: base.Revision(), Writer: writer})
}

// assertBursts asserts the revision in the store, that the record lists all changes
// up to it, and the bursts of the first routes.
func assertBursts(t testing.TB, store lovagestand.Store, revision table.Revision, bursts ...int) {
	t.Helper()
	record, _, err := table.Load(context.Background(), store)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, record.Tables.Revision(), qt.Equals, revision)
	qt.Assert(t, len(record.Changes), qt.Equals, int(revision))
	for i, burst := range bursts {
		qt.Assert(t, record.Tables.Routes()[i].Limits.Burst, qt.Equals, burst)
	}
}

func TestApplyMergesByRow(t *testing.T) {
	c := qt.New(t)
	store, base := seededStore(t)
	_, err := apply(t, store, base, withBurst(t, base, 0, 11), "asha")
	c.Assert(err, qt.IsNil)
	result, err := apply(t, store, base, withBurst(t, base, 1, 12), "ben")
	c.Assert(err, qt.IsNil)
	c.Assert(result.Merged, qt.IsTrue)
	assertBursts(t, store, 3, 11, 12)

	_, err = apply(t, store, base, withBurst(t, base, 0, 13), "chitra")
	var conflict *table.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(conflict.Writer, qt.Equals, "asha")
	c.Assert(conflict.Row.Name, qt.Equals, string(base.Routes()[0].Name))
	assertBursts(t, store, 3, 11, 12)

	_, err = apply(t, store, base.WithRevision(99), base, "dev")
	var missing *table.MissingBaseError
	c.Assert(errors.As(err, &missing), qt.IsTrue)
}

func TestApplyRejectsMergeWithDanglingPool(t *testing.T) {
	c := qt.New(t)
	store, base := seededStore(t)
	spare := table.Pool{Name: "spare", Runner: "other", Regions: []lovagestand.RegionName{"northbank"}}
	withSpare, err := table.New(0, base.Routes(), append([]table.Pool{spare}, base.Pools()...))
	c.Assert(err, qt.IsNil)
	_, err = apply(t, store, base, withSpare, "asha")
	c.Assert(err, qt.IsNil)
	moved := append([]table.Route(nil), base.Routes()...)
	moved[0] = moved[0].WithPool("spare")
	withMovedRoute, err := table.New(0, moved, withSpare.Pools())
	c.Assert(err, qt.IsNil)
	_, err = apply(t, store, base.WithRevision(2), withMovedRoute, "ben")
	c.Assert(err, qt.IsNil)
	_, err = apply(t, store, base.WithRevision(2), base, "chitra")
	var fault *document.Error
	c.Assert(errors.As(err, &fault), qt.IsTrue)
	c.Assert(fault.Problem, qt.Contains, "names no row of the pools table")
	record, _, err := table.Load(t.Context(), store)
	c.Assert(err, qt.IsNil)
	c.Assert(record.Tables.Revision(), qt.Equals, table.Revision(3))
}

func TestApplyUnderStoreFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults kv.Faults
	}{
		{"reply lost", kv.Faults{LoseReplies: 1}},
		{"late effect", kv.Faults{EffectDelay: 250 * time.Millisecond}},
		{"very late effect", kv.Faults{EffectDelay: 2 * time.Second}},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, base := seededStore(t)
				store.SetFaults(k.faults)
				result, err := apply(t, store, base, withBurst(t, base, 0, 11), "asha")
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, result.Changed, qt.IsTrue)
				time.Sleep(5 * time.Second)
				assertBursts(t, store, 2, 11)
			})
		})
	}
	t.Run("outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store, base := seededStore(t)
			store.SetFaults(kv.Faults{Down: true})
			_, err := apply(t, store, base, withBurst(t, base, 0, 11), "asha")
			var unconfirmed *table.UnconfirmedError
			qt.Assert(t, errors.As(err, &unconfirmed), qt.IsTrue)
			qt.Assert(t, unconfirmed.Sent, qt.IsFalse)
		})
	})
}

func TestHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	store := kv.New(kv.WithRates(1e6, 1e6))
	base := sampleTables(t)
	for i := range table.HistoryLength + 5 {
		_, err := apply(t, store, base, withBurst(t, base, 0, i+1), "asha")
		c.Assert(err, qt.IsNil)
		base = base.WithRevision(base.Revision() + 1)
	}
	stored, err := store.List(t.Context(), table.HistoryPrefix)
	c.Assert(err, qt.IsNil)
	c.Assert(stored, qt.HasLen, table.HistoryLength)
	record, _, err := table.Load(t.Context(), store)
	c.Assert(err, qt.IsNil)
	c.Assert(record.Changes, qt.HasLen, table.HistoryLength)
	old, err := table.LoadRevision(t.Context(), store, record, base.Revision()-100)
	c.Assert(err, qt.IsNil)
	c.Assert(old.Tables.Routes()[0].Limits.Burst, qt.Equals, int(base.Revision())-100)
	_, err = table.LoadRevision(t.Context(), store, record, 1)
	c.Assert(err, qt.ErrorMatches, "base revision 1 is not kept.*")
}
