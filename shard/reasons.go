package shard

import (
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/dispatch"
)

// RejectionReason names why a job would not be accepted.
type RejectionReason string

// The reasons for which a job would be rejected.
const (
	RejectsForStore     RejectionReason = "storeStalled"
	RejectsForTeam      RejectionReason = "teamWithdrawn"
	RejectsForCap       RejectionReason = "beyondCap"
	RejectsForLoad      RejectionReason = "overload"
	RejectsForMemory    RejectionReason = "memory"
	RejectsKnownID      RejectionReason = "knownID"
	RejectsOtherTeamsID RejectionReason = "otherTeamsID"
	RejectsCancelledID  RejectionReason = "cancelledID"
)

// The reasons for which steps wait that a pass does not consider. Those of the others are
// in package dispatch.
const (
	// WaitsForSteps means that earlier steps of the job must end first.
	WaitsForSteps dispatch.WaitReason = "earlierSteps"
	// WaitsForStartTime means that the job has a time at which it starts.
	WaitsForStartTime dispatch.WaitReason = "startTime"
	// WaitsForConfiguration means that the owner has read no configuration.
	WaitsForConfiguration dispatch.WaitReason = "configuration"
	// WaitsForAssurance means that another owner may send orders to workers.
	WaitsForAssurance dispatch.WaitReason = "notAssured"
	// WaitsForQueue means that a pass considers only steps ahead in the queue.
	WaitsForQueue dispatch.WaitReason = "queue"
	// WaitsForFairShare means that the workers are full and the step is beyond the
	// entitlement of its team, so that steps of other teams go first.
	WaitsForFairShare dispatch.WaitReason = "fairShare"
	// WaitsForCapShare means that other shards hold the rest of the cap.
	WaitsForCapShare dispatch.WaitReason = "capShare"
	// WaitsForPolicy means that policy allows the step on too few workers of the shard.
	WaitsForPolicy dispatch.WaitReason = "policy"
	// WaitsForFormerRuns means that the cap leaves room only once the runs of former
	// owners are known.
	WaitsForFormerRuns dispatch.WaitReason = "formerRuns"
	// WaitsForFormerOwner means that workers which may run any task of a former owner have
	// not answered, or not with all ends.
	WaitsForFormerOwner dispatch.WaitReason = "formerOwner"
)

// waitMessages are the sentences for operators, by reason.
var waitMessages = map[dispatch.WaitReason]string{
	dispatch.WaitsForWorker:       "no open worker has the service and the label, and is large enough",
	dispatch.WaitsForRoom:         "no worker has room",
	dispatch.WaitsForSpread:       "the workers with room have as many tasks of the step as it allows on one worker",
	dispatch.WaitsForReservation:  "the room that is free is reserved for steps ahead",
	dispatch.WaitsForLocality:     "the tasks wait for room near their data or within one rack",
	dispatch.WaitsForCap:          waitsForQuota,
	dispatch.WaitsForAdvice:       "advice is not known yet",
	dispatch.WaitsForAdviceClient: "advice is not known yet, and all clients for it are busy",
	dispatch.WaitsForHeadroom:     "the job would be too late to be of use, and room is kept for others",
	WaitsForPolicy:                "policy allows the tasks on too few workers of the shard",
	WaitsForSteps:                 "earlier steps of the job must end first",
	WaitsForStartTime:             "the start time of the job has not come",
	WaitsForConfiguration:         waitsForConfiguration,
	WaitsForAssurance:             "the ownership is not assured at the moment",
	WaitsForQueue:                 "a pass considers only steps further ahead in the queue",
	WaitsForFairShare:             "no worker has room, and the team is beyond its fair share",
	WaitsForCapShare:              waitsForShare,
	WaitsForFormerRuns:            waitsForFormerRuns,
	WaitsForFormerOwner:           "workers that may run tasks of a former owner have not answered with all that they hold",
}

// rejectionOf describes an error with which a job is rejected.
func rejectionOf(err error) *Rejection {
	var beyondCap *QuotaError
	var full *MemoryError
	var rejected *RejectedError
	if !errors.As(err, &rejected) {
		return &Rejection{Reason: RejectsForTeam, Message: err.Error()}
	}
	r := &Rejection{Reason: RejectsForTeam, Message: rejected.Reason, RetryAfter: rejected.RetryAfter.Milliseconds()}
	switch {
	case errors.As(err, &beyondCap):
		r.Reason = RejectsForCap
	case errors.As(err, &full):
		r.Reason = RejectsForMemory
	case rejected.Overloaded:
		r.Reason = RejectsForLoad
	case rejected.Stalled:
		r.Reason = RejectsForStore
	}
	return r
}
