package lovagestand

import "time"

// Recorder counts events and records durations for metrics. It is safe for
// concurrent use and never blocks.
type Recorder interface {
	// Count adds one event of a kind to a counter.
	Count(counter, kind string)
	// Observe adds a duration to the histogram of a kind.
	Observe(histogram, kind string, d time.Duration)
}

// NoRecorder records nothing.
type NoRecorder struct{}

// Count implements [Recorder].
func (NoRecorder) Count(string, string) {}

// Observe implements [Recorder].
func (NoRecorder) Observe(string, string, time.Duration) {}
