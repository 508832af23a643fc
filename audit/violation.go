package audit

import (
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
)

// Kind is the guarantee that a violation breaks.
type Kind string

// The kinds of violation.
const (
	// KindOverCommit is a worker whose running tasks exceed its capacity.
	KindOverCommit Kind = "overCommit"
	// KindDoubleRun is an exclusive request that runs more than once at the
	// same time, or an exclusive gang that runs more tasks at the same time than
	// it has.
	KindDoubleRun Kind = "doubleRun"
	// KindRepeated is a request that is not idempotent and started more than
	// once, or a gang that is not idempotent and started more tasks than it has.
	// Starts from a checkpoint do not count.
	KindRepeated Kind = "repeated"
	// KindWrongAnswer is an answer that is incomplete or belongs to another
	// request.
	KindWrongAnswer Kind = "wrongAnswer"
	// KindFalseNotRun is a request that ran although its caller was answered
	// that it did not and will not run.
	KindFalseNotRun Kind = "falseNotRun"
	// KindLeavingWorker is a task offered to a worker later than [LeavingGrace]
	// after the worker stopped taking new work.
	KindLeavingWorker Kind = "leavingWorker"
	// KindCutOff is a request whose call was broken by a planned stop.
	KindCutOff Kind = "cutOff"
	// KindReverted is an instance that went back to an older revision of the
	// tables, or an accepted change of the tables that is not in force.
	KindReverted Kind = "reverted"
	// KindNoAnswer is a request whose caller never received a final answer.
	KindNoAnswer Kind = "noAnswer"
)

// Kinds lists all kinds of violation.
func Kinds() []Kind {
	return []Kind{
		KindOverCommit, KindDoubleRun, KindRepeated, KindWrongAnswer, KindFalseNotRun,
		KindLeavingWorker, KindCutOff, KindReverted, KindNoAnswer,
	}
}

// Violation is one broken guarantee with its evidence.
type Violation struct {
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	// Key, Task, Worker and Instance identify what the violation concerns; those
	// that do not apply are empty.
	Key      lovagestand.RequestKey `json:"key,omitempty"`
	Task     lovagestand.TaskID     `json:"task,omitempty"`
	Worker   lovagestand.WorkerName `json:"worker,omitempty"`
	Instance string                 `json:"instance,omitempty"`
	// Evidence describes what was observed.
	Evidence string `json:"evidence"`
}

// String returns v as key=value pairs.
func (v Violation) String() string {
	return fmt.Sprintf("violation=%s key=%s task=%s worker=%s instance=%s evidence=%q",
		v.Kind, v.Key, v.Task, v.Worker, v.Instance, v.Evidence)
}

// Count is the number of violations of one kind.
type Count struct {
	Kind  Kind `json:"kind"`
	Count int  `json:"count"`
}

// Result holds the violations that an auditor has found.
type Result struct {
	// Counts has an entry for each kind, also where there is no violation.
	Counts []Count `json:"counts"`
	// Violations are the first violations found, at most
	// [MaxRecordedViolations].
	Violations []Violation `json:"violations"`
}

// Total returns the number of violations of all kinds.
func (r Result) Total() int {
	n := 0
	for _, c := range r.Counts {
		n += c.Count
	}
	return n
}

// Of returns the number of violations of one kind.
func (r Result) Of(kind Kind) int {
	for _, c := range r.Counts {
		if c.Kind == kind {
			return c.Count
		}
	}
	return 0
}
