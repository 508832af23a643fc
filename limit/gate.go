package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of the retry times given to refused callers.
const (
	MinRetryAfter = 500 * time.Millisecond
	MaxRetryAfter = time.Minute
)

// bounds are the limits that a gate enforces in this instance.
type bounds struct {
	// rate is in requests per second; 0 means no limit.
	rate  float64
	burst int
	// limited enables the limit in concurrent, which may be 0.
	limited    bool
	concurrent int
}

// gate enforces one rate limit and one concurrency limit.
type gate struct {
	bounds  bounds
	limiter *rate.Limiter
	// inFlight counts the requests that were admitted and not yet answered.
	inFlight      int
	retrySchedule retrySchedule
}

func newGate(b bounds) *gate {
	g := &gate{limiter: rate.NewLimiter(rate.Inf, 0)}
	g.setBounds(b, time.Time{})
	return g
}

// setBounds replaces the bounds. Requests in flight remain counted.
func (g *gate) setBounds(b bounds, now time.Time) {
	if b == g.bounds {
		return
	}
	wasUnlimited := g.bounds.rate == 0
	g.bounds = b
	switch {
	case b.rate == 0:
		g.limiter = rate.NewLimiter(rate.Inf, 0)
	case wasUnlimited:
		g.limiter = rate.NewLimiter(rate.Limit(b.rate), b.burst)
	default:
		g.limiter.SetLimitAt(now, rate.Limit(b.rate))
		g.limiter.SetBurstAt(now, b.burst)
	}
}

// atCapacity reports whether the concurrency limit is reached.
func (g *gate) atCapacity() bool {
	return g.bounds.limited && g.inFlight >= g.bounds.concurrent
}

// outOfTokens reports whether the rate limit admits no request at this time.
func (g *gate) outOfTokens(now time.Time) bool {
	return g.bounds.rate > 0 && g.limiter.TokensAt(now) < 1
}

// admit records that one request is in flight and takes its token.
func (g *gate) admit(now time.Time) {
	g.inFlight++
	g.limiter.AllowN(now, 1)
}

// release records that one request has been answered.
func (g *gate) release(now time.Time) {
	g.inFlight--
	g.retrySchedule.answered(now)
}

// idle reports whether a new gate would admit the same requests: nothing is in
// flight and the burst is fully available.
func (g *gate) idle(now time.Time) bool {
	full := g.bounds.rate == 0 || g.limiter.TokensAt(now) >= float64(g.bounds.burst)
	return g.inFlight == 0 && full
}

// retrySchedule spaces the times at which refused callers retry by the rate at
// which requests are admitted or answered.
type retrySchedule struct {
	// lastRetry is the latest retry time given to a caller.
	lastRetry time.Time
	// rate is the smoothed number of requests answered per second.
	rate       float64
	lastAnswer time.Time
}

// answerRateWindow is the time constant of the smoothing of the answer rate.
const answerRateWindow = 5 * time.Second

// answered records that a request was answered.
func (r *retrySchedule) answered(now time.Time) {
	if r.lastAnswer.IsZero() {
		r.lastAnswer = now
		return
	}
	gap := now.Sub(r.lastAnswer).Seconds()
	r.lastAnswer = now
	decay := math.Exp(-gap / answerRateWindow.Seconds())
	r.rate = r.rate*decay + 1/answerRateWindow.Seconds()
}

// next returns the time that the next refused caller should wait before it
// retries. rate is the number of requests per second that can be admitted.
func (r *retrySchedule) next(now time.Time, rate float64) time.Duration {
	gap := MaxRetryAfter
	if rate > 1/MaxRetryAfter.Seconds() {
		gap = time.Duration(float64(time.Second) / rate)
	}
	soonest := now.Add(MinRetryAfter)
	r.lastRetry = r.lastRetry.Add(gap)
	if r.lastRetry.Before(soonest) {
		r.lastRetry = soonest
	}
	if latest := now.Add(MaxRetryAfter); r.lastRetry.After(latest) {
		r.lastRetry = latest
	}
	return r.lastRetry.Sub(now)
}
