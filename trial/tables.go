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
	// edits is how often the tables are edited in a trial besides races.
	edits = 4
	// editTimeout bounds one edit.
	editTimeout = 5 * time.Second
	// raceEvery is the time between races for the tables.
	raceEvery = 300 * time.Millisecond
)

// tablesWriter plays the operators: it edits the tables, and checks that what
// was accepted comes into force everywhere and stays.
type tablesWriter struct {
	trial *Trial
	// looking lets one look at the instances end before the next begins, so
	// that revisions are judged in the order in which they were read.
	looking sync.Mutex

	mutex sync.Mutex
	// accepted has, for each route edited, the last change accepted.
	accepted map[lovagestand.RouteName]accepted
	newest   table.Revision
	since    time.Time
	slowest  time.Duration
	count    int
	refused  int
	drawn    int
}

// accepted is a change of one route's description.
type accepted struct {
	revision    table.Revision
	description string
	// unsure says that a later edit got no answer and may be in force.
	unsure bool
}

func newTablesWriter(t *Trial) *tablesWriter {
	return &tablesWriter{trial: t, accepted: map[lovagestand.RouteName]accepted{}}
}

// begin puts the first tables in force.
func (w *tablesWriter) begin(ctx context.Context) error {
	e := table.Edit{Tables: w.trial.config.Tables, Writer: "trial"}
	_, err := table.NewApplier(w.trial.store).Apply(ctx, e)
	return errors.Wrap(err, "first tables")
}

// edit edits the tables now and then until ctx ends.
func (w *tablesWriter) edit(ctx context.Context) {
	for pause.For(ctx, w.trial.config.Duration/(edits+1)) {
		w.race(ctx, 1)
	}
}

// race lets several operators edit at the same moment, in the order of routes;
// with more operators than routes some edit the same row.
func (w *tablesWriter) race(ctx context.Context, operators int) {
	limited, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	record, _, err := table.Load(limited, w.trial.store)
	if err != nil {
		return
	}
	var all sync.WaitGroup
	for n := range operators {
		w.mutex.Lock()
		w.drawn++
		text := fmt.Sprintf("Edit %d of the trial.", w.drawn)
		w.mutex.Unlock()
		all.Go(func() { w.apply(limited, record.Tables, n, text) })
	}
	all.Wait()
}

// apply edits the n-th route's description.
func (w *tablesWriter) apply(ctx context.Context, base table.Tables, n int, text string) {
	routes := append([]table.Route(nil), base.Routes()...)
	route := &routes[n%len(routes)]
	route.Description = text
	edited, err := table.New(base.Revision(), routes, base.Pools())
	if err != nil {
		w.trial.note("edit of the tables: " + err.Error())
		return
	}
	result, err := table.NewApplier(w.trial.store).Apply(ctx, table.Edit{
		Tables: edited, Base: base.Revision(), Writer: fmt.Sprintf("operator %d", n), Message: text,
	})
	w.learn(route.Name, text, result, err)
}

// learn keeps what an edit brought.
func (w *tablesWriter) learn(route lovagestand.RouteName, text string, result table.Result, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.accepted[route]
	if err != nil {
		w.refused++
		var conflict *table.ConflictError
		known.unsure = known.unsure || !errors.As(err, &conflict)
		w.accepted[route] = known
		return
	}
	w.count++
	if result.Revision > known.revision {
		w.accepted[route] = accepted{revision: result.Revision, description: text, unsure: known.unsure}
	}
	if result.Revision > w.newest {
		w.newest, w.since = result.Revision, time.Now()
	}
}

// follow watches which revision is in force in each instance until ctx ends.
func (w *tablesWriter) follow(ctx context.Context) {
	for pause.For(ctx, pollEvery) {
		w.look()
	}
}

// look judges the instances' revisions; true if all that are up and not cut off
// have the newest one.
func (w *tablesWriter) look() bool {
	w.looking.Lock()
	defer w.looking.Unlock()
	everywhere := true
	w.mutex.Lock()
	newest := w.newest
	w.mutex.Unlock()
	for _, n := range w.trial.present(nodeUp) {
		r := n.instance.Revision()
		w.trial.record.InForce(time.Now(), n.name, lovagestand.Revision(r))
		everywhere = everywhere && r >= newest
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if everywhere && newest == w.newest && !w.since.IsZero() {
		w.slowest = max(w.slowest, time.Since(w.since))
		w.since = time.Time{}
	}
	return everywhere
}

// settle waits for the last tables to be in force everywhere and checks that
// every accepted change is in them.
func (w *tablesWriter) settle(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, inForceWithin)
	defer cancel()
	for !w.look() {
		if !pause.For(limited, pollEvery) {
			w.late()
			break
		}
	}
	record, _, err := table.Load(ctx, w.trial.store)
	if err != nil {
		w.trial.note("the tables could not be read at the end: " + err.Error())
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for name, a := range w.accepted {
		route, found := record.Tables.Route(name)
		if a.unsure || a.revision == 0 || found && route.Description == a.description {
			continue
		}
		w.trial.record.ChangeLost(time.Now(), "", fmt.Sprintf("route %s, revision %d: %s", name, a.revision, a.description))
	}
}

// late reports the instances in which the newest tables are not in force.
func (w *tablesWriter) late() {
	w.mutex.Lock()
	newest := w.newest
	w.mutex.Unlock()
	for _, n := range w.trial.present(nodeUp) {
		if r := n.instance.Revision(); r < newest {
			w.trial.record.ChangeLost(time.Now(), n.name, fmt.Sprintf("revision %d is in force, not %d", r, newest))
		}
	}
}

func (w *tablesWriter) sumUp(r *report.Totals) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	r.TablesAccepted, r.TablesRefused = w.count, w.refused
	r.TablesSlowestMillis = float64(w.slowest.Milliseconds())
}
