package placer

import "time"

// timings are the durations and limits of a placer.
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
	// defaultLease is how long a task runs on its worker without a renewal.
	defaultLease = 10 * time.Second
	// defaultStartWindow is how long after it was sent a start may take effect.
	defaultStartWindow = time.Second
	// defaultCallTimeout is the timeout of one call to a worker.
	defaultCallTimeout = 2 * time.Second
	// defaultEventWait is how long one call waits for events of a worker.
	defaultEventWait = 20 * time.Second
	// defaultLostAfter is how long a worker may be unreachable before the
	// leases of its tasks are no longer renewed.
	defaultLostAfter = 5 * time.Second
	// defaultDecideInterval is the interval between decisions of an idle shard.
	defaultDecideInterval = 50 * time.Millisecond
	// defaultAnswerRetention is how long a final answer is retained for callers
	// that repeat a request.
	defaultAnswerRetention = 10 * time.Minute
	// defaultWithdrawnRetention is how long the ID of a task that was not
	// queued is retained. A delayed call that could still queue the task is
	// dropped long before that.
	defaultWithdrawnRetention = 2 * maxWindow
	// defaultMembersInterval is the interval at which the member list is
	// applied.
	defaultMembersInterval = 500 * time.Millisecond
	// defaultMaxAttempts is the maximum number of attempts at an idempotent
	// task.
	defaultMaxAttempts = 3
	// defaultClockSkew is the maximum difference between the clocks of two
	// machines.
	defaultClockSkew = 100 * time.Millisecond
	// defaultMaxRetained is the number of final answers above which a shard
	// removes answers early.
	defaultMaxRetained = 20000
	// defaultMaxRetainedBytes is the total body size of final answers, in
	// bytes, above which a shard removes answers early.
	defaultMaxRetainedBytes = 1 << 20
	// defaultRetryInterval is the pause before a failed call to a worker is
	// retried.
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

// Option configures a [Placer].
type Option func(*timings)

// WithLease sets how long a task runs on a worker without a renewal.
func WithLease(d time.Duration) Option {
	return func(t *timings) {
		t.lease = d
		t.renewInterval = d / 3
	}
}

// WithStartWindow sets how long after it was sent a start may take effect on a
// worker.
func WithStartWindow(d time.Duration) Option {
	return func(t *timings) { t.startWindow = d }
}

// WithLostAfter sets how long a worker may be unreachable before the leases of
// its tasks are no longer renewed.
func WithLostAfter(d time.Duration) Option {
	return func(t *timings) { t.lostAfter = d }
}
