package shard_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// severed is a way to the store on which nothing is answered once cut.
type severed struct {
	*keyspace.Store
	cut context.Context
}

// meet makes a call and drops its answer if the way is cut before it comes.
func meet[T any](ctx context.Context, s severed, call func(context.Context) (T, error)) (T, error) {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.cut, cancel)()
	var none T
	if s.cut.Err() == nil {
		answer, err := call(limited)
		if s.cut.Err() == nil {
			return answer, err
		}
	}
	<-ctx.Done()
	return none, &lovagestand.UnavailableError{System: "store"}
}

type page struct {
	items    []lovagestand.Item
	revision lovagestand.Revision
}

func (s severed) Item(ctx context.Context, key string) (lovagestand.Item, error) {
	return meet(ctx, s, func(ctx context.Context) (lovagestand.Item, error) { return s.Store.Item(ctx, key) })
}

func (s severed) Range(ctx context.Context, prefix string) ([]lovagestand.Item, lovagestand.Revision, error) {
	p, err := meet(ctx, s, func(ctx context.Context) (page, error) {
		items, revision, err := s.Store.Range(ctx, prefix)
		return page{items, revision}, err
	})
	return p.items, p.revision, err
}

func (s severed) Follow(ctx context.Context, prefix string, after lovagestand.Revision, wait time.Duration) ([]lovagestand.Item, lovagestand.Revision, error) {
	p, err := meet(ctx, s, func(ctx context.Context) (page, error) {
		items, revision, err := s.Store.Follow(ctx, prefix, after, wait)
		return page{items, revision}, err
	})
	return p.items, p.revision, err
}

func (s severed) Commit(ctx context.Context, t lovagestand.Transaction) (lovagestand.Revision, error) {
	return meet(ctx, s, func(ctx context.Context) (lovagestand.Revision, error) { return s.Store.Commit(ctx, t) })
}

func (s severed) Renew(ctx context.Context, id lovagestand.LeaseID) error {
	_, err := meet(ctx, s, func(ctx context.Context) (struct{}, error) { return struct{}{}, s.Store.Renew(ctx, id) })
	return err
}

func (s severed) Grant(ctx context.Context, ttl time.Duration) (lovagestand.LeaseID, time.Duration, error) {
	lease, err := meet(ctx, s, func(ctx context.Context) (lovagestand.LeaseID, error) {
		lease, _, err := s.Store.Grant(ctx, ttl)
		return lease, err
	})
	return lease, ttl, err
}

func (s severed) End(ctx context.Context, id lovagestand.LeaseID) error {
	_, err := meet(ctx, s, func(ctx context.Context) (struct{}, error) { return struct{}{}, s.Store.End(ctx, id) })
	return err
}

// region is a cell whose instances stand for election; a cut parts instance a,
// with its workers, from the rest.
type region struct {
	*cell
	parted  atomic.Bool
	mu      sync.Mutex
	members map[lovagestand.InstanceID]*election.Candidate
	owned   map[lovagestand.InstanceID]*owner
	running sync.WaitGroup
}

func newRegion(c *qt.C) *region {
	return &region{
		cell:    newCell(c, 4, always(time.Minute, lovagestand.EndingDone)),
		members: map[lovagestand.InstanceID]*election.Candidate{}, owned: map[lovagestand.InstanceID]*owner{},
	}
}

