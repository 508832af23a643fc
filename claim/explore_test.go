package claim

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cenkalti/backoff/v5"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
)

// exploredSeeds is the number of interleavings that [TestExploreClaims] runs.
var exploredSeeds = flag.Int("seeds", defaultSeeds, "interleavings to explore")

// countCaught makes [TestExploreCatchesMutations] run all seeds and log how many
// catch each mutation, instead of stopping at the first one.
var countCaught = flag.Bool("caught", false, "count the interleavings that catch each mutation")

// mutation is a fault that is injected into the protocol to verify that explore
// finds the violation that follows from it.
type mutation string

// The mutations. Their texts name the sub-tests and call an ownership lease a
// right.
const (
	unchanged           mutation = ""
	ignoreRevision      mutation = "ignore the end of the right, epoch and revision"
	ignoreLeaseEnd      mutation = "ignore the end of the right"
	ignoreToken         mutation = "ignore the end of the right and the token on read back"
	grantAmbiguous      mutation = "grant an ambiguous write"
	skipLoading         mutation = "open without reading the claims"
	notRunEarly         mutation = "answer not run early"
	ignoreValidity      mutation = "trust a late answer"
	ignoreHolders       mutation = "settle as not run for one of two holders"
	ignoreReadTime      mutation = "settle by what was read too early"
	retryAmbiguousStart mutation = "retry an ambiguous start"
)

// TestExploreClaims runs the protocol under many interleavings of calls, owner
// changes and faults, none of which may violate a guarantee.
func TestExploreClaims(t *testing.T) {
	c := qt.New(t)
	for seed := range *exploredSeeds {
		c.Assert(explore(t, uint64(seed), unchanged), qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}

// TestExploreCatchesMutations verifies that explore finds a violation for each of
// the mutations within three times the seeds of [TestExploreClaims].
func TestExploreCatchesMutations(t *testing.T) {
	for _, m := range []mutation{
		ignoreRevision, ignoreLeaseEnd, ignoreToken, grantAmbiguous, skipLoading, notRunEarly, ignoreValidity, ignoreHolders,
		ignoreReadTime, retryAmbiguousStart,
	} {
		t.Run(string(m), func(t *testing.T) {
			caught := 0
			for seed := range 3 * *exploredSeeds {
				found := explore(t, uint64(seed), m)
				if found == "" {
					continue
				}
				caught++
				if !*countCaught {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Logf("caught by %d of %d", caught, 3**exploredSeeds)
			qt.New(t).Assert(caught > 0, qt.IsTrue)
		})
	}
}

// explore runs one interleaving and returns which guarantee it violated; empty if
// none.
func explore(t *testing.T, seed uint64, m mutation) (violation string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		w := newWorld(seed, m)
		ctx, cancel := context.WithCancel(context.Background())
		for _, i := range w.instances {
			go func() { _ = i.partitions.serveWhileOwned(ctx, PartitionName(0)) }()
		}
		var calls sync.WaitGroup
		for n := range 24 {
			r := rand.New(rand.NewPCG(seed, uint64(100+n)))
			calls.Go(func() { w.runCall(fmt.Sprint("call", n), r) })
		}
		calls.Wait()
		cancel()
		time.Sleep(30 * time.Second) // Calls in flight end.
		violation = w.findViolation()
	})
	return violation
}

// world simulates two instances, a store and a worker. Each instance serves
// callers and at times owns partition 0. Calls between all of them can fail.
type world struct {
	mutation  mutation
	store     *fakeStore
	instances []*simulatedInstance
	keys      []lovagestand.RequestKey
	worker    fakeWorker

	mu            sync.Mutex
	notRunAnswers []notRunAnswer
	history       []porcupine.Operation
}

// simulatedInstance is one of the instances in a [world].
type simulatedInstance struct {
	partitions *Partitions
	client     *Client
}

// notRunAnswer is an answer to a caller that its request has not run.
type notRunAnswer struct {
	key lovagestand.RequestKey
	at  time.Time
}

// newWorld returns a world whose faults and ownership history follow from a seed.
func newWorld(seed uint64, m mutation) *world {
	r := rand.New(rand.NewPCG(seed, 1))
	w := &world{mutation: m, store: newFakeStore(), worker: fakeWorker{refused: map[taskStart]bool{}}}
	w.store.fault = storeFaults(rand.New(rand.NewPCG(seed, 2)), faultMixOf(seed))
	for n := 0; len(w.keys) < 4; n++ {
		key := lovagestand.RequestKey(fmt.Sprint("key", n))
		if PartitionOf(key) == PartitionName(0) {
			w.keys = append(w.keys, key)
		}
	}
	history := randomHistory(r)
	servers := make(map[lovagestand.InstanceID]Server)
	for i, id := range []lovagestand.InstanceID{"a", "b"} {
		ownership := fakeOwnership{self: id, periods: history, lag: randomDuration(r, 3*time.Second)}
		ownership.ignoreEnd = m == ignoreLeaseEnd || m == ignoreToken || m == ignoreRevision
		store := &mutatedStore{Store: w.store, mutation: m}
		partitions := NewPartitions(store, ownership, WithIDs(lockedIDs(string(id))), WithWritesPerSecond(20*NumberOfPartitions), WithBackoff(constantBackoff))
		server := &faultyServer{Server: partitions, mutation: m, faultMix: faultMixOf(seed), random: rand.New(rand.NewPCG(seed, uint64(10+i)))}
		servers[id] = server
		remote := func(i lovagestand.Instance) Server { return servers[i.ID] }
		client := NewClient(id, ownership, server, remote, WithClientBackoff(constantBackoff))
		w.instances = append(w.instances, &simulatedInstance{partitions: partitions, client: client})
	}
	return w
}

// lockedIDs is sequentialIDs, made safe for concurrent use.
func lockedIDs(prefix string) func() string {
	var mu sync.Mutex
	next := sequentialIDs(prefix)
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		return next()
	}
}

// constantBackoff returns delays without jitter, so that a run is determined by
// its seed.
func constantBackoff() backoff.BackOff {
	return backoff.NewConstantBackOff(170 * time.Millisecond)
}

// randomDuration returns a random duration of at least 1 ns and at most d.
func randomDuration(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d))) + 1
}

