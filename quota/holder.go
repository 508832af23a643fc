package quota

import (
	"fmt"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
)

// Usage is what a shard takes of a team's quota.
type Usage struct {
	// Running is taken by tasks that run, or may have been started.
	Running lovagestand.Resources
	// Waiting is the sum over the tasks that wait.
	Waiting lovagestand.Resources
	// Next is what the smallest waiting task takes.
	Next lovagestand.Resources
}

// WithWaiting returns a copy of u in which one more task waits.
func (u Usage) WithWaiting(task lovagestand.Resources) Usage {
	if u.Waiting.IsZero() || task.Fits(u.Next) {
		u.Next = task
	}
	u.Waiting = u.Waiting.Add(task)
	return u
}

// demand is all that the shard could use.
func (u Usage) demand() lovagestand.Resources {
	return u.Running.Add(u.Waiting)
}

// blocked reports whether a task waits that does not fit within a limit.
func (u Usage) blocked(limit lovagestand.Resources) bool {
	return !u.Waiting.IsZero() && !u.Running.Add(u.Next).Fits(limit)
}

// TeamResources are amounts by team.
type TeamResources map[lovagestand.TeamName]lovagestand.Resources

// TeamQuota is a team's quota over the whole pool.
type TeamQuota struct {
	Quota lovagestand.Resources
	// Since is the revision from which on the team has had a quota without a
	// break, see [table.Tables.LimitedSince].
	Since table.Revision
}

// TeamQuotas are the quotas in force by team.
type TeamQuotas map[lovagestand.TeamName]TeamQuota

// TeamQuotasOf returns the quotas of the teams of a book.
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

// Holder holds the shares of one shard in one book. It has no clock and no
// store. It is not safe for concurrent use.
//
// One round is: [Holder.Read] what the store has, put [Holder.Limits] in force
// at the shard, [Holder.Write] what the shard then takes, and tell the outcome
// by [Holder.Written], [Holder.Refused] or nothing if it is not known.
type Holder struct {
	shard          lovagestand.ShardName
	epoch          lovagestand.Epoch
	tablesRevision table.Revision
	quotas         TeamQuotas
	// shares are what the store surely grants this owner.
	shares TeamResources
	// caps are lower bounds of starts that hold until the lower share is
	// written.
	caps TeamResources
	// frozen teams start nothing: their quota fell, is new, or is exceeded.
	frozen map[lovagestand.TeamName]bool
	// ledgerRevision is the revision of the book last read.
	ledgerRevision lovagestand.Revision
	// writePending says that the outcome of writes made at revision sentAt is not
	// known; proposed are the least shares among them.
	writePending  bool
	pendingAt     lovagestand.Revision
	pendingShares TeamResources
	// draftShares are the shares of a write that is not sent yet.
	draftShares TeamResources
	// joined says that the book carries this owner's epoch.
	joined bool
	ended  bool
}

// NewHolder returns the holder of a shard for the owner of an epoch. It grants
// nothing before it has written the epoch.
func NewHolder(shard lovagestand.ShardName, epoch lovagestand.Epoch) *Holder {
	return &Holder{
		shard: shard, epoch: epoch, quotas: TeamQuotas{}, shares: TeamResources{}, caps: TeamResources{},
		frozen: map[lovagestand.TeamName]bool{},
	}
}

// Handover is what an owner passes to its successor by hand.
type Handover struct {
	Tables table.Revision
	Rules  TeamQuotas
	Shares TeamResources
}

// HandOver ends the holder and returns what its successor goes on with. It
// fails with a [PendingError] while the outcome of a write is not known; the
// successor then reads the store.
func (h *Holder) HandOver() (Handover, error) {
	h.ended = true
	if h.writePending || !h.joined {
		return Handover{}, &HandoverError{Shard: h.shard}
	}
	handover := Handover{Tables: h.tablesRevision, Rules: h.quotas, Shares: TeamResources{}}
	for team, share := range h.shares {
		if !h.frozen[team] {
			handover.Shares[team] = share
		}
	}
	return handover, nil
}

// WithHandover returns a new holder that grants what its predecessor passed
// on, also before it reads the store.
func (h *Holder) WithHandover(handover Handover) *Holder {
	next := NewHolder(h.shard, h.epoch)
	next.tablesRevision, next.quotas, next.shares = handover.Tables, handover.Rules, handover.Shares
	return next
}

