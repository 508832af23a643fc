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

// stuck reports whether a task waits that does not fit within a limit.
func (u Usage) stuck(limit lovagestand.Resources) bool {
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
	rules := TeamQuotas{}
	pool, _ := tables.Pool(id.Pool)
	for _, t := range pool.Teams {
		if q := pool.Quota(t); q != nil && GroupOf(t.Name) == id.Group {
			rules[t.Name] = TeamQuota{Quota: *q, Since: tables.LimitedSince(id.Pool, t.Name)}
		}
	}
	return rules
}

// Holder holds the shares of one shard in one book. It has no clock and no
// store. It is not safe for concurrent use.
//
// One round is: [Holder.Read] what the store has, put [Holder.Limits] in force
// at the shard, [Holder.Write] what the shard then takes, and tell the outcome
// by [Holder.Written], [Holder.Refused] or nothing if it is not known.
type Holder struct {
	shard  lovagestand.ShardName
	epoch  lovagestand.Epoch
	tables table.Revision
	rules  TeamQuotas
	// shares are what the store surely grants this owner.
	shares TeamResources
	// caps are lower bounds of starts that hold until the lower share is
	// written.
	caps TeamResources
	// frozen teams start nothing: their quota fell, is new, or is exceeded.
	frozen map[lovagestand.TeamName]bool
	// seen is the revision of the book last read.
	seen lovagestand.Revision
	// pending says that the outcome of writes made at revision sentAt is not
	// known; proposed are the least shares among them.
	pending  bool
	sentAt   lovagestand.Revision
	proposed TeamResources
	// draft are the shares of a write that is not sent yet.
	draft TeamResources
	// entered says that the book carries this owner's epoch.
	entered bool
	ended   bool
}

