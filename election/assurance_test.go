package election_test

import (
	"context"
	"fmt"
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

// TestOwnerIsAssuredByTheStoreOrByMostMembers guards against an owner that stops
// work in an outage of the store for all instances, and against one that counts
// as assured although it is cut off from most members and another owner may have
// been elected.
func TestOwnerIsAssuredByTheStoreOrByMostMembers(t *testing.T) {
	const members = 5
	for _, test := range []struct {
		name string
		// answering is how many of the other members answer; reportEnded is how
		// many of these report that the ownership has ended.
		answering, reportEnded int
		assured, serves        bool
	}{
		{name: "no instance reaches the store", answering: 4, assured: true, serves: true},
		{name: "a minority of the members does not answer either", answering: 2, assured: true, serves: true},
		{name: "most members do not answer", answering: 1, assured: false, serves: true},
		{name: "no member answers", assured: false, serves: true},
		{name: "one member reports the end", answering: 4, reportEnded: 1, assured: false, serves: false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				keys := keyspace.New()
				for i := range members {
					id := fmt.Sprint("i", i)
					keys.Put(election.MemberKey(lovagestand.InstanceID(id)), fmt.Appendf(nil, `{"id":%q}`, id))
				}
				ctx, cancel := context.WithCancel(context.Background())
				watchCut, cutWatch := context.WithCancel(context.Background())
				directory := election.NewDirectory(noWatchStore{Keyspace: keys, cut: watchCut}, zerolog.Nop())
				var running sync.WaitGroup
				running.Go(func() { directory.Run(ctx) })
				ended := make(chan struct{}, 10)
				candidate := &election.Candidate{
					Shard: "0", Self: lovagestand.Instance{ID: "i0", Processors: 1}, Keys: keys, Directory: directory, Log: zerolog.Nop(),
					AskOwnershipEnded: func(ctx context.Context, member lovagestand.Instance, _ lovagestand.Epoch) (bool, error) {
						var i int
						if _, err := fmt.Sscanf(string(member.ID), "i%d", &i); err != nil || i > test.answering {
							<-ctx.Done()
							return false, ctx.Err()
						}
						return i <= test.reportEnded, nil
					},
					Serve: func(ctx context.Context, _ jobstore.Term, _ func() bool) {
						<-ctx.Done()
						ended <- struct{}{}
					},
				}
				running.Go(func() { candidate.Run(ctx) })
				time.Sleep(3 * time.Second)
				c.Assert(candidate.Assured(), qt.IsTrue)
				cutWatch()
				keys.SetFault(func(string) keyspace.Fault { return keyspace.FaultLostRequest })
				time.Sleep(2 * time.Second)
				for range 100 {
					time.Sleep(70 * time.Millisecond)
					c.Assert(candidate.Assured(), qt.Equals, test.assured)
				}
				c.Assert(len(ended) == 0, qt.Equals, test.serves)
				cancel()
				running.Wait()
			})
		})
	}
}

// TestWinnerReportsThePreviousTermAsEnded has a former owner ask the next one
// whether its ownership has ended before the directory of the next owner shows
// the change.
func TestWinnerReportsThePreviousTermAsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		keys := keyspace.New()
		ctx, cancel := context.WithCancel(context.Background())
		watchCut, cutWatch := context.WithCancel(context.Background())
		directory := election.NewDirectory(noWatchStore{Keyspace: keys, cut: watchCut}, zerolog.Nop())
		var running sync.WaitGroup
		running.Go(func() { directory.Run(ctx) })
		terms := make(chan jobstore.Term, 10)
		candidate := &election.Candidate{
			Shard: "0", Self: lovagestand.Instance{ID: "a", Processors: 1}, Keys: keys, Directory: directory, Log: zerolog.Nop(),
			Serve: func(ctx context.Context, term jobstore.Term, _ func() bool) {
				terms <- term
				<-ctx.Done()
			},
		}
		keys.Put(election.OwnerKey("0"), []byte(`{"id":"a"}`))
		item, err := keys.Item(t.Context(), election.OwnerKey("0"))
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		cutWatch()
		time.Sleep(100 * time.Millisecond)
		former := lovagestand.Epoch(item.Revision)
		c.Assert(candidate.OwnershipEnded(former), qt.IsFalse)
		running.Go(func() { candidate.Run(ctx) })
		term := <-terms
		c.Assert(candidate.OwnershipEnded(former), qt.IsTrue)
		c.Assert(candidate.OwnershipEnded(term.Epoch), qt.IsFalse)
		cancel()
		running.Wait()
	})
}
