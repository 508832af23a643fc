package limit

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
)

const (
	// DefaultInFlight is how many unanswered requests an instance holds.
	DefaultInFlight = 8192
	// MaxTeams bounds the team limits remembered; further teams of a route
	// share one until others are idle.
	MaxTeams = 4096
)

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	mu              sync.Mutex
	now             func() time.Time
	log             zerolog.Logger
	capacity        int
	tables          table.Tables
	share           Share
	inFlight        int
	overloadRetries retrySchedule
	routes          map[lovagestand.RouteName]*gate
	teams           map[teamKey]*gate
	lastIdleScan    time.Time
	refusals        refusals
}

// teamKey names a team on a route. The empty team stands for all teams that
// find no room.
type teamKey struct {
	route lovagestand.RouteName
	team  lovagestand.TeamName
}

// Option changes a [Limiter] under construction.
type Option func(*Limiter)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(l *Limiter) { l.now = now }
}

// WithInFlight sets how many unanswered requests the instance holds.
func WithInFlight(n int) Option {
	return func(l *Limiter) { l.capacity = n }
}

// WithLogger sets where refusals are logged.
func WithLogger(log zerolog.Logger) Option {
	return func(l *Limiter) { l.log = log }
}

// New returns a limiter that knows no routes before [Limiter.SetTables].
func New(options ...Option) *Limiter {
	l := &Limiter{
		now:      time.Now,
		log:      zerolog.Nop(),
		capacity: DefaultInFlight,
		share:    Share{Live: 1},
		routes:   map[lovagestand.RouteName]*gate{},
		teams:    map[teamKey]*gate{},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// SetTables brings other tables into force, unless newer ones are already.
// Requests in flight stay counted.
func (l *Limiter) SetTables(tables table.Tables) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tables.Revision() < l.tables.Revision() {
		return
	}
	l.tables = tables
	l.applyBounds()
}

// SetShare sets the instance's share of the limits.
func (l *Limiter) SetShare(share Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if share != l.share {
		l.share = share
		l.applyBounds()
	}
}

// applyBounds gives every gate its bounds and drops those of routes that are gone.
func (l *Limiter) applyBounds() {
	now := l.now()
	for name, g := range l.routes {
		if r, found := l.tables.Route(name); found {
			g.setBounds(l.routeBounds(r.Limits), now)
		} else {
			delete(l.routes, name)
		}
	}
	for key, g := range l.teams {
		if r, found := l.tables.Route(key.route); found {
			g.setBounds(l.teamBounds(r.Limits), now)
		} else {
			delete(l.teams, key)
		}
	}
}

func (l *Limiter) routeBounds(limits table.Limits) bounds {
	burst := limits.Burst
	if burst == 0 {
		burst = int(limits.RatePerSecond)
	}
	return bounds{
		rate: l.share.rate(limits.RatePerSecond), burst: l.share.burst(burst),
		limited: limits.Concurrent > 0, concurrent: l.share.count(limits.Concurrent),
	}
}

func (l *Limiter) teamBounds(limits table.Limits) bounds {
	return bounds{
		rate: l.share.rate(limits.TeamRatePerSecond), burst: l.share.burst(int(limits.TeamRatePerSecond)),
		limited: limits.TeamConcurrent > 0, concurrent: l.share.count(limits.TeamConcurrent),
	}
}

// Admit lets a request of a route in and returns what to call once it is
// answered, or fails with an [Error], a [table.GoneError] or a
// [table.TeamError]. Calling release again has no effect.
func (l *Limiter) Admit(route lovagestand.RouteName, team lovagestand.TeamName) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, err := l.tables.Admit(route, team)
	if err != nil {
		return nil, err
	}
	now := l.now()
	routeGate := l.gateForRoute(r)
	teamGate := l.gateForTeam(r, team, now)
	if kind, after := l.checkLimits(r.Class, routeGate, teamGate, now); kind != "" {
		refusal := &Error{Kind: kind, Route: route, Team: team, Class: r.Class, RetryAfter: after}
		l.refusals.add(refusal, now, l.log)
		return nil, refusal
	}
	l.inFlight++
	routeGate.admit(now)
	if teamGate != nil {
		teamGate.admit(now)
	}
	return sync.OnceFunc(func() { l.releaseRequest(routeGate, teamGate) }), nil
}

func (l *Limiter) releaseRequest(routeGate, teamGate *gate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.inFlight--
	l.overloadRetries.answered(now)
	routeGate.release(now)
	if teamGate != nil {
		teamGate.release(now)
	}
}

// checkLimits returns which limit keeps a request out and when to come back; the
// empty kind lets it in.
func (l *Limiter) checkLimits(class lovagestand.Class, routeGate, teamGate *gate, now time.Time) (Kind, time.Duration) {
	switch {
	case l.inFlight >= classCapacity(class, l.capacity):
		return Overload, l.overloadRetries.next(now, l.overloadRetries.rate)
	case teamGate != nil && teamGate.atCapacity():
		return TeamConcurrent, teamGate.retrySchedule.next(now, teamGate.retrySchedule.rate)
	case teamGate != nil && teamGate.outOfTokens(now):
		return TeamRate, teamGate.retrySchedule.next(now, teamGate.bounds.rate)
	case routeGate.atCapacity():
		return RouteConcurrent, routeGate.retrySchedule.next(now, routeGate.retrySchedule.rate)
	case routeGate.outOfTokens(now):
		return RouteRate, routeGate.retrySchedule.next(now, routeGate.bounds.rate)
	default:
		return "", 0
	}
}

// classCapacity is how many unanswered requests there may be for a class to be let in:
// the lower the class, the earlier it is kept out.
func classCapacity(class lovagestand.Class, capacity int) int {
	const urgent, service, gang, batch = 100, 80, 70, 60 // percent
	percent := batch
	switch class {
	case lovagestand.ClassUrgent:
		percent = urgent
	case lovagestand.ClassService:
		percent = service
	case lovagestand.ClassGang:
		percent = gang
	}
	return capacity * percent / 100
}

// InFlight returns how many requests were let in and not released.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Refusals returns how many requests were refused, by limit and route.
func (l *Limiter) Refusals() []RefusalCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusals.list()
}
