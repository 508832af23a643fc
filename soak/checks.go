package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"lovagestand.example/lovagestand/standin/runner"
)

const (
	// queryDeadline is how long a caller waits for a state.
	queryDeadline = 3 * time.Second
	// maxStartAfterCancel is how long after the acknowledgement of a cancellation tasks
	// may start, stopWithinAck how long they may run.
	maxStartAfterCancel = 3 * time.Second
	maxRunAfterCancel   = 4 * time.Second
)

// recordViolation notes what breaks a rule, or is excused.
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

// query asks for the state of a job. One that was accepted and that nobody has
// cancelled is known, and neither failed nor cancelled.
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
		k.recordViolation(k.cell.disturbed(now, recoveryTime, name), "LOST: %s says of job %s at %.3f: %d %s", name, id, k.seconds(now), status, text)
	}
	if text == `{"state":"completed"}` {
		k.setOnce(&record.completed)
	}
	return fmt.Sprint(status, " ", text)
}

// seconds is a time on the clock of the runs.
func (k *Callers) seconds(t time.Time) float64 { return k.cell.Site.Fleet.Seconds(t) }

// AwaitCompletion asks for all accepted jobs that nobody has cancelled until they are
// shown as completed or the time is over, and has stopped what should be.
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
	// What runs on is told once all has been undisturbed for long enough.
	for k.cell.disturbed(time.Now(), recoveryTime+maxRunAfterCancel) {
		time.Sleep(100 * time.Millisecond)
	}
}

// Violations returns what callers and workers saw of broken rules, and what is
// excused because the node that did it was not in touch.
func (k *Callers) Violations() (violations, excused []string) {
	for _, r := range k.cell.Site.Fleet.Runs() {
		id, _, _ := strings.Cut(r.Task, ".")
		k.checkRun(k.jobs[id], r)
	}
	return append(k.violations, k.cell.Site.Fleet.Violations()...), k.excused
}

// checkRun notes what one run breaks. Bounds in time do not hold for orders that a
// worker carried out late, nor for nodes that were not in touch.
func (k *Callers) checkRun(record *jobRecord, r runner.Run) {
	text := k.cell.Site.Fleet.Text(r)
	if record == nil {
		k.recordViolation(false, "UNASKED: %s, of a job that nobody submitted", text)
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

// Counts returns how many jobs were accepted, surely rejected and cancelled.
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
