package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/layout"
	"lovagestand.example/lovagestand/standin/site"
)

// Cell is a stand-in for the platform together with the processes that run
// against it. Workers are the proxies in front of the stand-in workers.
type Cell struct {
	Site    *site.Site
	Nodes   []*Node
	Workers []*Proxy

	mu           sync.Mutex
	disturbances []disturbance
	// owners are the nodes that have owned a shard, by epoch.
	owners map[lovagestand.Epoch]string
	closed chan struct{}
	// leaving holds the indexes of the workers that are leaving as planned.
	leaving map[int]bool
	// silent holds the indexes of the workers that send no heartbeats.
	silent map[int]bool
	// linger is how much longer a worker that leaves continues at most.
	linger time.Duration
	shape  Shape
	// changedAt is when the store acknowledged the version that withdraws a key; zero
	// before.
	changedAt time.Time
}

// Shape is the size and the kind of a cell.
type Shape struct {
	Nodes, Workers int
	// FailureDomains is the number of failure domains of the workers; 0 counts as 1.
	FailureDomains int
	// Teams reports whether callers need the keys of teams.
	Teams bool
	// Classes reports whether the cell has an urgent route and a route for batch jobs.
	Classes bool
	// Preemption allows tasks to be stopped for urgent ones.
	Preemption bool
	// Advice describes the policy service; nil without one.
	Advice *site.Advice
	// StopTime is how long a stop takes.
	StopTime time.Duration
	// Shards is the number of shards; 0 leaves the layout to the nodes.
	Shards int
	// WideGangs reports whether some jobs are gangs that need a large part of a shard.
	WideGangs bool
	// WorkersPerRack is the number of workers in a rack; 0 counts as that of a site.
	WorkersPerRack int
	// MemoryMiB and MaxDescriptors are the limits of each node; 0 counts as
	// defaultMemoryMiB and as no limit.
	MemoryMiB      int64
	MaxDescriptors int
}

// defaultMemoryMiB is the memory of a node in MiB unless its shape says otherwise.
const defaultMemoryMiB = 200

func (s Shape) options() []site.Option {
	options := []site.Option{site.WithFailureDomains(max(1, s.FailureDomains)), site.WithStopTime(s.StopTime)}
	if s.Advice != nil {
		options = append(options, site.WithAdvice(*s.Advice))
	}
	if s.WorkersPerRack > 0 {
		options = append(options, site.WithWorkersPerRack(s.WorkersPerRack))
	}
	return options
}

// layout returns the layout of the cell.
func (s Shape) layout() layout.Layout { return layout.Layout{Shards: max(1, s.Shards)} }

// Node is one process of the program, which reaches the store through a proxy of
// its own. Callers is the address at which it serves callers.
type Node struct {
	Name    string
	Callers string
	// Ready and Internal are the addresses for readiness checks and for the other nodes.
	Ready, Internal string
	Store           *Proxy

	program, settings, log string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// terminating reports whether the process has been sent a signal to exit.
	// unexpectedExits counts the processes that exited without one, and exitReport tells how
	// the last of them ended.
	terminating     bool
	unexpectedExits int
	exitReport      string
}

// Build builds the program in a directory and returns its path. It must be called in the
// folder of a package of this module.
func Build(directory string) (string, error) {
	built := filepath.Join(directory, "lovagestand")
	out, err := exec.Command("go", "build", "-o", built, "../cmd/lovagestand").CombinedOutput()
	return built, errors.Wrapf(err, "build: %s", out)
}

// Open starts a cell with a number of nodes and workers. The nodes' settings and
// logs are written to the directory.
func Open(program, directory string, nodes, workers int, options ...site.Option) (*Cell, error) {
	return OpenShape(program, directory, Shape{Nodes: nodes, Workers: workers}, options...)
}