// randomHistory returns 12 ownership periods of random owners with short gaps
// between them. The last one does not end within the run.
func randomHistory(r *rand.Rand) (history ownershipHistory) {
	at := time.Now()
	for epoch := range lovagestand.Epoch(12) {
		owner := []lovagestand.InstanceID{"a", "b"}[r.IntN(2)]
		until := at.Add(700*time.Millisecond + randomDuration(r, 2*time.Second))
		history = append(history, ownershipPeriod{owner: owner, epoch: epoch + 1, from: at, until: until})
		at = until.Add(randomDuration(r, 300*time.Millisecond))
	}
	history[len(history)-1].until = at.Add(time.Hour)
	return history
}

// faultMix selects the kinds of faults that occur in a run.
type faultMix uint64

const (
	// allFaults includes lost calls and replies, delays and one store outage.
	allFaults faultMix = iota
	// pausedOwners delays half of the store writes by up to 4 s. No call of a
	// partition owner is lost.
	pausedOwners
	// lateReplies delays 5 of 12 replies of partition owners by up to 3 s.
	lateReplies
	numberOfFaultMixes
)

func faultMixOf(seed uint64) faultMix {
	return faultMix(seed) % numberOfFaultMixes
}

// storeFaults returns a function that picks the fault of each call of the store.
// With allFaults the store also has one outage.
func storeFaults(r *rand.Rand, mix faultMix) func(string) fault {
	down := time.Now().Add(randomDuration(r, 12*time.Second))
	up := down.Add(randomDuration(r, 5*time.Second))
	return func(call string) fault {
		f := fault{delayBefore: randomDuration(r, 20*time.Millisecond), delayAfter: randomDuration(r, 20*time.Millisecond)}
		if mix == pausedOwners && call == "put" && r.IntN(2) == 0 {
			f.delayBefore = randomDuration(r, 4*time.Second)
		}
		if mix != allFaults {
			return f
		}
		f.dropCall = time.Now().After(down) && time.Now().Before(up)
		switch n := r.IntN(100); {
		case n < 10:
			f.dropReply = true
		case n < 20 && call == "put":
			f.lateEffect = randomDuration(r, 4*time.Second)
		case n < 28:
			f.delayBefore = randomDuration(r, 4*time.Second)
		case n < 32:
			f.delayAfter = randomDuration(r, 4*time.Second)
		}
		return f
	}
}

// faultyServer loses and delays the calls of a server and their replies.
type faultyServer struct {
	Server
	mutation mutation
	faultMix faultMix
	mu       sync.Mutex
	random   *rand.Rand
}

func (f *faultyServer) Claim(ctx context.Context, r Request) (Claim, error) {
	c, err := f.forward(ctx, func(ctx context.Context) (Claim, error) { return f.Server.Claim(ctx, r) })
	var notGranted *NotGrantedError
	if f.mutation == ignoreValidity && errors.As(err, &notGranted) {
		notGranted.ValidUntil = time.Now().Add(time.Hour)
	}
	if f.mutation == notRunEarly && err != nil && notGranted == nil {
		err = &NotGrantedError{Key: r.Key, ValidUntil: time.Now().Add(time.Hour)}
	}
	return c, err
}

