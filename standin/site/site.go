// Package site is a stand-in for the whole platform of the users on one machine. It
// runs a store with the operator's configuration, and workers that are registered
// in the store.
package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/standin/keyspace"
	"lovagestand.example/lovagestand/standin/runner"
)

// Site is a stand-in platform that listens on loopback addresses.
type Site struct {
	// Keys is the store behind its HTTP API, and Fleet holds the workers.
	Keys  *keyspace.Store
	Fleet *runner.Fleet

	mu           sync.Mutex
	storeAddress string
	servers      []*http.Server
	workers      []lovagestand.FleetWorker
	advertise    func(address string) (string, error)
	// failureDomains is the number of failure domains; the racks are assigned to them in turn.
	failureDomains int
	workersPerRack int
	advice         *Advice
	adviceAddress  string
	stopTime       time.Duration
}

// Option configures a new [Site].
type Option func(*Site)

// WithAdvertisedAddresses makes each worker register the address that advertise
// returns for its listen address, such as the address of a proxy.
func WithAdvertisedAddresses(advertise func(address string) (string, error)) Option {
	return func(s *Site) { s.advertise = advertise }
}

// WithFailureDomains spreads the racks over a number of failure domains.
func WithFailureDomains(n int) Option {
	return func(s *Site) { s.failureDomains = n }
}

// WithWorkersPerRack sets the number of workers in a rack, which is 8 otherwise.
func WithWorkersPerRack(n int) Option {
	return func(s *Site) { s.workersPerRack = n }
}

// WithStopTime makes a stop of a task take a time.
func WithStopTime(d time.Duration) Option {
	return func(s *Site) { s.stopTime = d }
}

// Capacity is the capacity of each worker.
var Capacity = lovagestand.Resources{MilliCPU: 4000, MemoryMiB: 4096}

const (
	service = "glazedesk"
	// defaultWorkersPerRack is the number of workers in a rack.
	defaultWorkersPerRack = 8
	// headerTimeout is the timeout for reading the header of a request.
	headerTimeout = 5 * time.Second
)

// Spec describes what a task does on the workers of a [Site]. Its text form is the
// spec of a job.
type Spec struct {
	MilliCPU int64
	// Work is the run time of the task.
	Work  time.Duration
	Fails bool
	// Gang is the number of members if the first step is a gang; 0 if it is not.
	Gang int
	// Checkpoints is set if the tasks of the first step save their progress.
	Checkpoints bool
}

// String returns the text form of s, such as "milliCPU=1000 millis=300 fails=false".
func (s Spec) String() string {
	text := fmt.Sprintf("milliCPU=%d millis=%d fails=%t", s.MilliCPU, s.Work.Milliseconds(), s.Fails)
	if s.Gang > 0 {
		text += fmt.Sprintf(" gang=%d", s.Gang)
	}
	if s.Checkpoints {
		text += " checkpoints=true"
	}
	return text
}

