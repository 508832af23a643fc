package region

import (
	"sync"

	lovagestand "lovagestand.example/lovagestand"
)

// answerShare is how much the last answer counts in the expectation.
const answerShare = 0.1

// AnswerSizes learns how long the answers of each route are. It is safe for
// concurrent use.
type AnswerSizes struct {
	mu    sync.Mutex
	bytes map[lovagestand.RouteName]float64
}

// NewAnswerSizes returns an expectation of no bytes for every route.
func NewAnswerSizes() *AnswerSizes {
	return &AnswerSizes{bytes: make(map[lovagestand.RouteName]float64)}
}

// Observe counts an answer of a route.
func (a *AnswerSizes) Observe(route lovagestand.RouteName, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	expected, known := a.bytes[route]
	if !known {
		a.bytes[route] = float64(bytes)
		return
	}
	a.bytes[route] = expected + answerShare*(float64(bytes)-expected)
}

// Expected returns the bytes to expect, for [WithAnswerBytes].
func (a *AnswerSizes) Expected(route lovagestand.RouteName) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.bytes[route])
}
