package runner

import (
	"fmt"
	"strings"
	"time"

	"lovagestand.example/lovagestand"
)

// EndingUnlisted is how a run ends that its worker never lists as ended: the
// worker crashed, or was told to start a later run of the task beside it.
const EndingUnlisted lovagestand.RunEnding = "unlisted"

// Run is one run of a task as its worker saw it.
type Run struct {
	Task   string
	Number int64
	Worker lovagestand.WorkerName
	Epoch  lovagestand.Epoch
	// Late says that the worker carried the order out late.
	Late bool
	// Ended and Ending are zero while the run goes on.
	Begun, Ended time.Time
	Ending       lovagestand.RunEnding
	// acknowledgedAt is when the end, done, was acknowledged.
	acknowledgedAt time.Time
}

// Runs returns all runs in the order in which they began.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := make([]Run, len(f.runs))
	for i, r := range f.runs {
		runs[i] = *r
	}
	return runs
}

// Describe describes a run; times are in seconds since the fleet began.
func (f *Fleet) Describe(r Run) string { return f.describe(&r) }

func (f *Fleet) describe(r *Run) string {
	text := fmt.Sprintf("%s run %d on %s, epoch %d, begun at %.3f", r.Task, r.Number, r.Worker, r.Epoch, f.Seconds(r.Begun))
	if r.Ended.IsZero() {
		return text + ", still runs"
	}
	return fmt.Sprintf("%s, %s at %.3f", text, r.Ending, f.Seconds(r.Ended))
}

// Seconds returns a time in seconds since the fleet began.
func (f *Fleet) Seconds(t time.Time) float64 { return t.Sub(f.startedAt).Seconds() }

// recordEnd notes that a run has ended, and breaks its gang if that was not done.
func (f *Fleet) recordEnd(r *run, ending lovagestand.RunEnding) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.record.Ended, r.record.Ending = time.Now(), ending
	if r.gang != nil && ending != lovagestand.EndingDone {
		f.breakGang(r.gang)
	}
}

// acknowledgeEnd takes note of an end that is acknowledged. One that is done counts from
// then on, unless the worker's lease ran out in between, and also for starts
// that came before the acknowledgement. It stands for all members of a gang.
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

func (f *Fleet) acknowledgeDone(done *Run) {
	if !done.acknowledgedAt.IsZero() {
		return
	}
	done.acknowledgedAt = time.Now()
	for _, r := range f.history[done.Task] {
		if r.Begun.After(done.Ended) {
			f.addViolation("TWICE: %s began after %s, noted only at %.3f", f.describe(r), f.describe(done), f.Seconds(done.acknowledgedAt))
		}
	}
}

// gangTimeout is how long a member waits for the others.
const gangTimeout = 2 * time.Second

// gang is one run of a gang.
type gang struct {
	members []*run
}

// joinGang has a member wait for the others; the last one has all begin.
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

// runningMembers counts the members that run.
func (f *Fleet) runningMembers(g *gang) int {
	n := 0
	for _, m := range g.members {
		if m.record.Ended.IsZero() {
			n++
		}
	}
	return n
}

// endTogether ends all members of the gang of r, unless r has ended before.
func (f *Fleet) endTogether(r *run, ending lovagestand.RunEnding) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.record.Ended.IsZero() {
		return
	}
	// One end stands for all, also for those that are listed after it.
	for _, m := range r.gang.members {
		m.record.Ended, m.record.Ending = time.Now(), ending
	}
	for _, m := range r.gang.members {
		f.finish(m, ending)
	}
}

func (f *Fleet) breakGang(g *gang) {
	for _, m := range g.members {
		f.finish(m, lovagestand.EndingBroken)
	}
}
