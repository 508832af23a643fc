package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/quota"
	"lovagestand.example/lovagestand/standin/kv"
	"lovagestand.example/lovagestand/table"
)

const (
	teamQuota = 40 // cores
	tick      = 100 * time.Millisecond
)

// task is a task that needs one or two cores.
type task struct {
	cores  int64
	endsAt time.Time
}

// rack is a shard whose workers always have room.
type rack struct {
	mu      sync.Mutex
	name    lovagestand.ShardName
	epoch   lovagestand.Epoch
	manager *quota.Manager
	policy  lovagestand.PoolPolicy
	limits  map[lovagestand.TeamName]lovagestand.Resources
	running map[lovagestand.TeamName][]task
	waiting map[lovagestand.TeamName][]task
}

// sumOf returns the resources of tasks, with 1024 MiB of memory per core.
func sumOf(tasks []task) lovagestand.Resources {
	var sum lovagestand.Resources
	for _, t := range tasks {
		sum = sum.Add(lovagestand.Resources{MilliCPU: 1000, MemoryMiB: 1024}.Times(t.cores))
	}
	return sum
}

// refresh implements [quota.Shard.Refresh].
func (r *rack) refresh() (map[lovagestand.PoolName]map[lovagestand.TeamName]quota.Usage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	usage := map[lovagestand.TeamName]quota.Usage{}
	for _, t := range r.manager.Policies(r.name, []lovagestand.PoolPolicy{r.policy})[0].Teams {
		r.limits[t.Team] = *t.Quota
		u := quota.Usage{Running: sumOf(r.running[t.Team])}
		for i := range r.waiting[t.Team] {
			u = u.WithWaiting(sumOf(r.waiting[t.Team][i : i+1]))
		}
		usage[t.Team] = u
	}
	return map[lovagestand.PoolName]map[lovagestand.TeamName]quota.Usage{"p": usage}, true
}

func (r *rack) add(team lovagestand.TeamName, task task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[team] = append(r.waiting[team], task)
}

// moveTo gives the rack to another owner, which starts no tasks at first.
func (r *rack) moveTo(manager *quota.Manager) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch++
	r.manager = manager
	clear(r.limits)
}

// advance ends the tasks that are due and starts those that fit.
func (r *rack) advance(team lovagestand.TeamName, random *rand.Rand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var stillRunning []task
	for _, task := range r.running[team] {
		if time.Now().Before(task.endsAt) {
			stillRunning = append(stillRunning, task)
		}
	}
	r.running[team] = stillRunning
	for len(r.waiting[team]) > 0 {
		next := 0
		if !r.fits(team, r.waiting[team][next]) {
			next = smallest(r.waiting[team])
		}
		task := r.waiting[team][next]
		if !r.fits(team, task) {
			return
		}
		task.endsAt = time.Now().Add(time.Duration(2+random.IntN(8)) * time.Second)
		r.running[team] = append(r.running[team], task)
		r.waiting[team] = slices.Delete(r.waiting[team], next, next+1)
	}
}

func (r *rack) fits(team lovagestand.TeamName, task task) bool {
	return sumOf(append(slices.Clone(r.running[team]), task)).Fits(r.limits[team])
}

func smallest(tasks []task) int {
	smallest := 0
	for i, t := range tasks {
		if t.cores < tasks[smallest].cores {
			smallest = i
		}
	}
	return smallest
}

// testPool is a pool of racks owned by instances, with several teams.
type testPool struct {
	store    *kv.Store
	racks    []*rack
	managers []*quota.Manager
	teams    []lovagestand.TeamName
	random   *rand.Rand
	tables   table.Tables
	shards   []lovagestand.ShardName
}

