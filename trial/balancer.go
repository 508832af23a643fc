package trial

import (
	"math/rand/v2"
	"sync"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/trial/caller"
)

// balancer prefers ready instances in the region of the caller. Like the balancer
// of the platform, it requires that an instance accepts connections and reports
// that it is ready; it does not notice that an instance is paused.
type balancer struct {
	trial  *Trial
	mutex  sync.Mutex
	random *rand.Rand
}

var _ caller.Balancer = (*balancer)(nil)

// Pick implements [caller.Balancer].
func (b *balancer) Pick(region lovagestand.RegionName, last string) (caller.Target, bool) {
	var near, far []*node
	for _, n := range b.trial.nodesIn(nodeUp, nodePaused) {
		switch {
		case n.name == last || n.instance.Ready() != nil:
		case n.region == region:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return caller.Target{}, false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := near[b.random.IntN(len(near))]
	return caller.Target{Name: n.name, Address: n.instance.Address()}, true
}
