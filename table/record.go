package table

import (
	"encoding/json"
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
)

// HistoryLength is how many past revisions are kept, each under a key of its
// own, and how many changes a record lists.
const HistoryLength = 128

// MaxRowsListed is how many changed rows a [Change] lists.
const MaxRowsListed = 8

// Change is what is known of one accepted change.
type Change struct {
	Revision Revision `json:"revision"`
	// Writer is who made the change.
	Writer string `json:"writer"`
	// At is the writer's clock.
	At      time.Time `json:"at"`
	Message string    `json:"message,omitempty"`
	// Token is unique to the attempt; a writer knows its own change by it.
	Token string `json:"token"`
	// Rows are the first rows changed and RowCount how many there were.
	Rows     []Row `json:"rows,omitempty"`
	RowCount int   `json:"rowCount"`
}

// Record is what the store holds: both tables and the changes that led to
// them, newest last.
type Record struct {
	Tables  Tables
	Changes []Change
}

// storedRecord is a record's form in the store.
type storedRecord struct {
	Revision Revision `json:"revision"`
	Routes   []Route  `json:"routes"`
	Pools    []Pool   `json:"pools"`
	Changes  []Change `json:"changes"`
	// LimitedSince is as in [Tables.LimitedSince].
	LimitedSince quotaRevisions `json:"limitedSince"`
}

// Encode returns the record as a store value. It fails with a [SizeError]
// where the store could not hold it.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(storedRecord{
		r.Tables.revision, r.Tables.routes, r.Tables.pools, r.Changes, r.Tables.quotaSince,
	})
	if err != nil {
		return nil, err
	}
	if len(data) > lovagestand.MaxValueBytes {
		return nil, &SizeError{Bytes: len(data)}
	}
	return data, nil
}

// DecodeRecord reads a store value and checks its tables again. Unknown keys
// are skipped, so that an older instance reads a newer one's value.
func DecodeRecord(data []byte) (Record, error) {
	var stored storedRecord
	if err := json.Unmarshal(data, &stored); err != nil {
		return Record{}, err
	}
	if stored.Revision == 0 {
		return Record{}, &DecodeError{Reason: "it has no revision"}
	}
	tables, err := New(stored.Revision, stored.Routes, stored.Pools)
	if err != nil {
		return Record{}, err
	}
	tables.quotaSince = stored.LimitedSince
	return Record{Tables: tables, Changes: stored.Changes}, nil
}

// With returns the record that follows r: tables at the next revision and one
// change more, of which the oldest are dropped.
func (r Record) With(tables Tables, change Change) Record {
	next := r.Tables.revision + 1
	change.Revision = next
	retained := r.Changes[max(0, len(r.Changes)-HistoryLength+1):]
	changes := make([]Change, 0, len(retained)+1)
	changes = append(append(changes, retained...), change)
	return Record{Tables: tables.withQuotaSince(r.Tables, next), Changes: changes}
}

// changeByToken returns the listed change that carries a token.
func (r Record) changeByToken(token string) (Change, bool) {
	for _, c := range r.Changes {
		if c.Token == token {
			return c, true
		}
	}
	return Change{}, false
}

// SizeError says that tables are too large for the store.
type SizeError struct {
	Bytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("tables take %d bytes, the store holds %d", e.Bytes, lovagestand.MaxValueBytes)
}

// DecodeError says that a value is no record of tables.
type DecodeError struct {
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string {
	return "the value holds no tables: " + e.Reason
}
