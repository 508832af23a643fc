package election_test

import (
	"context"
	"sync"
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

// noWatchStore is an instance's connection to the store. Once the context cut has
// been cancelled, range reads and watches get no answer; all other calls still do.
type noWatchStore struct {
	lovagestand.Keyspace
	cut context.Context
}

func (d noWatchStore) Range(ctx context.Context, prefix string) ([]lovagestand.Item, lovagestand.Revision, error) {
	if d.cut.Err() != nil {
		<-ctx.Done()
		return nil, 0, &lovagestand.UnavailableError{System: "store"}
	}
	return d.Keyspace.Range(ctx, prefix)
}

func (d noWatchStore) Watch(ctx context.Context, prefix string, after lovagestand.Revision, wait time.Duration) ([]lovagestand.Item, lovagestand.Revision, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.cut, cancel)()
	items, revision, err := d.Keyspace.Watch(ctx, prefix, after, wait)
	if d.cut.Err() != nil {
		return nil, after, &lovagestand.UnavailableError{System: "store"}
	}
	return items, revision, err
}

// TestDeposedOwnerStopsWhenItsLeaseEnds has an owner deposed whose watch of the
// store gets no answers: the owner must find from its lease that its ownership
// has ended, and stop serving.
func TestDeposedOwnerStopsWhenItsLeaseEnds(t *testing.T) {
	for name, follows := range map[string]bool{"by an instance that follows the store": true, "by an instance that reads the owner's key": false} {
		t.Run(name, func(t *testing.T) { testDeposition(t, follows) })
	}
}

func testDeposition(t *testing.T, follows bool) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys := keyspace.New()
		ctx, cancel := context.WithCancel(context.Background())
		watchCut, cutWatch := context.WithCancel(context.Background())
		store := noWatchStore{Keyspace: keys, cut: watchCut}
		directory := election.NewDirectory(store, zerolog.Nop())
		var running sync.WaitGroup
		running.Go(func() { directory.Run(ctx) })
		terms := make(chan jobstore.Term, 10)
		ended := make(chan struct{}, 10)
		var confirmedByStore func() bool
		candidate := &election.Candidate{
			Shard: "0", Self: lovagestand.Instance{ID: "a", Processors: 1}, Keys: store, Directory: directory, Log: zerolog.Nop(),
			Serve: func(ctx context.Context, term jobstore.Term, confirmed func() bool) {
				confirmedByStore = confirmed
				terms <- term
				<-ctx.Done()
				ended <- struct{}{}
			},
		}
		running.Go(func() { candidate.Run(ctx) })
		term := <-terms
		time.Sleep(3 * time.Second)
		cutWatch()
		follower := election.NewDirectory(keys, zerolog.Nop())
		if follows {
			running.Go(func() { follower.Run(ctx) })
			time.Sleep(100 * time.Millisecond)
		}
		other := &election.Candidate{Shard: "0", Keys: keys, Directory: follower, Log: zerolog.Nop()}
		other.Depose(term.Epoch)
		time.Sleep(2 * time.Second)
		item, err := keys.Item(t.Context(), election.OwnerKey("0"))
		c.Assert(err, qt.IsNil)
		c.Assert(item.Revision, qt.Equals, lovagestand.Revision(0))
		c.Check(confirmedByStore(), qt.IsFalse, qt.Commentf("the deposed owner still reports its ownership as confirmed"))
		c.Check(ended, qt.HasLen, 1, qt.Commentf("the deposed owner has not stopped serving"))
		cancel()
		running.Wait()
	})
}

// slowReads is an instance's connection to a store that answers reads late.
type slowReads struct {
	lovagestand.Keyspace
	latency time.Duration
}

func (s slowReads) Item(ctx context.Context, key string) (lovagestand.Item, error) {
	select {
	case <-time.After(s.latency):
		return s.Keyspace.Item(ctx, key)
	case <-ctx.Done():
		return lovagestand.Item{}, &lovagestand.UnavailableError{System: "store"}
	}
}

// TestOwnerInSlowStoreIsNotDeposed has an owner whose writes are slow ask another
// instance to end its ownership. It must not be replaced if the store is as slow for
// the other instance, because the next owner would be no better off.
func TestOwnerInSlowStoreIsNotDeposed(t *testing.T) {
	for latency, terms := range map[time.Duration]int{0: 2, 60 * time.Millisecond: 2, 220 * time.Millisecond: 1, time.Hour: 1} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				keys, k := keyspace.New(), newCell()
				stop := k.startCandidate(keys, "a")
				defer stop()
				time.Sleep(time.Second)
				item, err := keys.Item(t.Context(), election.OwnerKey("0"))
				c.Assert(err, qt.IsNil)
				other := &election.Candidate{
					Shard: "0", Keys: slowReads{keys, latency}, Directory: election.NewDirectory(keys, zerolog.Nop()), Log: zerolog.Nop(),
				}
				other.DeposeIfStoreAnswers(t.Context(), lovagestand.Epoch(item.Revision))
				time.Sleep(2 * time.Second)
				_, got := k.owner()
				c.Assert(got, qt.Equals, terms)
			})
		})
	}
}

// TestDeposingAFormerEpochDoesNothing deposes an owner after the next owner has
// won, as a late call does.
func TestDeposingAFormerEpochDoesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys, k := keyspace.New(), newCell()
		stop := k.startCandidate(keys, "a")
		defer stop()
		time.Sleep(time.Second)
		item, err := keys.Item(t.Context(), election.OwnerKey("0"))
		c.Assert(err, qt.IsNil)
		candidate := &election.Candidate{Shard: "0", Keys: keys, Directory: election.NewDirectory(keys, zerolog.Nop()), Log: zerolog.Nop()}
		candidate.Depose(lovagestand.Epoch(item.Revision) - 1)
		time.Sleep(time.Second)
		_, terms := k.owner()
		c.Assert(terms, qt.Equals, 1)
	})
}
