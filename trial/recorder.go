package trial

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit"
	"lovagestand.example/lovagestand/report"
	"lovagestand.example/lovagestand/standin/fleet"
	"lovagestand.example/lovagestand/table"
	"lovagestand.example/lovagestand/trial/caller"
)

// The range of the histograms in microseconds, and their precision in significant
// digits.
const (
	minMicros         = int64(1)
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// recorder forwards the events of workers and callers to the auditor and measures
// waiting and answering times.
type recorder struct {
	*audit.Auditor
	stateOf func(instance string) nodeState

	mutex  sync.Mutex
	routes []*routeRecord
	// submissions holds the requests without a final answer.
	submissions map[lovagestand.RequestKey]submission
	answered    int
	submitted   int
}

// submission is a request between its first call and its final answer.
type submission struct {
	submittedAt time.Time
	// route is the route's record; nil once a task of the request has started.
	route *routeRecord
}

// routeRecord holds the measurements of one route.
type routeRecord struct {
	counts    report.RouteOutcomes
	waiting   *hdrhistogram.Histogram
	answering *hdrhistogram.Histogram
	// recent holds the waiting times since the last sample.
	recent *hdrhistogram.Histogram
}

var (
	_ fleet.Observer  = (*recorder)(nil)
	_ caller.Observer = (*recorder)(nil)
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func newRecorder(a *audit.Auditor, t table.Tables) *recorder {
	r := &recorder{Auditor: a, submissions: map[lovagestand.RequestKey]submission{}}
	for _, route := range t.Routes() {
		r.routes = append(r.routes, &routeRecord{
			counts:    report.RouteOutcomes{Route: route.Name, Class: route.Class},
			waiting:   newHistogram(),
			answering: newHistogram(),
			recent:    newHistogram(),
		})
	}
	return r
}

// routeRecord returns the record of a route, the first one if the route is unknown.
func (r *recorder) routeRecord(name lovagestand.RouteName) *routeRecord {
	for _, record := range r.routes {
		if record.counts.Route == name {
			return record
		}
	}
	return r.routes[0]
}

// Started implements [fleet.Observer].
func (r *recorder) Started(at time.Time, worker lovagestand.Worker, start lovagestand.TaskStart) {
	r.Auditor.Started(at, worker, start)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, pending := r.submissions[start.Task.Key]
	if !pending || s.route == nil {
		return
	}
	micros := at.Sub(s.submittedAt).Microseconds()
	_ = s.route.waiting.RecordValue(micros)
	_ = s.route.recent.RecordValue(micros)
	r.submissions[start.Task.Key] = submission{submittedAt: s.submittedAt}
}

// Submitted implements [caller.Observer].
func (r *recorder) Submitted(at time.Time, request caller.Request) {
	r.Auditor.Submitted(request.Key, request.Expected)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record := r.routeRecord(request.Route)
	record.counts.Asked++
	r.submitted++
	r.submissions[request.Key] = submission{submittedAt: at, route: record}
}

// Resubmitted implements [caller.Observer].
func (r *recorder) Resubmitted(request caller.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.routeRecord(request.Route).counts.Repeated++
}

// Answered implements [caller.Observer]. Only the first answer to a key is counted
// and timed, but the auditor checks all of them.
func (r *recorder) Answered(at time.Time, request caller.Request, answer lovagestand.Answer) {
	r.Auditor.Answered(at, request.Key, answer)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, unanswered := r.submissions[request.Key]
	if !unanswered {
		return
	}
	delete(r.submissions, request.Key)
	r.answered++
	record := r.routeRecord(request.Route)
	record.countOutcome(answer.Outcome)
	_ = record.answering.RecordValue(at.Sub(s.submittedAt).Microseconds())
}

// CallBroken implements [caller.Observer]. A broken call is a violation only during
// or after a planned stop, the only end of an instance that must not break calls.
func (r *recorder) CallBroken(at time.Time, request caller.Request, target caller.Target, reason string) {
	switch r.stateOf(target.Name) {
	case nodeStopping, nodeStopped:
		r.CutOff(at, request.Key, target.Name, reason)
	case nodeUp, nodePaused, nodeKilled:
	}
}

func (record *routeRecord) countOutcome(o lovagestand.Outcome) {
	switch o {
	case lovagestand.OutcomeDone:
		record.counts.Done++
	case lovagestand.OutcomeFailed:
		record.counts.Failed++
	case lovagestand.OutcomeNotRun:
		record.counts.NotRun++
	case lovagestand.OutcomeCancelled:
		record.counts.Cancelled++
	default:
		record.counts.Unknown++
	}
}

// progress returns the number of requests sent and answered.
func (r *recorder) progress() (sent, answered int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.submitted, r.answered
}

// recentWaits returns the waiting times since the previous call.
func (r *recorder) recentWaits() []report.RouteLatency {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var waits []report.RouteLatency
	for _, record := range r.routes {
		if record.recent.TotalCount() > 0 {
			waits = append(waits, report.RouteLatency{Route: record.counts.Route, Summary: latencySummary(record.recent)})
		}
		record.recent.Reset()
	}
	return waits
}

// routeOutcomes returns the measurements of each route.
func (r *recorder) routeOutcomes() []report.RouteOutcomes {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	outcomes := make([]report.RouteOutcomes, 0, len(r.routes))
	for _, record := range r.routes {
		c := record.counts
		c.Waiting = latencySummary(record.waiting)
		c.Answering = latencySummary(record.answering)
		outcomes = append(outcomes, c)
	}
	return outcomes
}

func latencySummary(h *hdrhistogram.Histogram) report.LatencySummary {
	return report.LatencySummary{
		Count: h.TotalCount(),
		P50:   microsToMillis(h.ValueAtQuantile(50)),
		P99:   microsToMillis(h.ValueAtQuantile(99)),
		Max:   microsToMillis(h.Max()),
	}
}

func microsToMillis(micros int64) float64 {
	return float64(micros) / 1000
}
