package placer

import "time"

// timings are the intervals a placer works by.
type timings struct {
	lease         time.Duration
	renewEvery    time.Duration
	startWindow   time.Duration
	callTimeout   time.Duration
	eventWait     time.Duration
	lostAfter     time.Duration
	idleDecide    time.Duration
	keepAnswer    time.Duration
	keepWithdrawn time.Duration
	membersEvery  time.Duration
	maxAttempts   int
	clockSkew     time.Duration
	maxKept       int
	maxKeptBytes  int
	retryInterval time.Duration
}

const (
	// defaultLease is how long a task runs without being renewed.
	defaultLease = 10 * time.Second
	// defaultStartWindow bounds how late a start may take effect.
	defaultStartWindow = time.Second
	// defaultCallTimeout bounds one call to a worker.
	defaultCallTimeout = 2 * time.Second
	// defaultEventWait is how long one call waits for a worker's events.
	defaultEventWait = 20 * time.Second
	// defaultLostAfter is how long a worker may be out of reach before its
	// leases are no longer renewed.
	defaultLostAfter = 5 * time.Second
	// defaultIdleDecide is how often a shard decides when nothing happens.
	defaultIdleDecide = 50 * time.Millisecond
	// defaultKeepAnswer is how long a final answer is kept for callers that
	// ask again.
	defaultKeepAnswer = 10 * time.Minute
	// defaultKeepWithdrawn is how long the name of a task that was not queued
	// is kept; a call that could queue it is dropped long before.
	defaultKeepWithdrawn = 2 * maxWindow
	// defaultMembersEvery is how often the member list is applied.
	defaultMembersEvery = 500 * time.Millisecond
	// defaultMaxAttempts bounds the tries at an idempotent task.
	defaultMaxAttempts = 3
	// defaultClockSkew bounds the difference between two machines' clocks.
	defaultClockSkew = 100 * time.Millisecond
	// defaultMaxKept bounds the final answers kept for one shard.
	defaultMaxKept = 20000
	// defaultMaxKeptBytes bounds the bodies of the final answers kept for one
	// shard.
	defaultMaxKeptBytes = 1 << 20
	// defaultRetryInterval is the pause before a failed call to a worker is
	// repeated.
	defaultRetryInterval = 200 * time.Millisecond
)

func defaultTimings() timings {
	return timings{
		lease:         defaultLease,
		renewEvery:    defaultLease / 3,
		startWindow:   defaultStartWindow,
		callTimeout:   defaultCallTimeout,
		eventWait:     defaultEventWait,
		lostAfter:     defaultLostAfter,
		idleDecide:    defaultIdleDecide,
		keepAnswer:    defaultKeepAnswer,
		keepWithdrawn: defaultKeepWithdrawn,
		membersEvery:  defaultMembersEvery,
		maxAttempts:   defaultMaxAttempts,
		clockSkew:     defaultClockSkew,
		maxKept:       defaultMaxKept,
		maxKeptBytes:  defaultMaxKeptBytes,
		retryInterval: defaultRetryInterval,
	}
}

// Option changes how a [Placer] works.
type Option func(*timings)

// WithLease sets how long a task runs on a worker without being renewed.
func WithLease(d time.Duration) Option {
	return func(t *timings) {
		t.lease = d
		t.renewEvery = d / 3
	}
}

// WithStartWindow sets how late a start may still take effect on a worker.
func WithStartWindow(d time.Duration) Option {
	return func(t *timings) { t.startWindow = d }
}

// WithLostAfter sets how long a worker may be out of reach before its leases
// are no longer renewed.
func WithLostAfter(d time.Duration) Option {
	return func(t *timings) { t.lostAfter = d }
}
