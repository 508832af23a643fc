package region

import (
	"sync"

	lovagestand "lovagestand.example/lovagestand"
)

// latestWeight is how much the last answer counts in the expectation.
const latestWeight = 0.1

// AnswerSizes learns how long the answers of each route are. It is safe for
// concurrent use.
type AnswerSizes struct {
	mu            sync.Mutex
	expectedBytes map[lovagestand.RouteName]float64
}

// NewAnswerSizes returns an expectation of no bytes for every route.
func NewAnswerSizes() *AnswerSizes {
	return &AnswerSizes{expectedBytes: make(map[lovagestand.RouteName]float64)}
}

// Observe counts an answer of a route.
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

// Expected returns the bytes to expect, for [WithAnswerBytes].
func (a *AnswerSizes) Expected(route lovagestand.RouteName) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.expectedBytes[route])
}
