package node

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/election"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

// owners passes calls to the owners of the shards; it implements
// gateway.Owner.
type owners struct {
	directory *election.Directory
	open      func(shard string) *ownerClient

	mu      sync.Mutex
	clients map[string]*ownerClient
}

func newOwners(d *election.Directory, open func(shard string) *ownerClient) *owners {
	return &owners{directory: d, open: open, clients: map[string]*ownerClient{}}
}

// of returns the client for a shard.
func (o *owners) of(name string) *ownerClient {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.clients[name]
	if c == nil {
		c = o.open(name)
		o.clients[name] = c
	}
	return c
}

// all returns the clients for all shards of which calls were made.
func (o *owners) all() []*ownerClient {
	o.mu.Lock()
	defer o.mu.Unlock()
	clients := make([]*ownerClient, 0, len(o.clients))
	for _, c := range o.clients {
		clients = append(clients, c)
	}
	return clients
}

// isolated reports whether this instance has reached no owner for long.
func (o *owners) isolated() bool {
	clients := o.all()
	for _, c := range clients {
		if !c.isolated() {
			return false
		}
	}
	return len(clients) > 0
}

// probe calls owners now and then while they are not reached.
func (o *owners) probe(ctx context.Context) {
	for pause.For(ctx, probeInterval) {
		for _, c := range o.all() {
			if c.isolated() {
				c.probe(ctx)
			}
		}
	}
}

// Submit implements gateway.Owner.
func (o *owners) Submit(ctx context.Context, j job.Job) error {
	l, ok := o.directory.Layout()
	if !ok {
		return &shard.NotOwnerError{}
	}
	return o.of(l.ShardOfJob(j)).Submit(ctx, j)
}

// State implements gateway.Owner.
func (o *owners) State(ctx context.Context, id job.ID) (string, error) {
	phase := ""
	err := o.find(id, func(c *ownerClient) error {
		var err error
		phase, err = c.State(ctx, id)
		return err
	})
	return phase, err
}

// Cancel implements gateway.Owner.
func (o *owners) Cancel(ctx context.Context, id job.ID) error {
	return o.find(id, func(c *ownerClient) error { return c.Cancel(ctx, id) })
}

// find calls the shard of an ID, then the others: jobs are where their data
// is, which the ID does not tell.
func (o *owners) find(id job.ID, call func(*ownerClient) error) error {
	l, ok := o.directory.Layout()
	if !ok {
		return &shard.NotOwnerError{}
	}
	home := l.ShardOfID(id)
	err := call(o.of(home))
	for _, name := range l.ShardNames() {
		var absent *shard.UnknownJobError
		if !errors.As(err, &absent) {
			return err
		}
		if name != home {
			err = call(o.of(name))
		}
	}
	return err
}

// Pending implements gateway.Owner: the sum over all shards.
func (o *owners) Pending(ctx context.Context, route lovagestand.RouteName) (int, error) {
	l, ok := o.directory.Layout()
	if !ok {
		return 0, &shard.NotOwnerError{}
	}
	names := l.ShardNames()
	counts, failures := make([]int, len(names)), make([]error, len(names))
	var asking sync.WaitGroup
	for i, name := range names {
		asking.Go(func() { counts[i], failures[i] = o.of(name).Pending(ctx, route) })
	}
	asking.Wait()
	sum := 0
	for i := range names {
		if failures[i] != nil {
			return 0, failures[i]
		}
		sum += counts[i]
	}
	return sum, nil
}
