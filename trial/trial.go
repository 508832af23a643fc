package trial

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit"
	"lovagestand.example/lovagestand/report"
	"lovagestand.example/lovagestand/standin/fleet"
	"lovagestand.example/lovagestand/standin/kv"
	"lovagestand.example/lovagestand/standin/members"
	"lovagestand.example/lovagestand/table"
	"lovagestand.example/lovagestand/trial/caller"
	"lovagestand.example/lovagestand/trial/network"
)

const (
	// readyTimeout bounds the time until all instances are ready.
	readyTimeout = 20 * time.Second
	// stopTimeout bounds a planned stop.
	stopTimeout = 60 * time.Second
	// storeDelay is the latency of the store.
	storeDelay = 2 * time.Millisecond
	// pollInterval is the time between polls of the state of the instances.
	pollInterval = 20 * time.Millisecond
)

// Trial is one run of instances, callers and stand-ins.
type Trial struct {
	config     Config
	firm       fleet.Firm
	network    *network.Network
	store      *kv.Store
	memberList *members.List
	fleet      *fleet.Server
	recorder   *recorder
	tables     *tablesWriter
	startedAt  time.Time

	storeAddress, membersAddress string
	servers                      []*http.Server

	mutex       sync.Mutex
	nodes       []*node
	launchCount int
	notes       []string
	faults      []report.Fault
	// openRequests holds the requests whose callers wait for the final answer.
	openRequests map[lovagestand.RequestKey]openRequest

	source  *caller.Source
	callers []*caller.Caller
	random  *rand.Rand
	// callerCalls counts the calls to the methods of callers that have not
	// returned.
	callerCalls sync.WaitGroup

	// ctx ends with the trial and stops the watchers, which wait for instances to
	// become ready.
	ctx      context.Context
	cancel   context.CancelFunc
	watchers sync.WaitGroup
}

// openRequest is a request whose caller waits for the final answer.
type openRequest struct {
	request caller.Request
	caller  *caller.Caller
}

// Run runs a trial and returns its report. It returns an error if the trial could
// not be set up; violations are not errors but part of the report.
func Run(ctx context.Context, config Config) (report.Report, error) {
	t, err := newTrial(config)
	if err != nil {
		return report.Report{}, err
	}
	defer t.close()
	if err := t.start(ctx); err != nil {
		return report.Report{}, err
	}
	return t.run(ctx), nil
}

func newTrial(config Config) (*Trial, error) {
	firm, err := firmOf(config.Tables)
	if err != nil {
		return nil, err
	}
	t := &Trial{
		config:       config,
		firm:         firm,
		network:      network.New(),
		store:        kv.New(kv.WithSeed(config.Seed)),
		openRequests: map[lovagestand.RequestKey]openRequest{},
		source:       caller.NewSource("load", caller.RequestKinds(config.Tables), config.Seed),
		random:       rand.New(rand.NewPCG(config.Seed, 2)),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.recorder = newRecorder(audit.New(firm.Specs()), config.Tables)
	t.recorder.stateOf = t.stateOf
	t.tables = newTablesWriter(t)
	return t, nil
}

// firmOf returns the stand-in firm whose runner serves a pool of the tables.
func firmOf(t table.Tables) (fleet.Firm, error) {
	for _, p := range t.Pools() {
		if f, found := fleet.FirmByRunner(p.Runner); found {
			return f, nil
		}
	}
	return fleet.Firm{}, errors.New("no pool of the tables has a runner that the stand-ins support")
}

// start starts the stand-ins, applies the tables, and starts the instances and the
// callers.
func (t *Trial) start(ctx context.Context) error {
	if err := t.startPlatform(); err != nil {
		return err
	}
	if err := t.tables.applyInitial(ctx); err != nil {
		return err
	}
	for i := range InstancesPerRegion {
		for _, r := range t.firm.Regions {
			if _, err := t.launch(r, i); err != nil {
				return err
			}
		}
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range t.nodesIn(nodeUp) {
		if err := n.awaitReady(readyCtx); err != nil {
			return err
		}
	}
	t.startCallers()
	return nil
}

// startPlatform starts the workers, the store and the member list.
func (t *Trial) startPlatform() error {
	f, err := fleet.Listen("127.0.0.1", t.firm.Specs(), t.recorder)
	if err != nil {
		return err
	}
	t.fleet = f
	for _, w := range f.Specs() {
		t.network.Register(w.Address, network.Place{Kind: network.KindWorker, Region: w.Region, Domain: w.FailureDomain})
	}
	t.memberList = members.New(f.Specs())
	t.store.SetFaults(kv.Faults{Delay: storeDelay})
	t.storeAddress, err = t.serve(network.KindStore, kv.Handler(t.store))
	if err != nil {
		return err
	}
	t.membersAddress, err = t.serve(network.KindMemberList, members.Handler(t.memberList))
	return err
}

// serve starts a platform service in the first region and returns its address.
func (t *Trial) serve(kind network.Kind, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a platform service")
	}
	region := t.firm.Regions[0]
	t.network.Register(l.Addr().String(), network.Place{Kind: kind, Region: region, Domain: fleet.FailureDomain(region, 0)})
	server := &http.Server{Handler: handler}
	t.servers = append(t.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (t *Trial) startCallers() {
	b := &balancer{trial: t, random: rand.New(rand.NewPCG(t.config.Seed, 3))}
	for _, r := range t.firm.Regions {
		host := t.network.Host(network.Place{Kind: network.KindCaller, Region: r, Domain: fleet.FailureDomain(r, 0)})
		transport := &http.Transport{DialContext: host.Dial, MaxIdleConnsPerHost: MaxInFlight}
		t.callers = append(t.callers, caller.New(r, transport, b, t.recorder))
	}
}

// stateOf returns the state of the named instance, nodeStopped if there is none.
func (t *Trial) stateOf(instance string) nodeState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, n := range t.nodes {
		if n.name == instance {
			return n.currentState()
		}
	}
	return nodeStopped
}

func (t *Trial) addNote(text string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.notes = append(t.notes, text)
}

// close kills the instances and closes the stand-ins.
func (t *Trial) close() {
	t.cancel()
	t.watchers.Wait()
	var all sync.WaitGroup
	for _, n := range t.nodesIn(nodeUp, nodePaused, nodeStopping) {
		all.Go(n.kill)
	}
	all.Wait()
	if t.fleet != nil {
		t.fleet.Close()
	}
	for _, s := range t.servers {
		_ = s.Close()
	}
}
