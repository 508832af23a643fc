package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
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
	"lovagestand.example/lovagestand/jobstore"
	"lovagestand.example/lovagestand/layout"
	"lovagestand.example/lovagestand/settings"
	"lovagestand.example/lovagestand/shard"
)

const (
	// listInterval spaces readings of the list of workers by an owner; as all
	// owners read all of it, it is that many times longer for several shards,
	// up to maxListFactor times, which still notices leaving workers in time.
	listInterval  = 500 * time.Millisecond
	maxListFactor = 3
	// listTimeout bounds one reading.
	listTimeout = 1500 * time.Millisecond
	// lameDuck is how long a stopping instance still serves callers, so that
	// the balancer has sent new ones elsewhere.
	lameDuck = 2500 * time.Millisecond
	// stopReserve is left of the grace for the process to end.
	stopReserve = 500 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections.
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	// silentBeats is how many heartbeats a worker misses before the platform
	// takes its entry away.
	silentBeats = 3
	// loadRetry spaces attempts to load a shard that was won.
	loadRetry = 100 * time.Millisecond
	// loadTimeout bounds one attempt.
	loadTimeout = 3 * time.Second
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
	owners    *owners
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
		missed: func(name string, epoch lovagestand.Epoch) bool { return n.detector(name).Misses(epoch) },
	}
	n.owners = newOwners(n.directory, func(name string) *ownerClient {
		return &ownerClient{
			shard: name, self: self, directory: n.directory, peers: n.peers, local: n.cell, log: deps.Log,
			depose: func(epoch lovagestand.Epoch) { n.depose(name, epoch) },
		}
	})
	n.gateway = gateway.New(n.routes, n.owners, deps.Log, deps.Recorder)
	return n
}

// candidate returns this instance's candidate for a shard.
func (n *Node) candidate(name string) *election.Candidate {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.candidates[name]
	if c == nil {
		c = &election.Candidate{
			Shard: name, Self: n.self, Keys: n.deps.Keys, Directory: n.directory, Log: n.deps.Log, Serve: n.serveShard,
		}
		n.candidates[name] = c
	}
	return c
}

// depose has an ownership ended in the store.
func (n *Node) depose(name string, epoch lovagestand.Epoch) {
	n.candidate(name).Depose(epoch)
}

// contend stands for all shards until ctx ends. The layout may only be decided
// on once the first shard has an owner.
func (n *Node) contend(ctx context.Context) {
	var contending sync.WaitGroup
	stand := func(name string) {
		contending.Go(func() { n.candidate(name).Run(ctx) })
		contending.Go(func() { n.detector(name).Run(ctx) })
	}
	stand(layout.FirstShard)
	if l, ok := n.awaitLayout(ctx); ok {
		for _, name := range l.Names() {
			if name != layout.FirstShard {
				stand(name)
			}
		}
	}
	contending.Wait()
}

// detector returns this instance's detector of silent owners of a shard.
func (n *Node) detector(name string) *election.Detector {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.detectors[name]
	if d == nil {
		d = &election.Detector{
			Shard: name, Self: n.self, Directory: n.directory, Log: n.deps.Log,
			Depose: func(epoch lovagestand.Epoch) { n.depose(name, epoch) },
			Ping: func(ctx context.Context, owner election.Owner) error {
				_, err := n.peers.at(owner.Address).Ping(ctx, &cellpb.PingRequest{})
				return err
			},
			Agrees: func(ctx context.Context, watcher lovagestand.Instance, epoch lovagestand.Epoch) (bool, error) {
				reply, err := n.peers.at(watcher.Address).Missed(ctx, &cellpb.MissedRequest{Shard: name, Epoch: uint64(epoch)})
				return reply.GetMissed(), err
			},
		}
		n.detectors[name] = d
	}
	return d
}

