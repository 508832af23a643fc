package table_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/standin/kv"
	"lovagestand.example/lovagestand/table"
)

// largeRecord returns a record of the given size with a full list of changes. Each
// pool lists every team with a quota. The leaving workers are divided evenly among
// the pools.
func largeRecord(b *testing.B, routes, pools, teams, leaving int) table.Record {
	var r []table.Route
	var p []table.Pool
	template := sampleTables(b).Routes()[0]
	for i := range pools {
		pool := table.Pool{Name: lovagestand.PoolName(fmt.Sprintf("pool-%03d", i)), Runner: fmt.Sprintf("runner-%03d", i), Regions: []lovagestand.RegionName{"northbank", "riverside"}}
		for t := range teams {
			pool.Teams = append(pool.Teams, table.Team{
				Name: lovagestand.TeamName(fmt.Sprintf("council-of-%03d", t)), Weight: 2, Quota: &table.Amount{Processors: 200000, Memory: 819200, Accelerators: 8},
			})
		}
		for w := range leaving / pools {
			pool.Leaving = append(pool.Leaving, lovagestand.WorkerName(fmt.Sprintf("northbank-a-rack-%03d-worker-%02d", i, w)))
		}
		p = append(p, pool)
	}
	for i := range routes {
		template.Name = lovagestand.RouteName(fmt.Sprintf("stock-check-%03d", i))
		r = append(r, template.WithPool(p[i%pools].Name))
	}
	tables, err := table.New(0, r, p)
	qt.Assert(b, err, qt.IsNil)
	record := table.Record{}
	for i := range table.HistoryLength {
		rows := make([]table.Row, table.MaxRowsListed)
		for j := range rows {
			rows[j] = table.Row{Table: table.PoolsTable, Name: "pool-000", Team: "council-of-000"}
		}
		record = record.With(tables, table.Change{Writer: "asha@harrowgate", Token: fmt.Sprintf("%036d", i), At: time.Now(), Message: "a quota for the spring term", Rows: rows})
	}
	return record
}

// BenchmarkValue measures the size of a record in the store and the time to decode
// and check it.
func BenchmarkValue(b *testing.B) {
	for _, s := range [][4]int{{1, 1, 1, 0}, {501, 1, 1, 0}, {1, 1, 381, 0}, {1, 1, 1, 1900}, {500, 3, 380, 1900}} {
		b.Run(fmt.Sprintf("routes=%d/pools=%d/teams=%d/leaving=%d", s[0], s[1], s[2], s[3]), func(b *testing.B) {
			data, err := largeRecord(b, s[0], s[1], s[2], s[3]).Encode()
			qt.Assert(b, err, qt.IsNil)
			for b.Loop() {
				_, err := table.DecodeRecord(data)
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkInForce measures the real time from the acceptance of a change until it
// is in force at every follower. The store runs in the same process and replies
// after 3 ms.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []int{9, 39} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) { benchmarkInForce(b, size) })
	}
}

func benchmarkInForce(b *testing.B, size int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := kv.New(kv.WithRates(1e6, 1e6))
	record := largeRecord(b, 300, 1, 380, 100)
	applier := table.NewApplier(store)
	_, err := applier.Apply(ctx, table.Edit{Tables: record.Tables})
	qt.Assert(b, err, qt.IsNil)
	store.SetFaults(kv.Faults{Delay: 3 * time.Millisecond})
	var members []*table.Follower
	for range size {
		m := table.NewFollower(store)
		members = append(members, m)
		go func() { _ = m.Run(ctx) }()
	}
	waits := hdrhistogram.New(1, 60e6, 3)
	revision := table.Revision(1)
	for b.Loop() {
		_, err := applier.Apply(ctx, table.Edit{Tables: withBurst(b, record.Tables, 0, int(revision)), Base: revision})
		qt.Assert(b, err, qt.IsNil)
		accepted := time.Now()
		revision++
		for _, m := range members {
			for m.Status().Revision < revision {
				time.Sleep(time.Millisecond)
			}
		}
		qt.Assert(b, waits.RecordValue(time.Since(accepted).Microseconds()+1), qt.IsNil)
	}
	b.ReportMetric(float64(waits.ValueAtQuantile(99))/1e3, "p99-ms")
	b.ReportMetric(float64(waits.ValueAtQuantile(50))/1e3, "p50-ms")
}
