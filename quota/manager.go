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
	// MinRoundInterval is the shortest time between two rounds.
	MinRoundInterval = time.Second
	// settlingInterval is the time between two rounds for each live instance while
	// shards join the books, settlingRounds how many such rounds there are.
	settlingInterval = 30 * time.Millisecond
	settlingRounds   = 20
	// wakeDelay is the shortest time to a round that was asked for.
	wakeDelay = 100 * time.Millisecond
	// MaxWritesPerSecond is how many writes a second all instances together may make
	// to the books.
	MaxWritesPerSecond = 60
	// RetireAfter is how long a shard has had no workers when its shares are
	// freed; it is longer than any lease of a task.
	RetireAfter = 10 * time.Minute
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
	// Epoch returns the epoch under which a shard is owned here now; false if
	// it is not.
	Epoch func(lovagestand.ShardName) (lovagestand.Epoch, bool)
	// Known returns all shards with workers of a pool.
	Known func(lovagestand.PoolName) []lovagestand.ShardName
	// Exists reports whether a shard has workers of any pool, or may have.
	Exists func(lovagestand.ShardName) bool
	// Live returns how many instances are live.
	Live func() int
	// Seed makes the rounds of instances uneven, each in its own way.
	Seed uint64
	Log  zerolog.Logger
}

// Manager keeps the quota shares of the shards that an instance owns. It is
// safe for concurrent use.
type Manager struct {
	deps Deps
	// roundMu lets one round run at a time.
	roundMu sync.Mutex
	random  *rand.Rand
	// wake asks for a round soon: a shard came that has no shares yet.
	wake chan struct{}

	mu      sync.Mutex
	holders map[holderKey]*managedHolder
	// tablesRevision is that of the tables in the last round.
	tablesRevision table.Revision
	counts         Counts
	// workerlessSince holds since when shards have had no workers.
	workerlessSince map[lovagestand.ShardName]time.Time
}

// holderKey names a shard's part in a book.
type holderKey struct {
	shard  lovagestand.ShardName
	ledger LedgerID
}

// managedHolder is a holder and what its shard was last seen to take.
type managedHolder struct {
	holder *Holder
	usage  map[lovagestand.TeamName]Usage
	// usageComplete says that the usage is complete.
	usageComplete bool
}

// Counts are how often the keeper called the store.
type Counts struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Conflicts uint64 `json:"conflicts"`
	Failures  uint64 `json:"failures"`
}

// New returns a keeper that grants nothing before [Keeper.Run].
func New(deps Deps) *Manager {
	return &Manager{deps: deps, holders: map[holderKey]*managedHolder{}, workerlessSince: map[lovagestand.ShardName]time.Time{}, wake: make(chan struct{}, 1), random: rand.New(rand.NewPCG(deps.Seed, 0))}
}

// Run makes rounds until ctx ends. While a shard or the tables are new here,
// rounds follow each other sooner: teams start nothing before all shards have
// joined the books.
func (k *Manager) Run(ctx context.Context) {
	settlingRoundsLeft := settlingRounds
	for ctx.Err() == nil {
		if k.Round(ctx) {
			settlingRoundsLeft = settlingRounds
		}
		delay := k.roundDelay()
		if settlingRoundsLeft > 0 && k.settling() {
			settlingRoundsLeft--
			delay = k.settlingDelay()
		}
		wait(ctx, wakeDelay, nil)
		wait(ctx, delay-wakeDelay, k.wake)
	}
}

// settling reports whether a shard owned here has yet to join a book, or has
// teams that start nothing until others have.
func (k *Manager) settling() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.holders {
		if s.usageComplete && !s.holder.Settled() {
			return true
		}
	}
	return false
}

// settlingDelay returns the time to the next round while shards join: longer
// the more instances there are, so that their writes seldom meet.
func (k *Manager) settlingDelay() time.Duration {
	mean := settlingInterval * time.Duration(max(k.deps.Live(), 1))
	return mean/2 + time.Duration(k.random.Int64N(int64(mean)))
}

// wait waits for a time, or until it is woken.
func wait(ctx context.Context, duration time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// roundDelay returns the time to the next round: longer the more instances and
// books there are, and a little uneven.
func (k *Manager) roundDelay() time.Duration {
	tables, _ := k.deps.Tables()
	writes := k.deps.Live() * len(ledgerIDs(tables))
	period := max(MinRoundInterval, time.Duration(writes)*time.Second/MaxWritesPerSecond)
	return period*3/4 + time.Duration(k.random.Int64N(int64(period/2)))
}

// ledgerIDs returns the books of the pools that have quotas.
func ledgerIDs(tables table.Tables) []LedgerID {
	var ids []LedgerID
	for _, p := range tables.Pools() {
		limited := func(t table.Team) bool { return p.Quota(t) != nil }
		if !slices.ContainsFunc(p.Teams, limited) {
			continue
		}
		for group := range LedgersPerPool {
			ids = append(ids, LedgerID{p.Name, group})
		}
	}
	return ids
}

// Policies returns policies with the quotas of the whole pool replaced by what
// each team may run in a shard. A team with a quota and no share runs nothing.
func (k *Manager) Policies(shard lovagestand.ShardName, policies []lovagestand.PoolPolicy) []lovagestand.PoolPolicy {
	epoch, owned := k.deps.Epoch(shard)
	k.mu.Lock()
	defer k.mu.Unlock()
	out := slices.Clone(policies)
	for i, p := range out {
		out[i].Teams = slices.Clone(p.Teams)
		for j, t := range p.Teams {
			if t.Quota != nil {
				out[i].Teams[j].Quota = k.limit(holderKey{shard, LedgerID{p.Pool, GroupOf(t.Team)}}, epoch, owned, t.Team)
			}
		}
	}
	return out
}

// limit returns what a team may run in a shard. Shares that were held under
// another epoch of the shard count for nothing.
func (k *Manager) limit(key holderKey, epoch lovagestand.Epoch, owned bool, team lovagestand.TeamName) *lovagestand.Resources {
	limit := lovagestand.Resources{}
	s := k.holders[key]
	switch {
	case !owned:
	case s != nil && s.holder.epoch == epoch:
		limit = s.holder.limit(team)
	case s == nil && !k.hasPoolWorkers(key.shard, key.ledger.Pool):
		// It has no workers of the pool, like a home of claims.
	default:
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
	return &limit
}

// Counts returns how often the store was called.
func (k *Manager) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// isConflict reports whether a write surely took no effect and never will.
func isConflict(err error) bool {
	var conflict *lovagestand.ConflictError
	return errors.As(err, &conflict)
}
