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
	// maxOffers is the number of shards that may refuse a request before it is
	// answered as not run.
	maxOffers = 4
	// retryPause is the pause before an owner is called again.
	retryPause = 50 * time.Millisecond
	// defaultRetryAfter is how long a caller should wait before it retries if
	// no better value is known.
	defaultRetryAfter = time.Second

	// hangUpDelay is the time from the arrival of a request that needs a claim
	// to the start of its processing. If the request was delayed in the network
	// and its caller has hung up, the closed connection is noticed in this time.
	hangUpDelay = 5 * time.Millisecond
	// maybePausedDelay replaces hangUpDelay, and applies to every request, in an
	// instance that may have been paused.
	maybePausedDelay = 50 * time.Millisecond

	// cancelledReason is the reason for a request that was cancelled before it
	// ran.
	cancelledReason = "cancelled by the caller"
)

// process finds an owner for the call's request and returns the final answer. The
// answer is [lovagestand.OutcomeNotRun] only if no owner can still run the request.
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

// confirmNotRun returns answer, unless it is [lovagestand.OutcomeNotRun] and the
// request, which has no claim, may have run through another instance. That happens
// if a caller whose connection broke submits the same key to another instance. The
// answer is then that of an instance where the request is done, or
// [lovagestand.OutcomeUnknown].
func (e *Entry) confirmNotRun(ctx context.Context, c *call, answer lovagestand.Answer) lovagestand.Answer {
	if answer.Outcome != lovagestand.OutcomeNotRun || c.claimFailed || e.checker.clear(ctx, c.request.Key, c.request.StartBy) {
		return answer
	}
	if found, ok := e.findElsewhere(ctx, c.request.Key, 0); ok && found.Outcome == lovagestand.OutcomeDone {
		return found
	}
	return lovagestand.UnknownAnswer(c.request.Key, "it may have run through another instance; "+answer.Reason)
}

// isStaleDuplicate reports whether the caller that sent the request has hung up
// already. Another instance may have answered the caller since, so the request is
// not processed. A closed connection is noticed only after a delay. The delay is
// spent only if the request needs a claim, because it must not start twice, or if
// the instance may have been paused, because stale requests are likely then.
func (e *Entry) isStaleDuplicate(ctx context.Context, c *call) bool {
	switch {
	case e.deps.MaybePaused():
		pause.For(ctx, maybePausedDelay)
	case c.route.NeedsClaim():
		pause.For(ctx, hangUpDelay)
	}
	return c.abandoned.Load()
}

// withdrawAll withdraws a request from all owners that may hold it. It returns
// false if one of them may still run it.
func (e *Entry) withdrawAll(ctx context.Context, c *call) bool {
	for _, s := range c.possibleHolders() {
		if !e.withdraw(ctx, c, s) {
			return false
		}
	}
	return true
}

// processUnclaimed processes a request that needs no claim, because it is harmless
// to run it twice. It offers the request to one shard after another.
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

// newUnclaimedTaskID returns a new task ID for a request that needs no claim. Every
// attempt has its own ID, so that a delayed message of an earlier attempt has no
// effect on a later one.
func newUnclaimedTaskID(key lovagestand.RequestKey) lovagestand.TaskID {
	return lovagestand.TaskID(string(key) + "@" + uuid.NewString()[:8])
}

// processClaimed processes a request that needs a claim, because it may start at
// most once or run in only one place at a time. The claim binds the request to one
// shard.
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
	if !claim.SoleHolder {
		c.markMayHold(claim.Shard)
	}
	result := e.offer(ctx, c, claim.Shard)
	if result.kind != offerFinal {
		return lovagestand.NotRunAnswer(c.request.Key, result.reason, result.retryAfter)
	}
	return result.answer
}

// settledAnswer returns the answer of a request whose claim is settled already. The
// claim does not record the body, so the complete answer comes from an instance
// that still holds it, if there is one.
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

// chooseShard returns the shard to offer a request to. While there is none to try,
// it waits for one until the start deadline or a cancellation. It does not wait
// once a shard has refused the request.
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

// refusalAnswer returns the answer for a request that no shard accepted or that was
// granted no claim. It advises a retry, unless no worker can ever hold the request
// or its key belongs to another request.
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
