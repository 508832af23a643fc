package metrics

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Recorder keeps the counters and histograms of one instance and serves them
// as JSON. It implements lovagestand.Recorder.
type Recorder struct {
	mutex      sync.Mutex
	variables  *expvar.Map
	counters   map[string]*counters
	histograms map[string]*histograms
}

// NewRecorder returns a recorder with nothing in it.
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

// ServeHTTP implements [http.Handler].
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// A reader that leaves early is nobody's loss.
	_, _ = w.Write([]byte(`{"` + publishedSection + `":` + r.variables.String() + "}\n"))
}

// histograms keeps durations by kind, for a bounded number of kinds.
type histograms struct {
	mutex  sync.Mutex
	byKind map[string]*hdrhistogram.Histogram
}

func (h *histograms) record(kind string, duration time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	k := h.byKind[kind]
	if k == nil && len(h.byKind) >= maxKinds {
		kind = overflowKey
		k = h.byKind[kind]
	}
	if k == nil {
		k = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		h.byKind[kind] = k
	}
	// A value within the bounds cannot fail.
	_ = k.RecordValue(min(max(duration.Microseconds(), minMicros), maxMicros))
}

// maxKinds bounds the kinds of one histogram: each takes some kilobytes.
const maxKinds = 32

// String implements expvar.Var.
func (h *histograms) String() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	summaries := make(map[string]DurationSummary, len(h.byKind))
	for kind, k := range h.byKind {
		summaries[kind] = summarize(k)
	}
	text, err := json.Marshal(summaries)
	if err != nil {
		return "{}"
	}
	return string(text)
}
