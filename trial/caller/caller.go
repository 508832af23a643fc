package caller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
)

const (
	// giveUpAfter is how long a caller waits for the answer beyond the start
	// deadline and the run time of the request.
	giveUpAfter = 45 * time.Second
	// initialBackoff and maxBackoff bound the pause before a key is sent again.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Target is an instance chosen by the balancer.
type Target struct {
	Name    string
	Address string
}

// Balancer chooses the instances that callers call.
type Balancer interface {
	// Pick returns an instance other than the last one, preferably in the given
	// region; false if there is none.
	Pick(region lovagestand.RegionName, last string) (Target, bool)
}

// Observer observes the calls of callers.
type Observer interface {
	// Submitted is called before a request is sent for the first time.
	Submitted(at time.Time, request Request)
	// Resubmitted is called before a key is sent again.
	Resubmitted(request Request)
	// Answered is called for each final answer.
	Answered(at time.Time, request Request, answer lovagestand.Answer)
	// CallBroken is called for each call that reached an instance but returned no
	// complete, typed answer.
	CallBroken(at time.Time, request Request, target Target, reason string)
}

// Caller sends requests from one region.
type Caller struct {
	region   lovagestand.RegionName
	client   client
	balancer Balancer
	observer Observer
}

// New returns a caller in a region that calls instances through a transport.
func New(region lovagestand.RegionName, transport http.RoundTripper, balancer Balancer, observer Observer) *Caller {
	return &Caller{region: region, client: client{http: &http.Client{Transport: transport}}, balancer: balancer, observer: observer}
}

// Run sends a request and calls instances until it has the final answer or gives
// up.
func (c *Caller) Run(ctx context.Context, request Request) {
	c.observer.Submitted(time.Now(), request)
	c.awaitAnswer(ctx, request)
}

// RunDuplicate sends a request that Run sends as well, like a user who submits a
// form twice.
func (c *Caller) RunDuplicate(ctx context.Context, request Request) {
	c.observer.Resubmitted(request)
	c.awaitAnswer(ctx, request)
}

// Cancel asks one instance to cancel a request.
func (c *Caller) Cancel(ctx context.Context, request Request) {
	if target, found := c.balancer.Pick(c.region, ""); found {
		_ = c.client.cancel(ctx, target.Address, request.Key)
	}
}

// requestState is a caller's progress with one request.
type requestState struct {
	request     Request
	target      Target
	submissions int
	// accepted is set while the target has accepted the request, so that it can be
	// queried by the key alone.
	accepted bool
	// maybeAccepted is set once any instance may have accepted the request.
	maybeAccepted bool
	backoff       time.Duration
}

// awaitAnswer calls instances until one returns the final answer or the caller
// gives up. If another caller with the same key has been answered that the request
// did not run, it also stops, unless the current instance has accepted the request.
func (c *Caller) awaitAnswer(ctx context.Context, request Request) {
	ctx, cancel := context.WithTimeout(ctx, request.StartWithin+request.RunFor+giveUpAfter)
	defer cancel()
	state := &requestState{request: request, backoff: initialBackoff}
	for ctx.Err() == nil && (state.accepted || !request.refused()) {
		response, err := c.call(ctx, state)
		if ctx.Err() != nil {
			return
		}
		if err == nil && c.handleReply(state, response) {
			return
		}
	}
}

// call makes one call: it submits the request until an instance has accepted it,
// and then queries that instance.
func (c *Caller) call(ctx context.Context, state *requestState) (reply, error) {
	if state.accepted {
		r, err := c.client.get(ctx, state.target.Address, state.request.Key)
		c.checkCall(ctx, state, r, err)
		return r, err
	}
	if state.submissions > 0 {
		pause.For(ctx, state.backoff)
		state.backoff = min(2*state.backoff, maxBackoff)
	}
	target, found := c.balancer.Pick(c.region, state.target.Name)
	if !found {
		pause.For(ctx, maxBackoff)
		return reply{kind: replyNotReady}, nil
	}
	state.target = target
	if state.submissions > 0 {
		c.observer.Resubmitted(state.request)
	}
	state.submissions++
	r, err := c.client.post(ctx, target.Address, state.request)
	c.checkCall(ctx, state, r, err)
	return r, err
}

// checkCall reports a broken call to the observer and makes the caller submit the
// request again.
func (c *Caller) checkCall(ctx context.Context, state *requestState, response reply, err error) {
	switch {
	case err != nil:
		state.accepted = false
		if !dialFailed(err) && ctx.Err() == nil {
			state.maybeAccepted = true
			c.observer.CallBroken(time.Now(), state.request, state.target, err.Error())
		}
	case response.kind == replyUntyped:
		state.accepted = false
		state.maybeAccepted = true
		c.observer.CallBroken(time.Now(), state.request, state.target, fmt.Sprintf("status %d without a typed answer", response.status))
	}
}

// handleReply handles a complete response and reports whether it is the final
// answer.
func (c *Caller) handleReply(state *requestState, response reply) bool {
	switch response.kind {
	case replyFinal:
		state.request.recordOutcome(response.answer.Outcome)
		c.observer.Answered(time.Now(), state.request, response.answer)
		return true
	case replyWaiting:
		state.accepted = true
		state.maybeAccepted = true
	case replyNotReady:
		// If an instance may have accepted the request, this answer claims that the
		// request did not run, and the observer checks that.
		if state.maybeAccepted && response.answer.Outcome == lovagestand.OutcomeNotRun {
			state.request.recordOutcome(response.answer.Outcome)
			c.observer.Answered(time.Now(), state.request, response.answer)
			return true
		}
		state.accepted = false
	case replyNotFound, replyUntyped:
		state.accepted = false
	}
	return false
}
