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
	mu         sync.Mutex
	all        *expvar.Map
	counters   map[string]*counters
	histograms map[string]*histograms
}

// NewRecorder returns a recorder with nothing in it.
func NewRecorder() *Recorder {
	return &Recorder{all: new(expvar.Map), counters: map[string]*counters{}, histograms: map[string]*histograms{}}
}

// Count adds one event of a kind to a counter.
func (r *Recorder) Count(counter, kind string) {
	r.mu.Lock()
	c := r.counters[counter]
	if c == nil {
		c = new(counters)
		r.counters[counter] = c
		r.all.Set(counter, c)
	}
	r.mu.Unlock()
	c.Add(kind, 1)
}

// Observe adds a duration to the histogram of a kind.
func (r *Recorder) Observe(histogram, kind string, d time.Duration) {
	r.mu.Lock()
	h := r.histograms[histogram]
	if h == nil {
		h = &histograms{byKind: map[string]*hdrhistogram.Histogram{}}
		r.histograms[histogram] = h
		r.all.Set(histogram, h)
	}
	r.mu.Unlock()
	h.record(kind, d)
}

// ServeHTTP implements [http.Handler].
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// A reader that leaves early is nobody's loss.
	_, _ = w.Write([]byte(`{"` + publishedSection + `":` + r.all.String() + "}\n"))
}

// histograms keeps durations by kind, for a bounded number of kinds.
type histograms struct {
	mu     sync.Mutex
	byKind map[string]*hdrhistogram.Histogram
}

func (h *histograms) record(kind string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.byKind[kind]
	if k == nil && len(h.byKind) >= maxKinds {
		kind = overflowKey
		k = h.byKind[kind]
	}
	if k == nil {
		k = hdrhistogram.New(leastMicros, mostMicros, digits)
		h.byKind[kind] = k
	}
	// A value within the bounds cannot fail.
	_ = k.RecordValue(min(max(d.Microseconds(), leastMicros), mostMicros))
}

// maxKinds bounds the kinds of one histogram: each takes some kilobytes.
const maxKinds = 32

// String implements expvar.Var.
func (h *histograms) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	sums := make(map[string]DurationSummary, len(h.byKind))
	for kind, k := range h.byKind {
		sums[kind] = waitOf(k)
	}
	text, err := json.Marshal(sums)
	if err != nil {
		return "{}"
	}
	return string(text)
}
