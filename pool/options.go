package pool

import "time"

// Option changes how a [Decider] decides.
type Option func(*options)

type options struct {
	fixedHeadroom bool
	noShedding    bool
	noAgeing      bool
	noBackfill    bool
	noDisplacing  bool
	noQuarantine  bool
	noSharing     bool
	firstFit      bool
	ageAfter      time.Duration
	claimFor      time.Duration
}

const (
	// defaultAgeAfter is how long a task waits before room is made for it.
	defaultAgeAfter = 5 * time.Second
	// defaultClaimFor is how long a displaced task may take to stop.
	defaultClaimFor = 30 * time.Second
)

func defaults() options {
	return options{ageAfter: defaultAgeAfter, claimFor: defaultClaimFor}
}

// WithFixedHeadroom keeps the whole headroom share free at all times, whatever
// the demand for urgent work.
func WithFixedHeadroom() Option {
	return func(o *options) { o.fixedHeadroom = true }
}

// WithoutLoadShedding takes tasks that will surely miss their time limit.
func WithoutLoadShedding() Option {
	return func(o *options) { o.noShedding = true }
}

// WithoutAgeing makes no room for tasks that have waited long.
func WithoutAgeing() Option {
	return func(o *options) { o.noAgeing = true }
}

// WithoutBackfill starts nothing on workers that are kept for a task.
func WithoutBackfill() Option {
	return func(o *options) { o.noBackfill = true }
}

// WithoutPreemption never stops a running task for another.
func WithoutPreemption() Option {
	return func(o *options) { o.noDisplacing = true }
}

// WithoutQuarantine trusts all workers and all requests.
func WithoutQuarantine() Option {
	return func(o *options) { o.noQuarantine = true }
}

// WithoutFairSharing serves all teams as one, by arrival.
func WithoutFairSharing() Option {
	return func(o *options) { o.noSharing = true }
}

// WithFirstFit places each task on the worker that joined first of those that
// hold it, by a scan.
func WithFirstFit() Option {
	return func(o *options) { o.firstFit = true }
}

// WithAgeingDelay sets how long a task waits before room is made for it.
func WithAgeingDelay(wait time.Duration) Option {
	return func(o *options) { o.ageAfter = wait }
}

// WithClaimTimeout sets how long room is kept for a task while others stop.
func WithClaimTimeout(wait time.Duration) Option {
	return func(o *options) { o.claimFor = wait }
}