// HandoverError says that a holder cannot be handed over.
type HandoverError struct {
	Shard lovagestand.ShardName
}

// Error implements error.
func (e *HandoverError) Error() string {
	return fmt.Sprintf("shard %q: a write of quota shares has no known outcome", e.Shard)
}

// SetTables brings the quotas of other tables into force. Teams whose quota
// fell or is new start nothing until a round has counted them.
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

// Limits returns what each team with a quota may run in the shard now.
func (h *Holder) Limits() TeamResources {
	limits := make(TeamResources, len(h.quotas))
	for team := range h.quotas {
		limits[team] = h.limit(team)
	}
	return limits
}

// limit returns what a team may run in the shard now.
func (h *Holder) limit(team lovagestand.TeamName) lovagestand.Resources {
	if _, limited := h.quotas[team]; !limited || h.frozen[team] || h.ended {
		return lovagestand.Resources{}
	}
	share := h.shares[team]
	return minResources(share, h.capOf(team, share))
}

func (h *Holder) capOf(team lovagestand.TeamName, fallback lovagestand.Resources) lovagestand.Resources {
	if c, capped := h.caps[team]; capped {
		return c
	}
	return fallback
}

// Read takes what the store has. Known are the shards that have workers of
// the pool. It returns false where a later owner has written: this holder then
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

// clearShares forgets the shares of a shard that was retired from the book.
func (h *Holder) clearShares() {
	if h.joined {
		h.joined, h.shares = false, TeamResources{}
	}
}

// updateFrozen decides which teams may start tasks within their shares.
func (h *Holder) updateFrozen(ledger *Ledger, poolShards []lovagestand.ShardName) {
	for team, quota := range h.quotas {
		t := ledger.Teams[team]
		current := ledger.Tables >= h.tablesRevision || !h.frozen[team]
		if t != nil && current && t.Since >= quota.Since && ledger.allShardsCounted(t, poolShards) && t.totalShares().Fits(quota.Quota) {
			delete(h.frozen, team)
		} else {
			h.frozen[team] = true
		}
	}
}

// LowerLimits lowers what teams start within, before their lower shares are written,
// by what the shard was last seen to take.
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

// Write changes the book to what the shard needs. Usage is what teams take
// while [Holder.Limits] is in force. It returns false where nothing is worth a
// write.
func (h *Holder) Write(ledger *Ledger, usage map[lovagestand.TeamName]Usage, poolShards []lovagestand.ShardName) bool {
	if h.ended {
		return false
	}
	index := ledger.addShard(h.shard)
	w := &ledgerUpdate{holder: h, ledger: ledger, index: index, poolShards: poolShards, usage: usage}
	w.worthWriting = h.awaitedByOthers(ledger, index)
	w.tablesOutdated = ledger.Tables > h.tablesRevision
	ledger.Tables = max(ledger.Tables, h.tablesRevision)
	if !w.tablesOutdated {
		w.syncTeams()
	}
	ledger.Shards[index].Epoch, ledger.Shards[index].Tables = h.epoch, max(ledger.Shards[index].Tables, h.tablesRevision)
	h.draftShares = TeamResources{}
	for team, t := range ledger.Teams {
		h.draftShares[team] = w.updateTeam(team, t)
	}
	return w.worthWriting
}

// awaitedByOthers reports whether others wait for this owner to write: it is not in
// the book, or has not counted a team whose quota is new.
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

// WriteSent notes that a write at a revision is sent now and may take effect. It
// returns false where the holder has ended meanwhile and nothing may be sent.
// What is started until the next [Holder.Read] keeps to the lower shares, as
// [Holder.Plan] capped it.
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

// WriteSucceeded notes that the write took effect and gave the book a revision.
func (h *Holder) WriteSucceeded(ledger *Ledger, revision lovagestand.Revision, poolShards []lovagestand.ShardName) {
	h.Read(ledger, revision, poolShards)
}

// WriteRejected notes that the write took no effect and never will.
func (h *Holder) WriteRejected() {
	h.writePending = false
}

// Settled reports whether the shard has joined the book and none of its teams
// waits for other shards.
func (h *Holder) Settled() bool {
	return h.ended || h.joined && len(h.frozen) == 0
}

// Ended reports whether a later owner has written or the shares were handed
// over.
func (h *Holder) Ended() bool {
	return h.ended
}
