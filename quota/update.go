package quota

import (
	"lovagestand.example/lovagestand"
)

// ledgerUpdate is one update of a ledger by one holder, see [Holder.Write].
type ledgerUpdate struct {
	holder     *Holder
	ledger     *Ledger
	index      int
	poolShards []lovagestand.ShardName
	usage      map[lovagestand.TeamName]Usage
	// tablesOutdated indicates that another writer had newer tables in force.
	// No share is raised then.
	tablesOutdated bool
	// worthWriting indicates that the change is worth a write.
	worthWriting bool
}

// syncTeams adds and removes teams according to the tables in force.
func (u *ledgerUpdate) syncTeams() {
	for team, quota := range u.holder.quotas {
		t := u.ledger.Teams[team]
		if t == nil {
			t = &TeamEntry{}
			u.ledger.Teams[team] = t
		}
		if t.Since < quota.Since {
			t.Since = quota.Since
			u.worthWriting = true
		}
	}
	for team := range u.ledger.Teams {
		if _, limited := u.holder.quotas[team]; !limited {
			delete(u.ledger.Teams, team)
			u.worthWriting = true
		}
	}
}

// updateTeam sets the share and the demand of one team and returns the share.
func (u *ledgerUpdate) updateTeam(team lovagestand.TeamName, entry *TeamEntry) lovagestand.Resources {
	current := entry.Shares[u.index].Resources()
	teamQuota, limited := u.holder.quotas[team]
	if !limited {
		return current
	}
	quota, usage := teamQuota.Quota, u.usage[team]
	limit := u.holder.limit(team)
	share := u.nextShare(team, entry, current, limit, quota)
	minChange := u.ledger.minChange(quota)
	shareChanged := !nearlyEqual(current, share, minChange)
	frozenShareChanged := u.holder.frozen[team] && current != share
	unblocksTask := usage.blocked(limit) && share != current
	demandChanged := !nearlyEqual(entry.Demands[u.index].Resources(), usage.demand(), minChange)
	u.worthWriting = u.worthWriting || shareChanged || frozenShareChanged || unblocksTask || demandChanged
	entry.setShard(u.index, share, usage.demand())
	return share
}

// nextShare returns the share to write. It is at least what the running tasks
// use. It is also at least the lower of the current share and the limit, because
// the shard may start tasks within that until the write has taken effect.
func (u *ledgerUpdate) nextShare(team lovagestand.TeamName, entry *TeamEntry, current, limit, quota lovagestand.Resources) lovagestand.Resources {
	usage := u.usage[team]
	if !u.holder.joined {
		// Until the epoch of this owner is written, writes of its predecessor
		// can still take effect, so the share must not be lowered.
		return maxResources(current, usage.Running)
	}
	floor := maxResources(usage.Running, minResources(current, limit))
	if u.tablesOutdated || !u.ledger.allShardsCounted(entry, u.poolShards) {
		return floor
	}
	room := quota.Sub(entry.totalShares().Sub(current)).Sub(floor)
	if !room.Valid() {
		return floor
	}
	target := targetShare(entry, u.index, u.ledger.shardCount(), quota, usage)
	return floor.Add(shareIncrease(target.Sub(floor), room, usage, floor))
}
