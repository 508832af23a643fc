package audit

import (
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
)

// Kind says which promise was broken.
type Kind string

// The kinds of violation.
const (
	// KindOverCommit is a worker given more than it has.
	KindOverCommit Kind = "overCommit"
	// KindDoubleRun is exclusive work that runs in two places at once.
	KindDoubleRun Kind = "doubleRun"
	// KindRepeated is non-idempotent work started more than once.
	KindRepeated Kind = "repeated"
	// KindWrongAnswer is an answer that is not the whole one to the request.
	KindWrongAnswer Kind = "wrongAnswer"
	// KindFalseNotRun is work that ran although its caller is told that it
	// did not and will not.
	KindFalseNotRun Kind = "falseNotRun"
	// KindLeavingWorker is new work offered to a worker long after it left.
	KindLeavingWorker Kind = "leavingWorker"
	// KindCutOff is a request that a planned stop broke off.
	KindCutOff Kind = "cutOff"
	// KindReverted is an instance that went back to older tables, or an
	// accepted change that is no longer in them.
	KindReverted Kind = "reverted"
	// KindNoAnswer is a caller who never got a final answer.
	KindNoAnswer Kind = "noAnswer"
)

// Kinds lists all kinds of violation.
func Kinds() []Kind {
	return []Kind{
		KindOverCommit, KindDoubleRun, KindRepeated, KindWrongAnswer, KindFalseNotRun,
		KindLeavingWorker, KindCutOff, KindReverted, KindNoAnswer,
	}
}

// Violation is one broken promise with what shows it.
type Violation struct {
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	// Key, Task, Worker and Instance name what was hit, where they apply.
	Key      lovagestand.RequestKey `json:"key,omitempty"`
	Task     lovagestand.TaskID     `json:"task,omitempty"`
	Worker   lovagestand.WorkerName `json:"worker,omitempty"`
	Instance string                 `json:"instance,omitempty"`
	// Evidence tells in words what was seen.
	Evidence string `json:"evidence"`
}

// String returns v as key=value pairs.
func (v Violation) String() string {
	return fmt.Sprintf("violation=%s key=%s task=%s worker=%s instance=%s evidence=%q",
		v.Kind, v.Key, v.Task, v.Worker, v.Instance, v.Evidence)
}

// Count is how often a promise was broken.
type Count struct {
	Kind  Kind `json:"kind"`
	Count int  `json:"count"`
}

// Result is what an auditor has found.
type Result struct {
	// Counts has an entry for each kind, also where nothing was found.
	Counts []Count `json:"counts"`
	// Violations are the first ones found, at most [MaxRecordedViolations].
	Violations []Violation `json:"violations"`
}

// Total returns how many violations there are.
func (r Result) Total() int {
	n := 0
	for _, c := range r.Counts {
		n += c.Count
	}
	return n
}

// Of returns how many violations there are of one kind.
func (r Result) Of(kind Kind) int {
	for _, c := range r.Counts {
		if c.Kind == kind {
			return c.Count
		}
	}
	return 0
}
