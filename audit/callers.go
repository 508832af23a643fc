package audit

import (
	"bytes"
	"slices"
	"time"

	"lovagestand.example/lovagestand"
)

// Submitted notes a request before its caller sends it for the first time; due is
// the body of the whole answer to it.
func (a *Auditor) Submitted(key lovagestand.RequestKey, due []byte) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	w := a.work(key)
	w.asked = true
	w.due = slices.Clone(due)
}

// Answered judges what the caller of a key was told.
func (a *Auditor) Answered(at time.Time, key lovagestand.RequestKey, answer lovagestand.Answer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !answer.Outcome.Final() {
		return
	}
	w := a.work(key)
	w.answers++
	v := Violation{At: at, Key: key, Task: answer.Task, Worker: answer.Worker}
	if answer.Key != key {
		v.Kind = KindWrongAnswer
		a.violate(v, "the answer is to the request %q", answer.Key)
		return
	}
	switch answer.Outcome {
	case lovagestand.OutcomeDone:
		a.judgeBody(v, w, answer.Body)
	case lovagestand.OutcomeNotRun:
		a.judgeNotRun(v, w, answer.Reason)
	}
}

func (a *Auditor) judgeBody(v Violation, w *work, body []byte) {
	if bytes.Equal(body, w.due) {
		return
	}
	v.Kind = KindWrongAnswer
	if bytes.HasPrefix(w.due, body) {
		a.violate(v, "only %d of %d bytes came", len(body), len(w.due))
		return
	}
	a.violate(v, "%d bytes came that are not the %d due", len(body), len(w.due))
}

func (a *Auditor) judgeNotRun(v Violation, w *work, reason string) {
	w.notRun, w.toldAt, w.toldWhy = true, v.At, reason
	if w.starts == 0 {
		return
	}
	v.Kind = KindFalseNotRun
	a.violate(v, "the caller was told so after %d starts, the last one of task %s at worker %s %s earlier, %d still running: %s",
		w.starts, w.latest.task, w.latest.worker, v.At.Sub(w.startAt).Round(time.Millisecond), len(w.runs), reason)
}

// CutOff notes that a planned stop of an instance broke off a request.
func (a *Auditor) CutOff(at time.Time, key lovagestand.RequestKey, instance, reason string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.violate(Violation{At: at, Kind: KindCutOff, Key: key, Instance: instance}, "%s", reason)
}

// InForce judges the revision of the tables that an instance says is in force.
// A restarted process is another instance.
func (a *Auditor) InForce(at time.Time, instance string, revision lovagestand.Revision) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	before := a.revisions[instance]
	if revision < before {
		a.violate(Violation{At: at, Kind: KindReverted, Instance: instance},
			"revision %d is in force after %d", revision, before)
		return
	}
	a.revisions[instance] = revision
}

// ChangeLost notes that an accepted change of the tables is lost.
func (a *Auditor) ChangeLost(at time.Time, instance, change string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.violate(Violation{At: at, Kind: KindReverted, Instance: instance}, "lost: %s", change)
}

// Close judges the callers without a final answer. It is called once, when
// nobody waits any more.
func (a *Auditor) Close(at time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for key, w := range a.works {
		if w.asked && w.answers == 0 {
			a.violate(Violation{At: at, Kind: KindNoAnswer, Key: key}, "started %d times", w.starts)
		}
	}
}
