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
	// cellPrefix holds the owners and the layout, which all instances must
	// learn of at once; members change more often and may be known later.
	cellPrefix   = "cell/"
	ownerPrefix  = cellPrefix + "owner/"
	memberPrefix = "member/"
	// LayoutKey holds the layout of the cell.
	LayoutKey = cellPrefix + "layout"
	// memberWatchWait bounds one watch of the members.
	memberWatchWait = 5 * time.Second
	// readSpacingPerMember for each member is the least time between two readings of
	// the members, so that all instances together make 100 a second at most.
	readSpacingPerMember = 10 * time.Millisecond
	// cellWatchWait bounds one watch, so that a connection that has gone silent
	// hides changes for no longer.
	cellWatchWait = 2 * time.Second
	// refreshInterval is the least time between two refreshes: during a
	// takeover every call of every caller asks for one.
	refreshInterval = 100 * time.Millisecond
	// callTimeout bounds one call to the store beyond the time it may wait.
	callTimeout = time.Second
	// retryDelay spaces calls to a store that fails.
	retryDelay = 100 * time.Millisecond
)

// OwnerKey returns the key that the owner of a shard holds.
func OwnerKey(shard string) string { return ownerPrefix + shard }

// MemberKey returns the key under which an instance registers.
func MemberKey(id lovagestand.InstanceID) string { return memberPrefix + string(id) }

// Owner is the owner of a shard as the directory knows it.
type Owner struct {
	lovagestand.Instance
	Epoch lovagestand.Epoch
	// Lease is that of the ownership; 0 where it has none.
	Lease lovagestand.LeaseID
}

// Directory follows owners and members in the store. It is safe for
// concurrent use.
type Directory struct {
	keys lovagestand.Keyspace
	log  zerolog.Logger

	mu       sync.Mutex
	owners   map[string]Owner
	layout   layout.Layout
	revision lovagestand.Revision
	loaded   bool
	// members is nil until it has been read.
	members map[lovagestand.InstanceID]lovagestand.Instance
	// lastAnswered is when the store last answered.
	lastAnswered time.Time
	changed      chan struct{}
	refresh      chan struct{}
	// refreshedAt is when a refresh was last asked for.
	refreshedAt time.Time
}

// NewDirectory returns a directory that knows nothing until it runs.
func NewDirectory(keys lovagestand.Keyspace, log zerolog.Logger) *Directory {
	return &Directory{
		keys: keys, log: log, owners: map[string]Owner{},
		changed: make(chan struct{}), refresh: make(chan struct{}, 1),
	}
}

// Owner returns the owner of a shard; false if it has none, as far as known.
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

// Layout returns the layout of the cell; false while it is not known.
func (d *Directory) Layout() (layout.Layout, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.layout, d.layout.Valid()
}

// ShardsPerInstance returns how many shards each instance owns, one shard left out.
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

// Members returns the live instances, sorted by ID.
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

// unregistered reports whether the members are known and an instance is not among
// them.
func (d *Directory) unregistered(id lovagestand.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.members[id]
	return d.members != nil && !ok
}

// Loaded reports whether the directory has ever been read.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// OwnershipEnded reports whether the directory shows that the ownership of a shard with
// an epoch has ended.
func (d *Directory) OwnershipEnded(shard string, epoch lovagestand.Epoch) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if lovagestand.Epoch(d.revision) < epoch {
		return false
	}
	owner, owned := d.owners[shard]
	return !owned || owner.Epoch != epoch
}

// staleAfter is how long the store may be silent: a watch that ends without a
// change answers within its wait.
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

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Refresh asks for the directory to be read anew, because a caller has seen
// that it may be out of date. Callers ask again while that is so.
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

// Run follows the store until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	cell := Follower{
		Keys: d.keys, Prefix: cellPrefix, Wait: cellWatchWait, Refresh: d.refresh, Log: d.log,
		Reset: d.reset, Apply: d.apply, Heard: d.recordAnswer,
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

// applyLocked takes items; former are the owners known before a reading of all.
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

// setLayout takes the layout, which never changes again.
func (d *Directory) setLayout(i lovagestand.Item) {
	var l layout.Layout
	if d.layout.Valid() {
		return
	}
	if err := json.Unmarshal(i.Value, &l); err != nil || !l.Valid() {
		d.log.Error().Err(err).Str("key", i.Key).Int("shards", l.Shards).Msg("layout not understood")
		return
	}
	d.layout = l
	d.log.Info().Int("shards", l.Shards).Uint64("revision", uint64(i.Revision)).Msg("layout of the cell")
}

func (d *Directory) decodeInstance(i lovagestand.Item) (lovagestand.Instance, bool) {
	var instance lovagestand.Instance
	if err := json.Unmarshal(i.Value, &instance); err != nil {
		d.log.Warn().Err(err).Str("key", i.Key).Msg("directory entry not understood")
		return instance, false
	}
	return instance, true
}
