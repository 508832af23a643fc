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
	// urgentWindow is how long one call to an owner waits for an urgent
	// request, patientWindow for others.
	urgentWindow  = 700 * time.Millisecond
	defaultWindow = 10 * time.Second
	// callSlack is how much longer than its window a call may take.
	callSlack = 500 * time.Millisecond
	// unknownAfter is how long after the time to start an owner out of reach
	// is waited for before the outcome is called unknown.
	unknownAfter = 30 * time.Second
	// moveAfter is how long an owner may be out of reach before work that may
	// run twice is offered to another.
	moveAfter = 300 * time.Millisecond
)

// offerKind says how an offer to a shard ended.
type offerKind int

const (
	// offerFinal has the final answer.
	offerFinal offerKind = iota
	// offerRefused was refused; nothing was queued.
	offerRefused
	// offerUnreachable gave up an owner out of reach; it may hold the request.
	offerUnreachable
)

// offerResult is the end of an offer to a shard.
type offerResult struct {
	kind       offerKind
	answer     lovagestand.Answer
	reason     string
	retryAfter time.Duration
}

// offer asks the owners of one shard, one after the other if they change, to
// run a task, until there is a final answer or the shard refuses it.
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

// giveUp decides whether an owner out of reach is waited for any longer.
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

// place makes one call to the owner of a shard. contacted is false if the owner
// did not answer or is not known.
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

// forwardCancel tells an owner that is being asked of a cancellation, again until
// it holds the request or ctx ends.
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

func windowOf(c *call) time.Duration {
	if c.route.Class == lovagestand.ClassUrgent {
		return urgentWindow
	}
	return defaultWindow
}
