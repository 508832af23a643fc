package instance

import (
	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/entry"
	"lovagestand.example/lovagestand/quota"
	"lovagestand.example/lovagestand/table"
)

// catalog provides the tables in force to the placer and the entry.
type catalog struct {
	follower *table.Follower
	quotas   *quota.Manager
}

var (
	_ lovagestand.Catalog = catalog{}
	_ entry.Routes        = catalog{}
)

// PoolOf implements [lovagestand.Catalog].
func (c catalog) PoolOf(worker lovagestand.Worker) (lovagestand.PoolName, bool) {
	tables, ok := c.follower.Current()
	if !ok {
		return "", false
	}
	return tables.PoolOf(worker)
}

// Leaving implements [lovagestand.Catalog].
func (c catalog) Leaving(worker lovagestand.Worker) bool {
	tables, ok := c.follower.Current()
	return ok && tables.Leaving(worker.Name)
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
func (c catalog) CheckWaiting(task lovagestand.Task) error {
	tables, ok := c.follower.Current()
	if !ok {
		return nil
	}
	return tables.CheckWaiting(task)
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
	row, ok := tables.Route(name)
	if !ok {
		return entry.Route{}, false
	}
	return entry.Route{
		Name:        row.Name,
		Pool:        row.Pool,
		Class:       row.Class,
		Idempotent:  row.Idempotent,
		Exclusive:   row.Exclusive,
		Checkpoints: row.Checkpoints,
		Resources:   row.Resources.Value(),
		Tasks:       row.Tasks,
		StartWithin: row.StartWithin,
		RunTime:     row.RunTime,
	}, true
}
