package instance

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/claim"
	"lovagestand.example/lovagestand/entry"
)

// settleTimeout bounds how long an answer is delayed until it is recorded in its
// claim.
const settleTimeout = 3 * time.Second

// claims implements [entry.Claims] by calls to the claim partitions.
type claims struct {
	client *claim.Client
	log    zerolog.Logger
}

var _ entry.Claims = claims{}

// Claim implements [entry.Claims].
func (c claims) Claim(ctx context.Context, request entry.ClaimRequest) (entry.Claim, error) {
	id := uuid.NewString()
	granted, err := c.client.Claim(ctx, claim.Request{
		ID:          id,
		Key:         request.Request.Key,
		Fingerprint: request.Fingerprint,
		Shard:       request.Shard,
		StartBy:     request.Request.StartBy,
		Submitted:   request.Submitted,
		Rerun:       request.Idempotent,
	})
	if err != nil {
		return entry.Claim{}, claimError(request.Request.Key, err)
	}
	result := entry.Claim{
		ID:         id,
		Task:       granted.Task,
		Shard:      granted.Shard,
		Created:    granted.Created,
		StartBy:    granted.StartBy,
		SoleHolder: granted.SoleHolder,
	}
	if granted.Settled() {
		result.Settled = &lovagestand.Answer{Key: request.Request.Key, Outcome: granted.Outcome, Reason: granted.Reason, Task: granted.Task}
	}
	return result, nil
}

// claimError converts an error of package claim to the one that the entry expects.
// If the claim may have been granted in spite of the error, the result is an
// [entry.UnknownOutcomeError].
func claimError(key lovagestand.RequestKey, err error) error {
	var mismatch *claim.MismatchError
	var notGranted *claim.NotGrantedError
	var invalid *claim.InvalidError
	switch {
	case errors.As(err, &mismatch):
		return &entry.KeyMismatchError{Key: key}
	case errors.As(err, &notGranted), errors.As(err, &invalid):
		return err
	}
	return &entry.UnknownOutcomeError{Key: key, Reason: err.Error()}
}

// Settle implements [entry.Claims].
func (c claims) Settle(ctx context.Context, granted entry.Claim, answer lovagestand.Answer) lovagestand.Answer {
	callCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	recorded, err := c.client.Settle(callCtx, claim.Settlement{
		ID:      granted.ID,
		Key:     answer.Key,
		Task:    granted.Task,
		Outcome: answer.Outcome,
		Reason:  answer.Reason,
	})
	if answer.Outcome != lovagestand.OutcomeNotRun {
		if err != nil {
			c.log.Warn().Err(err).Str("key", string(answer.Key)).Msg("answer was not recorded in its claim")
		}
		return answer
	}
	if err != nil {
		return lovagestand.UnknownAnswer(answer.Key, "another instance may still run it: "+err.Error())
	}
	if recorded.Outcome != lovagestand.OutcomeNotRun {
		return lovagestand.UnknownAnswer(answer.Key, recorded.Reason)
	}
	return answer
}
