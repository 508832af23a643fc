package owner

import (
	"time"

	"lovagestand.example/lovagestand"
)

// MessageKind is the purpose of a [Message].
type MessageKind int

// The kinds of messages.
const (
	// KindLeaseRequest asks a standby to grant the owner a lease.
	KindLeaseRequest MessageKind = iota + 1
	// KindLeaseGrant grants the owner a lease.
	KindLeaseGrant
	// KindSealed refuses the grant because the standby has sealed the epoch.
	KindSealed
	// KindNewerEntry refuses any request about an epoch that has ended. It
	// carries the newer entry.
	KindNewerEntry
	// KindSeal asks a standby to seal the epoch and so consent to a takeover.
	KindSeal
	// KindConsent confirms that the standby has sealed the epoch. The seal stays
	// until the epoch ends, unless the attempt is withdrawn.
	KindConsent
	// KindUnseal withdraws a takeover attempt whose write was never sent.
	KindUnseal
	// KindWarm asks a standby to prepare to own the shard.
	KindWarm
	// KindWarmed reports that the standby is ready to own the shard.
	KindWarmed
	// KindPass informs the successor that it owns the shard in the epoch of the
	// entry.
	KindPass
)

// Message is a message from one instance to another about one shard.
type Message struct {
	Kind  MessageKind
	Entry Entry
	// Sent is when a lease was requested, on the clock of the requester. The
	// grant returns it unchanged.
	Sent time.Duration
	// Attempt identifies a takeover attempt.
	Attempt string
	// Remaining is how long the last lease that the sender granted may still be
	// in force.
	Remaining time.Duration
	// WithoutStore indicates a handover without the store: the store may not
	// contain the entry.
	WithoutStore bool
}

// Effect is an action that the driver of a [Node] has to carry out.
type Effect interface{ effect() }

// Send sends a message. Messages may be lost, delayed or reordered.
type Send struct {
	To      lovagestand.InstanceID
	Message Message
}

// Read reads a region's document. The driver reports the result with
// [Node.ReadDone].
type Read struct{ Region lovagestand.RegionName }

// Write replaces a region's document if its revision is still Previous. The driver
// reports the result with [Node.WriteDone].
type Write struct {
	Document Document
	Previous lovagestand.Revision
}

// Warm prepares to own a shard. The driver reports with [Node.WarmDone] when it is
// ready.
type Warm struct{ Shard lovagestand.ShardName }

// Acquire reports that this instance has acquired the ownership lease of a shard.
type Acquire struct{ Lease lovagestand.OwnershipLease }

// Release stops new starts on a shard and waits for the starts in flight. The
// driver reports the end with [Node.ReleaseDone].
type Release struct {
	Shard lovagestand.ShardName
	Epoch lovagestand.Epoch
}

func (Send) effect()    {}
func (Read) effect()    {}
func (Write) effect()   {}
func (Warm) effect()    {}
func (Acquire) effect() {}
func (Release) effect() {}
