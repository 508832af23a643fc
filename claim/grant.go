package claim

import (
	"context"
	"slices"
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// Claim returns the claim of a key. If the key is new or another attempt is
// allowed, Claim first writes the claim of the new attempt to the store. It waits
// for the write until ctx ends or the StartBy of the request or of the claim has
// passed. If the claim is not guaranteed to be in the store by then, Claim fails
// with a [NotGrantedError] or, if other requests wait for the same claim or an
// earlier attempt may have run, with an [AmbiguousError].
func (p *Partition) Claim(ctx context.Context, r Request) (Claim, error) {
	if sleep(ctx, time.Until(p.holdOffEnd(r.Key))) != nil {
		return Claim{}, &AmbiguousError{Key: r.Key, Reason: "the key was said not to have run just now"}
	}
	call, err := p.joinAttempt(r, time.Now())
	if err != nil {
		return Claim{}, err
	}
	timer := time.NewTimer(time.Until(call.deadline))
	defer timer.Stop()
	select {
	case <-call.ready:
	case <-p.done:
	case <-ctx.Done():
	case <-timer.C:
	}
	return p.finishCall(call, time.Now())
}

// waitingCall is a call of [Partition.Claim] that waits for an attempt.
type waitingCall struct {
	// id is the ID of the call's request.
	id    string
	entry *entry
	// ready and attempt are the entry's ready channel and the claim's attempt
	// number when the wait began.
	ready   chan struct{}
	attempt int
	// deadline is the end of the wait.
	deadline time.Time
	// newAttempt is set if the call began the attempt.
	newAttempt bool
}

// validate returns an [InvalidError] if the request cannot be claimed.
func (r Request) validate() error {
	switch {
	case r.Key == "" || len(r.Key) > MaxKeyBytes || sanitize(string(r.Key)) != string(r.Key):
		return &InvalidError{Key: r.Key, Reason: "the key must be from 1 to 256 bytes of printable text"}
	case r.ID == "":
		return &InvalidError{Key: r.Key, Reason: "the request has no ID"}
	case r.Shard == "":
		return &InvalidError{Key: r.Key, Reason: "the request has no shard"}
	default:
		return nil
	}
}

// holdOffEnd returns when another attempt of a key may begin. It is the zero time
// if there is no hold-off.
func (p *Partition) holdOffEnd(key lovagestand.RequestKey) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notRunUntil[key]
}

