package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/report"
	"lovagestand.example/lovagestand/standin/fleet"
	"lovagestand.example/lovagestand/trial/network"
)

// nodeState is the state of an instance as the trial controls it.
type nodeState int

const (
	nodeUp nodeState = iota
	nodePaused
	nodeStopping
	nodeStopped
	nodeKilled
)

// node is an instance and its network host.
type node struct {
	name       string
	region     lovagestand.RegionName
	index      int
	host       *network.Host
	instance   Instance
	launchedAt time.Time

	mutex sync.Mutex
	// readyAt is when the node first became ready; zero until then.
	readyAt    time.Time
	state      nodeState
	disruption disruption
}

func (n *node) currentState() nodeState {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.state
}

// transition changes the state to next if it is one of from, and reports whether it
// was.
func (n *node) transition(next nodeState, from ...nodeState) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, s := range from {
		if n.state == s {
			n.state = next
			return true
		}
	}
	return false
}

// kill ends the node at once, as a crash does.
func (n *node) kill() {
	if n.transition(nodeKilled, nodeUp, nodePaused, nodeStopping) {
		n.host.Kill()
		n.host.Resume()
		n.instance.Kill()
	}
}

// stop performs a planned stop of the node.
func (n *node) stop(ctx context.Context) error {
	if !n.transition(nodeStopping, nodeUp) {
		return nil
	}
	err := n.instance.Stop(ctx)
	n.transition(nodeStopped, nodeStopping)
	return errors.Wrapf(err, "planned stop of %s", n.name)
}

// launch starts an instance in a region; index selects its failure domain.
func (t *Trial) launch(region lovagestand.RegionName, index int) (*node, error) {
	domain := fleet.FailureDomain(region, index)
	host := t.network.Host(network.Place{Kind: network.KindInstance, Region: region, Domain: domain})
	launchedAt := time.Now()
	instance, err := t.config.Launch(Site{
		Region:        region,
		Regions:       t.firm.Regions,
		FailureDomain: domain,
		Listen:        host.Listen,
		Dial:          host.Dial,
		Transport:     platform.NewTransport(host.Dial),
		Store:         "http://" + t.storeAddress,
		Members:       "http://" + t.membersAddress,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "instance in %s", region)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.launchCount++
	launched := &node{name: fmt.Sprintf("%s/%d", region, t.launchCount), region: region, index: index, host: host, instance: instance, launchedAt: launchedAt}
	t.nodes = append(t.nodes, launched)
	t.watchers.Go(func() { _ = launched.awaitReady(t.ctx) })
	return launched, nil
}

// awaitReady waits until the node is ready.
func (n *node) awaitReady(ctx context.Context) error {
	for {
		err := n.instance.Ready()
		if err == nil {
			n.recordReady(time.Now())
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "instance %s is not ready", n.name)
		case <-time.After(pollInterval):
		}
	}
}

// recordReady records when the node first became ready.
func (n *node) recordReady(at time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.readyAt.IsZero() {
		n.readyAt = at
	}
}

// instanceStart returns the start of the node for the report.
func (n *node) instanceStart(trialStart time.Time) report.InstanceStart {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	start := report.InstanceStart{Instance: n.name, AtMillis: milliseconds(n.launchedAt.Sub(trialStart))}
	if !n.readyAt.IsZero() {
		start.ReadyMillis = milliseconds(n.readyAt.Sub(n.launchedAt))
	}
	return start
}

// replace starts an instance in the region and failure domain of n.
func (t *Trial) replace(n *node) {
	if _, err := t.launch(n.region, n.index); err != nil {
		t.addNote("could not start an instance: " + err.Error())
	}
}

// nodesIn returns the nodes that are in one of the given states.
func (t *Trial) nodesIn(states ...nodeState) []*node {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var nodes []*node
	for _, n := range t.nodes {
		for _, s := range states {
			if n.currentState() == s {
				nodes = append(nodes, n)
			}
		}
	}
	return nodes
}
