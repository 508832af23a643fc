package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

const (
	// repeatInterval is the pause before a submission is repeated, and so how much later
	// than others a waiting caller is served after an outage. It bounds the calls to an
	// owner without a store: at 100 submissions a second 200 callers wait, who cause 670
	// calls a second that are rejected at once.
	repeatInterval = 300 * time.Millisecond
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
		if !current.teams.Enabled || !mayRepeat(err) || !timeToRepeat(ctx) || !pause.For(ctx, repeatInterval) {
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

func timeToRepeat(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) >= repeatInterval+minRepeatTime
}
