package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/semaphore"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

const (
	// handoverWait is how long a call waits for the next owner after the former
	// one has released the shard. A planned handover takes less time.
	handoverWait = 700 * time.Millisecond
	// isolatedAfter is how long calls to the owner must have failed before this
	// instance sends callers to other instances.
	isolatedAfter = 900 * time.Millisecond
	// probeInterval is the time between calls that check whether the owner can be
	// reached again.
	probeInterval = 300 * time.Millisecond
	// handoverPollInterval is the time between two attempts of a call whose shard
	// has no owner that serves it.
	handoverPollInterval = 40 * time.Millisecond
	// connectTimeout bounds the opening of a connection to another instance.
	connectTimeout = 400 * time.Millisecond
	// attemptTimeout bounds one attempt of a call to the owner. The owner answers
	// once the store has persisted the change, which takes a slow store up to
	// half a second.
	attemptTimeout = 800 * time.Millisecond
	// callTimeout bounds all attempts of a call for one request. Calls are
	// idempotent, so a call without an answer is sent again, to the next owner if
	// there is one. The timeout is less than half of the three seconds that
	// callers usually wait, so that they have time left to ask another instance.
	callTimeout = 1400 * time.Millisecond
	// slotWait is how long a call waits while too many calls to owners are in progress.
	slotWait = 300 * time.Millisecond
	// busyRetryAfter is the Retry-After value of calls that then have no slot. The calls in
	// progress end within callTimeout.
	busyRetryAfter = 2 * time.Second
	// ownerFullRetryAfter is the Retry-After value of large jobs that the owner has no room to
	// receive. It waits for the writes of those before.
	ownerFullRetryAfter = time.Second
	// idlePeerConnections bounds the number of idle connections to one instance.
	idlePeerConnections = 16
)

// peers holds the clients for calls to other instances.
type peers struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]cellpb.Cell
}

func newPeers() *peers {
	return &peers{
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			MaxIdleConnsPerHost: idlePeerConnections,
			IdleConnTimeout:     90 * time.Second,
		}},
		clients: map[string]cellpb.Cell{},
	}
}

// client returns the client for the instance at an address.
func (p *peers) client(address string) cellpb.Cell {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = cellpb.NewCellProtobufClient("http://"+address, p.http)
		p.clients[address] = c
	}
	return c
}

// ownerSlots bounds the calls for callers that are in progress. Submissions and queries have
// slots of their own, so that neither keeps the other out.
type ownerSlots struct {
	submissions, queries *semaphore.Weighted
}

func newOwnerSlots(n int) ownerSlots {
	return ownerSlots{submissions: semaphore.NewWeighted(int64(n)), queries: semaphore.NewWeighted(int64(n))}
}

// acquireSlot waits for a slot for up to slotWait, and returns the function that frees it.
func acquireSlot(ctx context.Context, slots *semaphore.Weighted) (release func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, slotWait)
	defer cancel()
	if err := slots.Acquire(ctx, 1); err != nil {
		return nil, &shard.RejectedError{Reason: "too many calls to the owners of shards are in progress", RetryAfter: busyRetryAfter}
	}
	return func() { slots.Release(1) }, nil
}

// ownerClient passes calls on to the owner of one shard.
type ownerClient struct {
	shard     string
	self      lovagestand.Instance
	directory *election.Directory
	peers     *peers
	slots     ownerSlots
	local     cellpb.Cell
	// depose ends the ownership of an owner at whose address no process listens.
	depose func(lovagestand.Epoch)
	log    zerolog.Logger

	mu sync.Mutex
	// failingSince is the time since which no owner has served a call;
	// unreachable is whether a listed owner has left a call unanswered since
	// then. Both are zero while calls are served.
	failingSince time.Time
	unreachable  bool
}

// recordOutcome records whether the owner has served a call and whether the owner
// was unreachable.
func (c *ownerClient) recordOutcome(served, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasIsolated := c.isolatedAt(time.Now())
	c.unreachable = !served && (c.unreachable || unreachable)
	switch {
	case served:
		if wasIsolated {
			c.log.Info().Msg("owner can be reached again")
		}
		c.failingSince = time.Time{}
	case c.failingSince.IsZero():
		c.failingSince = time.Now()
	}
}

// isolatedAt reports whether, at now, calls have failed for longer than
// isolatedAfter while a listed owner did not answer or the directory is stale.
// The caller holds mu.
func (c *ownerClient) isolatedAt(now time.Time) bool {
	return !c.failingSince.IsZero() && now.Sub(c.failingSince) > isolatedAfter && (c.unreachable || c.directory.Stale())
}

