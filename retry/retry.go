package retry

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"

	"lovagestand.example/lovagestand/common/pause"
)

const (
	// DefaultInitialBackoff is the mean of the first pause.
	DefaultInitialBackoff = 100 * time.Millisecond
	// DefaultMaxBackoff is the mean of the longest pauses.
	DefaultMaxBackoff = 5 * time.Second
	// fullJitter spreads a pause evenly from nothing to twice its mean.
	fullJitter = 1.0
	// backoffFactor is by how much the mean grows with each pause.
	backoffFactor = 2
)

// Effect says what repeating a call may do.
type Effect string

// The effects of calls.
const (
	// Idempotent calls may be repeated after any failure.
	Idempotent Effect = "idempotent"
	// Start calls start something and are repeated only after a failure of
	// [KindNotStarted].
	Start Effect = "start"
)

// BudgetError says that a call failed and may not be repeated for lack of
// budget.
type BudgetError struct {
	// Err is the failure of the last try.
	Err error
	// Tries counts all tries made.
	Tries int
}

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("no budget to repeat after %d tries: %s", e.Tries, e.Err)
}

// Unwrap returns the failure of the last try.
func (e *BudgetError) Unwrap() error {
	return e.Err
}

// Retrier repeats calls to one outside system. It is safe for concurrent use.
type Retrier struct {
	budget                     *Budget
	initialBackoff, maxBackoff time.Duration
}

// Option configures a [Retrier].
type Option func(*Retrier)

// WithBudget sets the budget, which several retriers may share.
func WithBudget(budget *Budget) Option {
	return func(r *Retrier) { r.budget = budget }
}

// WithBackoff sets the means of the first and of the longest pauses.
func WithBackoff(first, longest time.Duration) Option {
	return func(r *Retrier) {
		r.initialBackoff = first
		r.maxBackoff = longest
	}
}

// New returns a retrier with a budget of its own.
func New(options ...Option) *Retrier {
	r := &Retrier{budget: NewBudget(), initialBackoff: DefaultInitialBackoff, maxBackoff: DefaultMaxBackoff}
	for _, o := range options {
		o(r)
	}
	return r
}

// Do makes a call and repeats it until it succeeds, ctx ends, the budget is
// spent or repeating would be wrong. Its errors wrap that of the last try, so
// that [KindOf] still tells whether something may have been started.
func Do[T any](ctx context.Context, r *Retrier, effect Effect, call func(context.Context) (T, error)) (T, error) {
	r.budget.Earn()
	backoffs := r.newBackoff()
	for tries := 1; ; tries++ {
		result, err := call(ctx)
		if err == nil {
			return result, nil
		}
		if !retryable(effect, KindOf(err)) || ctx.Err() != nil {
			return result, err
		}
		if !pause.For(ctx, max(backoffs.NextBackOff(), retryAfter(err, backoffs))) {
			return result, err
		}
		if !r.budget.Spend(time.Now()) {
			return result, &BudgetError{Err: err, Tries: tries}
		}
	}
}

// newBackoff returns pauses that grow, each drawn evenly from nothing to twice its
// mean.
func (r *Retrier) newBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = r.initialBackoff
	b.MaxInterval = r.maxBackoff
	b.Multiplier = backoffFactor
	b.RandomizationFactor = fullJitter
	b.Reset()
	return b
}

// retryAfter returns when the callee asked to come back, with a pause added so that
// all who were told the same do not come back at once.
func retryAfter(err error, backoffs backoff.BackOff) time.Duration {
	var full *lovagestand.QueueFullError
	if !errors.As(err, &full) {
		return 0
	}
	return full.RetryAfter + backoffs.NextBackOff()
}

// retryable reports whether a call may be made again after a failure.
func retryable(effect Effect, kind Kind) bool {
	switch kind {
	case KindNotStarted:
		return true
	case KindAmbiguous:
		return effect == Idempotent
	default:
		return false
	}
}
