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

// requestRecord is how one request ended for its caller.
type requestRecord struct {
	submittedAt time.Time
	endedAt     time.Time
	runFor      time.Duration
	outcome     lovagestand.Outcome
	reason      string
	// breaks describe the calls of this request that broke off.
	breaks []string
}

// log reports to the auditor what callers see and records how their requests
// ended.
type log struct {
	auditor *remote.Client
	stateOf func(instance string) state

	mutex       sync.Mutex
	requests    map[lovagestand.RequestKey]*requestRecord
	brokenCalls int
	// auditorErr is the first failed call to the auditor. It makes the result of
	// the drill invalid.
	auditorErr error
}

var _ caller.Observer = (*log)(nil)

// clockLayout is the layout of times of day.
const clockLayout = "15:04:05.000"

func newLog(auditor *remote.Client, stateOf func(string) state) *log {
	return &log{auditor: auditor, stateOf: stateOf, requests: map[lovagestand.RequestKey]*requestRecord{}}
}

// recordError records the first failed call to the auditor.
func (l *log) recordError(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.auditorErr == nil {
		l.auditorErr = err
	}
}

// Submitted implements [caller.Observer].
func (l *log) Submitted(at time.Time, request caller.Request) {
	l.recordError(l.auditor.Submitted(context.Background(), request.Key, request.Expected))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests[request.Key] = &requestRecord{submittedAt: at, runFor: request.RunFor}
}

// Resubmitted implements [caller.Observer].
func (*log) Resubmitted(caller.Request) {}

// Answered implements [caller.Observer]. Only the first answer to a request is
// recorded.
func (l *log) Answered(at time.Time, request caller.Request, answer lovagestand.Answer) {
	l.recordError(l.auditor.Answered(context.Background(), at, request.Key, answer))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if r := l.requests[request.Key]; r != nil && r.endedAt.IsZero() {
		r.endedAt, r.outcome, r.reason = at, answer.Outcome, answer.Reason
	}
}

// CallBroken implements [caller.Observer]. The auditor gets only calls that broke off
// during a planned stop of the instance.
func (l *log) CallBroken(at time.Time, request caller.Request, target caller.Target, reason string) {
	if l.stateOf(target.Name).inPlannedStop() {
		l.recordError(l.auditor.CutOff(context.Background(), at, request.Key, target.Name, reason))
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.brokenCalls++
	if r := l.requests[request.Key]; r != nil {
		r.breaks = append(r.breaks, fmt.Sprintf("%s call to %s broke off after %s: %s", at.Format(clockLayout), target.Name, at.Sub(r.submittedAt), reason))
	}
}

// history describes the course of a request: when it was first sent, which of its
// calls broke off, and how it ended.
func (l *log) history(key lovagestand.RequestKey) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := l.requests[key]
	if r == nil {
		return nil
	}
	lines := append([]string{r.submittedAt.Format(clockLayout) + " asked"}, r.breaks...)
	return append(lines, fmt.Sprintf("%s %s", r.endedAt.Format(clockLayout), r.outcome))
}

// answersBetween summarizes the requests that were first sent between two times.
func (l *log) answersBetween(from, until time.Time) AnswerSummary {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var a AnswerSummary
	for _, r := range l.requests {
		if r.submittedAt.Before(from) || r.submittedAt.After(until) {
			continue
		}
		a.Submitted++
		switch r.outcome {
		case lovagestand.OutcomeDone:
			a.Done++
			a.Slowest = max(a.Slowest, r.endedAt.Sub(r.submittedAt)-r.runFor)
		case lovagestand.OutcomeNotRun:
			a.NotRun++
		case lovagestand.OutcomeUnknown:
			a.Unknown++
		}
	}
	return a
}

// variableParts matches the parts of a reason that differ from request to
// request.
var variableParts = regexp.MustCompile(`"[^"]*"|[0-9][0-9a-zµ.:-]*`)

// reasons counts why requests were not run or have an unknown outcome, and
// returns the most frequent reason first.
func (l *log) reasons() []Reason {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := map[Reason]int{}
	for _, r := range l.requests {
		if r.outcome == lovagestand.OutcomeNotRun || r.outcome == lovagestand.OutcomeUnknown {
			counts[Reason{Outcome: r.outcome, Text: variableParts.ReplaceAllString(r.reason, "…")}]++
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
