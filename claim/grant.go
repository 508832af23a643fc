package claim

import (
	"context"
	"slices"
	"time"

	lovagestand "lovagestand.example/lovagestand"
)

// Claim returns the claim of a key and writes it first if the key is new. It
// waits for the write until ctx ends or the request's StartBy, then fails with
// a [NotGrantedError] or, where others wait for the same claim, with an
// [AmbiguousError].
func (h *Partition) Claim(ctx context.Context, r Request) (Claim, error) {
	if sleep(ctx, time.Until(h.heldUntil(r.Key))) != nil {
		return Claim{}, &AmbiguousError{Key: r.Key, Reason: "the key was said not to have run just now"}
	}
	w, err := h.enter(r, time.Now())
	if err != nil {
		return Claim{}, err
	}
	timer := time.NewTimer(time.Until(w.until))
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-h.lost:
	case <-ctx.Done():
	case <-timer.C:
	}
	return h.leave(w, time.Now())
}

// wait is one call that waits for an attempt.
type wait struct {
	id      string
	entry   *entry
	ready   chan struct{}
	attempt int
	until   time.Time
	fresh   bool
}

func (r Request) check() error {
	switch {
	case r.Key == "" || len(r.Key) > MaxKeyBytes || shorten(string(r.Key)) != string(r.Key):
		return &InvalidError{Key: r.Key, Reason: "the key must be from 1 to 256 bytes of printable text"}
	case r.ID == "":
		return &InvalidError{Key: r.Key, Reason: "the request has no ID"}
	case r.Shard == "":
		return &InvalidError{Key: r.Key, Reason: "the request has no shard"}
	default:
		return nil
	}
}

// heldUntil returns when another attempt of a key may begin.
func (h *Partition) heldUntil(key lovagestand.RequestKey) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.told[key]
}

// enter finds or begins the attempt for a request.
func (h *Partition) enter(r Request, now time.Time) (wait, error) {
	err := r.check()
	if err != nil {
		return wait{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	right, err := h.right()
	if err != nil || h.closed {
		return wait{}, &NotOwnerError{Home: h.name}
	}
	if now.Before(h.told[r.Key]) {
		return wait{}, &AmbiguousError{Key: r.Key, Reason: "the key was said not to have run just now"}
	}
	e, known := h.entries[r.Key]
	if known && e.claim.Fingerprint != r.Fingerprint {
		return wait{}, &MismatchError{Key: r.Key, Asked: r.Fingerprint, Found: e.claim.Fingerprint}
	}
	fresh := !known || e.claim.repeatable(r.Rerun) && !e.claim.answers(r)
	if fresh {
		reason := h.obstacle(r, now)
		if reason != "" && known && e.claim.mayHaveRun() {
			return wait{}, mayHaveRun(r.Key)
		}
		if reason != "" {
			return wait{}, h.refuse(r.Key, reason, right, now)
		}
		e = h.begin(e, r, now)
	}
	e.waiting[r.ID]++
	until := r.StartBy
	if e.claim.StartBy.Before(until) {
		until = e.claim.StartBy
	}
	return wait{id: r.ID, entry: e, ready: e.ready, attempt: e.claim.Attempt, until: until, fresh: fresh}, nil
}

// obstacle says why no attempt can begin now; empty if one can.
func (h *Partition) obstacle(r Request, now time.Time) string {
	switch {
	case !now.Before(r.StartBy):
		return "its time to start has passed"
	case len(h.queue) >= h.maxPending:
		return "too many claims wait to be written"
	default:
		return ""
	}
}

// begin starts the first or another attempt. The caller holds the lock.
func (h *Partition) begin(e *entry, r Request, now time.Time) *entry {
	c := Claim{
		Key:         r.Key,
		Fingerprint: r.Fingerprint,
		Attempt:     1,
		Task:        lovagestand.TaskID(h.nextID()),
		Shard:       r.Shard,
		Created:     now,
		StartBy:     r.StartBy,
		Outcome:     lovagestand.OutcomeWaiting,
		Retention:   max(r.Retention, DefaultRetention),
	}
	if last := now.Add(MaxStartDelay); c.StartBy.After(last) {
		c.StartBy = last
	}
	if e == nil {
		e = newEntry(c)
		h.entries[r.Key] = e
	} else {
		c.Attempt = e.claim.Attempt + 1
		c.Ran = e.claim.mayHaveRun()
		e.begin(c)
	}
	h.enqueue(e)
	return e
}

// refuse returns the answer for a request whose claim nobody was given.
func (h *Partition) refuse(key lovagestand.RequestKey, reason string, right lovagestand.OwnershipLease, now time.Time) error {
	h.stats.NotGranted++
	return &NotGrantedError{Key: key, Reason: reason, ValidUntil: h.tell(key, right, now)}
}

// mayHaveRun returns the answer for a request that was not given a new attempt
// but may have run in an earlier one.
func mayHaveRun(key lovagestand.RequestKey) error {
	return &AmbiguousError{Key: key, Reason: "no other attempt was granted, and an earlier one may have run"}
}

// leave ends a wait, with the claim if it is surely in the store.
func (h *Partition) leave(w wait, now time.Time) (Claim, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := w.entry
	current := e.claim.Attempt == w.attempt
	if current {
		e.leave(w.id)
	}
	right, err := h.right()
	if err != nil || h.closed {
		return Claim{}, &NotOwnerError{Home: h.name}
	}
	if !current {
		return Claim{}, &AmbiguousError{Key: e.claim.Key, Reason: "another attempt has begun"}
	}
	if e.granted() {
		return h.handOut(w, right, now), nil
	}
	if e.awaitedByOthers(w.id) {
		return Claim{}, &AmbiguousError{Key: e.claim.Key, Reason: "the claim is not written yet, and others wait for it"}
	}
	h.abandon(e, now)
	if e.claim.Ran {
		return Claim{}, mayHaveRun(e.claim.Key)
	}
	return Claim{}, h.refuse(e.claim.Key, "the store did not answer in time", right, now)
}

// handOut gives the claim to a request. The caller holds the lock.
func (h *Partition) handOut(w wait, right lovagestand.OwnershipLease, now time.Time) Claim {
	w.entry.handOut(w.id)
	if w.fresh {
		h.stats.Granted++
	} else {
		h.stats.Attached++
	}
	c := h.word(w.entry, right, now)
	c.Sole = w.entry.heldOnlyBy(w.id)
	return c
}

// word returns an entry's claim as it is given to an asker. The caller holds
// the lock.
func (h *Partition) word(e *entry, right lovagestand.OwnershipLease, now time.Time) Claim {
	c := e.claim
	if c.Outcome == lovagestand.OutcomeNotRun {
		c.ValidUntil = h.tell(c.Key, right, now)
	}
	return c
}

// abandon gives up an attempt that nobody was given and nobody waits for. If
// its write may still take effect the attempt is recorded as not run. The
// caller holds the lock.
func (h *Partition) abandon(e *entry, now time.Time) {
	if len(e.waiting) > 0 || e.claim.Settled() {
		return
	}
	if e.sent == 0 {
		delete(h.entries, e.claim.Key)
		h.queue = slices.DeleteFunc(h.queue, func(q *entry) bool { return q == e })
		return
	}
	e.set(e.claim.WithOutcome(lovagestand.OutcomeNotRun, "the claim was not granted", now))
	h.enqueue(e)
}
