package quota

import (
	"fmt"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
)

// Usage is what the tasks of one team use and request of the team's quota in a
// shard.
type Usage struct {
	// Running is the sum over the tasks that run or may have been started.
	Running lovagestand.Resources
	// Waiting is the sum over the waiting tasks.
	Waiting lovagestand.Resources
	// Next is the amount that the smallest waiting task requests.
	Next lovagestand.Resources
}

// WithWaiting returns a copy of u with one more waiting task.
func (u Usage) WithWaiting(task lovagestand.Resources) Usage {
	if u.Waiting.IsZero() || task.Fits(u.Next) {
		u.Next = task
	}
	u.Waiting = u.Waiting.Add(task)
	return u
}

// demand returns all that the team could use in the shard.
func (u Usage) demand() lovagestand.Resources {
	return u.Running.Add(u.Waiting)
}

// blocked reports whether tasks wait and even the smallest of them does not fit
// within the limit.
func (u Usage) blocked(limit lovagestand.Resources) bool {
	return !u.Waiting.IsZero() && !u.Running.Add(u.Next).Fits(limit)
}

// TeamResources maps teams to resources, for example to their shares or limits.
type TeamResources map[lovagestand.TeamName]lovagestand.Resources

// TeamQuota is a team's quota over the whole pool.
type TeamQuota struct {
	Quota lovagestand.Resources
	// Since is the revision of the tables from which on the team has had a
	// quota without interruption, see [table.Tables.LimitedSince].
	Since table.Revision
}

// TeamQuotas maps teams to the quotas in force.
type TeamQuotas map[lovagestand.TeamName]TeamQuota

// TeamQuotasOf returns the quotas of the teams whose shares are recorded in a
// ledger.
func TeamQuotasOf(tables table.Tables, id LedgerID) TeamQuotas {
	quotas := TeamQuotas{}
	pool, _ := tables.Pool(id.Pool)
	for _, t := range pool.Teams {
		if q := pool.Quota(t); q != nil && GroupOf(t.Name) == id.Group {
			quotas[t.Name] = TeamQuota{Quota: *q, Since: tables.LimitedSince(id.Pool, t.Name)}
		}
	}
	return quotas
}

// Holder holds the shares of one shard in one ledger. It uses no clock and
// makes no store calls. It is not safe for concurrent use.
//
// In each round, the caller passes the stored ledger to [Holder.Read], lowers
// the limits with [Holder.LowerLimits], puts [Holder.Limits] in force at the
// shard, and passes the usage of the shard under these limits to
// [Holder.Write]. It then calls [Holder.WriteSent], sends the write to the
// store, and reports the outcome with [Holder.WriteSucceeded] or
// [Holder.WriteRejected]. If the outcome is unknown, it calls neither.
type Holder struct {
	shard          lovagestand.ShardName
	epoch          lovagestand.Epoch
	tablesRevision table.Revision
	quotas         TeamQuotas
	// shares are the shares that this owner is guaranteed to hold, whatever the
	// outcome of a pending write.
	shares TeamResources
	// caps are limits no higher than the shares. They apply until the lower
	// shares are written.
	caps TeamResources
	// frozen teams start no tasks because their quota was lowered, is new, or
	// is exceeded by the sum of their shares.
	frozen map[lovagestand.TeamName]bool
	// ledgerRevision is the revision of the ledger that was last read.
	ledgerRevision lovagestand.Revision
	// writePending indicates that the outcome of the writes made at revision
	// pendingAt is unknown. pendingShares are the lowest shares among these
	// writes.
	writePending  bool
	pendingAt     lovagestand.Revision
	pendingShares TeamResources
	// draftShares are the shares of an update that has not been sent yet.
	draftShares TeamResources
	// joined indicates that the ledger records this owner's epoch.
	joined bool
	// ended indicates that the holder grants nothing any more, see
	// [Holder.Ended].
	ended bool
}

// NewHolder returns the holder of the shares of a shard for the owner with the
// given epoch. It grants nothing until the epoch is written to the ledger.
func NewHolder(shard lovagestand.ShardName, epoch lovagestand.Epoch) *Holder {
	return &Holder{
		shard: shard, epoch: epoch, quotas: TeamQuotas{}, shares: TeamResources{}, caps: TeamResources{},
		frozen: map[lovagestand.TeamName]bool{},
	}
}

