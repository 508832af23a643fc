package table

import (
	"context"
	"errors"
	"strconv"

	"lovagestand.example/lovagestand"
)

// attempt is the state of one [Applier.Apply] across its retries.
type attempt struct {
	applier *Applier
	edit    Edit
	// token identifies the edit in the record. If the reply to a write was lost,
	// a retry finds the token and does not write the edit again.
	token string
	// sent is set if a write may have taken effect.
	sent bool
}

// try reads the current record, merges the edit and writes the result, once.
func (a *attempt) try(ctx context.Context) (Result, error) {
	store := a.applier.store
	current, revision, err := Load(ctx, store)
	if err != nil {
		return Result{}, err
	}
	if change, applied := current.changeByToken(a.token); applied {
		return Result{Revision: change.Revision, Changed: true, Merged: change.Revision > a.edit.Base+1}, nil
	}
	merged, err := a.merge(ctx, current)
	if err != nil {
		return Result{}, err
	}
	differences := Diff(current.Tables, merged)
	if len(differences) == 0 && current.Tables.revision > 0 {
		return Result{Revision: current.Tables.revision, Merged: a.mergedOthers(merged)}, nil
	}
	next := current.With(merged, a.newChange(differences))
	data, err := next.Encode()
	if err != nil {
		return Result{}, err
	}
	if err := storeHistory(ctx, store, current); err != nil {
		return Result{}, err
	}
	_, err = store.Put(ctx, CurrentKey, data, revision, 0)
	if err != nil {
		a.sent = a.sent || !isConflict(err)
		return Result{}, err
	}
	return Result{
		Revision: next.Tables.revision, Changed: true, Rows: differences,
		Merged: a.mergedOthers(merged),
	}, nil
}

// mergedOthers reports whether the merged tables differ from those of the edit,
// because they contain changes by other writers.
func (a *attempt) mergedOthers(merged Tables) bool {
	return len(Diff(a.edit.Tables, merged)) > 0
}

func isConflict(err error) bool {
	var conflict *lovagestand.ConflictError
	return errors.As(err, &conflict)
}

func (a *attempt) newChange(differences []Difference) Change {
	c := Change{
		Writer: a.edit.Writer, Message: a.edit.Message, Token: a.token,
		At: a.applier.now().UTC(), RowCount: len(differences),
	}
	for _, d := range differences[:min(len(differences), MaxRowsListed)] {
		c.Rows = append(c.Rows, d.Row)
	}
	return c
}

// merge merges the edit with the changes accepted since its base revision.
func (a *attempt) merge(ctx context.Context, current Record) (Tables, error) {
	if a.edit.Base == current.Tables.revision {
		return a.edit.Tables, nil
	}
	base, err := LoadRevision(ctx, a.applier.store, current, a.edit.Base)
	if err != nil {
		return Tables{}, err
	}
	merged, err := Merge(base.Tables, a.edit.Tables, current.Tables)
	var conflict *MergeConflictError
	if errors.As(err, &conflict) {
		return Tables{}, a.conflictError(ctx, conflict.Rows[0], current)
	}
	return merged, err
}

// conflictError returns a [ConflictError] that names the last writer of a row. It
// searches the history from the newest revision down to the base of the edit.
func (a *attempt) conflictError(ctx context.Context, row Row, current Record) error {
	newer := current
	for newer.Tables.revision > a.edit.Base {
		older, err := LoadRevision(ctx, a.applier.store, current, newer.Tables.revision-1)
		if err != nil {
			break
		}
		if splitRows(older.Tables)[row] != splitRows(newer.Tables)[row] {
			last := newer.Changes[len(newer.Changes)-1]
			return &ConflictError{Row: row, Writer: last.Writer, Revision: last.Revision}
		}
		newer = older
	}
	return &ConflictError{Row: row, Revision: current.Tables.revision}
}

// Load reads the newest accepted record and the revision of its store key. If no
// tables have been accepted, it returns an empty record.
func Load(ctx context.Context, store lovagestand.Store) (Record, lovagestand.Revision, error) {
	value, err := store.Get(ctx, CurrentKey)
	if err != nil || value.Revision == 0 {
		return Record{}, 0, err
	}
	record, err := DecodeRecord(value.Data)
	return record, value.Revision, err
}

// LoadRevision returns the record of a revision, where current is the newest
// accepted record. Revision 0 is the empty record. It fails with a
// [MissingBaseError] if the revision is not stored.
func LoadRevision(ctx context.Context, store lovagestand.Store, current Record, revision Revision) (Record, error) {
	if revision == current.Tables.revision {
		return current, nil
	}
	if revision == 0 {
		return Record{}, nil
	}
	missing := &MissingBaseError{Base: revision, Current: current.Tables.revision}
	if revision > current.Tables.revision {
		return Record{}, missing
	}
	value, err := store.Get(ctx, historyKey(revision))
	if err != nil {
		return Record{}, err
	}
	record, err := DecodeRecord(value.Data)
	if err != nil || record.Tables.revision != revision {
		return Record{}, missing
	}
	return record, nil
}

// storeHistory writes the record that is about to be replaced to its history key.
// The record of a revision never changes, so any writer may do this. It writes
// nothing if the key already holds the same or a newer revision.
func storeHistory(ctx context.Context, store lovagestand.Store, r Record) error {
	if r.Tables.revision == 0 {
		return nil
	}
	key := historyKey(r.Tables.revision)
	stored, err := store.Get(ctx, key)
	if err != nil {
		return err
	}
	if old, err := DecodeRecord(stored.Data); err == nil && old.Tables.revision >= r.Tables.revision {
		return nil
	}
	data, err := r.Encode()
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, key, data, stored.Revision, 0)
	return err
}

// historyKey returns the store key of a past revision. The keys are reused after
// [HistoryLength] revisions.
func historyKey(r Revision) string {
	return HistoryPrefix + strconv.FormatUint(uint64(r%HistoryLength), 10)
}
