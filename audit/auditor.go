package audit

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// LeavingGrace is how long after it left a worker may be offered work.
	LeavingGrace = 3 * time.Second
	// MaxRecordedViolations is how many violations are kept with their evidence.
	MaxRecordedViolations = 200
)

// Auditor collects what happens and judges it. It is safe for concurrent use;
// its methods Offered, Started, Ended and Left are told by the workers, the
// others by the callers and by whoever runs the instances.
type Auditor struct {
	mutex      sync.Mutex
	workers    map[lovagestand.WorkerName]*workerState
	requests   map[lovagestand.RequestKey]*requestState
	revisions  map[string]lovagestand.Revision
	counts     map[Kind]int
	violations []Violation
	starts     int
}

// workerState is what one worker was given.
type workerState struct {
	spec    lovagestand.Worker
	used    lovagestand.Resources
	running map[lovagestand.TaskID]lovagestand.Task
	leftAt  time.Time
}

// requestState is what became of one request key.
type requestState struct {
	submitted bool
	expected  []byte
	running   []run
	starts    int
	// lastRun is where and when an attempt started last.
	lastRun   run
	lastStart time.Time
	notRun    bool
	// notRunAt and toldWhy are when and why the caller was told so.
	notRunAt     time.Time
	notRunReason string
	answers      int
}

// run is where one attempt runs.
type run struct {
	task   lovagestand.TaskID
	worker lovagestand.WorkerName
}

// New returns an auditor of workers.
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

// Result returns what has been found up to now.
func (a *Auditor) Result() Result {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r := Result{Violations: slices.Clone(a.violations)}
	for _, k := range Kinds() {
		r.Counts = append(r.Counts, Count{Kind: k, Count: a.counts[k]})
	}
	return r
}

func (a *Auditor) record(violation Violation, format string, values ...any) {
	a.counts[violation.Kind]++
	if len(a.violations) < MaxRecordedViolations {
		violation.Evidence = fmt.Sprintf(format, values...)
		a.violations = append(a.violations, violation)
	}
}

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
