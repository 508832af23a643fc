package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit/remote"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/settings"
	"lovagestand.example/lovagestand/standin/fleet"
	"lovagestand.example/lovagestand/standin/kv"
	"lovagestand.example/lovagestand/trial/caller"
)

const (
	instancesPerRegion = 3
	// filePermissions are the permissions of settings files.
	filePermissions = 0o600
)

// cell is all processes of a drill: the stand-ins and the instances.
type cell struct {
	start         Starter
	directory     string
	firm          fleet.Firm
	platform      settings.Platform
	store         Process
	faultControls kv.FaultControls
	auditor       *remote.Client
	// balancerRandom chooses the instances that callers use, targetRandom those
	// that faults hit. They are separate, so that the seed alone determines the
	// targets.
	balancerRandom, targetRandom *rand.Rand

	mutex     sync.Mutex
	instances []*instance
	processes []Process
}

var _ caller.Balancer = (*cell)(nil)

// freeAddress returns a loopback address on which nothing listens at the moment.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free address")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startProcess starts the program and records the process for close.
func (c *cell) startProcess(name string, args ...string) (Process, error) {
	p, err := c.start(name, args...)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

// startPlatform starts the stand-ins and applies the tables.
func (c *cell) startPlatform(ctx context.Context, tables string) error {
	store, err := freeAddress()
	if err != nil {
		return err
	}
	members, err := freeAddress()
	if err != nil {
		return err
	}
	c.platform = settings.Platform{Store: "http://" + store, Members: "http://" + members}
	c.faultControls = kv.NewFaultControls(c.platform.Store)
	c.auditor = remote.NewClient(c.platform.Members)
	if c.store, err = c.startProcess("store", "standin", "store", "--listen", store); err != nil {
		return err
	}
	if _, err = c.startProcess("workers", "standin", "workers", "--listen", members, "--firm", c.firm.Runner, "--audit"); err != nil {
		return err
	}
	if err := c.awaitPlatform(ctx); err != nil {
		return err
	}
	apply, err := c.startProcess("tables", "tables", "apply", tables, "--store", c.platform.Store)
	if err != nil {
		return err
	}
	return errors.Wrap(apply.Wait(), "tables apply")
}

func (c *cell) awaitPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		_, storeErr := c.faultControls.Counts(ctx)
		_, workersErr := c.auditor.Usage(ctx)
		if storeErr == nil && workersErr == nil {
			return nil
		}
		if !pause.For(ctx, startPollInterval) {
			return errors.New("the stand-ins did not become ready in time")
		}
	}
}

// launchAll starts all instances and returns how long the slowest one took until
// it was ready.
func (c *cell) launchAll(ctx context.Context) (time.Duration, error) {
	for n := range instancesPerRegion {
		for _, r := range c.firm.Regions {
			address, err := freeAddress()
			if err != nil {
				return 0, err
			}
			if _, err := c.launch(site{region: r, domain: fleet.FailureDomain(r, n), address: address}); err != nil {
				return 0, err
			}
		}
	}
	slowest := time.Duration(0)
	for _, i := range c.running() {
		took, err := i.awaitReady(ctx)
		if err != nil {
			return 0, err
		}
		slowest = max(slowest, took)
	}
	return slowest, nil
}

// launch starts one instance at a site.
func (c *cell) launch(at site) (*instance, error) {
	c.mutex.Lock()
	name := fmt.Sprintf("%s-%d", at.region, len(c.instances)+1)
	c.mutex.Unlock()
	file, err := c.writeSettings(name, at)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	p, err := c.startProcess(name, "serve", "--config", file)
	if err != nil {
		return nil, err
	}
	i := &instance{name: name, site: at, process: p, began: began}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.instances = append(c.instances, i)
	return i, nil
}

func (c *cell) writeSettings(name string, at site) (string, error) {
	s := settings.Default()
	s.Listen = at.address
	s.Region = at.region
	s.Regions = c.firm.Regions
	s.FailureDomain = at.domain
	s.Platform = c.platform
	text, err := yaml.Marshal(s)
	if err != nil {
		return "", errors.Wrap(err, name)
	}
	file := filepath.Join(c.directory, name+".yaml")
	return file, errors.Wrap(os.WriteFile(file, text, filePermissions), name)
}

// running returns the instances that are up or paused.
func (c *cell) running() []*instance {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var instances []*instance
	for _, i := range c.instances {
		if s, _ := i.status(); s == up || s == paused {
			instances = append(instances, i)
		}
	}
	return instances
}

// pickInstance returns a random instance as the target of a fault.
func (c *cell) pickInstance() *instance {
	running := c.running()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return running[c.targetRandom.IntN(len(running))]
}

// stateOf returns the state of the instance with a name, killed if there is none.
func (c *cell) stateOf(name string) state {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, i := range c.instances {
		if i.name == name {
			s, _ := i.status()
			return s
		}
	}
	return killed
}

// Pick implements [caller.Balancer]. It prefers ready instances in the caller's
// region.
func (c *cell) Pick(region lovagestand.RegionName, last string) (caller.Target, bool) {
	var near, far []*instance
	for _, i := range c.running() {
		_, ready := i.status()
		switch {
		case !ready || i.name == last:
		case i.site.region == region:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return caller.Target{}, false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	i := near[c.balancerRandom.IntN(len(near))]
	return caller.Target{Name: i.name, Address: i.site.address}, true
}

// pollAll calls poll for all running instances, at an interval, until ctx is done.
func (c *cell) pollAll(ctx context.Context, every time.Duration, poll func(context.Context, *instance)) {
	for pause.For(ctx, every) {
		var polls sync.WaitGroup
		for _, i := range c.running() {
			polls.Go(func() { poll(ctx, i) })
		}
		polls.Wait()
	}
}

// reportRevision reports the tables in force in an instance to the auditor.
func (c *cell) reportRevision(ctx context.Context, i *instance) {
	if r, err := i.revision(ctx); err == nil {
		_ = c.auditor.InForce(ctx, time.Now(), i.name, lovagestand.Revision(r))
	}
}

// close kills all processes and waits until they have exited.
func (c *cell) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, p := range c.processes {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range c.processes {
		_ = p.Wait()
	}
}
