package limit

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
)

const (
	// DefaultInFlight is the default maximum of unanswered requests per
	// instance.
	DefaultInFlight = 8192
	// MaxTeams is the number of team gates at which idle gates are removed to
	// make room for a new one. If none is idle, further teams of a route share
	// one gate.
	MaxTeams = 4096
)

// Limiter admits or refuses requests. It is safe for concurrent use.
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

// teamKey identifies a team on a route. The empty team stands for all teams
// that have no gate of their own because MaxTeams is reached.
type teamKey struct {
	route lovagestand.RouteName
	team  lovagestand.TeamName
}

// Option configures a [Limiter].
type Option func(*Limiter)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(l *Limiter) { l.now = now }
}

// WithInFlight sets the maximum number of unanswered requests in the instance.
func WithInFlight(n int) Option {
	return func(l *Limiter) { l.capacity = n }
}

// WithLogger sets the logger for refusals.
func WithLogger(log zerolog.Logger) Option {
	return func(l *Limiter) { l.log = log }
}

// New returns a limiter that has no routes until [Limiter.SetTables] is called.
func New(options ...Option) *Limiter {
	l := &Limiter{
		now:      time.Now,
		log:      zerolog.Nop(),
		capacity: DefaultInFlight,
		share:    Share{LiveInstances: 1},
		routes:   map[lovagestand.RouteName]*gate{},
		teams:    map[teamKey]*gate{},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// SetTables applies the limits of tables, unless those in force have a higher
// revision. Requests in flight remain counted.
func (l *Limiter) SetTables(tables table.Tables) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tables.Revision() < l.tables.Revision() {
		return
	}
	l.tables = tables
	l.applyBounds()
}

// SetShare sets the share of the limits that this instance enforces.
func (l *Limiter) SetShare(share Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if share != l.share {
		l.share = share
		l.applyBounds()
	}
}

// applyBounds updates the bounds of every gate and removes the gates of routes
// that are no longer in the tables.
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

// Admit admits a request of a route. The caller must call release once the
// request is answered; further calls of release have no effect. Admit fails
// with an [Error], a [table.MissingRowError] or a [table.TeamNotListedError].
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

// checkLimits returns the limit that refuses a request and the time to wait
// before retrying. The kind is empty if the request may be admitted.
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

// classCapacity returns the number of unanswered requests at which requests of
// a class are refused. The lower the class, the smaller the number.
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

// InFlight returns the number of requests that were admitted and not released.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Refusals returns the number of refused requests by limit and route.
func (l *Limiter) Refusals() []RefusalCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusals.list()
}
