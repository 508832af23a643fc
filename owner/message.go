package owner

import (
	"time"

	"lovagestand.example/lovagestand"
)

// MessageKind says what a [Message] asks or answers.
type MessageKind int

// The kinds of message.
const (
	// KindLeaseRequest asks a standby for its promise.
	KindLeaseRequest MessageKind = iota + 1
	// KindLeaseGrant gives it.
	KindLeaseGrant
	// KindSealed refuses it, since the standby has consented to a takeover.
	KindSealed
	// KindNewerEntry refuses anything about an epoch that has ended; its entry is
	// the newer one.
	KindNewerEntry
	// KindSeal asks a standby to consent to a takeover.
	KindSeal
	// KindConsent consents, for good unless the attempt is withdrawn.
	KindConsent
	// KindUnseal withdraws an attempt whose write was never sent.
	KindUnseal
	// KindWarm asks a standby to get ready to own the shard.
	KindWarm
	// KindWarmed says that it is ready.
	KindWarmed
	// KindPass tells the successor that it owns the epoch of the entry.
	KindPass
)

// Message is one thing an instance tells another about one shard.
type Message struct {
	Kind  MessageKind
	Entry Entry
	// Sent is the asker's own clock at the asking, echoed by the promise.
	Sent time.Duration
	// Attempt names one try at a takeover.
	Attempt string
	// Remaining is how long the sender's last promise may still run.
	Remaining time.Duration
	// ByHand says that the passed entry may not be in the store.
	ByHand bool
}

// Effect is something the driver of a [Node] has to do.
type Effect interface{ effect() }

// Send sends a message; it may be lost, delayed or overtaken.
type Send struct {
	To      lovagestand.InstanceID
	Message Message
}

// Read reads a region's document and reports with [Node.ReadDone].
type Read struct{ Region lovagestand.RegionName }

// Write replaces a region's document and reports with [Node.WriteDone].
type Write struct {
	Document Document
	Previous lovagestand.Revision
}

// Warm gets ready to own a shard and reports with [Node.WarmDone].
type Warm struct{ Shard lovagestand.ShardName }

// Acquire tells that this instance begins to own a shard.
type Acquire struct{ Right lovagestand.OwnershipLease }

// Release stops new starts on a shard, waits for those under way and reports
// with [Node.ReleaseDone].
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
