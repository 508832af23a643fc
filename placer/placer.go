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

// MemberView is the part of the member list that a placer needs.
type MemberView interface {
	// Current returns the list as last read, and false if it has never been
	// read.
	Current() (lovagestand.Members, bool)
	// FirstReadAt returns when the list was first read; zero if it has never
	// been read.
	FirstReadAt() time.Time
	// DepartedWorkers returns the workers of a shard that have recently left
	// the list.
	DepartedWorkers(shard lovagestand.ShardName) []lovagestand.Worker
}

// Deps are the dependencies of a [Placer].
type Deps struct {
	Workers   lovagestand.Workers
	Members   MemberView
	Catalog   lovagestand.Catalog
	Ownership lovagestand.Ownership
	// HasWorkers reports whether an owned unit is a shard that has workers.
	// Ownership also covers units without workers, such as claim partitions. If
	// it is nil, all units have workers.
	HasWorkers func(shard lovagestand.ShardName) bool
	// Self is the instance that this placer belongs to.
	Self lovagestand.InstanceID
	// MayHaveRun reports whether this instance is handling a request for a caller,
	// or has an answer for it other than [lovagestand.OutcomeNotRun]. It may be
	// nil.
	MayHaveRun func(key lovagestand.RequestKey) bool
	// NewDecider returns an empty decider for a shard.
	NewDecider func(shard lovagestand.ShardName) lovagestand.Decider
	// MaxBodyBytes bounds the bodies of the requests without a final answer in all shards
	// together, besides small ones; 0 for no bound.
	MaxBodyBytes int64
	Log          zerolog.Logger
}

// Placer runs requests in the shards that an instance owns. It is safe for
// concurrent use.
type Placer struct {
	deps    Deps
	timings timings

	mu     sync.Mutex
	shards map[lovagestand.ShardName]*shard
	// settleTimes holds, for each shard that was closed here, the time at which
	// the last start that was sent is guaranteed to have taken effect or to be
	// too late to do so.
	settleTimes map[lovagestand.ShardName]time.Time
}

// New returns a placer that has no shards yet.
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

// Run opens and closes shards as ownership changes until ctx ends. It then
// closes all shards.
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

// sync opens a shard for each ownership lease in force, closes the shards whose
// lease has ended or belongs to another epoch, and refreshes the others.
func (p *Placer) sync(ctx context.Context) {
	now := time.Now()
	owned := make(map[lovagestand.ShardName]lovagestand.OwnershipLease)
	for _, n := range p.deps.Ownership.Owned() {
		if p.deps.HasWorkers != nil && !p.deps.HasWorkers(n) {
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

// shard returns the open shard with the given name, and false if it is not
// open.
func (p *Placer) shard(name lovagestand.ShardName) (*shard, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.shards[name]
	return s, ok
}

// openShards returns the open shards sorted by name.
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

// Digests returns the digests of the open shards that have been rebuilt, sorted
// by shard name.
func (p *Placer) Digests() []lovagestand.Digest {
	var digests []lovagestand.Digest
	for _, s := range p.openShards() {
		if d, ok := s.digest(time.Now()); ok {
			digests = append(digests, d)
		}
	}
	return digests
}

// Warm queries the workers of a shard until one of them replies, before this
// instance takes the shard over from an owner that still serves it. Workers
// that do not reply are logged. Warm fails only if the member list has not been
// read.
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
		p.deps.Log.Warn().Err(err).Str("worker", string(w.Name)).Msg("worker did not reply before the hand-over")
	}
	return nil
}

// Release stops a shard from placing tasks, waits until the outcome of every
// start in flight is known, and closes the shard. Calls that wait for a request
// in the shard return, so that their entries submit the request to the next
// owner. An error means that a start may still take effect.
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
