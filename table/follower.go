package table

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
)

// PullFunc asks a peer for the record it has in force if that is newer than a
// revision, and tells the peer of that revision. The data is empty where the
// peer has nothing newer; the revision is the peer's in any case.
type PullFunc func(ctx context.Context, peer lovagestand.Instance, after Revision) (Revision, []byte, error)

// Source says where a record came from.
type Source string

// The sources of a record.
const (
	SourceStore Source = "store"
	SourcePeer  Source = "peer"
)

// Status is what a follower reports of itself.
type Status struct {
	// Revision is 0 while no tables are in force.
	Revision Revision `json:"tablesRevision"`
	// Since is when the revision came into force here.
	Since  time.Time `json:"tablesSince"`
	Source Source    `json:"tablesSource"`
	// Refused counts values that were older than those in force, or no
	// tables at all.
	Refused uint64 `json:"tablesRefused"`
}

// Follower keeps the newest tables in force in one instance. They never go
// back, whatever the store or a peer answers. It is safe for concurrent use.
type Follower struct {
	store lovagestand.Store
	self  lovagestand.InstanceID
	peers func() []lovagestand.Instance
	pull  PullFunc
	log   zerolog.Logger

	mu      sync.Mutex
	record  Record
	data    []byte
	status  Status
	changed chan struct{}
	// newerPeers are peers that reported a newer revision than ours.
	newerPeers      map[lovagestand.InstanceID]peerRevision
	newerPeerSignal chan struct{}
	// announcements holds the last revision that came into force and that no peer was
	// told of.
	announcements chan Revision
}

// peerRevision is a revision that a peer says it has.
type peerRevision struct {
	peer     lovagestand.Instance
	revision Revision
}

// FollowerOption changes a [Follower] under construction.
type FollowerOption func(*Follower)

// WithPeers sets which other instances are told and asked, and how.
func WithPeers(self lovagestand.InstanceID, peers func() []lovagestand.Instance, pull PullFunc) FollowerOption {
	return func(f *Follower) { f.self, f.peers, f.pull = self, peers, pull }
}

// WithLogger sets where events are logged.
func WithLogger(log zerolog.Logger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// NewFollower returns a follower of the tables in a store. It has no tables
// before [Follower.Run] found some.
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

// Run follows the store and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { f.followPeers(ctx) })
	f.followStore(ctx)
	group.Wait()
	return ctx.Err()
}

// Current returns the tables in force; false while there are none, and then
// nothing may be admitted.
func (f *Follower) Current() (Tables, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Tables, f.record.Tables.revision > 0
}

// Changed returns a channel that is closed when other tables come into force.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Status returns which revision is in force and since when.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// Encoded returns the record in force as the store holds it; nil if none.
func (f *Follower) Encoded() (Revision, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status.Revision, f.data
}

// RecordPeerRevision notes the revision that a peer reports, as heartbeats carry it. Where
// it is newer than ours, the peer is asked for it.
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

// Offer takes a record from a peer and reports whether it came into force. A
// value that holds no sound tables fails and changes nothing.
func (f *Follower) Offer(data []byte) (bool, error) {
	return f.adopt(data, SourcePeer)
}

// adopt brings a record into force if it is newer.
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
