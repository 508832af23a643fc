package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
)

const (
	// MinPeriod is the shortest time between two rounds.
	MinPeriod = time.Second
	// WriteBudget is how many writes a second all instances together may make
	// to the books.
	WriteBudget = 60
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
)

// Shard is a shard that this instance owns, with all that runs there known.
type Shard struct {
	Name  lovagestand.ShardName
	Epoch lovagestand.Epoch
	// Refresh puts [Keeper.Policies] in force at the shard's decider and
	// returns what teams take by pool, both in one critical section: no start
	// between the two goes by older policies. It returns false where not all
	// that runs in the shard is known; nothing is then written for the shard.
	Refresh func() (map[lovagestand.PoolName]map[lovagestand.TeamName]Usage, bool)
}

// Deps are what a keeper reaches the outside with.
type Deps struct {
	Store lovagestand.Store
	// Tables returns the tables in force.
	Tables func() (table.Tables, bool)
	// Shards returns the shards owned here.
	Shards func() []Shard
	// Known returns all shards with workers of a pool.
	Known func(lovagestand.PoolName) []lovagestand.ShardName
	// Live returns how many instances are live.
	Live func() int
	// Seed makes the rounds of instances uneven, each in its own way.
	Seed uint64
	Log  zerolog.Logger
}

// Keeper keeps the quota shares of the shards that an instance owns. It is
// safe for concurrent use.
type Keeper struct {
	deps Deps
	// round lets one round run at a time.
	round  sync.Mutex
	random *rand.Rand

	mu     sync.Mutex
	seats  map[seatKey]*seat
	counts Counts
}

// seatKey names a shard's part in a book.
type seatKey struct {
	shard lovagestand.ShardName
	book  BookID
}

// seat is a holder and what its shard was last seen to take.
type seat struct {
	holder *Holder
	usage  map[lovagestand.TeamName]Usage
	// ready says that the usage is complete.
	ready bool
}

// Counts are how often the keeper called the store.
type Counts struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Conflicts uint64 `json:"conflicts"`
	Failures  uint64 `json:"failures"`
}

// New returns a keeper that grants nothing before [Keeper.Run].
func New(deps Deps) *Keeper {
	return &Keeper{deps: deps, seats: map[seatKey]*seat{}, random: rand.New(rand.NewPCG(deps.Seed, 0))}
}

// Run makes rounds until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.Round(ctx)
		timer := time.NewTimer(k.pause())
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// pause returns the time to the next round: longer the more instances and
// books there are, and a little uneven.
func (k *Keeper) pause() time.Duration {
	tables, _ := k.deps.Tables()
	writes := k.deps.Live() * len(books(tables))
	period := max(MinPeriod, time.Duration(writes)*time.Second/WriteBudget)
	return period*3/4 + time.Duration(k.random.Int64N(int64(period/2)))
}

// books returns the books of the pools that have quotas.
func books(tables table.Tables) []BookID {
	var ids []BookID
	for _, p := range tables.Pools() {
		limited := func(t table.Team) bool { return p.Quota(t) != nil }
		if !slices.ContainsFunc(p.Teams, limited) {
			continue
		}
		for group := range Groups {
			ids = append(ids, BookID{p.Name, group})
		}
	}
	return ids
}

// Policies returns policies with the quotas of the whole pool replaced by what
// each team may run in a shard. A team with a quota and no share runs nothing.
func (k *Keeper) Policies(shard lovagestand.ShardName, policies []lovagestand.Policy) []lovagestand.Policy {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := slices.Clone(policies)
	for i, p := range out {
		out[i].Teams = slices.Clone(p.Teams)
		for j, t := range p.Teams {
			if t.Quota != nil {
				out[i].Teams[j].Quota = k.limit(shard, p.Pool, t.Team)
			}
		}
	}
	return out
}

func (k *Keeper) limit(shard lovagestand.ShardName, pool lovagestand.PoolName, team lovagestand.TeamName) *lovagestand.Resources {
	limit := lovagestand.Resources{}
	if s := k.seats[seatKey{shard, BookID{pool, GroupOf(team)}}]; s != nil {
		limit = s.holder.limit(team)
	}
	return &limit
}

// Counts returns how often the store was called.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// refused reports whether a write surely took no effect and never will.
func refused(err error) bool {
	var conflict *lovagestand.ConflictError
	return errors.As(err, &conflict)
}