func newTestPool(t testing.TB, instances, racks, teams int) *testPool {
	f := &testPool{store: kv.New(), random: rand.New(rand.NewPCG(1, 2))}
	pool := table.Pool{Name: "p", Runner: "r", Regions: []lovagestand.RegionName{"a"}}
	for i := range teams {
		f.teams = append(f.teams, lovagestand.TeamName(fmt.Sprint("team-", i)))
		pool.Teams = append(pool.Teams, table.Team{Name: f.teams[i], Quota: &table.Amount{Processors: teamQuota * 1000, Memory: teamQuota * 1024}})
	}
	tables, err := table.New(0, nil, []table.Pool{pool})
	qt.Assert(t, err, qt.IsNil)
	f.tables = table.Record{}.With(tables, table.Change{}).Tables
	for i := range racks {
		f.shards = append(f.shards, lovagestand.ShardName(fmt.Sprintf("a/%03d", i)))
		f.racks = append(f.racks, &rack{
			name: f.shards[i], epoch: 1, policy: f.tables.Policy("p"), limits: map[lovagestand.TeamName]lovagestand.Resources{},
			running: map[lovagestand.TeamName][]task{}, waiting: map[lovagestand.TeamName][]task{},
		})
	}
	for i := range instances {
		f.managers = append(f.managers, f.newManager(i))
	}
	for i, r := range f.racks {
		r.manager = f.managers[i%instances]
	}
	return f
}

func (f *testPool) newManager(instance int) *quota.Manager {
	return quota.New(quota.Deps{
		Store:              f.store,
		Tables:             func() (table.Tables, bool) { return f.tables, true },
		PoolShards:         func(lovagestand.PoolName) []lovagestand.ShardName { return f.shards },
		Seed:               uint64(instance),
		Epoch:              func(name lovagestand.ShardName) (lovagestand.Epoch, bool) { return f.epochOf(instance, name) },
		HasWorkers:         func(name lovagestand.ShardName) bool { return slices.Contains(f.shards, name) },
		CountLiveInstances: func() int { return len(f.managers) },
		Shards: func() []quota.Shard {
			var shards []quota.Shard
			for _, r := range f.racks {
				r.mu.Lock()
				if r.manager == f.managers[instance] {
					shards = append(shards, quota.Shard{Name: r.name, Epoch: r.epoch, Refresh: r.refresh})
				}
				r.mu.Unlock()
			}
			return shards
		},
	})
}

// epochOf returns the epoch of a rack, and whether the instance owns the rack.
func (f *testPool) epochOf(instance int, name lovagestand.ShardName) (lovagestand.Epoch, bool) {
	r := f.racks[slices.Index(f.shards, name)]
	return r.epoch, r.manager == f.managers[instance]
}

// run simulates the pool for a duration at an offered load. The demand of each
// team arrives at a few racks of its own. It returns the fraction of the
// demanded quota that was idle, and fails if more runs than the quota allows.
func (f *testPool) run(t testing.TB, duration time.Duration, firstRack int, load float64) (idle float64) {
	var demanded, used int64
	const meanTask = 1.5 * 5.5 // core seconds
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(tick) {
		for n, name := range f.teams {
			arrivals := load * teamQuota / meanTask * tick.Seconds()
			for ; arrivals > f.random.Float64(); arrivals-- {
				r := f.racks[(firstRack+n+f.random.IntN(max(1, len(f.racks)/3)))%len(f.racks)]
				r.add(name, task{cores: 1 + f.random.Int64N(2)})
			}
			var running, waiting int64
			for _, r := range f.racks {
				r.advance(name, f.random)
				running += sumOf(r.running[name]).MilliCPU / 1000
				waiting += sumOf(r.waiting[name]).MilliCPU / 1000
			}
			qt.Assert(t, running <= teamQuota, qt.IsTrue, qt.Commentf("team %s runs %d cores", name, running))
			used += running
			demanded += min(teamQuota, running+waiting)
		}
	}
	return 1 - float64(used)/float64(demanded)
}

// TestQuotaFollowsShiftingDemand moves the demand of every team to other racks
// each minute. Store calls take 5 ms, and one write in twenty loses its reply.
func TestQuotaFollowsShiftingDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestPool(t, 9, 9, 12)
		ctx, cancel := context.WithCancel(t.Context())
		f.store.SetFaults(kv.Faults{Delay: 5 * time.Millisecond, LoseReplies: 0.05})
		for _, k := range f.managers {
			go k.Run(ctx)
		}
		f.run(t, 20*time.Second, 0, 1)
		before, total, minutes := f.store.Counts(), 0.0, 6
		for minute := range minutes {
			total += f.run(t, time.Minute, 3*minute, 1.2)
		}
		after, seconds := f.store.Counts(), float64(minutes)*60
		t.Logf("idle %.2f%%, reads %.1f/s, writes %.1f/s", 100*total/float64(minutes),
			float64(after.Get-before.Get)/seconds, float64(after.Put-before.Put)/seconds)
		qt.Assert(t, total/float64(minutes) < 0.05, qt.IsTrue)
		cancel()
		synctest.Wait()
	})
}