// isolated reports whether this instance has been unable to reach the owner for
// longer than isolatedAfter.
func (c *ownerClient) isolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolatedAt(time.Now())
}

// probe calls the owner to find out whether it can be reached again.
func (c *ownerClient) probe(ctx context.Context) {
	_, err := c.callOnce(ctx, func(ctx context.Context, owner cellpb.Cell) (cellpb.Verdict, error) {
		reply, err := owner.Pending(ctx, &cellpb.PendingRequest{Shard: c.shard})
		return reply.GetVerdict(), err
	})
	c.log.Debug().Err(err).Str("shard", c.shard).Msg("owner probed")
}

// notSent reports whether err means that the request was not sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// notAdmitted reports whether err means that the server of the other instance rejected a call
// for want of room before it was decoded, see [ingress.Reject].
func notAdmitted(err error) bool {
	var rejected twirp.Error
	return errors.As(err, &rejected) && rejected.Meta("http_error_from_intermediary") == "true" &&
		rejected.Meta("status_code") == strconv.Itoa(http.StatusServiceUnavailable)
}

// outcomeUnknown reports whether a call may have taken effect, or may still do so,
// although no answer has confirmed it.
func outcomeUnknown(verdict cellpb.Verdict, err error) bool {
	return err != nil && !notSent(err) || verdict == cellpb.Verdict_VERDICT_UNKNOWN
}

// call sends a call to the owner, and repeats it while it is not answered or the
// instance that answers is not the owner. A call that has not reached any owner is
// given up after handoverWait, so that the caller can retry early.
func (c *ownerClient) call(ctx context.Context, name string, id job.ID, send func(context.Context, cellpb.Cell) (cellpb.Verdict, error)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.isolated() {
		return &shard.IsolatedError{}
	}
	started := time.Now()
	maybeApplied := false
	for {
		verdict, err := c.callOnce(ctx, send)
		if err == nil && verdict != cellpb.Verdict_VERDICT_NOT_OWNER && verdict != cellpb.Verdict_VERDICT_UNKNOWN {
			return verdictError(verdict)
		}
		if outcomeUnknown(verdict, err) {
			c.log.Warn().Err(err).Str("call", name).Str("job", string(id)).Bool("first", !maybeApplied).Msg("owner did not answer")
			maybeApplied = true
		}
		if !maybeApplied && time.Since(started) > handoverWait {
			return &shard.NotOwnerError{}
		}
		if pause.For(ctx, handoverPollInterval) {
			continue
		}
		if maybeApplied {
			return &shard.UnknownError{}
		}
		return &shard.NotOwnerError{}
	}
}

// callOnce sends a call to the present owner once and records the outcome.
func (c *ownerClient) callOnce(ctx context.Context, send func(context.Context, cellpb.Cell) (cellpb.Verdict, error)) (cellpb.Verdict, error) {
	owner, owned := c.directory.Owner(c.shard)
	if !owned {
		c.recordOutcome(false, false)
		return cellpb.Verdict_VERDICT_NOT_OWNER, nil
	}
	if owner.ID == c.self.ID {
		verdict, err := send(ctx, c.local)
		c.recordOutcome(err == nil && verdict != cellpb.Verdict_VERDICT_NOT_OWNER, false)
		return verdict, err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	go c.cancelWhenReplaced(ctx, cancel, owner.Epoch)
	verdict, err := send(ctx, c.peers.client(owner.Address))
	c.recordOutcome(err == nil && verdict != cellpb.Verdict_VERDICT_NOT_OWNER, err != nil && !c.replaced(owner.Epoch))
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.log.Warn().Str("owner", string(owner.ID)).Uint64("epoch", uint64(owner.Epoch)).Msg("owner's address refuses connections; ending its ownership")
		c.depose(owner.Epoch)
	}
	if err != nil || verdict == cellpb.Verdict_VERDICT_NOT_OWNER {
		c.directory.Refresh()
	}
	return verdict, err
}

