package drill

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
)

func TestParseUsage(t *testing.T) {
	c := qt.New(t)
	stat := []byte("7 (a) b) S 1 7 7 0 -1 4194560 9 0 0 0 150 50 0 0 20 0 9 0 99 1000 300\n")
	u, err := parseUsage(stat, []byte("1000 300 20 5 0 60 0\n"), 4096)
	c.Assert(err, qt.IsNil)
	c.Assert(u, qt.Equals, Usage{Processor: 2 * time.Second, ResidentBytes: 300 * 4096})
	_, err = parseUsage([]byte("7 (a) S 1"), []byte("1 2"), 4096)
	c.Assert(err, qt.ErrorMatches, "usage: too few fields")
}

func TestGapsOfAWindow(t *testing.T) {
	c := qt.New(t)
	at := func(millis int) time.Time { return time.Unix(0, 0).Add(time.Duration(millis) * time.Millisecond) }
	var g gaps
	for _, r := range []struct{ millis, starts int }{{0, 1}, {100, 2}, {200, 2}, {500, 2}, {600, 5}, {700, 6}} {
		g.record(at(r.millis), r.starts)
	}
	c.Assert(g.longest(at(0), at(700)), qt.Equals, 500*time.Millisecond)
	c.Assert(g.longest(at(550), at(700)), qt.Equals, 100*time.Millisecond)
	c.Assert(g.longest(at(0), at(5000)), qt.Equals, 4300*time.Millisecond)
}

func TestOnlyStoppingIsAPlannedStop(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct {
		state state
		want  bool
	}{{up, false}, {paused, false}, {killed, false}, {stopping, true}} {
		c.Assert(tt.state.inPlannedStop(), qt.Equals, tt.want)
	}
}

func TestReasonsAreCountedTogether(t *testing.T) {
	c := qt.New(t)
	l := newLog(nil, nil)
	for i, reason := range []string{`claim of key "a-1": late by 12ms`, `claim of key "b-2": late by 3.5s`, "full"} {
		l.requests[lovagestand.RequestKey(rune('a'+i))] = &requestRecord{outcome: lovagestand.OutcomeNotRun, reason: reason}
	}
	l.requests["d"] = &requestRecord{outcome: lovagestand.OutcomeDone}
	c.Assert(l.reasons(), qt.DeepEquals, []Reason{
		{Outcome: lovagestand.OutcomeNotRun, Text: "claim of key …: late by …", Count: 2},
		{Outcome: lovagestand.OutcomeNotRun, Text: "full", Count: 1},
	})
}
