package node

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/gateway"
	"lovagestand.example/lovagestand/ingress"
	"lovagestand.example/lovagestand/settings"
	"lovagestand.example/lovagestand/shard"
)

const (
	// lameDuckPeriod is how long a stopping instance still serves callers, so
	// that the load balancer has time to send new ones to other instances.
	lameDuckPeriod = 2500 * time.Millisecond
	// stopReserve is the part of the grace period that is left for the process
	// to end.
	stopReserve = 500 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections.
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	// maxHeaderBytes bounds the header of a request before the limit of the configuration is
	// compared with it.
	maxHeaderBytes = 64 << 10
	// maxReadyBytes bounds the large requests to the port for readiness checks, of which there
	// are none.
	maxReadyBytes = 1 << 20
)

// Deps are the dependencies of a node.
type Deps struct {
	Keys  lovagestand.Keyspace
	Fleet lovagestand.Fleet
	// CloseIdleConnections, if not nil, closes the idle connections of Fleet. Workers accept
	// a limited number of connections, so an instance that owns no shard keeps none.
	CloseIdleConnections func()
	// Adviser is nil if no route needs advice.
	Adviser lovagestand.Adviser
	// DecodeWorker decodes the entry of a worker from an item of the store under
	// WorkerPrefix. It returns false if the worker cannot be used.
	DecodeWorker func(lovagestand.Item) (lovagestand.FleetWorker, bool)
	WorkerPrefix string
	Log          zerolog.Logger
	Recorder     lovagestand.Recorder
	// Metrics serves the metrics that Recorder collects.
	Metrics Metrics
}

// Metrics serves metrics and the variables that are added to them.
type Metrics interface {
	http.Handler
	Set(name string, variable expvar.Var)
}

// Node is one instance of the scheduler.
type Node struct {
	settings settings.Node
	deps     Deps
	// storeCalls makes the calls of all parts of this instance to the store.
	storeCalls *storeCalls
	self       lovagestand.Instance
	directory  *election.Directory
	owners     *ownerClients
	routes     *gateway.Routes
	gateway    *gateway.Gateway
	cell       *cellServer
	peers      *peers
	limits     limits
	servers    []*http.Server

	mu sync.Mutex
	// ignoredEntries holds the entries of the list of workers that were logged as unusable.
	ignoredEntries map[string]lovagestand.Revision
	candidates     map[string]*election.Candidate
	detectors      map[string]*election.Detector
}

// New returns a node that is inactive until it runs.
func New(s settings.Node, deps Deps) *Node {
	self := lovagestand.Instance{
		ID: s.Instance, Address: net.JoinHostPort(s.Host, strconv.Itoa(s.Ports[0])), Region: s.Region, FailureDomain: s.FailureDomain,
		Processors: s.Processors, MemoryMiB: s.MemoryMiB,
	}
	calls := newStoreCalls(deps.Keys, deps.Log)
	deps.Keys = calls
	n := &Node{
		settings: s, deps: deps, storeCalls: calls, self: self, directory: election.NewDirectory(deps.Keys, deps.Log),
		routes: gateway.NewRoutes(deps.Keys, deps.Log, routesOptions(s)...), peers: newPeers(), ignoredEntries: map[string]lovagestand.Revision{}, candidates: map[string]*election.Candidate{},
		detectors: map[string]*election.Detector{}, limits: newLimits(s.MemoryMiB, s.MaxDescriptors),
	}
	n.cell = &cellServer{
		adviser: deps.Adviser, shards: map[string]*shard.Shard{},
		depose: func(ctx context.Context, name string, epoch lovagestand.Epoch) {
			n.candidate(name).DeposeIfStoreAnswers(ctx, epoch)
		},
		suspects:       func(name string, epoch lovagestand.Epoch) bool { return n.detector(name).Suspects(epoch) },
		ownershipEnded: func(name string, epoch lovagestand.Epoch) bool { return n.candidate(name).OwnershipEnded(epoch) },
	}
	slots := newOwnerSlots(n.limits.ownerCalls)
	n.owners = newOwnerClients(n.directory, func(name string) *ownerClient {
		return &ownerClient{
			shard: name, self: self, directory: n.directory, peers: n.peers, slots: slots, local: n.cell, log: deps.Log,
			depose: func(epoch lovagestand.Epoch) { n.depose(name, epoch) },
		}
	})
	n.gateway = gateway.New(n.routes, n.owners, deps.Log, deps.Recorder, gateway.WithMaxSubmissionBytes(n.limits.submissionBytes))
	n.publishWaits()
	return n
}

// routesOptions returns the options that the settings give for the routes.
func routesOptions(s settings.Node) []gateway.RoutesOption {
	if !s.StrictRevocation {
		return nil
	}
	return []gateway.RoutesOption{gateway.WithRevocationTimeout(s.RevocationTimeout)}
}

