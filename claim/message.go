package claim

import (
	"time"

	"github.com/pkg/errors"

	lovagestand "lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/claim/claimpb"
	"lovagestand.example/lovagestand/common/nanos"
)

func messageOf(c Claim) *claimpb.Claim {
	return &claimpb.Claim{
		Key:         string(c.Key),
		Fingerprint: c.Fingerprint,
		Attempt:     int64(c.Attempt),
		Task:        string(c.Task),
		Shard:       string(c.Shard),
		Created:     nanos.FromTime(c.Created),
		StartBy:     nanos.FromTime(c.StartBy),
		Outcome:     string(c.Outcome),
		Reason:      c.Reason,
		Ran:         c.EarlierMayHaveRun,
		Touched:     nanos.FromTime(c.OutcomeRecordedAt),
		Retention:   int64(c.Retention),
		ValidUntil:  nanos.FromTime(c.ValidUntil),
		Sole:        c.SoleHolder,
	}
}

func claimOf(m *claimpb.Claim) Claim {
	return Claim{
		Key:               lovagestand.RequestKey(m.Key),
		Fingerprint:       m.Fingerprint,
		Attempt:           int(m.Attempt),
		Task:              lovagestand.TaskID(m.Task),
		Shard:             lovagestand.ShardName(m.Shard),
		Created:           nanos.ToTime(m.Created),
		StartBy:           nanos.ToTime(m.StartBy),
		Outcome:           lovagestand.Outcome(m.Outcome),
		Reason:            m.Reason,
		EarlierMayHaveRun: m.Ran,
		OutcomeRecordedAt: nanos.ToTime(m.Touched),
		Retention:         time.Duration(m.Retention),
		ValidUntil:        nanos.ToTime(m.ValidUntil),
		SoleHolder:        m.Sole,
	}
}

// refusalOf returns the message for an error of this package; nil for any other
// error.
func refusalOf(err error) *claimpb.Refusal {
	var (
		mismatch   *MismatchError
		notGranted *NotGrantedError
		ambiguous  *AmbiguousError
		notOwner   *NotOwnerError
		stale      *StaleError
		tooEarly   *TooEarlyError
		invalid    *InvalidError
	)
	r := &claimpb.Refusal{}
	switch {
	case errors.As(err, &mismatch):
		r.Kind, r.Key = claimpb.RefusalKind_REFUSAL_KIND_MISMATCH, string(mismatch.Key)
		r.Asked, r.Found = mismatch.Requested, mismatch.Found
	case errors.As(err, &notGranted):
		r.Kind, r.Key = claimpb.RefusalKind_REFUSAL_KIND_NOT_GRANTED, string(notGranted.Key)
		r.Reason, r.Until = notGranted.Reason, nanos.FromTime(notGranted.ValidUntil)
	case errors.As(err, &ambiguous):
		r.Kind, r.Key = claimpb.RefusalKind_REFUSAL_KIND_AMBIGUOUS, string(ambiguous.Key)
		r.Reason = ambiguous.Reason
	case errors.As(err, &notOwner):
		r.Kind, r.Home = claimpb.RefusalKind_REFUSAL_KIND_NOT_OWNER, string(notOwner.Partition)
	case errors.As(err, &stale):
		r.Kind, r.Key = claimpb.RefusalKind_REFUSAL_KIND_STALE, string(stale.Key)
		r.Task, r.Last = string(stale.Task), string(stale.Last)
	case errors.As(err, &tooEarly):
		r.Kind, r.Key = claimpb.RefusalKind_REFUSAL_KIND_TOO_EARLY, string(tooEarly.Key)
		r.Until = nanos.FromTime(tooEarly.After)
	case errors.As(err, &invalid):
		r.Kind, r.Key = claimpb.RefusalKind_REFUSAL_KIND_INVALID, string(invalid.Key)
		r.Reason = invalid.Reason
	default:
		return nil
	}
	return r
}

// errorOf returns the error that a message stands for. It is the reverse of
// refusalOf; a message of an unknown kind becomes an [AmbiguousError].
func errorOf(r *claimpb.Refusal) error {
	key := lovagestand.RequestKey(r.Key)
	switch r.Kind {
	case claimpb.RefusalKind_REFUSAL_KIND_MISMATCH:
		return &MismatchError{Key: key, Requested: r.Asked, Found: r.Found}
	case claimpb.RefusalKind_REFUSAL_KIND_NOT_GRANTED:
		return &NotGrantedError{Key: key, Reason: r.Reason, ValidUntil: nanos.ToTime(r.Until)}
	case claimpb.RefusalKind_REFUSAL_KIND_NOT_OWNER:
		return &NotOwnerError{Partition: lovagestand.ShardName(r.Home)}
	case claimpb.RefusalKind_REFUSAL_KIND_STALE:
		return &StaleError{Key: key, Task: lovagestand.TaskID(r.Task), Last: lovagestand.TaskID(r.Last)}
	case claimpb.RefusalKind_REFUSAL_KIND_TOO_EARLY:
		return &TooEarlyError{Key: key, After: nanos.ToTime(r.Until)}
	case claimpb.RefusalKind_REFUSAL_KIND_INVALID:
		return &InvalidError{Key: key, Reason: r.Reason}
	default:
		return &AmbiguousError{Key: key, Reason: r.Reason}
	}
}
