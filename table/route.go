package table

import (
	"time"

	"lovagestand.example/lovagestand"
)

// Route is a row of the routes table: one kind of request and where it goes.
type Route struct {
	Name lovagestand.RouteName `yaml:"name" json:"name"`
	// Pool is the row of the pools table that serves the route.
	Pool  lovagestand.PoolName `yaml:"pool" json:"pool"`
	Class lovagestand.Class    `yaml:"class" json:"class"`
	// Idempotent says that running a request again is harmless.
	Idempotent bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// Exclusive says that a request must never run in two places at once.
	Exclusive bool `yaml:"exclusive,omitempty" json:"exclusive,omitempty"`
	// Checkpoints says that a task can be stopped and resumed.
	Checkpoints bool `yaml:"checkpoints,omitempty" json:"checkpoints,omitempty"`
	// Resources is what one task takes where the caller declares nothing.
	Resources Amount `yaml:"resources" json:"resources"`
	// Tasks is how many tasks a gang starts together; 0 counts as 1.
	Tasks int `yaml:"tasks,omitempty" json:"tasks,omitempty"`
	// StartWithin is the time limit to start where the caller gives none.
	StartWithin time.Duration `yaml:"startWithin" json:"startWithin"`
	// RunTime is how long a task usually runs, a hint only.
	RunTime time.Duration `yaml:"runTime,omitempty" json:"runTime,omitempty"`
	Limits  Limits        `yaml:"limits,omitempty" json:"limits,omitzero"`
	Weights Weights       `yaml:"weights,omitempty" json:"weights,omitzero"`
	// Description is for people only.
	Description string `yaml:"description,omitempty" json:"description,omitempty"`
}

// Limits bound the requests of a route over all instances; 0 is no limit.
type Limits struct {
	// RatePerSecond is how many requests a second are taken in the long run.
	RatePerSecond float64 `yaml:"ratePerSecond,omitempty" json:"ratePerSecond,omitempty"`
	// Burst is how many requests may come at once; 0 counts as one second's.
	Burst int `yaml:"burst,omitempty" json:"burst,omitempty"`
	// Concurrent is how many requests may be unanswered at once.
	Concurrent int `yaml:"concurrent,omitempty" json:"concurrent,omitempty"`
	// TeamRatePerSecond is RatePerSecond for each team.
	TeamRatePerSecond float64 `yaml:"teamRatePerSecond,omitempty" json:"teamRatePerSecond,omitempty"`
	// TeamConcurrent is Concurrent for each team.
	TeamConcurrent int `yaml:"teamConcurrent,omitempty" json:"teamConcurrent,omitempty"`
}

// Weights say how waiting time and paid bytes are weighed against each other
// when a region is chosen; 0 counts as 1 for waiting and as 0 for paid bytes.
type Weights struct {
	// Waiting multiplies each second of expected wait.
	Waiting float64 `yaml:"waiting,omitempty" json:"waiting,omitempty"`
	// PaidBytes multiplies each mebibyte sent across regions.
	PaidBytes float64 `yaml:"paidBytes,omitempty" json:"paidBytes,omitempty"`
}

// WithPool returns a copy of r that goes to a pool.
func (r Route) WithPool(pool lovagestand.PoolName) Route {
	r.Pool = pool
	return r
}

// WithLimits returns a copy of r with limits.
func (r Route) WithLimits(limits Limits) Route {
	r.Limits = limits
	return r
}
