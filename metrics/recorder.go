package metrics

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Recorder holds the counters and histograms of one instance and serves them as
// JSON. It implements [lovagestand.Recorder].
type Recorder struct {
	mutex      sync.Mutex
	variables  *expvar.Map
	counters   map[string]*counters
	histograms map[string]*histograms
}

// NewRecorder returns a recorder without counters and histograms. It creates each
// of them when it is first used.
func NewRecorder() *Recorder {
	return &Recorder{variables: new(expvar.Map), counters: map[string]*counters{}, histograms: map[string]*histograms{}}
}

// Count adds one event of a kind to a counter.
func (r *Recorder) Count(counter, kind string) {
	r.mutex.Lock()
	c := r.counters[counter]
	if c == nil {
		c = new(counters)
		r.counters[counter] = c
		r.variables.Set(counter, c)
	}
	r.mutex.Unlock()
	c.Add(kind, 1)
}

// Observe adds a duration to the histogram of a kind.
func (r *Recorder) Observe(histogram, kind string, duration time.Duration) {
	r.mutex.Lock()
	h := r.histograms[histogram]
	if h == nil {
		h = &histograms{byKind: map[string]*hdrhistogram.Histogram{}}
		r.histograms[histogram] = h
		r.variables.Set(histogram, h)
	}
	r.mutex.Unlock()
	h.record(kind, duration)
}

// Set adds a variable that another part of the instance maintains.
func (r *Recorder) Set(name string, variable expvar.Var) {
	r.variables.Set(name, variable)
}

// ServeHTTP implements [http.Handler].
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// A failed write means that the client has disconnected.
	_, _ = w.Write([]byte(`{"` + publishedSection + `":` + r.variables.String() + "}\n"))
}

// histograms holds a histogram of durations for each kind, for at most maxKinds
// kinds. Further kinds are recorded together under overflowKey.
type histograms struct {
	mutex  sync.Mutex
	byKind map[string]*hdrhistogram.Histogram
}

func (h *histograms) record(kind string, duration time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	histogram := h.byKind[kind]
	if histogram == nil && len(h.byKind) >= maxKinds {
		kind = overflowKey
		histogram = h.byKind[kind]
	}
	if histogram == nil {
		histogram = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		h.byKind[kind] = histogram
	}
	// RecordValue fails only for a value outside the bounds of the histogram.
	_ = histogram.RecordValue(min(max(duration.Microseconds(), minMicros), maxMicros))
}

// maxKinds is the maximum number of kinds of one variable. It is small because each
// histogram takes some kilobytes.
const maxKinds = 32

// String implements [expvar.Var]. It returns the summaries by kind as JSON.
func (h *histograms) String() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	summaries := make(map[string]DurationSummary, len(h.byKind))
	for kind, histogram := range h.byKind {
		summaries[kind] = summarize(histogram)
	}
	text, err := json.Marshal(summaries)
	if err != nil {
		return "{}"
	}
	return string(text)
}
