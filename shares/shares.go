// Package shares keeps teams within their caps in a cell of several shards. The owner of
// each shard holds a share of each cap; the shares are recorded in one [quota.Ledger] in
// the store. One [Driver] runs the rounds of a [quota.Holder] for one term of a shard.
package shares

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/quota"
	"lovagestand.example/lovagestand/table"
)

const (
	// minInterval is the mean time between two rounds of a shard. Three rounds, with their
	// jitter and calls, take less than the 3 s for which a team under its cap may wait: one
	// shard requests, another gives up, the first takes.
	minInterval = 700 * time.Millisecond
	// roundsPerSecond is the number of rounds of all shards together in a second. It
	// lengthens the interval in cells of more than 42 shards.
	roundsPerSecond = 60
	// busyDivisor divides the interval while the shard has not joined the ledger, or a
	// team waits for a share.
	busyDivisor = 2
	// jitter is the divisor of the interval by which it varies in both directions.
	jitter = 5
	// conflictDelay is the longest delay before a round is repeated whose write was
	// overtaken by that of another shard, and maxConflicts how often it is repeated.
	conflictDelay = 60 * time.Millisecond
	maxConflicts  = 3
	// configurationInterval is how often the version of the configuration is compared.
	configurationInterval = 50 * time.Millisecond
	// storeTimeout is the timeout of one store call.
	storeTimeout = time.Second
	// unlimitedAmount stands for a resource that a cap does not limit. It leaves room for
	// the sum over all shards.
	unlimitedAmount = 1 << 50
)

// ledgerID identifies the only ledger of a cell.
var ledgerID = quota.LedgerID{Pool: "cell"}

// LedgerKey returns the store key of the ledger.
func LedgerKey() string { return ledgerID.Key() }

// Caps are the caps of the teams in one version of the configuration. Teams without a cap
// are missing.
type Caps struct {
	Version int64
	// Enabled is false in a deployment without teams.
	Enabled bool
	ByTeam  map[lovagestand.TeamName]lovagestand.Resources
}

// Grant is what the teams may use in a shard.
type Grant struct {
	// Limits are the shares, under the caps in Caps.
	Limits quota.TeamResources
	Caps   Caps
}

// Limit returns what a team may use under its cap in a version of the configuration. If
// that version has lowered the cap, or a version between has been skipped, the shares are
// not valid any more until the driver has put the version in force.
func (g Grant) Limit(team lovagestand.TeamName, limit lovagestand.Resources, version int64) lovagestand.Resources {
	granted, ok := g.Caps.ByTeam[team]
	if !ok || !granted.Fits(limit) || version > g.Caps.Version+1 {
		return lovagestand.Resources{}
	}
	return limit.Min(g.Limits[team])
}

// Report is what the teams use in a shard.
type Report struct {
	// Usage contains in Running what is known to run or may have been started.
	Usage map[lovagestand.TeamName]quota.Usage
	// Unknown is an upper bound of what runs of former owners may hold beside it.
	Unknown map[lovagestand.TeamName]lovagestand.Resources
}

// Shard is the shard whose shares a driver holds.
type Shard interface {
	// SetShares puts a grant in force and returns the usage under it. It does both in one
	// critical section, so that no task is started under a former grant in between. A team
	// with a cap may start tasks within [Grant.Limit].
	SetShares(grant Grant) Report
}

// Deps are the dependencies of a [Driver].
type Deps struct {
	Store lovagestand.Store
	// Caps returns the caps in force; false if no configuration has been read.
	Caps func() (Caps, bool)
	// Shards are the names of all shards of the cell.
	Shards []lovagestand.ShardName
	Shard  Shard
	// Name and Epoch are those of the term.
	Name  lovagestand.ShardName
	Epoch lovagestand.Epoch
	Log   zerolog.Logger
}

// Driver holds the shares of one shard for one term. It is not safe for concurrent use.
type Driver struct {
	deps   Deps
	holder *quota.Holder
	caps   Caps
	quotas quota.TeamQuotas
	report Report
	// ledger is the ledger as last read; nil before the first read.
	ledger *quota.Ledger
	// healthy reports whether the last round reached the store.
	healthy bool
}

// New returns a driver that grants nothing until it has run rounds.
func New(deps Deps) *Driver {
	return &Driver{deps: deps, holder: quota.NewHolder(deps.Name, deps.Epoch), healthy: true}
}

// Run runs rounds until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	interval := max(minInterval, time.Duration(len(d.deps.Shards))*time.Second/roundsPerSecond)
	d.setShares()
	for {
		for range maxConflicts {
			if !d.Round(ctx) || !pause.For(ctx, rand.N(conflictDelay)) {
				break
			}
		}
		mean := interval
		if d.busy() {
			mean /= busyDivisor
		}
		next := time.Now().Add(mean - mean/jitter + rand.N(2*mean/jitter))
		for time.Now().Before(next) && !d.outdated() {
			if !pause.For(ctx, min(time.Until(next), configurationInterval)) {
				return
			}
		}
	}
}

// outdated reports whether another version of the caps is in force than at the holder.
func (d *Driver) outdated() bool {
	caps, ok := d.deps.Caps()
	return ok && caps.Version != d.caps.Version && (caps.Enabled || d.caps.Enabled)
}

// setShares puts the limits of the holder in force at the shard and reads its usage.
func (d *Driver) setShares() {
	d.report = d.deps.Shard.SetShares(Grant{Limits: d.holder.Limits(), Caps: d.caps})
}

