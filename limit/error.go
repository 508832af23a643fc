package limit

import (
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
)

// Kind says which limit was reached.
type Kind string

// The kinds of limit.
const (
	RouteRate       Kind = "routeRate"
	RouteConcurrent Kind = "routeConcurrent"
	TeamRate        Kind = "teamRate"
	TeamConcurrent  Kind = "teamConcurrent"
	// Overload says that the instance holds too many unanswered requests for
	// a request of this class.
	Overload Kind = "overload"
)

// Error says that a request was kept out; it did not run.
type Error struct {
	Kind  Kind
	Route lovagestand.RouteName
	Team  lovagestand.TeamName
	Class lovagestand.Class
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("limit %s reached: route %q, team %q, class %s; retry after %s", e.Kind, e.Route, e.Team, e.Class, e.RetryAfter)
}
