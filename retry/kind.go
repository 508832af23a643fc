package retry

import (
	"net"

	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
)

// Kind says what a failed call has done.
type Kind string

// The kinds of failure.
const (
	// KindAmbiguous may have taken effect, now or later.
	KindAmbiguous Kind = "ambiguous"
	// KindNotStarted surely had no effect; another try may succeed.
	KindNotStarted Kind = "notStarted"
	// KindPermanent surely had no effect, and every other try fails alike.
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

// KindOf classifies an error of a call. An error it does not know is
// ambiguous.
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

// dialFailed reports whether err says that no connection was made.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
