package audit

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// LeavingGrace is how long a worker may still be offered new tasks after it
	// has stopped accepting them.
	LeavingGrace = 3 * time.Second
	// MaxRecordedViolations is how many violations are recorded with their
	// evidence. Further ones are only counted.
	MaxRecordedViolations = 200
)

// Auditor records events and checks them for violations. It is safe for
// concurrent use. The workers call its methods Offered, Started, Ended and
// Leaving; the callers and the code that runs the instances call the others.
type Auditor struct {
	mutex      sync.Mutex
	workers    map[lovagestand.WorkerName]*workerState
	requests   map[lovagestand.RequestKey]*requestState
	revisions  map[string]lovagestand.Revision
	counts     map[Kind]int
	violations []Violation
	starts     int
}

// workerState holds the tasks that run on one worker.
type workerState struct {
	spec    lovagestand.Worker
	used    lovagestand.Resources
	running map[lovagestand.TaskID]lovagestand.Task
	// leftAt is when the worker stopped taking new work; zero if it has not.
	leftAt time.Time
}

// requestState holds the starts and answers of one request key.
type requestState struct {
	submitted bool
	// expected is the body of the complete answer.
	expected []byte
	running  []run
	// starts counts the starts that do not resume from a checkpoint.
	starts int
	// lastRun and lastStart are where and when an attempt last started.
	lastRun   run
	lastStart time.Time
	// notRun is set once a caller has been answered that the request did not
	// run; notRunAt and notRunReason are the time and the reason of that answer.
	notRun       bool
	notRunAt     time.Time
	notRunReason string
	answers      int
}

// run is one attempt on the worker that runs it.
type run struct {
	task   lovagestand.TaskID
	worker lovagestand.WorkerName
}

// New returns an auditor of the given workers.
func New(workers []lovagestand.Worker) *Auditor {
	a := &Auditor{
		workers:   map[lovagestand.WorkerName]*workerState{},
		requests:  map[lovagestand.RequestKey]*requestState{},
		revisions: map[string]lovagestand.Revision{},
		counts:    map[Kind]int{},
	}
	for _, w := range workers {
		a.workerState(w)
	}
	return a
}

// Result returns the violations found up to now.
func (a *Auditor) Result() Result {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r := Result{Violations: slices.Clone(a.violations)}
	for _, k := range Kinds() {
		r.Counts = append(r.Counts, Count{Kind: k, Count: a.counts[k]})
	}
	return r
}

// record counts a violation and stores it with its evidence while there is room.
func (a *Auditor) record(violation Violation, format string, values ...any) {
	a.counts[violation.Kind]++
	if len(a.violations) < MaxRecordedViolations {
		violation.Evidence = fmt.Sprintf(format, values...)
		a.violations = append(a.violations, violation)
	}
}

// workerState returns the state of a worker and updates its description.
func (a *Auditor) workerState(spec lovagestand.Worker) *workerState {
	state := a.workers[spec.Name]
	if state == nil {
		state = &workerState{running: map[lovagestand.TaskID]lovagestand.Task{}}
		a.workers[spec.Name] = state
	}
	state.spec = spec
	return state
}

func (a *Auditor) requestState(key lovagestand.RequestKey) *requestState {
	state := a.requests[key]
	if state == nil {
		state = &requestState{}
		a.requests[key] = state
	}
	return state
}
