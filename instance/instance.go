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

// Instance is one scheduler process, or one of several within a process.
type Instance struct {
	settings settings.Settings
	deps     Deps
	id       lovagestand.InstanceID
	address  string
	started  time.Time
	leaving  atomic.Bool
	log      zerolog.Logger

	listener net.Listener
	server   *http.Server
	client   *http.Client

	metrics   *metrics.Metrics
	members   *member.Watcher
	follower  *table.Follower
	limiter   *limit.Limiter
	quotas    *quota.Keeper
	ownership *peer.Peer
	homes     *claim.Homes
	placer    *placer.Placer
	chooser   *chooser
	entry     *entry.Entry

	cancel  context.CancelFunc
	running sync.WaitGroup
	served  chan error
}

// New returns an instance that listens already and does nothing else yet. It
// fails where the address cannot be listened on.
func New(s settings.Settings, deps Deps) (*Instance, error) {
	if deps.Listen == nil {
		deps.Listen = func() (net.Listener, error) { return net.Listen("tcp", s.Listen) }
	}
	if len(s.Regions) == 0 {
		return nil, errors.New("no regions are set")
	}
	listener, err := deps.Listen()
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	i := &Instance{
		settings: s,
		deps:     deps,
		id:       lovagestand.InstanceID(uuid.NewString()),
		address:  s.Address,
		started:  time.Now(),
		listener: listener,
		client:   &http.Client{Transport: deps.Transport},
		served:   make(chan error, 1),
	}
	if i.address == "" {
		i.address = listener.Addr().String()
	}
	i.log = deps.Log.With().Str("instance", string(i.id)).Logger()
	i.assemble()
	return i, nil
}

// assemble builds the parts and connects them.
func (i *Instance) assemble() {
	i.count()
	i.members = member.NewWatcher(i.deps.Members, i.Self, i.log)
	i.follower = table.NewFollower(i.deps.Store,
		table.WithPeers(i.id, i.peers, tablepeer.Puller(i.client, i.Self())),
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
		Workers:   i.deps.Workers,
		Members:   i.members,
		Catalog:   tables,
		Ownership: i.ownership,
		Places:    func(n lovagestand.ShardName) bool { return !strings.HasPrefix(string(n), peer.ClaimPrefix) },
		Self:      i.id,
		Pursues:   func(key lovagestand.RequestKey) bool { return i.entry.Pursues(key) },
		NewDecider: func(n lovagestand.ShardName) lovagestand.Decider {
			return pool.New(n)
		},
		Log: i.log,
	})
	i.ownership.SetDigestFunc(i.placer.Digests)
	i.ownership.SetRevisionFunc(func() uint64 { return uint64(i.follower.Status().Revision) })
	i.homes = claim.NewHomes(i.deps.Store, i.ownership)
	i.chooser = newChooser(i.Self(), i.ownership, i.follower)
	i.entry = entry.New(entry.Deps{
		Routes:    tables,
		Limiter:   limits{limiter: i.limiter, follower: i.follower},
		Chooser:   i.chooser,
		Claims:    claims{client: claim.NewClient(i.id, i.ownership, i.homes, i.remoteClaims), log: i.log},
		Ownership: i.ownership,
		Self:      i.id,
		Shards:    i.workerShards,
		Unsteady:  i.members.Unsteady,
		Peers:     i.ownership.LiveInstances,
		Client:    i.client,
		Metrics:   i.metrics,
		Log:       i.log,
	})
	i.publish()
	i.server = &http.Server{
		Handler:           i.router(),
		ReadHeaderTimeout: readHeaderTimeout,
		Protocols:         protocols(),
	}
}

// remoteClaims returns the claims served by another instance.
func (i *Instance) remoteClaims(other lovagestand.Instance) claim.Server {
	return claim.NewRemote(claimpb.NewClaimsProtobufClient("http://"+other.Address, i.client))
}

// leaveTimeout bounds how long a planned stop tries to pass its shards on.
const leaveTimeout = 20 * time.Second

// readHeaderTimeout bounds how long a connection may take to send a header.
const readHeaderTimeout = 10 * time.Second

// protocols lets peers multiplex their long calls over one connection.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Self describes the instance as its peers see it.
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

// Start begins to serve.
func (i *Instance) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.running.Go(func() { i.members.Run(ctx) })
	i.running.Go(func() { _ = i.follower.Run(ctx) })
	i.running.Go(func() { i.ownership.Run(ctx) })
	i.running.Go(func() { i.placer.Run(ctx) })
	i.running.Go(func() { i.followLimits(ctx) })
	i.running.Go(func() { i.quotas.Run(ctx) })
	i.running.Go(func() { _ = i.homes.Run(ctx) })
	i.running.Go(func() { i.entry.Run(ctx) })
	go func() { i.served <- i.server.Serve(i.listener) }()
	i.log.Info().Str("address", i.address).Str("region", string(i.settings.Region)).Msg("listening")
}

// Failed returns a channel that receives the error that ended serving.
func (i *Instance) Failed() <-chan error {
	return i.served
}

// Ready returns an error that says why the instance cannot serve callers yet.
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

// Stop ends the instance as planned: it leaves the balancer, lets requests in
// flight finish, and hands over what it owns. It returns an error if requests
// were left when ctx ended.
func (i *Instance) Stop(ctx context.Context) error {
	i.leaving.Store(true)
	i.log.Info().Int("inFlight", i.entry.InFlight()).Msg("leaving")
	i.handOver(ctx)
	left := i.entry.Stop(ctx)
	err := i.server.Shutdown(ctx)
	i.cancel()
	i.running.Wait()
	i.log.Info().Int("left", left).Msg("stopped")
	if left > 0 {
		return errors.Errorf("%d requests had no final answer", left)
	}
	return errors.Wrap(err, "shut down")
}

// handOver passes the shards on. Where nobody is left to take them, or not in
// time, the next owner takes over as after a crash.
func (i *Instance) handOver(ctx context.Context) {
	if !i.hasSuccessor() {
		return
	}
	limited, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := i.ownership.Leave(limited); err != nil {
		i.log.Warn().Err(err).Msg("shards not all passed on")
	}
}

// hasSuccessor reports whether an instance that stays is known.
func (i *Instance) hasSuccessor() bool {
	return slices.ContainsFunc(i.ownership.LiveInstances(), func(p lovagestand.Instance) bool {
		return p.ID != i.id && !p.Leaving
	})
}

// Kill ends the instance at once, as a crash would.
func (i *Instance) Kill() {
	_ = i.server.Close()
	if i.cancel != nil {
		i.cancel()
	}
	i.running.Wait()
}

// workerShards returns the shards of the listed workers.
func (i *Instance) workerShards() []lovagestand.ShardName {
	members, _ := i.members.Current()
	var shards []lovagestand.ShardName
	for _, u := range peer.WorkerUnits(members) {
		shards = append(shards, u.Shard)
	}
	return shards
}

// allInstances returns the instances on the member list.
func (i *Instance) allInstances() []lovagestand.Instance {
	members, _ := i.members.Current()
	return members.Instances
}

// peers returns the other instances on the member list.
func (i *Instance) peers() []lovagestand.Instance {
	var others []lovagestand.Instance
	for _, m := range i.allInstances() {
		if m.ID != i.id {
			others = append(others, m)
		}
	}
	return others
}

// TablesRevision returns the revision of the tables in force; 0 for none.
func (i *Instance) TablesRevision() table.Revision {
	return i.follower.Status().Revision
}