// TestQuotaHoldsThroughTakeoversAndStoreOutages moves racks to other owners
// while tasks run and the store is repeatedly down.
func TestQuotaHoldsThroughTakeoversAndStoreOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestPool(t, 4, 8, 4)
		ctx, cancel := context.WithCancel(t.Context())
		for _, k := range f.managers {
			go k.Run(ctx)
		}
		for i := range 20 {
			f.store.SetFaults(kv.Faults{Down: i%4 == 3, LoseReplies: 0.2, Delay: time.Duration(i%3) * 200 * time.Millisecond})
			f.run(t, 7*time.Second, i, 1.2)
			f.racks[f.random.IntN(len(f.racks))].moveTo(f.managers[f.random.IntN(len(f.managers))])
		}
		f.store.SetFaults(kv.Faults{})
		f.run(t, 20*time.Second, 0, 1.2)
		idle := f.run(t, 30*time.Second, 0, 1.2)
		qt.Assert(t, idle < 0.05, qt.IsTrue, qt.Commentf("%.3f", idle))
		cancel()
		synctest.Wait()
	})
}

// TestShareOfRackWithoutWorkersIsFreed removes a rack together with all its
// workers. Its share must go to the other rack after [quota.RetireAfter].
func TestShareOfRackWithoutWorkersIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestPool(t, 2, 2, 1)
		runRounds := func(duration time.Duration) int64 {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second) {
				for _, k := range f.managers {
					k.Round(t.Context())
				}
			}
			return f.racks[0].limits[f.teams[0]].MilliCPU / 1000
		}
		for _, r := range f.racks {
			for range 30 {
				r.add(f.teams[0], task{cores: 1})
			}
		}
		qt.Assert(t, runRounds(20*time.Second) < 30, qt.IsTrue)
		f.racks[1].moveTo(nil)
		f.shards = f.shards[:1]
		qt.Assert(t, runRounds(quota.RetireAfter-30*time.Second) < 30, qt.IsTrue)
		qt.Assert(t, runRounds(time.Minute) >= 30, qt.IsTrue)
	})
}

// TestSharesOfFormerEpochAreIgnored guards against limits that outlive an
// epoch: an owner loses a rack and owns it again under a later epoch before its
// next round.
func TestSharesOfFormerEpochAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestPool(t, 1, 1, 1)
		r, name := f.racks[0], f.teams[0]
		for range 3 {
			f.managers[0].Round(t.Context())
		}
		qt.Assert(t, r.limits[name].IsZero(), qt.IsFalse)
		r.moveTo(f.managers[0])
		r.refresh()
		qt.Assert(t, r.limits[name].IsZero(), qt.IsTrue)
		for range 3 {
			f.managers[0].Round(t.Context())
		}
		qt.Assert(t, r.limits[name].IsZero(), qt.IsFalse)
	})
}

// TestShardsWithoutWorkersRequestNoRounds queries the policies of a claim
// partition, which has no workers, and those of a shard with workers.
func TestShardsWithoutWorkersRequestNoRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		limited := table.Pool{Name: "p", Runner: "r", Regions: []lovagestand.RegionName{"r"}, Teams: []table.Team{{Name: "a", Quota: &table.Amount{Processors: 1000}}}}
		tables, err := table.New(1, nil, []table.Pool{limited})
		c.Assert(err, qt.IsNil)
		k := quota.New(quota.Deps{
			Store:              kv.New(),
			Tables:             func() (table.Tables, bool) { return tables, true },
			Shards:             func() []quota.Shard { return nil },
			PoolShards:         func(lovagestand.PoolName) []lovagestand.ShardName { return []lovagestand.ShardName{"r/one"} },
			HasWorkers:         func(lovagestand.ShardName) bool { return true },
			Epoch:              func(lovagestand.ShardName) (lovagestand.Epoch, bool) { return 1, true },
			CountLiveInstances: func() int { return 1 },
		})
		policies := []lovagestand.PoolPolicy{tables.Policy("p")}
		for range 2 {
			k.Policies("claims/1", policies)
			c.Assert(k.RoundRequested(), qt.IsFalse)
		}
		k.Policies("r/one", policies)
		c.Assert(k.RoundRequested(), qt.IsTrue)
	})
}
