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
	// firstPause and maxPause bound the pause before a key is sent again.
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
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
	Submitted(at time.Time, w Request)
	// Resubmitted tells of a key that is sent again.
	Resubmitted(w Request)
	// Answered tells of a final answer.
	Answered(at time.Time, w Request, answer lovagestand.Answer)
	// CallBroken tells of a call to an instance that brought no whole, typed answer
	// although the instance was reached.
	CallBroken(at time.Time, w Request, t Target, reason string)
}

// Caller sends requests from one region.
type Caller struct {
	region   lovagestand.RegionName
	client   client
	balancer Balancer
	log      Observer
}

// New returns a caller in a region that reaches instances by a transport.
func New(region lovagestand.RegionName, transport http.RoundTripper, balancer Balancer, log Observer) *Caller {
	return &Caller{region: region, client: client{http: &http.Client{Transport: transport}}, balancer: balancer, log: log}
}

// Run sends a request and asks until it has the final answer or gives up.
func (c *Caller) Run(ctx context.Context, w Request) {
	c.log.Submitted(time.Now(), w)
	c.pursue(ctx, w)
}

// RunDuplicate sends a request again that Run sends too, as if its caller had
// pressed the button twice.
func (c *Caller) RunDuplicate(ctx context.Context, w Request) {
	c.log.Resubmitted(w)
	c.pursue(ctx, w)
}

// Cancel asks some instance to give a request up.
func (c *Caller) Cancel(ctx context.Context, w Request) {
	if t, found := c.balancer.Pick(c.region, ""); found {
		_ = c.client.cancel(ctx, t.Address, w.Key)
	}
}

// pursuit is how far a caller is with one request.
type pursuit struct {
	work   Request
	target Target
	// sent counts the submissions, submitted says that one was taken by the
	// target, which can be asked by the key alone.
	sent      int
	submitted bool
	// maybe says that some instance may have taken the request.
	maybe bool
	pause time.Duration
}

func (c *Caller) pursue(ctx context.Context, w Request) {
	ctx, cancel := context.WithTimeout(ctx, w.StartWithin+w.RunFor+giveUpAfter)
	defer cancel()
	p := &pursuit{work: w, pause: firstPause}
	for ctx.Err() == nil && (p.submitted || !w.refused()) {
		r, err := c.try(ctx, p)
		if ctx.Err() != nil {
			return
		}
		if err == nil && c.take(p, r) {
			return
		}
	}
}

// try makes one call: a submission until one was taken, then a question.
func (c *Caller) try(ctx context.Context, p *pursuit) (reply, error) {
	if p.submitted {
		r, err := c.client.get(ctx, p.target.Address, p.work.Key)
		c.judge(ctx, p, r, err)
		return r, err
	}
	if p.sent > 0 {
		pause.For(ctx, p.pause)
		p.pause = min(2*p.pause, maxPause)
	}
	target, found := c.balancer.Pick(c.region, p.target.Name)
	if !found {
		pause.For(ctx, maxPause)
		return reply{kind: replyElsewhere}, nil
	}
	p.target = target
	if p.sent > 0 {
		c.log.Resubmitted(p.work)
	}
	p.sent++
	r, err := c.client.post(ctx, target.Address, p.work)
	c.judge(ctx, p, r, err)
	return r, err
}

// judge reports a call that broke off and makes the caller go elsewhere.
func (c *Caller) judge(ctx context.Context, p *pursuit, r reply, err error) {
	switch {
	case err != nil:
		p.submitted = false
		if !unreached(err) && ctx.Err() == nil {
			p.maybe = true
			c.log.CallBroken(time.Now(), p.work, p.target, err.Error())
		}
	case r.kind == replyUntyped:
		p.submitted = false
		p.maybe = true
		c.log.CallBroken(time.Now(), p.work, p.target, fmt.Sprintf("status %d without a typed answer", r.status))
	}
}

// take acts on a whole answer; true if it is the final one.
func (c *Caller) take(p *pursuit, r reply) bool {
	switch r.kind {
	case replyFinal:
		p.work.heard(r.answer.Outcome)
		c.log.Answered(time.Now(), p.work, r.answer)
		return true
	case replyWaiting:
		p.submitted = true
		p.maybe = true
	case replyElsewhere:
		// Of a request that may have been taken this is a claim to be judged.
		if p.maybe && r.answer.Outcome == lovagestand.OutcomeNotRun {
			p.work.heard(r.answer.Outcome)
			c.log.Answered(time.Now(), p.work, r.answer)
			return true
		}
		p.submitted = false
	case replyMissing, replyUntyped:
		p.submitted = false
	}
	return false
}
