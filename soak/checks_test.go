package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/standin/runner"
	"lovagestand.example/lovagestand/standin/site"
)

// TestCheck checks one run per case. The run begins at an offset from the
// cancellation of its job, which was a minute ago, and ends half a second after
// its beginning unless the case sets another end.
func TestCheck(t *testing.T) {
	const node, worker = "node-0", "i-0000"
	at := time.Now().Add(-time.Minute)
	cancelled := jobRecord{accepted: at, cancelled: at, acknowledged: at}
	for name, test := range map[string]struct {
		known jobRecord
		begun time.Duration
		run   runner.Run
		// disturbed is the target that is disturbed from one second before the
		// run until the run begins.
		disturbed          string
		violation, excused string
	}{
		"within the bound":       {known: cancelled, begun: maxStartAfterCancel},
		"after the bound":        {known: cancelled, begun: maxStartAfterCancel + 1, violation: "UNASKED: .* by node-0, cancelled at .*"},
		"starter disturbed":      {known: cancelled, begun: maxStartAfterCancel + 1, disturbed: node, excused: "UNASKED: .*"},
		"order held back":        {known: cancelled, begun: maxStartAfterCancel + 1, disturbed: worker, excused: "UNASKED: .*"},
		"order carried out late": {known: cancelled, begun: maxStartAfterCancel + 1, run: runner.Run{Late: true}, excused: "UNASKED: .*"},
		"other node disturbed":   {known: cancelled, begun: maxStartAfterCancel + 1, disturbed: "node-1", violation: "UNASKED: .*"},
		"runs on":                {known: cancelled, run: runner.Run{Ended: at.Add(time.Hour)}, violation: "UNASKED: .* runs on at .*"},
		"runs on near a disturbance": {
			known: cancelled, run: runner.Run{Ended: at.Add(maxRunAfterCancel + time.Second)}, disturbed: "node-1",
		},
		"rejected":           {known: jobRecord{rejected: true}, violation: "REFUSED: .*"},
		"shown as completed": {known: jobRecord{accepted: at, completed: at}, begun: 2 * time.Second, violation: "TWICE: .*"},
		"not cancelled":      {known: jobRecord{accepted: at}, begun: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cell := &Cell{Site: &site.Site{Fleet: runner.New(nil, nil)}, owners: map[lovagestand.Epoch]string{7: node}}
			r := test.run
			r.Worker, r.Epoch, r.Begun = worker, 7, at.Add(test.begun)
			if r.Ended.IsZero() {
				r.Ended = r.Begun.Add(time.Second / 2)
			}
			if test.disturbed != "" {
				cell.disturbances = []disturbance{{target: test.disturbed, from: r.Begun.Add(-time.Second), to: r.Begun}}
			}
			callers := NewCallers(cell)
			callers.checkRun(&test.known, r)
			assertFound(c, callers.violations, test.violation)
			assertFound(c, callers.excused, test.excused)
		})
	}
}

// assertFound asserts that exactly one text was found and matches the pattern, or
// that none was found if the pattern is empty.
func assertFound(c *qt.C, found []string, pattern string) {
	c.Helper()
	if pattern == "" {
		c.Assert(found, qt.HasLen, 0)
		return
	}
	c.Assert(found, qt.HasLen, 1)
	c.Assert(found[0], qt.Matches, pattern)
}
