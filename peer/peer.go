package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/owner"
)

const (
	defaultWatchWait    = time.Minute
	defaultPollInterval = 3 * time.Second
	// callTimeout bounds one call to a peer, the store or the member list. A
	// watch of the store has this much time on top of its wait.
	callTimeout = time.Second
	// heartbeatsPerDigest is how many heartbeats are sent for each one that
	// carries digests.
	heartbeatsPerDigest = 2
	// memberListInterval is the time between two reads of the member list.
	memberListInterval = time.Second
)

// Peer connects one instance to its peers and to the platform. It implements
// [lovagestand.Ownership].
type Peer struct {
	self    lovagestand.Instance
	store   lovagestand.Store
	members lovagestand.MemberList

	timing       owner.Timing
	hooks        Hooks
	units        func(lovagestand.Members) []owner.Unit
	client       *http.Client
	log          zerolog.Logger
	watchWait    time.Duration
	pollInterval time.Duration

	// ctx is the context of work that outlives the call that starts it. It ends
	// when Run ends.
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// closeMu guards closed, which is set before Run waits for running, so that
	// no goroutine is added from then on.
	closeMu sync.Mutex
	closed  bool

	counters  Counters
	hookLocks shardHookLocks

	// mu guards the fields below.
	mu              sync.RWMutex
	node            *owner.Node
	notifiedVersion uint64
	changed         chan struct{}
	leaving         bool
	watches         map[lovagestand.RegionName]context.CancelFunc
	clients         map[string]Peers
	digests         map[lovagestand.ShardName]DigestView
	remoteOwners    map[lovagestand.RegionName]remoteOwners
	// unsentDigests are the digests of this instance's own shards that no
	// heartbeat has carried yet.
	unsentDigests   []*ShardDigest
	revisionReports map[lovagestand.InstanceID]revisionReport
	digestFunc      func() []lovagestand.Digest
	revisionFunc    func() uint64
}

var _ lovagestand.Ownership = (*Peer)(nil)

// New returns a peer that does nothing until [Peer.Run] is called.
func New(self lovagestand.Instance, store lovagestand.Store, members lovagestand.MemberList, options ...Option) *Peer {
	p := &Peer{
		self:            self,
		store:           store,
		members:         members,
		timing:          owner.DefaultTiming(),
		units:           WorkerUnits,
		client:          http.DefaultClient,
		log:             zerolog.Nop(),
		watchWait:       defaultWatchWait,
		pollInterval:    defaultPollInterval,
		changed:         make(chan struct{}),
		watches:         map[lovagestand.RegionName]context.CancelFunc{},
		clients:         map[string]Peers{},
		digests:         map[lovagestand.ShardName]DigestView{},
		remoteOwners:    map[lovagestand.RegionName]remoteOwners{},
		revisionReports: map[lovagestand.InstanceID]revisionReport{},
		digestFunc:      func() []lovagestand.Digest { return nil },
		revisionFunc:    func() uint64 { return 0 },
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	for _, o := range options {
		o(p)
	}
	p.node = owner.NewNode(time.Now(), self, p.timing)
	return p
}

// Run takes part in the exchange of heartbeats and in the ownership of shards
// until ctx ends. It returns when all goroutines of the peer have ended.
func (p *Peer) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, p.cancel)()
	p.refreshMembers()
	p.spawn(func() { p.every(memberListInterval, p.refreshMembers) })
	p.spawn(func() { p.every(p.pollInterval, p.pollRegions) })
	p.spawn(func() { p.every(heartbeatsPerDigest*p.timing.Heartbeat, p.refreshDigests) })
	p.every(p.timing.Heartbeat, p.heartbeat)
	p.cancel()
	p.closeMu.Lock()
	p.closed = true
	p.closeMu.Unlock()
	p.running.Wait()
}

// Lease implements [lovagestand.Ownership].
func (p *Peer) Lease(shard lovagestand.ShardName) (lovagestand.OwnershipLease, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.node.Lease(time.Now(), shard)
}

// Owned implements [lovagestand.Ownership].
func (p *Peer) Owned() []lovagestand.ShardName {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.node.Owned(time.Now())
}

// Owner implements [lovagestand.Ownership]. It returns the owner with the highest
// epoch among the entry of the state machine, the newest digest and, for a shard
// of another region, the reply to the last poll.
func (p *Peer) Owner(shard lovagestand.ShardName) (lovagestand.Instance, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	best, _ := p.node.Entry(shard)
	if d := p.digests[shard]; d.Epoch > best.Epoch {
		best.Owner, best.Epoch = d.Owner, d.Epoch
	}
	for _, remote := range p.remoteOwners {
		if e := remote.owners[shard]; e.Epoch > best.Epoch {
			best = e
		}
	}
	if best.Owner == "" {
		return lovagestand.Instance{}, false
	}
	return p.node.Instance(best.Owner)
}

// Changed implements [lovagestand.Ownership].
func (p *Peer) Changed() <-chan struct{} {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.changed
}

// LiveInstances returns the instances that are on the member list or have
// recently sent a message, including this one.
func (p *Peer) LiveInstances() []lovagestand.Instance {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.node.LiveInstances(time.Now())
}

// Entries returns the newest known ownership entries, for a dump.
func (p *Peer) Entries() []owner.Entry {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.node.Entries()
}

// Counters returns the counters. Their values continue to change.
func (p *Peer) Counters() *Counters {
	return &p.counters
}

// every calls f once per period until p.ctx ends.
func (p *Peer) every(period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// spawn runs f in a goroutine of its own, unless Run is ending.
func (p *Peer) spawn(f func()) {
	p.closeMu.Lock()
	defer p.closeMu.Unlock()
	if p.closed {
		return
	}
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		f()
	}()
}
