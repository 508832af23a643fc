package shares_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/quota"
	"lovagestand.example/lovagestand/shares"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// task is what each task needs.
var task = lovagestand.Resources{MilliCPU: 1000, MemoryMiB: 100}

// countedStore is the store stand-in with a delay, which counts its calls.
type countedStore struct {
	lovagestand.Keyspace
	delay *atomic.Int64
	calls atomic.Int64
}

func (s *countedStore) Item(ctx context.Context, key string) (lovagestand.Item, error) {
	s.calls.Add(1)
	time.Sleep(time.Duration(s.delay.Load()))
	return s.Keyspace.Item(ctx, key)
}

func (s *countedStore) Commit(ctx context.Context, t lovagestand.Transaction) (lovagestand.Revision, error) {
	s.calls.Add(1)
	time.Sleep(time.Duration(s.delay.Load()))
	return s.Keyspace.Commit(ctx, t)
}

// cell is a cell of several shards whose tasks are only counted.
type cell struct {
	mu     sync.Mutex
	random *rand.Rand
	keys   *keyspace.Store
	store  *countedStore
	delay  atomic.Int64
	// versions are the caps of each version of the configuration.
	versions []map[lovagestand.TeamName]int64
	shards   []*shardState
	names    []lovagestand.ShardName
	epoch    lovagestand.Epoch
	// running is the number of tasks of each team in all shards.
	running    map[lovagestand.TeamName]int64
	violations []string
	longest    time.Duration
	// cancels end the rounds of all owners.
	cancels []context.CancelFunc
}

// shardState is a shard with its workers, which outlive its owners.
type shardState struct {
	name    lovagestand.ShardName
	running map[lovagestand.TeamName]int64
	waiting map[lovagestand.TeamName]int64
	// heldSince is since when tasks wait although their team is under its cap.
	heldSince map[lovagestand.TeamName]time.Time
	owner     *owner
}

// owner owns a shard for one term.
type owner struct {
	cell  *cell
	shard *shardState
	grant shares.Grant
	// version is the version of the configuration in force at the owner.
	version int
	// unknown is the number of tasks of former owners that the owner has not seen; they
	// are charged in full.
	unknown map[lovagestand.TeamName]int64
	// gone indicates that the owner was replaced. It starts nothing any more.
	gone   bool
	cancel context.CancelFunc
}

func newCell(seed uint64, shards int, caps map[lovagestand.TeamName]int64) *cell {
	k := &cell{random: rand.New(rand.NewPCG(seed, 5)), keys: keyspace.New(), running: map[lovagestand.TeamName]int64{}, versions: []map[lovagestand.TeamName]int64{caps}}
	k.store = &countedStore{Keyspace: k.keys, delay: &k.delay}
	k.delay.Store(int64(5 * time.Millisecond))
	for i := range shards {
		s := &shardState{name: lovagestand.ShardName(fmt.Sprint(i)), running: map[lovagestand.TeamName]int64{}, waiting: map[lovagestand.TeamName]int64{}, heldSince: map[lovagestand.TeamName]time.Time{}}
		k.shards, k.names = append(k.shards, s), append(k.names, s.name)
	}
	return k
}

