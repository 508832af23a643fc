package metrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovagestand.example/lovagestand"
)

const (
	leastMicros = 1
	mostMicros  = int64(time.Hour / time.Microsecond)
	// digits is how many significant digits of a wait are kept.
	digits        = 2
	quantileHalf  = 50
	quantileMost  = 99
	microsPerMill = 1000
)

// waits keeps how long requests waited for their start, by class.
type waits struct {
	mu      sync.Mutex
	byClass map[lovagestand.Class]*hdrhistogram.Histogram
}

// DurationSummary sums up the waits of one class, in milliseconds.
type DurationSummary struct {
	Count     int64   `json:"count"`
	P50Millis float64 `json:"p50Millis"`
	P99Millis float64 `json:"p99Millis"`
	MaxMillis float64 `json:"maxMillis"`
}

func newWaits() *waits {
	w := &waits{byClass: make(map[lovagestand.Class]*hdrhistogram.Histogram)}
	for _, c := range lovagestand.Classes() {
		w.byClass[c] = hdrhistogram.New(leastMicros, mostMicros, digits)
	}
	return w
}

func (w *waits) record(class lovagestand.Class, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, ok := w.byClass[class]
	if !ok {
		return
	}
	// A value within the bounds cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), leastMicros), mostMicros))
}

// String implements expvar.Var.
func (w *waits) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	sums := make(map[lovagestand.Class]DurationSummary)
	for c, h := range w.byClass {
		sums[c] = waitOf(h)
	}
	text, err := json.Marshal(sums)
	if err != nil {
		return "{}"
	}
	return string(text)
}

func waitOf(h *hdrhistogram.Histogram) DurationSummary {
	return DurationSummary{
		Count:     h.TotalCount(),
		P50Millis: millis(h.ValueAtQuantile(quantileHalf)),
		P99Millis: millis(h.ValueAtQuantile(quantileMost)),
		MaxMillis: millis(h.Max()),
	}
}

func millis(micros int64) float64 {
	return float64(micros) / microsPerMill
}
