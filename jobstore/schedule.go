package jobstore

import "time"

const (
	// outageInterval is the time between two attempts at writes while the store does not
	// serve any, over all lanes. It leaves 200 ms of the half second within which jobs
	// must be accepted after an outage, and causes less than 4 calls a second.
	outageInterval = 300 * time.Millisecond
	// quickRetryPeriod is how long a write is retried quickly after errors. A store that
	// rejects single calls serves the next one; after that time it counts as down.
	quickRetryPeriod = 200 * time.Millisecond
	// rejectedDelay and unavailableDelay are the pauses after a rejection and after a
	// broken connection in that period.
	rejectedDelay    = 50 * time.Millisecond
	unavailableDelay = rejectedDelay / 5
	// minSpacing is the least time between two attempts of which the second is sent
	// because the store has answered another call. Twice the usual latency of the store
	// is the other bound.
	minSpacing = 50 * time.Millisecond
	// patience is how long the oldest attempt waits before a newer one takes its place.
	// A store that takes that long for each reply still completes writes.
	patience = 4500 * time.Millisecond
)

// schedule decides when the attempts at one write are sent. The first is sent at once and
// the second when the first has had no reply for its timeout. Then one follows every
// outageInterval, or as soon as the store answers another call.
type schedule struct {
	begunAt  time.Time
	lastSent time.Time
	// next is when the next attempt is due.
	next         time.Time
	firstTimeout time.Duration
	spacing      time.Duration
	sent         int
}

// newSchedule returns the schedule of a write that begins now, given the timeout of its
// first attempt and the usual latency of the store.
func newSchedule(now time.Time, firstTimeout, latency time.Duration) *schedule {
	return &schedule{begunAt: now, next: now, firstTimeout: firstTimeout, spacing: max(minSpacing, 2*latency)}
}

// attemptSent records an attempt and sets the time of the next one.
func (p *schedule) attemptSent(now time.Time) {
	p.sent++
	p.lastSent = now
	p.next = now.Add(outageInterval)
	if p.sent == 1 {
		p.next = now.Add(p.firstTimeout)
	}
}

// attemptFailed sets the time of the next attempt after an error.
func (p *schedule) attemptFailed(now time.Time, delay time.Duration) {
	p.next = now.Add(delay)
	if now.Sub(p.begunAt) >= quickRetryPeriod {
		p.next = later(p.next, p.lastSent.Add(outageInterval))
	}
}

// storeAnswered brings the next attempt forward because the store has answered another
// call. While the first attempt is not overdue this has no effect, since replies arrive in
// any order.
func (p *schedule) storeAnswered(now time.Time) {
	if now.Sub(p.begunAt) < p.firstTimeout {
		return
	}
	if due := later(now, p.lastSent.Add(p.spacing)); due.Before(p.next) {
		p.next = due
	}
}

// postpone delays the next attempt because an attempt in another lane has just been sent.
func (p *schedule) postpone(now time.Time, wait time.Duration) { p.next = now.Add(wait) }

// paced reports whether the next attempt counts as one to a store that may be down.
func (p *schedule) paced(now time.Time) bool {
	return p.sent > 0 && now.Sub(p.begunAt) >= quickRetryPeriod
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pacer limits the attempts of all lanes to one per outageInterval while the store
// answers no call.
type pacer struct {
	claimedAt time.Time
}

// claim returns 0 if an attempt may be sent now, or else how long to wait.
func (p *pacer) claim(now time.Time) time.Duration {
	if wait := p.claimedAt.Add(outageInterval).Sub(now); wait > 0 {
		return wait
	}
	p.claimedAt = now
	return 0
}

// storeAnswered lets all lanes send an attempt.
func (p *pacer) storeAnswered() { p.claimedAt = time.Time{} }
