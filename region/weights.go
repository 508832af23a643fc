package region

import (
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// Weights say what a route's waiting and its paid bytes cost, in one unit of
// the operators' choice. A route that favours waiting time raises WaitSecond,
// one that favours cost raises Megabyte.
type Weights struct {
	// WaitSecond is the cost of a second of waiting.
	WaitSecond float64
	// Megabyte is the cost of a million bytes sent to another region.
	Megabyte float64
}

// DefaultWeights hold a second of waiting as dear as ten million bytes.
func DefaultWeights() Weights {
	return Weights{WaitSecond: 1, Megabyte: 0.1}
}

// cost returns what waiting and paid bytes cost together.
func (w Weights) cost(wait time.Duration, paidBytes int) float64 {
	const megabyte = 1e6
	return w.WaitSecond*wait.Seconds() + w.Megabyte*float64(paidBytes)/megabyte
}

// Links say how long a message takes between two regions.
type Links interface {
	// Delay returns the time to send a message one way.
	Delay(from, to lovagestand.RegionName) time.Duration
}

// UniformLinks are links between regions that all take the same time one way.
type UniformLinks time.Duration

// Delay implements [Links].
func (e UniformLinks) Delay(from, to lovagestand.RegionName) time.Duration {
	if from == to {
		return 0
	}
	return time.Duration(e)
}
