package quota

import (
	"context"
	"slices"
	"strings"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
)

// ledgerRound is the state of one ledger during one round.
type ledgerRound struct {
	id         LedgerID
	data       []byte
	revision   lovagestand.Revision
	poolShards []lovagestand.ShardName
	// readFailed indicates that the ledger could not be read.
	readFailed bool
}

// Round reads the ledgers, lowers the limits that exceed the need, and writes
// the shares that the shards need. It reports whether a shard or the tables are
// new since the last round.
func (k *Manager) Round(ctx context.Context) bool {
	k.roundMu.Lock()
	defer k.roundMu.Unlock()
	tables, found := k.deps.Tables()
	if !found {
		return false
	}
	shards := k.deps.Shards()
	ids := ledgerIDs(tables)
	changed := k.updateHolders(tables, ids, shards)
	var rounds []*ledgerRound
	for _, id := range ids {
		if len(k.holdersOf(id)) > 0 {
			rounds = append(rounds, k.readLedger(ctx, id))
		}
	}
	k.refreshUsage(shards)
	for _, round := range rounds {
		if !round.readFailed {
			k.writeLedger(ctx, round)
		}
	}
	k.refreshUsage(shards)
	return changed
}

// updateHolders creates the missing holders of the shards that this instance
// owns and puts the tables in force at all holders. It reports whether a holder
// or the tables are new. A holder is kept until its shard is owned again under
// a later epoch, because only the holder records its writes whose outcome is
// unknown.
func (k *Manager) updateHolders(tables table.Tables, ids []LedgerID, shards []Shard) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.holders {
		s.usageComplete = false
	}
	changed := tables.Revision() != k.tablesRevision
	k.tablesRevision = tables.Revision()
	for _, id := range ids {
		for _, shard := range shards {
			key := holderKey{shard.Name, id}
			s := k.holders[key]
			if s == nil && k.hasPoolWorkers(shard.Name, id.Pool) || s != nil && s.holder.epoch < shard.Epoch {
				k.holders[key] = &managedHolder{holder: NewHolder(shard.Name, shard.Epoch)}
				changed = true
			}
		}
	}
	for key, s := range k.holders {
		s.holder.SetTables(tables.Revision(), TeamQuotasOf(tables, key.ledger))
	}
	return changed
}

// hasPoolWorkers reports whether a shard has workers of a pool.
func (k *Manager) hasPoolWorkers(shard lovagestand.ShardName, pool lovagestand.PoolName) bool {
	return slices.Contains(k.deps.Known(pool), shard)
}

// holdersOf returns the holders of a ledger, sorted by shard.
func (k *Manager) holdersOf(id LedgerID) []*managedHolder {
	k.mu.Lock()
	defer k.mu.Unlock()
	var holders []*managedHolder
	for key, s := range k.holders {
		if key.ledger == id {
			holders = append(holders, s)
		}
	}
	slices.SortFunc(holders, func(a, b *managedHolder) int { return strings.Compare(string(a.holder.shard), string(b.holder.shard)) })
	return holders
}

// readLedger reads a ledger and lowers the limits of its holders.
func (k *Manager) readLedger(ctx context.Context, id LedgerID) *ledgerRound {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	round := &ledgerRound{id: id, poolShards: k.deps.Known(id.Pool)}
	value, err := k.deps.Store.Get(ctx, id.Key())
	ledger := &Ledger{}
	if err == nil {
		ledger, err = DecodeLedger(value.Data)
	}
	holders := k.holdersOf(id)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Reads++
	if err != nil {
		k.counts.Failures++
		round.readFailed = true
		return round
	}
	round.data, round.revision = value.Data, value.Revision
	for _, s := range holders {
		if s.holder.Read(ledger, round.revision, round.poolShards) {
			s.holder.LowerLimits(ledger, s.usage)
		}
	}
	return round
}

// refreshUsage puts the limits in force at the shards and records their usage.
func (k *Manager) refreshUsage(shards []Shard) {
	for _, shard := range shards {
		usage, complete := shard.Refresh()
		k.mu.Lock()
		for key, s := range k.holders {
			if key.shard == shard.Name && s.holder.epoch == shard.Epoch {
				s.usage, s.usageComplete = usage[key.ledger.Pool], complete
			}
		}
		k.mu.Unlock()
	}
}

// writeLedger writes a ledger if it has a change that is worth a write.
func (k *Manager) writeLedger(ctx context.Context, round *ledgerRound) {
	ledger, writers, data := k.prepareWrite(round)
	if data == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := k.deps.Store.Put(ctx, round.id.Key(), data, round.revision, 0)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Writes++
	for _, s := range writers {
		switch {
		case err == nil:
			s.holder.WriteSucceeded(ledger, revision, round.poolShards)
		case isConflict(err):
			s.holder.WriteRejected()
		}
	}
	if err == nil {
		return
	}
	if isConflict(err) {
		k.counts.Conflicts++
		return
	}
	k.counts.Failures++
	k.deps.Log.Warn().Str("book", round.id.Key()).Err(err).Msg("failed to write quota ledger")
}

// prepareWrite returns the updated ledger, the holders that updated it, and its
// encoded value. The value is nil if no write is due.
func (k *Manager) prepareWrite(round *ledgerRound) (*Ledger, []*managedHolder, []byte) {
	holders := k.holdersOf(round.id)
	k.mu.Lock()
	defer k.mu.Unlock()
	ledger, err := DecodeLedger(round.data)
	if err != nil {
		return nil, nil, nil
	}
	worthWriting := k.retireShards(ledger, time.Now())
	var writers []*managedHolder
	for _, s := range holders {
		if !s.usageComplete || s.holder.Ended() {
			continue
		}
		worthWriting = s.holder.Write(ledger, s.usage, round.poolShards) || worthWriting
		writers = append(writers, s)
	}
	if !worthWriting {
		return nil, nil, nil
	}
	data, err := ledger.Encode()
	if err != nil {
		k.counts.Failures++
		k.deps.Log.Error().Str("book", round.id.Key()).Err(err).Msg("failed to encode quota ledger")
		return nil, nil, nil
	}
	for _, s := range writers {
		s.holder.WriteSent(round.revision)
	}
	return ledger, writers, data
}

// retireShards frees the shares of shards that have had no workers for
// [RetireAfter], and reports whether there were any. Otherwise these shares
// would be lost, and a team with a new quota would wait forever for these
// shards to count its tasks.
func (k *Manager) retireShards(ledger *Ledger, now time.Time) bool {
	retired := false
	for _, e := range slices.Clone(ledger.Shards) {
		if e.Name == "" || k.deps.Exists(e.Name) {
			delete(k.workerlessSince, e.Name)
			continue
		}
		since, recorded := k.workerlessSince[e.Name]
		if !recorded {
			k.workerlessSince[e.Name] = now
		}
		if recorded && now.Sub(since) >= RetireAfter {
			ledger.Retire(e.Name)
			retired = true
		}
	}
	return retired
}
