package placer

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
)

// MemberView is what a placer needs of the member list.
type MemberView interface {
	// Current returns the last reading and whether there has been one.
	Current() (lovagestand.Members, bool)
	// FirstReadAt returns when the first reading was made; zero if there was none.
	FirstReadAt() time.Time
	// DepartedWorkers returns the workers of a shard that have left the list lately.
	DepartedWorkers(shard lovagestand.ShardName) []lovagestand.Worker
}

// Deps are the things a [Placer] works with.
type Deps struct {
	Workers   lovagestand.Workers
	Members   MemberView
	Catalog   lovagestand.Catalog
	Ownership lovagestand.Ownership
	// Places reports whether an owned unit has workers to place on; nil stands
	// for all.
	Places func(shard lovagestand.ShardName) bool
	// Self is the instance this placer belongs to.
	Self lovagestand.InstanceID
	// Pursues reports whether this instance pursues a request for a caller, or
	// has an answer that says more than that it did not run; may be nil.
	Pursues func(key lovagestand.RequestKey) bool
	// NewDecider returns an empty decider for a shard.
	NewDecider func(shard lovagestand.ShardName) lovagestand.Decider
	Log        zerolog.Logger
}

// Placer holds the shards that an instance owns. It is safe for concurrent
// use.
type Placer struct {
	deps    Deps
	timings timings

	mu     sync.Mutex
	shards map[lovagestand.ShardName]*shard
	// settleTimes has, for each shard closed here, when the last start sent has
	// surely taken effect or is too late.
	settleTimes map[lovagestand.ShardName]time.Time
}

// New returns a placer without shards.
func New(deps Deps, options ...Option) *Placer {
	p := &Placer{
		deps:        deps,
		timings:     defaultTimings(),
		shards:      make(map[lovagestand.ShardName]*shard),
		settleTimes: make(map[lovagestand.ShardName]time.Time),
	}
	for _, o := range options {
		o(&p.timings)
	}
	return p
}

// Run opens and closes shards as ownership changes, until ctx ends. Then it
// closes all of them.
func (p *Placer) Run(ctx context.Context) {
	ticker := time.NewTicker(p.timings.membersInterval)
	defer ticker.Stop()
	defer p.closeAll()
	for {
		changed := p.deps.Ownership.Changed()
		p.sync(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// sync opens a shard for each right in force, closes those whose right has
// ended or moved to another epoch, and refreshes the others.
func (p *Placer) sync(ctx context.Context) {
	now := time.Now()
	owned := make(map[lovagestand.ShardName]lovagestand.OwnershipLease)
	for _, n := range p.deps.Ownership.Owned() {
		if p.deps.Places != nil && !p.deps.Places(n) {
			continue
		}
		lease, ok := p.deps.Ownership.Lease(n)
		if ok && lease.Valid(now) {
			owned[n] = lease
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, s := range p.shards {
		lease, ok := owned[n]
		if !ok || lease.Epoch != s.epoch {
			p.settleTimes[n] = s.close()
			delete(p.shards, n)
		}
	}
	for n, lease := range owned {
		s, ok := p.shards[n]
		if !ok {
			lease.SettleUntil = later(lease.SettleUntil, p.settleTimes[n])
			s = newShard(p.deps, p.timings, lease)
			p.shards[n] = s
			s.open(ctx)
			continue
		}
		s.refresh(now)
	}
}

func (p *Placer) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, s := range p.shards {
		s.close()
		delete(p.shards, n)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// shard returns an open shard whose right is in force.
func (p *Placer) shard(name lovagestand.ShardName) (*shard, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.shards[name]
	return s, ok
}

// openShards returns the open shards in the order of their names.
func (p *Placer) openShards() []*shard {
	p.mu.Lock()
	defer p.mu.Unlock()
	shards := make([]*shard, 0, len(p.shards))
	for _, s := range p.shards {
		shards = append(shards, s)
	}
	sort.Slice(shards, func(i, j int) bool { return shards[i].name < shards[j].name })
	return shards
}

// Digests returns a digest of each open shard, in the order of their names.
func (p *Placer) Digests() []lovagestand.Digest {
	var digests []lovagestand.Digest
	for _, s := range p.openShards() {
		if d, ok := s.digest(time.Now()); ok {
			digests = append(digests, d)
		}
	}
	return digests
}

// Warm checks that the workers of a shard can be reached, before this instance
// takes the shard over from another that still serves it.
func (p *Placer) Warm(ctx context.Context, name lovagestand.ShardName) error {
	members, ok := p.deps.Members.Current()
	if !ok {
		return errors.New("the member list has not been read")
	}
	for _, w := range members.Workers {
		if w.Shard() != name {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, p.timings.callTimeout)
		_, err := p.deps.Workers.State(limited, w.Address)
		cancel()
		if err == nil {
			return nil
		}
		p.deps.Log.Warn().Err(err).Str("worker", string(w.Name)).Msg("not reached before a hand-over")
	}
	return nil
}

// Release stops a shard from placing, waits until the starts in flight are
// settled and closes the shard. Requests that wait in it are given back to the
// entries that hold them. An error says that a start may still take effect.
func (p *Placer) Release(ctx context.Context, name lovagestand.ShardName) error {
	s, ok := p.shard(name)
	if !ok {
		return nil
	}
	return s.drain(ctx)
}

// Status returns the state of each open shard, for operators.
func (p *Placer) Status() []ShardStatus {
	var list []ShardStatus
	for _, s := range p.openShards() {
		list = append(list, s.status())
	}
	return list
}
