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
	// DefaultInitialBackoff is the mean of the first backoff delay.
	DefaultInitialBackoff = 100 * time.Millisecond
	// DefaultMaxBackoff is the mean of the longest backoff delays.
	DefaultMaxBackoff = 5 * time.Second
	// fullJitter distributes a delay uniformly between 0 and twice its mean.
	fullJitter = 1.0
	// backoffFactor is the factor by which the mean grows with each delay.
	backoffFactor = 2
)

// Effect is the effect of a call, which determines when the call may be retried.
type Effect string

// The effects of calls.
const (
	// Idempotent is the effect of calls that may be retried after any failure
	// other than a permanent one.
	Idempotent Effect = "idempotent"
	// Start is the effect of calls that start something. They are retried only
	// after a failure of [KindNotStarted].
	Start Effect = "start"
)

// BudgetError is returned when a call failed and there is no budget left to retry
// it.
type BudgetError struct {
	// Err is the error of the last try.
	Err error
	// Tries is the number of tries.
	Tries int
}

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("retry budget exhausted after %d tries: %s", e.Tries, e.Err)
}

// Unwrap returns the error of the last try.
func (e *BudgetError) Unwrap() error {
	return e.Err
}

// Retrier retries calls to one external system. It is safe for concurrent use.
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

// WithBackoff sets the means of the first and of the longest backoff delays.
func WithBackoff(first, longest time.Duration) Option {
	return func(r *Retrier) {
		r.initialBackoff = first
		r.maxBackoff = longest
	}
}

// New returns a retrier. It has its own budget unless [WithBudget] sets one.
func New(options ...Option) *Retrier {
	r := &Retrier{budget: NewBudget(), initialBackoff: DefaultInitialBackoff, maxBackoff: DefaultMaxBackoff}
	for _, o := range options {
		o(r)
	}
	return r
}

// Do makes a call and retries it until it succeeds, ctx ends, the budget is spent
// or a retry is not allowed. The returned error is or wraps that of the last try,
// so that [KindOf] still shows whether something may have been started.
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

// newBackoff returns an exponential backoff. Each delay is drawn uniformly between
// 0 and twice its mean.
func (r *Retrier) newBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = r.initialBackoff
	b.MaxInterval = r.maxBackoff
	b.Multiplier = backoffFactor
	b.RandomizationFactor = fullJitter
	b.Reset()
	return b
}

// retryAfter returns the delay that the callee requested in err, or 0 if there is
// none. A random backoff delay is added, so that callers that received the same
// delay do not all retry at the same time.
func retryAfter(err error, backoffs backoff.BackOff) time.Duration {
	var full *lovagestand.QueueFullError
	if !errors.As(err, &full) {
		return 0
	}
	return full.RetryAfter + backoffs.NextBackOff()
}

// retryable reports whether a call may be retried after a failure.
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
