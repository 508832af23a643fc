package quota

import (
	"context"
	"slices"
	"strings"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
)

// draft is one book in one round.
type draft struct {
	id       LedgerID
	data     []byte
	revision lovagestand.Revision
	known    []lovagestand.ShardName
	// failed says that the book could not be read.
	failed bool
}

// Round reads the books, lowers what is too much, and writes what the shards
// need. It reports whether a shard or the tables were new here.
func (k *Manager) Round(ctx context.Context) bool {
	k.round.Lock()
	defer k.round.Unlock()
	tables, found := k.deps.Tables()
	if !found {
		return false
	}
	shards := k.deps.Shards()
	ids := books(tables)
	fresh := k.seat(tables, ids, shards)
	var drafts []*draft
	for _, id := range ids {
		if len(k.seatsOf(id)) > 0 {
			drafts = append(drafts, k.read(ctx, id))
		}
	}
	k.refresh(shards)
	for _, d := range drafts {
		if !d.failed {
			k.write(ctx, d)
		}
	}
	k.refresh(shards)
	return fresh
}

// seat makes holders for the shards owned now and brings the tables into
// force at all holders. It reports whether anything of that is new. A holder stays until its shard comes back with a later
// epoch, since only it knows of its writes with no known outcome.
func (k *Manager) seat(tables table.Tables, ids []LedgerID, shards []Shard) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.seats {
		s.ready = false
	}
	fresh := tables.Revision() != k.revision
	k.revision = tables.Revision()
	for _, id := range ids {
		for _, shard := range shards {
			key := seatKey{shard.Name, id}
			s := k.seats[key]
			if s == nil && k.serves(shard.Name, id.Pool) || s != nil && s.holder.epoch < shard.Epoch {
				k.seats[key] = &seat{holder: NewHolder(shard.Name, shard.Epoch)}
				fresh = true
			}
		}
	}
	for key, s := range k.seats {
		s.holder.SetTables(tables.Revision(), TeamQuotasOf(tables, key.book))
	}
	return fresh
}

func (k *Manager) serves(shard lovagestand.ShardName, pool lovagestand.PoolName) bool {
	return slices.Contains(k.deps.Known(pool), shard)
}

// seatsOf returns the seats of a book in the order of their shards.
func (k *Manager) seatsOf(id LedgerID) []*seat {
	k.mu.Lock()
	defer k.mu.Unlock()
	var seats []*seat
	for key, s := range k.seats {
		if key.book == id {
			seats = append(seats, s)
		}
	}
	slices.SortFunc(seats, func(a, b *seat) int { return strings.Compare(string(a.holder.shard), string(b.holder.shard)) })
	return seats
}

// read reads a book and plans what its holders lower.
func (k *Manager) read(ctx context.Context, id LedgerID) *draft {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	d := &draft{id: id, known: k.deps.Known(id.Pool)}
	value, err := k.deps.Store.Get(ctx, id.Key())
	book := &Ledger{}
	if err == nil {
		book, err = DecodeLedger(value.Data)
	}
	seats := k.seatsOf(id)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Reads++
	if err != nil {
		k.counts.Failures++
		d.failed = true
		return d
	}
	d.data, d.revision = value.Data, value.Revision
	for _, s := range seats {
		if s.holder.Read(book, d.revision, d.known) {
			s.holder.LowerLimits(book, s.usage)
		}
	}
	return d
}

// refresh puts the limits in force at the shards and notes what they take.
func (k *Manager) refresh(shards []Shard) {
	for _, shard := range shards {
		usage, complete := shard.Refresh()
		k.mu.Lock()
		for key, s := range k.seats {
			if key.shard == shard.Name && s.holder.epoch == shard.Epoch {
				s.usage, s.ready = usage[key.book.Pool], complete
			}
		}
		k.mu.Unlock()
	}
}

// write writes a book if a holder has reason to.
func (k *Manager) write(ctx context.Context, d *draft) {
	book, writers, data := k.prepare(d)
	if data == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := k.deps.Store.Put(ctx, d.id.Key(), data, d.revision, 0)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Writes++
	for _, s := range writers {
		switch {
		case err == nil:
			s.holder.WriteSucceeded(book, revision, d.known)
		case refused(err):
			s.holder.WriteRejected()
		}
	}
	if err == nil {
		return
	}
	if refused(err) {
		k.counts.Conflicts++
		return
	}
	k.counts.Failures++
	k.deps.Log.Warn().Str("book", d.id.Key()).Err(err).Msg("quota shares not written")
}

// prepare makes the next value of a book; no data where no write is due.
func (k *Manager) prepare(d *draft) (*Ledger, []*seat, []byte) {
	seats := k.seatsOf(d.id)
	k.mu.Lock()
	defer k.mu.Unlock()
	book, err := DecodeLedger(d.data)
	if err != nil {
		return nil, nil, nil
	}
	worth := k.retire(book, time.Now())
	var writers []*seat
	for _, s := range seats {
		if !s.ready || s.holder.Ended() {
			continue
		}
		worth = s.holder.Write(book, s.usage, d.known) || worth
		writers = append(writers, s)
	}
	if !worth {
		return nil, nil, nil
	}
	data, err := book.Encode()
	if err != nil {
		k.counts.Failures++
		k.deps.Log.Error().Str("book", d.id.Key()).Err(err).Msg("quota shares not written")
		return nil, nil, nil
	}
	for _, s := range writers {
		s.holder.WriteSent(d.revision)
	}
	return book, writers, data
}

// retire frees the shares of shards that have had no workers for long, and
// reports whether there were any. Without it they would be lost, and a team's
// new quota would wait for them to be counted.
func (k *Manager) retire(b *Ledger, now time.Time) bool {
	retired := false
	for _, e := range slices.Clone(b.Shards) {
		if e.Name == "" || k.deps.Exists(e.Name) {
			delete(k.missing, e.Name)
			continue
		}
		since, known := k.missing[e.Name]
		if !known {
			k.missing[e.Name] = now
		}
		if known && now.Sub(since) >= RetireAfter {
			b.Retire(e.Name)
			retired = true
		}
	}
	return retired
}
