package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/metrics"
)

// Route is what an entry needs of a row of the routes table.
type Route struct {
	Name        lovagestand.RouteName
	Pool        lovagestand.PoolName
	Class       lovagestand.Class
	Idempotent  bool
	Exclusive   bool
	Checkpoints bool
	// Resources is what a request takes that declares nothing.
	Resources lovagestand.Resources
	// Tasks is how many tasks a request has that declares nothing.
	Tasks int
	// StartWithin is the time to start of a request that declares none.
	StartWithin time.Duration
	RunTime     time.Duration
}

// NeedsClaim reports whether requests of the route take a claim before they may
// start.
func (r Route) NeedsClaim() bool {
	return !r.Idempotent || r.Exclusive
}

// Routes is the routes table in force.
type Routes interface {
	// Ready reports whether any table is in force.
	Ready() bool
	// Route returns a row of the table.
	Route(name lovagestand.RouteName) (Route, bool)
}

// Limiter admits requests or refuses them with a [LimitedError].
type Limiter interface {
	// Admit counts a request in; release counts it out again.
	Admit(route Route, team lovagestand.TeamName) (release func(), err error)
}

// Target is a shard that may run a request.
type Target struct {
	Shard lovagestand.ShardName
	// Reason says in words why it was chosen.
	Reason string
}

// Chooser chooses among the shards that serve a pool.
type Chooser interface {
	// Choose returns a shard for a task, leaving out those in tried. It fails
	// with a [lovagestand.InfeasibleError] where no shard can ever hold the task,
	// and with a [NoTargetError] where there is none to try now.
	Choose(task lovagestand.Task, bodyBytes int, tried []lovagestand.ShardName) (Target, error)
}

// Claim is the permission to run one attempt at a claimed request.
type Claim struct {
	// ID names the holder of the claim.
	ID    string
	Task  lovagestand.TaskID
	Shard lovagestand.ShardName
	// Created is when the claim was granted first, here or elsewhere.
	Created time.Time
	// StartBy is when the attempt must have started.
	StartBy time.Time
	// Fresh says that nobody else had been given the attempt, so that nobody
	// can have sent the task to a worker before.
	Fresh bool
	// Settled is the final answer that is known already, if any.
	Settled *lovagestand.Answer
}

// ClaimRequest asks for the claim of a request's key.
type ClaimRequest struct {
	Request     lovagestand.Request
	Fingerprint uint64
	// Shard is where the request is to run if the key is new.
	Shard lovagestand.ShardName
	// Idempotent says that the request may be tried again if it failed.
	Idempotent bool
	// Submitted is when the request reached this entry.
	Submitted time.Time
}

// Claims grants claims.
type Claims interface {
	// Claim returns the claim of a request's key, granting one if it has none.
	// It fails with a [KeyMismatchError], with a [UnknownOutcomeError] where the request
	// may run through another instance, and else surely grants nothing.
	Claim(ctx context.Context, r ClaimRequest) (Claim, error)
	// Settle records the answer to a claimed request and returns the one to
	// give: not run only if nobody can run the attempt any more.
	Settle(ctx context.Context, claim Claim, answer lovagestand.Answer) lovagestand.Answer
}

// Deps are the things an [Entry] works with.
type Deps struct {
	Routes    Routes
	Limiter   Limiter
	Chooser   Chooser
	Claims    Claims
	Ownership lovagestand.Ownership
	// Self is the instance this entry belongs to.
	Self lovagestand.InstanceID
	// Shards returns all shards of workers on the member list.
	Shards func() []lovagestand.ShardName
	// Peers returns the instances that are believed to be live.
	Peers func() []lovagestand.Instance
	// Unsteady reports whether the instance may have been paused lately, so
	// that requests may reach it long after they were sent.
	Unsteady func() bool
	// Client carries the calls to owners.
	Client *http.Client
	// Metrics counts answers and refusals; nil counts for nobody.
	Metrics *metrics.Metrics
	Log     zerolog.Logger
}
