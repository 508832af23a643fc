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

// watchedCell is a cell whose instances watch each other over links that can be
// cut.
type watchedCell struct {
	*cell
	keys *keyspace.Store

	mu         sync.Mutex
	cut        map[lovagestand.InstanceID]bool
	poweredOff map[lovagestand.InstanceID]bool
	detectors  map[lovagestand.InstanceID]*election.Detector
	stop       func()
}

// unreachable reports whether two instances cannot reach each other.
func (w *watchedCell) unreachable(a, b lovagestand.InstanceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.poweredOff[a] || w.poweredOff[b] || w.cut[a] || w.cut[b]
}

// powerOff cuts the links of an instance to the store and to the other instances;
// cutLinks cuts only those to the other instances.
func (w *watchedCell) powerOff(id lovagestand.InstanceID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.poweredOff[id] = true
}

func (w *watchedCell) cutLinks(id lovagestand.InstanceID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[id] = true
}

func newWatchedCell(instances int) *watchedCell {
	w := &watchedCell{
		cell: newCell(), keys: keyspace.New(), cut: map[lovagestand.InstanceID]bool{}, poweredOff: map[lovagestand.InstanceID]bool{},
		detectors: map[lovagestand.InstanceID]*election.Detector{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range instances {
		self := lovagestand.Instance{ID: lovagestand.InstanceID(fmt.Sprint("i", i)), Region: "r", Processors: 1}
		keys := storeLink{Keyspace: w.keys, cut: func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.poweredOff[self.ID] }}
		directory := election.NewDirectory(keys, zerolog.Nop())
		candidate := &election.Candidate{
			Shard: "0", Self: self, Keys: keys, Directory: directory, Log: zerolog.Nop(),
			Serve: func(ctx context.Context, term jobstore.Term, _ func() bool) {
				w.cell.mu.Lock()
				w.cell.owners[term.Epoch], w.cell.current = self.ID, self.ID
				w.cell.mu.Unlock()
				<-ctx.Done()
			},
		}
		detector := &election.Detector{
			Shard: "0", Self: self, Directory: directory, Log: zerolog.Nop(), Depose: candidate.Depose,
			Ping: func(ctx context.Context, owner election.Owner) error {
				if w.unreachable(self.ID, owner.ID) {
					<-ctx.Done()
				}
				return ctx.Err()
			},
			AskSuspects: func(ctx context.Context, other lovagestand.Instance, epoch lovagestand.Epoch) (bool, error) {
				if w.unreachable(self.ID, other.ID) {
					<-ctx.Done()
					return false, ctx.Err()
				}
				return w.detectors[other.ID].Suspects(epoch), nil
			},
		}
		w.detectors[self.ID] = detector
		running.Go(func() { directory.Run(ctx) })
		running.Go(func() { election.Register(ctx, keys, directory, self, zerolog.Nop()) })
		running.Go(func() { candidate.Run(ctx) })
		running.Go(func() { detector.Run(ctx) })
	}
	w.stop = func() { cancel(); running.Wait() }
	return w
}

// TestUnresponsiveOwnerIsReplacedBeforeItsLeaseEnds has the owner lose power. Its
// connections hang, and its lease would expire only after more than a second.
func TestUnresponsiveOwnerIsReplacedBeforeItsLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWatchedCell(5)
		defer w.stop()
		time.Sleep(10 * time.Second)
		former, _ := w.owner()
		w.powerOff(former)
		time.Sleep(900 * time.Millisecond)
		owner, terms := w.owner()
		c.Assert(owner, qt.Not(qt.Equals), former)
		c.Assert(terms, qt.Equals, 2)
	})
}

// TestCutOffWatcherDoesNotDeposeTheOwner cuts a member off from the other
// instances: it suspects the owner, but no other watcher does.
func TestCutOffWatcherDoesNotDeposeTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWatchedCell(5)
		defer w.stop()
		time.Sleep(10 * time.Second)
		owner, _ := w.owner()
		for id := range w.detectors {
			if id != owner {
				w.cutLinks(id)
				break
			}
		}
		time.Sleep(5 * time.Second)
		_, terms := w.owner()
		c.Assert(terms, qt.Equals, 1)
	})
}
