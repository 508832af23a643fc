package quota

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
)

// LedgersPerPool is the number of ledgers over which the teams of a pool are
// spread.
const LedgersPerPool = 4

// KeyPrefix is the prefix of the store keys of quota ledgers.
const KeyPrefix = "quota/"

// LedgerID identifies a ledger by its pool and its group of teams.
type LedgerID struct {
	Pool  lovagestand.PoolName
	Group int
}

// Key returns the store key of the ledger.
func (id LedgerID) Key() string {
	return fmt.Sprintf("%s%s/%d", KeyPrefix, id.Pool, id.Group)
}

// GroupOf returns the group of a team, which determines the ledger that records
// the team's shares.
func GroupOf(team lovagestand.TeamName) int {
	return int(xxhash.Sum64String(string(team)) % LedgersPerPool)
}

// Amount is a compact form of [lovagestand.Resources]: thousandths of a core,
// mebibytes of memory, and accelerators.
type Amount [3]int64

// AmountOf returns the compact form of resources.
func AmountOf(resources lovagestand.Resources) Amount {
	return Amount{resources.MilliCPU, resources.MemoryMiB, resources.Accelerators}
}

// Resources returns the amount as [lovagestand.Resources].
func (a Amount) Resources() lovagestand.Resources {
	return lovagestand.Resources{MilliCPU: a[0], MemoryMiB: a[1], Accelerators: a[2]}
}

// Ledger records the quota shares of one group of teams over all shards of a
// pool.
type Ledger struct {
	// Tables is the newest revision of the tables that any writer had in force.
	// A writer with an older revision must not raise shares.
	Tables table.Revision
	Shards []ShardEntry
	Teams  map[lovagestand.TeamName]*TeamEntry
}

// ShardEntry is the entry of a shard in a ledger. Shares and demands refer to
// it by its index in [Ledger.Shards].
type ShardEntry struct {
	// Name is empty if the entry is free.
	Name lovagestand.ShardName
	// Epoch is the epoch of the owner that last wrote the shares of the shard.
	Epoch lovagestand.Epoch
	// Tables is the newest revision of the tables that an owner of the shard
	// had in force when it wrote.
	Tables table.Revision
}

// TeamEntry records the shares and demands of one team.
type TeamEntry struct {
	// Since is the newest [TeamQuota.Since] of any writer. No share is raised
	// until every shard has counted its tasks and written with tables of at
	// least this revision.
	Since table.Revision
	// Shares and Demands are keyed by the index of the shard. A demand is the
	// sum of the resources of the tasks that run or wait in the shard.
	Shares  map[int]Amount
	Demands map[int]Amount
}

// shardIndex returns the index of a shard's entry, or -1 if it has none.
func (l *Ledger) shardIndex(shard lovagestand.ShardName) int {
	for i, e := range l.Shards {
		if e.Name == shard {
			return i
		}
	}
	return -1
}

// addShard returns the index of a shard's entry and adds the entry if there is
// none.
func (l *Ledger) addShard(shard lovagestand.ShardName) int {
	if i := l.shardIndex(shard); i >= 0 {
		return i
	}
	if i := l.shardIndex(""); i >= 0 {
		l.Shards[i] = ShardEntry{Name: shard}
		return i
	}
	l.Shards = append(l.Shards, ShardEntry{Name: shard})
	return len(l.Shards) - 1
}

// Retire removes a shard that no longer has an owner or workers, and frees its
// shares. All tasks of its last owner must have ended.
func (l *Ledger) Retire(shard lovagestand.ShardName) {
	i := l.shardIndex(shard)
	if i < 0 || shard == "" {
		return
	}
	l.Shards[i] = ShardEntry{}
	for _, t := range l.Teams {
		delete(t.Shares, i)
		delete(t.Demands, i)
	}
}

// shareOf returns the share of a team's quota that the ledger records for a
// shard.
func (l *Ledger) shareOf(team lovagestand.TeamName, index int) lovagestand.Resources {
	t := l.Teams[team]
	if t == nil {
		return lovagestand.Resources{}
	}
	return t.Shares[index].Resources()
}

// Share returns the share of a team's quota that the ledger records for a shard. It
// returns false if no owner of the shard has counted the team's tasks since the team has
// had its quota. Otherwise all tasks of the team in the shard are within the share.
func (l *Ledger) Share(team lovagestand.TeamName, shard lovagestand.ShardName) (lovagestand.Resources, bool) {
	index, t := l.shardIndex(shard), l.Teams[team]
	if index < 0 || t == nil || l.Shards[index].Tables < t.Since {
		return lovagestand.Resources{}, false
	}
	return l.shareOf(team, index), true
}

// totalShares returns the sum of the shares of all shards.
func (t *TeamEntry) totalShares() lovagestand.Resources {
	var sum lovagestand.Resources
	for _, s := range t.Shares {
		sum = sum.Add(s.Resources())
	}
	return sum
}

// totalDemand returns the sum of the demands of all shards.
func (t *TeamEntry) totalDemand() lovagestand.Resources {
	var sum lovagestand.Resources
	for _, d := range t.Demands {
		sum = sum.Add(d.Resources())
	}
	return sum
}

// setShard sets the share and the demand of a shard. An amount of zero is not
// stored.
func (t *TeamEntry) setShard(index int, share, demand lovagestand.Resources) {
	t.Shares = setAmount(t.Shares, index, share)
	t.Demands = setAmount(t.Demands, index, demand)
}

func setAmount(amounts map[int]Amount, index int, resources lovagestand.Resources) map[int]Amount {
	if resources.IsZero() {
		delete(amounts, index)
		return amounts
	}
	if amounts == nil {
		amounts = map[int]Amount{}
	}
	amounts[index] = AmountOf(resources)
	return amounts
}

// allShardsCounted reports whether every shard has counted its running tasks of
// a team with tables in which the team has a quota. A shard of the pool that
// has no entry has not counted them.
func (l *Ledger) allShardsCounted(entry *TeamEntry, poolShards []lovagestand.ShardName) bool {
	for _, shard := range poolShards {
		if l.shardIndex(shard) < 0 {
			return false
		}
	}
	for _, e := range l.Shards {
		if e.Name != "" && e.Tables < entry.Since {
			return false
		}
	}
	return true
}
