package table_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/standin/kv"
	"lovagestand.example/lovagestand/table"
)

// heartbeat is the time between two reports of a peer's revision.
const heartbeat = time.Second

// fleet is a group of followers that are peers of each other.
type fleet struct {
	members []*table.Follower
}

func peerOf(i int) lovagestand.Instance {
	return lovagestand.Instance{ID: lovagestand.InstanceID(fmt.Sprint(i)), Address: fmt.Sprint(i)}
}

func (f *fleet) peers() []lovagestand.Instance {
	var peers []lovagestand.Instance
	for i := range f.members {
		peers = append(peers, peerOf(i))
	}
	return peers
}

// pullFuncOf returns the function with which member i pulls from its peers.
func (f *fleet) pullFuncOf(i int) table.PullFunc {
	return func(_ context.Context, peer lovagestand.Instance, after table.Revision) (table.Revision, []byte, error) {
		var to int
		_, err := fmt.Sscan(string(peer.ID), &to)
		if after < math.MaxUint64 {
			f.members[to].RecordPeerRevision(peerOf(i), after)
		}
		revision, data := f.members[to].Encoded()
		if revision <= after {
			data = nil
		}
		return revision, data, err
	}
}

// start adds a follower of the given store and runs it.
func (f *fleet) start(ctx context.Context, store lovagestand.Store) *table.Follower {
	self := len(f.members)
	member := table.NewFollower(store, table.WithPeers(peerOf(self).ID, f.peers, f.pullFuncOf(self)))
	f.members = append(f.members, member)
	go func() { _ = member.Run(ctx) }()
	return member
}

// sendHeartbeats sends the revision of each member to a few random members, once
// per heartbeat period.
func (f *fleet) sendHeartbeats(ctx context.Context, random *rand.Rand) {
	const receivers = 4
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		for i, m := range f.members {
			for range receivers {
				f.members[random.IntN(len(f.members))].RecordPeerRevision(peerOf(i), m.Status().Revision)
			}
		}
	}
}

// awaitRevision waits until all members have a revision in force. It returns the
// time from accepted until the slowest member had it.
func (f *fleet) awaitRevision(t *testing.T, revision table.Revision, accepted time.Time) time.Duration {
	var longest time.Duration
	for i, m := range f.members {
		for m.Status().Revision < revision {
			qt.Assert(t, time.Since(accepted) < time.Minute, qt.IsTrue, qt.Commentf("member %d", i))
			time.Sleep(10 * time.Millisecond)
		}
		longest = max(longest, m.Status().Since.Sub(accepted))
	}
	return longest
}

func TestAcceptedTablesReachEveryInstance(t *testing.T) {
	for _, size := range []int{9, 39} {
		for _, peersOnly := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d instances, peers only %v", size, peersOnly), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testTimeToInForce(t, size, peersOnly) })
			})
		}
	}
}

// testTimeToInForce makes 20 changes and asserts the time until each is in force at
// every member. The limit is 1 s if every member reads the store, and 5 s if only
// one does and the others rely on their peers.
func testTimeToInForce(t *testing.T, size int, peersOnly bool) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store, base := seededStore(t)
	downStore := kv.New()
	downStore.SetFaults(kv.Faults{Down: true})
	f := &fleet{}
	for i := range size {
		if peersOnly && i > 0 {
			f.start(ctx, downStore)
		} else {
			f.start(ctx, store)
		}
	}
	go f.sendHeartbeats(ctx, rand.New(rand.NewPCG(uint64(size), 1)))
	f.awaitRevision(t, 1, time.Now())
	var worst time.Duration
	for i := range 20 {
		store.SetFaults(kv.Faults{Delay: 5 * time.Millisecond})
		_, err := apply(t, store, base, withBurst(t, base, 0, i+1), "asha")
		qt.Assert(t, err, qt.IsNil)
		base = base.WithRevision(base.Revision() + 1)
		worst = max(worst, f.awaitRevision(t, base.Revision(), time.Now()))
		time.Sleep(time.Duration(37*i) * time.Millisecond)
	}
	limit := time.Second
	if peersOnly {
		limit = 5 * time.Second
	}
	t.Logf("virtual time, worst of 20 changes: %v", worst)
	qt.Assert(t, worst < limit, qt.IsTrue, qt.Commentf("%v", worst))
}

// TestFollowerIgnoresOlderRevisions checks that older tables and invalid values are
// refused, whether they come from a peer or from the store.
func TestFollowerIgnoresOlderRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store, base := seededStore(t)
		f := &fleet{}
		member := f.start(ctx, store)
		stale, _ := store.Get(ctx, table.CurrentKey)
		_, err := apply(t, store, base, withBurst(t, base, 0, 7), "asha")
		qt.Assert(t, err, qt.IsNil)
		f.awaitRevision(t, 2, time.Now())
		changed := member.Changed()

		adopted, err := member.Offer(stale.Data)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, adopted, qt.IsFalse)
		now, _ := store.Get(ctx, table.CurrentKey)
		for i := range 20 {
			data := [][]byte{stale.Data, []byte("{}"), []byte("no tables")}[i%3]
			now.Revision, err = store.Put(ctx, table.CurrentKey, data, now.Revision, 0)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(200 * time.Millisecond)
			qt.Assert(t, member.Status().Revision, qt.Equals, table.Revision(2))
		}
		qt.Assert(t, member.Status().Refused > 10, qt.IsTrue)
		select {
		case <-changed:
			t.Fatal("tables changed")
		default:
		}
	})
}

// TestNewInstanceDuringOutage checks that an instance that cannot read the store
// starts with the newest revision of its peers, even if one of them has an older one.
func TestNewInstanceDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store, base := seededStore(t)
		f := &fleet{}
		f.start(ctx, store)
		f.awaitRevision(t, 1, time.Now())
		down := kv.New()
		down.SetFaults(kv.Faults{Down: true})
		old, _ := store.Get(ctx, table.CurrentKey)
		_, err := apply(t, store, base, withBurst(t, base, 0, 7), "asha")
		qt.Assert(t, err, qt.IsNil)
		f.awaitRevision(t, 2, time.Now())
		paused := table.NewFollower(down)
		_, err = paused.Offer(old.Data)
		qt.Assert(t, err, qt.IsNil)
		f.members = append([]*table.Follower{paused}, f.members...)

		late := f.start(ctx, down)
		_, found := late.Current()
		qt.Assert(t, found, qt.IsFalse)
		time.Sleep(2 * time.Second)
		qt.Assert(t, late.Status().Revision, qt.Equals, table.Revision(2))
		qt.Assert(t, late.Status().Source, qt.Equals, table.SourcePeer)
		qt.Assert(t, paused.Status().Revision, qt.Equals, table.Revision(1))
	})
}
