package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

const (
	// handoverWait is how long a call waits for the next owner after the
	// former one gave the shard up: a planned handover takes less.
	handoverWait = 700 * time.Millisecond
	// isolatedAfter is how long no call may be answered before this instance
	// sends callers elsewhere.
	isolatedAfter = 900 * time.Millisecond
	// probeInterval spaces calls to find out whether the owner is back.
	probeInterval = 300 * time.Millisecond
	// handoverPollInterval spaces tries at a shard whose owner is about to change.
	handoverPollInterval = 40 * time.Millisecond
	// connectTimeout bounds the opening of a connection to another instance.
	connectTimeout = 400 * time.Millisecond
	// attemptTimeout bounds one call to the owner: it answers once the store
	// has kept a change, which a slow store does within half a second.
	attemptTimeout = 800 * time.Millisecond
	// callTimeout bounds all calls for one request. All are idempotent, so a
	// call without an answer is made again, at the next owner if there is one.
	// It is less than half of the three seconds that callers usually wait, so
	// that there is time left to ask elsewhere.
	callTimeout = 1400 * time.Millisecond
	// idlePeerConnections bounds idle connections to one instance.
	idlePeerConnections = 16
)

// peers calls other instances.
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

// ownerClient passes calls to the owner of one shard.
type ownerClient struct {
	shard     string
	self      lovagestand.Instance
	directory *election.Directory
	peers     *peers
	local     cellpb.Cell
	// depose is told of an owner at whose address no process listens.
	depose func(lovagestand.Epoch)
	log    zerolog.Logger

	mu sync.Mutex
	// failingSince is since when no owner has served a call, unreachable whether a
	// listed owner did not answer since then; both zero while calls are served.
	failingSince time.Time
	unreachable  bool
}

// recordOutcome takes what became of a call to the owner.
func (c *ownerClient) recordOutcome(served, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasIsolated := c.isolatedAt(time.Now())
	c.unreachable = !served && (c.unreachable || unreachable)
	switch {
	case served:
		if wasIsolated {
			c.log.Info().Msg("owner reached again")
		}
		c.failingSince = time.Time{}
	case c.failingSince.IsZero():
		c.failingSince = time.Now()
	}
}

func (c *ownerClient) isolatedAt(now time.Time) bool {
	return !c.failingSince.IsZero() && now.Sub(c.failingSince) > isolatedAfter && (c.unreachable || c.directory.Stale())
}

// isolated reports whether this instance has not reached the owner for long.
func (c *ownerClient) isolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolatedAt(time.Now())
}

// probe finds out whether the owner is reached again.
func (c *ownerClient) probe(ctx context.Context) {
	_, err := c.callOnce(ctx, func(ctx context.Context, owner cellpb.Cell) (cellpb.Verdict, error) {
		reply, err := owner.Pending(ctx, &cellpb.PendingRequest{Shard: c.shard})
		return reply.GetVerdict(), err
	})
	c.log.Debug().Err(err).Str("shard", c.shard).Msg("owner probed")
}

// notSent reports whether err says that nothing was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// outcomeUnknown reports whether a call may have taken effect, or may yet do so.
func outcomeUnknown(verdict cellpb.Verdict, err error) bool {
	return err != nil && !notSent(err) || verdict == cellpb.Verdict_VERDICT_UNKNOWN
}

// call sends a call to the owner, and again while it is not answered or the
// instance is not the owner. A call that was never sent is given up early, so
// that the caller comes back.
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
		c.log.Warn().Str("owner", string(owner.ID)).Uint64("epoch", uint64(owner.Epoch)).Msg("owner's process is gone")
		c.depose(owner.Epoch)
	}
	if err != nil || verdict == cellpb.Verdict_VERDICT_NOT_OWNER {
		c.directory.Refresh()
	}
	return verdict, err
}

// cancelWhenReplaced cancels a call to an owner once there is another one: all calls are
// idempotent.
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

// replaced reports whether another owner has followed the one with an epoch.
func (c *ownerClient) replaced(epoch lovagestand.Epoch) bool {
	owner, owned := c.directory.Owner(c.shard)
	return owned && owner.Epoch > epoch
}

func verdictError(v cellpb.Verdict) error {
	switch v {
	case cellpb.Verdict_VERDICT_OK:
		return nil
	case cellpb.Verdict_VERDICT_NO_SUCH_JOB:
		return &shard.UnknownJobError{}
	case cellpb.Verdict_VERDICT_NOT_OWNER:
		return &shard.NotOwnerError{}
	}
	return &shard.UnknownError{}
}

// Submit is [owners.Submit] for this shard. A job is rejected only if no earlier
// call is in doubt: that one may arrive late.
func (c *ownerClient) Submit(ctx context.Context, j job.Job) error {
	body, err := job.EncodeJob(j)
	if err != nil {
		return err
	}
	var reply *cellpb.SubmitReply
	anyUnknown := false
	err = c.call(ctx, "submit", j.ID, func(ctx context.Context, owner cellpb.Cell) (cellpb.Verdict, error) {
		var err error
		reply, err = owner.Submit(ctx, &cellpb.SubmitRequest{Shard: c.shard, Id: string(j.ID), Job: body})
		anyUnknown = anyUnknown || outcomeUnknown(reply.GetVerdict(), err)
		return reply.GetVerdict(), err
	})
	if reply.GetVerdict() == cellpb.Verdict_VERDICT_REJECTED && !anyUnknown {
		return &shard.RejectedError{Reason: reply.GetReason(), RetryAfter: time.Duration(reply.GetRetryAfterMillis()) * time.Millisecond}
	}
	return err
}

// State is [owners.State] for this shard.
func (c *ownerClient) State(ctx context.Context, id job.ID) (string, error) {
	phase := ""
	err := c.call(ctx, "state", id, func(ctx context.Context, owner cellpb.Cell) (cellpb.Verdict, error) {
		reply, err := owner.State(ctx, &cellpb.JobRequest{Shard: c.shard, Id: string(id)})
		phase = reply.GetPhase()
		return reply.GetVerdict(), err
	})
	return phase, err
}

// Cancel is [owners.Cancel] for this shard.
func (c *ownerClient) Cancel(ctx context.Context, id job.ID) error {
	return c.call(ctx, "cancel", id, func(ctx context.Context, owner cellpb.Cell) (cellpb.Verdict, error) {
		reply, err := owner.Cancel(ctx, &cellpb.JobRequest{Shard: c.shard, Id: string(id)})
		return reply.GetVerdict(), err
	})
}

// Pending is [owners.Pending] for this shard.
func (c *ownerClient) Pending(ctx context.Context, route lovagestand.RouteName) (int, error) {
	n := 0
	err := c.call(ctx, "pending", "", func(ctx context.Context, owner cellpb.Cell) (cellpb.Verdict, error) {
		reply, err := owner.Pending(ctx, &cellpb.PendingRequest{Shard: c.shard, Route: string(route)})
		n = int(reply.GetJobs())
		return reply.GetVerdict(), err
	})
	return n, err
}
