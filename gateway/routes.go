package gateway

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/credential"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/shard"
)

// watchWait is how long one watch of the configuration waits for a change. It is
// short because an unresponsive connection hides a new version until the watch times
// out, and a new version must be in force within seconds.
const watchWait = 900 * time.Millisecond

// watchesPerRevocationTimeout is how many watches of the configuration end within the
// revocation timeout while the store answers, so that one slow answer is no reason to
// reject keys.
const watchesPerRevocationTimeout = 4

// Routes follows the operator's configuration and holds the version that is in force,
// which is never replaced by an older one. It is safe for concurrent use.
type Routes struct {
	keys    lovagestand.Keyspace
	log     zerolog.Logger
	current atomic.Pointer[routing]
	// revocationTimeout is how long keys are accepted without a confirmation of the
	// version in force; 0 means for good.
	revocationTimeout time.Duration
	// confirmedAt is the last time at which the store held no newer version.
	confirmedAt atomic.Pointer[time.Time]
	// unconfirmed reports whether the last call with a key found the version not
	// confirmed. It is used to log the changes.
	unconfirmed atomic.Bool
}

// RoutesOption configures new [Routes].
type RoutesOption func(*Routes)

// WithRevocationTimeout makes the routes accept no key once the store has not confirmed
// the version in force for the given duration. Without this option the last version
// stays in force while the store is unavailable.
func WithRevocationTimeout(d time.Duration) RoutesOption {
	return func(r *Routes) { r.revocationTimeout = d }
}

// routing is one version of the configuration, with its routes by host, longest prefix
// first.
type routing struct {
	platform.Configuration
	byHost map[string][]platform.Route
	teams  shard.Teams
	// services holds the services of the routes.
	services shard.Services
}

// NewRoutes returns routes without a configuration. [Routes.Run] loads it.
func NewRoutes(keys lovagestand.Keyspace, log zerolog.Logger, options ...RoutesOption) *Routes {
	r := &Routes{keys: keys, log: log}
	for _, o := range options {
		o(r)
	}
	return r
}

// Run follows the configuration until ctx ends.
func (r *Routes) Run(ctx context.Context) {
	apply := func(items []lovagestand.Item, _ lovagestand.Revision) {
		for _, i := range items {
			r.apply(i)
		}
	}
	wait := watchWait
	if r.revocationTimeout > 0 {
		wait = min(wait, r.revocationTimeout/watchesPerRevocationTimeout)
	}
	election.Follower{
		Keys: r.keys, Prefix: platform.ConfigurationKey, Wait: wait, Log: r.log, Reset: apply, Apply: apply,
		OnConfirmed: func(at time.Time) { r.confirmedAt.Store(&at) },
	}.Run(ctx)
}

// confirmed reports whether keys of the version in force may still be accepted.
func (r *Routes) confirmed() bool {
	if r.revocationTimeout == 0 {
		return true
	}
	at := r.confirmedAt.Load()
	ok := at != nil && time.Since(*at) <= r.revocationTimeout
	switch changed := r.unconfirmed.Swap(!ok) == ok; {
	case changed && ok:
		r.log.Info().Msg("store confirms the configuration again; keys are accepted")
	case changed:
		r.log.Warn().Dur("timeout", r.revocationTimeout).Msg("store has not confirmed the configuration for too long; keys are rejected")
	}
	return ok
}

// apply puts a version in force unless it cannot be decoded or is not newer than the
// one in force.
func (r *Routes) apply(i lovagestand.Item) {
	if i.Key != platform.ConfigurationKey || i.Deleted {
		return
	}
	c, err := platform.DecodeConfiguration(i.Value)
	if err != nil {
		r.log.Error().Err(err).Uint64("revision", uint64(i.Revision)).Msg("configuration is invalid; the previous version stays in force")
		return
	}
	previous := r.current.Load()
	if previous != nil && previous.Version >= c.Version {
		return
	}
	r.current.Store(newRouting(c))
	r.log.Info().Int64("version", c.Version).Int("routes", len(c.Routes)).Msg("configuration in force")
}

func newRouting(c platform.Configuration) *routing {
	n := &routing{
		Configuration: c, byHost: map[string][]platform.Route{},
		teams: shard.Teams{Version: c.Version, Enabled: c.Teams != nil, Policies: map[lovagestand.TeamName]lovagestand.TeamPolicy{}},
	}
	for _, t := range c.Teams {
		n.teams.Policies[t.Policy.Team] = t.Policy
	}
	n.services = shard.Services{Version: c.Version, ByRoute: map[lovagestand.RouteName]string{}, MaxConnections: c.MaxConnections}
	for _, route := range c.Routes {
		n.services.ByRoute[route.Policy.Route] = route.Policy.Service
		n.byHost[route.Host] = append(n.byHost[route.Host], route)
	}
	for _, routes := range n.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return n
}

// Loaded reports whether any version is in force.
func (r *Routes) Loaded() bool {
	return r.current.Load() != nil
}

// Teams returns the policies of the teams in force. It returns false if no version is
// in force.
func (r *Routes) Teams() (shard.Teams, bool) {
	current := r.current.Load()
	if current == nil {
		return shard.Teams{}, false
	}
	return current.teams, true
}

// Services returns the services of the routes in force. It returns false if no version is in
// force.
func (r *Routes) Services() (shard.Services, bool) {
	current := r.current.Load()
	if current == nil {
		return shard.Services{}, false
	}
	return current.services, true
}

// authenticate returns the team whose key a call contains. The team is empty if the call
// needs no key.
func (r *Routes) authenticate(n *routing, route platform.Route, header http.Header) (lovagestand.TeamName, credential.Rejection) {
	if !n.teams.Enabled || route.Public {
		return "", credential.NotRejected
	}
	key, rejection := platform.KeyFrom(header)
	if rejection != credential.NotRejected {
		return "", rejection
	}
	if !r.confirmed() {
		return "", credential.RejectionUnconfirmed
	}
	team, ok := n.Keys.Team(key)
	if !ok {
		return "", credential.RejectionUnknown
	}
	return team, credential.NotRejected
}

// find returns the route that matches a host and path, and the rest of the path after
// its prefix.
func (n *routing) find(host, path string) (platform.Route, string, bool) {
	host, _, _ = strings.Cut(host, ":")
	for _, route := range n.byHost[host] {
		if rest, ok := strings.CutPrefix(path, route.Prefix); ok {
			return route, rest, true
		}
	}
	return platform.Route{}, "", false
}