// NewHolder returns the holder of a shard for the owner of an epoch. It grants
// nothing before it has written the epoch.
func NewHolder(shard lovagestand.ShardName, epoch lovagestand.Epoch) *Holder {
	return &Holder{
		shard: shard, epoch: epoch, rules: TeamQuotas{}, shares: TeamResources{}, caps: TeamResources{},
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
	if h.pending || !h.entered {
		return Handover{}, &HandoverError{Shard: h.shard}
	}
	given := Handover{Tables: h.tables, Rules: h.rules, Shares: TeamResources{}}
	for team, share := range h.shares {
		if !h.frozen[team] {
			given.Shares[team] = share
		}
	}
	return given, nil
}

// WithHandover returns a new holder that grants what its predecessor passed
// on, also before it reads the store.
func (h *Holder) WithHandover(given Handover) *Holder {
	next := NewHolder(h.shard, h.epoch)
	next.tables, next.rules, next.shares = given.Tables, given.Rules, given.Shares
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
func (h *Holder) SetTables(revision table.Revision, rules TeamQuotas) {
	if revision <= h.tables {
		return
	}
	for team, rule := range rules {
		old, had := h.rules[team]
		if !had || old.Since != rule.Since || !old.Quota.Fits(rule.Quota) {
			h.frozen[team] = true
		}
	}
	h.tables, h.rules = revision, rules
}

// Limits returns what each team with a quota may run in the shard now.
func (h *Holder) Limits() TeamResources {
	limits := make(TeamResources, len(h.rules))
	for team := range h.rules {
		limits[team] = h.limit(team)
	}
	return limits
}

// limit returns what a team may run in the shard now.
func (h *Holder) limit(team lovagestand.TeamName) lovagestand.Resources {
	if _, limited := h.rules[team]; !limited || h.frozen[team] || h.ended {
		return lovagestand.Resources{}
	}
	share := h.shares[team]
	return least(share, h.capOf(team, share))
}

func (h *Holder) capOf(team lovagestand.TeamName, none lovagestand.Resources) lovagestand.Resources {
	if c, capped := h.caps[team]; capped {
		return c
	}
	return none
}

// Read takes what the store has. Known are the shards that have workers of
// the pool. It returns false where a later owner has written: this holder then
// grants nothing any more.
func (h *Holder) Read(b *Ledger, revision lovagestand.Revision, known []lovagestand.ShardName) bool {
	i := b.index(h.shard)
	if i >= 0 && b.Shards[i].Epoch > h.epoch {
		h.ended = true
	}
	if h.ended || revision < h.seen {
		return !h.ended
	}
	h.seen = revision
	if h.pending && revision > h.sentAt {
		h.pending, h.proposed = false, nil
	}
	if i < 0 || b.Shards[i].Epoch < h.epoch {
		h.leaveBook()
		return true
	}
	h.entered = true
	h.shares = TeamResources{}
	for team := range b.Teams {
		h.shares[team] = b.share(team, i)
	}
	if h.pending {
		h.shares = lower(h.shares, h.proposed)
	}
	h.caps = TeamResources{}
	h.thaw(b, known)
	return true
}

// leaveBook forgets the shares of a shard that was retired from the book.
func (h *Holder) leaveBook() {
	if h.entered {
		h.entered, h.shares = false, TeamResources{}
	}
}

// thaw decides which teams may start tasks within their shares.
func (h *Holder) thaw(b *Ledger, known []lovagestand.ShardName) {
	for team, rule := range h.rules {
		t := b.Teams[team]
		current := b.Tables >= h.tables || !h.frozen[team]
		if t != nil && current && t.Since >= rule.Since && b.counted(t, known) && t.sum().Fits(rule.Quota) {
			delete(h.frozen, team)
		} else {
			h.frozen[team] = true
		}
	}
}

// LowerLimits lowers what teams start within, before their lower shares are written,
// by what the shard was last seen to take.
func (h *Holder) LowerLimits(b *Ledger, usage map[lovagestand.TeamName]Usage) {
	i := b.index(h.shard)
	if i < 0 || !h.entered || h.ended {
		return
	}
	limits := h.Limits()
	for team, rule := range h.rules {
		if t := b.Teams[team]; t != nil {
			h.caps[team] = plan(t, i, b.live(), rule.Quota, usage[team], limits[team])
		}
	}
}

// Write changes the book to what the shard needs. Usage is what teams take
// while [Holder.Limits] is in force. It returns false where nothing is worth a
// write.
func (h *Holder) Write(b *Ledger, usage map[lovagestand.TeamName]Usage, known []lovagestand.ShardName) bool {
	if h.ended {
		return false
	}
	i := b.enter(h.shard)
	w := &write{holder: h, book: b, index: i, known: known, usage: usage}
	w.worth = h.overdue(b, i)
	w.behind = b.Tables > h.tables
	b.Tables = max(b.Tables, h.tables)
	if !w.behind {
		w.settleTeams()
	}
	b.Shards[i].Epoch, b.Shards[i].Tables = h.epoch, max(b.Shards[i].Tables, h.tables)
	h.draft = TeamResources{}
	for team, t := range b.Teams {
		h.draft[team] = w.team(team, t)
	}
	return w.worth
}

// overdue reports whether others wait for this owner to write: it is not in
// the book, or has not counted a team whose quota is new.
func (h *Holder) overdue(b *Ledger, i int) bool {
	if b.Shards[i].Epoch != h.epoch || b.Tables < h.tables {
		return true
	}
	for _, t := range b.Teams {
		if b.Shards[i].Tables < t.Since && t.Since <= h.tables {
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
	if h.pending {
		h.draft = lower(h.draft, h.proposed)
	}
	h.pending, h.sentAt, h.proposed = true, previous, h.draft
	return true
}

// WriteSucceeded notes that the write took effect and gave the book a revision.
func (h *Holder) WriteSucceeded(b *Ledger, revision lovagestand.Revision, known []lovagestand.ShardName) {
	h.Read(b, revision, known)
}

// WriteRejected notes that the write took no effect and never will.
func (h *Holder) WriteRejected() {
	h.pending = false
}

// Settled reports whether the shard has joined the book and none of its teams
// waits for other shards.
func (h *Holder) Settled() bool {
	return h.ended || h.entered && len(h.frozen) == 0
}

// Ended reports whether a later owner has written or the shares were handed
// over.
func (h *Holder) Ended() bool {
	return h.ended
}