// Handover is the state that an owner passes directly to its successor.
type Handover struct {
	Tables table.Revision
	Quotas TeamQuotas
	Shares TeamResources
}

// HandOver ends the holder and returns the state with which its successor
// continues. It fails with a [HandoverError] if the holder has not joined the
// ledger or the outcome of a write is unknown. The successor must then start
// from the ledger in the store.
func (h *Holder) HandOver() (Handover, error) {
	h.ended = true
	if h.writePending || !h.joined {
		return Handover{}, &HandoverError{Shard: h.shard}
	}
	handover := Handover{Tables: h.tablesRevision, Quotas: h.quotas, Shares: TeamResources{}}
	for team, share := range h.shares {
		if !h.frozen[team] {
			handover.Shares[team] = share
		}
	}
	return handover, nil
}

// WithHandover returns a new holder that grants the shares handed over by its
// predecessor even before it reads the ledger.
func (h *Holder) WithHandover(handover Handover) *Holder {
	next := NewHolder(h.shard, h.epoch)
	next.tablesRevision, next.quotas, next.shares = handover.Tables, handover.Quotas, handover.Shares
	return next
}

// HandoverError indicates that a holder cannot hand over its shares.
type HandoverError struct {
	Shard lovagestand.ShardName
}

// Error implements error.
func (e *HandoverError) Error() string {
	return fmt.Sprintf("shard %q: cannot hand over quota shares: the ledger has not been joined or the outcome of a write is unknown", e.Shard)
}

// SetTables puts the quotas of newer tables in force. A team whose quota is new
// or was lowered starts no tasks until [Holder.Read] finds that all shards have
// counted its tasks and that its shares fit within the quota.
func (h *Holder) SetTables(revision table.Revision, quotas TeamQuotas) {
	if revision <= h.tablesRevision {
		return
	}
	for team, quota := range quotas {
		old, had := h.quotas[team]
		if !had || old.Since != quota.Since || !old.Quota.Fits(quota.Quota) {
			h.frozen[team] = true
		}
	}
	h.tablesRevision, h.quotas = revision, quotas
}

// Limits returns the resources that the tasks of each team with a quota may use
// in the shard now.
func (h *Holder) Limits() TeamResources {
	limits := make(TeamResources, len(h.quotas))
	for team := range h.quotas {
		limits[team] = h.limit(team)
	}
	return limits
}

// limit returns the resources that the tasks of a team may use in the shard
// now.
func (h *Holder) limit(team lovagestand.TeamName) lovagestand.Resources {
	if _, limited := h.quotas[team]; !limited || h.frozen[team] || h.ended {
		return lovagestand.Resources{}
	}
	share := h.shares[team]
	return minResources(share, h.capOf(team, share))
}

// capOf returns the cap of a team, or fallback if it has none.
func (h *Holder) capOf(team lovagestand.TeamName, fallback lovagestand.Resources) lovagestand.Resources {
	if c, capped := h.caps[team]; capped {
		return c
	}
	return fallback
}

// Read applies a ledger as read from the store. The poolShards are the shards
// that have workers of the pool. It returns false if the holder has ended, for
// example because a later owner has written to the ledger. The holder then
// grants nothing any more.
func (h *Holder) Read(ledger *Ledger, revision lovagestand.Revision, poolShards []lovagestand.ShardName) bool {
	index := ledger.shardIndex(h.shard)
	if index >= 0 && ledger.Shards[index].Epoch > h.epoch {
		h.ended = true
	}
	if h.ended || revision < h.ledgerRevision {
		return !h.ended
	}
	h.ledgerRevision = revision
	if h.writePending && revision > h.pendingAt {
		h.writePending, h.pendingShares = false, nil
	}
	if index < 0 || ledger.Shards[index].Epoch < h.epoch {
		h.clearShares()
		return true
	}
	h.joined = true
	h.shares = TeamResources{}
	for team := range ledger.Teams {
		h.shares[team] = ledger.shareOf(team, index)
	}
	if h.writePending {
		h.shares = minByTeam(h.shares, h.pendingShares)
	}
	h.caps = TeamResources{}
	h.updateFrozen(ledger, poolShards)
	return true
}

// clearShares drops the shares of a holder whose shard was retired from the
// ledger. Shares from a handover are kept until the holder has joined the
// ledger.
func (h *Holder) clearShares() {
	if h.joined {
		h.joined, h.shares = false, TeamResources{}
	}
}

