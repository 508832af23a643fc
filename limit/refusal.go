package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
)

// logInterval is the minimum time between log lines about one limit of one
// route.
const logInterval = time.Second

// RefusalCount is the number of requests that one limit of one route refused.
type RefusalCount struct {
	Kind  Kind                  `json:"kind"`
	Route lovagestand.RouteName `json:"route"`
	Count uint64                `json:"count"`
	// LastTeam is the team of the last refused request, refused at LastAt.
	LastTeam lovagestand.TeamName `json:"lastTeam"`
	LastAt   time.Time            `json:"lastAt"`
}

type refusalKey struct {
	kind  Kind
	route lovagestand.RouteName
}

// refusals counts refused requests by limit and route. The map is bounded,
// because only routes of the tables are counted.
type refusals struct {
	counts map[refusalKey]*refusalCounter
}

type refusalCounter struct {
	RefusalCount
	lastLogged time.Time
	unlogged   uint64
}

func (r *refusals) add(e *Error, now time.Time, log zerolog.Logger) {
	if r.counts == nil {
		r.counts = map[refusalKey]*refusalCounter{}
	}
	key := refusalKey{e.Kind, e.Route}
	c := r.counts[key]
	if c == nil {
		c = &refusalCounter{RefusalCount: RefusalCount{Kind: e.Kind, Route: e.Route}}
		r.counts[key] = c
	}
	c.Count++
	c.unlogged++
	c.LastTeam, c.LastAt = e.Team, now
	if now.Sub(c.lastLogged) < logInterval {
		return
	}
	log.Warn().Str("limit", string(e.Kind)).Str("route", string(e.Route)).Str("team", string(e.Team)).
		Str("class", string(e.Class)).Uint64("refused", c.unlogged).Dur("retryAfterMs", e.RetryAfter).Msg("limited")
	c.lastLogged, c.unlogged = now, 0
}

func (r *refusals) list() []RefusalCount {
	list := make([]RefusalCount, 0, len(r.counts))
	for _, c := range r.counts {
		list = append(list, c.RefusalCount)
	}
	slices.SortFunc(list, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Route, b.Route))
	})
	return list
}
