package retry

import (
	"net"

	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
)

// Kind is the kind of a failure, by the effect that the failed call may have had.
type Kind string

// The kinds of failure.
const (
	// KindAmbiguous is a failure of a call that may have taken effect or may
	// still do so.
	KindAmbiguous Kind = "ambiguous"
	// KindNotStarted is a failure of a call that is guaranteed to have had no
	// effect. A retry may succeed.
	KindNotStarted Kind = "notStarted"
	// KindPermanent is a failure of a call that is guaranteed to have had no
	// effect. Every retry fails in the same way.
	KindPermanent Kind = "permanent"
)

// NotStartedError marks an error after which nothing was started.
type NotStartedError struct {
	Err error
}

// Error implements error.
func (e *NotStartedError) Error() string {
	return "not started: " + e.Err.Error()
}

// Unwrap returns the marked error.
func (e *NotStartedError) Unwrap() error {
	return e.Err
}

// KindOf returns the kind of the failure that an error of a call stands for. All
// errors that it does not recognize are ambiguous.
func KindOf(err error) Kind {
	var (
		unfit      *lovagestand.InfeasibleError
		refused    *lovagestand.RefusedError
		full       *lovagestand.QueueFullError
		conflict   *lovagestand.ConflictError
		notStarted *NotStartedError
	)
	switch {
	case errors.As(err, &unfit), errors.As(err, &conflict):
		return KindPermanent
	case errors.As(err, &refused), errors.As(err, &full), errors.As(err, &notStarted):
		return KindNotStarted
	case dialFailed(err):
		return KindNotStarted
	default:
		return KindAmbiguous
	}
}

// dialFailed reports whether err means that no connection was made, so that the
// call was never sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