// updateFrozen determines which teams may start tasks within their shares.
func (h *Holder) updateFrozen(ledger *Ledger, poolShards []lovagestand.ShardName) {
	for team, quota := range h.quotas {
		t := ledger.Teams[team]
		// A frozen team stays frozen while the ledger carries older tables than
		// this holder, because writers with these older tables can still raise
		// shares.
		current := ledger.Tables >= h.tablesRevision || !h.frozen[team]
		if t != nil && current && t.Since >= quota.Since && ledger.allShardsCounted(t, poolShards) && t.totalShares().Fits(quota.Quota) {
			delete(h.frozen, team)
		} else {
			h.frozen[team] = true
		}
	}
}

// LowerLimits lowers the limits of the teams to what the shard needs according
// to its last reported usage. The limits are lowered before the lower shares
// are written.
func (h *Holder) LowerLimits(ledger *Ledger, usage map[lovagestand.TeamName]Usage) {
	index := ledger.shardIndex(h.shard)
	if index < 0 || !h.joined || h.ended {
		return
	}
	limits := h.Limits()
	for team, quota := range h.quotas {
		if t := ledger.Teams[team]; t != nil {
			h.caps[team] = reducedLimit(t, index, ledger.shardCount(), quota.Quota, usage[team], limits[team])
		}
	}
}

// Write updates the ledger to the shares that the shard needs. It does not send
// the ledger to the store. The usage must be measured while [Holder.Limits] are
// in force. It returns false if no change is worth a write.
func (h *Holder) Write(ledger *Ledger, usage map[lovagestand.TeamName]Usage, poolShards []lovagestand.ShardName) bool {
	if h.ended {
		return false
	}
	index := ledger.addShard(h.shard)
	update := &ledgerUpdate{holder: h, ledger: ledger, index: index, poolShards: poolShards, usage: usage}
	update.worthWriting = h.awaitedByOthers(ledger, index)
	update.tablesOutdated = ledger.Tables > h.tablesRevision
	ledger.Tables = max(ledger.Tables, h.tablesRevision)
	if !update.tablesOutdated {
		update.syncTeams()
	}
	ledger.Shards[index].Epoch, ledger.Shards[index].Tables = h.epoch, max(ledger.Shards[index].Tables, h.tablesRevision)
	h.draftShares = TeamResources{}
	for team, t := range ledger.Teams {
		h.draftShares[team] = update.updateTeam(team, t)
	}
	return update.worthWriting
}

// awaitedByOthers reports whether other owners wait for a write of this one,
// because the ledger lacks its epoch or its tables, or because it has not
// counted the tasks of a team whose quota is new.
func (h *Holder) awaitedByOthers(ledger *Ledger, index int) bool {
	if ledger.Shards[index].Epoch != h.epoch || ledger.Tables < h.tablesRevision {
		return true
	}
	for _, t := range ledger.Teams {
		if ledger.Shards[index].Tables < t.Since && t.Since <= h.tablesRevision {
			return true
		}
	}
	return false
}

// WriteSent records that an update of the ledger at revision previous is about
// to be sent and may take effect. It returns false if the holder has ended, in
// which case the update must not be sent. Until the next [Holder.Read], tasks
// are started within the lower of the old and the new shares, because
// [Holder.LowerLimits] has capped the limits.
func (h *Holder) WriteSent(previous lovagestand.Revision) bool {
	if h.ended {
		return false
	}
	if h.writePending {
		h.draftShares = minByTeam(h.draftShares, h.pendingShares)
	}
	h.writePending, h.pendingAt, h.pendingShares = true, previous, h.draftShares
	return true
}

// WriteSucceeded records that the write took effect and gave the ledger the
// revision.
func (h *Holder) WriteSucceeded(ledger *Ledger, revision lovagestand.Revision, poolShards []lovagestand.ShardName) {
	h.Read(ledger, revision, poolShards)
}

// WriteRejected records that the write had no effect and is guaranteed to have
// none later.
func (h *Holder) WriteRejected() {
	h.writePending = false
}

// Settled reports whether the shard has joined the ledger and none of its teams
// waits for other shards. A holder that has ended is settled too.
func (h *Holder) Settled() bool {
	return h.ended || h.joined && len(h.frozen) == 0
}

// Ended reports whether a later owner has written to the ledger or the shares
// were handed over.
func (h *Holder) Ended() bool {
	return h.ended
}
