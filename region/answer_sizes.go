package region

import (
	"sync"

	lovagestand "lovagestand.example/lovagestand"
)

// latestWeight is the weight of the latest answer in the moving average.
const latestWeight = 0.1

// AnswerSizes holds the moving average of the answer size of each route. It is
// safe for concurrent use.
type AnswerSizes struct {
	mu            sync.Mutex
	expectedBytes map[lovagestand.RouteName]float64
}

// NewAnswerSizes returns averages of 0 bytes for every route.
func NewAnswerSizes() *AnswerSizes {
	return &AnswerSizes{expectedBytes: make(map[lovagestand.RouteName]float64)}
}

// Observe adds an answer of a route to its average.
func (a *AnswerSizes) Observe(route lovagestand.RouteName, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	expected, known := a.expectedBytes[route]
	if !known {
		a.expectedBytes[route] = float64(bytes)
		return
	}
	a.expectedBytes[route] = expected + latestWeight*(float64(bytes)-expected)
}

// Expected returns the expected answer size in bytes, for [WithAnswerBytes].
func (a *AnswerSizes) Expected(route lovagestand.RouteName) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.expectedBytes[route])
}
