package shard

import "time"

const (
	// callGrowth is by how much longer than before a call is expected to take after one of
	// its duration has timed out, up to maxCallSlowness times what the policy states, so that
	// the loss of a call is noticed.
	callGrowth      = 1.5
	maxCallSlowness = 4
	// callWeight is the weight of the newest answer in the slowness of calls, which is
	// dropped below minCallSlowness.
	callWeight      = 0.5
	minCallSlowness = 1.05
)

// callTimes is how much longer calls for advice on a route take than its policy states. It
// answers the load of a policy service that is slower than stated: without it, each long call
// that times out is followed by an equal one.
type callTimes struct {
	// slowness is the factor for calls whose stated duration is at least slowFrom, the
	// shortest of the calls that have timed out; 0 if none has.
	slowness float64
	slowFrom time.Duration
}

// expected returns how long a call of a stated duration is expected to take.
func (c *callTimes) expected(stated time.Duration) time.Duration {
	if c.slowness == 0 || stated < c.slowFrom {
		return stated
	}
	return time.Duration(c.slowness * float64(stated))
}

// recordTimeout records a call that has timed out. Several calls that were expected to take
// equally long count once.
func (c *callTimes) recordTimeout(call adviceCall) {
	if c.slowness == 0 || call.stated < c.slowFrom {
		c.slowFrom = call.stated
	}
	grown := callGrowth * float64(call.expected) / float64(call.stated)
	c.slowness = max(c.slowness, min(grown, maxCallSlowness))
}

// recordAnswer records a call that has been answered at a time.
func (c *callTimes) recordAnswer(call adviceCall, now time.Time) {
	if c.slowness == 0 || call.stated < c.slowFrom {
		return
	}
	took := now.Sub(call.begin) - remoteCallDelay
	slowness := max(1, float64(took)/float64(call.stated))
	c.slowness += callWeight * min(0, slowness-c.slowness)
	if c.slowness < minCallSlowness {
		*c = callTimes{}
	}
}
