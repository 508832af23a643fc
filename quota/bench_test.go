package quota_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/quota"
)

// BenchmarkLedger measures one holder's round in one ledger of a pool of 380
// teams, each with work in every shard, and reports the size of that ledger.
func BenchmarkLedger(b *testing.B) {
	for _, shards := range []int{7, 60, 238} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			data, names := fullLedger(b, shards)
			for b.Loop() {
				ledger, err := quota.DecodeLedger(data)
				qt.Assert(b, err, qt.IsNil)
				h := quota.NewHolder(names[0], 1)
				h.Read(ledger, 1, names)
				h.Write(ledger, nil, names)
				_, err = ledger.Encode()
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// fullLedger returns an encoded ledger in which every team has a share in every
// shard, and the names of the shards.
func fullLedger(b *testing.B, shards int) ([]byte, []lovagestand.ShardName) {
	ledger, err := quota.DecodeLedger(nil)
	qt.Assert(b, err, qt.IsNil)
	var names []lovagestand.ShardName
	for i := range shards {
		names = append(names, lovagestand.ShardName(fmt.Sprintf("northbank/rack-%03d", i)))
		ledger.Shards = append(ledger.Shards, quota.ShardEntry{Name: names[i], Epoch: 1, Tables: 1400})
	}
	for t := range 380 / quota.LedgersPerPool {
		entry := &quota.TeamEntry{Since: 1, Shares: map[int]quota.Amount{}, Demands: map[int]quota.Amount{}}
		for i := range shards {
			entry.Shares[i] = quota.Amount{12500, 51200, 1}
			entry.Demands[i] = quota.Amount{10000, 40960, 1}
		}
		ledger.Teams[lovagestand.TeamName(fmt.Sprintf("council-of-%03d", t))] = entry
	}
	data, err := ledger.Encode()
	qt.Assert(b, err, qt.IsNil)
	return data, names
}
