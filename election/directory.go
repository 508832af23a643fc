package election

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/layout"
)

const (
	// cellPrefix holds the owners and the layout, whose changes must reach all
	// instances at once. Members change more often, and their changes may arrive
	// later.
	cellPrefix   = "cell/"
	ownerPrefix  = cellPrefix + "owner/"
	memberPrefix = "member/"
	// LayoutKey holds the layout of the cell.
	LayoutKey = cellPrefix + "layout"
	// memberWatchWait is how long one watch of the members waits for a change.
	memberWatchWait = 5 * time.Second
	// readSpacingPerMember, multiplied by the number of members, is the least
	// time between two reads of the members, so that all instances together make
	// at most 100 reads a second.
	readSpacingPerMember = 10 * time.Millisecond
	// cellWatchWait is how long one watch of the owners and the layout waits for
	// a change. It is short because a connection that hangs hides all changes
	// until the watch times out.
	cellWatchWait = 2 * time.Second
	// refreshInterval is the least time between two refreshes: during a
	// takeover, every call of every caller requests one.
	refreshInterval = 100 * time.Millisecond
	// callTimeout bounds one call to the store. A read or a watch, whose reply may be
	// large, ends if nothing arrives for so long, or for so much longer than the watch
	// waits for a change.
	callTimeout = time.Second
	// retryDelay is the pause after a failed call to the store.
	retryDelay = 100 * time.Millisecond
)

// OwnerKey returns the key under which the owner of a shard is stored.
func OwnerKey(shard string) string { return ownerPrefix + shard }

// MemberKey returns the key under which an instance registers.
func MemberKey(id lovagestand.InstanceID) string { return memberPrefix + string(id) }

// Owner is the owner of a shard as last read from the store.
type Owner struct {
	lovagestand.Instance
	Epoch lovagestand.Epoch
	// Lease is the lease of the ownership, or 0 if it has none.
	Lease lovagestand.LeaseID
}

// Directory keeps a copy of the owners, the layout and the members that are
// recorded in the store. It is safe for concurrent use.
type Directory struct {
	keys lovagestand.Keyspace
	log  zerolog.Logger

	mu       sync.Mutex
	owners   map[string]Owner
	layout   layout.Layout
	revision lovagestand.Revision
	loaded   bool
	// members is nil until the members have been read.
	members map[lovagestand.InstanceID]lovagestand.Instance
	// lastAnswered is when the store last answered a read or watch of cellPrefix.
	lastAnswered time.Time
	changed      chan struct{}
	refresh      chan struct{}
	// refreshedAt is when a refresh was last requested.
	refreshedAt time.Time
}

// NewDirectory returns a directory that is empty until it runs.
func NewDirectory(keys lovagestand.Keyspace, log zerolog.Logger) *Directory {
	return &Directory{
		keys: keys, log: log, owners: map[string]Owner{},
		changed: make(chan struct{}), refresh: make(chan struct{}, 1),
	}
}

// Owner returns the owner of a shard, and false if the directory shows none.
func (d *Directory) Owner(shard string) (Owner, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o, ok := d.owners[shard]
	return o, ok
}

// Owners returns the owners of all shards.
func (d *Directory) Owners() map[string]Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.owners)
}

// Layout returns the layout of the cell, and false until it has been read.
func (d *Directory) Layout() (layout.Layout, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.layout, d.layout.Valid()
}

// ShardsPerInstance returns how many shards each instance owns, not counting the
// shard named by except.
func (d *Directory) ShardsPerInstance(except string) map[lovagestand.InstanceID]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := map[lovagestand.InstanceID]int{}
	for shard, o := range d.owners {
		if shard != except {
			counts[o.ID]++
		}
	}
	return counts
}

// Members returns the registered instances, sorted by ID.
func (d *Directory) Members() []lovagestand.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := slices.Sorted(maps.Keys(d.members))
	members := make([]lovagestand.Instance, len(ids))
	for i, id := range ids {
		members[i] = d.members[id]
	}
	return members
}

// HasMember reports whether an instance is registered.
func (d *Directory) HasMember(id lovagestand.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.members[id]
	return ok
}

// unregistered reports whether the members have been read and an instance is not
// among them.
func (d *Directory) unregistered(id lovagestand.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.members[id]
	return d.members != nil && !ok
}

// Loaded reports whether the owners have been read at least once.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// OwnershipEnded reports whether the directory shows that the ownership of a
// shard with the given epoch has ended. A directory that is older than the
// ownership does not show its end.
func (d *Directory) OwnershipEnded(shard string, epoch lovagestand.Epoch) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if lovagestand.Epoch(d.revision) < epoch {
		return false
	}
	owner, owned := d.owners[shard]
	return !owned || owner.Epoch != epoch
}

