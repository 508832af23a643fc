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
	// MinRoundInterval is the lower bound of the mean interval between two
	// rounds.
	MinRoundInterval = time.Second
	// settlingInterval is the mean interval between two rounds, per live
	// instance, while shards join the ledgers. settlingRounds is the largest
	// number of such rounds after a change.
	settlingInterval = 30 * time.Millisecond
	settlingRounds   = 20
	// wakeDelay is the minimum delay between two rounds, even if a round was
	// requested.
	wakeDelay = 100 * time.Millisecond
	// MaxWritesPerSecond is the number of writes per second that all instances
	// together may make to the ledgers.
	MaxWritesPerSecond = 60
	// RetireAfter is how long a shard must have had no workers before its
	// shares are freed. It is longer than any lease of a task.
	RetireAfter = 10 * time.Minute
	// storeTimeout is the timeout of one store call.
	storeTimeout = 2 * time.Second
)

// Shard is a shard that this instance owns.
type Shard struct {
	Name  lovagestand.ShardName
	Epoch lovagestand.Epoch
	// Refresh puts the policies returned by [Manager.Policies] in force at the
	// shard's decider and returns the usage of the teams by pool. It does both
	// in one critical section, so that no task is started under older policies
	// in between. It returns false if the usage may be incomplete, because tasks
	// that the owner has not found yet may run in the shard. Nothing is then
	// written for the shard.
	Refresh func() (map[lovagestand.PoolName]map[lovagestand.TeamName]Usage, bool)
}

// Deps are the dependencies of a [Manager].
type Deps struct {
	Store lovagestand.Store
	// Tables returns the tables in force; false if there are none yet.
	Tables func() (table.Tables, bool)
	// Shards returns the shards that this instance owns.
	Shards func() []Shard
	// Epoch returns the epoch under which this instance owns a shard now; false
	// if it does not own the shard.
	Epoch func(lovagestand.ShardName) (lovagestand.Epoch, bool)
	// PoolShards returns all shards that have workers of a pool.
	PoolShards func(lovagestand.PoolName) []lovagestand.ShardName
	// HasWorkers reports whether a shard has, or may have, workers of any pool.
	HasWorkers func(lovagestand.ShardName) bool
	// CountLiveInstances returns the number of live instances.
	CountLiveInstances func() int
	// Seed is the seed of the random delays between rounds. It differs between
	// instances.
	Seed uint64
	Log  zerolog.Logger
}

// Manager maintains the quota shares of the shards that an instance owns. It is
// safe for concurrent use.
type Manager struct {
	deps Deps
	// roundMu ensures that only one round runs at a time.
	roundMu sync.Mutex
	random  *rand.Rand
	// wake requests an early round because an owned shard has no shares yet.
	wake chan struct{}

	mu      sync.Mutex
	holders map[holderKey]*managedHolder
	// tablesRevision is the revision of the tables in the last round.
	tablesRevision table.Revision
	counts         Counts
	// workerlessSince records for each shard without workers when it was first
	// seen so.
	workerlessSince map[lovagestand.ShardName]time.Time
}

// holderKey identifies a holder by its shard and ledger.
type holderKey struct {
	shard  lovagestand.ShardName
	ledger LedgerID
}

// managedHolder is a holder with the last reported usage of its shard.
type managedHolder struct {
	holder *Holder
	usage  map[lovagestand.TeamName]Usage
	// usageComplete indicates that the usage covers all tasks that may run in
	// the shard.
	usageComplete bool
}

// Counts are the numbers of store calls made by a [Manager].
type Counts struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Conflicts uint64 `json:"conflicts"`
	Failures  uint64 `json:"failures"`
}

// New returns a manager that grants nothing until it has run rounds, see
// [Manager.Run].
func New(deps Deps) *Manager {
	return &Manager{deps: deps, holders: map[holderKey]*managedHolder{}, workerlessSince: map[lovagestand.ShardName]time.Time{}, wake: make(chan struct{}, 1), random: rand.New(rand.NewPCG(deps.Seed, 0))}
}

// Run runs rounds until ctx is done. After a change of the shards or the
// tables, the intervals between rounds are shorter, because teams start no
// tasks until all shards have joined the ledgers.
func (m *Manager) Run(ctx context.Context) {
	settlingRoundsLeft := settlingRounds
	for ctx.Err() == nil {
		if m.Round(ctx) {
			settlingRoundsLeft = settlingRounds
		}
		delay := m.roundDelay()
		if settlingRoundsLeft > 0 && m.settling() {
			settlingRoundsLeft--
			delay = m.settlingDelay()
		}
		wait(ctx, wakeDelay, nil)
		wait(ctx, delay-wakeDelay, m.wake)
	}
}

// settling reports whether a shard that this instance owns has not joined a
// ledger yet, or has teams that start no tasks until other shards have joined.
func (m *Manager) settling() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.holders {
		if h.usageComplete && !h.holder.Settled() {
			return true
		}
	}
	return false
}

// settlingDelay returns the delay until the next round while shards join the
// ledgers. It grows with the number of instances, so that their writes seldom
// conflict.
func (m *Manager) settlingDelay() time.Duration {
	mean := settlingInterval * time.Duration(max(m.deps.CountLiveInstances(), 1))
	return mean/2 + time.Duration(m.random.Int64N(int64(mean)))
}

// wait waits for the duration, until ctx is done, or until wake receives a
// value.
func wait(ctx context.Context, duration time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// roundDelay returns the delay until the next round. It grows with the number
// of instances and ledgers and varies randomly by up to a quarter.
func (m *Manager) roundDelay() time.Duration {
	tables, _ := m.deps.Tables()
	writes := m.deps.CountLiveInstances() * len(ledgerIDs(tables))
	period := max(MinRoundInterval, time.Duration(writes)*time.Second/MaxWritesPerSecond)
	return period*3/4 + time.Duration(m.random.Int64N(int64(period/2)))
}

// ledgerIDs returns the ledgers of the pools in which any team has a quota.
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

// Policies returns a copy of policies in which the quota of each team for the
// whole pool is replaced by its limit in a shard. The limit of a team without a
// share is zero.
func (m *Manager) Policies(shard lovagestand.ShardName, policies []lovagestand.PoolPolicy) []lovagestand.PoolPolicy {
	epoch, owned := m.deps.Epoch(shard)
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.Clone(policies)
	for i, p := range out {
		out[i].Teams = slices.Clone(p.Teams)
		for j, t := range p.Teams {
			if t.Quota != nil {
				out[i].Teams[j].Quota = m.limit(holderKey{shard, LedgerID{p.Pool, GroupOf(t.Team)}}, epoch, owned, t.Team)
			}
		}
	}
	return out
}

// limit returns the resources that the tasks of a team may use in a shard.
// Shares that were held under another epoch of the shard are ignored.
func (m *Manager) limit(key holderKey, epoch lovagestand.Epoch, owned bool, team lovagestand.TeamName) *lovagestand.Resources {
	limit := lovagestand.Resources{}
	h := m.holders[key]
	switch {
	case !owned:
	case h != nil && h.holder.epoch == epoch:
		limit = h.holder.limit(team)
	case h == nil && !m.hasPoolWorkers(key.shard, key.ledger.Pool):
		// The shard has no workers of the pool, for example because it is a
		// claim partition.
	default:
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
	return &limit
}

// Counts returns the numbers of store calls made so far.
func (m *Manager) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// isConflict reports whether a write is guaranteed to have had no effect and to
// have none later.
func isConflict(err error) bool {
	var conflict *lovagestand.ConflictError
	return errors.As(err, &conflict)
}
