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

// settleTimeout bounds how long an answer is held back for its record.
const settleTimeout = 3 * time.Second

// claims connects the entry to the homes of claims.
type claims struct {
	client *claim.Client
	log    zerolog.Logger
}

var _ entry.Claims = claims{}

// Claim implements [entry.Claims].
func (c claims) Claim(ctx context.Context, r entry.ClaimRequest) (entry.Claim, error) {
	id := uuid.NewString()
	granted, err := c.client.Claim(ctx, claim.Request{
		ID:          id,
		Key:         r.Request.Key,
		Fingerprint: r.Fingerprint,
		Shard:       r.Shard,
		StartBy:     r.Request.StartBy,
		Submitted:   r.Submitted,
		Rerun:       r.Idempotent,
	})
	if err != nil {
		return entry.Claim{}, claimError(r.Request.Key, err)
	}
	g := entry.Claim{
		ID:      id,
		Task:    granted.Task,
		Shard:   granted.Shard,
		Created: granted.Created,
		StartBy: granted.StartBy,
		Fresh:   granted.Sole,
	}
	if granted.Settled() {
		g.Settled = &lovagestand.Answer{Key: r.Request.Key, Outcome: granted.Outcome, Reason: granted.Reason, Task: granted.Task}
	}
	return g, nil
}

// claimError translates what the entry tells apart.
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
func (c claims) Settle(ctx context.Context, g entry.Claim, answer lovagestand.Answer) lovagestand.Answer {
	limited, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	kept, err := c.client.Settle(limited, claim.Settlement{
		ID:      g.ID,
		Key:     answer.Key,
		Task:    g.Task,
		Outcome: answer.Outcome,
		Reason:  answer.Reason,
	})
	if answer.Outcome != lovagestand.OutcomeNotRun {
		if err != nil {
			c.log.Warn().Err(err).Str("key", string(answer.Key)).Msg("answer not recorded")
		}
		return answer
	}
	if err != nil {
		return lovagestand.UnknownAnswer(answer.Key, "another instance may still run it: "+err.Error())
	}
	if kept.Outcome != lovagestand.OutcomeNotRun {
		return lovagestand.UnknownAnswer(answer.Key, kept.Reason)
	}
	return answer
}
