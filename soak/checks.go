package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"lovagestand.example/lovagestand/standin/runner"
)

const (
	// lookDeadline is how long a caller waits for a state.
	lookDeadline = 3 * time.Second
	// cancelWithin is how long after the acknowledgement of a cancellation tasks
	// may start, stopWithinAck how long they may run.
	cancelWithin  = 3 * time.Second
	stopWithinAck = 4 * time.Second
)

// violate notes what breaks a rule, or is excused.
func (k *Callers) violate(excused bool, format string, arguments ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	text := fmt.Sprintf(format, arguments...)
	if excused {
		k.excused = append(k.excused, text)
		return
	}
	k.violations = append(k.violations, text)
}

// look asks for the state of a job. One that was accepted and that nobody has
// cancelled is known, and neither failed nor cancelled.
func (k *Callers) look(id string, known *record, node int) string {
	k.mu.Lock()
	accepted := !known.accepted.IsZero()
	k.mu.Unlock()
	status, text := k.call(http.MethodGet, node, id, "", lookDeadline)
	now := time.Now()
	k.mu.Lock()
	cancelled := !known.cancelled.IsZero()
	k.mu.Unlock()
	lost := status == http.StatusGone || strings.Contains(text, "failed") || strings.Contains(text, "cancelled")
	if accepted && !cancelled && lost {
		name := k.cell.Nodes[node%len(k.cell.Nodes)].Name
		k.violate(k.cell.disturbed(now, contact, name), "LOST: %s says of job %s at %.3f: %d %s", name, id, k.seconds(now), status, text)
	}
	if text == `{"state":"completed"}` {
		k.mark(&known.completed)
	}
	return fmt.Sprint(status, " ", text)
}

// seconds is a time on the clock of the runs.
func (k *Callers) seconds(t time.Time) float64 { return k.cell.Site.Fleet.Seconds(t) }

// AwaitCompletion asks for all accepted jobs that nobody has cancelled until they are
// shown as completed or the time is over, and has stopped what should be.
func (k *Callers) AwaitCompletion(within time.Duration) {
	deadline := time.Now().Add(within)
	for id, known := range k.jobs {
		if known.accepted.IsZero() || !known.cancelled.IsZero() {
			continue
		}
		for n := 0; known.completed.IsZero(); n++ {
			last := k.look(id, known, n)
			if time.Now().After(deadline) {
				k.violate(false, "LOST: job %s did not complete: %s", id, last)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// What runs on is told once all has been undisturbed for long enough.
	for k.cell.disturbed(time.Now(), contact+stopWithinAck) {
		time.Sleep(100 * time.Millisecond)
	}
}

// Violations returns what callers and workers saw of broken rules, and what is
// excused because the node that did it was not in touch.
func (k *Callers) Violations() (violations, excused []string) {
	for _, r := range k.cell.Site.Fleet.Runs() {
		id, _, _ := strings.Cut(r.Task, ".")
		k.check(k.jobs[id], r)
	}
	return append(k.violations, k.cell.Site.Fleet.Violations()...), k.excused
}

// check notes what one run breaks. Bounds in time do not hold for orders that a
// worker carried out late, nor for nodes that were not in touch.
func (k *Callers) check(known *record, r runner.Run) {
	text := k.cell.Site.Fleet.Text(r)
	if known == nil {
		k.violate(false, "UNASKED: %s, of a job that nobody submitted", text)
		return
	}
	if known.rejected {
		k.violate(false, "REFUSED: %s", text)
	}
	starter := k.cell.ownerOf(r.Epoch)
	excused := r.Late || k.cell.released(string(r.Worker), r.Begun) || k.cell.disturbed(r.Begun, contact, starter)
	if at := known.completed; !at.IsZero() && r.Begun.After(at.Add(time.Second)) {
		k.violate(excused, "TWICE: %s by %s, shown as completed at %.3f", text, starter, k.seconds(at))
	}
	at := known.acknowledged
	if at.IsZero() {
		return
	}
	if r.Begun.After(at.Add(cancelWithin)) {
		k.violate(excused, "UNASKED: %s by %s, cancelled at %.3f", text, starter, k.seconds(at))
	}
	quiet, ok := k.cell.quietFrom(at.Add(stopWithinAck), contact+stopWithinAck)
	if ok && r.Begun.Before(quiet) && (r.Ended.IsZero() || r.Ended.After(quiet)) {
		k.violate(false, "UNASKED: %s by %s runs on at %.3f, cancelled at %.3f", text, starter, k.seconds(quiet), k.seconds(at))
	}
}

// Counts returns how many jobs were accepted, surely rejected and cancelled.
func (k *Callers) Counts() (accepted, rejected, cancelled int) {
	for _, known := range k.jobs {
		if !known.accepted.IsZero() {
			accepted++
		}
		if known.rejected {
			rejected++
		}
		if !known.acknowledged.IsZero() {
			cancelled++
		}
	}
	return accepted, rejected, cancelled
}
