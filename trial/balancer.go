package trial

import (
	"math/rand/v2"
	"sync"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/trial/caller"
)

// balancer gives callers an instance of their own region where one serves. As
// the platform's balancer does, it goes by whether an instance accepts
// connections and says that it is ready, not by whether it is paused.
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
