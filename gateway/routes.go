package gateway

import (
	"context"
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

// Routes follows the operator's configuration and holds the version that is in force,
// which is never replaced by an older one. It is safe for concurrent use.
type Routes struct {
	keys    lovagestand.Keyspace
	log     zerolog.Logger
	current atomic.Pointer[routing]
}

// routing is one version of the configuration, with its routes by host, longest prefix
// first.
type routing struct {
	platform.Configuration
	byHost map[string][]platform.Route
	keys   map[credential.Digest]lovagestand.TeamName
	teams  shard.Teams
}

// NewRoutes returns routes without a configuration. [Routes.Run] loads it.
func NewRoutes(keys lovagestand.Keyspace, log zerolog.Logger) *Routes {
	return &Routes{keys: keys, log: log}
}

// Run follows the configuration until ctx ends.
func (r *Routes) Run(ctx context.Context) {
	apply := func(items []lovagestand.Item, _ lovagestand.Revision) {
		for _, i := range items {
			r.apply(i)
		}
	}
	election.Follower{Keys: r.keys, Prefix: platform.ConfigurationKey, Wait: watchWait, Log: r.log, Reset: apply, Apply: apply}.Run(ctx)
}

// apply puts a version in force unless it cannot be decoded or is not newer than the
// one in force.
func (r *Routes) apply(i lovagestand.Item) {
	if i.Key != platform.ConfigurationKey || i.Deleted {
		return
	}
	c, err := platform.DecodeConfiguration(i.Value)
	if err != nil {
		r.log.Error().Err(err).Uint64("revision", uint64(i.Revision)).Msg("configuration cannot be decoded; the previous version stays in force")
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
		Configuration: c, byHost: map[string][]platform.Route{}, keys: map[credential.Digest]lovagestand.TeamName{},
		teams: shard.Teams{Version: c.Version, Enabled: c.Teams != nil, Policies: map[lovagestand.TeamName]lovagestand.TeamPolicy{}},
	}
	for _, t := range c.Teams {
		n.teams.Policies[t.Policy.Team] = t.Policy
		for _, k := range t.Keys {
			n.keys[k] = t.Policy.Team
		}
	}
	for _, route := range c.Routes {
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

// authenticate returns the team of a caller by the value of the Authorization header. It
// returns false if the route requires a key and the key is not known.
func (n *routing) authenticate(route platform.Route, header string) (lovagestand.TeamName, bool) {
	if !n.teams.Enabled || route.Public {
		return "", true
	}
	key, ok := strings.CutPrefix(header, platform.KeyScheme+" ")
	if !ok {
		return "", false
	}
	team, ok := n.keys[credential.DigestOf(key)]
	return team, ok
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
