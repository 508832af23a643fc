package table

import (
	"encoding/json"
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
)

// HistoryLength is the number of past revisions that are stored, each under its own
// key. It is also the maximum number of changes that a [Record] lists.
const HistoryLength = 128

// MaxRowsListed is the maximum number of changed rows that a [Change] lists.
const MaxRowsListed = 8

// Change describes one accepted change.
type Change struct {
	Revision Revision `json:"revision"`
	// Writer is who made the change.
	Writer string `json:"writer"`
	// At is the time of the change by the writer's clock.
	At      time.Time `json:"at"`
	Message string    `json:"message,omitempty"`
	// Token is unique to the edit. A writer recognizes its own change by it.
	Token string `json:"token"`
	// Rows are the first changed rows, at most [MaxRowsListed]. RowCount is the
	// number of all changed rows.
	Rows     []Row `json:"rows,omitempty"`
	RowCount int   `json:"rowCount"`
}

// Record is the content of one store value: both tables and the latest changes that
// led to them, newest last.
type Record struct {
	Tables  Tables
	Changes []Change
}

// storedRecord is the JSON form of a [Record] in the store.
type storedRecord struct {
	Revision Revision `json:"revision"`
	Routes   []Route  `json:"routes"`
	Pools    []Pool   `json:"pools"`
	Changes  []Change `json:"changes"`
	// LimitedSince holds the revisions that [Tables.LimitedSince] returns.
	LimitedSince quotaRevisions `json:"limitedSince"`
}

// Encode returns the record as a store value. It fails with a [SizeError] if the
// value is larger than the store accepts.
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

// DecodeRecord decodes a store value and checks its tables. It ignores unknown
// keys, so that an older instance can read the value of a newer one.
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

// With returns the record that follows r. It holds the given tables at the next
// revision and lists the change. If there are more than [HistoryLength] changes,
// the oldest one is dropped.
func (r Record) With(tables Tables, change Change) Record {
	next := r.Tables.revision + 1
	change.Revision = next
	retained := r.Changes[max(0, len(r.Changes)-HistoryLength+1):]
	changes := make([]Change, 0, len(retained)+1)
	changes = append(append(changes, retained...), change)
	return Record{Tables: tables.withQuotaSince(r.Tables, next), Changes: changes}
}

// changeByToken returns the listed change with the given token.
func (r Record) changeByToken(token string) (Change, bool) {
	for _, c := range r.Changes {
		if c.Token == token {
			return c, true
		}
	}
	return Change{}, false
}

// SizeError is returned when the encoded tables are too large for the store.
type SizeError struct {
	Bytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("tables take %d bytes, the store holds %d", e.Bytes, lovagestand.MaxValueBytes)
}

// DecodeError is returned for a value that does not contain a [Record].
type DecodeError struct {
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string {
	return "the value holds no tables: " + e.Reason
}
