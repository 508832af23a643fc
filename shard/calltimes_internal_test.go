package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// callTaking returns a call of a stated duration as the shard would make it now.
func callTaking(c *callTimes, stated time.Duration) adviceCall {
	return adviceCall{begin: time.Now(), stated: stated, expected: c.expected(stated)}
}

// TestCallTimes guards against calls that time out again and again, and against timeouts that
// stay long, so that a lost call is noticed late.
func TestCallTimes(t *testing.T) {
	const short, long = 100 * time.Millisecond, time.Second
	c := qt.New(t)
	timedOut := func(n int) *callTimes {
		times := &callTimes{}
		for range n {
			times.recordTimeout(callTaking(times, long))
		}
		return times
	}
	c.Run("calls are expected to take as long as stated", func(c *qt.C) {
		times := &callTimes{}
		call := callTaking(times, long)
		times.recordAnswer(call, call.begin.Add(3*long))
		c.Assert(times.expected(long), qt.Equals, long)
	})
	c.Run("a timeout makes the next call longer", func(c *qt.C) {
		c.Assert(timedOut(1).expected(long), qt.Equals, 1500*time.Millisecond)
	})
	c.Run("but not shorter calls", func(c *qt.C) {
		c.Assert(timedOut(1).expected(short), qt.Equals, short)
	})
	c.Run("calls at the same time count once", func(c *qt.C) {
		times := &callTimes{}
		call := callTaking(times, long)
		times.recordTimeout(call)
		times.recordTimeout(call)
		c.Assert(times.expected(long), qt.Equals, 1500*time.Millisecond)
	})
	c.Run("the growth is bounded", func(c *qt.C) {
		c.Assert(timedOut(20).expected(long), qt.Equals, 4*time.Second)
	})
	c.Run("answers in the stated time end it", func(c *qt.C) {
		times := timedOut(20)
		for range 7 {
			call := callTaking(times, long)
			times.recordAnswer(call, call.begin.Add(long))
		}
		c.Assert(times.expected(long), qt.Equals, long)
	})
	c.Run("answers that take longer do not", func(c *qt.C) {
		times := timedOut(3)
		for range 20 {
			call := callTaking(times, long)
			times.recordAnswer(call, call.begin.Add(2*long))
		}
		c.Assert(times.expected(long) > 1900*time.Millisecond, qt.IsTrue)
	})
	c.Run("answers of shorter calls do not", func(c *qt.C) {
		times := timedOut(1)
		for range 20 {
			call := callTaking(times, short)
			times.recordAnswer(call, call.begin.Add(short))
		}
		c.Assert(times.expected(long), qt.Equals, 1500*time.Millisecond)
	})
}
