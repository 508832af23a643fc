package shard_test

import (
	"context"
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
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/jobstore"
	"lovagestand.example/lovagestand/shard"
	"lovagestand.example/lovagestand/standin/keyspace"
)

// severableStore is a connection to the store on which no call is answered once
// severed has ended.
type severableStore struct {
	*keyspace.Store
	severed context.Context
}

// callUnlessSevered makes a call and drops its answer if the connection is severed
// before the answer arrives.
func callUnlessSevered[T any](ctx context.Context, s severableStore, call func(context.Context) (T, error)) (T, error) {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.severed, cancel)()
	var none T
	if s.severed.Err() == nil {
		answer, err := call(limited)
		if s.severed.Err() == nil {
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

func (s severableStore) Item(ctx context.Context, key string) (lovagestand.Item, error) {
	return callUnlessSevered(ctx, s, func(ctx context.Context) (lovagestand.Item, error) { return s.Store.Item(ctx, key) })
}

func (s severableStore) Range(ctx context.Context, prefix string) ([]lovagestand.Item, lovagestand.Revision, error) {
	p, err := callUnlessSevered(ctx, s, func(ctx context.Context) (page, error) {
		items, revision, err := s.Store.Range(ctx, prefix)
		return page{items, revision}, err
	})
	return p.items, p.revision, err
}

func (s severableStore) Watch(ctx context.Context, prefix string, after lovagestand.Revision, wait time.Duration) ([]lovagestand.Item, lovagestand.Revision, error) {
	p, err := callUnlessSevered(ctx, s, func(ctx context.Context) (page, error) {
		items, revision, err := s.Store.Watch(ctx, prefix, after, wait)
		return page{items, revision}, err
	})
	return p.items, p.revision, err
}

func (s severableStore) Commit(ctx context.Context, t lovagestand.Transaction) (lovagestand.Revision, error) {
	return callUnlessSevered(ctx, s, func(ctx context.Context) (lovagestand.Revision, error) { return s.Store.Commit(ctx, t) })
}

func (s severableStore) Renew(ctx context.Context, id lovagestand.LeaseID) error {
	_, err := callUnlessSevered(ctx, s, func(ctx context.Context) (struct{}, error) { return struct{}{}, s.Store.Renew(ctx, id) })
	return err
}

func (s severableStore) Grant(ctx context.Context, ttl time.Duration) (lovagestand.LeaseID, time.Duration, error) {
	lease, err := callUnlessSevered(ctx, s, func(ctx context.Context) (lovagestand.LeaseID, error) {
		lease, _, err := s.Store.Grant(ctx, ttl)
		return lease, err
	})
	return lease, ttl, err
}

func (s severableStore) Revoke(ctx context.Context, id lovagestand.LeaseID) error {
	_, err := callUnlessSevered(ctx, s, func(ctx context.Context) (struct{}, error) { return struct{}{}, s.Store.Revoke(ctx, id) })
	return err
}

// electedCell is a cell whose instances stand for election. A network cut can isolate
// instance a, together with its workers and its neighbours, from the rest.
type electedCell struct {
	*cell
	isolated   atomic.Bool
	neighbours []lovagestand.InstanceID
	mu         sync.Mutex
	candidates map[lovagestand.InstanceID]*election.Candidate
	owners     map[lovagestand.InstanceID]*owner
	running    sync.WaitGroup
}

func newElectedCell(c *qt.C) *electedCell {
	return &electedCell{
		cell:       newCell(c, 4, always(time.Minute, lovagestand.EndingDone)),
		candidates: map[lovagestand.InstanceID]*election.Candidate{}, owners: map[lovagestand.InstanceID]*owner{},
	}
}

// besideA reports whether an instance is on the same side of the cut as instance a.
func (r *electedCell) besideA(id lovagestand.InstanceID) bool {
	return id == "a" || slices.Contains(r.neighbours, id)
}

// addCandidate adds an instance that stands for election. It reaches the instances and
// workers on its own side of the cut, and until the cut also the others.
func (r *electedCell) addCandidate(ctx context.Context, id lovagestand.InstanceID, keys lovagestand.Keyspace, workers ...lovagestand.WorkerName) {
	fleet := partitionedFleet{Fleet: r.fleet, workers: workers, cut: &r.isolated}
	self := lovagestand.Instance{ID: id, Processors: 1}
	directory := election.NewDirectory(keys, zerolog.Nop())
	candidate := &election.Candidate{Shard: "0", Self: self, Keys: keys, Directory: directory, Log: zerolog.Nop()}
	candidate.AskOwnershipEnded = func(ctx context.Context, m lovagestand.Instance, epoch lovagestand.Epoch) (bool, error) {
		if r.isolated.Load() && r.besideA(id) != r.besideA(m.ID) {
			<-ctx.Done()
			return false, ctx.Err()
		}
		return r.candidate(m.ID).OwnershipEnded(epoch), nil
	}
	candidate.Serve = func(ctx context.Context, term jobstore.Term, confirmed func() bool) {
		o := r.runTerm(term, shard.Deps{
			Fleet: fleet, Store: jobstore.New(keys, term), AdviceClients: r.adviceClients, Confirmed: confirmed, Assured: candidate.Assured,
			Log: r.log, Recorder: lovagestand.NoRecorder{},
		})
		r.mu.Lock()
		r.owners[id] = o
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-o.Lost():
		}
		o.stop()
	}
	r.mu.Lock()
	r.candidates[id] = candidate
	r.mu.Unlock()
	r.running.Go(func() { directory.Run(ctx) })
	r.running.Go(func() { election.Register(ctx, keys, directory, self, zerolog.Nop()) })
	r.running.Go(func() { candidate.Run(ctx) })
}

func (r *electedCell) candidate(id lovagestand.InstanceID) *election.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidates[id]
}