func (f *faultyServer) Settle(ctx context.Context, s Settlement) (Claim, error) {
	c, err := f.forward(ctx, func(ctx context.Context) (Claim, error) { return f.Server.Settle(ctx, s) })
	var early *TooEarlyError
	if f.mutation == ignoreValidity && err == nil {
		c.ValidUntil = time.Now().Add(time.Hour)
	}
	if f.mutation == ignoreHolders && errors.As(err, &early) {
		return Claim{Key: s.Key, Task: s.Task, Outcome: s.Outcome, ValidUntil: time.Now().Add(time.Hour)}, nil
	}
	return c, err
}

// serverReply is the result of a call of a [Server].
type serverReply struct {
	claim Claim
	err   error
}

// forward makes a call of the server. The call continues after ctx has ended.
func (f *faultyServer) forward(ctx context.Context, do func(context.Context) (Claim, error)) (Claim, error) {
	f.mu.Lock()
	lost, before, after := f.random.IntN(10), randomDuration(f.random, 20*time.Millisecond), randomDuration(f.random, 20*time.Millisecond)
	n := f.random.IntN(12)
	switch {
	case f.faultMix == pausedOwners:
		lost = -1
	case n == 0:
		before = randomDuration(f.random, 3*time.Second)
	case n == 1 || f.faultMix == lateReplies && n < 6:
		after = randomDuration(f.random, 3*time.Second)
	}
	f.mu.Unlock()
	replies := make(chan serverReply, 1)
	go func() {
		time.Sleep(before)
		if lost == 0 {
			replies <- serverReply{err: errors.New("request lost")}
			return
		}
		c, err := do(context.WithoutCancel(ctx))
		time.Sleep(after)
		if lost == 1 {
			err = errors.New("reply lost")
		}
		replies <- serverReply{claim: c, err: err}
	}()
	select {
	case r := <-replies:
		return r.claim, r.err
	case <-ctx.Done():
		return Claim{}, ctx.Err()
	}
}

// mutatedStore is a store that injects those mutations that concern a partition's
// use of the store.
type mutatedStore struct {
	lovagestand.Store
	mutation mutation
	// lastHead is the head that this instance last tried to write.
	lastHead head
}

func (s *mutatedStore) Put(ctx context.Context, key string, data []byte, previous lovagestand.Revision, lease lovagestand.LeaseID) (lovagestand.Revision, error) {
	s.lastHead, _ = decodeHead(lovagestand.Value{Data: data, Revision: 1})
	revision, err := s.Store.Put(ctx, key, data, previous, lease)
	var conflict *lovagestand.ConflictError
	if s.mutation == ignoreRevision && errors.As(err, &conflict) {
		return s.Store.Put(ctx, key, data, conflict.Found, lease)
	}
	var unavailable *lovagestand.UnavailableError
	if s.mutation == grantAmbiguous && errors.As(err, &unavailable) {
		return previous + 1, nil
	}
	return revision, err
}

func (s *mutatedStore) Get(ctx context.Context, key string) (lovagestand.Value, error) {
	v, err := s.Store.Get(ctx, key)
	if s.mutation == ignoreToken && err == nil {
		d, _ := decodeHead(v)
		d.Token = s.lastHead.Token
		d.Epoch = s.lastHead.Epoch
		v.Data, _ = encode(d)
	}
	return v, err
}

func (s *mutatedStore) List(ctx context.Context, prefix string) ([]lovagestand.Value, error) {
	values, err := s.Store.List(ctx, prefix)
	if s.mutation == skipLoading {
		for i := range values {
			d, _ := decodeHead(values[i])
			values[i].Data, _ = encode(head{Epoch: d.Epoch, Token: d.Token})
		}
	}
	return values, err
}

// fakeWorker is a worker that starts tasks and never removes its record of them.
type fakeWorker struct {
	mu     sync.Mutex
	starts []taskStart
	// refused contains the start messages that were refused. They are recorded
	// with the time at which the sender held the claim, so that the refusal of
	// one sender's message does not apply to those of another.
	refused map[taskStart]bool
}

// taskStart is the start of a task, or a refused start message.
type taskStart struct {
	key  lovagestand.RequestKey
	task lovagestand.TaskID
	// heldAt is when the sender held the claim, at is when the task started.
	heldAt, at time.Time
}

// start starts the task of a claim and reports whether the task has ever started.
// It refuses the start if refuse is set, if it refused the same message before,
// or if the start deadline has passed.
func (w *fakeWorker) start(c Claim, heldAt time.Time, refuse bool) (ran bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasStarted(c.Task) {
		return true
	}
	s := taskStart{key: c.Key, task: c.Task, heldAt: heldAt}
	if refuse || w.refused[s] || !time.Now().Before(c.StartBy) {
		w.refused[s] = true
		return false
	}
	s.at = time.Now()
	w.starts = append(w.starts, s)
	return true
}

func (w *fakeWorker) hasStarted(task lovagestand.TaskID) bool {
	for _, s := range w.starts {
		if s.task == task {
			return true
		}
	}
	return false
}
