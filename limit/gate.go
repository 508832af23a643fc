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
	inFlight int
	returns  returns
}

func newGate(b bounds) *gate {
	g := &gate{limiter: rate.NewLimiter(rate.Inf, 0)}
	g.set(b, time.Time{})
	return g
}

// set replaces the bounds; what is in flight stays counted.
func (g *gate) set(b bounds, now time.Time) {
	if b == g.bounds {
		return
	}
	fresh := g.bounds.rate == 0
	g.bounds = b
	switch {
	case b.rate == 0:
		g.limiter = rate.NewLimiter(rate.Inf, 0)
	case fresh:
		g.limiter = rate.NewLimiter(rate.Limit(b.rate), b.burst)
	default:
		g.limiter.SetLimitAt(now, rate.Limit(b.rate))
		g.limiter.SetBurstAt(now, b.burst)
	}
}

// crowded reports whether no further request may be in flight.
func (g *gate) crowded() bool {
	return g.bounds.limited && g.inFlight >= g.bounds.concurrent
}

// dry reports whether the rate lets no request in now.
func (g *gate) dry(now time.Time) bool {
	return g.bounds.rate > 0 && g.limiter.TokensAt(now) < 1
}

// enter lets one request in.
func (g *gate) enter(now time.Time) {
	g.inFlight++
	g.limiter.AllowN(now, 1)
}

// leave counts one answered request out.
func (g *gate) leave(now time.Time) {
	g.inFlight--
	g.returns.left(now)
}

// idle reports whether forgetting the gate would lose nothing.
func (g *gate) idle(now time.Time) bool {
	full := g.bounds.rate == 0 || g.limiter.TokensAt(now) >= float64(g.bounds.burst)
	return g.inFlight == 0 && full
}

// returns spreads the times at which refused callers come back over the rate
// at which requests are let in or answered.
type returns struct {
	// next is the time last told.
	next time.Time
	// rate is the smoothed count of requests answered in a second.
	rate     float64
	lastLeft time.Time
}

// smoothing is the time over which the rate of answers is averaged.
const smoothing = 5 * time.Second

// left notes that a request was answered.
func (r *returns) left(now time.Time) {
	if r.lastLeft.IsZero() {
		r.lastLeft = now
		return
	}
	gap := now.Sub(r.lastLeft).Seconds()
	r.lastLeft = now
	kept := math.Exp(-gap / smoothing.Seconds())
	r.rate = r.rate*kept + 1/smoothing.Seconds()
}

// after returns when the next refused caller should come back, where rate is
// the requests a second that will find room.
func (r *returns) after(now time.Time, rate float64) time.Duration {
	gap := MaxRetryAfter
	if rate > 1/MaxRetryAfter.Seconds() {
		gap = time.Duration(float64(time.Second) / rate)
	}
	soonest := now.Add(MinRetryAfter)
	r.next = r.next.Add(gap)
	if r.next.Before(soonest) {
		r.next = soonest
	}
	if latest := now.Add(MaxRetryAfter); r.next.After(latest) {
		r.next = latest
	}
	return r.next.Sub(now)
}
