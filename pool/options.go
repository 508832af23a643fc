package pool

import "time"

// Option configures a [Decider].
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
	// defaultClaimTimeout is how long a worker stays claimed while preempted
	// tasks stop there.
	defaultClaimTimeout = 30 * time.Second
)

func defaultOptions() options {
	return options{ageingDelay: defaultAgeingDelay, claimTimeout: defaultClaimTimeout}
}

// WithFixedHeadroom always reserves the whole headroom share of the policy,
// whatever the demand for urgent work.
func WithFixedHeadroom() Option {
	return func(o *options) { o.fixedHeadroom = true }
}

// WithoutLoadShedding also queues tasks that are expected to miss their start
// deadline.
func WithoutLoadShedding() Option {
	return func(o *options) { o.noLoadShedding = true }
}

// WithoutAgeing makes no room for tasks that have waited for long.
func WithoutAgeing() Option {
	return func(o *options) { o.noAgeing = true }
}

// WithoutBackfill starts no other task on a claimed worker.
func WithoutBackfill() Option {
	return func(o *options) { o.noBackfill = true }
}

// WithoutPreemption never stops a running task for another.
func WithoutPreemption() Option {
	return func(o *options) { o.noPreemption = true }
}

// WithoutQuarantine quarantines no workers, and refuses no requests because
// they have failed before.
func WithoutQuarantine() Option {
	return func(o *options) { o.noQuarantine = true }
}

// WithoutFairSharing serves tasks by arrival, whatever the shares of their
// teams.
func WithoutFairSharing() Option {
	return func(o *options) { o.noFairSharing = true }
}

// WithFirstFit scans the workers in the order of their rows in the ledger, and
// places each task on the first one that has room.
func WithFirstFit() Option {
	return func(o *options) { o.firstFit = true }
}

// WithAgeingDelay sets how long a task waits before room is made for it.
func WithAgeingDelay(wait time.Duration) Option {
	return func(o *options) { o.ageingDelay = wait }
}

// WithClaimTimeout sets how long a worker stays claimed while preempted tasks
// stop there.
func WithClaimTimeout(wait time.Duration) Option {
	return func(o *options) { o.claimTimeout = wait }
}
