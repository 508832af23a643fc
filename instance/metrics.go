package instance

import (
	"expvar"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/metrics"
)

// instrument makes the instance's counters and puts them between the instance and
// the outside.
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

// publishMetrics adds what the parts of the instance count themselves.
func (i *Instance) publishMetrics() {
	i.metrics.Set("peers", i.ownership.Counters().Var())
	i.metrics.Set("tablesRevision", expvar.Func(func() any { return i.follower.Status().Revision }))
	i.metrics.Set("tablesRefused", expvar.Func(func() any { return i.follower.Status().Refused }))
	i.metrics.Set("inFlight", expvar.Func(func() any { return i.entry.InFlight() }))
	i.metrics.Set("shardsOwned", expvar.Func(func() any { return len(i.ownership.Owned()) }))
	i.metrics.Set("workersOutOfReach", expvar.Func(func() any { return i.countUnreachable() }))
}

// countUnreachable counts the workers of owned shards that do not answer.
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
