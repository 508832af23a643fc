package drill

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit/remote"
	"lovagestand.example/lovagestand/trial/caller"
)

// outcome is how one request ended for its caller.
type outcome struct {
	asked   time.Time
	ended   time.Time
	runFor  time.Duration
	outcome lovagestand.Outcome
	reason  string
	// trail tells of its calls that broke.
	trail []string
}

// log tells the auditor what callers see and keeps how their requests ended.
type log struct {
	auditor *remote.Client
	stateOf func(instance string) state

	mutex    sync.Mutex
	requests map[lovagestand.RequestKey]*outcome
	broken   int
	// failed is the first failure to reach the auditor, which voids the drill.
	failed error
}

var _ caller.Observer = (*log)(nil)

// clock is the form of times of the day.
const clock = "15:04:05.000"

func newLog(auditor *remote.Client, stateOf func(string) state) *log {
	return &log{auditor: auditor, stateOf: stateOf, requests: map[lovagestand.RequestKey]*outcome{}}
}

// check keeps a failure to reach the auditor.
func (l *log) check(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failed == nil {
		l.failed = err
	}
}

// Submitted implements [caller.Log].
func (l *log) Submitted(at time.Time, w caller.Request) {
	l.check(l.auditor.Submitted(context.Background(), w.Key, w.Due))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests[w.Key] = &outcome{asked: at, runFor: w.RunFor}
}

// Resubmitted implements [caller.Log].
func (*log) Resubmitted(caller.Request) {}

// Answered implements [caller.Log]; of several answers the first counts.
func (l *log) Answered(at time.Time, w caller.Request, answer lovagestand.Answer) {
	l.check(l.auditor.Answered(context.Background(), at, w.Key, answer))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if r := l.requests[w.Key]; r != nil && r.ended.IsZero() {
		r.ended, r.outcome, r.reason = at, answer.Outcome, answer.Reason
	}
}

// CallBroken implements [caller.Log].
func (l *log) CallBroken(at time.Time, w caller.Request, t caller.Target, reason string) {
	if l.stateOf(t.Name).promises() {
		l.check(l.auditor.CutOff(context.Background(), at, w.Key, t.Name, reason))
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.broken++
	if r := l.requests[w.Key]; r != nil {
		r.trail = append(r.trail, fmt.Sprintf("%s broke at %s after %s: %s", at.Format(clock), t.Name, at.Sub(r.asked), reason))
	}
}

// trail tells how a caller fared with a key.
func (l *log) trail(key lovagestand.RequestKey) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := l.requests[key]
	if r == nil {
		return nil
	}
	lines := append([]string{r.asked.Format(clock) + " asked"}, r.trail...)
	return append(lines, fmt.Sprintf("%s %s", r.ended.Format(clock), r.outcome))
}

// window sums up the requests asked between two times.
func (l *log) window(from, until time.Time) Answers {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var a Answers
	for _, r := range l.requests {
		if r.asked.Before(from) || r.asked.After(until) {
			continue
		}
		a.Asked++
		switch r.outcome {
		case lovagestand.OutcomeDone:
			a.Done++
			a.Slowest = max(a.Slowest, r.ended.Sub(r.asked)-r.runFor)
		case lovagestand.OutcomeNotRun:
			a.NotRun++
		case lovagestand.OutcomeUnknown:
			a.Unknown++
		}
	}
	return a
}

// names are the parts of a reason that differ from request to request.
var names = regexp.MustCompile(`"[^"]*"|[0-9][0-9a-zµ.:-]*`)

// reasons counts why requests were not run or have an unknown outcome, the
// most frequent first.
func (l *log) reasons() []Reason {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := map[Reason]int{}
	for _, r := range l.requests {
		if r.outcome == lovagestand.OutcomeNotRun || r.outcome == lovagestand.OutcomeUnknown {
			counts[Reason{Outcome: r.outcome, Text: names.ReplaceAllString(r.reason, "…")}]++
		}
	}
	reasons := make([]Reason, 0, len(counts))
	for r, n := range counts {
		r.Count = n
		reasons = append(reasons, r)
	}
	slices.SortFunc(reasons, func(a, b Reason) int { return b.Count - a.Count })
	return reasons
}