func (r *electedCell) owner(id lovagestand.InstanceID) *owner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owners[id]
}

// fillHalf submits tasks to instance a, the owner, that fill half of the workers' room.
func (r *electedCell) fillHalf(c *qt.C) {
	c.Helper()
	for i := range 8 {
		r.owner("a").submit(c, id(i), job.Step{Count: 1})
	}
	time.Sleep(500 * time.Millisecond)
	c.Assert(r.fleet.Running(), qt.Equals, 8)
}

// TestRegionCutOffWithItsOwner cuts off a region together with the owner in it, and
// lets another instance win the election. No task may run on both sides, and all tasks
// must run in the end.
func TestRegionCutOffWithItsOwner(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		for _, deposed := range []bool{false, true} {
			name := phase.String() + " replaced once its lease is over"
			if deposed {
				name = phase.String() + " deposed"
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runRegionCut(t, phase, deposed) })
			})
		}
	}
}

func runRegionCut(t *testing.T, phase time.Duration, deposed bool) {
	c := qt.New(t)
	cut, sever := context.WithCancel(context.Background())
	ctx, cancel := context.WithCancel(context.Background())
	r := newElectedCell(c)
	r.addCandidate(ctx, "a", severableStore{Store: r.keys, severed: cut}, "w0", "w1")
	time.Sleep(2 * time.Second)
	r.addCandidate(ctx, "b", r.keys, "w2", "w3")
	r.addCandidate(ctx, "c", r.keys, "w2", "w3")
	time.Sleep(2*time.Second + phase)
	r.fillHalf(c)
	epoch := r.owner("a").Status().Epoch
	r.isolated.Store(true)
	sever()
	if deposed {
		time.Sleep(400 * time.Millisecond)
		r.candidate("b").Depose(lovagestand.Epoch(epoch))
	}
	time.Sleep(25 * time.Second)
	r.assertNoViolations()
	c.Assert(r.fleet.Running(), qt.Equals, 8)
	cancel()
	r.running.Wait()
}

// TestMajorityCutOffWithItsOwner cuts off a region with most instances together with the owner
// in it. They have not seen its ownership end, so it counts as assured and extends the leases of
// its workers, while another instance wins the election. No task may run on both sides.
func TestMajorityCutOffWithItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cut, sever := context.WithCancel(context.Background())
		ctx, cancel := context.WithCancel(context.Background())
		r := newElectedCell(c)
		r.neighbours = []lovagestand.InstanceID{"b"}
		r.addCandidate(ctx, "a", severableStore{Store: r.keys, severed: cut}, "w0", "w1")
		time.Sleep(2 * time.Second)
		r.addCandidate(ctx, "b", severableStore{Store: r.keys, severed: cut}, "w0", "w1")
		r.addCandidate(ctx, "c", r.keys, "w2", "w3")
		time.Sleep(2 * time.Second)
		r.fillHalf(c)
		r.isolated.Store(true)
		sever()
		time.Sleep(25 * time.Second)
		cancel()
		r.running.Wait()
		r.assertNoViolations()
	})
}

