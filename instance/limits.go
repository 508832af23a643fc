package instance

import (
	"context"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/entry"
	"lovagestand.example/lovagestand/limit"
	"lovagestand.example/lovagestand/quota"
	"lovagestand.example/lovagestand/table"
)

// limits implements [entry.Limiter] with the limits of the tables in force.
type limits struct {
	limiter  *limit.Limiter
	follower *table.Follower
}

// Admit implements [entry.Limiter].
func (l limits) Admit(route entry.Route, team lovagestand.TeamName) (func(), error) {
	release, err := l.limiter.Admit(route.Name, team)
	var missing *table.MissingRowError
	if errors.As(err, &missing) {
		// The route may be new in tables that are in force but that the limiter
		// has not received yet.
		current, _ := l.follower.Current()
		l.limiter.SetTables(current)
		release, err = l.limiter.Admit(route.Name, team)
	}
	var refusal *limit.Error
	var unlisted *table.TeamNotListedError
	switch {
	case errors.As(err, &refusal):
		return nil, &entry.LimitedError{Limit: string(refusal.Kind), RetryAfter: refusal.RetryAfter}
	case errors.As(err, &missing):
		return nil, &entry.UnknownRouteError{Route: route.Name}
	case errors.As(err, &unlisted):
		return nil, &entry.InvalidError{Field: "team", Reason: unlisted.Error()}
	}
	return release, err
}

// followLimits updates the limiter whenever the tables in force or the member list
// change. The list determines the instance's share of the limits.
func (i *Instance) followLimits(ctx context.Context) {
	for {
		tables, members := i.follower.Changed(), i.members.Changed()
		if current, inForce := i.follower.Current(); inForce {
			i.limiter.SetTables(current)
		}
		i.limiter.SetShare(i.share())
		select {
		case <-ctx.Done():
			return
		case <-tables:
		case <-members:
		}
	}
}

// share returns the instance's share of the limits, which is determined by its
// position among the instances on the member list.
func (i *Instance) share() limit.Share {
	instances := slices.Clone(i.listedInstances())
	slices.SortFunc(instances, func(a, b lovagestand.Instance) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	index := slices.IndexFunc(instances, func(o lovagestand.Instance) bool { return o.ID == i.id })
	return limit.Share{Index: max(index, 0), LiveInstances: max(len(instances), 1)}
}

// quotaDeps returns the dependencies of the manager of quota shares.
func (i *Instance) quotaDeps() quota.Deps {
	return quota.Deps{
		Store:  i.deps.Store,
		Tables: i.follower.Current,
		Shards: func() []quota.Shard { return i.placer.QuotaShards() },
		Epoch: func(shard lovagestand.ShardName) (lovagestand.Epoch, bool) {
			lease, owned := i.ownership.Lease(shard)
			return lease.Epoch, owned
		},
		PoolShards:         i.shardsOfPool,
		HasWorkers:         i.hasWorkers,
		CountLiveInstances: func() int { return i.share().LiveInstances },
		Seed:               xxhash.Sum64String(string(i.id)),
		Log:                i.log,
	}
}

// shardsOfPool returns the shards that have workers of a pool, sorted.
func (i *Instance) shardsOfPool(pool lovagestand.PoolName) []lovagestand.ShardName {
	tables, inForce := i.follower.Current()
	if !inForce {
		return nil
	}
	var shards []lovagestand.ShardName
	for _, w := range i.listedWorkers() {
		if p, serves := tables.PoolOf(w); serves && p == pool {
			shards = append(shards, w.Shard())
		}
	}
	slices.Sort(shards)
	return slices.Compact(shards)
}

// hasWorkers reports whether a shard has workers on the member list. It returns true
// while the list has not been read, because the shard may have workers then.
func (i *Instance) hasWorkers(shard lovagestand.ShardName) bool {
	members, read := i.members.Current()
	return !read || slices.ContainsFunc(members.Workers, func(w lovagestand.Worker) bool { return w.Shard() == shard })
}

// listedWorkers returns the workers on the member list.
func (i *Instance) listedWorkers() []lovagestand.Worker {
	members, _ := i.members.Current()
	return members.Workers
}
