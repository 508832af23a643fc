package claim

import (
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// Settle records what became of a claimed task and returns the claim as it is
// now; the first final outcome stays. It is written with the home's next
// write. A settlement as not run fails with a [TooEarlyError] while another
// holder of the claim may still start the task, and is recorded as unknown
// when workers may have forgotten the task already.
func (h *Home) Settle(s Settlement) (Claim, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	right, err := h.right()
	if err != nil || h.closed {
		return Claim{}, &NotOwnerError{Home: h.name}
	}
	e, ok := h.entries[s.Key]
	if !ok {
		return Claim{}, &StaleError{Key: s.Key, Task: s.Task}
	}
	if e.claim.Task != s.Task || !e.granted() {
		return Claim{}, &StaleError{Key: s.Key, Task: s.Task, Last: e.claim.Task}
	}
	err = h.settle(e, s, time.Now())
	if err != nil {
		return Claim{}, err
	}
	c := e.claim
	c.ValidUntil = right.Until.Round(0)
	return c, nil
}

// settle applies a settlement. The caller holds the lock.
func (h *Home) settle(e *entry, s Settlement, now time.Time) error {
	if !e.claim.accepts(s.Outcome) {
		return nil
	}
	outcome := s.Outcome
	if outcome == lovagestand.OutcomeNotRun && !e.heldOnlyBy(s.ID) {
		after := e.claim.StartBy.Add(ClockMargin)
		if now.Before(after) {
			return &TooEarlyError{Key: s.Key, After: after}
		}
		if now.After(e.claim.Created.Add(WorkerRetention - ClockMargin)) {
			outcome = lovagestand.OutcomeUnknown
		}
	}
	e.set(e.claim.WithOutcome(outcome, s.Reason, now))
	h.enqueue(e)
	return nil
}

// accepts reports whether an outcome may be recorded over the present one. An
// unknown outcome gives way to what the worker reports later.
func (c Claim) accepts(outcome lovagestand.Outcome) bool {
	switch c.Outcome {
	case lovagestand.OutcomeWaiting:
		return true
	case lovagestand.OutcomeUnknown:
		return outcome.Final() && outcome != lovagestand.OutcomeNotRun && outcome != lovagestand.OutcomeUnknown
	default:
		return false
	}
}
