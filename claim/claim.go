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
	// NumberOfPartitions is how many homes share the keys. It is the same in every
	// instance for ever, because it decides which home a key belongs to.
	NumberOfPartitions = 18
	// MaxKeyBytes is the longest key that can be claimed, in bytes.
	MaxKeyBytes = 256
	// ClockMargin is by how much the clocks of two processes may differ.
	ClockMargin = 500 * time.Millisecond
	// NotRunHoldOff is how long after its word that a request has not run a home
	// begins no other attempt of it. In that time the word must reach the
	// caller.
	NotRunHoldOff = 3 * ClockMargin
	// MaxStartDelay is the longest time from a claim to its StartBy.
	MaxStartDelay = WorkerRetention / 2
	// WorkerRetention is how long workers keep ended tasks at least. Within
	// that time of a claim, a task no worker knows has surely not run.
	WorkerRetention = 10 * time.Minute
	// DefaultRetention is how long a settled claim is kept. It is longer than
	// WorkerRetention, so a key is known for as long as its answer can be had.
	DefaultRetention = WorkerRetention + time.Minute
	// UnsettledRetention is how long a claim without a final outcome is kept
	// after its StartBy or its last [Settlement] of [lovagestand.OutcomeWaiting].
	UnsettledRetention = 24 * time.Hour
)

// PartitionOf returns the ownership unit that holds the claims of a key.
func PartitionOf(key lovagestand.RequestKey) lovagestand.ShardName {
	return PartitionName(int(xxhash.Sum64String(string(key)) % NumberOfPartitions))
}

// PartitionName returns the name of home n, from 0 to NumberOfHomes-1.
func PartitionName(n int) lovagestand.ShardName {
	return lovagestand.ShardName("claims/" + strconv.Itoa(n))
}

// PartitionNames returns the names of all homes.
func PartitionNames() []lovagestand.ShardName {
	names := make([]lovagestand.ShardName, NumberOfPartitions)
	for i := range names {
		names[i] = PartitionName(i)
	}
	return names
}

// Request asks for the claim of a key.
type Request struct {
	// ID names one call of a caller at one entry. Asking again with the same
	// ID is a retry; another ID is another holder of the claim.
	ID          string
	Key         lovagestand.RequestKey
	Fingerprint uint64
	// Shard is where the task goes if the key is new.
	Shard lovagestand.ShardName
	// StartBy is when the task must have started; the claim's StartBy may be
	// earlier, by MaxStartDelay. The call waits no longer than this.
	StartBy time.Time
	// Retention is how long the claim is kept once settled; DefaultRetention
	// if shorter than that.
	Retention time.Duration
	// Submitted is when the caller's request reached the instance; zero stands
	// for now. A request from before the key was said not to have run is not
	// another try, but a late copy of the one answered.
	Submitted time.Time
	// Rerun asks for another attempt if the last one ended without being done.
	// Set it only for idempotent requests.
	Rerun bool
}

// WithShard returns a copy of r that goes to a shard.
func (r Request) WithShard(shard lovagestand.ShardName) Request {
	r.Shard = shard
	return r
}

// Claim says which task is the attempt to run a request.
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
	// Ran says that an earlier attempt has or may have run.
	Ran bool `json:"ran,omitempty"`
	// Touched is when the claim was last settled, or last said to be waiting.
	Touched   time.Time     `json:"touched,omitzero"`
	Retention time.Duration `json:"retention"`
	// ValidUntil is when the home's word that the attempt has not run may be
	// overtaken by another attempt; set only with that outcome.
	ValidUntil time.Time `json:"-"`
	// Sole says that nobody else had been given the attempt when this answer
	// was made, so that nobody else can have sent its task to a worker.
	Sole bool `json:"-"`
}

// Settled reports whether the attempt has ended for good.
func (c Claim) Settled() bool {
	return c.Outcome.Final()
}

// WithOutcome returns a copy of c with an outcome recorded at now.
// An attempt not run of a request that may have run before is recorded as
// unknown.
func (c Claim) WithOutcome(outcome lovagestand.Outcome, reason string, now time.Time) Claim {
	if outcome == lovagestand.OutcomeNotRun && c.Ran {
		outcome = lovagestand.OutcomeUnknown
	}
	c.Outcome = outcome
	c.Reason = sanitize(reason)
	c.Touched = now
	return c
}

// ExpiresAt returns when the claim may be forgotten.
func (c Claim) ExpiresAt() time.Time {
	if c.Settled() {
		return c.Touched.Add(c.Retention)
	}
	if c.Touched.After(c.StartBy) {
		return c.Touched.Add(UnsettledRetention)
	}
	return c.StartBy.Add(UnsettledRetention)
}

// mayHaveRun reports whether this or an earlier attempt has or may have run.
func (c Claim) mayHaveRun() bool {
	return c.Ran || c.Outcome != lovagestand.OutcomeNotRun
}

// allowsNewAttempt reports whether a repeated key takes another attempt.
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

// alreadyAnswers reports whether the claim's word that it did not run is the answer
// to a request too: one submitted before the word was given.
func (c Claim) alreadyAnswers(r Request) bool {
	late := !r.Submitted.IsZero() && !r.Submitted.After(c.Touched.Add(ClockMargin))
	return c.Outcome == lovagestand.OutcomeNotRun && late
}

// Settlement says what became of a claimed task.
type Settlement struct {
	// ID is the ID of the settling holder's [Request]; empty for the owner of
	// the task's shard.
	ID   string
	Key  lovagestand.RequestKey
	Task lovagestand.TaskID
	// Outcome is final, or [lovagestand.OutcomeWaiting] to say that the task
	// still runs. Done, failed and cancelled are what the task's worker said.
	Outcome lovagestand.Outcome
	// Stopped says that the task surely runs no more: its worker confirmed the
	// stop, or its lease has lapsed. [lovagestand.OutcomeUnknown] without it
	// leaves the claim open, so that a repeated key attaches to the task.
	Stopped bool
	Reason  string
	// ReadAt is when the shard's owner, or its workers, were asked for the
	// outcome. It counts for [lovagestand.OutcomeNotRun]: what was read before
	// every holder's time to start had passed says nothing of later starts.
	ReadAt time.Time
}

const maxReasonBytes = 256

// sanitize bounds what a reason takes in a document.
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
