package retry

import (
	"sync"
	"time"
)

const (
	// DefaultRatio is the number of retries that each first call earns.
	DefaultRatio = 0.1
	// DefaultFloor is the number of retries per second that are allowed without
	// any calls.
	DefaultFloor = 1.0
	// DefaultBurst is the maximum number of retries that can be saved up.
	DefaultBurst = 20.0
)

// Budget limits retries to a fraction of the calls plus a small rate, so that
// retries add little load even if all calls fail. It is a token bucket in which
// each retry costs one token. It is safe for concurrent use.
type Budget struct {
	ratio, floor, burst float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// BudgetOption configures a [Budget].
type BudgetOption func(*Budget)

// WithRatio sets the number of retries that each first call earns.
func WithRatio(ratio float64) BudgetOption {
	return func(b *Budget) { b.ratio = ratio }
}

// WithFloor sets the number of retries per second that are allowed without any
// calls.
func WithFloor(floor float64) BudgetOption {
	return func(b *Budget) { b.floor = floor }
}

// WithBurst sets the maximum number of retries that can be saved up.
func WithBurst(burst float64) BudgetOption {
	return func(b *Budget) { b.burst = burst }
}

// NewBudget returns a full budget.
func NewBudget(options ...BudgetOption) *Budget {
	b := &Budget{ratio: DefaultRatio, floor: DefaultFloor, burst: DefaultBurst}
	for _, o := range options {
		o(b)
	}
	b.tokens = b.burst
	return b
}

// Earn counts a first call and adds the retries that it earns to the budget.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(b.ratio)
}

// Spend reports whether a call may be retried now. If so, it takes the retry off
// the budget.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.After(b.refilledAt) {
		if !b.refilledAt.IsZero() {
			b.add(b.floor * now.Sub(b.refilledAt).Seconds())
		}
		b.refilledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.burst)
}
