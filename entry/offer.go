package entry

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/metrics"
	"lovagestand.example/lovagestand/placer"
	"lovagestand.example/lovagestand/placer/placerpb"
)

const (
	// urgentWindow is how long one call to an owner waits for the answer of an
	// urgent request, and defaultWindow how long for that of any other.
	urgentWindow  = 700 * time.Millisecond
	defaultWindow = 10 * time.Second
	// callSlack is how much longer than its window a call may take.
	callSlack = 500 * time.Millisecond
	// unknownAfter is how long an unreachable owner is awaited, counted from the
	// start deadline or from its last reply if that is later. After that the
	// outcome is [lovagestand.OutcomeUnknown].
	unknownAfter = 30 * time.Second
	// moveAfter is how long an owner may be unreachable before a request that
	// needs no claim is offered to another one.
	moveAfter = 300 * time.Millisecond
)

// offerKind is the way in which an offer to a shard ended.
type offerKind int

const (
	// offerFinal means that there is a final answer.
	offerFinal offerKind = iota
	// offerRefused means that the owner refused the task and queued nothing.
	offerRefused
	// offerUnreachable means that the owner could not be reached for moveAfter.
	// It may hold the request.
	offerUnreachable
)

// offerResult is the result of an offer to a shard.
type offerResult struct {
	kind       offerKind
	answer     lovagestand.Answer
	reason     string
	retryAfter time.Duration
}

// offer asks the owner of a shard to run a task until there is a final answer, the
// owner refuses the task or is given up as unreachable. It follows the shard to a
// new owner.
func (e *Entry) offer(ctx context.Context, c *call, shard lovagestand.ShardName) offerResult {
	lastContact := time.Now()
	for {
		if c.isCancelled() && !c.mayBeHeldBy(shard) {
			return offerResult{kind: offerFinal, answer: lovagestand.NotRunAnswer(c.request.Key, cancelledReason, 0)}
		}
		reply, contacted := e.place(ctx, c, shard)
		now := time.Now()
		if contacted {
			lastContact = now
		}
		switch reply.GetStatus() {
		case placerpb.Status_STATUS_FINAL:
			return offerResult{kind: offerFinal, answer: placer.AnswerOf(reply.GetAnswer())}
		case placerpb.Status_STATUS_FULL, placerpb.Status_STATUS_UNFIT:
			return offerResult{kind: offerRefused, reason: reply.GetReason(), retryAfter: time.Duration(reply.GetRetryAfter())}
		}
		if contacted && reply.GetStatus() == placerpb.Status_STATUS_WAITING && ctx.Err() == nil {
			pause.For(ctx, retryPause)
			continue
		}
		if result, ok := e.giveUp(c, shard, now, lastContact); ok {
			return result
		}
		if !pause.For(ctx, retryPause) {
			return offerResult{kind: offerFinal, answer: lovagestand.UnknownAnswer(c.request.Key, "the instance stopped")}
		}
	}
}

// giveUp returns the result of an offer whose owner has been unreachable for too
// long, and false while the offer is to continue.
func (e *Entry) giveUp(c *call, shard lovagestand.ShardName, now, lastContact time.Time) (offerResult, bool) {
	mayMove := !c.route.NeedsClaim() && !c.isCancelled()
	if mayMove && now.Sub(lastContact) > moveAfter && now.Before(c.request.StartBy) {
		return offerResult{kind: offerUnreachable}, true
	}
	if !c.mayBeHeldBy(shard) && (c.isCancelled() || now.After(c.request.StartBy)) {
		reason := "no instance could place it in time"
		if c.isCancelled() {
			reason = cancelledReason
		}
		return offerResult{kind: offerFinal, answer: lovagestand.NotRunAnswer(c.request.Key, reason, time.Second)}, true
	}
	waitedSince := c.request.StartBy
	if lastContact.After(waitedSince) {
		waitedSince = lastContact
	}
	if now.After(waitedSince.Add(unknownAfter)) {
		return offerResult{kind: offerFinal, answer: lovagestand.UnknownAnswer(c.request.Key, "its owner is out of reach")}, true
	}
	return offerResult{}, false
}

// place makes one call to the owner of a shard. contacted is false if no owner is
// known, if the call failed or if the called instance no longer owns the shard.
func (e *Entry) place(ctx context.Context, c *call, shard lovagestand.ShardName) (reply *placerpb.PlaceReply, contacted bool) {
	owner, ok := e.deps.Ownership.Owner(shard)
	if !ok {
		return nil, false
	}
	window := windowOf(c)
	callCtx, cancel := context.WithTimeout(metrics.WithRoute(ctx, c.route.Name), window+callSlack)
	defer cancel()
	go e.forwardCancel(callCtx, c, owner)
	reply, err := e.clients.forAddress(owner.Address).Place(callCtx, &placerpb.PlaceRequest{
		Shard:        string(shard),
		Task:         placer.TaskMessage(c.attempt()),
		Body:         c.request.Body,
		Resubmitted:  c.mayBeHeldBy(shard),
		WindowMillis: window.Milliseconds(),
		DeliverBy:    time.Now().Add(window + callSlack).UnixNano(),
	})
	if err != nil {
		if !neverSent(err) {
			c.markMayHold(shard)
		}
		return nil, false
	}
	switch reply.GetStatus() {
	case placerpb.Status_STATUS_WAITING:
		c.markMayHold(shard)
	case placerpb.Status_STATUS_FINAL, placerpb.Status_STATUS_FULL, placerpb.Status_STATUS_UNFIT:
		if !reply.GetDoubt() {
			c.clearMayHold(shard)
		}
	default:
		if reply.GetDoubt() {
			c.markMayHold(shard)
		}
		return reply, false
	}
	return reply, true
}

// forwardCancel waits until the call is cancelled and then cancels the request at
// an owner to which it is being sent. It repeats that until the owner holds the
// request or ctx ends.
func (e *Entry) forwardCancel(ctx context.Context, c *call, owner lovagestand.Instance) {
	select {
	case <-ctx.Done():
		return
	case <-c.cancelled:
	}
	for {
		reply, err := e.clients.forAddress(owner.Address).Cancel(ctx, &placerpb.CancelRequest{Key: string(c.request.Key)})
		if err == nil && reply.GetFound() || !pause.For(ctx, retryPause) {
			return
		}
	}
}

// windowOf returns how long one call to an owner waits for the answer.
func windowOf(c *call) time.Duration {
	if c.route.Class == lovagestand.ClassUrgent {
		return urgentWindow
	}
	return defaultWindow
}