// Run runs the node until ctx ends or one of its servers fails. It then releases
// the shards and shuts the servers down.
func (n *Node) Run(ctx context.Context) error {
	failed := make(chan error, 3)
	if err := n.listen(failed); err != nil {
		return err
	}
	n.deps.Log.Info().Str("instance", string(n.self.ID)).Str("region", string(n.self.Region)).Str("address", n.self.Address).EmbedObject(n.limits).Msg("started")
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	contendCtx, stopContending := context.WithCancel(runCtx)
	defer stopContending()
	var running, owning sync.WaitGroup
	running.Go(func() { n.storeCalls.run(runCtx) })
	running.Go(func() { n.directory.Run(runCtx) })
	running.Go(func() { n.routes.Run(runCtx) })
	running.Go(func() { n.owners.probe(runCtx) })
	running.Go(func() { election.Register(contendCtx, n.deps.Keys, n.directory, n.self, n.deps.Log) })
	owning.Go(func() { n.contend(contendCtx) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	n.deps.Log.Info().Msg("stopping")
	n.gateway.Close()
	stopContending()
	owning.Wait()
	n.shutDown(ctx)
	stop()
	running.Wait()
	n.deps.Log.Info().Msg("stopped")
	return err
}

// shutDown serves callers until the load balancer has had time to send them to
// other instances. It then shuts the servers down: idle connections are closed at
// once, the others when their requests are done or the grace period ends.
func (n *Node) shutDown(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	pause.For(ctx, lameDuckPeriod)
	limited, cancel := context.WithTimeout(ctx, n.settings.Grace-lameDuckPeriod-stopReserve)
	defer cancel()
	for _, s := range n.servers {
		if err := s.Shutdown(limited); err != nil {
			n.deps.Log.Warn().Err(err).Str("address", s.Addr).Msg("connections closed at the end of the grace period")
		}
	}
}

// listen starts the servers for callers, for readiness checks and for the other
// instances.
func (n *Node) listen(failed chan<- error) error {
	ready := chi.NewRouter()
	ready.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if _, known := n.directory.Layout(); !known || !n.gateway.Ready() || n.owners.isolated() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	internal := chi.NewRouter()
	internal.Mount(cellpb.CellPathPrefix, cellpb.NewCellServer(n.cell))
	internal.Get("/debug/vars", n.deps.Metrics.ServeHTTP)
	internal.Get("/debug/state", n.serveState)
	internal.Post(shard.PathWhere, n.serveWhere)
	internal.Post(pathOwnerWhere+"/{shard}", n.serveOwnerWhere)
	internal.Post(pathMove+"/{shard}/{job}", n.serveMove)
	internal.Get(pathMove+"/{shard}/{job}", n.serveKnows)
	internal.Get(pathLoad+"/{shard}", n.serveLoad)
	for _, e := range []endpoint{
		{name: "callers", address: n.settings.CallerAddress, handler: n.gateway, maxConnections: n.limits.callerConnections, maxBytes: n.limits.callerBytes, bodyTimeout: gateway.BodyTimeout},
		{name: "ready", address: n.settings.ReadyAddress, handler: ready, maxConnections: n.limits.readyConnections, maxBytes: maxReadyBytes, bodyTimeout: internalBodyTimeout},
		{name: "internal", address: n.self.Address, handler: internal, maxConnections: n.limits.internalConnections, maxBytes: n.limits.internalBytes, bodyTimeout: internalBodyTimeout},
	} {
		if err := n.serve(e, failed); err != nil {
			return err
		}
	}
	return nil
}

// endpoint is an address at which an instance serves.
type endpoint struct {
	name           string
	address        string
	handler        http.Handler
	maxConnections int
	// maxBytes is the room for large requests; 0 for no bound.
	maxBytes int64
	// bodyTimeout bounds the time of the body of a request.
	bodyTimeout func(*http.Request) time.Duration
}

// internalBodyTimeout is the body timeout of calls from other instances, which give up
// earlier.
func internalBodyTimeout(*http.Request) time.Duration { return 5 * time.Second }

// serve starts the server of an endpoint. If the server fails later, it sends the error to
// failed.
func (n *Node) serve(e endpoint, failed chan<- error) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	connections := ingress.New(
		ingress.WithMaxConnections(e.maxConnections), ingress.WithMaxBytes(e.maxBytes), ingress.WithBodyTimeout(e.bodyTimeout),
		ingress.WithLogger(n.deps.Log, e.name), ingress.WithRecorder(n.deps.Recorder),
	)
	server := &http.Server{Addr: e.address, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	n.servers = append(n.servers, server)
	go func() {
		if err := connections.Serve(server, listener, e.handler); !errors.Is(err, http.ErrServerClosed) {
			failed <- errors.Wrap(err, "serve "+e.address)
		}
	}()
	return nil
}

// serveState shows operators the members, the owners and the owned shards as this
// process has recorded them.
func (n *Node) serveState(w http.ResponseWriter, _ *http.Request) {
	state := struct {
		Instance lovagestand.Instance      `json:"instance"`
		Members  []lovagestand.Instance    `json:"members"`
		Owners   map[string]election.Owner `json:"owners"`
		Shards   map[string]shard.Status   `json:"shards,omitempty"`
	}{Instance: n.self, Members: n.directory.Members(), Owners: n.directory.Owners(), Shards: n.cell.shardStatuses()}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		n.deps.Log.Debug().Err(err).Msg("state not written to the client")
	}
}