// TestOwnerContinuesWhileTheStoreIsUnavailable has an outage of the store that lasts
// longer than any lease of a worker. As no member has seen another owner, all runs
// must continue and accepted jobs must start.
func TestOwnerContinuesWhileTheStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cut, sever := context.WithCancel(context.Background())
		ctx, cancel := context.WithCancel(context.Background())
		r := newElectedCell(c)
		keys := severableStore{Store: r.keys, severed: cut}
		r.addCandidate(ctx, "a", keys)
		time.Sleep(2 * time.Second)
		r.addCandidate(ctx, "b", keys)
		r.addCandidate(ctx, "c", keys)
		time.Sleep(2 * time.Second)
		r.fillHalf(c)
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
		r.assertNoViolations()
		cancel()
		r.running.Wait()
	})
}

// TestOverlapWithShortLeases guards against a next owner that counts the lease of a worker which
// it does not reach from the begin of its term, although the former owner extends it for the
// overlap. Leases as long as the longest that the platform allows leave no other reserve.
func TestOverlapWithShortLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 2, always(30*time.Second, lovagestand.EndingDone))
		k.maxLease = 6 * time.Second
		var assuredUntil atomic.Pointer[time.Time]
		former := k.beginTerm("a", func(d *shard.Deps) {
			d.Assured = func() bool { until := assuredUntil.Load(); return until == nil || time.Now().Before(*until) }
		})
		defer former.stop()
		time.Sleep(time.Second)
		former.submit(c, id(1), job.Step{Count: 4})
		time.Sleep(time.Second)
		until := time.Now().Add(overlap)
		assuredUntil.Store(&until)
		fleet := newRefusingFleet(k.fleet)
		fleet.cut.Store(true)
		k.fleetWrapper = fleet
		next := k.beginTerm("b")
		defer next.stop()
		time.Sleep(20 * time.Second)
		c.Check(k.fleet.Starts() > 4, qt.IsTrue)
		k.assertNoViolations()
	})
}

// slowClockFleet is a refusingFleet whose workers have clocks that are 2% slow. The first hold
// after the cut is executed, and its connection is closed after a time.
type slowClockFleet struct {
	*refusingFleet
	closesAfter time.Duration
	closed      atomic.Bool
}

const (
	slowClock = 0.98
	// holdRetry is the time between two holds that are refused at once.
	holdRetry = 200 * time.Millisecond
)

func onSlowClock(millis int64) int64 { return int64(slowClock * float64(millis)) }

func offSlowClock(millis int64) int64 { return int64(float64(millis) / slowClock) }

func (f *slowClockFleet) Start(ctx context.Context, w lovagestand.FleetWorker, o lovagestand.Order) (lovagestand.WorkerClock, error) {
	o.Until = offSlowClock(o.Until)
	clock, err := f.refusingFleet.Start(ctx, w, o)
	clock.Millis = onSlowClock(clock.Millis)
	return clock, err
}

func (f *slowClockFleet) Hold(ctx context.Context, w lovagestand.FleetWorker, r lovagestand.HoldRequest) (lovagestand.HoldReply, error) {
	r.Until = offSlowClock(r.Until)
	if f.refuse(w) != nil && f.closed.CompareAndSwap(false, true) {
		r.Wait = 0
		_, _ = f.Fleet.Hold(ctx, w, r)
		time.Sleep(f.closesAfter)
	}
	reply, err := f.refusingFleet.Hold(ctx, w, r)
	reply.Clock = onSlowClock(reply.Clock)
	return reply, err
}

// TestLeaseOnASlowClock guards against tasks that start again before the lease of their worker is
// over on its own clock.
func TestLeaseOnASlowClock(t *testing.T) {
	for phase := time.Duration(0); phase < holdRetry; phase += 4 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			k := newCell(c, 2, always(30*time.Second, lovagestand.EndingDone))
			fleet := newRefusingFleet(k.fleet)
			k.fleetWrapper = &slowClockFleet{refusingFleet: fleet, closesAfter: phase}
			o := k.beginReadyTerm("a")
			defer o.stop()
			o.submit(c, id(1), job.Step{Count: 4})
			time.Sleep(time.Second)
			fleet.cut.Store(true)
			time.Sleep(12 * time.Second)
			c.Check(k.startsOf(id(1)) > 4, qt.IsTrue)
			c.Assert(k.fleet.Violations(), qt.HasLen, 0, qt.Commentf("phase %v", phase))
		})
	}
}
