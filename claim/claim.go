package claim

import (
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"

	lovagestand "lovagestand.example/lovagestand"
)

const (
	// NumberOfPartitions is the number of partitions that the keys are spread
	// over. It must be the same in every instance and must never change, because
	// it determines which partition a key belongs to.
	NumberOfPartitions = 18
	// MaxKeyBytes is the maximum length in bytes of a key that can be claimed.
	MaxKeyBytes = 256
	// ClockMargin is the maximum difference between the clocks of two processes.
	ClockMargin = 500 * time.Millisecond
	// NotRunHoldOff is the time, after a partition has reported that the request
	// of a key has not run, in which it begins no other attempt of the key. The
	// report must reach the caller within that time.
	NotRunHoldOff = 3 * ClockMargin
	// MaxStartDelay is the maximum time from the creation of a claim to its
	// StartBy.
	MaxStartDelay = WorkerRetention / 2
	// WorkerRetention is the minimum time for which workers remember ended
	// tasks. If the workers are queried within that time after the creation of
	// a claim, a task of which none of them has a record is guaranteed not to
	// have run.
	WorkerRetention = 10 * time.Minute
	// DefaultRetention is how long a settled claim is stored. It is longer than
	// WorkerRetention, so that the claim exists for as long as the answer can be
	// fetched from the worker.
	DefaultRetention = WorkerRetention + time.Minute
	// UnsettledRetention is how long a claim without a final outcome is stored
	// after its StartBy or, if that is later, after its last [Settlement] with
	// [lovagestand.OutcomeWaiting].
	UnsettledRetention = 24 * time.Hour
)

// PartitionOf returns the name of the partition of a key. A partition is a unit
// of ownership, so it is named like a shard.
func PartitionOf(key lovagestand.RequestKey) lovagestand.ShardName {
	return PartitionName(int(xxhash.Sum64String(string(key)) % NumberOfPartitions))
}

// PartitionName returns the name of partition n, from 0 to NumberOfPartitions-1.
func PartitionName(n int) lovagestand.ShardName {
	return lovagestand.ShardName("claims/" + strconv.Itoa(n))
}

// PartitionNames returns the names of all partitions.
func PartitionNames() []lovagestand.ShardName {
	names := make([]lovagestand.ShardName, NumberOfPartitions)
	for i := range names {
		names[i] = PartitionName(i)
	}
	return names
}

// Request asks for the claim of a key.
type Request struct {
	// ID identifies one call of a caller at one instance. A request with the
	// same ID is a retry; a request with a different ID is a different holder
	// of the claim.
	ID  string
	Key lovagestand.RequestKey
	// Fingerprint distinguishes different requests with the same key.
	Fingerprint uint64
	// Shard is the shard that the task is sent to if the key is new.
	Shard lovagestand.ShardName
	// StartBy is the deadline for the start of the task. The claim's StartBy is
	// at most MaxStartDelay after its creation and may therefore be earlier.
	// The call waits no longer than until StartBy.
	StartBy time.Time
	// Retention is how long the claim is stored once it is settled;
	// DefaultRetention if shorter than that.
	Retention time.Duration
	// Submitted is when the caller's request reached the instance; zero means
	// now. A request that was submitted before the key was recorded as not run
	// begins no other attempt, because it is a late duplicate of the request
	// that has already been answered.
	Submitted time.Time
	// Rerun requests another attempt if the last one ended without being done.
	// It must only be set for idempotent requests.
	Rerun bool
}

// WithShard returns a copy of r whose task is sent to shard.
func (r Request) WithShard(shard lovagestand.ShardName) Request {
	r.Shard = shard
	return r
}

// Claim records which task is the current attempt to run a request.
type Claim struct {
	Key         lovagestand.RequestKey `json:"key"`
	Fingerprint uint64                 `json:"fingerprint,string"`
	// Attempt counts from 1.
	Attempt int                   `json:"attempt"`
	Task    lovagestand.TaskID    `json:"task"`
	Shard   lovagestand.ShardName `json:"shard"`
	Created time.Time             `json:"created"`
	StartBy time.Time             `json:"startBy"`
	Outcome lovagestand.Outcome   `json:"outcome"`
	Reason  string                `json:"reason,omitempty"`
	// EarlierMayHaveRun is set if an earlier attempt has run or may have run.
	EarlierMayHaveRun bool `json:"ran,omitempty"`
	// OutcomeRecordedAt is when an outcome was last recorded, be it a final one
	// or [lovagestand.OutcomeWaiting].
	OutcomeRecordedAt time.Time     `json:"touched,omitzero"`
	Retention         time.Duration `json:"retention"`
	// ValidUntil is when another attempt may begin, so that
	// [lovagestand.OutcomeNotRun] can no longer be relied on. It is set only
	// with that outcome.
	ValidUntil time.Time `json:"-"`
	// SoleHolder is set if no other request had received the attempt when this
	// reply was made, so that no one else can have sent its task to a worker.
	SoleHolder bool `json:"-"`
}

