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

// The range and precision of the histograms, in microseconds and digits.
const (
	leastMicros = int64(1)
	mostMicros  = int64(10 * time.Minute / time.Microsecond)
	digits      = 2
)

// recorder passes on to the auditor what workers and callers see, and measures
// the time that lies between.
type recorder struct {
	*audit.Auditor
	stateOf func(instance string) nodeState

	mutex sync.Mutex
	kinds []*kindRecord
	// asked has the requests that have not started yet.
	asked    map[lovagestand.RequestKey]pending
	answered int
	sent     int
}

// pending is a request between its first call and its start.
type pending struct {
	at   time.Time
	kind *kindRecord
}

// kindRecord is what is measured of one route.
type kindRecord struct {
	counts    report.RouteOutcomes
	waiting   *hdrhistogram.Histogram
	answering *hdrhistogram.Histogram
	// recent has the waiting times since the last sample.
	recent *hdrhistogram.Histogram
}

var (
	_ fleet.Observer  = (*recorder)(nil)
	_ caller.Observer = (*recorder)(nil)
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastMicros, mostMicros, digits)
}

func newRecorder(a *audit.Auditor, t table.Tables) *recorder {
	r := &recorder{Auditor: a, asked: map[lovagestand.RequestKey]pending{}}
	for _, route := range t.Routes() {
		r.kinds = append(r.kinds, &kindRecord{
			counts:    report.RouteOutcomes{Route: route.Name, Class: route.Class},
			waiting:   newHistogram(),
			answering: newHistogram(),
			recent:    newHistogram(),
		})
	}
	return r
}

func (r *recorder) kind(route lovagestand.RouteName) *kindRecord {
	for _, k := range r.kinds {
		if k.counts.Route == route {
			return k
		}
	}
	return r.kinds[0]
}

// Started implements [fleet.Observer].
func (r *recorder) Started(at time.Time, on lovagestand.Worker, start lovagestand.TaskStart) {
	r.Auditor.Started(at, on, start)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	p, waits := r.asked[start.Task.Key]
	if !waits || p.kind == nil {
		return
	}
	micros := at.Sub(p.at).Microseconds()
	_ = p.kind.waiting.RecordValue(micros)
	_ = p.kind.recent.RecordValue(micros)
	r.asked[start.Task.Key] = pending{at: p.at}
}

// Submitted implements [caller.Observer].
func (r *recorder) Submitted(at time.Time, w caller.Request) {
	r.Auditor.Submitted(w.Key, w.Due)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := r.kind(w.Route)
	k.counts.Asked++
	r.sent++
	r.asked[w.Key] = pending{at: at, kind: k}
}

// Resubmitted implements [caller.Observer].
func (r *recorder) Resubmitted(w caller.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.kind(w.Route).counts.Repeated++
}

// Answered implements [caller.Observer]. Of several answers to one key the first
// is counted; all are judged.
func (r *recorder) Answered(at time.Time, w caller.Request, answer lovagestand.Answer) {
	r.Auditor.Answered(at, w.Key, answer)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	p, first := r.asked[w.Key]
	if !first {
		return
	}
	delete(r.asked, w.Key)
	r.answered++
	k := r.kind(w.Route)
	k.count(answer.Outcome)
	_ = k.answering.RecordValue(at.Sub(p.at).Microseconds())
}

// CallBroken implements [caller.Observer]. Only a planned stop promises not to break a
// call.
func (r *recorder) CallBroken(at time.Time, w caller.Request, t caller.Target, reason string) {
	switch r.stateOf(t.Name) {
	case nodeStopping, nodeGone:
		r.CutOff(at, w.Key, t.Name, reason)
	case nodeUp, nodePaused, nodeKilled:
	}
}

func (k *kindRecord) count(o lovagestand.Outcome) {
	switch o {
	case lovagestand.OutcomeDone:
		k.counts.Done++
	case lovagestand.OutcomeFailed:
		k.counts.Failed++
	case lovagestand.OutcomeNotRun:
		k.counts.NotRun++
	case lovagestand.OutcomeCancelled:
		k.counts.Cancelled++
	default:
		k.counts.Unknown++
	}
}

// progress returns how many requests were sent and answered.
func (r *recorder) progress() (sent, answered int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.sent, r.answered
}

// recentWaits returns the waiting times since it was called last.
func (r *recorder) recentWaits() []report.RouteLatency {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var waits []report.RouteLatency
	for _, k := range r.kinds {
		if k.recent.TotalCount() > 0 {
			waits = append(waits, report.RouteLatency{Route: k.counts.Route, Summary: spread(k.recent)})
		}
		k.recent.Reset()
	}
	return waits
}

// result returns what was measured by kind.
func (r *recorder) result() []report.RouteOutcomes {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kinds := make([]report.RouteOutcomes, 0, len(r.kinds))
	for _, k := range r.kinds {
		c := k.counts
		c.Waiting = spread(k.waiting)
		c.Answering = spread(k.answering)
		kinds = append(kinds, c)
	}
	return kinds
}

func spread(h *hdrhistogram.Histogram) report.LatencySummary {
	return report.LatencySummary{
		Count: h.TotalCount(),
		P50:   millis(h.ValueAtQuantile(50)),
		P99:   millis(h.ValueAtQuantile(99)),
		Max:   millis(h.Max()),
	}
}

func millis(micros int64) float64 {
	return float64(micros) / 1000
}
