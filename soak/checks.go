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
func (k *Callers) recordViolation(excused bool, format string, arguments ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	text := fmt.Sprintf(format, arguments...)
	if excused {
		k.excused = append(k.excused, text)
		return
	}
	k.violations = append(k.violations, text)
}

// query asks a node for the state of a job and returns the reply as text. A job
// that was accepted, and for which no cancellation has been sent, must be found
// and must be neither failed nor cancelled.
func (k *Callers) query(id string, record *jobRecord, node int) string {
	k.mu.Lock()
	accepted := !record.accepted.IsZero()
	k.mu.Unlock()
	status, text := k.call(http.MethodGet, node, id, "", queryDeadline)
	now := time.Now()
	k.mu.Lock()
	cancelled := !record.cancelled.IsZero()
	k.mu.Unlock()
	lost := status == http.StatusGone || strings.Contains(text, "failed") || strings.Contains(text, "cancelled")
	if accepted && !cancelled && lost {
		name := k.cell.Nodes[node%len(k.cell.Nodes)].Name
		k.recordViolation(k.cell.disturbed(now, recoveryTime, name), "LOST: %s replies about job %s at %.3f: %d %s", name, id, k.seconds(now), status, text)
	}
	if text == `{"state":"completed"}` {
		k.setOnce(&record.completed)
	}
	return fmt.Sprint(status, " ", text)
}

// seconds returns a time in seconds since the start of the fleet, as texts about
// runs give it.
func (k *Callers) seconds(t time.Time) float64 { return k.cell.Site.Fleet.Seconds(t) }

// AwaitCompletion queries each accepted job that no caller has cancelled until it
// is reported as completed; one that isn't by the deadline is a violation. It
// then waits until the cell has been undisturbed for so long that all cancelled
// runs must have been stopped.
func (k *Callers) AwaitCompletion(within time.Duration) {
	deadline := time.Now().Add(within)
	for id, record := range k.jobs {
		if record.accepted.IsZero() || !record.cancelled.IsZero() {
			continue
		}
		for n := 0; record.completed.IsZero(); n++ {
			last := k.query(id, record, n)
			if time.Now().After(deadline) {
				k.recordViolation(false, "LOST: job %s did not complete: %s", id, last)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// A run that continues after its cancellation is detected only after such an
	// undisturbed period.
	for k.cell.disturbed(time.Now(), recoveryTime+maxRunAfterCancel) {
		time.Sleep(100 * time.Millisecond)
	}
}

// Violations returns the broken rules that callers and workers observed, and
// separately those that are excused by a disturbance or a late order.
func (k *Callers) Violations() (violations, excused []string) {
	for _, r := range k.cell.Site.Fleet.Runs() {
		id, _, _ := strings.Cut(r.Task, ".")
		k.checkRun(k.jobs[id], r)
	}
	return append(k.violations, k.cell.Site.Fleet.Violations()...), k.excused
}

// checkRun records the rules that a run breaks. A violation of a bound in time is
// excused if the order was held back on its way to the worker, if the worker
// carried it out late, or if the node that sent it had not yet recovered from a
// disturbance.
func (k *Callers) checkRun(record *jobRecord, r runner.Run) {
	text := k.cell.Site.Fleet.Describe(r)
	if record == nil {
		k.recordViolation(false, "UNASKED: %s, of a job that was never submitted", text)
		return
	}
	if record.rejected {
		k.recordViolation(false, "REFUSED: %s", text)
	}
	starter := k.cell.ownerOf(r.Epoch)
	excused := r.Late || k.cell.deliveredBacklog(string(r.Worker), r.Begun) || k.cell.disturbed(r.Begun, recoveryTime, starter)
	if at := record.completed; !at.IsZero() && r.Begun.After(at.Add(time.Second)) {
		k.recordViolation(excused, "TWICE: %s by %s, shown as completed at %.3f", text, starter, k.seconds(at))
	}
	at := record.acknowledged
	if at.IsZero() {
		return
	}
	if r.Begun.After(at.Add(maxStartAfterCancel)) {
		k.recordViolation(excused, "UNASKED: %s by %s, cancelled at %.3f", text, starter, k.seconds(at))
	}
	undisturbed, ok := k.cell.undisturbedFrom(at.Add(maxRunAfterCancel), recoveryTime+maxRunAfterCancel)
	if ok && r.Begun.Before(undisturbed) && (r.Ended.IsZero() || r.Ended.After(undisturbed)) {
		k.recordViolation(false, "UNASKED: %s by %s runs on at %.3f, cancelled at %.3f", text, starter, k.seconds(undisturbed), k.seconds(at))
	}
}

// Counts returns how many jobs were accepted, how many were rejected in every
// attempt, and for how many a cancellation was acknowledged.
func (k *Callers) Counts() (accepted, rejected, cancelled int) {
	for _, record := range k.jobs {
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