// joinAttempt registers a call as waiting for the current attempt of a key. If the
// request needs a new attempt, joinAttempt begins that attempt first.
func (p *Partition) joinAttempt(r Request, now time.Time) (waitingCall, error) {
	err := r.validate()
	if err != nil {
		return waitingCall{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	lease, err := p.lease()
	if err != nil || p.closed {
		return waitingCall{}, &NotOwnerError{Partition: p.name}
	}
	if now.Before(p.notRunUntil[r.Key]) {
		return waitingCall{}, &AmbiguousError{Key: r.Key, Reason: "the key was said not to have run just now"}
	}
	e, known := p.entries[r.Key]
	if known && e.claim.Fingerprint != r.Fingerprint {
		return waitingCall{}, &MismatchError{Key: r.Key, Requested: r.Fingerprint, Found: e.claim.Fingerprint}
	}
	newAttempt := !known || e.claim.allowsNewAttempt(r.Rerun) && !e.claim.alreadyAnswers(r)
	if newAttempt {
		reason := p.refusalReason(r, now)
		if reason != "" && known && e.claim.mayHaveRun() {
			return waitingCall{}, mayHaveRunError(r.Key)
		}
		if reason != "" {
			return waitingCall{}, p.notGranted(r.Key, reason, lease, now)
		}
		e = p.begin(e, r, now)
	}
	e.waiting[r.ID]++
	deadline := r.StartBy
	if e.claim.StartBy.Before(deadline) {
		deadline = e.claim.StartBy
	}
	return waitingCall{id: r.ID, entry: e, ready: e.ready, attempt: e.claim.Attempt, deadline: deadline, newAttempt: newAttempt}, nil
}

// refusalReason returns why no attempt can begin now; empty if one can.
func (p *Partition) refusalReason(r Request, now time.Time) string {
	switch {
	case !now.Before(r.StartBy):
		return "its time to start has passed"
	case len(p.queue) >= p.maxPending:
		return "too many claims wait to be written"
	default:
		return ""
	}
}

// begin begins the first attempt of a key if e is nil, otherwise another attempt.
// The caller holds the lock.
func (p *Partition) begin(e *entry, r Request, now time.Time) *entry {
	c := Claim{
		Key:         r.Key,
		Fingerprint: r.Fingerprint,
		Attempt:     1,
		Task:        lovagestand.TaskID(p.nextID()),
		Shard:       r.Shard,
		Created:     now,
		StartBy:     r.StartBy,
		Outcome:     lovagestand.OutcomeWaiting,
		Retention:   max(r.Retention, DefaultRetention),
	}
	if latest := now.Add(MaxStartDelay); c.StartBy.After(latest) {
		c.StartBy = latest
	}
	if e == nil {
		e = newEntry(c)
		p.entries[r.Key] = e
	} else {
		c.Attempt = e.claim.Attempt + 1
		c.EarlierMayHaveRun = e.claim.mayHaveRun()
		e.begin(c)
	}
	p.enqueue(e)
	return e
}

// notGranted returns the error for a request whose claim no request has received.
// The caller holds the lock.
func (p *Partition) notGranted(key lovagestand.RequestKey, reason string, lease lovagestand.OwnershipLease, now time.Time) error {
	p.stats.NotGranted++
	return &NotGrantedError{Key: key, Reason: reason, ValidUntil: p.recordNotRun(key, lease, now)}
}

// mayHaveRunError returns the error for a request for which no new attempt was
// granted but which may have run in an earlier attempt.
func mayHaveRunError(key lovagestand.RequestKey) error {
	return &AmbiguousError{Key: key, Reason: "no other attempt was granted, and an earlier one may have run"}
}

// finishCall ends the wait of a call. It returns the claim if the claim is
// guaranteed to be in the store.
func (p *Partition) finishCall(call waitingCall, now time.Time) (Claim, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := call.entry
	current := e.claim.Attempt == call.attempt
	if current {
		e.removeWaiter(call.id)
	}
	lease, err := p.lease()
	if err != nil || p.closed {
		return Claim{}, &NotOwnerError{Partition: p.name}
	}
	if !current {
		return Claim{}, &AmbiguousError{Key: e.claim.Key, Reason: "another attempt has begun"}
	}
	if e.granted() {
		return p.grantTo(call, lease, now), nil
	}
	if e.awaitedByOthers(call.id) {
		return Claim{}, &AmbiguousError{Key: e.claim.Key, Reason: "the claim is not written yet, and others wait for it"}
	}
	p.abandon(e, now)
	if e.claim.EarlierMayHaveRun {
		return Claim{}, mayHaveRunError(e.claim.Key)
	}
	return Claim{}, p.notGranted(e.claim.Key, "the store did not answer in time", lease, now)
}

// grantTo returns the claim to a call and records the call's request as a holder.
// The caller holds the lock.
func (p *Partition) grantTo(call waitingCall, lease lovagestand.OwnershipLease, now time.Time) Claim {
	call.entry.addHolder(call.id)
	if call.newAttempt {
		p.stats.Granted++
	} else {
		p.stats.Attached++
	}
	c := p.reply(call.entry, lease, now)
	c.SoleHolder = call.entry.heldOnlyBy(call.id)
	return c
}

// reply returns an entry's claim as it is returned to a client. The caller holds
// the lock.
func (p *Partition) reply(e *entry, lease lovagestand.OwnershipLease, now time.Time) Claim {
	c := e.claim
	if c.Outcome == lovagestand.OutcomeNotRun {
		c.ValidUntil = p.recordNotRun(c.Key, lease, now)
	}
	return c
}

// abandon gives up an attempt that no request has received and no call waits for.
// If the attempt was part of a write, that write may still take effect, so the
// attempt is recorded as not run. The caller holds the lock.
func (p *Partition) abandon(e *entry, now time.Time) {
	if len(e.waiting) > 0 || e.claim.Settled() {
		return
	}
	if e.sent == 0 {
		delete(p.entries, e.claim.Key)
		p.queue = slices.DeleteFunc(p.queue, func(q *entry) bool { return q == e })
		return
	}
	e.set(e.claim.WithOutcome(lovagestand.OutcomeNotRun, "the claim was not granted", now))
	p.enqueue(e)
}
