package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

const (
	// repeatInterval is the pause before a job is passed to the owner again, and so how much
	// later than others a waiting caller is served after an outage. At 100 jobs a second 200
	// callers wait, who cause 670 calls a second that are rejected at once.
	repeatInterval = 300 * time.Millisecond
	// longRepeatInterval is that pause once no job has been accepted for longOutage: few
	// callers still have time to be served, and the owner needs its processor for what runs.
	longRepeatInterval = 600 * time.Millisecond
	longOutage         = 3 * time.Second
	// outageGap is the time without a rejected job after which an outage is a new one.
	outageGap = 2 * time.Second
	// minRepeatTime is the time that must remain for a repeated submission. It covers the
	// wait for a next owner and a write; a call that ends before has an unknown outcome.
	minRepeatTime = 700 * time.Millisecond
)

// submitToOwner passes a job to the owner. In a deployment with teams it repeats the
// submission, until the caller's deadline is near, while it is certain that the job was
// not accepted only because the store does not answer or the shard has no owner.
// Otherwise the few attempts of a caller are used up within seconds, each by an immediate
// rejection.
func (g *Gateway) submitToOwner(ctx context.Context, current *routing, j job.Job) error {
	for {
		err := g.owner.Submit(ctx, j, current.Version)
		if !current.teams.Enabled || !mayRepeat(err) {
			return err
		}
		interval := g.repeats.interval(time.Now())
		if !timeToRepeat(ctx, interval) || !pause.For(ctx, interval) {
			return err
		}
	}
}

// mayRepeat reports whether a submission had no effect, and may succeed within the
// deadline of a call.
func mayRepeat(err error) bool {
	var rejected *shard.RejectedError
	var notOwner *shard.NotOwnerError
	return errors.As(err, &rejected) && rejected.Stalled || errors.As(err, &notOwner)
}

func timeToRepeat(ctx context.Context, interval time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) >= interval+minRepeatTime
}

// repeatPacer decides how soon jobs that were not accepted are passed to the owner again.
type repeatPacer struct {
	mu sync.Mutex
	// failingSince is when the outage began in which a job was last rejected, at lastFailure.
	failingSince, lastFailure time.Time
}

// interval records a rejected job and returns the pause before the next attempt.
func (r *repeatPacer) interval(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastFailure) > outageGap {
		r.failingSince = now
	}
	r.lastFailure = now
	if now.Sub(r.failingSince) > longOutage {
		return longRepeatInterval
	}
	return repeatInterval
}
