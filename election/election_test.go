package election_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/jobstore"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// cell records which candidate has won which epoch of the shard, and which one won
// last.
type cell struct {
	mu      sync.Mutex
	owners  map[lovagestand.Epoch]lovagestand.InstanceID
	current lovagestand.InstanceID
}

func (k *cell) owner() (lovagestand.InstanceID, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current, len(k.owners)
}

// startCandidate starts an instance with a candidate for the shard that reaches
// the store through keys. The returned function stops it as planned.
func (k *cell) startCandidate(keys lovagestand.Keyspace, name string) func() {
	return k.startCandidateWith(keys, name, 1)
}

func (k *cell) startCandidateWith(keys lovagestand.Keyspace, name string, processors float64) func() {
	self := lovagestand.Instance{ID: lovagestand.InstanceID(name), Address: name, Processors: processors}
	ctx, cancel := context.WithCancel(context.Background())
	directory := election.NewDirectory(keys, zerolog.Nop())
	var running sync.WaitGroup
	running.Go(func() { directory.Run(ctx) })
	running.Go(func() { election.Register(ctx, keys, directory, self, zerolog.Nop()) })
	candidate := &election.Candidate{
		Shard: "0", Self: self, Keys: keys, Directory: directory, Log: zerolog.Nop(),
		Serve: func(ctx context.Context, term jobstore.Term, _ func() bool) {
			k.mu.Lock()
			k.owners[term.Epoch] = self.ID
			k.current = self.ID
			k.mu.Unlock()
			<-ctx.Done()
		},
	}
	running.Go(func() { candidate.Run(ctx) })
	return func() { cancel(); running.Wait() }
}

// storeLink is one instance's connection to the store, which can be cut.
type storeLink struct {
	lovagestand.Keyspace
	cut func() bool
}

func (l storeLink) unavailable(ctx context.Context) error {
	<-ctx.Done()
	return &lovagestand.UnavailableError{System: "store"}
}

func (l storeLink) Commit(ctx context.Context, t lovagestand.Transaction) (lovagestand.Revision, error) {
	if l.cut() {
		return 0, l.unavailable(ctx)
	}
	return l.Keyspace.Commit(ctx, t)
}

func (l storeLink) Renew(ctx context.Context, id lovagestand.LeaseID) error {
	if l.cut() {
		return l.unavailable(ctx)
	}
	return l.Keyspace.Renew(ctx, id)
}

func newCell() *cell {
	return &cell{owners: map[lovagestand.Epoch]lovagestand.InstanceID{}}
}

func TestOneOwnerAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys, k := keyspace.New(), newCell()
		var stops []func()
		for i := range 5 {
			stops = append(stops, k.startCandidate(keys, fmt.Sprint("i", i)))
		}
		time.Sleep(5 * time.Second)
		_, terms := k.owner()
		c.Assert(terms, qt.Equals, 1)
		for _, stop := range stops {
			stop()
		}
	})
}

// contender describes an instance that contends for all shards of a cell.
type contender struct {
	self lovagestand.Instance
	// latency is how long the store takes to answer the instance.
	latency time.Duration
}

// contend has instances contend for the shards of a cell until the returned function
// is called. It calls began for each term.
func contend(keys *keyspace.Store, shards int, contenders []contender, began func()) (*election.Directory, func()) {
	keys.Put(election.LayoutKey, fmt.Appendf(nil, `{"shards":%d}`, shards))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var watcher *election.Directory
	for _, i := range contenders {
		directory := election.NewDirectory(keys, zerolog.Nop())
		watcher = directory
		running.Go(func() { directory.Run(ctx) })
		running.Go(func() { election.Register(ctx, keys, directory, i.self, zerolog.Nop()) })
		for shard := range shards {
			candidate := &election.Candidate{
				Shard: fmt.Sprint(shard), Self: i.self, Keys: slowReads{keys, i.latency}, Directory: directory, Log: zerolog.Nop(),
				Serve: func(ctx context.Context, _ jobstore.Term, _ func() bool) {
					began()
					<-ctx.Done()
				},
			}
			running.Go(func() { candidate.Run(ctx) })
		}
	}
	return watcher, func() {
		cancel()
		running.Wait()
	}
}

func TestShardsSpreadOverInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const shards = 4
		contenders := make([]contender, 12)
		for i := range contenders {
			contenders[i].self = lovagestand.Instance{ID: lovagestand.InstanceID(fmt.Sprint("i", i)), Processors: 0.4}
		}
		watcher, stop := contend(keyspace.New(), shards, contenders, func() {})
		defer stop()
		time.Sleep(10 * time.Second)
		c.Assert(watcher.Owners(), qt.HasLen, shards)
		for id, n := range watcher.ShardsPerInstance("") {
			c.Assert(n <= 2, qt.IsTrue, qt.Commentf("%s owns %d shards", id, n))
		}
	})
}

// TestShardsSettleOnStrongInstances has a few strong instances, far from the store,
// among many weak ones that are near it. A weak instance that wins a shard yields it, so
// the next one must not be weak again: ownership has to settle.
func TestShardsSettleOnStrongInstances(t *testing.T) {
	for _, cell := range []string{"b", "d"} {
		t.Run(cell, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				const shards, strong = 2, 2
				contenders := make([]contender, 12)
				for i := range contenders {
					contenders[i].self = lovagestand.Instance{ID: lovagestand.InstanceID(fmt.Sprint(cell, i)), Processors: 0.19}
					if i < strong {
						contenders[i].self.Processors = 0.8
						contenders[i].latency = 50 * time.Millisecond
					}
				}
				var terms atomic.Int64
				watcher, stop := contend(keyspace.New(), shards, contenders, func() { terms.Add(1) })
				defer stop()
				time.Sleep(6 * time.Second)
				settled := terms.Load()
				time.Sleep(10 * time.Second)
				c.Assert(terms.Load(), qt.Equals, settled, qt.Commentf("ownership still moves"))
				for id := range watcher.ShardsPerInstance("") {
					c.Assert(slices.ContainsFunc(contenders[:strong], func(i contender) bool { return i.self.ID == id }), qt.IsTrue, qt.Commentf("%s is weak", id))
				}
			})
		})
	}
}

func TestPlannedStopHandsOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys, k := keyspace.New(), newCell()
		stopFirst := k.startCandidate(keys, "a")
		time.Sleep(time.Second)
		stopSecond := k.startCandidate(keys, "b")
		defer stopSecond()
		time.Sleep(time.Second)
		stopFirst()
		time.Sleep(time.Second)
		owner, terms := k.owner()
		c.Assert(owner, qt.Equals, lovagestand.InstanceID("b"))
		c.Assert(terms, qt.Equals, 2)
	})
}

func TestOwnerCutFromTheStoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys, k := keyspace.New(), newCell()
		var mu sync.Mutex
		cut := false
		stopFirst := k.startCandidate(storeLink{Keyspace: keys, cut: func() bool { mu.Lock(); defer mu.Unlock(); return cut }}, "a")
		defer stopFirst()
		time.Sleep(time.Second)
		stopSecond := k.startCandidate(keys, "b")
		defer stopSecond()
		time.Sleep(time.Second)
		mu.Lock()
		cut = true
		mu.Unlock()
		time.Sleep(3 * time.Second)
		owner, _ := k.owner()
		c.Assert(owner, qt.Equals, lovagestand.InstanceID("b"))
	})
}

func TestWeakOwnerYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys, k := keyspace.New(), newCell()
		stopWeak := k.startCandidateWith(keys, "weak", 0.2)
		defer stopWeak()
		time.Sleep(time.Second)
		stopStrong := k.startCandidateWith(keys, "strong", 0.8)
		defer stopStrong()
		time.Sleep(4 * time.Second)
		owner, terms := k.owner()
		c.Assert(owner, qt.Equals, lovagestand.InstanceID("strong"))
		c.Assert(terms, qt.Equals, 2, qt.Commentf("the instance with more processors must keep the shard"))
	})
}

func TestDeposedOwnerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys, k := keyspace.New(), newCell()
		keys.Put(election.OwnerKey("0"), []byte(`{"id":"dead","address":"x"}`))
		stop := k.startCandidate(keys, "a")
		defer stop()
		time.Sleep(3 * time.Second)
		_, terms := k.owner()
		c.Assert(terms, qt.Equals, 0, qt.Commentf("an owner without a lease must not be replaced before it is deposed"))
		item, err := keys.Item(t.Context(), election.OwnerKey("0"))
		c.Assert(err, qt.IsNil)
		candidate := &election.Candidate{Shard: "0", Keys: keys, Directory: election.NewDirectory(keys, zerolog.Nop()), Log: zerolog.Nop()}
		candidate.Depose(lovagestand.Epoch(item.Revision))
		time.Sleep(time.Second)
		owner, _ := k.owner()
		c.Assert(owner, qt.Equals, lovagestand.InstanceID("a"))
	})
}

func TestRemovedOwnershipIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys, k := keyspace.New(), newCell()
		stop := k.startCandidate(keys, "a")
		defer stop()
		time.Sleep(time.Second)
		keys.Remove(election.OwnerKey("0"))
		time.Sleep(2 * time.Second)
		_, terms := k.owner()
		c.Assert(terms, qt.Equals, 2, qt.Commentf("a new term must begin with a new epoch"))
	})
}

func TestWinIsDetectedWhenItsReplyIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys, k := keyspace.New(), newCell()
		commits := 0
		keys.SetFault(func(call string) keyspace.Fault {
			if call != "commit" || commits >= 2 {
				return keyspace.FaultNone
			}
			// The replies to the first two commits are lost: that of the
			// registration and that of the win.
			commits++
			return keyspace.FaultLostReply
		})
		stop := k.startCandidate(keys, "a")
		defer stop()
		time.Sleep(3 * time.Second)
		_, terms := k.owner()
		c.Assert(terms, qt.Equals, 1)
	})
}

// TestRefreshesAreRateLimited requests refreshes as they occur during a takeover,
// when each call of each caller finds no owner and requests one.
func TestRefreshesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys := keyspace.New()
		d := election.NewDirectory(keys, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { d.Run(ctx) })
		time.Sleep(time.Second)
		before := keys.Calls("range")
		for range 100 {
			d.Refresh()
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(keys.Calls("range")-before <= 10, qt.IsTrue, qt.Commentf("%d reads", keys.Calls("range")-before))
		c.Assert(keys.Calls("range") > before, qt.IsTrue)
		cancel()
		running.Wait()
	})
}

func TestDirectoryIsReadAgainAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys := keyspace.New()
		d := election.NewDirectory(keys, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { d.Run(ctx) })
		time.Sleep(time.Second)
		keys.Put(election.MemberKey("a"), []byte(`{"id":"a","address":"x"}`))
		keys.Compact()
		time.Sleep(3 * time.Second)
		c.Assert(d.HasMember("a"), qt.IsTrue)
		keys.Remove(election.MemberKey("a"))
		time.Sleep(time.Second)
		c.Assert(d.HasMember("a"), qt.IsFalse)
		cancel()
		running.Wait()
	})
}
