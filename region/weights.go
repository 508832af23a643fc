package region

import (
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// Weights are the costs of waiting and of billed bytes for a route, in a common
// unit that the operators choose. A higher WaitSecond favours short waits, a
// higher Megabyte favours few bytes between regions.
type Weights struct {
	// WaitSecond is the cost of a second of waiting.
	WaitSecond float64
	// Megabyte is the cost of a million bytes sent to another region or back.
	Megabyte float64
}

// DefaultWeights returns weights by which a second of waiting costs as much as
// ten million bytes.
func DefaultWeights() Weights {
	return Weights{WaitSecond: 1, Megabyte: 0.1}
}

// cost returns the total cost of a wait and of billed bytes.
func (w Weights) cost(wait time.Duration, paidBytes int) float64 {
	const megabyte = 1e6
	return w.WaitSecond*wait.Seconds() + w.Megabyte*float64(paidBytes)/megabyte
}

// Links provides the delays of the links between regions.
type Links interface {
	// Delay returns the one-way delay of a message.
	Delay(from, to lovagestand.RegionName) time.Duration
}

// UniformLinks are links that all have the same one-way delay.
type UniformLinks time.Duration

// Delay implements [Links].
func (e UniformLinks) Delay(from, to lovagestand.RegionName) time.Duration {
	if from == to {
		return 0
	}
	return time.Duration(e)
}
