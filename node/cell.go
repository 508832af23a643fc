package node

import (
	"context"
	"maps"
	"sync"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

// cellServer serves calls from the other instances. It implements cellpb.Cell.
type cellServer struct {
	adviser lovagestand.Adviser
	// depose ends the ownership with the given epoch for an owner whose writes to
	// the store fail.
	depose func(ctx context.Context, shard string, epoch lovagestand.Epoch)
	// suspects reports whether this instance watches the owner with the given
	// epoch and suspects that it has failed.
	suspects func(shard string, epoch lovagestand.Epoch) bool
	// ownershipEnded reports whether this instance has seen the ownership with the
	// given epoch end.
	ownershipEnded func(shard string, epoch lovagestand.Epoch) bool

	mu     sync.Mutex
	shards map[string]*shard.Shard
}

// addShard records a shard that this instance owns from now on.
func (c *cellServer) addShard(name string, s *shard.Shard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shards[name] = s
}

// removeShard records that this instance no longer owns a shard.
func (c *cellServer) removeShard(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.shards, name)
}

// ownedShard returns a shard that this instance owns, or nil if it does not own it.
func (c *cellServer) ownedShard(name string) *shard.Shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shards[name]
}

// shardStatuses returns a summary of each shard that this instance owns.
func (c *cellServer) shardStatuses() map[string]shard.Status {
	c.mu.Lock()
	owned := maps.Clone(c.shards)
	c.mu.Unlock()
	status := make(map[string]shard.Status, len(owned))
	for name, s := range owned {
		status[name] = s.Status()
	}
	return status
}

// verdictOf returns the verdict that corresponds to an error.
func verdictOf(err error) cellpb.Verdict {
	var rejected *shard.RejectedError
	var unknownJob *shard.UnknownJobError
	var otherTeam *shard.OtherTeamError
	var notOwner *shard.NotOwnerError
	switch {
	case err == nil:
		return cellpb.Verdict_VERDICT_OK
	case errors.As(err, &rejected):
		return cellpb.Verdict_VERDICT_REJECTED
	case errors.As(err, &unknownJob):
		return cellpb.Verdict_VERDICT_NO_SUCH_JOB
	case errors.As(err, &otherTeam):
		return cellpb.Verdict_VERDICT_OTHER_TEAM
	case errors.As(err, &notOwner):
		return cellpb.Verdict_VERDICT_NOT_OWNER
	}
	return cellpb.Verdict_VERDICT_UNKNOWN
}

// Submit implements cellpb.Cell.
func (c *cellServer) Submit(ctx context.Context, r *cellpb.SubmitRequest) (*cellpb.SubmitReply, error) {
	s := c.ownedShard(r.GetShard())
	if s == nil {
		return &cellpb.SubmitReply{Verdict: cellpb.Verdict_VERDICT_NOT_OWNER}, nil
	}
	j, err := job.DecodeJob(r.GetJob())
	if err != nil {
		return nil, twirp.InvalidArgumentError("job", err.Error())
	}
	err = s.Submit(ctx, j, r.GetJob(), r.GetVersion())
	reply := &cellpb.SubmitReply{Verdict: verdictOf(err)}
	var rejected *shard.RejectedError
	if errors.As(err, &rejected) {
		reply.Reason = rejected.Reason
		reply.RetryAfterMillis = rejected.RetryAfter.Milliseconds()
		reply.OverLimit, reply.Overloaded, reply.Stalled = rejected.OverLimit, rejected.Overloaded, rejected.Stalled
	}
	return reply, nil
}

// State implements cellpb.Cell.
func (c *cellServer) State(ctx context.Context, r *cellpb.JobRequest) (*cellpb.StateReply, error) {
	s := c.ownedShard(r.GetShard())
	if s == nil {
		return &cellpb.StateReply{Verdict: cellpb.Verdict_VERDICT_NOT_OWNER}, nil
	}
	phase, err := s.State(ctx, job.ID(r.GetId()), lovagestand.TeamName(r.GetTeam()))
	return &cellpb.StateReply{Verdict: verdictOf(err), Phase: phase}, nil
}

// Cancel implements cellpb.Cell.
func (c *cellServer) Cancel(ctx context.Context, r *cellpb.JobRequest) (*cellpb.CancelReply, error) {
	s := c.ownedShard(r.GetShard())
	if s == nil {
		return &cellpb.CancelReply{Verdict: cellpb.Verdict_VERDICT_NOT_OWNER}, nil
	}
	return &cellpb.CancelReply{Verdict: verdictOf(s.Cancel(ctx, job.ID(r.GetId()), lovagestand.TeamName(r.GetTeam())))}, nil
}

// Pending implements cellpb.Cell.
func (c *cellServer) Pending(_ context.Context, r *cellpb.PendingRequest) (*cellpb.PendingReply, error) {
	s := c.ownedShard(r.GetShard())
	if s == nil {
		return &cellpb.PendingReply{Verdict: cellpb.Verdict_VERDICT_NOT_OWNER}, nil
	}
	n, err := s.Pending(lovagestand.RouteName(r.GetRoute()))
	return &cellpb.PendingReply{Verdict: verdictOf(err), Jobs: int64(n)}, nil
}

// Advise implements cellpb.Cell.
func (c *cellServer) Advise(ctx context.Context, r *cellpb.AdviseRequest) (*cellpb.AdviseReply, error) {
	workers := make([]lovagestand.WorkerName, len(r.GetWorkers()))
	for i, w := range r.GetWorkers() {
		workers[i] = lovagestand.WorkerName(w)
	}
	advice, err := c.adviser.Advise(ctx, r.GetStep(), workers)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	reply := &cellpb.AdviseReply{ValidityMillis: advice.Validity.Milliseconds()}
	for _, t := range advice.Tickets {
		reply.Tickets = append(reply.Tickets, &cellpb.Ticket{Worker: string(t.Worker), Value: t.Value})
	}
	return reply, nil
}

// Depose implements cellpb.Cell.
func (c *cellServer) Depose(ctx context.Context, r *cellpb.DeposeRequest) (*cellpb.DeposeReply, error) {
	c.depose(ctx, r.GetShard(), lovagestand.Epoch(r.GetEpoch()))
	return &cellpb.DeposeReply{}, nil
}

// Ping implements cellpb.Cell.
func (c *cellServer) Ping(context.Context, *cellpb.PingRequest) (*cellpb.PingReply, error) {
	return &cellpb.PingReply{}, nil
}

// Missed implements cellpb.Cell.
func (c *cellServer) Missed(_ context.Context, r *cellpb.MissedRequest) (*cellpb.MissedReply, error) {
	return &cellpb.MissedReply{Missed: c.suspects(r.GetShard(), lovagestand.Epoch(r.GetEpoch()))}, nil
}

// Over implements cellpb.Cell.
func (c *cellServer) Over(_ context.Context, r *cellpb.OverRequest) (*cellpb.OverReply, error) {
	return &cellpb.OverReply{Over: c.ownershipEnded(r.GetShard(), lovagestand.Epoch(r.GetEpoch()))}, nil
}
