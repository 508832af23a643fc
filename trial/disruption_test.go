package trial

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/trial/caller"
)

func TestDisruptionOutlastsTheLatestCall(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	var d disruption
	c.Assert(d.mayBreakCalls(start), qt.IsFalse)
	d = d.withFaults(1, start).withFaults(1, start)
	c.Assert(d.mayBreakCalls(start.Add(time.Hour)), qt.IsTrue)
	d = d.withFaults(-1, start)
	c.Assert(d.mayBreakCalls(start.Add(time.Hour)), qt.IsTrue)
	d = d.withFaults(-1, start)
	c.Assert(d.mayBreakCalls(start.Add(caller.CallTimeout-1)), qt.IsTrue)
	c.Assert(d.mayBreakCalls(start.Add(caller.CallTimeout)), qt.IsFalse)
}
