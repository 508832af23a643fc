package instance

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/claim"
	"lovagestand.example/lovagestand/claim/claimpb"
	"lovagestand.example/lovagestand/entry"
	"lovagestand.example/lovagestand/ingress"
	"lovagestand.example/lovagestand/limit"
	"lovagestand.example/lovagestand/member"
	"lovagestand.example/lovagestand/metrics"
	"lovagestand.example/lovagestand/peer"
	"lovagestand.example/lovagestand/placer"
	"lovagestand.example/lovagestand/pool"
	"lovagestand.example/lovagestand/quota"
	"lovagestand.example/lovagestand/settings"
	"lovagestand.example/lovagestand/table"
	"lovagestand.example/lovagestand/table/tablepeer"
)

// Instance is a scheduler instance. A process usually runs one, and may run several.
type Instance struct {
	settings settings.Settings
	deps     Deps
	id       lovagestand.InstanceID
	address  string
	started  time.Time
	leaving  atomic.Bool
	log      zerolog.Logger

	listener    net.Listener
	server      *http.Server
	connections *ingress.Connections
	bounds      bounds
	client      *http.Client

	metrics         *metrics.Metrics
	members         *member.Watcher
	follower        *table.Follower
	limiter         *limit.Limiter
	quotas          *quota.Manager
	ownership       *peer.Peer
	claimPartitions *claim.Partitions
	placer          *placer.Placer
	chooser         *chooser
	entry           *entry.Entry

	cancel   context.CancelFunc
	running  sync.WaitGroup
	serveErr chan error
}

// New returns an instance that already listens on its address but does nothing else
// before [Instance.Start]. It fails if it cannot listen or if no regions are set.
func New(config settings.Settings, deps Deps) (*Instance, error) {
	if deps.Listen == nil {
		deps.Listen = func() (net.Listener, error) { return net.Listen("tcp", config.Listen) }
	}
	if len(config.Regions) == 0 {
		return nil, errors.New("no regions are set")
	}
	listener, err := deps.Listen()
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	i := &Instance{
		settings: config,
		deps:     deps,
		id:       lovagestand.InstanceID(uuid.NewString()),
		address:  config.Address,
		started:  time.Now(),
		bounds:   newBounds(config),
		listener: listener,
		client:   &http.Client{Transport: deps.Transport},
		serveErr: make(chan error, 1),
	}
	if i.address == "" {
		i.address = listener.Addr().String()
	}
	i.log = deps.Log.With().Str("instance", string(i.id)).Logger()
	i.assemble()
	return i, nil
}

// assemble creates the parts of the instance and connects them.
func (i *Instance) assemble() {
	i.instrument()
	i.members = member.NewWatcher(i.deps.Members, i.Self, i.log)
	i.follower = table.NewFollower(i.deps.Store,
		table.WithPeers(i.id, i.listedPeers, tablepeer.Puller(i.client, i.Self())),
		table.WithLogger(i.log))
	i.limiter = limit.New(limit.WithLogger(i.log))
	i.quotas = quota.New(i.quotaDeps())
	tables := catalog{follower: i.follower, quotas: i.quotas}
	i.ownership = peer.New(i.Self(), i.deps.Store, i.members,
		peer.WithHooks(i.hooks()),
		peer.WithUnits(i.units),
		peer.WithClient(i.client),
		peer.WithLogger(i.log))
	i.placer = placer.New(placer.Deps{
		Workers:    i.deps.Workers,
		Members:    i.members,
		Catalog:    tables,
		Ownership:  i.ownership,
		HasWorkers: func(n lovagestand.ShardName) bool { return !strings.HasPrefix(string(n), peer.ClaimPrefix) },
		Self:       i.id,
		MayHaveRun: func(key lovagestand.RequestKey) bool { return i.entry.MayHaveRun(key) },
		NewDecider: func(n lovagestand.ShardName) lovagestand.Decider {
			return pool.New(n)
		},
		MaxBodyBytes: i.bounds.heldBytes,
		Log:          i.log,
	})
	i.ownership.SetDigestFunc(i.placer.Digests)
	i.ownership.SetRevisionFunc(func() uint64 { return uint64(i.follower.Status().Revision) })
	i.claimPartitions = claim.NewPartitions(i.deps.Store, i.ownership)
	i.chooser = newChooser(i.Self(), i.ownership, i.follower)
	i.entry = entry.New(entry.Deps{
		Routes:      tables,
		Limiter:     limits{limiter: i.limiter, follower: i.follower},
		Chooser:     i.chooser,
		Claims:      claims{client: claim.NewClient(i.id, i.ownership, i.claimPartitions, i.remoteClaims), log: i.log},
		Ownership:   i.ownership,
		Self:        i.id,
		Shards:      i.workerShards,
		MaybePaused: i.members.MaybePaused,
		Peers:       i.ownership.LiveInstances,
		Client:      i.client,
		Metrics:     i.metrics,
		Log:         i.log,

		MaxHeldBytes: i.bounds.heldBytes,
	})
	i.publishMetrics()
	i.server = &http.Server{
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols(),
	}
	i.connections = ingress.New(
		ingress.WithMaxConnections(i.bounds.connections), ingress.WithMaxBytes(i.bounds.requestBytes),
		ingress.WithBodyTimeout(func(*http.Request) time.Duration { return bodyTimeout }), ingress.WithLogger(i.log, "instance"),
	)
}

