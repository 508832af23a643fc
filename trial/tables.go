package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/report"
	"lovagestand.example/lovagestand/table"
)

const (
	// editCount is the number of edits in a trial apart from concurrent ones.
	editCount = 4
	// editTimeout bounds one round of edits.
	editTimeout = 5 * time.Second
	// raceInterval is the time between rounds of concurrent edits.
	raceInterval = 300 * time.Millisecond
)

// tablesWriter simulates operators who edit the tables. It checks that accepted
// changes come into force in all instances and stay in force.
type tablesWriter struct {
	trial *Trial
	// checking serializes the polls of the instances, so that the auditor receives
	// revisions in the order in which they were read.
	checking sync.Mutex

	mutex sync.Mutex
	// accepted holds the last accepted change of each edited route.
	accepted map[lovagestand.RouteName]acceptedChange
	newest   table.Revision
	// newestSince is when the newest revision was accepted; zero once it is in
	// force in all instances.
	newestSince time.Time
	// slowest is the longest time until a revision was in force in all instances.
	slowest       time.Duration
	acceptedCount int
	refusedCount  int
	editNumber    int
}

// acceptedChange is a change of one route's description.
type acceptedChange struct {
	revision    table.Revision
	description string
	// mayBeOverwritten is set once an edit of the route has failed with an unknown
	// outcome, so that it may be in force instead of this change.
	mayBeOverwritten bool
}

func newTablesWriter(t *Trial) *tablesWriter {
	return &tablesWriter{trial: t, accepted: map[lovagestand.RouteName]acceptedChange{}}
}

// applyInitial stores the initial tables.
func (w *tablesWriter) applyInitial(ctx context.Context) error {
	e := table.Edit{Tables: w.trial.config.Tables, Writer: "trial"}
	_, err := table.NewApplier(w.trial.store).Apply(ctx, e)
	return errors.Wrap(err, "apply the initial tables")
}

// editUntilDone edits the tables at even intervals until ctx ends.
func (w *tablesWriter) editUntilDone(ctx context.Context) {
	for pause.For(ctx, w.trial.config.Duration/(editCount+1)) {
		w.editConcurrently(ctx, 1)
	}
}

// editConcurrently makes several operators edit the same revision concurrently.
// The n-th operator edits the n-th route, starting over after the last one, so
// that with more operators than routes some edit the same row.
func (w *tablesWriter) editConcurrently(ctx context.Context, operators int) {
	editCtx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	record, _, err := table.Load(editCtx, w.trial.store)
	if err != nil {
		return
	}
	var all sync.WaitGroup
	for n := range operators {
		w.mutex.Lock()
		w.editNumber++
		text := fmt.Sprintf("Edit %d of the trial.", w.editNumber)
		w.mutex.Unlock()
		all.Go(func() { w.apply(editCtx, record.Tables, n, text) })
	}
	all.Wait()
}

// apply changes the description of the n-th route.
func (w *tablesWriter) apply(ctx context.Context, base table.Tables, n int, text string) {
	routes := append([]table.Route(nil), base.Routes()...)
	route := &routes[n%len(routes)]
	route.Description = text
	edited, err := table.New(base.Revision(), routes, base.Pools())
	if err != nil {
		w.trial.addNote("edit of the tables: " + err.Error())
		return
	}
	result, err := table.NewApplier(w.trial.store).Apply(ctx, table.Edit{
		Tables: edited, Base: base.Revision(), Writer: fmt.Sprintf("operator %d", n), Message: text,
	})
	w.recordEdit(route.Name, text, result, err)
}

// recordEdit records the result of an edit.
func (w *tablesWriter) recordEdit(route lovagestand.RouteName, text string, result table.Result, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	change := w.accepted[route]
	if err != nil {
		w.refusedCount++
		var conflict *table.ConflictError
		change.mayBeOverwritten = change.mayBeOverwritten || !errors.As(err, &conflict)
		w.accepted[route] = change
		return
	}
	w.acceptedCount++
	if result.Revision > change.revision {
		w.accepted[route] = acceptedChange{revision: result.Revision, description: text, mayBeOverwritten: change.mayBeOverwritten}
	}
	if result.Revision > w.newest {
		w.newest, w.newestSince = result.Revision, time.Now()
	}
}

// pollRevisions checks which revision is in force in each instance until ctx ends.
func (w *tablesWriter) pollRevisions(ctx context.Context) {
	for pause.For(ctx, pollInterval) {
		w.checkRevisions()
	}
}

// checkRevisions passes the revisions of the instances that are up to the auditor
// and reports whether all of them have at least the newest one accepted.
func (w *tablesWriter) checkRevisions() bool {
	w.checking.Lock()
	defer w.checking.Unlock()
	everywhere := true
	w.mutex.Lock()
	newest := w.newest
	w.mutex.Unlock()
	for _, n := range w.trial.nodesIn(nodeUp) {
		r := n.instance.Revision()
		w.trial.recorder.InForce(time.Now(), n.name, lovagestand.Revision(r))
		everywhere = everywhere && r >= newest
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if everywhere && newest == w.newest && !w.newestSince.IsZero() {
		w.slowest = max(w.slowest, time.Since(w.newestSince))
		w.newestSince = time.Time{}
	}
	return everywhere
}

// awaitInForce waits until the last tables are in force in all instances and checks
// that they contain every accepted change.
func (w *tablesWriter) awaitInForce(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for !w.checkRevisions() {
		if !pause.For(waitCtx, pollInterval) {
			w.recordStaleInstances()
			break
		}
	}
	record, _, err := table.Load(ctx, w.trial.store)
	if err != nil {
		w.trial.addNote("the tables could not be read at the end: " + err.Error())
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for name, a := range w.accepted {
		route, found := record.Tables.Route(name)
		if a.mayBeOverwritten || a.revision == 0 || found && route.Description == a.description {
			continue
		}
		w.trial.recorder.ChangeLost(time.Now(), "", fmt.Sprintf("route %s, revision %d: %s", name, a.revision, a.description))
	}
}

// recordStaleInstances records a violation for each instance in which the newest
// tables are not in force.
func (w *tablesWriter) recordStaleInstances() {
	w.mutex.Lock()
	newest := w.newest
	w.mutex.Unlock()
	for _, n := range w.trial.nodesIn(nodeUp) {
		if r := n.instance.Revision(); r < newest {
			w.trial.recorder.ChangeLost(time.Now(), n.name, fmt.Sprintf("revision %d is in force, not %d", r, newest))
		}
	}
}

// setTotals sets the totals of the edits.
func (w *tablesWriter) setTotals(totals *report.Totals) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	totals.TablesAccepted, totals.TablesRefused = w.acceptedCount, w.refusedCount
	totals.TablesSlowestMillis = float64(w.slowest.Milliseconds())
}