// staleAfter is how long the store may leave the directory without an answer. A
// watch without a change is answered after cellWatchWait.
const staleAfter = cellWatchWait + 300*time.Millisecond

// Stale reports whether the store has not answered for too long.
func (d *Directory) Stale() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.lastAnswered) > staleAfter
}

func (d *Directory) recordAnswer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastAnswered = time.Now()
}

// Changed returns a channel that is closed at the next change of the owners or
// the layout, and when all of them have been read again.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Refresh requests that the owners and the layout be read again, because a caller
// has found that they may be out of date. A request within refreshInterval of the
// last one is dropped; callers repeat it while they find outdated entries.
func (d *Directory) Refresh() {
	d.mu.Lock()
	recent := time.Since(d.refreshedAt) < refreshInterval
	if !recent {
		d.refreshedAt = time.Now()
	}
	d.mu.Unlock()
	if recent {
		return
	}
	select {
	case d.refresh <- struct{}{}:
	default:
	}
}

// Run follows the changes in the store until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	cell := Follower{
		Keys: d.keys, Prefix: cellPrefix, Wait: cellWatchWait, Refresh: d.refresh, Log: d.log,
		Reset: d.reset, Apply: d.apply, OnAnswer: d.recordAnswer,
	}
	members := Follower{
		Keys: d.keys, Prefix: memberPrefix, Wait: memberWatchWait, Log: d.log, Reset: d.resetMembers, Apply: d.applyMembers, Spacing: d.memberReadSpacing,
	}
	var following sync.WaitGroup
	following.Go(func() { cell.Run(ctx) })
	following.Go(func() { members.Run(ctx) })
	following.Wait()
}

func (d *Directory) memberReadSpacing() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(len(d.members)) * readSpacingPerMember
}

func (d *Directory) resetMembers(items []lovagestand.Item, revision lovagestand.Revision) {
	d.mu.Lock()
	d.members = map[lovagestand.InstanceID]lovagestand.Instance{}
	d.mu.Unlock()
	d.applyMembers(items, revision)
}

func (d *Directory) applyMembers(items []lovagestand.Item, _ lovagestand.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range items {
		id := lovagestand.InstanceID(strings.TrimPrefix(i.Key, memberPrefix))
		if i.Deleted {
			delete(d.members, id)
			continue
		}
		if instance, ok := d.decodeInstance(i); ok {
			d.members[id] = instance
		}
	}
}

func (d *Directory) reset(items []lovagestand.Item, revision lovagestand.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return
	}
	former := d.owners
	d.owners = map[string]Owner{}
	d.loaded = true
	d.applyLocked(items, revision, former)
}

func (d *Directory) apply(items []lovagestand.Item, revision lovagestand.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyLocked(items, revision, nil)
}

// applyLocked records items; the caller holds mu. After a full read, former holds
// the owners recorded before it, so that unchanged owners are not logged again.
func (d *Directory) applyLocked(items []lovagestand.Item, revision lovagestand.Revision, former map[string]Owner) {
	d.revision = revision
	for _, i := range items {
		d.setItem(i, former)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Directory) setItem(i lovagestand.Item, former map[string]Owner) {
	if i.Key == LayoutKey {
		d.setLayout(i)
		return
	}
	shard, ok := strings.CutPrefix(i.Key, ownerPrefix)
	if !ok {
		return
	}
	var instance lovagestand.Instance
	if i.Deleted {
		delete(d.owners, shard)
	} else {
		if instance, ok = d.decodeInstance(i); !ok {
			return
		}
		d.owners[shard] = Owner{Instance: instance, Epoch: lovagestand.Epoch(i.Revision), Lease: i.Lease}
	}
	if !i.Deleted && former[shard].Epoch == lovagestand.Epoch(i.Revision) {
		return
	}
	d.log.Info().Str("shard", shard).Str("owner", string(instance.ID)).Uint64("epoch", uint64(i.Revision)).Bool("vacant", i.Deleted).Msg("owner changed")
}

// setLayout records the layout, which never changes once it has been written.
func (d *Directory) setLayout(i lovagestand.Item) {
	var l layout.Layout
	if d.layout.Valid() {
		return
	}
	if err := json.Unmarshal(i.Value, &l); err != nil || !l.Valid() {
		d.log.Error().Err(err).Str("key", i.Key).Int("shards", l.Shards).Msg("layout cannot be decoded or is invalid")
		return
	}
	d.layout = l
	d.log.Info().Int("shards", l.Shards).Uint64("revision", uint64(i.Revision)).Msg("layout of the cell loaded")
}

func (d *Directory) decodeInstance(i lovagestand.Item) (lovagestand.Instance, bool) {
	var instance lovagestand.Instance
	if err := json.Unmarshal(i.Value, &instance); err != nil {
		d.log.Warn().Err(err).Str("key", i.Key).Msg("directory entry cannot be decoded")
		return instance, false
	}
	return instance, true
}
