package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"lovagestand.example/lovagestand/standin/runner"
)

const (
	// queryDeadline is how long a caller waits for the state of a job.
	queryDeadline = 3 * time.Second
	// maxStartAfterCancel is how long after the acknowledgement of a
	// cancellation tasks of the job may still start, and maxRunAfterCancel how
	// long they may still run.
	maxStartAfterCancel = 3 * time.Second
	maxRunAfterCancel   = 4 * time.Second
)

// recordViolation records a broken rule, separately if it is excused.
func (c *Callers) recordViolation(excused bool, format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprintf(format, arguments...)
	if excused {
		c.excused = append(c.excused, text)
		return
	}
	c.violations = append(c.violations, text)
}

// query asks a node for the state of a job and returns the reply as text. A job
// that was accepted, and for which no cancellation has been sent, must be found
// and must be neither failed nor cancelled.
func (c *Callers) query(id string, record *jobRecord, node int) string {
	c.mu.Lock()
	accepted := !record.accepted.IsZero()
	c.mu.Unlock()
	status, text := c.call(http.MethodGet, node, record.route+id, "", record.key, queryDeadline)
	now := time.Now()
	c.mu.Lock()
	cancelled := !record.cancelled.IsZero()
	c.mu.Unlock()
	failed := strings.Contains(text, "failed") && !c.mayGiveUp(id)
	lost := status == http.StatusGone || failed || strings.Contains(text, "cancelled")
	if accepted && !cancelled && lost {
		name := c.cell.Nodes[node%len(c.cell.Nodes)].Name
		c.recordViolation(c.cell.disturbed(now, recoveryTime, name), "LOST: %s replies about job %s at %.3f: %d %s", name, id, c.seconds(now), status, text)
	}
	if text == `{"state":"completed"}` {
		c.setOnce(&record.completed)
	}
	return fmt.Sprint(status, " ", text)
}

// crashesToGiveUp is how many workers must have crashed under a task of a job before the
// job may fail.
const crashesToGiveUp = 2

// mayGiveUp reports whether a job may fail although none of its runs has failed: workers
// have crashed again and again under one of its tasks.
func (c *Callers) mayGiveUp(id string) bool {
	for _, r := range c.cell.Site.Fleet.Runs() {
		if strings.HasPrefix(r.Task, id+".") && c.cell.Site.Fleet.CrashesUnder(r.Task) >= crashesToGiveUp {
			return true
		}
	}
	return false
}

// seconds returns a time in seconds since the start of the fleet, the unit used in
// the texts about runs.
func (c *Callers) seconds(t time.Time) float64 { return c.cell.Site.Fleet.Seconds(t) }

// AwaitCompletion queries each accepted job that no caller has cancelled until it
// is reported as completed; one that isn't by the deadline is a violation. It
// then waits until the cell has been undisturbed for so long that all cancelled
// runs must have been stopped.
func (c *Callers) AwaitCompletion(within time.Duration) {
	deadline := time.Now().Add(within)
	for id, record := range c.jobs {
		if record.accepted.IsZero() || !record.cancelled.IsZero() {
			continue
		}
		for n := 0; record.completed.IsZero(); n++ {
			last := c.query(id, record, n)
			if strings.Contains(last, "failed") && c.mayGiveUp(id) {
				break
			}
			if time.Now().After(deadline) {
				c.recordViolation(false, "LOST: job %s did not complete: %s", id, last)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// A run that continues after its cancellation is detected only after such an
	// undisturbed period.
	for c.cell.disturbed(time.Now(), recoveryTime+maxRunAfterCancel) {
		time.Sleep(100 * time.Millisecond)
	}
}

// Violations returns the broken rules that callers and workers observed, and
// separately those that are excused by a disturbance or a late order.
func (c *Callers) Violations() (violations, excused []string) {
	for _, r := range c.cell.Site.Fleet.Runs() {
		id, _, _ := strings.Cut(r.Task, ".")
		record := c.jobs[id]
		if record == nil {
			record = c.probes[id]
		}
		c.checkRun(record, r)
	}
	return append(c.violations, c.cell.Site.Fleet.Violations()...), c.excused
}

// checkRun records the rules that a run breaks. A violation of a bound in time is
// excused if the order was held back on its way to the worker, if the worker
// carried it out late, or if the node that sent it had not yet recovered from a
// disturbance.
func (c *Callers) checkRun(record *jobRecord, r runner.Run) {
	text := c.cell.Site.Fleet.Describe(r)
	if record == nil {
		c.recordViolation(false, "UNASKED: %s, of a job that was never submitted", text)
		return
	}
	if record.forbidden {
		c.recordViolation(false, "ROUTE: %s, submitted with a key that was never issued", text)
	}
	if record.rejected {
		c.recordViolation(false, "REFUSED: %s", text)
	}
	starter := c.cell.ownerOf(r.Epoch)
	excused := r.Late || c.cell.deliveredBacklog(string(r.Worker), r.Begun) || c.cell.disturbed(r.Begun, recoveryTime, starter)
	if at := record.completed; !at.IsZero() && r.Begun.After(at.Add(time.Second)) {
		c.recordViolation(excused, "TWICE: %s by %s, shown as completed at %.3f", text, starter, c.seconds(at))
	}
	at := record.acknowledged
	if at.IsZero() {
		return
	}
	if r.Begun.After(at.Add(maxStartAfterCancel)) {
		c.recordViolation(excused, "UNASKED: %s by %s, cancelled at %.3f", text, starter, c.seconds(at))
	}
	undisturbed, ok := c.cell.undisturbedFrom(at.Add(maxRunAfterCancel), recoveryTime+maxRunAfterCancel)
	if ok && r.Begun.Before(undisturbed) && (r.Ended.IsZero() || r.Ended.After(undisturbed)) {
		c.recordViolation(false, "UNASKED: %s by %s runs on at %.3f, cancelled at %.3f", text, starter, c.seconds(undisturbed), c.seconds(at))
	}
}

// Counts returns how many jobs were accepted, how many were rejected in every
// attempt, and for how many a cancellation was acknowledged.
func (c *Callers) Counts() (accepted, rejected, cancelled int) {
	for _, record := range c.jobs {
		if !record.accepted.IsZero() {
			accepted++
		}
		if record.rejected {
			rejected++
		}
		if !record.acknowledged.IsZero() {
			cancelled++
		}
	}
	return accepted, rejected, cancelled
}
