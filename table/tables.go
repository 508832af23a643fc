package table

import (
	"fmt"
	"slices"

	"lovagestand.example/lovagestand"
)

// Revision counts the accepted changes of the tables, from 1. It is not the
// revision of the store's key.
type Revision uint64

// Tables are both tables at one revision. They are immutable and their rows
// are sorted by name; callers must not change the slices they get.
type Tables struct {
	revision   Revision
	routes     []Route
	pools      []Pool
	byRoute    map[lovagestand.RouteName]int
	byPool     map[lovagestand.PoolName]int
	poolByKey  map[poolKey]lovagestand.PoolName
	leaving    map[lovagestand.WorkerName]bool
	quotaSince quotaRevisions
}

// quotaRevisions holds by pool and team at which revision the team last came
// to have a quota where it had none. Accepting a change sets it, so that it is
// exact also for instances that did not see every revision.
type quotaRevisions map[lovagestand.PoolName]map[lovagestand.TeamName]Revision

// poolKey is what places a worker in a pool.
type poolKey struct {
	runner string
	region lovagestand.RegionName
}

// New returns tables of rows that are checked together. It fails with
// [document.Errors] that name the rows at fault.
func New(revision Revision, routes []Route, pools []Pool) (Tables, error) {
	noSources := &sources{routes: nil, pools: nil}
	errs := check(routes, pools, noSources)
	if err := errs.ErrorOrNil(); err != nil {
		return Tables{}, err
	}
	return build(revision, routes, pools), nil
}

// build indexes rows that are known to be sound.
func build(revision Revision, routes []Route, pools []Pool) Tables {
	t := Tables{
		revision:  revision,
		routes:    slices.Clone(routes),
		pools:     slices.Clone(pools),
		byRoute:   make(map[lovagestand.RouteName]int, len(routes)),
		byPool:    make(map[lovagestand.PoolName]int, len(pools)),
		poolByKey: map[poolKey]lovagestand.PoolName{},
		leaving:   map[lovagestand.WorkerName]bool{},
	}
	slices.SortFunc(t.routes, func(a, b Route) int { return compare(a.Name, b.Name) })
	slices.SortFunc(t.pools, func(a, b Pool) int { return compare(a.Name, b.Name) })
	for i, r := range t.routes {
		t.byRoute[r.Name] = i
	}
	for i, p := range t.pools {
		t.pools[i] = p.WithTeams(p.Teams...)
		t.byPool[p.Name] = i
		t.indexPool(p)
	}
	return t
}

func (t Tables) indexPool(p Pool) {
	for _, region := range p.Regions {
		t.poolByKey[poolKey{p.Runner, region}] = p.Name
	}
	for _, worker := range p.Leaving {
		t.leaving[worker] = true
	}
}

// Revision returns the revision; 0 for tables that were never accepted.
func (t Tables) Revision() Revision {
	return t.revision
}

// WithRevision returns a copy of t at a revision.
func (t Tables) WithRevision(revision Revision) Tables {
	t.revision = revision
	return t
}

// Routes returns all routes, sorted by name.
func (t Tables) Routes() []Route {
	return t.routes
}

// Pools returns all pools, sorted by name.
func (t Tables) Pools() []Pool {
	return t.pools
}

// Route returns the row of a route.
func (t Tables) Route(name lovagestand.RouteName) (Route, bool) {
	i, found := t.byRoute[name]
	if !found {
		return Route{}, false
	}
	return t.routes[i], true
}

// Pool returns the row of a pool.
func (t Tables) Pool(name lovagestand.PoolName) (Pool, bool) {
	i, found := t.byPool[name]
	if !found {
		return Pool{}, false
	}
	return t.pools[i], true
}

// PoolOf returns the pool that a worker belongs to; false if it has none.
func (t Tables) PoolOf(w lovagestand.Worker) (lovagestand.PoolName, bool) {
	pool, found := t.poolByKey[poolKey{w.Runner, w.Region}]
	return pool, found
}

// LimitedSince returns the revision from which on a team has had a quota in a
// pool without a break; 0 if it has none.
func (t Tables) LimitedSince(pool lovagestand.PoolName, team lovagestand.TeamName) Revision {
	return t.quotaSince[pool][team]
}

// withQuotaSince returns tables that follow older ones at a revision.
func (t Tables) withQuotaSince(older Tables, revision Revision) Tables {
	t.revision = revision
	t.quotaSince = quotaRevisions{}
	for _, p := range t.pools {
		teams := map[lovagestand.TeamName]Revision{}
		for _, team := range p.Teams {
			if p.Quota(team) == nil {
				continue
			}
			teams[team.Name] = revision
			if since := older.LimitedSince(p.Name, team.Name); since > 0 {
				teams[team.Name] = since
			}
		}
		t.quotaSince[p.Name] = teams
	}
	return t
}

// Leaving reports whether the operators take a worker out of use.
func (t Tables) Leaving(worker lovagestand.WorkerName) bool {
	return t.leaving[worker]
}

// Policy returns what a decider must know of a pool, with the quotas of the
// whole pool; the zero policy for an unknown pool.
func (t Tables) Policy(pool lovagestand.PoolName) lovagestand.PoolPolicy {
	p, found := t.Pool(pool)
	if !found {
		return lovagestand.PoolPolicy{}
	}
	return p.Policy()
}

// Admit returns the route that takes a request of a team, or why none does:
// a [GoneError] or a [TeamError].
func (t Tables) Admit(route lovagestand.RouteName, team lovagestand.TeamName) (Route, error) {
	r, found := t.Route(route)
	if !found {
		return Route{}, &MissingRowError{Table: RoutesTable, Name: string(route), Revision: t.revision}
	}
	if p, _ := t.Pool(r.Pool); !p.Serves(team) {
		return Route{}, &TeamNotListedError{Pool: r.Pool, Team: team, Revision: t.revision}
	}
	return r, nil
}

// CheckWaiting returns nil while a waiting task may go on waiting. Where its route,
// its pool or its team's row is gone, it returns a [GoneError] or a
// [TeamError]; the task is then to be answered as not run. Running tasks are
// never ended by a change of the tables.
func (t Tables) CheckWaiting(task lovagestand.Task) error {
	if _, found := t.Route(task.Route); !found {
		return &MissingRowError{Table: RoutesTable, Name: string(task.Route), Revision: t.revision}
	}
	p, found := t.Pool(task.Pool)
	if !found {
		return &MissingRowError{Table: PoolsTable, Name: string(task.Pool), Revision: t.revision}
	}
	if !p.Serves(task.Team) {
		return &TeamNotListedError{Pool: p.Name, Team: task.Team, Revision: t.revision}
	}
	return nil
}

// MissingRowError says that a row is not in the tables in force.
type MissingRowError struct {
	Table    Name
	Name     string
	Revision Revision
}

// Error implements error.
func (e *MissingRowError) Error() string {
	return fmt.Sprintf("%s: no row %q at revision %d", e.Table, e.Name, e.Revision)
}

// TeamNotListedError says that a pool lists teams and a team is not among them.
type TeamNotListedError struct {
	Pool     lovagestand.PoolName
	Team     lovagestand.TeamName
	Revision Revision
}

// Error implements error.
func (e *TeamNotListedError) Error() string {
	return fmt.Sprintf("pool %q does not list team %q at revision %d", e.Pool, e.Team, e.Revision)
}
