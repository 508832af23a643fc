package audit

import (
	"bytes"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Submitted records a request before its caller sends it for the first time;
// expected is the body of the complete answer to it.
func (a *Auditor) Submitted(key lovagestand.RequestKey, expected []byte) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	request := a.requestState(key)
	request.submitted = true
	request.expected = slices.Clone(expected)
}

// Answered checks an answer that the caller of a key received. It ignores answers
// that are not final.
func (a *Auditor) Answered(at time.Time, key lovagestand.RequestKey, answer lovagestand.Answer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !answer.Outcome.Final() {
		return
	}
	request := a.requestState(key)
	request.answers++
	v := Violation{At: at, Key: key, Task: answer.Task, Worker: answer.Worker}
	if answer.Key != key {
		v.Kind = KindWrongAnswer
		a.record(v, "the answer is to the request %q", answer.Key)
		return
	}
	switch answer.Outcome {
	case lovagestand.OutcomeDone:
		a.checkBody(v, request, answer.Body)
	case lovagestand.OutcomeNotRun:
		a.checkNotRun(v, request, answer.Reason)
	}
}

func (a *Auditor) checkBody(violation Violation, request *requestState, body []byte) {
	if bytes.Equal(body, request.expected) {
		return
	}
	violation.Kind = KindWrongAnswer
	if bytes.HasPrefix(request.expected, body) {
		a.record(violation, "only %d of %d bytes came", len(body), len(request.expected))
		return
	}
	a.record(violation, "%d bytes came that are not the %d due", len(body), len(request.expected))
}

// checkNotRun checks an answer that reports that the request did not run. It is a
// violation if any of its tasks has started.
func (a *Auditor) checkNotRun(violation Violation, request *requestState, reason string) {
	request.notRun, request.notRunAt, request.notRunReason = true, violation.At, reason
	if request.starts == 0 {
		return
	}
	violation.Kind = KindFalseNotRun
	a.record(violation, "the caller was told so after %d starts, the last one of task %s at worker %s %s earlier, %d still running: %s",
		request.starts, request.lastRun.task, request.lastRun.worker, violation.At.Sub(request.lastStart).Round(time.Millisecond), len(request.running), reason)
}

// CutOff records a request whose call was broken by a planned stop of an instance.
func (a *Auditor) CutOff(at time.Time, key lovagestand.RequestKey, instance, reason string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.record(Violation{At: at, Kind: KindCutOff, Key: key, Instance: instance}, "%s", reason)
}

// InForce checks the revision of the tables that an instance reports as in force;
// it must never decrease. A restarted process counts as another instance.
func (a *Auditor) InForce(at time.Time, instance string, revision lovagestand.Revision) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	previous := a.revisions[instance]
	if revision < previous {
		a.record(Violation{At: at, Kind: KindReverted, Instance: instance},
			"revision %d is in force after %d", revision, previous)
		return
	}
	a.revisions[instance] = revision
}

// ChangeLost records that an accepted change of the tables is not in force.
func (a *Auditor) ChangeLost(at time.Time, instance, change string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.record(Violation{At: at, Kind: KindReverted, Instance: instance}, "lost: %s", change)
}

// Close records a violation for each submitted request without a final answer. It
// is called once, when no caller is waiting any more.
func (a *Auditor) Close(at time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for key, request := range a.requests {
		if request.submitted && request.answers == 0 {
			a.record(Violation{At: at, Kind: KindNoAnswer, Key: key}, "started %d times", request.starts)
		}
	}
}
