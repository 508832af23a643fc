package claim

import (
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// Settle records what became of a claimed task and returns the claim as it is
// now; the first final outcome stays. It is written with the home's next
// write. A settlement as not run fails with a [TooEarlyError] if another holder
// of the claim may have started the task after it was read, and is recorded as
// unknown if workers may have forgotten the task by then.
func (p *Partition) Settle(s Settlement) (Claim, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lease, err := p.lease()
	if err != nil || p.closed {
		return Claim{}, &NotOwnerError{Home: p.name}
	}
	e, ok := p.entries[s.Key]
	if !ok {
		return Claim{}, &StaleError{Key: s.Key, Task: s.Task}
	}
	if e.claim.Task != s.Task || !e.granted() {
		return Claim{}, &StaleError{Key: s.Key, Task: s.Task, Last: e.claim.Task}
	}
	now := time.Now()
	err = p.settle(e, s, now)
	if err != nil {
		return Claim{}, err
	}
	return p.reply(e, lease, now), nil
}

// settle applies a settlement. The caller holds the lock.
func (p *Partition) settle(e *entry, s Settlement, now time.Time) error {
	outcome := s.Outcome
	if outcome == lovagestand.OutcomeUnknown && !s.Stopped {
		outcome = lovagestand.OutcomeWaiting
	}
	if !e.claim.accepts(outcome) {
		return nil
	}
	if outcome == lovagestand.OutcomeNotRun && !e.heldOnlyBy(s.ID) {
		after := e.claim.StartBy.Add(ClockMargin)
		if s.ReadAt.Before(after) {
			return &TooEarlyError{Key: s.Key, After: after}
		}
		if s.ReadAt.After(e.claim.Created.Add(WorkerRetention - ClockMargin)) {
			outcome = lovagestand.OutcomeUnknown
		}
	}
	e.set(e.claim.WithOutcome(outcome, s.Reason, now))
	p.enqueue(e)
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