// begin begins a term of a shard.
func (k *cell) begin(s *shardState) {
	k.mu.Lock()
	k.epoch++
	version := 0
	if s.owner != nil {
		s.owner.gone = true
		version = s.owner.version
		if k.random.IntN(2) == 0 {
			// A former owner that is cut off continues its rounds.
			s.owner.cancel()
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &owner{cell: k, shard: s, version: version, cancel: cancel, unknown: map[lovagestand.TeamName]int64{}}
	for team, n := range s.running {
		o.unknown[team] = k.random.Int64N(n + 1)
	}
	s.owner, k.cancels = o, append(k.cancels, cancel)
	epoch := k.epoch
	k.mu.Unlock()
	go shares.New(shares.Deps{
		Store: platform.NewKeyspaceStore(k.store), Caps: o.caps, Shards: k.names, Shard: o, Name: s.name, Epoch: epoch, Log: zerolog.Nop(),
	}).Run(ctx)
	time.AfterFunc(2*time.Second, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		clear(o.unknown)
	})
}

// caps implements [shares.Deps.Caps].
func (o *owner) caps() (shares.Caps, bool) {
	o.cell.mu.Lock()
	defer o.cell.mu.Unlock()
	caps := shares.Caps{Version: int64(o.version), Enabled: true, ByTeam: map[lovagestand.TeamName]lovagestand.Resources{}}
	for team, n := range o.cell.versions[o.version] {
		caps.ByTeam[team] = task.Times(n)
	}
	return caps, true
}

// SetShares implements [shares.Shard].
func (o *owner) SetShares(grant shares.Grant) shares.Report {
	o.cell.mu.Lock()
	defer o.cell.mu.Unlock()
	o.grant = grant
	report := shares.Report{Usage: map[lovagestand.TeamName]quota.Usage{}, Unknown: map[lovagestand.TeamName]lovagestand.Resources{}}
	for _, team := range []lovagestand.TeamName{"p", "q"} {
		u := quota.Usage{Running: task.Times(max(0, o.shard.running[team]-o.unknown[team])), Waiting: task.Times(o.shard.waiting[team])}
		if o.shard.waiting[team] > 0 {
			u.Next = task
		}
		report.Usage[team] = u
		report.Unknown[team] = task.Times(o.unknown[team])
	}
	return report
}

// start starts the tasks that an owner may start within the limits in force.
func (o *owner) start(team lovagestand.TeamName, now time.Time) {
	k, s := o.cell, o.shard
	for s.waiting[team] > 0 && !o.gone {
		limited, capped := k.versions[o.version][team]
		if capped {
			// Runs that the owner has not seen are charged in full, beside those that
			// have ended since.
			charged := max(s.running[team], o.unknown[team])
			after := task.Times(charged + 1)
			if !after.Fits(o.grant.Limit(team, task.Times(limited), int64(o.version))) {
				break
			}
		}
		s.waiting[team]--
		s.running[team]++
		k.running[team]++
		k.check(team, now)
		time.AfterFunc(time.Duration(200+k.random.IntN(1500))*time.Millisecond, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			s.running[team]--
			k.running[team]--
		})
		delete(s.heldSince, team)
	}
	k.recordWait(s, team, now)
}

// check records a violation if a team runs more than the highest cap that may be in force.
func (k *cell) check(team lovagestand.TeamName, now time.Time) {
	oldest := len(k.versions) - 1
	for _, s := range k.shards {
		oldest = min(oldest, s.owner.version)
	}
	highest := int64(0)
	for _, caps := range k.versions[oldest:] {
		limit, capped := caps[team]
		if !capped {
			return
		}
		highest = max(highest, limit)
	}
	if k.running[team] > highest {
		k.violations = append(k.violations, fmt.Sprintf("%v: team %s runs %d of %d", now.Format("05.000"), team, k.running[team], highest))
	}
}

// recordWait records how long tasks have waited while their team requests no more than
// its cap in all shards together.
func (k *cell) recordWait(s *shardState, team lovagestand.TeamName, now time.Time) {
	demand := k.running[team]
	for _, o := range k.shards {
		demand += o.waiting[team]
	}
	if s.waiting[team] == 0 || demand > k.versions[len(k.versions)-1][team] {
		delete(s.heldSince, team)
		return
	}
	if s.heldSince[team].IsZero() {
		s.heldSince[team] = now
	}
	k.longest = max(k.longest, now.Sub(s.heldSince[team]))
}

// tick lets all owners start tasks.
func (k *cell) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.shards {
		for _, team := range []lovagestand.TeamName{"p", "q"} {
			s.owner.start(team, time.Now())
		}
	}
}

// stop ends all rounds.
func (k *cell) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, cancel := range k.cancels {
		cancel()
	}
}

const tickInterval = 20 * time.Millisecond

// TestTeamUnderItsCapWaitsAtMostThreeSeconds guards against a share that arrives late:
// the demand of two teams moves between the shards, within their caps, and each of its
// tasks must start within 3 s. It also bounds the calls to the store, whatever the number
// of tasks.
func TestTeamUnderItsCapWaitsAtMostThreeSeconds(t *testing.T) {
	for _, shards := range []int{2, 4, 8, 32} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d shards, seed %d", shards, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					k := newCell(seed, shards, map[lovagestand.TeamName]int64{"p": 20, "q": 200})
					for _, s := range k.shards {
						k.begin(s)
					}
					time.Sleep(10 * time.Second)
					begun, calls := time.Now(), k.store.calls.Load()
					for i := range 3000 {
						k.mu.Lock()
						if i%150 == 0 {
							s := k.shards[k.random.IntN(shards)]
							s.waiting["p"] += max(0, 20-k.running["p"])
							s.waiting["q"] += max(0, 150-k.running["q"])
						}
						k.mu.Unlock()
						k.tick()
						time.Sleep(tickInterval)
					}
					perSecond := float64(k.store.calls.Load()-calls) / time.Since(begun).Seconds()
					k.stop()
					time.Sleep(5 * time.Second)
					c.Logf("longest wait %v, %.1f calls a second", k.longest, perSecond)
					c.Assert(k.violations, qt.HasLen, 0)
					c.Assert(k.longest <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", k.longest))
					// A shard makes at most 2 calls in each round, 2.9 times a second, and
					// repeats a round at most twice.
					c.Assert(perSecond <= float64(shards)*2*2.9*3, qt.IsTrue, qt.Commentf("%.1f", perSecond))
				})
			})
		}
	}
}

