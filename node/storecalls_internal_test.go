package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/jobstore"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// cellUnderTest is a cell of instances of which the owner writes all the time. Their
// connections to the store are separate.
type cellUnderTest struct {
	keys       []*keyspace.Client
	candidates []*election.Candidate

	mu sync.Mutex
	// owners holds the owner of each term, written the time of the last write.
	owners  []int
	written time.Time
	running sync.WaitGroup
}

// startCell starts a cell of three instances with an outage of the store. Leases last for
// at least minTTL.
func startCell(ctx context.Context, store *keyspace.Store, kind keyspace.OutageKind, from, to time.Time, minTTL time.Duration) *cellUnderTest {
	cell := &cellUnderTest{}
	for i := range 3 {
		client := keyspace.NewClient(store, kind, from, to)
		client.MinTTL = minTTL
		calls := newStoreCalls(client, zerolog.Nop())
		directory := election.NewDirectory(calls, zerolog.Nop())
		candidate := &election.Candidate{
			Shard: "0", Self: lovagestand.Instance{ID: lovagestand.InstanceID(fmt.Sprint(i)), Processors: 1}, Keys: calls, Directory: directory,
			Log: zerolog.Nop(), RecentOutage: calls.recentOutage,
			AskOwnershipEnded: func(_ context.Context, m lovagestand.Instance, epoch lovagestand.Epoch) (bool, error) {
				return cell.candidates[int(m.ID[0]-'0')].OwnershipEnded(epoch), nil
			},
			Serve: func(ctx context.Context, term jobstore.Term, _ func() bool) { cell.write(ctx, i, calls, term) },
		}
		cell.keys, cell.candidates = append(cell.keys, client), append(cell.candidates, candidate)
		for _, run := range []func(context.Context){calls.run, directory.Run, func(ctx context.Context) {
			election.Register(ctx, calls, directory, candidate.Self, zerolog.Nop())
		}} {
			cell.running.Go(func() { run(ctx) })
		}
	}
	for _, candidate := range cell.candidates {
		cell.running.Go(func() { candidate.Run(ctx) })
	}
	return cell
}

// write writes as the owner until the term ends.
func (k *cellUnderTest) write(ctx context.Context, instance int, calls *storeCalls, term jobstore.Term) {
	k.mu.Lock()
	k.owners = append(k.owners, instance)
	k.mu.Unlock()
	store := jobstore.New(calls, term, jobstore.WithWriteFailureHandler(func() {
		for i, other := range k.candidates {
			if i != instance {
				go other.DeposeIfStoreAnswers(ctx, term.Epoch)
			}
		}
	}))
	defer calls.onServed(store.StoreAnswered)()
	for store.Write(ctx, []jobstore.Entry{{ID: "x", Value: []byte("1")}}) == nil {
		k.mu.Lock()
		k.written = time.Now()
		k.mu.Unlock()
		pause.For(ctx, 25*time.Millisecond)
	}
}

// state returns the owners of all terms so far and the time of the last write.
func (k *cellUnderTest) state() ([]int, time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]int(nil), k.owners...), k.written
}

// TestOutageOfAllInstances guards against an owner that is replaced because of an outage
// that affects all instances, and against one that accepts jobs only long after it.
func TestOutageOfAllInstances(t *testing.T) {
	for _, kind := range []keyspace.OutageKind{keyspace.OutageSilent, keyspace.OutageRejecting, keyspace.OutageResetting} {
		for phase := range time.Duration(14) {
			// In the later phases the leases expire during the outage, so that there is a next
			// owner, who writes as soon.
			minTTL, terms := time.Hour, 1
			if phase >= 10 {
				minTTL, terms = 0, 2
			}
			t.Run(fmt.Sprintf("%s/%d", kind, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					ctx, cancel := context.WithCancel(t.Context())
					from := time.Now().Add(15*time.Second + phase*37*time.Millisecond)
					to := from.Add(4200*time.Millisecond + phase*31*time.Millisecond)
					cell := startCell(ctx, keyspace.New(), kind, from, to, minTTL)
					time.Sleep(time.Until(to.Add(500 * time.Millisecond)))
					_, written := cell.state()
					c.Check(written.After(to), qt.IsTrue, qt.Commentf("no write within 0.5 s"))
					time.Sleep(2 * time.Second)
					owners, _ := cell.state()
					c.Check(owners, qt.HasLen, terms)
					cancel()
					cell.running.Wait()
				})
			})
		}
	}
}

// TestOwnerThatStoreRejectsIsReplaced has the store fail for the owner alone.
func TestOwnerThatStoreRejectsIsReplaced(t *testing.T) {
	for _, kind := range []keyspace.OutageKind{keyspace.OutageSilent, keyspace.OutageRejecting} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				never := time.Now().Add(time.Hour)
				cell := startCell(ctx, keyspace.New(), kind, never, never, time.Hour)
				time.Sleep(15 * time.Second)
				owners, _ := cell.state()
				failing := cell.keys[owners[0]]
				failing.SetOutage(time.Now(), never)
				failed := time.Now()
				time.Sleep(1500 * time.Millisecond)
				owners, written := cell.state()
				c.Check(owners, qt.HasLen, 2)
				c.Check(written.Sub(failed) > time.Second, qt.IsTrue)
				cancel()
				cell.running.Wait()
			})
		})
	}
}

// TestWatchAfterAnOutage guards against instances that learn of changes only when watches
// on connections of the outage time out.
func TestWatchAfterAnOutage(t *testing.T) {
	for phase := range time.Duration(6) {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				store, from := keyspace.New(), time.Now().Add(5*time.Second+phase*333*time.Millisecond)
				calls := newStoreCalls(keyspace.NewClient(store, keyspace.OutageSilent, from, from.Add(4200*time.Millisecond)), zerolog.Nop())
				directory := election.NewDirectory(calls, zerolog.Nop())
				var running sync.WaitGroup
				for _, run := range []func(context.Context){calls.run, directory.Run} {
					running.Go(func() { run(ctx) })
				}
				time.Sleep(time.Until(from.Add(2 * time.Second)))
				store.Put(election.OwnerKey("0"), []byte(`{"id":"a"}`))
				time.Sleep(2700 * time.Millisecond)
				_, owned := directory.Owner("0")
				c.Check(owned, qt.IsTrue, qt.Commentf("not seen within 0.5 s"))
				cancel()
				running.Wait()
			})
		})
	}
}

// TestSlowStoreIsNotProbed guards against more load on a store that is only slow.
func TestSlowStoreIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		slow := &slowStore{Store: keyspace.New()}
		calls := newStoreCalls(slow, zerolog.Nop())
		var running sync.WaitGroup
		running.Go(func() { calls.run(ctx) })
		for range 10 {
			_, err := calls.Item(ctx, "a")
			c.Assert(err, qt.IsNil)
		}
		c.Assert(slow.calls.Load(), qt.Equals, int64(10))
		cancel()
		running.Wait()
	})
}

// slowStore takes 240 ms for each read.
type slowStore struct {
	*keyspace.Store
	calls atomic.Int64
}

func (s *slowStore) Item(ctx context.Context, key string) (lovagestand.Item, error) {
	s.calls.Add(1)
	pause.For(ctx, 240*time.Millisecond)
	return s.Store.Item(ctx, key)
}
