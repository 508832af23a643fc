package soak

import (
	"fmt"
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

// TestStanding checks a job of a gang of 8 and a task after it. Its next step has room twice
// over, and nothing has run, unless the case says otherwise.
func TestStanding(t *testing.T) {
	const id = "00000000000000aa"
	calmFrom := time.Now()
	steps := []step{{count: 8, milliCPU: 1950, gang: true}, {count: 1, milliCPU: 1950}}
	enough := room{free: []int64{4000, 4000, 4000, 4000, 4000, 4000, 4000, 4000}, used: 10, capacity: 32000}
	run := func(step, index int, ending lovagestand.RunEnding) runner.Run {
		r := runner.Run{Task: fmt.Sprintf("%s.0.%d.%d", id, step, index), Ending: ending}
		if ending != "" {
			r.Ended = calmFrom
		}
		return r
	}
	lost := run(0, 0, lovagestand.EndingDone)
	lost.WorkerCrashed = true
	lastLost := run(1, 0, lovagestand.EndingDone)
	lastLost.WorkerCrashed = true
	for name, test := range map[string]struct {
		accepted time.Duration
		runs     []runner.Run
		room     func(r room) room
		// runAt is when a member of the gang runs for a moment, stallAt when a check is late.
		runAt, stallAt time.Duration
		// foundAfter is 0 if the job is not found.
		foundAfter time.Duration
	}{
		"nothing has run":             {foundAfter: finishTime + maxStand},
		"accepted later":              {accepted: 5 * time.Second, foundAfter: 5*time.Second + finishTime + maxStand},
		"a member runs":               {runs: []runner.Run{run(0, 3, "")}},
		"the gang was broken":         {runs: []runner.Run{run(0, 3, lovagestand.EndingBroken)}, foundAfter: finishTime + maxStand},
		"a run just before the bound": {runAt: finishTime + 2*time.Second, foundAfter: finishTime + 2*time.Second + standInterval + maxStand},
		"a stall before the bound":    {stallAt: finishTime + 2*time.Second, foundAfter: finishTime + 2*time.Second + maxStand},
		"half is in use":              {room: func(r room) room { r.used = r.capacity / 2; return r }},
		"room for one and a half":     {room: func(r room) room { r.free = r.free[:6]; return r }},
		"room for one task a worker": {room: func(r room) room {
			return room{free: []int64{3800, 3800, 3800, 3800, 3800, 3800, 3800, 3800}, capacity: r.capacity}
		}},
		"the gang is done":      {runs: []runner.Run{run(0, 0, lovagestand.EndingDone)}, room: func(r room) room { r.free = r.free[:1]; return r }, foundAfter: finishTime + maxStand},
		"its end was lost":      {runs: []runner.Run{lost}, room: func(r room) room { r.free = r.free[:1]; return r }},
		"its last end was lost": {runs: []runner.Run{run(0, 0, lovagestand.EndingDone), lastLost}},
		"all is done":           {runs: []runner.Run{run(0, 0, lovagestand.EndingDone), run(1, 0, lovagestand.EndingDone)}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, r, found := newStanding(calmFrom), enough, time.Duration(0)
			if test.room != nil {
				r = test.room(r)
			}
			for at := test.accepted; at < 2*(finishTime+maxStand); at += standInterval {
				runs := test.runs
				if at > 0 && at == test.runAt {
					runs = []runner.Run{run(0, 0, "")}
				}
				if at > 0 && at == test.stallAt {
					s.stall(stallTime)
				}
				if _, late := s.observe(id, jobRecord{accepted: calmFrom.Add(test.accepted), steps: steps}, runs, r, calmFrom.Add(at)); late {
					c.Assert(found, qt.Equals, time.Duration(0), qt.Commentf("reported once"))
					found = at
				}
			}
			c.Assert(found, qt.Equals, test.foundAfter)
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