// remoteClaims returns a client for the claim partitions of another instance.
func (i *Instance) remoteClaims(other lovagestand.Instance) claim.Server {
	return claim.NewRemote(claimpb.NewClaimsProtobufClient("http://"+other.Address, i.client))
}

// leaveTimeout bounds how long a planned stop tries to hand over its shards.
const leaveTimeout = 20 * time.Second

const (
	// readHeaderTimeout bounds how long a connection may take to send a header, and bodyTimeout
	// how long a body may take.
	readHeaderTimeout = 10 * time.Second
	bodyTimeout       = 30 * time.Second
	// serverIdleTimeout is longer than clients of this program keep idle connections.
	serverIdleTimeout = 3 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// protocols returns the protocols of the server. Unencrypted HTTP/2 lets the peers
// multiplex their long calls over one connection.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Self returns the description of this instance that its peers receive.
func (i *Instance) Self() lovagestand.Instance {
	return lovagestand.Instance{
		ID:            i.id,
		Address:       i.address,
		Region:        i.settings.Region,
		FailureDomain: i.settings.FailureDomain,
		Leaving:       i.leaving.Load(),
	}
}

// Address returns the host and port on which the instance is reached.
func (i *Instance) Address() string {
	return i.address
}

// Start starts all parts of the instance and serves.
func (i *Instance) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.running.Go(func() { i.members.Run(ctx) })
	i.running.Go(func() { _ = i.follower.Run(ctx) })
	i.running.Go(func() { i.ownership.Run(ctx) })
	i.running.Go(func() { i.placer.Run(ctx) })
	i.running.Go(func() { i.followLimits(ctx) })
	i.running.Go(func() { i.quotas.Run(ctx) })
	i.running.Go(func() { _ = i.claimPartitions.Run(ctx) })
	i.running.Go(func() { i.entry.Run(ctx) })
	go func() { i.serveErr <- i.connections.Serve(i.server, i.listener, i.router()) }()
	i.log.Info().Str("address", i.address).Str("region", string(i.settings.Region)).Msg("listening")
}

// Failed returns a channel that receives the error that ended serving.
func (i *Instance) Failed() <-chan error {
	return i.serveErr
}

// Ready returns nil if the instance can serve callers, and otherwise an error with
// the reason.
func (i *Instance) Ready() error {
	if i.leaving.Load() {
		return errors.New("leaving")
	}
	if _, ok := i.members.Current(); !ok {
		return errors.New("the member list has not been read")
	}
	if _, ok := i.follower.Current(); !ok {
		return errors.New("no tables are in force")
	}
	if len(i.ownership.Digests("")) == 0 {
		return errors.New("no shard's owner is known")
	}
	return nil
}

// Stop ends the instance as planned. The instance reports itself as not ready, so
// that the load balancer stops sending requests to it, hands over its shards and
// waits for the requests in flight. Stop returns an error if requests had no final
// answer when ctx ended.
func (i *Instance) Stop(ctx context.Context) error {
	i.leaving.Store(true)
	i.log.Info().Int("inFlight", i.entry.InFlight()).Msg("leaving")
	i.handOver(ctx)
	unfinished := i.entry.Stop(ctx)
	err := i.server.Shutdown(ctx)
	i.cancel()
	i.running.Wait()
	i.log.Info().Int("left", unfinished).Msg("stopped")
	if unfinished > 0 {
		return errors.Errorf("%d requests had no final answer", unfinished)
	}
	return errors.Wrap(err, "shut down")
}

// handOver hands the shards over to other instances. If there is no other instance
// or the hand-over takes longer than leaveTimeout, the next owner takes over as it
// does after a crash.
func (i *Instance) handOver(ctx context.Context) {
	if !i.hasSuccessor() {
		return
	}
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := i.ownership.Leave(leaveCtx); err != nil {
		i.log.Warn().Err(err).Msg("not all shards were handed over")
	}
}

// hasSuccessor reports whether there is another instance that is not leaving.
func (i *Instance) hasSuccessor() bool {
	return slices.ContainsFunc(i.ownership.LiveInstances(), func(p lovagestand.Instance) bool {
		return p.ID != i.id && !p.Leaving
	})
}

// Kill ends the instance immediately, as a crash does.
func (i *Instance) Kill() {
	_ = i.server.Close()
	if i.cancel != nil {
		i.cancel()
	}
	i.running.Wait()
}

// workerShards returns the shards of the workers on the member list.
func (i *Instance) workerShards() []lovagestand.ShardName {
	members, _ := i.members.Current()
	var shards []lovagestand.ShardName
	for _, u := range peer.WorkerUnits(members) {
		shards = append(shards, u.Shard)
	}
	return shards
}

// listedInstances returns the instances on the member list.
func (i *Instance) listedInstances() []lovagestand.Instance {
	members, _ := i.members.Current()
	return members.Instances
}

// listedPeers returns the other instances on the member list.
func (i *Instance) listedPeers() []lovagestand.Instance {
	var others []lovagestand.Instance
	for _, m := range i.listedInstances() {
		if m.ID != i.id {
			others = append(others, m)
		}
	}
	return others
}

// TablesRevision returns the revision of the tables in force, and 0 if there are
// none.
func (i *Instance) TablesRevision() table.Revision {
	return i.follower.Status().Revision
}
