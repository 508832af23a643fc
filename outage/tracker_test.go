package outage_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/outage"
)

// TestTracker guards against single lost replies that count as an outage, and against an
// outage that is forgotten before its aftermath is over.
func TestTracker(t *testing.T) {
	c := qt.New(t)
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	var tracker outage.Tracker
	c.Assert(tracker.Recent(at(0)), qt.IsFalse)
	tracker.RecordServed(at(0))
	tracker.RecordFailure(at(10))
	c.Assert(tracker.RecordServed(at(150)), qt.Equals, time.Duration(0))
	tracker.RecordFailure(at(20))
	c.Assert(tracker.Failing(), qt.IsFalse, qt.Commentf("a call sent later has been served"))
	tracker.RecordFailure(at(1000))
	tracker.RecordFailure(at(1500))
	c.Assert(tracker.Recent(at(1300)), qt.IsTrue)
	c.Assert(tracker.EndedRecently(at(1300)), qt.IsFalse)
	c.Assert(tracker.RecordServed(at(5200)), qt.Equals, 4200*time.Millisecond)
	c.Assert(tracker.EndedRecently(at(7199)), qt.IsTrue)
	c.Assert(tracker.Recent(at(7201)), qt.IsFalse)
}

func TestServed(t *testing.T) {
	for _, test := range []struct {
		err    error
		served bool
	}{
		{nil, true},
		{&lovagestand.ConditionError{}, true},
		{&lovagestand.RejectedError{Status: 400}, true},
		{&lovagestand.RejectedError{Status: 429}, false},
		{&lovagestand.RejectedError{Status: 503}, false},
		{&lovagestand.UnavailableError{}, false},
	} {
		qt.Assert(t, outage.Served(test.err), qt.Equals, test.served, qt.Commentf("%v", test.err))
	}
}
