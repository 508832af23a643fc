package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/placer"
	"lovagestand.example/lovagestand/placer/placerpb"
)

// searchTimeout bounds a search for a request at all instances, beyond the window
// for which they wait for its answer. It also bounds a withdrawal from one owner.
const searchTimeout = 2 * time.Second

// placerClients holds one client per instance, by the address of the instance.
type placerClients struct {
	client *http.Client

	mu        sync.Mutex
	byAddress map[string]placerpb.Placer
}

func newPlacerClients(client *http.Client) *placerClients {
	return &placerClients{client: client, byAddress: make(map[string]placerpb.Placer)}
}

// forAddress returns the client for the instance at an address.
func (p *placerClients) forAddress(address string) placerpb.Placer {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, ok := p.byAddress[address]
	if !ok {
		client = placerpb.NewPlacerProtobufClient("http://"+address, p.client)
		p.byAddress[address] = client
	}
	return client
}

// neverSent reports whether a failed call is guaranteed not to have reached the
// instance, because no connection to it was opened.
func neverSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// withdraw cancels a request at the owner of a shard, which may hold it. It returns
// true only if the owner guarantees that the request did not run and will not run.
func (e *Entry) withdraw(ctx context.Context, c *call, shard lovagestand.ShardName) bool {
	owner, ok := e.deps.Ownership.Owner(shard)
	if !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	reply, err := e.clients.forAddress(owner.Address).Cancel(callCtx, &placerpb.CancelRequest{
		Key:   string(c.request.Key),
		Shard: string(shard),
		Task:  placer.TaskMessage(c.attempt()),
	})
	return err == nil && reply.GetFound() && reply.GetAnswer().GetOutcome() == string(lovagestand.OutcomeNotRun)
}

// findElsewhere searches all instances for a request and returns its answer. An
// instance that holds the request waits up to window for the final answer.
func (e *Entry) findElsewhere(ctx context.Context, key lovagestand.RequestKey, window time.Duration) (lovagestand.Answer, bool) {
	return e.searchPeers(ctx, window, func(ctx context.Context, p placerpb.Placer) (*placerpb.Answer, bool, error) {
		reply, err := p.Find(ctx, &placerpb.FindRequest{Key: string(key), WindowMillis: window.Milliseconds()})
		return reply.GetAnswer(), reply.GetFound(), err
	})
}

// cancelElsewhere cancels a request at all instances and returns the answer of an
// instance that holds it.
func (e *Entry) cancelElsewhere(ctx context.Context, key lovagestand.RequestKey) (lovagestand.Answer, bool) {
	return e.searchPeers(ctx, 0, func(ctx context.Context, p placerpb.Placer) (*placerpb.Answer, bool, error) {
		reply, err := p.Cancel(ctx, &placerpb.CancelRequest{Key: string(key)})
		return reply.GetAnswer(), reply.GetFound(), err
	})
}

// searchPeers calls all instances in parallel and returns one of their answers,
// which is a final one if there is any, and false if there is none. Failed calls
// are ignored.
func (e *Entry) searchPeers(ctx context.Context, window time.Duration, query func(context.Context, placerpb.Placer) (*placerpb.Answer, bool, error)) (lovagestand.Answer, bool) {
	callCtx, cancel := context.WithTimeout(ctx, window+searchTimeout)
	defer cancel()
	var mu sync.Mutex
	var best lovagestand.Answer
	found := false
	var group errgroup.Group
	for _, i := range e.deps.Peers() {
		group.Go(func() error {
			message, ok, err := query(callCtx, e.clients.forAddress(i.Address))
			if err != nil || !ok {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			if !found || !best.Outcome.Final() {
				best = placer.AnswerOf(message)
				found = true
			}
			return nil
		})
	}
	_ = group.Wait()
	return best, found
}
