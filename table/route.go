package table

import (
	"time"

	"lovagestand.example/lovagestand"
)

// Route is a row of the routes table: one kind of request and how it is scheduled.
type Route struct {
	Name lovagestand.RouteName `yaml:"name" json:"name"`
	// Pool is the name of the pool that serves the route.
	Pool  lovagestand.PoolName `yaml:"pool" json:"pool"`
	Class lovagestand.Class    `yaml:"class" json:"class"`
	// Idempotent is set if it is harmless to run a request again.
	Idempotent bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// Exclusive is set if a request must never run in two places at once.
	Exclusive bool `yaml:"exclusive,omitempty" json:"exclusive,omitempty"`
	// Checkpoints is set if a task can be stopped and resumed.
	Checkpoints bool `yaml:"checkpoints,omitempty" json:"checkpoints,omitempty"`
	// Resources are the resources of one task if the caller declares none.
	Resources Amount `yaml:"resources" json:"resources"`
	// Tasks is the number of tasks that a gang starts together; 0 counts as 1.
	Tasks int `yaml:"tasks,omitempty" json:"tasks,omitempty"`
	// StartWithin is the time within which a request must start if the caller
	// sets no deadline.
	StartWithin time.Duration `yaml:"startWithin" json:"startWithin"`
	// RunTime is how long a task usually runs. It is only a hint.
	RunTime time.Duration `yaml:"runTime,omitempty" json:"runTime,omitempty"`
	Limits  Limits        `yaml:"limits,omitempty" json:"limits,omitzero"`
	Weights Weights       `yaml:"weights,omitempty" json:"weights,omitzero"`
	// Description is a note for operators and has no effect.
	Description string `yaml:"description,omitempty" json:"description,omitempty"`
}

// Limits are the limits on the requests of a route, summed over all instances. For
// all fields but Burst, 0 means no limit.
type Limits struct {
	// RatePerSecond is the long-term rate of admitted requests.
	RatePerSecond float64 `yaml:"ratePerSecond,omitempty" json:"ratePerSecond,omitempty"`
	// Burst is the number of requests that may arrive at once; 0 means as many
	// as the rate admits in one second.
	Burst int `yaml:"burst,omitempty" json:"burst,omitempty"`
	// Concurrent is the maximum number of unanswered requests.
	Concurrent int `yaml:"concurrent,omitempty" json:"concurrent,omitempty"`
	// TeamRatePerSecond is the long-term rate of admitted requests of each team.
	TeamRatePerSecond float64 `yaml:"teamRatePerSecond,omitempty" json:"teamRatePerSecond,omitempty"`
	// TeamConcurrent is the maximum number of unanswered requests of each team.
	TeamConcurrent int `yaml:"teamConcurrent,omitempty" json:"teamConcurrent,omitempty"`
}

// Weights are the costs of waiting and of paid bytes when the region of a request
// is chosen. A Waiting of 0 counts as 1, and a PaidBytes of 0 as 0. If both are 0,
// the default weights of package region apply.
type Weights struct {
	// Waiting is the cost of a second of expected wait.
	Waiting float64 `yaml:"waiting,omitempty" json:"waiting,omitempty"`
	// PaidBytes is the cost of a million bytes sent between regions.
	PaidBytes float64 `yaml:"paidBytes,omitempty" json:"paidBytes,omitempty"`
}

// WithPool returns a copy of r that is served by the given pool.
func (r Route) WithPool(pool lovagestand.PoolName) Route {
	r.Pool = pool
	return r
}

// WithLimits returns a copy of r with the given limits.
func (r Route) WithLimits(limits Limits) Route {
	r.Limits = limits
	return r
}
