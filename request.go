package lovagestand

import "time"

// Request is one piece of work a caller asks for.
type Request struct {
	Key   RequestKey `json:"key"`
	Route RouteName  `json:"route"`
	Team  TeamName   `json:"team"`
	// Resources is what one task of the request is declared to take.
	Resources Resources `json:"resources"`
	// Tasks is how many tasks start together; 1 unless the route's class is
	// gang.
	Tasks int `json:"tasks"`
	// StartBy is when the request must have started. Later it is answered
	// with [OutcomeNotRun].
	StartBy time.Time `json:"startBy"`
	// RunTime is the declared run time, a hint only.
	RunTime time.Duration `json:"runTime"`
	// Body is passed to the worker unread.
	Body []byte `json:"body"`
}

// WithStartBy returns a copy of r that must start by t.
func (r Request) WithStartBy(t time.Time) Request {
	r.StartBy = t
	return r
}

// Outcome says what became of a request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeWaiting says that the request has no final answer yet.
	OutcomeWaiting Outcome = "waiting"
	// OutcomeDone says that the request ran; the answer holds the whole body.
	OutcomeDone Outcome = "done"
	// OutcomeFailed says that the request ran and the worker reported failure.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun says that the request did not run and will not.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeCancelled says that the caller's cancellation stopped the request
	// after it had started.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeUnknown says that it cannot be known whether the request ran.
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
	// Reason explains every outcome but done, in words.
	Reason string `json:"reason,omitempty"`
	// RetryAfter is when to come back; zero where coming back is no use.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Worker is where the request ran last.
	Worker WorkerName `json:"worker,omitempty"`
	Task   TaskID     `json:"task,omitempty"`
	// Waited is the time from the request's arrival to its start.
	Waited time.Duration `json:"waited,omitempty"`
	Body   []byte        `json:"body,omitempty"`
}

// NotRunAnswer returns the answer for a request that surely did not run.
func NotRunAnswer(key RequestKey, reason string, retryAfter time.Duration) Answer {
	return Answer{Key: key, Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// UnknownAnswer returns the answer for a request that may have run.
func UnknownAnswer(key RequestKey, reason string) Answer {
	return Answer{Key: key, Outcome: OutcomeUnknown, Reason: reason}
}
