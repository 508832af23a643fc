package table

import (
	"context"
	"errors"
	"strconv"

	"lovagestand.example/lovagestand"
)

// attempt is one apply over its repetitions.
type attempt struct {
	applier *Applier
	edit    Edit
	token   string
	// sent says that a write may have taken effect.
	sent bool
}

// try reads, merges and writes once.
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

// mergedOthers reports whether others' rows joined the edit's.
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

// merge joins the edit with the record in force.
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

// conflictError finds who last changed a row, newest revision first.
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

// Load reads the record in force and the revision of its store key; the empty
// record where there is none.
func Load(ctx context.Context, store lovagestand.Store) (Record, lovagestand.Revision, error) {
	value, err := store.Get(ctx, CurrentKey)
	if err != nil || value.Revision == 0 {
		return Record{}, 0, err
	}
	record, err := DecodeRecord(value.Data)
	return record, value.Revision, err
}

// LoadRevision reads a kept record. Revision 0 is the empty record. It fails with a
// [BaseError] where the revision is not kept.
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

// storeHistory writes the record that is about to be replaced into its history key.
// Its content never changes, so that any writer may do it.
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

func historyKey(r Revision) string {
	return HistoryPrefix + strconv.FormatUint(uint64(r%HistoryLength), 10)
}