// Settled reports whether the attempt has a final outcome.
func (c Claim) Settled() bool {
	return c.Outcome.Final()
}

// WithOutcome returns a copy of c with an outcome recorded at now. If an earlier
// attempt may have run, [lovagestand.OutcomeNotRun] is recorded as
// [lovagestand.OutcomeUnknown].
func (c Claim) WithOutcome(outcome lovagestand.Outcome, reason string, now time.Time) Claim {
	if outcome == lovagestand.OutcomeNotRun && c.EarlierMayHaveRun {
		outcome = lovagestand.OutcomeUnknown
	}
	c.Outcome = outcome
	c.Reason = sanitize(reason)
	c.OutcomeRecordedAt = now
	return c
}

// ExpiresAt returns when the claim may be deleted.
func (c Claim) ExpiresAt() time.Time {
	if c.Settled() {
		return c.OutcomeRecordedAt.Add(c.Retention)
	}
	if c.OutcomeRecordedAt.After(c.StartBy) {
		return c.OutcomeRecordedAt.Add(UnsettledRetention)
	}
	return c.StartBy.Add(UnsettledRetention)
}

// mayHaveRun reports whether this or an earlier attempt has run or may have run.
func (c Claim) mayHaveRun() bool {
	return c.EarlierMayHaveRun || c.Outcome != lovagestand.OutcomeNotRun
}

// allowsNewAttempt reports whether a request with the same key may begin another
// attempt. rerun is the Rerun of that request.
func (c Claim) allowsNewAttempt(rerun bool) bool {
	switch c.Outcome {
	case lovagestand.OutcomeNotRun:
		return true
	case lovagestand.OutcomeFailed, lovagestand.OutcomeCancelled, lovagestand.OutcomeUnknown:
		return rerun
	default:
		return false
	}
}

// alreadyAnswers reports whether the recorded outcome "not run" is the answer to
// r too. That is the case if r was submitted before the outcome was recorded, with
// ClockMargin as the tolerance.
func (c Claim) alreadyAnswers(r Request) bool {
	late := !r.Submitted.IsZero() && !r.Submitted.After(c.OutcomeRecordedAt.Add(ClockMargin))
	return c.Outcome == lovagestand.OutcomeNotRun && late
}

// Settlement reports the outcome of a claimed task.
type Settlement struct {
	// ID is the ID of the [Request] of the holder that reports the outcome. It
	// is empty if the owner of the task's shard reports it.
	ID   string
	Key  lovagestand.RequestKey
	Task lovagestand.TaskID
	// Outcome is final, or [lovagestand.OutcomeWaiting] if the task is still
	// running. The outcomes done, failed and cancelled are reported by the
	// task's worker.
	Outcome lovagestand.Outcome
	// Stopped is set if the task is guaranteed not to be running any more,
	// because its worker confirmed the stop or its lease has lapsed. Without it,
	// [lovagestand.OutcomeUnknown] leaves the claim open, so that a request with
	// the same key attaches to the task.
	Stopped bool
	Reason  string
	// ReadAt is when the shard's owner or its workers were queried for the
	// outcome. It matters for [lovagestand.OutcomeNotRun]: a query made before
	// the start deadline has passed for every holder does not rule out a later
	// start.
	ReadAt time.Time
}

const maxReasonBytes = 256

// sanitize returns reason in the form in which it is stored: at most
// maxReasonBytes long, to bound the size of a document, as valid UTF-8, and with
// a space for each character that is not printable. A key is valid only if
// sanitize does not change it.
func sanitize(reason string) string {
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes]
	}
	return strings.Map(printable, strings.ToValidUTF8(reason, ""))
}

func printable(r rune) rune {
	if unicode.IsPrint(r) {
		return r
	}
	return ' '
}
