package claim

import (
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// Settle records the outcome of a claimed task and returns the resulting claim.
// The first final outcome stays. The outcome is stored with the partition's next
// write.
//
// [lovagestand.OutcomeNotRun] fails with a [TooEarlyError] if another holder of
// the claim may have started the task after s.ReadAt. It is recorded as
// [lovagestand.OutcomeUnknown] if workers may have removed their record of the
// task by s.ReadAt.
func (p *Partition) Settle(s Settlement) (Claim, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lease, err := p.lease()
	if err != nil || p.closed {
		return Claim{}, &NotOwnerError{Partition: p.name}
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

// settle applies a settlement to an entry. The caller holds the lock.
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

// accepts reports whether an outcome may replace the current one. An unknown
// outcome may be replaced by an outcome that the worker reports later.
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
