package trial

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/trial/caller"
)

func TestHoldLastsAsLongAsTheLatestCall(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	var h hold
	c.Assert(h.holds(start), qt.IsFalse)
	h = h.with(1, start).with(1, start)
	c.Assert(h.holds(start.Add(time.Hour)), qt.IsTrue)
	h = h.with(-1, start)
	c.Assert(h.holds(start.Add(time.Hour)), qt.IsTrue)
	h = h.with(-1, start)
	c.Assert(h.holds(start.Add(caller.CallTimeout-1)), qt.IsTrue)
	c.Assert(h.holds(start.Add(caller.CallTimeout)), qt.IsFalse)
}
