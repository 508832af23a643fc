package metrics

import (
	"expvar"
	"fmt"
	"net/http"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/region"
)

// The names of the variables under publishedSection in the served JSON.
const (
	nameAnswers       = "answers"
	nameWaits         = "waits"
	nameLimited       = "limited"
	nameStarts        = "starts"
	nameWorkerCalls   = "workerCalls"
	nameStoreCalls    = "storeCalls"
	nameStoreFailures = "storeFailures"
	namePaidByLink    = "paidBytesByLink"
	namePaidByRoute   = "paidBytesByRoute"
	nameOwnership     = "ownershipChanges"
)

const (
	// publishedSection is the name under which the variables of the instance
	// appear in the served JSON.
	publishedSection = "lovagestand"
	// maxKeys is the maximum number of keys of one variable. Further keys are
	// counted together under overflowKey.
	maxKeys     = 2000
	overflowKey = "other"
	// controlRoute is the route under which calls that belong to no request
	// are counted.
	controlRoute = "control"
)

// Metrics holds the counters of one instance. It is safe for concurrent use.
// Answered and Limited do nothing on a nil Metrics.
type Metrics struct {
	variables     *expvar.Map
	answers       *counters
	waits         *waitHistograms
	limited       *counters
	starts        *counters
	workerCalls   *counters
	storeCalls    *counters
	storeFailures *counters
	paidBytes     *region.Meter
	ownership     *counters
}

// New returns metrics with all counters at zero.
func New() *Metrics {
	m := &Metrics{variables: new(expvar.Map), waits: newWaitHistograms(), paidBytes: region.NewMeter()}
	m.answers = m.addCounters(nameAnswers)
	m.limited = m.addCounters(nameLimited)
	m.starts = m.addCounters(nameStarts)
	m.workerCalls = m.addCounters(nameWorkerCalls)
	m.storeCalls = m.addCounters(nameStoreCalls)
	m.storeFailures = m.addCounters(nameStoreFailures)
	m.ownership = m.addCounters(nameOwnership)
	m.variables.Set(nameWaits, m.waits)
	m.variables.Set(namePaidByLink, expvar.Func(func() any { return sumBytes(m.paidBytes.Rows(), linkOf) }))
	m.variables.Set(namePaidByRoute, expvar.Func(func() any { return sumBytes(m.paidBytes.Rows(), routeOfRow) }))
	return m
}

func (m *Metrics) addCounters(name string) *counters {
	v := new(counters)
	m.variables.Set(name, v)
	return v
}

// Set adds a variable that another part of the instance maintains.
func (m *Metrics) Set(name string, variable expvar.Var) {
	m.variables.Set(name, variable)
}

// Answered counts a final answer by route and outcome. If the outcome is done, it
// also records how long the request waited for its start.
func (m *Metrics) Answered(route lovagestand.RouteName, class lovagestand.Class, answer lovagestand.Answer) {
	if m == nil {
		return
	}
	m.answers.Add(string(route)+"."+string(answer.Outcome), 1)
	if answer.Outcome == lovagestand.OutcomeDone {
		m.waits.record(class, answer.Waited)
	}
}

// Limited counts a request of a team that a limit rejected.
func (m *Metrics) Limited(limit string, team lovagestand.TeamName) {
	if m == nil {
		return
	}
	m.limited.Add(limit+"."+string(team), 1)
}

// Acquired counts a shard whose ownership this instance has acquired.
func (m *Metrics) Acquired() { m.ownership.Add("acquired", 1) }

// Released counts a shard whose ownership this instance has handed over as
// planned.
func (m *Metrics) Released() { m.ownership.Add("released", 1) }

// countPaid counts paid bytes, which are the bytes sent from one region to another.
// Bytes without a route are counted under controlRoute.
func (m *Metrics) countPaid(from, to lovagestand.RegionName, route lovagestand.RouteName, bytes int) {
	if route == "" {
		route = controlRoute
	}
	m.paidBytes.Count(from, to, route, bytes)
}

// sumBytes returns the total bytes of the rows by key.
func sumBytes(rows []region.LinkTraffic, keyOf func(region.LinkTraffic) string) map[string]uint64 {
	byKey := make(map[string]uint64)
	for _, r := range rows {
		byKey[keyOf(r)] += r.Bytes
	}
	return byKey
}

func linkOf(r region.LinkTraffic) string { return string(r.From) + ">" + string(r.To) }

func routeOfRow(r region.LinkTraffic) string { return string(r.Route) }

// ServeHTTP implements [http.Handler]. It writes the variables of the process and
// of this instance as JSON.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{\n")
	expvar.Do(func(v expvar.KeyValue) { fmt.Fprintf(w, "%q: %s,\n", v.Key, v.Value) })
	fmt.Fprintf(w, "%q: %s\n}\n", publishedSection, m.variables)
}
