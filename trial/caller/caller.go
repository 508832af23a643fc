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
	// giveUpAfter is how long after the latest end of a request its caller
	// still asks for the answer.
	giveUpAfter = 45 * time.Second
	// initialBackoff and maxPause bound the pause before a key is sent again.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Target is an instance as the balancer gives it to a caller.
type Target struct {
	Name    string
	Address string
}

// Balancer gives callers an instance to call.
type Balancer interface {
	// Pick returns an instance, another than the last one if there is any;
	// false if there is none.
	Pick(region lovagestand.RegionName, last string) (Target, bool)
}

// Observer is told what callers do and see.
type Observer interface {
	// Submitted tells of a request that is about to be sent for the first time.
	Submitted(at time.Time, request Request)
	// Resubmitted tells of a key that is sent again.
	Resubmitted(request Request)
	// Answered tells of a final answer.
	Answered(at time.Time, request Request, answer lovagestand.Answer)
	// CallBroken tells of a call to an instance that brought no whole, typed answer
	// although the instance was reached.
	CallBroken(at time.Time, request Request, target Target, reason string)
}

// Caller sends requests from one region.
type Caller struct {
	region   lovagestand.RegionName
	client   client
	balancer Balancer
	observer Observer
}

// New returns a caller in a region that reaches instances by a transport.
func New(region lovagestand.RegionName, transport http.RoundTripper, balancer Balancer, observer Observer) *Caller {
	return &Caller{region: region, client: client{http: &http.Client{Transport: transport}}, balancer: balancer, observer: observer}
}

// Run sends a request and asks until it has the final answer or gives up.
func (c *Caller) Run(ctx context.Context, request Request) {
	c.observer.Submitted(time.Now(), request)
	c.awaitAnswer(ctx, request)
}

// RunDuplicate sends a request again that Run sends too, as if its caller had
// pressed the button twice.
func (c *Caller) RunDuplicate(ctx context.Context, request Request) {
	c.observer.Resubmitted(request)
	c.awaitAnswer(ctx, request)
}

// Cancel asks some instance to give a request up.
func (c *Caller) Cancel(ctx context.Context, request Request) {
	if target, found := c.balancer.Pick(c.region, ""); found {
		_ = c.client.cancel(ctx, target.Address, request.Key)
	}
}

// requestState is how far a caller is with one request.
type requestState struct {
	request Request
	target  Target
	// submissions counts the submissions, submitted says that one was taken by the
	// target, which can be asked by the key alone.
	submissions int
	accepted    bool
	// maybeAccepted says that some instance may have taken the request.
	maybeAccepted bool
	backoff       time.Duration
}

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

// call makes one call: a submission until one was taken, then a question.
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

// checkCall reports a call that broke off and makes the caller go elsewhere.
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

// handleReply acts on a whole answer; true if it is the final one.
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
		// Of a request that may have been taken this is a claim to be judged.
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
