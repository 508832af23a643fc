package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	lovagestand "lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/claim/claimpb"
	"lovagestand.example/lovagestand/common/nanos"
)

// service makes a [Server] available over twirp.
type service struct {
	server Server
}

// NewService returns a twirp service that passes its calls to server.
func NewService(server Server) claimpb.Claims {
	return &service{server: server}
}

// Claim implements claimpb.Claims.
func (s *service) Claim(ctx context.Context, m *claimpb.ClaimRequest) (*claimpb.ClaimReply, error) {
	return replyOf(s.server.Claim(ctx, Request{
		ID:          m.Id,
		Key:         lovagestand.RequestKey(m.Key),
		Fingerprint: m.Fingerprint,
		Shard:       lovagestand.ShardName(m.Shard),
		StartBy:     nanos.ToTime(m.StartBy),
		Retention:   time.Duration(m.Retention),
		Rerun:       m.Rerun,
		Submitted:   nanos.ToTime(m.Submitted),
	}))
}

// Settle implements claimpb.Claims.
func (s *service) Settle(ctx context.Context, m *claimpb.SettleRequest) (*claimpb.ClaimReply, error) {
	return replyOf(s.server.Settle(ctx, Settlement{
		ID:      m.Id,
		Key:     lovagestand.RequestKey(m.Key),
		Task:    lovagestand.TaskID(m.Task),
		Outcome: lovagestand.Outcome(m.Outcome),
		Reason:  m.Reason,
		ReadAt:  nanos.ToTime(m.ReadAt),
		Stopped: m.Stopped,
	}))
}

// Remote is the [Server] of another instance, called over twirp.
type Remote struct {
	client claimpb.Claims
}

// NewRemote returns the server that client calls.
func NewRemote(client claimpb.Claims) *Remote {
	return &Remote{client: client}
}

// Claim implements [Server].
func (r *Remote) Claim(ctx context.Context, request Request) (Claim, error) {
	return resultOf(r.client.Claim(ctx, &claimpb.ClaimRequest{
		Id:          request.ID,
		Key:         string(request.Key),
		Fingerprint: request.Fingerprint,
		Shard:       string(request.Shard),
		StartBy:     nanos.FromTime(request.StartBy),
		Retention:   int64(request.Retention),
		Rerun:       request.Rerun,
		Submitted:   nanos.FromTime(request.Submitted),
	}))
}

// Settle implements [Server].
func (r *Remote) Settle(ctx context.Context, s Settlement) (Claim, error) {
	return resultOf(r.client.Settle(ctx, &claimpb.SettleRequest{
		Id:      s.ID,
		Key:     string(s.Key),
		Task:    string(s.Task),
		Outcome: string(s.Outcome),
		Reason:  s.Reason,
		ReadAt:  nanos.FromTime(s.ReadAt),
		Stopped: s.Stopped,
	}))
}

// resultOf converts the result of a remote call to a claim or an error.
func resultOf(m *claimpb.ClaimReply, err error) (Claim, error) {
	switch {
	case err != nil:
		return Claim{}, errors.Wrap(err, "call the home's owner")
	case m.Refusal != nil:
		return Claim{}, errorOf(m.Refusal)
	case m.Claim == nil:
		return Claim{}, errors.New("the home's owner sent an empty reply")
	default:
		return claimOf(m.Claim), nil
	}
}

// replyOf converts a claim or an error to the reply that is sent. An error that is
// not of this package becomes a twirp error.
func replyOf(c Claim, err error) (*claimpb.ClaimReply, error) {
	if err == nil {
		return &claimpb.ClaimReply{Claim: messageOf(c)}, nil
	}
	refusal := refusalOf(err)
	if refusal == nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &claimpb.ClaimReply{Refusal: refusal}, nil
}
