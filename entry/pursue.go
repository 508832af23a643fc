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
	// maxHops bounds how many shards a request is offered to.
	maxHops = 4
	// retryPause is the pause before an owner is asked again.
	retryPause = 50 * time.Millisecond
	// defaultRetryAfter is when a caller may come back where nothing better is
	// known.
	defaultRetryAfter = time.Second

	// hangUpGrace is how long a request may wait before it is begun, so that a
	// copy which was held up on its way is found to have no caller.
	hangUpGrace = 5 * time.Millisecond
	// unsteadyGrace is the same at an instance that may have been paused.
	unsteadyGrace = 50 * time.Millisecond

	// cancelledReason is told of work given up before it ran.
	cancelledReason = "cancelled by the caller"
)

// pursue finds an owner for the call's request and returns its final answer.
// It says that the request did not run only if no owner may still run it.
func (e *Entry) pursue(ctx context.Context, c *call) lovagestand.Answer {
	var answer lovagestand.Answer
	if e.isLateCopy(ctx, c) {
		return lovagestand.UnknownAnswer(c.request.Key, "the caller hung up before it was taken here")
	}
	if c.route.NeedsClaim() {
		answer = e.pursueClaimed(ctx, c)
	} else {
		answer = e.pursueFree(ctx, c)
	}
	if answer.Outcome == lovagestand.OutcomeNotRun && !e.withdrawAll(ctx, c) {
		answer = lovagestand.UnknownAnswer(c.request.Key, "an instance out of reach may run it; "+answer.Reason)
	}
	if c.granted == nil {
		return e.checked(ctx, c, answer)
	}
	answer.Key = c.request.Key
	answer.Task = c.task
	return e.deps.Claims.Settle(ctx, *c.granted, answer)
}

// checked makes sure that a request without a claim is only said not to have
// run if it did not run through another instance either: a caller whose
// connection broke sends the same key again elsewhere.
func (e *Entry) checked(ctx context.Context, c *call, answer lovagestand.Answer) lovagestand.Answer {
	if answer.Outcome != lovagestand.OutcomeNotRun || c.vouched || e.checker.clear(ctx, c.request.Key) {
		return answer
	}
	if found, ok := e.findElsewhere(ctx, c.request.Key, 0); ok && found.Outcome == lovagestand.OutcomeDone {
		return found
	}
	return lovagestand.UnknownAnswer(c.request.Key, "it may have run through another instance; "+answer.Reason)
}

// isLateCopy reports whether the caller who sent the request had hung up before
// it was taken. They may have been told elsewhere what became of it, so it is
// not begun. Only where it matters or is likely is the connection given the
// time to show that it was closed.
func (e *Entry) isLateCopy(ctx context.Context, c *call) bool {
	switch {
	case e.deps.Unsteady():
		pause.For(ctx, unsteadyGrace)
	case c.route.NeedsClaim():
		pause.For(ctx, hangUpGrace)
	}
	return c.abandoned.Load()
}

// withdrawAll takes a request back from all who may hold it; false if one of
// them may still run it.
func (e *Entry) withdrawAll(ctx context.Context, c *call) bool {
	for _, s := range c.holders() {
		if !e.withdraw(ctx, c, s) {
			return false
		}
	}
	return true
}

// pursueFree runs a request that may run twice: it is offered to one shard
// after another.
func (e *Entry) pursueFree(ctx context.Context, c *call) lovagestand.Answer {
	c.task = freeTask(c.request.Key)
	var tried []lovagestand.ShardName
	bounced := false
	for {
		target, err := e.choose(ctx, c, tried, bounced)
		if err != nil {
			return refusal(c, err)
		}
		result := e.offer(ctx, c, target.Shard)
		switch result.kind {
		case offerFinal:
			return result.answer
		case offerBounced:
			bounced = true
			tried = append(tried, target.Shard)
			if len(tried) >= maxHops {
				return lovagestand.NotRunAnswer(c.request.Key, result.reason, result.retryAfter)
			}
		case offerMoved:
			tried = append(tried[:0], target.Shard)
		}
	}
}

// freeTask names a try at a request that takes no claim. Every try has a name
// of its own, so that a late message of one cannot revive another.
func freeTask(key lovagestand.RequestKey) lovagestand.TaskID {
	return lovagestand.TaskID(string(key) + "@" + uuid.NewString()[:8])
}

// pursueClaimed runs a request that may start at most once, or in one place
// only: it is claimed for one shard and stays with it.
func (e *Entry) pursueClaimed(ctx context.Context, c *call) lovagestand.Answer {
	target, err := e.choose(ctx, c, nil, false)
	if err != nil {
		return refusal(c, err)
	}
	granted, err := e.deps.Claims.Claim(ctx, ClaimRequest{
		Request:     c.request,
		Fingerprint: c.fingerprint,
		Shard:       target.Shard,
		Idempotent:  c.route.Idempotent,
		Submitted:   c.submitted,
	})
	if err != nil {
		c.vouched = true
		return refusal(c, err)
	}
	if granted.Settled != nil {
		return e.settled(ctx, c, *granted.Settled)
	}
	c.request = c.request.WithStartBy(granted.StartBy)
	c.submitted = granted.Created
	c.task = granted.Task
	c.granted = &granted
	if !granted.Fresh {
		c.markHeld(granted.Shard)
	}
	result := e.offer(ctx, c, granted.Shard)
	if result.kind != offerFinal {
		return lovagestand.NotRunAnswer(c.request.Key, result.reason, result.retryAfter)
	}
	return result.answer
}

// settled returns the whole answer of a request that has ended before: from
// the owner that still holds it if there is one.
func (e *Entry) settled(ctx context.Context, c *call, known lovagestand.Answer) lovagestand.Answer {
	if found, ok := e.findElsewhere(ctx, c.request.Key, 0); ok && found.Outcome.Final() {
		return found
	}
	if known.Outcome == lovagestand.OutcomeDone {
		known.Outcome = lovagestand.OutcomeUnknown
		known.Reason = "it ran to its end, and its answer is no longer kept"
	}
	return known
}

// choose asks for a shard until there is one or the time to start has passed.
// Once a shard has refused the request, having none left to try is final.
func (e *Entry) choose(ctx context.Context, c *call, tried []lovagestand.ShardName, bounced bool) (Target, error) {
	for {
		target, err := e.deps.Chooser.Choose(c.attempt(), len(c.request.Body), tried)
		var none *NoTargetError
		if err == nil || !errors.As(err, &none) {
			return target, err
		}
		if c.isCancelled() || time.Now().After(c.request.StartBy) || bounced {
			return target, err
		}
		tried = nil
		if !pause.For(ctx, retryPause) {
			return target, ctx.Err()
		}
	}
}

// refusal returns the answer for a request that no shard would take. Coming
// back is of use unless no worker can ever hold it.
func refusal(c *call, err error) lovagestand.Answer {
	var doubt *UnknownOutcomeError
	if errors.As(err, &doubt) {
		return lovagestand.UnknownAnswer(c.request.Key, err.Error())
	}
	retryAfter := defaultRetryAfter
	var unfit *lovagestand.InfeasibleError
	var mismatch *KeyMismatchError
	var none *NoTargetError
	switch {
	case errors.As(err, &unfit), errors.As(err, &mismatch):
		retryAfter = 0
	case errors.As(err, &none) && none.RetryAfter > 0:
		retryAfter = none.RetryAfter
	}
	return lovagestand.NotRunAnswer(c.request.Key, err.Error(), retryAfter)
}