// cancelWhenReplaced cancels a call to an owner once another owner has followed.
// The call can then be sent to the new owner, since all calls are idempotent.
func (c *ownerClient) cancelWhenReplaced(ctx context.Context, cancel context.CancelFunc, epoch lovagestand.Epoch) {
	for {
		changed := c.directory.Changed()
		if c.replaced(epoch) {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// replaced reports whether another owner has followed the one with the given
// epoch.
func (c *ownerClient) replaced(epoch lovagestand.Epoch) bool {
	owner, owned := c.directory.Owner(c.shard)
	return owned && owner.Epoch > epoch
}

// verdictError returns the error that corresponds to a verdict.
func verdictError(v cellpb.Verdict) error {
	switch v {
	case cellpb.Verdict_VERDICT_OK:
		return nil
	case cellpb.Verdict_VERDICT_NO_SUCH_JOB:
		return &shard.UnknownJobError{}
	case cellpb.Verdict_VERDICT_OTHER_TEAM:
		return &shard.OtherTeamError{}
	case cellpb.Verdict_VERDICT_NOT_OWNER:
		return &shard.NotOwnerError{}
	}
	return &shard.UnknownError{}
}

// Submit is [ownerClients.Submit] for this shard. It returns that the job was not
// accepted only if there is no earlier attempt whose outcome is unknown, since the owner
// may still accept the job when that attempt arrives late.
func (c *ownerClient) Submit(ctx context.Context, j job.Job, version int64) error {
	release, err := acquireSlot(ctx, c.slots.submissions)
	if err != nil {
		return err
	}
	defer release()
	body, err := job.EncodeJob(j)
	if err != nil {
		return err
	}
	var reply *cellpb.SubmitReply
	anyUnknown := false
	err = c.call(ctx, "submit", j.ID, func(ctx context.Context, owner cellpb.Cell) (cellpb.Verdict, error) {
		var err error
		reply, err = owner.Submit(ctx, &cellpb.SubmitRequest{Shard: c.shard, Id: string(j.ID), Job: body, Version: version})
		if notAdmitted(err) {
			reply, err = &cellpb.SubmitReply{
				Verdict: cellpb.Verdict_VERDICT_REJECTED, Reason: "the owner is receiving too many large jobs", RetryAfterMillis: ownerFullRetryAfter.Milliseconds(),
			}, nil
		}
		anyUnknown = anyUnknown || outcomeUnknown(reply.GetVerdict(), err)
		return reply.GetVerdict(), err
	})
	var otherTeam *shard.OtherTeamError
	if anyUnknown && errors.As(err, &otherTeam) {
		return &shard.UnknownError{}
	}
	if reply.GetVerdict() == cellpb.Verdict_VERDICT_REJECTED && !anyUnknown {
		return &shard.RejectedError{
			Reason: reply.GetReason(), RetryAfter: time.Duration(reply.GetRetryAfterMillis()) * time.Millisecond,
			OverLimit: reply.GetOverLimit(), Overloaded: reply.GetOverloaded(), Stalled: reply.GetStalled(),
		}
	}
	return err
}

// State is [ownerClients.State] for this shard.
func (c *ownerClient) State(ctx context.Context, id job.ID, team lovagestand.TeamName) (string, error) {
	release, err := acquireSlot(ctx, c.slots.queries)
	if err != nil {
		return "", err
	}
	defer release()
	phase := ""
	err = c.call(ctx, "state", id, func(ctx context.Context, owner cellpb.Cell) (cellpb.Verdict, error) {
		reply, err := owner.State(ctx, &cellpb.JobRequest{Shard: c.shard, Id: string(id), Team: string(team)})
		phase = reply.GetPhase()
		return reply.GetVerdict(), err
	})
	return phase, err
}

// Cancel is [ownerClients.Cancel] for this shard.
func (c *ownerClient) Cancel(ctx context.Context, id job.ID, team lovagestand.TeamName) error {
	release, err := acquireSlot(ctx, c.slots.queries)
	if err != nil {
		return err
	}
	defer release()
	return c.call(ctx, "cancel", id, func(ctx context.Context, owner cellpb.Cell) (cellpb.Verdict, error) {
		reply, err := owner.Cancel(ctx, &cellpb.JobRequest{Shard: c.shard, Id: string(id), Team: string(team)})
		return reply.GetVerdict(), err
	})
}

// Pending is [ownerClients.Pending] for this shard.
func (c *ownerClient) Pending(ctx context.Context, route lovagestand.RouteName) (int, error) {
	release, err := acquireSlot(ctx, c.slots.queries)
	if err != nil {
		return 0, err
	}
	defer release()
	n := 0
	err = c.call(ctx, "pending", "", func(ctx context.Context, owner cellpb.Cell) (cellpb.Verdict, error) {
		reply, err := owner.Pending(ctx, &cellpb.PendingRequest{Shard: c.shard, Route: string(route)})
		n = int(reply.GetJobs())
		return reply.GetVerdict(), err
	})
	return n, err
}
