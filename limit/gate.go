package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of the times that refused callers are told.
const (
	MinRetryAfter = 500 * time.Millisecond
	MaxRetryAfter = time.Minute
)

// bounds are what a gate holds to in this instance.
type bounds struct {
	// rate is in requests a second; 0 for no limit.
	rate  float64
	burst int
	// limited says that concurrent holds.
	limited    bool
	concurrent int
}

// gate is one rate and one concurrency limit.
type gate struct {
	bounds  bounds
	limiter *rate.Limiter
	// inFlight counts the requests that were let in and not answered.
	inFlight      int
	retrySchedule retrySchedule
}

func newGate(b bounds) *gate {
	g := &gate{limiter: rate.NewLimiter(rate.Inf, 0)}
	g.setBounds(b, time.Time{})
	return g
}

// setBounds replaces the bounds; what is in flight stays counted.
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

// atCapacity reports whether no further request may be in flight.
func (g *gate) atCapacity() bool {
	return g.bounds.limited && g.inFlight >= g.bounds.concurrent
}

// outOfTokens reports whether the rate lets no request in now.
func (g *gate) outOfTokens(now time.Time) bool {
	return g.bounds.rate > 0 && g.limiter.TokensAt(now) < 1
}

// admit lets one request in.
func (g *gate) admit(now time.Time) {
	g.inFlight++
	g.limiter.AllowN(now, 1)
}

// release counts one answered request out.
func (g *gate) release(now time.Time) {
	g.inFlight--
	g.retrySchedule.answered(now)
}

// idle reports whether forgetting the gate would lose nothing.
func (g *gate) idle(now time.Time) bool {
	full := g.bounds.rate == 0 || g.limiter.TokensAt(now) >= float64(g.bounds.burst)
	return g.inFlight == 0 && full
}

// retrySchedule spreads the times at which refused callers come back over the rate
// at which requests are let in or answered.
type retrySchedule struct {
	// lastRetry is the time last told.
	lastRetry time.Time
	// rate is the smoothed count of requests answered in a second.
	rate       float64
	lastAnswer time.Time
}

// answerRateWindow is the time over which the rate of answers is averaged.
const answerRateWindow = 5 * time.Second

// answered notes that a request was answered.
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

// next returns when the next refused caller should come back, where rate is
// the requests a second that will find room.
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