// OpenShape starts a cell of a shape, see [Open].
func OpenShape(program, directory string, shape Shape, options ...site.Option) (*Cell, error) {
	c := &Cell{owners: map[lovagestand.Epoch]string{}, leaving: map[int]bool{}, silent: map[int]bool{}, closed: make(chan struct{}), shape: shape}
	options = append(shape.options(), options...)
	addProxy := func(address string) (string, error) {
		p, err := NewProxy(address)
		if err != nil {
			return "", err
		}
		c.Workers = append(c.Workers, p)
		return p.Address(), nil
	}
	var err error
	if c.Site, err = site.Open("127.0.0.1:0", shape.Workers, append(options, site.WithAdvertisedAddresses(addProxy))...); err != nil {
		return nil, err
	}
	if err := c.configure(1); err != nil {
		return nil, err
	}
	if shape.Shards > 0 {
		value, err := json.Marshal(shape.layout())
		if err != nil {
			return nil, errors.Wrap(err, "encode layout")
		}
		c.Site.Keys.Put(election.LayoutKey, value)
	}
	go c.recordOwners()
	go c.sendHeartbeats()
	for i := range shape.Nodes {
		n, err := c.newNode(program, directory, fmt.Sprintf("node-%d", i))
		if err != nil {
			return nil, err
		}
		c.Nodes = append(c.Nodes, n)
		if err := n.Start(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Close kills all processes and stops listening.
func (c *Cell) Close() {
	close(c.closed)
	for _, n := range c.Nodes {
		n.Signal(syscall.SIGKILL)
		n.Wait()
		n.Store.Close()
	}
	for _, w := range c.Workers {
		w.Close()
	}
	c.Site.Close()
}

// settingsTemplate is the settings file of one node.
const settingsTemplate = `instance: %q
region: "region-1"
failureDomain: "zone-1"
callers: "127.0.0.1:%d"
ready: "127.0.0.1:%d"
host: "127.0.0.1"
ports: [%d]
store: %q
advice: %q
processors: 1
memoryMiB: %d
maxDescriptors: %d
heartbeat: 1s
grace: 6s
maxLease: 10s
retention: 10m
checkpointInterval: 1s
preemption: %t
stopTimeout: %s
`

func (c *Cell) newNode(program, directory, name string) (*Node, error) {
	store, err := NewProxy(c.Site.StoreAddress())
	if err != nil {
		return nil, err
	}
	var ports [3]int
	for i := range ports {
		if ports[i], err = FreePort(); err != nil {
			return nil, err
		}
	}
	n := &Node{
		Name: name, Callers: fmt.Sprintf("127.0.0.1:%d", ports[0]), Ready: fmt.Sprintf("127.0.0.1:%d", ports[1]), Internal: fmt.Sprintf("127.0.0.1:%d", ports[2]), Store: store, program: program,
		settings: filepath.Join(directory, name+".yaml"), log: filepath.Join(directory, name+".log"),
	}
	text := fmt.Sprintf(settingsTemplate, name, ports[0], ports[1], ports[2], store.Address(), c.Site.AdviceAddress(),
		cmp.Or(c.shape.MemoryMiB, defaultMemoryMiB), c.shape.MaxDescriptors, c.shape.Preemption, c.shape.StopTime)
	return n, errors.Wrap(os.WriteFile(n.settings, []byte(text), 0o600), "write settings")
}

const (
	// firstPort and portCount define a range below the ephemeral ports of the
	// system, so that no outgoing connection takes the port of a node that is
	// down.
	firstPort, portCount = 20000, 12000
	portAttempts         = 20
)

// reservedPorts are the ports of all cells of this process. A port that nothing
// listens on may still belong to a node that is down.
var reservedPorts sync.Map

// FreePort returns a loopback port that was free a moment ago. The choice does not depend
// on the seed, because concurrent runs choose from the same range.
func FreePort() (int, error) {
	var err error
	for range portAttempts {
		var l net.Listener
		port := firstPort + rand.IntN(portCount)
		if _, taken := reservedPorts.LoadOrStore(port, true); taken {
			continue
		}
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return port, errors.Wrap(l.Close(), "close listener")
		}
	}
	return 0, errors.Wrap(err, "listen")
}

// running reports whether the process has been started and has not exited. The
// caller holds n.mu.
func (n *Node) running() bool {
	if n.command == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// Start starts the process unless it is running. It appends to the log of the
// node.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running() {
		return nil
	}
	log, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	command := exec.Command(n.program, "node", "--config", n.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start process")
	}
	exited := make(chan struct{})
	n.command, n.exited, n.terminating = command, exited, false
	go func() {
		status := command.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.terminating {
			n.unexpectedExits++
			n.exitReport = fmt.Sprintf("%v\n%s", status, n.logTail())
		}
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process if it is running.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running() {
		n.terminating = n.terminating || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = n.command.Process.Signal(s)
	}
}

// Pause stops the process with SIGSTOP, if it is running, and returns once all of
// its threads stand still. The signal alone takes effect later on a busy machine.
func (n *Node) Pause() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.running() {
		return nil
	}
	if err := n.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrap(err, "pause process")
	}
	for {
		// The kernel reports a stopped child only after its last thread has
		// stopped. WNOWAIT leaves the state of the child to command.Wait.
		err := unix.Waitid(unix.P_PID, n.command.Process.Pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return errors.Wrap(err, "await the pause")
		}
	}
}

// Owner returns the node that owns the first shard, or nil if none does.
func (c *Cell) Owner() *Node {
	name, _ := c.owner(layout.FirstShard)
	for _, n := range c.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// PID returns the number of the process that was started last.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Pid
}

// UnexpectedExits returns how many processes exited without having been sent a
// signal to exit.
func (n *Node) UnexpectedExits() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unexpectedExits
}

// ExitReport returns the exit status of the last process that exited unexpectedly, and the
// end of its log.
func (n *Node) ExitReport() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exitReport
}

// logTailBytes is how much of a log is reported.
const logTailBytes = 4 << 10

// logTail returns the end of the log.
func (n *Node) logTail() string {
	text, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTailBytes):])
}

// Wait waits until the process has exited.
func (n *Node) Wait() {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	<-exited
}

// stopTimeout bounds a planned stop. It is longer than the grace period of 6 s in
// settingsTemplate.
const stopTimeout = 8 * time.Second

// restart starts the process again. If it has been sent a signal to exit, restart
// first waits for that and kills it after stopTimeout. A process that is paused
// by SIGSTOP is resumed first.
func (n *Node) restart() error {
	n.Signal(syscall.SIGCONT)
	n.mu.Lock()
	exited, terminating := n.exited, n.terminating
	n.mu.Unlock()
	if !terminating {
		return n.Start()
	}
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		n.Signal(syscall.SIGKILL)
		<-exited
	}
	return n.Start()
}
