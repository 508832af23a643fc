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
func (m *Manager) Round(ctx context.Context) bool {
	m.roundMu.Lock()
	defer m.roundMu.Unlock()
	tables, found := m.deps.Tables()
	if !found {
		return false
	}
	shards := m.deps.Shards()
	ids := ledgerIDs(tables)
	changed := m.updateHolders(tables, ids, shards)
	var rounds []*ledgerRound
	for _, id := range ids {
		if len(m.holdersOf(id)) > 0 {
			rounds = append(rounds, m.readLedger(ctx, id))
		}
	}
	m.refreshUsage(shards)
	for _, round := range rounds {
		if !round.readFailed {
			m.writeLedger(ctx, round)
		}
	}
	m.refreshUsage(shards)
	return changed
}

// updateHolders creates the missing holders of the shards that this instance
// owns and puts the tables in force at all holders. It reports whether a holder
// or the tables are new. A holder is kept until its shard is owned again under
// a later epoch, because only the holder records its writes whose outcome is
// unknown.
func (m *Manager) updateHolders(tables table.Tables, ids []LedgerID, shards []Shard) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.holders {
		h.usageComplete = false
	}
	changed := tables.Revision() != m.tablesRevision
	m.tablesRevision = tables.Revision()
	for _, id := range ids {
		for _, shard := range shards {
			key := holderKey{shard.Name, id}
			h := m.holders[key]
			if h == nil && m.hasPoolWorkers(shard.Name, id.Pool) || h != nil && h.holder.epoch < shard.Epoch {
				m.holders[key] = &managedHolder{holder: NewHolder(shard.Name, shard.Epoch)}
				changed = true
			}
		}
	}
	for key, h := range m.holders {
		h.holder.SetTables(tables.Revision(), TeamQuotasOf(tables, key.ledger))
	}
	return changed
}

// hasPoolWorkers reports whether a shard has workers of a pool.
func (m *Manager) hasPoolWorkers(shard lovagestand.ShardName, pool lovagestand.PoolName) bool {
	return slices.Contains(m.deps.PoolShards(pool), shard)
}

// holdersOf returns the holders of a ledger, sorted by shard.
func (m *Manager) holdersOf(id LedgerID) []*managedHolder {
	m.mu.Lock()
	defer m.mu.Unlock()
	var holders []*managedHolder
	for key, h := range m.holders {
		if key.ledger == id {
			holders = append(holders, h)
		}
	}
	slices.SortFunc(holders, func(a, b *managedHolder) int { return strings.Compare(string(a.holder.shard), string(b.holder.shard)) })
	return holders
}

// readLedger reads a ledger and lowers the limits of its holders.
func (m *Manager) readLedger(ctx context.Context, id LedgerID) *ledgerRound {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	round := &ledgerRound{id: id, poolShards: m.deps.PoolShards(id.Pool)}
	value, err := m.deps.Store.Get(ctx, id.Key())
	ledger := &Ledger{}
	if err == nil {
		ledger, err = DecodeLedger(value.Data)
	}
	holders := m.holdersOf(id)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	if err != nil {
		m.counts.Failures++
		round.readFailed = true
		return round
	}
	round.data, round.revision = value.Data, value.Revision
	for _, h := range holders {
		if h.holder.Read(ledger, round.revision, round.poolShards) {
			h.holder.LowerLimits(ledger, h.usage)
		}
	}
	return round
}

// refreshUsage puts the limits in force at the shards and records their usage.
func (m *Manager) refreshUsage(shards []Shard) {
	for _, shard := range shards {
		usage, complete := shard.Refresh()
		m.mu.Lock()
		for key, h := range m.holders {
			if key.shard == shard.Name && h.holder.epoch == shard.Epoch {
				h.usage, h.usageComplete = usage[key.ledger.Pool], complete
			}
		}
		m.mu.Unlock()
	}
}

// writeLedger writes a ledger if it has a change that is worth a write.
func (m *Manager) writeLedger(ctx context.Context, round *ledgerRound) {
	ledger, writers, data := m.prepareWrite(round)
	if data == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := m.deps.Store.Put(ctx, round.id.Key(), data, round.revision, 0)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	for _, h := range writers {
		switch {
		case err == nil:
			h.holder.WriteSucceeded(ledger, revision, round.poolShards)
		case isConflict(err):
			h.holder.WriteRejected()
		}
	}
	if err == nil {
		return
	}
	if isConflict(err) {
		m.counts.Conflicts++
		return
	}
	m.counts.Failures++
	m.deps.Log.Warn().Str("book", round.id.Key()).Err(err).Msg("failed to write quota ledger")
}

// prepareWrite returns the updated ledger, the holders that updated it, and its
// encoded value. The value is nil if no write is due.
func (m *Manager) prepareWrite(round *ledgerRound) (*Ledger, []*managedHolder, []byte) {
	holders := m.holdersOf(round.id)
	m.mu.Lock()
	defer m.mu.Unlock()
	ledger, err := DecodeLedger(round.data)
	if err != nil {
		return nil, nil, nil
	}
	worthWriting := m.retireShards(ledger, time.Now())
	var writers []*managedHolder
	for _, h := range holders {
		if !h.usageComplete || h.holder.Ended() {
			continue
		}
		worthWriting = h.holder.Write(ledger, h.usage, round.poolShards) || worthWriting
		writers = append(writers, h)
	}
	if !worthWriting {
		return nil, nil, nil
	}
	data, err := ledger.Encode()
	if err != nil {
		m.counts.Failures++
		m.deps.Log.Error().Str("book", round.id.Key()).Err(err).Msg("failed to encode quota ledger")
		return nil, nil, nil
	}
	for _, h := range writers {
		h.holder.WriteSent(round.revision)
	}
	return ledger, writers, data
}

// retireShards frees the shares of shards that have had no workers for
// [RetireAfter], and reports whether there were any. Otherwise these shares
// would be lost, and a team with a new quota would wait forever for these
// shards to count its tasks.
func (m *Manager) retireShards(ledger *Ledger, now time.Time) bool {
	retired := false
	for _, e := range slices.Clone(ledger.Shards) {
		if e.Name == "" || m.deps.HasWorkers(e.Name) {
			delete(m.workerlessSince, e.Name)
			continue
		}
		since, recorded := m.workerlessSince[e.Name]
		if !recorded {
			m.workerlessSince[e.Name] = now
		}
		if recorded && now.Sub(since) >= RetireAfter {
			ledger.Retire(e.Name)
			retired = true
		}
	}
	return retired
}
