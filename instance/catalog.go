package instance

import (
	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/entry"
	"lovagestand.example/lovagestand/quota"
	"lovagestand.example/lovagestand/table"
)

// catalog shows the tables in force to the placer and the entry.
type catalog struct {
	follower *table.Follower
	quotas   *quota.Manager
}

var (
	_ lovagestand.Catalog = catalog{}
	_ entry.Routes        = catalog{}
)

// PoolOf implements [lovagestand.Catalog].
func (c catalog) PoolOf(w lovagestand.Worker) (lovagestand.PoolName, bool) {
	tables, ok := c.follower.Current()
	if !ok {
		return "", false
	}
	return tables.PoolOf(w)
}

// Leaving implements [lovagestand.Catalog].
func (c catalog) Leaving(w lovagestand.Worker) bool {
	tables, ok := c.follower.Current()
	return ok && tables.Leaving(w.Name)
}

// Policies implements [lovagestand.Catalog].
func (c catalog) Policies(shard lovagestand.ShardName) []lovagestand.PoolPolicy {
	tables, ok := c.follower.Current()
	if !ok {
		return nil
	}
	var policies []lovagestand.PoolPolicy
	for _, p := range tables.Pools() {
		policies = append(policies, p.Policy())
	}
	return c.quotas.Policies(shard, policies)
}

// CheckWaiting implements [lovagestand.Catalog].
func (c catalog) CheckWaiting(t lovagestand.Task) error {
	tables, ok := c.follower.Current()
	if !ok {
		return nil
	}
	return tables.Waits(t)
}

// Ready implements [entry.Routes].
func (c catalog) Ready() bool {
	_, ok := c.follower.Current()
	return ok
}

// Route implements [entry.Routes].
func (c catalog) Route(name lovagestand.RouteName) (entry.Route, bool) {
	tables, ok := c.follower.Current()
	if !ok {
		return entry.Route{}, false
	}
	r, ok := tables.Route(name)
	if !ok {
		return entry.Route{}, false
	}
	return entry.Route{
		Name:        r.Name,
		Pool:        r.Pool,
		Class:       r.Class,
		Idempotent:  r.Idempotent,
		Exclusive:   r.Exclusive,
		Checkpoints: r.Checkpoints,
		Resources:   r.Resources.Value(),
		Tasks:       r.Tasks,
		StartWithin: r.StartWithin,
		RunTime:     r.RunTime,
	}, true
}
