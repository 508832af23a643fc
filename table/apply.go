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

// CurrentKey is the store's key of the record in force.
const CurrentKey = "tables/current"

// HistoryPrefix begins the store's keys of past records.
const HistoryPrefix = "tables/history/"

// MaxAttempts bounds how often one apply tries again.
const MaxAttempts = 12

// Edit is an operator's wish: tables made from those at a base revision.
type Edit struct {
	Tables Tables
	// Base is the revision the edit began from; 0 if there was none.
	Base    Revision
	Writer  string
	Message string
}

// Result tells what an apply did.
type Result struct {
	// Revision is that of the tables accepted.
	Revision Revision
	// Changed says that there was something to change.
	Changed bool
	// Merged says that the tables accepted hold rows of others that the edit
	// does not.
	Merged bool
	Rows   []Difference
}

// Applier writes edits to the store.
type Applier struct {
	store      lovagestand.Store
	token      func() string
	now        func() time.Time
	minBackoff time.Duration
}

// ApplierOption changes an [Applier] under construction.
type ApplierOption func(*Applier)

// WithTokens sets where unique tokens come from.
func WithTokens(token func() string) ApplierOption {
	return func(a *Applier) { a.token = token }
}

// WithClock sets the clock that dates changes.
func WithClock(now func() time.Time) ApplierOption {
	return func(a *Applier) { a.now = now }
}

// defaultMinBackoff is the pause before the first repetition of an apply.
const defaultMinBackoff = 100 * time.Millisecond

// NewApplier returns an applier that writes to a store.
func NewApplier(store lovagestand.Store, options ...ApplierOption) *Applier {
	a := &Applier{store: store, token: uuid.NewString, now: time.Now, minBackoff: defaultMinBackoff}
	for _, option := range options {
		option(a)
	}
	return a
}

// Apply makes an edit the tables in force. It fails with a [ConflictError]
// where another writer changed the same row, with a [BaseError] where the base
// is not known any more, with [document.Errors] where the merged tables do not
// check, and with a [PendingError] where the store did not answer: the edit may
// then take effect still, and applying it again is harmless.
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

// retryable reports whether an attempt that failed may succeed later.
func retryable(err error) bool {
	var conflict *lovagestand.ConflictError
	var unavailable *lovagestand.UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &unavailable) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// ConflictError says that another writer changed the same row.
type ConflictError struct {
	Row Row
	// Writer made the change, at Revision; empty if that is not known.
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

// MissingBaseError says that the revision an edit began from is not kept.
type MissingBaseError struct {
	Base, Current Revision
}

// Error implements error.
func (e *MissingBaseError) Error() string {
	return fmt.Sprintf("base revision %d is not kept, revision %d is in force: fetch the tables and edit again", e.Base, e.Current)
}

// UnconfirmedError says that the store did not answer.
type UnconfirmedError struct {
	// Sent says that the write was sent and may take effect.
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

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error {
	return e.Cause
}
