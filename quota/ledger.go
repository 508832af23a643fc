package quota

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
)

// LedgersPerPool is how many books the teams of a pool are spread over.
const LedgersPerPool = 4

// KeyPrefix begins the store's keys of books.
const KeyPrefix = "quota/"

// LedgerID names a book.
type LedgerID struct {
	Pool  lovagestand.PoolName
	Group int
}

// Key returns the store's key of the book.
func (id LedgerID) Key() string {
	return fmt.Sprintf("%s%s/%d", KeyPrefix, id.Pool, id.Group)
}

// GroupOf returns the group that a team's quota is kept in.
func GroupOf(team lovagestand.TeamName) int {
	return int(xxhash.Sum64String(string(team)) % LedgersPerPool)
}

// Amount is a compact form of [lovagestand.Resources]: thousandths of a core,
// mebibytes and accelerators.
type Amount [3]int64

// AmountOf returns the compact form of r.
func AmountOf(resources lovagestand.Resources) Amount {
	return Amount{resources.MilliCPU, resources.MemoryMiB, resources.Accelerators}
}

// Resources returns the resources.
func (a Amount) Resources() lovagestand.Resources {
	return lovagestand.Resources{MilliCPU: a[0], MemoryMiB: a[1], Accelerators: a[2]}
}

// Ledger holds the shares of one group of teams over all shards of a pool.
type Ledger struct {
	// Tables is the newest revision that a writer had in force. A writer with
	// an older one may not raise shares.
	Tables table.Revision
	Shards []ShardEntry
	Teams  map[lovagestand.TeamName]*TeamEntry
}

// ShardEntry is a shard's line in a book. Shares refer to it by its index.
type ShardEntry struct {
	// Name is empty for a line that is free.
	Name lovagestand.ShardName
	// Epoch is that of the owner who writes the shard's shares.
	Epoch lovagestand.Epoch
	// Tables is the revision the owner had in force when it last wrote.
	Tables table.Revision
}

// TeamEntry holds the shares of one team.
type TeamEntry struct {
	// Since is the newest [Rule.Since] of a writer. No share is raised before
	// every shard has counted what it runs under that revision.
	Since table.Revision
	// Shares and Demands are by the shard's index; demands are what runs and
	// waits there.
	Shares  map[int]Amount
	Demands map[int]Amount
}

// shardIndex returns a shard's index; -1 if it has no line.
func (b *Ledger) shardIndex(shard lovagestand.ShardName) int {
	for i, e := range b.Shards {
		if e.Name == shard {
			return i
		}
	}
	return -1
}

// addShard gives a shard a line and returns its index.
func (b *Ledger) addShard(shard lovagestand.ShardName) int {
	if i := b.shardIndex(shard); i >= 0 {
		return i
	}
	if i := b.shardIndex(""); i >= 0 {
		b.Shards[i] = ShardEntry{Name: shard}
		return i
	}
	b.Shards = append(b.Shards, ShardEntry{Name: shard})
	return len(b.Shards) - 1
}

// Retire removes a shard that has no owner and no workers any more and frees
// its shares. Its last owner's tasks must have ended.
func (b *Ledger) Retire(shard lovagestand.ShardName) {
	i := b.shardIndex(shard)
	if i < 0 || shard == "" {
		return
	}
	b.Shards[i] = ShardEntry{}
	for _, t := range b.Teams {
		delete(t.Shares, i)
		delete(t.Demands, i)
	}
}

// shareOf returns a shard's written share of a team's quota.
func (b *Ledger) shareOf(team lovagestand.TeamName, index int) lovagestand.Resources {
	t := b.Teams[team]
	if t == nil {
		return lovagestand.Resources{}
	}
	return t.Shares[index].Resources()
}

// totalShares returns what all shards hold of a team's quota.
func (t *TeamEntry) totalShares() lovagestand.Resources {
	var sum lovagestand.Resources
	for _, s := range t.Shares {
		sum = sum.Add(s.Resources())
	}
	return sum
}

func (t *TeamEntry) totalDemand() lovagestand.Resources {
	var sum lovagestand.Resources
	for _, d := range t.Demands {
		sum = sum.Add(d.Resources())
	}
	return sum
}

// setShard writes a shard's share and demand; nothing is kept of zeros.
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

// allShardsCounted reports whether every shard has counted what it runs of a team since
// the team has a quota.
func (b *Ledger) allShardsCounted(entry *TeamEntry, poolShards []lovagestand.ShardName) bool {
	for _, shard := range poolShards {
		if b.shardIndex(shard) < 0 {
			return false
		}
	}
	for _, e := range b.Shards {
		if e.Name != "" && e.Tables < entry.Since {
			return false
		}
	}
	return true
}