// busy reports whether the shard has not joined the ledger, or a team waits for a share.
func (d *Driver) busy() bool {
	if !d.caps.Enabled || d.holder.Ended() {
		return false
	}
	if !d.holder.Settled() {
		return true
	}
	limits := d.holder.Limits()
	for team, usage := range d.report.Usage {
		if limit, limited := limits[team]; limited && !usage.Waiting.IsZero() && !usage.Running.Add(usage.Next).Fits(limit) {
			return true
		}
	}
	return false
}

// Round runs one round: it reads the ledger, lowers the limits of the shard to what it
// needs, and writes its shares. It reports whether the write was overtaken by another
// shard's, so that the round should be repeated.
func (d *Driver) Round(ctx context.Context) bool {
	caps, ok := d.deps.Caps()
	if !ok || !caps.Enabled && !d.caps.Enabled {
		return false
	}
	if d.ledger != nil {
		// Lowered caps apply also while the store does not answer.
		d.setCaps(caps, d.ledger)
		d.setShares()
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	readCtx, cancelRead := context.WithTimeout(ctx, storeTimeout)
	defer cancelRead()
	value, err := d.deps.Store.Get(readCtx, ledgerID.Key())
	if err != nil {
		d.storeFailed(ctx, err)
		return false
	}
	ledger, err := quota.DecodeLedger(value.Data)
	if err != nil {
		d.deps.Log.Error().Err(err).Str("key", ledgerID.Key()).Msg("ledger of shares cannot be decoded")
		return false
	}
	d.ledger = ledger
	d.setCaps(caps, ledger)
	if d.holder.Read(ledger, value.Revision, d.deps.Shards) {
		d.holder.LowerLimits(ledger, d.usage(ledger))
	}
	d.setShares()
	usage := d.usage(ledger)
	next, err := quota.DecodeLedger(value.Data)
	if err != nil || !d.holder.Write(next, usage, d.deps.Shards) {
		return false
	}
	return d.write(ctx, next, value.Revision)
}

// write sends a changed ledger and puts the limits in force that follow from the outcome.
func (d *Driver) write(ctx context.Context, next *quota.Ledger, previous lovagestand.Revision) bool {
	data, err := next.Encode()
	if err != nil {
		d.deps.Log.Error().Err(err).Str("key", ledgerID.Key()).Msg("ledger of shares cannot be encoded")
		return false
	}
	if !d.holder.WriteSent(previous) {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := d.deps.Store.Put(limited, ledgerID.Key(), data, previous, 0)
	var conflict *lovagestand.ConflictError
	switch {
	case err == nil:
		d.holder.WriteSucceeded(next, revision, d.deps.Shards)
		d.storeAnswered()
	case errors.As(err, &conflict):
		d.holder.WriteRejected()
		return true
	default:
		d.storeFailed(ctx, err)
	}
	d.setShares()
	return false
}

// usage returns the usage of the shard with what unknown runs may hold. The former owner
// had written a share for all that it ran, so the runs hold no more than that share.
func (d *Driver) usage(ledger *quota.Ledger) map[lovagestand.TeamName]quota.Usage {
	usage := make(map[lovagestand.TeamName]quota.Usage, len(d.report.Usage))
	for team, u := range d.report.Usage {
		usage[team] = u
	}
	for team, unknown := range d.report.Unknown {
		u := usage[team]
		if share, ok := ledger.Share(team, d.deps.Name); ok {
			unknown = unknown.Min(share.Sub(u.Running).Max(lovagestand.Resources{}))
		}
		u.Running = u.Running.Add(unknown)
		usage[team] = u
	}
	return usage
}

// setCaps puts a version of the caps in force at the holder. A team has had a cap without
// interruption since the version in the ledger if no version lies between that of the
// ledger and this one; otherwise all shards must count the team's tasks again.
func (d *Driver) setCaps(caps Caps, ledger *quota.Ledger) {
	if caps.Version == d.caps.Version && caps.Enabled == d.caps.Enabled {
		return
	}
	revision := revisionOf(caps.Version)
	quotas := quota.TeamQuotas{}
	for team, limit := range caps.ByTeam {
		q := quota.TeamQuota{Quota: limit.Min(unlimited), Since: revision}
		former, had := d.quotas[team]
		entry := ledger.Teams[team]
		switch {
		case had && caps.Version == d.caps.Version+1:
			q.Since = former.Since
		case entry != nil && revision <= ledger.Tables+1:
			q.Since = entry.Since
		}
		quotas[team] = q
	}
	d.holder.SetTables(revision, quotas)
	d.caps, d.quotas = caps, quotas
}

// unlimited is a cap that limits nothing.
var unlimited = lovagestand.Resources{MilliCPU: unlimitedAmount, MemoryMiB: unlimitedAmount, Accelerators: unlimitedAmount}

// revisionOf returns the revision of a ledger that corresponds to a version of the
// configuration. It is never 0, which a holder ignores.
func revisionOf(version int64) table.Revision { return table.Revision(version) + 1 }

// storeFailed records that a call to the store has failed. The shares stay as they are.
func (d *Driver) storeFailed(ctx context.Context, err error) {
	if d.healthy && ctx.Err() == nil {
		d.deps.Log.Warn().Err(err).Str("shard", string(d.deps.Name)).Msg("shares of caps cannot be moved: the store does not answer")
	}
	d.healthy = false
}

// storeAnswered records that a write has succeeded.
func (d *Driver) storeAnswered() {
	if !d.healthy {
		d.deps.Log.Info().Str("shard", string(d.deps.Name)).Msg("shares of caps move again")
	}
	d.healthy = true
}
