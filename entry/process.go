package entry

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

const (
	// maxOffers bounds how many shards a request is offered to.
	maxOffers = 4
	// retryPause is the pause before an owner is asked again.
	retryPause = 50 * time.Millisecond
	// defaultRetryAfter is when a caller may come back where nothing better is
	// known.
	defaultRetryAfter = time.Second

	// hangUpDelay is how long a request may wait before it is begun, so that a
	// copy which was held up on its way is found to have no caller.
	hangUpDelay = 5 * time.Millisecond
	// maybePausedDelay is the same at an instance that may have been paused.
	maybePausedDelay = 50 * time.Millisecond

	// cancelledReason is told of work given up before it ran.
	cancelledReason = "cancelled by the caller"
)

// process finds an owner for the call's request and returns its final answer.
// It says that the request did not run only if no owner may still run it.
func (e *Entry) process(ctx context.Context, c *call) lovagestand.Answer {
	var answer lovagestand.Answer
	if e.isStaleDuplicate(ctx, c) {
		return lovagestand.UnknownAnswer(c.request.Key, "the caller hung up before it was taken here")
	}
	if c.route.NeedsClaim() {
		answer = e.processClaimed(ctx, c)
	} else {
		answer = e.processUnclaimed(ctx, c)
	}
	if answer.Outcome == lovagestand.OutcomeNotRun && !e.withdrawAll(ctx, c) {
		answer = lovagestand.UnknownAnswer(c.request.Key, "an instance out of reach may run it; "+answer.Reason)
	}
	if c.claim == nil {
		return e.confirmNotRun(ctx, c, answer)
	}
	answer.Key = c.request.Key
	answer.Task = c.taskID
	return e.deps.Claims.Settle(ctx, *c.claim, answer)
}

// confirmNotRun makes sure that a request without a claim is only said not to have
// run if it did not run through another instance either: a caller whose
// connection broke sends the same key again elsewhere.
func (e *Entry) confirmNotRun(ctx context.Context, c *call, answer lovagestand.Answer) lovagestand.Answer {
	if answer.Outcome != lovagestand.OutcomeNotRun || c.claimFailed || e.checker.clear(ctx, c.request.Key) {
		return answer
	}
	if found, ok := e.findElsewhere(ctx, c.request.Key, 0); ok && found.Outcome == lovagestand.OutcomeDone {
		return found
	}
	return lovagestand.UnknownAnswer(c.request.Key, "it may have run through another instance; "+answer.Reason)
}

// isStaleDuplicate reports whether the caller who sent the request had hung up before
// it was taken. They may have been told elsewhere what became of it, so it is
// not begun. Only where it matters or is likely is the connection given the
// time to show that it was closed.
func (e *Entry) isStaleDuplicate(ctx context.Context, c *call) bool {
	switch {
	case e.deps.Unsteady():
		pause.For(ctx, maybePausedDelay)
	case c.route.NeedsClaim():
		pause.For(ctx, hangUpDelay)
	}
	return c.abandoned.Load()
}

// withdrawAll takes a request back from all who may hold it; false if one of
// them may still run it.
func (e *Entry) withdrawAll(ctx context.Context, c *call) bool {
	for _, s := range c.possibleHolders() {
		if !e.withdraw(ctx, c, s) {
			return false
		}
	}
	return true
}

// processUnclaimed runs a request that may run twice: it is offered to one shard
// after another.
func (e *Entry) processUnclaimed(ctx context.Context, c *call) lovagestand.Answer {
	c.taskID = newUnclaimedTaskID(c.request.Key)
	var tried []lovagestand.ShardName
	refused := false
	for {
		target, err := e.chooseShard(ctx, c, tried, refused)
		if err != nil {
			return refusalAnswer(c, err)
		}
		result := e.offer(ctx, c, target.Shard)
		switch result.kind {
		case offerFinal:
			return result.answer
		case offerRefused:
			refused = true
			tried = append(tried, target.Shard)
			if len(tried) >= maxOffers {
				return lovagestand.NotRunAnswer(c.request.Key, result.reason, result.retryAfter)
			}
		case offerUnreachable:
			tried = append(tried[:0], target.Shard)
		}
	}
}

