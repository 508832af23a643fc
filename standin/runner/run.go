package runner

import (
	"fmt"
	"strings"
	"time"

	"lovagestand.example/lovagestand"
)

// EndingUnlisted is the ending of a run that its worker never lists as ended,
// because the worker crashed or a later run of the same task replaced it there.
const EndingUnlisted lovagestand.RunEnding = "unlisted"

// Run is one run of a task as recorded by its worker.
type Run struct {
	Task   string
	Number int64
	Worker lovagestand.WorkerName
	Epoch  lovagestand.Epoch
	// Late is set if the worker executed the order late, see [FaultLate].
	Late bool
	// Ended and Ending are zero while the run continues.
	Begun, Ended time.Time
	Ending       lovagestand.RunEnding
	// WorkerCrashed is set if the worker crashed before the end of the run was
	// acknowledged.
	WorkerCrashed bool
	// acknowledgedAt is when the scheduler acknowledged that the run is done.
	acknowledgedAt time.Time
}

// Runs returns all runs in the order in which they started.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := make([]Run, len(f.runs))
	for i, r := range f.runs {
		runs[i] = *r
	}
	return runs
}

// Describe returns a text about a run. Its times are those of [Fleet.Seconds].
func (f *Fleet) Describe(r Run) string { return f.describe(&r) }

func (f *Fleet) describe(r *Run) string {
	text := fmt.Sprintf("%s run %d on %s, epoch %d, begun at %.3f", r.Task, r.Number, r.Worker, r.Epoch, f.Seconds(r.Begun))
	if r.Ended.IsZero() {
		return text + ", still running"
	}
	return fmt.Sprintf("%s, %s at %.3f", text, r.Ending, f.Seconds(r.Ended))
}

// Seconds returns a time in seconds since the fleet was created.
func (f *Fleet) Seconds(t time.Time) float64 { return t.Sub(f.startedAt).Seconds() }

// recordEnd records that a run has ended. If the run is not done, it ends the
// other members of the gang.
func (f *Fleet) recordEnd(r *run, ending lovagestand.RunEnding) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.record.Ended, r.record.Ending = time.Now(), ending
	if r.gang != nil && ending != lovagestand.EndingDone {
		f.breakGang(r.gang)
	}
}

// acknowledgeEnd handles the acknowledgement of an end. After the end of a done
// run is acknowledged, its task must not start again, and it must not have started
// between the end and the acknowledgement. Neither rule applies if the worker's
// lease ran out between the two. The acknowledged end of one member counts for the
// whole gang.
func (f *Fleet) acknowledgeEnd(w *worker, e endedRun) {
	if e.Ending != lovagestand.EndingDone || w.lapses != e.lapses {
		return
	}
	members := []*run{e.run}
	if e.run.gang != nil {
		members = e.run.gang.members
	}
	for _, m := range members {
		f.acknowledgeDone(m.record)
	}
}

// acknowledgeDone records that the end of a run was acknowledged, and adds a
// violation for each run of the task that started after that end.
func (f *Fleet) acknowledgeDone(done *Run) {
	if !done.acknowledgedAt.IsZero() {
		return
	}
	done.acknowledgedAt = time.Now()
	for _, r := range f.history[done.Task] {
		if r.Begun.After(done.Ended) {
			f.addViolation("TWICE: %s began after %s, acknowledged only at %.3f", f.describe(r), f.describe(done), f.Seconds(done.acknowledgedAt))
		}
	}
}

// gangTimeout is how long a member of a gang waits for the others to start.
const gangTimeout = 2 * time.Second

// gang is one run of a gang.
type gang struct {
	members []*run
}

// joinGang adds a run to its gang, which consists of the runs of one step with
// the same number. The run waits for the other members for at most gangTimeout.
// The work of the gang begins when the last member joins.
func (f *Fleet) joinGang(r *run, size int, duration time.Duration, ending lovagestand.RunEnding) {
	step := r.record.Task[:strings.LastIndex(r.record.Task, ".")]
	key := fmt.Sprint(step, "/", r.record.Number)
	g := f.gangs[key]
	if g == nil || f.runningMembers(g) == 0 {
		g = &gang{}
		f.gangs[key] = g
	}
	g.members = append(g.members, r)
	r.gang = g
	if f.runningMembers(g) < size {
		r.timer = time.AfterFunc(gangTimeout, func() { f.end(r, lovagestand.EndingAlone) })
		return
	}
	for _, m := range g.members {
		if m.timer != nil {
			m.timer.Stop()
		}
	}
	r.timer = time.AfterFunc(duration, func() { f.endTogether(r, ending) })
}

// runningMembers returns the number of members that have not ended.
func (f *Fleet) runningMembers(g *gang) int {
	n := 0
	for _, m := range g.members {
		if m.record.Ended.IsZero() {
			n++
		}
	}
	return n
}

// endTogether ends all members of the gang of r, unless r has already ended.
func (f *Fleet) endTogether(r *run, ending lovagestand.RunEnding) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.record.Ended.IsZero() {
		return
	}
	// The acknowledged end of one member counts for all members, including
	// those that are listed later. Therefore all ends are recorded first.
	for _, m := range r.gang.members {
		m.record.Ended, m.record.Ending = time.Now(), ending
	}
	for _, m := range r.gang.members {
		f.finish(m, ending)
	}
}

// breakGang ends the members of a gang that still run.
func (f *Fleet) breakGang(g *gang) {
	for _, m := range g.members {
		f.finish(m, lovagestand.EndingBroken)
	}
}