// parseSpec parses the text form of a [Spec]. Fields that are missing or malformed
// are zero.
func parseSpec(text string) Spec {
	var s Spec
	for _, field := range strings.Fields(text) {
		key, value, _ := strings.Cut(field, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch key {
		case "milliCPU":
			s.MilliCPU = n
		case "millis":
			s.Work = time.Duration(n) * time.Millisecond
		case "fails":
			s.Fails = value == "true"
		case "gang":
			s.Gang = int(n)
		case "checkpoints":
			s.Checkpoints = value == "true"
		}
	}
	return s
}

func needs(o lovagestand.Order) lovagestand.Resources {
	return lovagestand.Resources{MilliCPU: parseSpec(o.Spec).MilliCPU}
}

func work(o lovagestand.Order) (time.Duration, lovagestand.RunEnding) {
	s := parseSpec(o.Spec)
	s.Work -= workSaved(o)
	if s.Fails {
		return s.Work, lovagestand.EndingFailed
	}
	return s.Work, lovagestand.EndingDone
}

// workSaved returns the work that the checkpoint of an order contains.
func workSaved(o lovagestand.Order) time.Duration {
	millis, _ := strconv.ParseInt(o.Checkpoint, 16, 64)
	return time.Duration(millis) * time.Millisecond
}

// checkpoint returns the checkpoint of a run that has worked for a time.
func checkpoint(o lovagestand.Order, worked time.Duration) string {
	if _, task, ok := job.ParseTaskName(o.Task); !ok || task.Step > 0 || !parseSpec(o.Spec).Checkpoints {
		return ""
	}
	return fmt.Sprintf("%016x", (workSaved(o) + worked).Milliseconds())
}

func gangSize(o lovagestand.Order) int {
	if _, task, ok := job.ParseTaskName(o.Task); !ok || task.Step > 0 {
		return 0
	}
	return parseSpec(o.Spec).Gang
}

// Open starts a site with the given number of workers. Its store listens at an
// address, such as "127.0.0.1:0", and the workers on free ports of the same host.
func Open(address string, workers int, options ...Option) (*Site, error) {
	s := &Site{Keys: keyspace.New(), advertise: func(a string) (string, error) { return a, nil }, failureDomains: 1, workersPerRack: defaultWorkersPerRack}
	for _, o := range options {
		o(s)
	}
	s.Fleet = runner.New(needs, work, runner.WithGangs(gangSize), runner.WithCheckpoints(checkpoint), runner.WithStopTime(s.stopTime))
	store, err := s.serve(address, platform.NewKeyspaceHandler(s.Keys))
	if err != nil {
		return nil, err
	}
	s.storeAddress = store
	host, _, err := net.SplitHostPort(store)
	if err != nil {
		return nil, errors.Wrap(err, "address of the store")
	}
	if s.advice != nil {
		if s.adviceAddress, err = s.serve(net.JoinHostPort(host, "0"), s.advice); err != nil {
			return nil, err
		}
	}
	for i := range workers {
		if err := s.addWorker(net.JoinHostPort(host, "0"), i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// StoreAddress returns the address at which the store listens.
func (s *Site) StoreAddress() string { return s.storeAddress }

func (s *Site) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *Site) addWorker(address string, i int) error {
	w := s.Fleet.Add(lovagestand.WorkerName(fmt.Sprintf("i-%04d", i)), Capacity)
	w.Rack = lovagestand.RackName(fmt.Sprintf("r1-%d", i/s.workersPerRack))
	w.Labels = []string{"a", string(w.Rack)}
	w.FailureDomain = lovagestand.FailureDomain(fmt.Sprintf("zone-%d", 1+i/s.workersPerRack%s.failureDomains))
	handler := platform.NewWorkerHandler(s.Fleet, w)
	listenAddress, err := s.serve(address, handler)
	if err != nil {
		return err
	}
	if w.Address, err = s.advertise(listenAddress); err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	return s.register(w)
}

func (s *Site) register(w lovagestand.FleetWorker) error {
	value, err := platform.EncodeWorker(w)
	if err != nil {
		return err
	}
	s.Keys.Put(platform.WorkerPrefix()+string(w.Name), value)
	return nil
}

// Crash ends a worker. The store continues to list it.
func (s *Site) Crash(i int) { s.Fleet.Crash(s.WorkerName(i)) }

// Restart starts a new incarnation of a worker under the same name and without its
// earlier state. The store lists the former incarnation until [Site.Register].
func (s *Site) Restart(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[i].Born = s.Fleet.Add(s.workers[i].Name, Capacity).Born
}

// SetReady sets whether a worker is about to leave, and registers that.
func (s *Site) SetReady(i int, ready bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[i].Ready = ready
	return s.register(s.workers[i])
}

// Leave ends a worker that leaves as planned, and removes its entry.
func (s *Site) Leave(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fleet.Leave(s.workers[i].Name)
	s.Keys.Remove(platform.WorkerPrefix() + string(s.workers[i].Name))
}

// Expire removes the entry of a worker, as the platform does after missed heartbeats. The
// worker continues.
func (s *Site) Expire(i int) {
	s.Keys.Remove(platform.WorkerPrefix() + string(s.WorkerName(i)))
}

// Heartbeat makes a worker register again with its next heartbeat, unless its entry was
// removed or is that of an earlier incarnation.
func (s *Site) Heartbeat(i int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &s.workers[i]
	entry, ok := platform.DecodeWorker(s.Keys.Peek(platform.WorkerPrefix() + string(w.Name)))
	if !ok || entry.Born != w.Born || s.Fleet.Born(w.Name) != w.Born {
		return nil
	}
	w.Heartbeat++
	return s.register(*w)
}

// Register registers a worker in the store as it is now.
func (s *Site) Register(i int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register(s.workers[i])
}

// Worker returns the worker with an index as it registers, and whether it is up, listed
// and not about to leave.
func (s *Site) Worker(i int) (w lovagestand.FleetWorker, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w = s.workers[i]
	_, listed := platform.DecodeWorker(s.Keys.Peek(platform.WorkerPrefix() + string(w.Name)))
	return w, listed && w.Ready && s.Fleet.Born(w.Name) != 0
}

// WorkerName returns the name of the worker with an index.
func (s *Site) WorkerName(i int) lovagestand.WorkerName { return s.workers[i].Name }

// Team is a team in the operator's configuration.
type Team struct {
	Name   string   `json:"name"`
	Keys   []string `json:"api_keys"`
	Weight float64  `json:"weight"`
	// Cap is the most that tasks of the team may use; the zero value limits nothing.
	Cap Cap `json:"cap"`
}

// Cap is the cap of a team.
type Cap struct {
	MilliCPU int64 `json:"cpu,omitempty"`
}

// Route is a route in the operator's configuration.
type Route struct {
	Name, Prefix string
	Priority     int
}

// Configure stores a version of the operator's configuration with a single route, which
// is for a host and a path prefix. Without teams the route needs no key.
func (s *Site) Configure(version int, host, prefix string, teams ...Team) error {
	return s.ConfigureRoutes(version, host, []Route{{Name: "quote", Prefix: prefix}}, teams...)
}

// ConfigureRoutes is Configure with several routes.
func (s *Site) ConfigureRoutes(version int, host string, routes []Route, teams ...Team) error {
	messages := make([]map[string]any, len(routes))
	for i, r := range routes {
		messages[i] = map[string]any{
			"name": r.Name, "host": host, "prefix": r.Prefix, "service": service, "max_attempts": 2, "stretch": 2,
			"target_duration_ms": 1000, "priority": r.Priority,
		}
		if s.advice != nil {
			messages[i]["advice"] = s.advice.policy()
		}
	}
	configuration := map[string]any{
		"version": version, "routes": messages,
		"limits": map[string]int{"max_body_bytes": 1 << 18},
	}
	if len(teams) > 0 {
		configuration["tenants"] = teams
	}
	value, err := json.Marshal(configuration)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	s.Keys.Put(platform.ConfigurationKey, value)
	return nil
}

// Close stops listening and closes all connections.
func (s *Site) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}
