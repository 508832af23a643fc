package table

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
)

// PullFunc requests the record in force at a peer, provided that it is newer than
// after. It also reports after to the peer as the revision in force here. It
// returns the revision in force at the peer, and the encoded record, which is
// empty unless it is newer than after.
type PullFunc func(ctx context.Context, peer lovagestand.Instance, after Revision) (Revision, []byte, error)

// Source is where a record came from.
type Source string

// The sources of a record.
const (
	SourceStore Source = "store"
	SourcePeer  Source = "peer"
)

// Status is the state that a [Follower] reports to operators.
type Status struct {
	// Revision is 0 while no tables are in force.
	Revision Revision `json:"tablesRevision"`
	// Since is when the revision came into force in this instance.
	Since  time.Time `json:"tablesSince"`
	Source Source    `json:"tablesSource"`
	// Refused counts the records received that were older than the one in
	// force or could not be decoded.
	Refused uint64 `json:"tablesRefused"`
}

// Follower keeps the newest tables in force in one instance. It receives them from
// the store, and from peers while the store is slow or unavailable. The revision
// in force never decreases, whatever the store or a peer returns. A Follower is
// safe for concurrent use.
type Follower struct {
	store lovagestand.Store
	self  lovagestand.InstanceID
	peers func() []lovagestand.Instance
	pull  PullFunc
	log   zerolog.Logger

	mu     sync.Mutex
	record Record
	// data is the record as it is stored.
	data   []byte
	status Status
	// changed is closed and replaced when other tables come into force.
	changed chan struct{}
	// newerPeers are the peers that reported a newer revision than the one in
	// force here. newerPeerSignal wakes the loop that pulls from them.
	newerPeers      map[lovagestand.InstanceID]peerRevision
	newerPeerSignal chan struct{}
	// announcements holds the newest revision in force until it is announced to
	// peers.
	announcements chan Revision
}

// peerRevision is the revision that a peer last reported.
type peerRevision struct {
	peer     lovagestand.Instance
	revision Revision
}

// FollowerOption configures a [Follower].
type FollowerOption func(*Follower)

// WithPeers sets the identifier of this instance, the function that returns its
// peers, and the function that pulls records from them. Without it, the follower
// uses the store only.
func WithPeers(self lovagestand.InstanceID, peers func() []lovagestand.Instance, pull PullFunc) FollowerOption {
	return func(f *Follower) { f.self, f.peers, f.pull = self, peers, pull }
}

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// NewFollower returns a [Follower] of the tables in a store. No tables are in
// force until [Follower.Run] or [Follower.Offer] receives some.
func NewFollower(store lovagestand.Store, options ...FollowerOption) *Follower {
	f := &Follower{
		store:           store,
		peers:           func() []lovagestand.Instance { return nil },
		log:             zerolog.Nop(),
		changed:         make(chan struct{}),
		newerPeers:      map[lovagestand.InstanceID]peerRevision{},
		newerPeerSignal: make(chan struct{}, 1),
		announcements:   make(chan Revision, 1),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Run follows the store and the peers until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { f.followPeers(ctx) })
	f.followStore(ctx)
	group.Wait()
	return ctx.Err()
}

// Current returns the tables in force. It returns false while there are none; no
// request may be admitted until then.
func (f *Follower) Current() (Tables, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Tables, f.record.Tables.revision > 0
}

// Changed returns a channel that is closed when a newer revision comes into force.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Status returns the state of the follower.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// Encoded returns the revision in force and its record as it is stored. It returns
// 0 and nil while no tables are in force.
func (f *Follower) Encoded() (Revision, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status.Revision, f.data
}

// RecordPeerRevision records the revision in force at a peer, which heartbeats
// carry. If it is newer than the one in force here, the record is pulled from the
// peer.
func (f *Follower) RecordPeerRevision(peer lovagestand.Instance, revision Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.status.Revision || peer.ID == f.self {
		return
	}
	if _, known := f.newerPeers[peer.ID]; !known && len(f.newerPeers) >= maxNewerPeers {
		return
	}
	f.newerPeers[peer.ID] = peerRevision{peer, revision}
	select {
	case f.newerPeerSignal <- struct{}{}:
	default:
	}
}

// Offer passes in a record received from a peer and reports whether it came into
// force. It fails if data is not a valid record.
func (f *Follower) Offer(data []byte) (bool, error) {
	return f.adopt(data, SourcePeer)
}

// adopt puts a record in force if it is valid and newer than the current one, and
// reports whether it did.
func (f *Follower) adopt(data []byte, from Source) (bool, error) {
	record, err := DecodeRecord(data)
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := record.Tables.revision
	if err != nil {
		f.status.Refused++
		f.log.Warn().Str("source", string(from)).Err(err).Msg("tables refused")
		return false, err
	}
	if revision <= f.status.Revision {
		if revision < f.status.Revision {
			f.status.Refused++
		}
		return false, nil
	}
	f.record, f.data = record, data
	f.status = Status{Revision: revision, Since: time.Now(), Source: from, Refused: f.status.Refused}
	for id, c := range f.newerPeers {
		if c.revision <= revision {
			delete(f.newerPeers, id)
		}
	}
	f.scheduleAnnouncement(revision)
	close(f.changed)
	f.changed = make(chan struct{})
	f.log.Info().Uint64("revision", uint64(revision)).Str("source", string(from)).Msg("tables in force")
	return true, nil
}
