package entry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lovagestand.example/lovagestand"
)

// Explain describes, for a person, the state of a request in this entry. It
// returns false if the entry has no request with the key.
func (e *Entry) Explain(key lovagestand.RequestKey) (string, bool) {
	c, ok := e.lookup(key)
	if !ok {
		return "", false
	}
	return c.explain(time.Now()), true
}

func (c *call) explain(now time.Time) string {
	answer := c.current()
	if answer.Outcome.Final() {
		return explainAnswer(answer)
	}
	text := fmt.Sprintf("route %s, pool %s: taken %v ago, must start within %v", c.route.Name, c.route.Pool,
		now.Sub(c.arrived).Round(time.Millisecond), c.originalStartBy.Sub(now).Round(time.Millisecond))
	shards := c.possibleHolders()
	slices.Sort(shards)
	switch {
	case c.isCancelled():
		text += "; being cancelled"
	case len(shards) > 0:
		text += "; handed to " + joinNames(shards)
	case c.route.NeedsClaim():
		text += "; neither the home of its claim nor an owner has answered yet"
	default:
		text += "; no owner has answered yet"
	}
	return text
}

func explainAnswer(answer lovagestand.Answer) string {
	text := fmt.Sprintf("its answer is final: %s", answer.Outcome)
	if answer.Worker != "" {
		text += " on worker " + string(answer.Worker)
	}
	if answer.Reason != "" {
		text += ": " + answer.Reason
	}
	return text
}

func joinNames(shards []lovagestand.ShardName) string {
	var names []string
	for _, s := range shards {
		names = append(names, string(s))
	}
	return "shard " + strings.Join(names, " and ")
}

// TaskFor returns the task that would be created for a request, with the defaults
// of its route. It fails with an [UnknownRouteError], a [NotReadyError] or an
// [InvalidError].
func (e *Entry) TaskFor(request lovagestand.Request) (lovagestand.Task, error) {
	now := time.Now()
	if !e.deps.Routes.Ready() {
		return lovagestand.Task{}, &NotReadyError{Reason: "no tables are in force yet"}
	}
	route, ok := e.deps.Routes.Route(request.Route)
	if !ok {
		return lovagestand.Task{}, &UnknownRouteError{Route: request.Route}
	}
	request = withDefaults(request, route, now)
	if err := validate(request, route); err != nil {
		return lovagestand.Task{}, err
	}
	return newCall(request, route, 0, now).attempt(), nil
}
