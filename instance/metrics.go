package instance

import (
	"expvar"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/metrics"
)

// instrument creates the instance's metrics and wraps the store, the workers and
// the transport so that their calls are counted.
func (i *Instance) instrument() {
	i.metrics = metrics.New()
	i.deps.Store = i.metrics.Store(i.deps.Store)
	i.deps.Workers = i.metrics.Workers(i.deps.Workers)
	i.client.Transport = i.metrics.Transport(i.client.Transport, i.settings.Region, i.regionAt)
}

// regionAt returns the region of the instance at an address.
func (i *Instance) regionAt(address string) (lovagestand.RegionName, bool) {
	for _, m := range i.listedInstances() {
		if m.Address == address {
			return m.Region, true
		}
	}
	return "", false
}

// publishMetrics adds the values that the parts of the instance provide.
func (i *Instance) publishMetrics() {
	i.metrics.Set("peers", i.ownership.Counters().Var())
	i.metrics.Set("tablesRevision", expvar.Func(func() any { return i.follower.Status().Revision }))
	i.metrics.Set("tablesRefused", expvar.Func(func() any { return i.follower.Status().Refused }))
	i.metrics.Set("inFlight", expvar.Func(func() any { return i.entry.InFlight() }))
	i.metrics.Set("shardsOwned", expvar.Func(func() any { return len(i.ownership.Owned()) }))
	i.metrics.Set("workersOutOfReach", expvar.Func(func() any { return i.countUnreachable() }))
}

// countUnreachable returns the number of workers of owned shards that do not
// respond.
func (i *Instance) countUnreachable() int {
	n := 0
	for _, s := range i.placer.Status() {
		for _, w := range s.Workers {
			if !w.Reachable {
				n++
			}
		}
	}
	return n
}
