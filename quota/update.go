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
func (w *ledgerUpdate) syncTeams() {
	for team, quota := range w.holder.quotas {
		t := w.ledger.Teams[team]
		if t == nil {
			t = &TeamEntry{}
			w.ledger.Teams[team] = t
		}
		if t.Since < quota.Since {
			t.Since = quota.Since
			w.worthWriting = true
		}
	}
	for team := range w.ledger.Teams {
		if _, limited := w.holder.quotas[team]; !limited {
			delete(w.ledger.Teams, team)
			w.worthWriting = true
		}
	}
}

// updateTeam sets the share and the demand of one team and returns the share.
func (w *ledgerUpdate) updateTeam(team lovagestand.TeamName, entry *TeamEntry) lovagestand.Resources {
	current := entry.Shares[w.index].Resources()
	teamQuota, limited := w.holder.quotas[team]
	if !limited {
		return current
	}
	quota, usage := teamQuota.Quota, w.usage[team]
	limit := w.holder.limit(team)
	share := w.nextShare(team, entry, current, limit, quota)
	minChange := w.ledger.minChange(quota)
	shareChanged := !nearlyEqual(current, share, minChange)
	frozenShareChanged := w.holder.frozen[team] && current != share
	unblocksTask := usage.blocked(limit) && share != current
	demandChanged := !nearlyEqual(entry.Demands[w.index].Resources(), usage.demand(), minChange)
	w.worthWriting = w.worthWriting || shareChanged || frozenShareChanged || unblocksTask || demandChanged
	entry.setShard(w.index, share, usage.demand())
	return share
}

// nextShare returns the share to write. It is at least what the running tasks
// use, and at least what the shard may start within until the write has taken
// effect.
func (w *ledgerUpdate) nextShare(team lovagestand.TeamName, entry *TeamEntry, current, limit, quota lovagestand.Resources) lovagestand.Resources {
	usage := w.usage[team]
	if !w.holder.joined {
		// Until the epoch of this owner is written, writes of its predecessor
		// can still take effect, so the share must not be lowered.
		return maxResources(current, usage.Running)
	}
	floor := maxResources(usage.Running, minResources(current, limit))
	if w.tablesOutdated || !w.ledger.allShardsCounted(entry, w.poolShards) {
		return floor
	}
	room := quota.Sub(entry.totalShares().Sub(current)).Sub(floor)
	if !room.Valid() {
		return floor
	}
	target := targetShare(entry, w.index, w.ledger.shardCount(), quota, usage)
	return floor.Add(shareIncrease(target.Sub(floor), room, usage, floor))
}