// newUnclaimedTaskID names a try at a request that takes no claim. Every try has a name
// of its own, so that a late message of one cannot revive another.
func newUnclaimedTaskID(key lovagestand.RequestKey) lovagestand.TaskID {
	return lovagestand.TaskID(string(key) + "@" + uuid.NewString()[:8])
}

// processClaimed runs a request that may start at most once, or in one place
// only: it is claimed for one shard and stays with it.
func (e *Entry) processClaimed(ctx context.Context, c *call) lovagestand.Answer {
	target, err := e.chooseShard(ctx, c, nil, false)
	if err != nil {
		return refusalAnswer(c, err)
	}
	claim, err := e.deps.Claims.Claim(ctx, ClaimRequest{
		Request:     c.request,
		Fingerprint: c.fingerprint,
		Shard:       target.Shard,
		Idempotent:  c.route.Idempotent,
		Submitted:   c.submitted,
	})
	if err != nil {
		c.claimFailed = true
		return refusalAnswer(c, err)
	}
	if claim.Settled != nil {
		return e.settledAnswer(ctx, c, *claim.Settled)
	}
	c.request = c.request.WithStartBy(claim.StartBy)
	c.submitted = claim.Created
	c.taskID = claim.Task
	c.claim = &claim
	if !claim.Fresh {
		c.markMayHold(claim.Shard)
	}
	result := e.offer(ctx, c, claim.Shard)
	if result.kind != offerFinal {
		return lovagestand.NotRunAnswer(c.request.Key, result.reason, result.retryAfter)
	}
	return result.answer
}

// settledAnswer returns the whole answer of a request that has ended before: from
// the owner that still holds it if there is one.
func (e *Entry) settledAnswer(ctx context.Context, c *call, recorded lovagestand.Answer) lovagestand.Answer {
	if found, ok := e.findElsewhere(ctx, c.request.Key, 0); ok && found.Outcome.Final() {
		return found
	}
	if recorded.Outcome == lovagestand.OutcomeDone {
		recorded.Outcome = lovagestand.OutcomeUnknown
		recorded.Reason = "it ran to its end, and its answer is no longer kept"
	}
	return recorded
}

// chooseShard asks for a shard until there is one or the time to start has passed.
// Once a shard has refused the request, having none left to try is final.
func (e *Entry) chooseShard(ctx context.Context, c *call, tried []lovagestand.ShardName, refused bool) (Target, error) {
	for {
		target, err := e.deps.Chooser.Choose(c.attempt(), len(c.request.Body), tried)
		var noTarget *NoTargetError
		if err == nil || !errors.As(err, &noTarget) {
			return target, err
		}
		if c.isCancelled() || time.Now().After(c.request.StartBy) || refused {
			return target, err
		}
		tried = nil
		if !pause.For(ctx, retryPause) {
			return target, ctx.Err()
		}
	}
}

// refusalAnswer returns the answer for a request that no shard would take. Coming
// back is of use unless no worker can ever hold it.
func refusalAnswer(c *call, err error) lovagestand.Answer {
	var unknownOutcome *UnknownOutcomeError
	if errors.As(err, &unknownOutcome) {
		return lovagestand.UnknownAnswer(c.request.Key, err.Error())
	}
	retryAfter := defaultRetryAfter
	var infeasible *lovagestand.InfeasibleError
	var mismatch *KeyMismatchError
	var noTarget *NoTargetError
	switch {
	case errors.As(err, &infeasible), errors.As(err, &mismatch):
		retryAfter = 0
	case errors.As(err, &noTarget) && noTarget.RetryAfter > 0:
		retryAfter = noTarget.RetryAfter
	}
	return lovagestand.NotRunAnswer(c.request.Key, err.Error(), retryAfter)
}
