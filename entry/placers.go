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

// searchTimeout bounds a search for a request over all instances.
const searchTimeout = 2 * time.Second

// placers keeps one client for each instance.
type placers struct {
	client *http.Client

	mu        sync.Mutex
	byAddress map[string]placerpb.Placer
}

func newPlacers(client *http.Client) *placers {
	return &placers{client: client, byAddress: make(map[string]placerpb.Placer)}
}

// at returns the client for the instance at an address.
func (p *placers) at(address string) placerpb.Placer {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, ok := p.byAddress[address]
	if !ok {
		k = placerpb.NewPlacerProtobufClient("http://"+address, p.client)
		p.byAddress[address] = k
	}
	return k
}

// surelyUnsent reports whether a failed call never reached its instance.
func surelyUnsent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// withdraw takes a request back from a shard whose owner may hold it. It
// returns true only if the owner says that it surely did not run and will not.
func (e *Entry) withdraw(ctx context.Context, c *call, shard lovagestand.ShardName) bool {
	owner, ok := e.deps.Ownership.Owner(shard)
	if !ok {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	reply, err := e.placers.at(owner.Address).Cancel(limited, &placerpb.CancelRequest{
		Key:   string(c.request.Key),
		Shard: string(shard),
		Task:  placer.TaskMessage(c.attempt()),
	})
	return err == nil && reply.GetFound() && reply.GetAnswer().GetOutcome() == string(lovagestand.OutcomeNotRun)
}

// findElsewhere asks all instances for a request and returns its answer.
func (e *Entry) findElsewhere(ctx context.Context, key lovagestand.RequestKey, window time.Duration) (lovagestand.Answer, bool) {
	return e.search(ctx, window, func(ctx context.Context, p placerpb.Placer) (*placerpb.Answer, bool, error) {
		reply, err := p.Find(ctx, &placerpb.FindRequest{Key: string(key), WindowMillis: window.Milliseconds()})
		return reply.GetAnswer(), reply.GetFound(), err
	})
}

// cancelElsewhere asks all instances to give a request up.
func (e *Entry) cancelElsewhere(ctx context.Context, key lovagestand.RequestKey) (lovagestand.Answer, bool) {
	return e.search(ctx, 0, func(ctx context.Context, p placerpb.Placer) (*placerpb.Answer, bool, error) {
		reply, err := p.Cancel(ctx, &placerpb.CancelRequest{Key: string(key)})
		return reply.GetAnswer(), reply.GetFound(), err
	})
}

// search calls all instances side by side and returns an answer that one of
// them has, a final one if there is any.
func (e *Entry) search(ctx context.Context, window time.Duration, ask func(context.Context, placerpb.Placer) (*placerpb.Answer, bool, error)) (lovagestand.Answer, bool) {
	limited, cancel := context.WithTimeout(ctx, window+searchTimeout)
	defer cancel()
	var mu sync.Mutex
	var best lovagestand.Answer
	found := false
	var group errgroup.Group
	for _, i := range e.deps.Peers() {
		group.Go(func() error {
			m, ok, err := ask(limited, e.placers.at(i.Address))
			if err != nil || !ok {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			if !found || !best.Outcome.Final() {
				best = placer.AnswerOf(m)
				found = true
			}
			return nil
		})
	}
	_ = group.Wait()
	return best, found
}
