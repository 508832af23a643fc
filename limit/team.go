package limit

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/table"
)

// idleScanInterval is the minimum time between searches for idle team gates.
const idleScanInterval = time.Second

func (l *Limiter) gateForRoute(r table.Route) *gate {
	g := l.routes[r.Name]
	if g == nil {
		g = newGate(l.routeBounds(r.Limits))
		l.routes[r.Name] = g
	}
	return g
}

// gateForTeam returns the gate of a team on a route, or nil if the route has no
// team limits.
func (l *Limiter) gateForTeam(r table.Route, team lovagestand.TeamName, now time.Time) *gate {
	if r.Limits.TeamRatePerSecond == 0 && r.Limits.TeamConcurrent == 0 {
		return nil
	}
	key := teamKey{r.Name, team}
	if g := l.teams[key]; g != nil {
		return g
	}
	if len(l.teams) >= MaxTeams {
		l.removeIdleTeams(now)
	}
	if len(l.teams) >= MaxTeams {
		key.team = ""
		if g := l.teams[key]; g != nil {
			return g
		}
	}
	g := newGate(l.teamBounds(r.Limits))
	l.teams[key] = g
	return g
}

// removeIdleTeams removes the idle team gates, see [gate.idle]. It searches at
// most once per idleScanInterval.
func (l *Limiter) removeIdleTeams(now time.Time) {
	if now.Sub(l.lastIdleScan) < idleScanInterval {
		return
	}
	l.lastIdleScan = now
	for key, g := range l.teams {
		if g.idle(now) {
			delete(l.teams, key)
		}
	}
}