// stand has an instance stand for election. It reaches the instances and
// workers of its side, and the others until the cut.
func (r *region) stand(ctx context.Context, id lovagestand.InstanceID, keys lovagestand.Keyspace, workers ...lovagestand.WorkerName) {
	fleet := side{Fleet: r.fleet, workers: workers, cut: &r.parted}
	self := lovagestand.Instance{ID: id, Processors: 1}
	directory := election.NewDirectory(keys, zerolog.Nop())
	candidate := &election.Candidate{Shard: "0", Self: self, Keys: keys, Directory: directory, Log: zerolog.Nop()}
	candidate.AskOver = func(ctx context.Context, m lovagestand.Instance, epoch lovagestand.Epoch) (bool, error) {
		if r.parted.Load() && (id == "a" || m.ID == "a") {
			<-ctx.Done()
			return false, ctx.Err()
		}
		return r.member(m.ID).Over(epoch), nil
	}
	candidate.Serve = func(ctx context.Context, term jobstore.Term, confirmed func() bool) {
		o := r.begin(term, shard.Deps{
			Fleet: fleet, Store: jobstore.New(keys, term), AdviceClients: r.lines, Confirmed: confirmed, Assured: candidate.Assured,
			Log: r.log, Recorder: lovagestand.NoRecorder{},
		})
		r.mu.Lock()
		r.owned[id] = o
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-o.Lost():
		}
		o.stop()
	}
	r.mu.Lock()
	r.members[id] = candidate
	r.mu.Unlock()
	r.running.Go(func() { directory.Run(ctx) })
	r.running.Go(func() { election.Register(ctx, keys, directory, self, zerolog.Nop()) })
	r.running.Go(func() { candidate.Run(ctx) })
}

func (r *region) member(id lovagestand.InstanceID) *election.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[id]
}

func (r *region) owner(id lovagestand.InstanceID) *owner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owned[id]
}

// fill has instance a, the owner, fill half of the workers' room.
func (r *region) fill(c *qt.C) {
	c.Helper()
	for i := range 8 {
		r.owner("a").submit(c, id(i), job.Step{Count: 1})
	}
	time.Sleep(500 * time.Millisecond)
	c.Assert(r.fleet.Running(), qt.Equals, 8)
}

// TestRegionCutOffWithItsOwner replays the whole of such a cut, with the
// election: no task runs on both sides, and all run on in the end.
func TestRegionCutOffWithItsOwner(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		for _, deposed := range []bool{false, true} {
			name := phase.String() + " replaced once its lease is over"
			if deposed {
				name = phase.String() + " deposed"
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playRegion(t, phase, deposed) })
			})
		}
	}
}

func playRegion(t *testing.T, phase time.Duration, deposed bool) {
	c := qt.New(t)
	cut, sever := context.WithCancel(context.Background())
	ctx, cancel := context.WithCancel(context.Background())
	r := newRegion(c)
	r.stand(ctx, "a", severed{Store: r.keys, cut: cut}, "w0", "w1")
	time.Sleep(2 * time.Second)
	r.stand(ctx, "b", r.keys, "w2", "w3")
	r.stand(ctx, "c", r.keys, "w2", "w3")
	time.Sleep(2*time.Second + phase)
	r.fill(c)
	epoch := r.owner("a").Status().Epoch
	r.parted.Store(true)
	sever()
	if deposed {
		time.Sleep(400 * time.Millisecond)
		r.member("b").Depose(lovagestand.Epoch(epoch))
	}
	time.Sleep(25 * time.Second)
	r.assertSound()
	c.Assert(r.fleet.Running(), qt.Equals, 8)
	cancel()
	r.running.Wait()
}

// TestOwnerWorksOnWhileTheStoreIsAwayForAll replays an outage longer than any
// lease of a worker: since the members know of no other owner, all runs go on,
// and what has been accepted starts.
func TestOwnerWorksOnWhileTheStoreIsAwayForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cut, sever := context.WithCancel(context.Background())
		ctx, cancel := context.WithCancel(context.Background())
		r := newRegion(c)
		keys := severed{Store: r.keys, cut: cut}
		r.stand(ctx, "a", keys)
		time.Sleep(2 * time.Second)
		r.stand(ctx, "b", keys)
		r.stand(ctx, "c", keys)
		time.Sleep(2 * time.Second)
		r.fill(c)
		for i := range 16 {
			r.owner("a").submit(c, id(8+i), job.Step{Count: 1})
		}
		sever()
		time.Sleep(30 * time.Second)
		c.Assert(r.fleet.Running(), qt.Equals, 16)
		c.Assert(r.fleet.Starts(), qt.Equals, 16)
		time.Sleep(time.Minute)
		c.Assert(r.fleet.Running(), qt.Equals, 8)
		c.Assert(r.fleet.Starts(), qt.Equals, 24)
		r.assertSound()
		cancel()
		r.running.Wait()
	})
}
