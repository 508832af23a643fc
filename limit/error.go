package limit

import (
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
)

// Kind identifies the limit that was reached.
type Kind string

// The kinds of limit.
const (
	RouteRate       Kind = "routeRate"
	RouteConcurrent Kind = "routeConcurrent"
	TeamRate        Kind = "teamRate"
	TeamConcurrent  Kind = "teamConcurrent"
	// Overload means that the instance has too many unanswered requests to
	// admit another one of this class.
	Overload Kind = "overload"
)

// Error is returned for a request that was refused. The request did not run.
type Error struct {
	Kind  Kind
	Route lovagestand.RouteName
	Team  lovagestand.TeamName
	Class lovagestand.Class
	// RetryAfter is the time to wait before retrying.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("limit %s reached: route %q, team %q, class %s; retry after %s", e.Kind, e.Route, e.Team, e.Class, e.RetryAfter)
}
