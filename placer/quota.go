package placer

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/quota"
)

// usages is the resource usage of teams, by pool.
type usages map[lovagestand.PoolName]map[lovagestand.TeamName]quota.Usage

// QuotaShards returns the open shards in the form that a [quota.Manager] needs.
func (p *Placer) QuotaShards() []quota.Shard {
	var shards []quota.Shard
	for _, s := range p.openShards() {
		shards = append(shards, quota.Shard{Name: s.name, Epoch: s.epoch, Refresh: s.refreshQuotas})
	}
	return shards
}

// refreshQuotas puts the current policies in force and returns the usage of the
// teams under them. It returns false as long as tasks of earlier owners that
// the shard has not found yet may still run.
func (s *shard) refreshQuotas() (map[lovagestand.PoolName]map[lovagestand.TeamName]quota.Usage, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isReady {
		return nil, false
	}
	for _, leaseEnd := range s.unread {
		if now.Before(leaseEnd) {
			return nil, false
		}
	}
	s.decider.SetPolicies(s.deps.Catalog.Policies(s.name))
	byPool := usages{}
	for _, p := range s.parts {
		byPool.add(p)
	}
	s.wakeDecideLoop()
	return byPool, true
}

// add adds the resources of one part.
func (u usages) add(p *part) {
	if p.state == partEnded || p.state == partBlocked {
		return
	}
	teams := u[p.task.Pool]
	if teams == nil {
		teams = map[lovagestand.TeamName]quota.Usage{}
		u[p.task.Pool] = teams
	}
	usage := teams[p.task.Team]
	if p.state == partQueued {
		usage = usage.WithWaiting(p.task.Resources)
	} else {
		usage.Running = usage.Running.Add(p.task.Resources)
	}
	teams[p.task.Team] = usage
}
