package metrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovagestand.example/lovagestand"
)

const (
	minMicros = 1
	maxMicros = int64(time.Hour / time.Microsecond)
	// significantDigits is the precision of the recorded durations in decimal
	// digits.
	significantDigits = 2
	medianPercentile  = 50
	tailPercentile    = 99
	microsPerMilli    = 1000
)

// waitHistograms holds, for each class, a histogram of how long requests waited for
// their start.
type waitHistograms struct {
	mutex   sync.Mutex
	byClass map[lovagestand.Class]*hdrhistogram.Histogram
}

// DurationSummary summarizes the durations of one histogram in milliseconds.
type DurationSummary struct {
	Count     int64   `json:"count"`
	P50Millis float64 `json:"p50Millis"`
	P99Millis float64 `json:"p99Millis"`
	MaxMillis float64 `json:"maxMillis"`
}

func newWaitHistograms() *waitHistograms {
	w := &waitHistograms{byClass: make(map[lovagestand.Class]*hdrhistogram.Histogram)}
	for _, c := range lovagestand.Classes() {
		w.byClass[c] = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	}
	return w
}

func (w *waitHistograms) record(class lovagestand.Class, duration time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	h, ok := w.byClass[class]
	if !ok {
		return
	}
	// RecordValue fails only for a value outside the bounds of the histogram.
	_ = h.RecordValue(min(max(duration.Microseconds(), minMicros), maxMicros))
}

// String implements [expvar.Var]. It returns the summaries by class as JSON.
func (w *waitHistograms) String() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	summaries := make(map[lovagestand.Class]DurationSummary)
	for c, h := range w.byClass {
		summaries[c] = summarize(h)
	}
	text, err := json.Marshal(summaries)
	if err != nil {
		return "{}"
	}
	return string(text)
}

func summarize(histogram *hdrhistogram.Histogram) DurationSummary {
	return DurationSummary{
		Count:     histogram.TotalCount(),
		P50Millis: toMillis(histogram.ValueAtQuantile(medianPercentile)),
		P99Millis: toMillis(histogram.ValueAtQuantile(tailPercentile)),
		MaxMillis: toMillis(histogram.Max()),
	}
}

func toMillis(micros int64) float64 {
	return float64(micros) / microsPerMilli
}
