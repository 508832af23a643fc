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
	mutex     sync.Mutex
	workers   map[lovagestand.WorkerName]*load
	works     map[lovagestand.RequestKey]*work
	revisions map[string]lovagestand.Revision
	counts    map[Kind]int
	kept      []Violation
	starts    int
}

// load is what one worker was given.
type load struct {
	spec    lovagestand.Worker
	used    lovagestand.Resources
	running map[lovagestand.TaskID]lovagestand.Task
	left    time.Time
}

// work is what became of one request key.
type work struct {
	asked  bool
	due    []byte
	runs   []place
	starts int
	// latest is where and when an attempt started last.
	latest  place
	startAt time.Time
	notRun  bool
	// toldAt and toldWhy are when and why the caller was told so.
	toldAt  time.Time
	toldWhy string
	answers int
}

// place is where one attempt runs.
type place struct {
	task   lovagestand.TaskID
	worker lovagestand.WorkerName
}

// New returns an auditor of workers.
func New(workers []lovagestand.Worker) *Auditor {
	a := &Auditor{
		workers:   map[lovagestand.WorkerName]*load{},
		works:     map[lovagestand.RequestKey]*work{},
		revisions: map[string]lovagestand.Revision{},
		counts:    map[Kind]int{},
	}
	for _, w := range workers {
		a.load(w)
	}
	return a
}

// Result returns what has been found up to now.
func (a *Auditor) Result() Result {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r := Result{Violations: slices.Clone(a.kept)}
	for _, k := range Kinds() {
		r.Counts = append(r.Counts, Count{Kind: k, Count: a.counts[k]})
	}
	return r
}

func (a *Auditor) violate(v Violation, format string, values ...any) {
	a.counts[v.Kind]++
	if len(a.kept) < MaxRecordedViolations {
		v.Evidence = fmt.Sprintf(format, values...)
		a.kept = append(a.kept, v)
	}
}

func (a *Auditor) load(w lovagestand.Worker) *load {
	l := a.workers[w.Name]
	if l == nil {
		l = &load{running: map[lovagestand.TaskID]lovagestand.Task{}}
		a.workers[w.Name] = l
	}
	l.spec = w
	return l
}

func (a *Auditor) work(key lovagestand.RequestKey) *work {
	w := a.works[key]
	if w == nil {
		w = &work{}
		a.works[key] = w
	}
	return w
}
