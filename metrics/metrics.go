package metrics

import (
	"expvar"
	"fmt"
	"net/http"

	"lovagestand.example/lovagestand"
)

// The names of the counters under "lovagestand" in the dump of variables.
const (
	nameAnswers     = "answers"
	nameWaits       = "waits"
	nameLimited     = "limited"
	nameStarts      = "starts"
	nameWorkerCalls = "workerCalls"
	nameStoreCalls  = "storeCalls"
	nameStoreFails  = "storeFailures"
	namePaidByLink  = "paidBytesByLink"
	namePaidByRoute = "paidBytesByRoute"
	nameOwnership   = "ownershipChanges"
)

const (
	// publishedSection holds the variables of the instance in the dump.
	publishedSection = "lovagestand"
	// maxKeys bounds the keys of one variable; more are counted together under
	// overflowKey.
	maxKeys     = 2000
	overflowKey = "other"
	// controlRoute stands for calls that carry no request.
	controlRoute = "control"
)

// Metrics are the counters of one instance. It is safe for concurrent use.
type Metrics struct {
	all         *expvar.Map
	answers     *counters
	waits       *waits
	limited     *counters
	starts      *counters
	workerCalls *counters
	storeCalls  *counters
	storeFails  *counters
	paidByLink  *counters
	paidByRoute *counters
	ownership   *counters
}

// New returns counters at zero.
func New() *Metrics {
	m := &Metrics{all: new(expvar.Map), waits: newWaits()}
	m.answers = m.add(nameAnswers)
	m.limited = m.add(nameLimited)
	m.starts = m.add(nameStarts)
	m.workerCalls = m.add(nameWorkerCalls)
	m.storeCalls = m.add(nameStoreCalls)
	m.storeFails = m.add(nameStoreFails)
	m.paidByLink = m.add(namePaidByLink)
	m.paidByRoute = m.add(namePaidByRoute)
	m.ownership = m.add(nameOwnership)
	m.all.Set(nameWaits, m.waits)
	return m
}

func (m *Metrics) add(name string) *counters {
	v := new(counters)
	m.all.Set(name, v)
	return v
}

// Set adds a variable that another part of the instance keeps.
func (m *Metrics) Set(name string, v expvar.Var) {
	m.all.Set(name, v)
}

// Answered counts a final answer of a route, and how long it waited for its
// start if it started.
func (m *Metrics) Answered(route lovagestand.RouteName, class lovagestand.Class, a lovagestand.Answer) {
	m.answers.Add(string(route)+"."+string(a.Outcome), 1)
	if a.Outcome == lovagestand.OutcomeDone {
		m.waits.record(class, a.Waited)
	}
}

// Limited counts a request of a team that a limit kept out.
func (m *Metrics) Limited(limit string, team lovagestand.TeamName) {
	m.limited.Add(limit+"."+string(team), 1)
}

// Acquired counts a shard that this instance began to own.
func (m *Metrics) Acquired() { m.ownership.Add("acquired", 1) }

// Released counts a shard that this instance passed on as planned.
func (m *Metrics) Released() { m.ownership.Add("released", 1) }

// paid counts bytes sent between two regions, for a route if there is one.
func (m *Metrics) paid(from, to lovagestand.RegionName, route lovagestand.RouteName, bytes int) {
	m.paidByLink.Add(string(from)+">"+string(to), int64(bytes))
	if route == "" {
		route = controlRoute
	}
	m.paidByRoute.Add(string(route), int64(bytes))
}

// ServeHTTP writes the variables of the process and of this instance as JSON.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{\n")
	expvar.Do(func(v expvar.KeyValue) { fmt.Fprintf(w, "%q: %s,\n", v.Key, v.Value) })
	fmt.Fprintf(w, "%q: %s\n}\n", publishedSection, m.all)
}
