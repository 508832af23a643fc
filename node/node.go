package node

import (
	"context"
	"encoding/json"
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
	"lovagestand.example/lovagestand/settings"
	"lovagestand.example/lovagestand/shard"
)

const (
	// lameDuckPeriod is how long a stopping instance still serves callers, so that
	// the balancer has sent new ones elsewhere.
	lameDuckPeriod = 2500 * time.Millisecond
	// stopReserve is left of the grace for the process to end.
	stopReserve = 500 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections.
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
)

// Deps is what a node works with.
type Deps struct {
	Keys  lovagestand.Keyspace
	Fleet lovagestand.Fleet
	// Adviser is nil where no route needs advice.
	Adviser lovagestand.Adviser
	// DecodeWorker returns the worker that an item of the store under
	// WorkerPrefix registers.
	DecodeWorker func(lovagestand.Item) (lovagestand.FleetWorker, bool)
	WorkerPrefix string
	Log          zerolog.Logger
	Recorder     lovagestand.Recorder
	// Metrics serves what the recorder has.
	Metrics http.Handler
}

// Node is one instance.
type Node struct {
	settings  settings.Node
	deps      Deps
	self      lovagestand.Instance
	directory *election.Directory
	owners    *ownerClients
	routes    *gateway.Routes
	gateway   *gateway.Gateway
	cell      *cellServer
	peers     *peers
	servers   []*http.Server

	mu         sync.Mutex
	candidates map[string]*election.Candidate
	detectors  map[string]*election.Detector
}

// New returns a node that does nothing until it runs.
func New(s settings.Node, deps Deps) *Node {
	self := lovagestand.Instance{
		ID: s.Instance, Address: net.JoinHostPort(s.Host, strconv.Itoa(s.Ports[0])), Region: s.Region, FailureDomain: s.FailureDomain,
		Processors: s.Processors,
	}
	n := &Node{
		settings: s, deps: deps, self: self, directory: election.NewDirectory(deps.Keys, deps.Log),
		routes: gateway.NewRoutes(deps.Keys, deps.Log), peers: newPeers(), candidates: map[string]*election.Candidate{},
		detectors: map[string]*election.Detector{},
	}
	n.cell = &cellServer{
		adviser: deps.Adviser, depose: n.depose, shards: map[string]*shard.Shard{},
		suspects:       func(name string, epoch lovagestand.Epoch) bool { return n.detector(name).Suspects(epoch) },
		ownershipEnded: func(name string, epoch lovagestand.Epoch) bool { return n.candidate(name).OwnershipEnded(epoch) },
	}
	n.owners = newOwnerClients(n.directory, func(name string) *ownerClient {
		return &ownerClient{
			shard: name, self: self, directory: n.directory, peers: n.peers, local: n.cell, log: deps.Log,
			depose: func(epoch lovagestand.Epoch) { n.depose(name, epoch) },
		}
	})
	n.gateway = gateway.New(n.routes, n.owners, deps.Log, deps.Recorder)
	return n
}

// Run works until ctx ends, then stops as planned.
func (n *Node) Run(ctx context.Context) error {
	failed := make(chan error, 3)
	if err := n.listen(failed); err != nil {
		return err
	}
	n.deps.Log.Info().Str("instance", string(n.self.ID)).Str("region", string(n.self.Region)).Str("address", n.self.Address).Msg("started")
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	contendCtx, stopContending := context.WithCancel(runCtx)
	defer stopContending()
	var running, owning sync.WaitGroup
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

// shutDown serves callers until the balancer has had time to leave, then ends
// the connections that are idle.
func (n *Node) shutDown(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	pause.For(ctx, lameDuckPeriod)
	limited, cancel := context.WithTimeout(ctx, n.settings.Grace-lameDuckPeriod-stopReserve)
	defer cancel()
	for _, s := range n.servers {
		if err := s.Shutdown(limited); err != nil {
			n.deps.Log.Warn().Err(err).Str("address", s.Addr).Msg("connections cut at the end of the grace period")
		}
	}
}

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
	for address, handler := range map[string]http.Handler{
		n.settings.Callers: n.gateway, n.settings.Ready: ready, n.self.Address: internal,
	} {
		if err := n.serve(address, handler, failed); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) serve(address string, handler http.Handler, failed chan<- error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.servers = append(n.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- errors.Wrap(err, "serve "+address)
		}
	}()
	return nil
}

// serveState tells what the process believes, for operators.
func (n *Node) serveState(w http.ResponseWriter, _ *http.Request) {
	state := struct {
		Instance lovagestand.Instance      `json:"instance"`
		Members  []lovagestand.Instance    `json:"members"`
		Owners   map[string]election.Owner `json:"owners"`
		Shards   map[string]shard.Status   `json:"shards,omitempty"`
	}{Instance: n.self, Members: n.directory.Members(), Owners: n.directory.Owners(), Shards: n.cell.shardStatuses()}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		n.deps.Log.Debug().Err(err).Msg("reader of the state left")
	}
}