// Run works until ctx ends, then stops as planned.
func (n *Node) Run(ctx context.Context) error {
	failed := make(chan error, 3)
	if err := n.listen(failed); err != nil {
		return err
	}
	n.deps.Log.Info().Str("instance", string(n.self.ID)).Str("region", string(n.self.Region)).Str("address", n.self.Address).Msg("started")
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	contending, resign := context.WithCancel(working)
	defer resign()
	var running, owning sync.WaitGroup
	running.Go(func() { n.directory.Run(working) })
	running.Go(func() { n.routes.Run(working) })
	running.Go(func() { n.owners.probe(working) })
	running.Go(func() { election.Register(contending, n.deps.Keys, n.directory, n.self, n.deps.Log) })
	owning.Go(func() { n.contend(contending) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	n.deps.Log.Info().Msg("stopping")
	n.gateway.Close()
	resign()
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
	pause.For(ctx, lameDuck)
	limited, cancel := context.WithTimeout(ctx, n.settings.Grace-lameDuck-stopReserve)
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
	inner := chi.NewRouter()
	inner.Mount(cellpb.CellPathPrefix, cellpb.NewCellServer(n.cell))
	inner.Get("/debug/vars", n.deps.Metrics.ServeHTTP)
	inner.Get("/debug/state", n.dump)
	for address, handler := range map[string]http.Handler{
		n.settings.Callers: n.gateway, n.settings.Ready: ready, n.self.Address: inner,
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

// dump tells what the process believes, for operators.
func (n *Node) dump(w http.ResponseWriter, _ *http.Request) {
	state := struct {
		Instance lovagestand.Instance      `json:"instance"`
		Members  []lovagestand.Instance    `json:"members"`
		Owners   map[string]election.Owner `json:"owners"`
		Shards   map[string]shard.Status   `json:"shards,omitempty"`
	}{Instance: n.self, Members: n.directory.Members(), Owners: n.directory.Owners(), Shards: n.cell.status()}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		n.deps.Log.Debug().Err(err).Msg("reader of the state left")
	}
}

// serveShard runs the shard for one term.
func (n *Node) serveShard(ctx context.Context, term jobstore.Term, confirmed func() bool) {
	l, ok := n.settleLayout(ctx, term)
	if !ok {
		return
	}
	interval := listInterval * time.Duration(min(maxListFactor, l.Shards))
	s := shard.New(term, shard.Limits{
		MaxLease: n.settings.MaxLease, Retention: n.settings.Retention, ListInterval: interval,
		Silence: silentBeats * n.settings.Heartbeat, CheckpointInterval: n.settings.CheckpointInterval,
	}, shard.Deps{
		Fleet: n.deps.Fleet, Store: jobstore.New(n.deps.Keys, term, jobstore.WithTrouble(func() { go n.askToDepose(ctx, term) })),
		Lines: func() []shard.Line { return n.lines(term.Shard) }, Confirmed: confirmed, Log: n.deps.Log,
		Recorder: n.deps.Recorder,
	})
	for {
		limited, cancel := context.WithTimeout(ctx, loadTimeout)
		err := s.Load(limited)
		cancel()
		if err == nil {
			break
		}
		n.deps.Log.Warn().Err(err).Msg("shard not loaded")
		if !pause.For(ctx, loadRetry) {
			return
		}
	}
	serving, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	running.Go(func() {
		n.followWorkers(serving, s, interval, func(w lovagestand.FleetWorker) bool { return l.Worker(w) == term.Shard })
	})
	n.cell.own(term.Shard, s)
	s.Run(ctx)
	n.cell.disown(term.Shard)
	stop()
	running.Wait()
}

const (
	// deposers is how many instances are asked to end an ownership.
	deposers = 2
	// deposeTimeout bounds one such call.
	deposeTimeout = 400 * time.Millisecond
)

// askToDepose asks other instances to end this instance's own ownership: the
// store turns this one away, and may serve others. Where it serves nobody,
// nothing changes.
func (n *Node) askToDepose(ctx context.Context, term jobstore.Term) {
	members := n.directory.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	asked := 0
	for _, m := range members {
		if m.ID == n.self.ID || asked == deposers {
			continue
		}
		asked++
		limited, cancel := context.WithTimeout(ctx, deposeTimeout)
		_, err := n.peers.at(m.Address).Depose(limited, &cellpb.DeposeRequest{Shard: term.Shard, Epoch: uint64(term.Epoch)})
		cancel()
		n.deps.Log.Warn().Err(err).Str("shard", term.Shard).Uint64("epoch", uint64(term.Epoch)).Str("by", string(m.ID)).
			Msg("store turns this owner away: another instance is asked to end the ownership")
	}
}

// followWorkers reads the list of workers for as long as the shard is owned,
// and gives the shard those of its own.
func (n *Node) followWorkers(ctx context.Context, s *shard.Shard, interval time.Duration, own func(lovagestand.FleetWorker) bool) {
	healthy := true
	for {
		workers, err := n.listWorkers(ctx)
		if (err == nil) != healthy && ctx.Err() == nil {
			healthy = err == nil
			n.deps.Log.Warn().Bool("healthy", healthy).Err(err).Msg("list of workers")
		}
		if err == nil {
			s.SetWorkers(slices.DeleteFunc(workers, func(w lovagestand.FleetWorker) bool { return !own(w) }))
		}
		if !pause.For(ctx, interval) {
			return
		}
	}
}

// listWorkers reads the list of registered workers.
func (n *Node) listWorkers(ctx context.Context) ([]lovagestand.FleetWorker, error) {
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := n.deps.Keys.Range(limited, n.deps.WorkerPrefix)
	if err != nil {
		return nil, err
	}
	var workers []lovagestand.FleetWorker
	for _, i := range items {
		w, ok := n.deps.DecodeWorker(i)
		if !ok {
			n.deps.Log.Warn().Str("key", i.Key).Uint64("revision", uint64(revision)).Msg("entry names no worker to use")
			continue
		}
		workers = append(workers, w)
	}
	return workers, nil
}
