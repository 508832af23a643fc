package election

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

const (
	// pingInterval spaces a watcher's pings of an owner, which do not wait for
	// each other.
	pingInterval = 120 * time.Millisecond
	// pingTimeout bounds one ping: a round trip to another region and a pause
	// of a machine whose processor time is given out in tenths of a second.
	pingTimeout = 250 * time.Millisecond
	// suspectAfter is how long, and silentPings how many pings, an owner must
	// be silent to be missed by a watcher: a pause of the watcher itself costs
	// those that are under way, at most three.
	suspectAfter = 400 * time.Millisecond
	suspectPings = 2
	// agreeTimeout bounds the question whether another watcher misses it too.
	agreeTimeout = 200 * time.Millisecond
	// watchersPerOwner is how many instances watch one owner: one may be lost with it.
	watchersPerOwner = 3
	// newOwnerGrace is how long a new owner is left alone.
	newOwnerGrace = 2 * time.Second
	// idleInterval spaces looks at whether to watch.
	idleInterval = time.Second
)

// Detector notices that the owner of a shard has fallen silent, sooner than
// its lease ends. An owner that two of its watchers miss is deposed; if it
// lives after all, the epoch of the next one locks it out.
type Detector struct {
	Shard     string
	Self      lovagestand.Instance
	Directory *Directory
	Log       zerolog.Logger
	// Ping returns nil if the owner's process answers.
	Ping func(ctx context.Context, owner Owner) error
	// Agrees asks another watcher whether it misses the owner too.
	Agrees func(ctx context.Context, watcher lovagestand.Instance, epoch lovagestand.Epoch) (bool, error)
	Depose func(epoch lovagestand.Epoch)

	mu sync.Mutex
	// watchedEpoch is the ownership that is watched since began; heard is when the
	// owner last answered, missed how many pings it has not answered since.
	watchedEpoch               lovagestand.Epoch
	watchedSince, lastAnswered time.Time
	missedPings                int
}

// rankHash orders instances for a shard; the order differs by shard.
func rankHash(shard string, id lovagestand.InstanceID) uint64 {
	return xxhash.Sum64String(shard + "/" + string(id))
}

// Run watches until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	interval := idleInterval
	for pause.For(ctx, interval) {
		owner, others, watching := d.assignment()
		if !watching {
			interval = idleInterval
			continue
		}
		interval = pingInterval
		d.startWatching(owner.Epoch)
		go d.ping(ctx, owner)
		if d.Suspects(owner.Epoch) && d.anotherWatcherAgrees(ctx, others, owner.Epoch) {
			d.Log.Warn().Str("shard", d.Shard).Str("owner", string(owner.ID)).Uint64("epoch", uint64(owner.Epoch)).Msg("owner is silent to two watchers")
			d.Depose(owner.Epoch)
		}
	}
}

// assignment returns the owner and its other watchers, if this instance is one
// of them. Watchers are of the owner's region where it has two others: a region
// that is cut off from the rest keeps its owner.
func (d *Detector) assignment() (Owner, []lovagestand.Instance, bool) {
	owner, owned := d.Directory.Owner(d.Shard)
	if !owned || owner.ID == d.Self.ID {
		return owner, nil, false
	}
	others := slices.DeleteFunc(d.Directory.Members(), func(m lovagestand.Instance) bool { return m.ID == owner.ID })
	sameRegion := slices.DeleteFunc(slices.Clone(others), func(m lovagestand.Instance) bool { return m.Region != owner.Region })
	if len(sameRegion) >= 2 {
		others = sameRegion
	}
	slices.SortFunc(others, func(a, b lovagestand.Instance) int {
		return cmp.Compare(rankHash(d.Shard, a.ID), rankHash(d.Shard, b.ID))
	})
	others = others[:min(watchersPerOwner, len(others))]
	self := slices.IndexFunc(others, func(m lovagestand.Instance) bool { return m.ID == d.Self.ID })
	if self < 0 {
		return owner, nil, false
	}
	return owner, slices.Delete(others, self, self+1), true
}

// startWatching starts to watch an ownership unless that is so already.
func (d *Detector) startWatching(epoch lovagestand.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watchedEpoch != epoch {
		now := time.Now()
		d.watchedEpoch, d.watchedSince, d.lastAnswered, d.missedPings = epoch, now, now, 0
	}
}

func (d *Detector) ping(ctx context.Context, owner Owner) {
	sent := time.Now()
	limited, cancel := context.WithTimeout(ctx, pingTimeout)
	err := d.Ping(limited, owner)
	cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.watchedEpoch != owner.Epoch || sent.Before(d.lastAnswered):
		// Another ownership, or a later ping was answered first.
	case err == nil:
		d.lastAnswered, d.missedPings = sent, 0
	default:
		d.missedPings++
	}
}

// Suspects reports whether this instance watches the owner with an epoch and has
// not heard of it for too long.
func (d *Detector) Suspects(epoch lovagestand.Epoch) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.watchedEpoch == epoch && now.Sub(d.watchedSince) > newOwnerGrace && now.Sub(d.lastAnswered) > suspectAfter && d.missedPings >= suspectPings
}

// anotherWatcherAgrees reports whether another watcher misses the owner too.
func (d *Detector) anotherWatcherAgrees(ctx context.Context, others []lovagestand.Instance, epoch lovagestand.Epoch) bool {
	limited, cancel := context.WithTimeout(ctx, agreeTimeout)
	defer cancel()
	answers := make(chan bool, len(others))
	for _, m := range others {
		go func() {
			agrees, err := d.Agrees(limited, m, epoch)
			answers <- err == nil && agrees
		}()
	}
	for range others {
		if <-answers {
			return true
		}
	}
	return false
}
