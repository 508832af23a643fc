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
	// pingInterval is the time between two pings of an owner by a watcher. A
	// ping is sent whether or not the previous one has been answered.
	pingInterval = 120 * time.Millisecond
	// pingTimeout bounds one ping. It allows for a round trip to another region
	// and for a pause of a machine whose processor time is allotted in periods
	// of a tenth of a second.
	pingTimeout = 250 * time.Millisecond
	// suspectAfter is how long an owner must have been unresponsive, and
	// suspectPings how many pings it must have left unanswered, for a watcher to
	// suspect that it has failed. If the watcher itself pauses, the pings that
	// are under way fail, at most three.
	suspectAfter = 400 * time.Millisecond
	suspectPings = 2
	// agreeTimeout bounds the call that asks the other watchers whether they
	// suspect the owner too.
	agreeTimeout = 200 * time.Millisecond
	// watchersPerOwner is how many instances watch one owner. One of them may
	// fail together with the owner; the other two can still depose it.
	watchersPerOwner = 3
	// newOwnerGrace is how long a watcher does not suspect a new owner.
	newOwnerGrace = 2 * time.Second
	// idleInterval is the time between checks of whether this instance has to
	// watch the owner, while it does not.
	idleInterval = time.Second
)

// Detector detects that the owner of a shard has become unresponsive, sooner than
// the owner's lease expires. An owner that two of its watchers suspect is
// deposed. If it is alive after all, the epoch of the next owner fences it.
type Detector struct {
	Shard     string
	Self      lovagestand.Instance
	Directory *Directory
	Log       zerolog.Logger
	// Ping calls the owner's process and returns nil if it answers.
	Ping func(ctx context.Context, owner Owner) error
	// AskSuspects asks another watcher whether it suspects the owner too.
	AskSuspects func(ctx context.Context, watcher lovagestand.Instance, epoch lovagestand.Epoch) (bool, error)
	// Depose ends the ownership with the given epoch.
	Depose func(epoch lovagestand.Epoch)

	mu sync.Mutex
	// watchedEpoch is the ownership that this instance watches, since
	// watchedSince. lastAnswered is when the last ping that the owner answered
	// was sent; missedPings counts the pings that have failed since.
	watchedEpoch               lovagestand.Epoch
	watchedSince, lastAnswered time.Time
	missedPings                int
}

// rankHash returns the value by which instances are ordered for a shard. The
// order differs from shard to shard.
func rankHash(shard string, id lovagestand.InstanceID) uint64 {
	return xxhash.Sum64String(shard + "/" + string(id))
}

// Run watches the owner of the shard, whenever this instance is one of its
// watchers, until ctx ends.
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
			d.Log.Warn().Str("shard", d.Shard).Str("owner", string(owner.ID)).Uint64("epoch", uint64(owner.Epoch)).Msg("owner unresponsive to two watchers")
			d.Depose(owner.Epoch)
		}
	}
}

// assignment returns the owner and its other watchers, and reports whether this
// instance is a watcher itself. The watchers are in the owner's region if at
// least two other members are there, so that a region that is cut off from the
// rest keeps its owner.
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

// startWatching starts to watch an ownership unless it is being watched already.
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
		// This instance now watches another ownership, or the owner has already
		// answered a later ping.
	case err == nil:
		d.lastAnswered, d.missedPings = sent, 0
	default:
		d.missedPings++
	}
}

// Suspects reports whether this instance watches the ownership with the given
// epoch and the owner has been unresponsive for too long.
func (d *Detector) Suspects(epoch lovagestand.Epoch) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.watchedEpoch == epoch && now.Sub(d.watchedSince) > newOwnerGrace && now.Sub(d.lastAnswered) > suspectAfter && d.missedPings >= suspectPings
}

// anotherWatcherAgrees reports whether another watcher suspects the owner too.
func (d *Detector) anotherWatcherAgrees(ctx context.Context, others []lovagestand.Instance, epoch lovagestand.Epoch) bool {
	limited, cancel := context.WithTimeout(ctx, agreeTimeout)
	defer cancel()
	answers := make(chan bool, len(others))
	for _, m := range others {
		go func() {
			suspects, err := d.AskSuspects(limited, m, epoch)
			answers <- err == nil && suspects
		}()
	}
	for range others {
		if <-answers {
			return true
		}
	}
	return false
}
