package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/metrics"
)

// Route contains what an entry needs from a row of the routes table.
type Route struct {
	Name        lovagestand.RouteName
	Pool        lovagestand.PoolName
	Class       lovagestand.Class
	Idempotent  bool
	Exclusive   bool
	Checkpoints bool
	// Resources, Tasks, StartWithin and RunTime are the defaults for requests
	// that do not declare them. StartWithin is the time from the arrival of a
	// request to its start deadline.
	Resources   lovagestand.Resources
	Tasks       int
	StartWithin time.Duration
	RunTime     time.Duration
}

// NeedsClaim reports whether a request of the route must be granted a claim
// before it may start.
func (r Route) NeedsClaim() bool {
	return !r.Idempotent || r.Exclusive
}

// Routes is the routes table in force.
type Routes interface {
	// Ready reports whether any table is in force.
	Ready() bool
	// Route returns a row of the table, and false if there is none of the name.
	Route(name lovagestand.RouteName) (Route, bool)
}

// Limiter admits requests or refuses them with a [LimitedError].
type Limiter interface {
	// Admit counts a request as in flight until release is called.
	Admit(route Route, team lovagestand.TeamName) (release func(), err error)
}

// Target is a shard that was chosen for a task.
type Target struct {
	Shard lovagestand.ShardName
	// Reason explains, for a person, why the shard was chosen.
	Reason string
}

// Chooser chooses among the shards that serve a pool.
type Chooser interface {
	// Choose returns a shard for a task. The shard is not in tried. It fails with a
	// [lovagestand.InfeasibleError] if no shard can ever hold the task, and with
	// a [NoTargetError] if there is no shard to try now.
	Choose(task lovagestand.Task, bodyBytes int, tried []lovagestand.ShardName) (Target, error)
}

// Claim is the permission to run one attempt at a request that needs a claim.
type Claim struct {
	// ID identifies the holder of the claim.
	ID    string
	Task  lovagestand.TaskID
	Shard lovagestand.ShardName
	// Created is when the claim was first granted, by this entry or another.
	Created time.Time
	// StartBy is the deadline for the start of the attempt.
	StartBy time.Time
	// SoleHolder is set if the attempt was granted to no other holder, so that the
	// task cannot have been sent to a worker before.
	SoleHolder bool
	// Settled is the recorded final answer; nil if there is none.
	Settled *lovagestand.Answer
}

// ClaimRequest requests the claim of a request's key.
type ClaimRequest struct {
	Request     lovagestand.Request
	Fingerprint uint64
	// Shard is where the request runs if the key has no claim yet.
	Shard lovagestand.ShardName
	// Idempotent is set if the request may be run again after a failure.
	Idempotent bool
	// Submitted is when the request reached this entry.
	Submitted time.Time
}

// Claims grants claims.
type Claims interface {
	// Claim returns the claim of a request's key and grants it first if the key
	// has none. It fails with a [KeyMismatchError], with an
	// [UnknownOutcomeError] if the request may run through another instance, or
	// with another error if it is guaranteed that nothing was granted.
	Claim(ctx context.Context, r ClaimRequest) (Claim, error)
	// Settle records the answer to a claimed request and returns the answer for
	// the caller. That answer is [lovagestand.OutcomeNotRun] only if no holder of
	// the claim can run the attempt any more.
	Settle(ctx context.Context, claim Claim, answer lovagestand.Answer) lovagestand.Answer
}

// Deps contains the dependencies of an [Entry].
type Deps struct {
	Routes    Routes
	Limiter   Limiter
	Chooser   Chooser
	Claims    Claims
	Ownership lovagestand.Ownership
	// Self is the instance that the entry belongs to.
	Self lovagestand.InstanceID
	// Shards returns all shards that have workers on the member list.
	Shards func() []lovagestand.ShardName
	// Peers returns the instances that are assumed to be live, including this
	// one.
	Peers func() []lovagestand.Instance
	// MaybePaused reports whether this process may have been paused recently. A
	// paused process receives requests long after they were sent.
	MaybePaused func() bool
	// Client sends the calls to other instances.
	Client *http.Client
	// Metrics counts answers and refusals; nil disables counting.
	Metrics *metrics.Metrics
	Log     zerolog.Logger
	// MaxHeldBytes bounds the bodies of the requests without a final answer, besides small
	// ones; 0 for no bound.
	MaxHeldBytes int64
}
