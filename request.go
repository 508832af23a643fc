package lovagestand

import "time"

// Request is one piece of work that a caller requests.
type Request struct {
	Key   RequestKey `json:"key"`
	Route RouteName  `json:"route"`
	Team  TeamName   `json:"team"`
	// Resources is what one task of the request needs, as declared by the
	// caller.
	Resources Resources `json:"resources"`
	// Tasks is the number of tasks that start together; 1 unless the route's
	// class is gang.
	Tasks int `json:"tasks"`
	// StartBy is the deadline for the start. A request that has not started by
	// then is answered with [OutcomeNotRun].
	StartBy time.Time `json:"startBy"`
	// RunTime is the run time that the caller declares. It is only a hint.
	RunTime time.Duration `json:"runTime"`
	// Body is passed to the worker without being parsed.
	Body []byte `json:"body"`
}

// WithStartBy returns a copy of r that must start by t.
func (r Request) WithStartBy(t time.Time) Request {
	r.StartBy = t
	return r
}

// Outcome is the result of a request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeWaiting means that the request has no final answer yet.
	OutcomeWaiting Outcome = "waiting"
	// OutcomeDone means that the request ran. The answer holds the whole body.
	OutcomeDone Outcome = "done"
	// OutcomeFailed means that the request ran and the worker reported a
	// failure.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeCancelled means that the caller cancelled the request, which
	// stopped it after it had started.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeUnknown means that it cannot be determined whether the request
	// ran.
	OutcomeUnknown Outcome = "unknown"
)

// Final reports whether o will not change.
func (o Outcome) Final() bool {
	return o != OutcomeWaiting && o != ""
}

// Answer is what a caller receives for a request.
type Answer struct {
	Key     RequestKey `json:"key"`
	Outcome Outcome    `json:"outcome"`
	// Reason explains, for a person, every outcome other than [OutcomeDone].
	Reason string `json:"reason,omitempty"`
	// RetryAfter is how long the caller should wait before it retries; zero if
	// a retry is of no use.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Worker is the worker on which the request ran last.
	Worker WorkerName `json:"worker,omitempty"`
	Task   TaskID     `json:"task,omitempty"`
	// Waited is the time from the request's arrival to its start.
	Waited time.Duration `json:"waited,omitempty"`
	Body   []byte        `json:"body,omitempty"`
}

// NotRunAnswer returns the answer for a request that is guaranteed not to have
// run.
func NotRunAnswer(key RequestKey, reason string, retryAfter time.Duration) Answer {
	return Answer{Key: key, Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// UnknownAnswer returns the answer for a request that may have run.
func UnknownAnswer(key RequestKey, reason string) Answer {
	return Answer{Key: key, Outcome: OutcomeUnknown, Reason: reason}
}
