package placer

import "time"

// timings are the intervals a placer works by.
type timings struct {
	lease              time.Duration
	renewInterval      time.Duration
	startWindow        time.Duration
	callTimeout        time.Duration
	eventWait          time.Duration
	lostAfter          time.Duration
	decideInterval     time.Duration
	answerRetention    time.Duration
	withdrawnRetention time.Duration
	membersInterval    time.Duration
	maxAttempts        int
	clockSkew          time.Duration
	maxRetained        int
	maxRetainedBytes   int
	retryInterval      time.Duration
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
	// defaultDecideInterval is how often a shard decides when nothing happens.
	defaultDecideInterval = 50 * time.Millisecond
	// defaultAnswerRetention is how long a final answer is kept for callers that
	// ask again.
	defaultAnswerRetention = 10 * time.Minute
	// defaultWithdrawnRetention is how long the name of a task that was not queued
	// is kept; a call that could queue it is dropped long before.
	defaultWithdrawnRetention = 2 * maxWindow
	// defaultMembersInterval is how often the member list is applied.
	defaultMembersInterval = 500 * time.Millisecond
	// defaultMaxAttempts bounds the tries at an idempotent task.
	defaultMaxAttempts = 3
	// defaultClockSkew bounds the difference between two machines' clocks.
	defaultClockSkew = 100 * time.Millisecond
	// defaultMaxRetained bounds the final answers kept for one shard.
	defaultMaxRetained = 20000
	// defaultMaxRetainedBytes bounds the bodies of the final answers kept for one
	// shard.
	defaultMaxRetainedBytes = 1 << 20
	// defaultRetryInterval is the pause before a failed call to a worker is
	// repeated.
	defaultRetryInterval = 200 * time.Millisecond
)

func defaultTimings() timings {
	return timings{
		lease:              defaultLease,
		renewInterval:      defaultLease / 3,
		startWindow:        defaultStartWindow,
		callTimeout:        defaultCallTimeout,
		eventWait:          defaultEventWait,
		lostAfter:          defaultLostAfter,
		decideInterval:     defaultDecideInterval,
		answerRetention:    defaultAnswerRetention,
		withdrawnRetention: defaultWithdrawnRetention,
		membersInterval:    defaultMembersInterval,
		maxAttempts:        defaultMaxAttempts,
		clockSkew:          defaultClockSkew,
		maxRetained:        defaultMaxRetained,
		maxRetainedBytes:   defaultMaxRetainedBytes,
		retryInterval:      defaultRetryInterval,
	}
}

// Option changes how a [Placer] works.
type Option func(*timings)

// WithLease sets how long a task runs on a worker without being renewed.
func WithLease(d time.Duration) Option {
	return func(t *timings) {
		t.lease = d
		t.renewInterval = d / 3
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