// TestNoLedgerWithoutTeams guards against calls to the store in a deployment without
// teams.
func TestNoLedgerWithoutTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(1, 2, nil)
		ctx, cancel := context.WithCancel(context.Background())
		o := &owner{cell: k, shard: k.shards[0]}
		go shares.New(shares.Deps{
			Store: platform.NewKeyspaceStore(k.store), Shards: k.names, Shard: o, Name: "0", Epoch: 1, Log: zerolog.Nop(),
			Caps: func() (shares.Caps, bool) { return shares.Caps{Version: 3}, true },
		}).Run(ctx)
		time.Sleep(time.Minute)
		cancel()
		time.Sleep(time.Second)
		c.Assert(k.store.calls.Load(), qt.Equals, int64(0))
	})
}

// TestExplorationOfShares runs random scenarios, one for each seed: a store that is slow,
// absent, loses replies and applies commits late; owners that are replaced at any time,
// with former owners that continue their rounds; caps that are raised, lowered, removed
// and set again, in force at each shard at another time. No start may bring a team above
// the highest cap that may be in force.
func TestExplorationOfShares(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { exploreShares(t, seed) })
		})
	}
}

func exploreShares(t *testing.T, seed uint64) {
	c := qt.New(t)
	k := newCell(seed, 2+int(seed%3), map[lovagestand.TeamName]int64{"p": 7, "q": 15})
	for _, s := range k.shards {
		k.begin(s)
	}
	var faults atomic.Int64
	k.keys.SetFault(func(string) keyspace.Fault {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.random.Int64N(100) >= faults.Load() {
			return keyspace.FaultNone
		}
		return keyspace.Fault(k.random.IntN(5))
	})
	started := int64(0)
	for range 2000 {
		k.mu.Lock()
		for _, s := range k.shards {
			if k.random.IntN(12) == 0 {
				s.waiting["p"] = min(20, s.waiting["p"]+k.random.Int64N(6))
				s.waiting["q"] = min(20, s.waiting["q"]+k.random.Int64N(6))
			}
			if s.owner.version < len(k.versions)-1 && k.random.IntN(25) == 0 {
				s.owner.version += 1 + k.random.IntN(len(k.versions)-1-s.owner.version)
			}
		}
		started = max(started, k.running["p"])
		event, shard := k.random.IntN(1200), k.shards[k.random.IntN(len(k.shards))]
		k.mu.Unlock()
		switch {
		case event < 8:
			k.begin(shard)
		case event < 12:
			k.mu.Lock()
			caps := map[lovagestand.TeamName]int64{"p": 1 + k.random.Int64N(12), "q": 1 + k.random.Int64N(20)}
			if k.random.IntN(4) == 0 {
				delete(caps, "p")
			}
			k.versions = append(k.versions, caps)
			k.mu.Unlock()
		case event < 18:
			faults.Store([]int64{0, 15, 60, 100}[event%4])
		case event < 24:
			k.keys.ApplyLate()
		case event < 30:
			k.delay.Store(int64([]time.Duration{5, 50, 400, 1200}[event%4] * time.Millisecond))
		}
		k.tick()
		time.Sleep(tickInterval)
	}
	k.keys.SetFault(nil)
	k.keys.ApplyLate()
	k.delay.Store(int64(5 * time.Millisecond))
	time.Sleep(5 * time.Second)
	k.mu.Lock()
	for _, s := range k.shards {
		s.owner.version = len(k.versions) - 1
		s.waiting["q"] = 1
	}
	k.mu.Unlock()
	for range 400 {
		k.tick()
		time.Sleep(tickInterval)
	}
	k.stop()
	time.Sleep(5 * time.Second)
	c.Check(k.violations, qt.HasLen, 0)
	c.Check(started > 0, qt.IsTrue)
	for _, s := range k.shards {
		c.Check(s.waiting["q"], qt.Equals, int64(0), qt.Commentf("tasks start again in shard %s", s.name))
	}
}
