package table

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

// Times and bounds of a follower.
const (
	// WatchWait is how long one watch of the store waits; the watch is given
	// up watchGrace later.
	WatchWait  = 30 * time.Second
	watchGrace = 5 * time.Second
	// minWatchPause spaces the watches of a key whose values are not newer.
	minWatchPause = 100 * time.Millisecond
	// minWatchBackoff and maxRetry bound the pause after a failed store call.
	minWatchBackoff = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
	// PullDelay is how long the store may take to bring what a peer has.
	PullDelay = 250 * time.Millisecond
	// pullTimeout bounds one call to a peer.
	pullTimeout = 2 * time.Second
	// queryPeriod is how often peers are asked while no tables are in force.
	queryPeriod = 500 * time.Millisecond
	// compareEvery is how often an instance compares revisions with a peer, in
	// asking periods.
	compareEvery = 10
	// announcePeers is how many peers an instance tells of a new revision.
	announcePeers = 3
	// maxNewerPeers bounds how many peers are remembered to be ahead.
	maxNewerPeers = 8
)

// followStore keeps one watch waiting at the store.
func (f *Follower) followStore(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minWatchBackoff, maxBackoff
	after := lovagestand.Revision(0)
	for ctx.Err() == nil {
		value, err := f.watch(ctx, after)
		if err != nil {
			pause.For(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		changed := value.Revision != after
		after = value.Revision
		if !changed || value.Revision == 0 || !f.adoptFromStore(value) {
			pause.For(ctx, minWatchPause)
		}
	}
}

// adoptFromStore reports whether a value of the store came into force.
func (f *Follower) adoptFromStore(value lovagestand.Value) bool {
	newer, err := f.adopt(value.Data, SourceStore)
	return newer && err == nil
}

func (f *Follower) watch(ctx context.Context, after lovagestand.Revision) (lovagestand.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchWait+watchGrace)
	defer cancel()
	return f.store.Watch(ctx, CurrentKey, after, WatchWait)
}

// followPeers pulls from peers that are ahead, and asks all of them while no
// tables are in force.
func (f *Follower) followPeers(ctx context.Context) {
	if f.pull == nil {
		return
	}
	ticker := time.NewTicker(queryPeriod)
	defer ticker.Stop()
	for tick := 1; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-f.newerPeerSignal:
			pause.For(ctx, PullDelay)
			f.pullNewest(ctx)
		case revision := <-f.announcements:
			pause.For(ctx, PullDelay)
			f.announce(ctx, revision, 0, announcePeers)
		case <-ticker.C:
			f.comparePeers(ctx, tick)
			f.pullNewest(ctx)
			tick++
		}
	}
}

// pullNewest pulls from the peer that is furthest ahead. A peer that does
// not keep its word is forgotten until it is heard again.
func (f *Follower) pullNewest(ctx context.Context) {
	best, found := f.newestPeer()
	if !found {
		return
	}
	f.pullFrom(ctx, best.peer)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.newerPeers, best.peer.ID)
}

func (f *Follower) newestPeer() (peerRevision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best peerRevision
	for _, c := range f.newerPeers {
		if c.revision > best.revision || (c.revision == best.revision && c.peer.ID < best.peer.ID) {
			best = c
		}
	}
	return best, best.revision > f.status.Revision
}

func (f *Follower) pullFrom(ctx context.Context, peer lovagestand.Instance) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	_, data, err := f.pull(ctx, peer, f.Status().Revision)
	if err != nil || len(data) == 0 {
		return
	}
	_, _ = f.adopt(data, SourcePeer) // a refusal is counted and logged there
}

// scheduleAnnouncement has peers told of a revision; an older one need not be told.
func (f *Follower) scheduleAnnouncement(revision Revision) {
	select {
	case <-f.announcements:
	default:
	}
	f.announcements <- revision
}

// comparePeers asks all peers while no tables are in force, and now and then one
// peer afterwards.
func (f *Follower) comparePeers(ctx context.Context, tick int) {
	tables, found := f.Current()
	if !found {
		f.queryAllPeers(ctx)
	} else if tick%compareEvery == 0 {
		f.announce(ctx, tables.revision, tick, 1)
	}
}

// announce tells a few peers of a revision, others for each revision, teller and
// salt, so that it reaches those that the store does not. What they answer is
// noted.
func (f *Follower) announce(ctx context.Context, revision Revision, salt, count int) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	peers := slices.Clone(f.peers())
	rank := func(peer lovagestand.Instance) uint64 {
		return xxhash.Sum64String(fmt.Sprint(f.self, "/", peer.ID, "/", revision, "/", salt))
	}
	slices.SortFunc(peers, func(a, b lovagestand.Instance) int { return cmp.Compare(rank(a), rank(b)) })
	var group sync.WaitGroup
	for _, peer := range peers[:min(count, len(peers))] {
		group.Go(func() {
			if theirs, _, err := f.pull(ctx, peer, revision); err == nil {
				f.RecordPeerRevision(peer, theirs)
			}
		})
	}
	group.Wait()
}

// queryAllPeers asks every peer which revision it has and notes the answers, so that
// the newest one is pulled.
func (f *Follower) queryAllPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, peer := range f.peers() {
		group.Go(func() {
			revision, _, err := f.pull(ctx, peer, math.MaxUint64)
			if err == nil {
				f.RecordPeerRevision(peer, revision)
			}
		})
	}
	group.Wait()
}
