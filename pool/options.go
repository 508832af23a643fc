package pool

import "time"

// Option changes how a [Decider] decides.
type Option func(*options)

type options struct {
	fixedHeadroom  bool
	noLoadShedding bool
	noAgeing       bool
	noBackfill     bool
	noPreemption   bool
	noQuarantine   bool
	noFairSharing  bool
	firstFit       bool
	ageingDelay    time.Duration
	claimTimeout   time.Duration
}

const (
	// defaultAgeingDelay is how long a task waits before room is made for it.
	defaultAgeingDelay = 5 * time.Second
	// defaultClaimTimeout is how long a displaced task may take to stop.
	defaultClaimTimeout = 30 * time.Second
)

func defaultOptions() options {
	return options{ageingDelay: defaultAgeingDelay, claimTimeout: defaultClaimTimeout}
}

// WithFixedHeadroom keeps the whole headroom share free at all times, whatever
// the demand for urgent work.
func WithFixedHeadroom() Option {
	return func(o *options) { o.fixedHeadroom = true }
}

// WithoutLoadShedding takes tasks that will surely miss their time limit.
func WithoutLoadShedding() Option {
	return func(o *options) { o.noLoadShedding = true }
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
	return func(o *options) { o.noPreemption = true }
}

// WithoutQuarantine trusts all workers and all requests.
func WithoutQuarantine() Option {
	return func(o *options) { o.noQuarantine = true }
}

// WithoutFairSharing serves all teams as one, by arrival.
func WithoutFairSharing() Option {
	return func(o *options) { o.noFairSharing = true }
}

// WithFirstFit places each task on the worker that joined first of those that
// hold it, by a scan.
func WithFirstFit() Option {
	return func(o *options) { o.firstFit = true }
}

// WithAgeingDelay sets how long a task waits before room is made for it.
func WithAgeingDelay(wait time.Duration) Option {
	return func(o *options) { o.ageingDelay = wait }
}

// WithClaimTimeout sets how long room is kept for a task while others stop.
func WithClaimTimeout(wait time.Duration) Option {
	return func(o *options) { o.claimTimeout = wait }
}
