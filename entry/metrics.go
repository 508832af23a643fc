package entry

import (
	"expvar"

	"lovagestand.example/lovagestand"
)

// entryMetrics counts the answers of this process by route and outcome.
type entryMetrics struct {
	answers *expvar.Map
}

var metrics = entryMetrics{answers: expvar.NewMap("lovagestandAnswers")}

func (m entryMetrics) count(c *call, a lovagestand.Answer) {
	m.answers.Add(string(c.route.Name)+"."+string(a.Outcome), 1)
}
