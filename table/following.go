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

// Durations and limits of a follower.
const (
	// WatchWait is how long one watch waits at the store for a change. The call
	// is cancelled watchGrace later if the store has not answered.
	WatchWait  = 30 * time.Second
	watchGrace = 5 * time.Second
	// minWatchPause is the pause after a watch that returned no newer tables. It
	// limits the rate of calls if the key changes without becoming newer.
	minWatchPause = 100 * time.Millisecond
	// minWatchBackoff is the delay after the first failed watch. maxBackoff is
	// the maximum delay between retries of a watch or of an edit.
	minWatchBackoff = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
	// PullDelay is how long the follower waits for the store before it pulls a
	// newer revision from a peer, or announces one to peers.
	PullDelay = 250 * time.Millisecond
	// pullTimeout is the timeout of the calls to peers.
	pullTimeout = 2 * time.Second
	// queryPeriod is the time between two queries of all peers while no tables
	// are in force.
	queryPeriod = 500 * time.Millisecond
	// compareEvery is the number of query periods between two comparisons of
	// the revision in force with that of one peer.
	compareEvery = 10
	// announcePeers is the number of peers to which a new revision is announced.
	announcePeers = 3
	// maxNewerPeers is the maximum number of peers recorded as having a newer
	// revision.
	maxNewerPeers = 8
)

// followStore watches the store key of the newest record until ctx is done.
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

// adoptFromStore reports whether a value read from the store came into force.
func (f *Follower) adoptFromStore(value lovagestand.Value) bool {
	newer, err := f.adopt(value.Data, SourceStore)
	return newer && err == nil
}

func (f *Follower) watch(ctx context.Context, after lovagestand.Revision) (lovagestand.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchWait+watchGrace)
	defer cancel()
	return f.store.Watch(ctx, CurrentKey, after, WatchWait)
}

// followPeers pulls from peers that have a newer revision, announces new revisions
// to peers, and queries peers at regular intervals.
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

// pullNewest pulls from the peer with the newest reported revision. The peer is
// then removed from newerPeers even if the pull failed. It is added again when it
// next reports a newer revision.
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

// newestPeer returns the peer with the newest reported revision, and false if that
// is not newer than the one in force here.
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
	_, _ = f.adopt(data, SourcePeer) // adopt counts and logs an invalid record
}

// scheduleAnnouncement queues a revision to be announced to peers. It replaces an
// older revision that is still queued. The caller must hold f.mu, so that the send
// never blocks.
func (f *Follower) scheduleAnnouncement(revision Revision) {
	select {
	case <-f.announcements:
	default:
	}
	f.announcements <- revision
}

// comparePeers queries all peers while no tables are in force. Afterwards it
// compares revisions with one peer in every compareEvery ticks.
func (f *Follower) comparePeers(ctx context.Context, tick int) {
	tables, found := f.Current()
	if !found {
		f.queryAllPeers(ctx)
	} else if tick%compareEvery == 0 {
		f.announce(ctx, tables.revision, tick, 1)
	}
}

// announce reports a revision to count peers and records the revisions that they
// return. In this way, the revision reaches peers that cannot read the store. The
// peers are chosen by a hash, so that they vary with the revision, the announcing
// instance and the salt.
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

// queryAllPeers requests the revision in force at every peer and records the
// replies, so that the newest one is pulled next. The calls pass the largest
// possible revision, for which peers return no record and which they do not record
// as the revision in force here.
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
