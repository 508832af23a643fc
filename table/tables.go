package table

import (
	"fmt"
	"slices"

	"lovagestand.example/lovagestand"
)

// Revision is the number of accepted changes of the tables, starting at 1. It is
// not the revision of the store key.
type Revision uint64

// Tables holds both tables at one revision. It is immutable, and its rows are
// sorted by name. Callers must not change the slices that its methods return.
type Tables struct {
	revision Revision
	routes   []Route
	pools    []Pool
	// byRoute and byPool are indexes into routes and pools.
	byRoute    map[lovagestand.RouteName]int
	byPool     map[lovagestand.PoolName]int
	poolByKey  map[poolKey]lovagestand.PoolName
	leaving    map[lovagestand.WorkerName]bool
	quotaSince quotaRevisions
}

// quotaRevisions holds, for each pool and team with a quota, the revision at which
// the team last received a quota after it had none. The writer of a change computes
// it, so that it is also exact in instances that have not seen every revision.
type quotaRevisions map[lovagestand.PoolName]map[lovagestand.TeamName]Revision

// poolKey is the runner and the region of a worker, which determine its pool.
type poolKey struct {
	runner string
	region lovagestand.RegionName
}

// New checks routes and pools together and returns tables of them. It fails with
// [document.Errors] if any rows are invalid.
func New(revision Revision, routes []Route, pools []Pool) (Tables, error) {
	noSources := &sources{routes: nil, pools: nil}
	errs := check(routes, pools, noSources)
	if err := errs.ErrorOrNil(); err != nil {
		return Tables{}, err
	}
	return build(revision, routes, pools), nil
}

// build returns tables of rows that have been checked.
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

// Revision returns the revision of the tables, or 0 if they were never accepted.
func (t Tables) Revision() Revision {
	return t.revision
}

// WithRevision returns a copy of t with another revision.
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

// Route returns the row of a route, and false if there is none.
func (t Tables) Route(name lovagestand.RouteName) (Route, bool) {
	i, found := t.byRoute[name]
	if !found {
		return Route{}, false
	}
	return t.routes[i], true
}

// Pool returns the row of a pool, and false if there is none.
func (t Tables) Pool(name lovagestand.PoolName) (Pool, bool) {
	i, found := t.byPool[name]
	if !found {
		return Pool{}, false
	}
	return t.pools[i], true
}

// PoolOf returns the pool that a worker belongs to, and false if it has none.
func (t Tables) PoolOf(w lovagestand.Worker) (lovagestand.PoolName, bool) {
	pool, found := t.poolByKey[poolKey{w.Runner, w.Region}]
	return pool, found
}

// LimitedSince returns the revision since which a team has had a quota in a pool
// without interruption, or 0 if it has none.
func (t Tables) LimitedSince(pool lovagestand.PoolName, team lovagestand.TeamName) Revision {
	return t.quotaSince[pool][team]
}

// withQuotaSince returns a copy of t at the given revision. Teams that already had a
// quota in the older tables keep the revision at which they received it.
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

// Leaving reports whether the tables list a worker as leaving. Such a worker is not
// given new tasks.
func (t Tables) Leaving(worker lovagestand.WorkerName) bool {
	return t.leaving[worker]
}

// Policy returns [Pool.Policy] of a pool, or the zero policy if there is no such
// pool.
func (t Tables) Policy(pool lovagestand.PoolName) lovagestand.PoolPolicy {
	p, found := t.Pool(pool)
	if !found {
		return lovagestand.PoolPolicy{}
	}
	return p.Policy()
}

// Admit returns the row of a route if its pool serves the team. Otherwise it fails
// with a [MissingRowError] or a [TeamNotListedError].
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

// CheckWaiting returns nil while a waiting task may continue to wait. If its route,
// its pool or the row of its team no longer exists, it returns a [MissingRowError]
// or a [TeamNotListedError], and the caller must be told that the task did not run.
// A change of the tables never ends a running task.
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

// MissingRowError is returned when the tables in force do not contain a row.
type MissingRowError struct {
	Table    Name
	Name     string
	Revision Revision
}

// Error implements error.
func (e *MissingRowError) Error() string {
	return fmt.Sprintf("%s: no row %q at revision %d", e.Table, e.Name, e.Revision)
}

// TeamNotListedError is returned when a pool lists teams and the team of a request
// is not one of them.
type TeamNotListedError struct {
	Pool     lovagestand.PoolName
	Team     lovagestand.TeamName
	Revision Revision
}

// Error implements error.
func (e *TeamNotListedError) Error() string {
	return fmt.Sprintf("pool %q does not list team %q at revision %d", e.Pool, e.Team, e.Revision)
}
