package table

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"lovagestand.example/lovagestand"
)

// CurrentKey is the store key of the newest accepted record.
const CurrentKey = "tables/current"

// HistoryPrefix is the prefix of the store keys of past records.
const HistoryPrefix = "tables/history/"

// MaxAttempts is the maximum number of attempts of one [Applier.Apply].
const MaxAttempts = 12

// Edit is a change that an operator submits: complete tables that were edited
// from those of a base revision.
type Edit struct {
	Tables Tables
	// Base is the revision that the edit started from; 0 if there were no tables.
	Base    Revision
	Writer  string
	Message string
}

// Result describes the outcome of a successful [Applier.Apply].
type Result struct {
	// Revision is the revision of the accepted tables.
	Revision Revision
	// Changed is set if the edit differed from the tables in the store.
	Changed bool
	// Merged is set if the accepted tables contain changes by other writers
	// that the edit does not contain.
	Merged bool
	// Rows are the rows that the edit changed in the store.
	Rows []Difference
}

// Applier writes edits to the store.
type Applier struct {
	store      lovagestand.Store
	token      func() string
	now        func() time.Time
	minBackoff time.Duration
}

// ApplierOption configures an [Applier].
type ApplierOption func(*Applier)

// WithTokens sets the function that generates the unique token of each edit.
func WithTokens(token func() string) ApplierOption {
	return func(a *Applier) { a.token = token }
}

// WithClock sets the clock that provides the times of changes.
func WithClock(now func() time.Time) ApplierOption {
	return func(a *Applier) { a.now = now }
}

// defaultMinBackoff is the delay before the first retry of an edit.
const defaultMinBackoff = 100 * time.Millisecond

// NewApplier returns an [Applier] that writes to store.
func NewApplier(store lovagestand.Store, options ...ApplierOption) *Applier {
	a := &Applier{store: store, token: uuid.NewString, now: time.Now, minBackoff: defaultMinBackoff}
	for _, option := range options {
		option(a)
	}
	return a
}

// Apply merges an edit into the accepted tables and writes the result to the
// store. It retries if another writer was faster or the store did not answer.
// It fails with
//   - a [ConflictError] if another writer changed one of the same rows,
//   - a [MissingBaseError] if the base revision is no longer stored,
//   - [document.Errors] if the merged tables are invalid,
//   - an [UnconfirmedError] if the store did not confirm the change. The edit
//     may still take effect, and it is harmless to apply it again.
func (a *Applier) Apply(ctx context.Context, e Edit) (Result, error) {
	attempt := &attempt{applier: a, edit: e, token: a.token()}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = a.minBackoff, maxBackoff
	result, err := backoff.Retry(ctx, func() (Result, error) {
		r, err := attempt.try(ctx)
		if err != nil && !retryable(err) {
			return r, backoff.Permanent(err)
		}
		return r, err
	}, backoff.WithBackOff(delays), backoff.WithMaxTries(MaxAttempts))
	if err == nil || !retryable(err) {
		return result, err
	}
	return result, &UnconfirmedError{Sent: attempt.sent, Cause: err}
}

// retryable reports whether a failed attempt may succeed when it is repeated.
func retryable(err error) bool {
	var conflict *lovagestand.ConflictError
	var unavailable *lovagestand.UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &unavailable) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// ConflictError is returned when another writer has changed the same row.
type ConflictError struct {
	Row Row
	// Writer is who made the other change, and Revision is the revision of that
	// change. If the change is not found in the history, Writer is empty and
	// Revision is the newest one.
	Writer   string
	Revision Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	writer := e.Writer
	if writer == "" {
		writer = "another writer"
	}
	return fmt.Sprintf("table %s, row %s: changed by %s at revision %d", e.Row.Table, e.Row, writer, e.Revision)
}

// MissingBaseError is returned when the base revision of an edit is not stored.
type MissingBaseError struct {
	Base, Current Revision
}

// Error implements error.
func (e *MissingBaseError) Error() string {
	return fmt.Sprintf("base revision %d is not kept, revision %d is in force: fetch the tables and edit again", e.Base, e.Current)
}

// UnconfirmedError is returned when the store did not confirm a change.
type UnconfirmedError struct {
	// Sent is set if the write was sent and may take effect.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	if e.Sent {
		return fmt.Sprintf("the change may or may not take effect: %v; applying it again is harmless", e.Cause)
	}
	return fmt.Sprintf("nothing was changed: %v", e.Cause)
}

// Unwrap returns the error of the last attempt.
func (e *UnconfirmedError) Unwrap() error {
	return e.Cause
}
