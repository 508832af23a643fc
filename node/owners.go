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

// ownerClients passes calls on to the owners of all shards. It implements
// gateway.OwnerClient.
type ownerClients struct {
	directory *election.Directory
	newClient func(shard string) *ownerClient

	mu      sync.Mutex
	clients map[string]*ownerClient
}

func newOwnerClients(d *election.Directory, newClient func(shard string) *ownerClient) *ownerClients {
	return &ownerClients{directory: d, newClient: newClient, clients: map[string]*ownerClient{}}
}

// client returns the client for a shard.
func (o *ownerClients) client(name string) *ownerClient {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.clients[name]
	if c == nil {
		c = o.newClient(name)
		o.clients[name] = c
	}
	return c
}

// allClients returns the clients of all shards that have been called so far.
func (o *ownerClients) allClients() []*ownerClient {
	o.mu.Lock()
	defer o.mu.Unlock()
	clients := make([]*ownerClient, 0, len(o.clients))
	for _, c := range o.clients {
		clients = append(clients, c)
	}
	return clients
}

// isolated reports whether this instance is isolated from the owners of all shards
// that it has called.
func (o *ownerClients) isolated() bool {
	clients := o.allClients()
	for _, c := range clients {
		if !c.isolated() {
			return false
		}
	}
	return len(clients) > 0
}

// probe calls each owner that cannot be reached every probeInterval, until ctx
// ends.
func (o *ownerClients) probe(ctx context.Context) {
	for pause.For(ctx, probeInterval) {
		for _, c := range o.allClients() {
			if c.isolated() {
				c.probe(ctx)
			}
		}
	}
}

// Submit implements gateway.OwnerClient.
func (o *ownerClients) Submit(ctx context.Context, j job.Job, version int64) error {
	l, ok := o.directory.Layout()
	if !ok {
		return &shard.NotOwnerError{}
	}
	return o.client(l.ShardOfJob(j)).Submit(ctx, j, version)
}

// State implements gateway.OwnerClient.
func (o *ownerClients) State(ctx context.Context, id job.ID, team lovagestand.TeamName) (string, error) {
	phase := ""
	err := o.findJob(id, func(c *ownerClient) error {
		var err error
		phase, err = c.State(ctx, id, team)
		return err
	})
	return phase, err
}

// Cancel implements gateway.OwnerClient.
func (o *ownerClients) Cancel(ctx context.Context, id job.ID, team lovagestand.TeamName) error {
	return o.findJob(id, func(c *ownerClient) error { return c.Cancel(ctx, id, team) })
}

// findJob calls the owner of the shard that a job's ID maps to and, while the job
// is unknown there, the owners of the other shards: a job belongs to the shard of
// the rack that holds its data, which does not follow from the ID. A job of another
// team counts as unknown, so that a job with the same ID in another shard is found. If
// no owner knows the job, all are called once more: it may have been moved from a shard
// that was called later to one that was called before.
func (o *ownerClients) findJob(id job.ID, call func(*ownerClient) error) error {
	l, ok := o.directory.Layout()
	if !ok {
		return &shard.NotOwnerError{}
	}
	idShard := l.ShardOfID(id)
	names := []string{idShard}
	for _, name := range l.ShardNames() {
		if name != idShard {
			names = append(names, name)
		}
	}
	if len(names) > 1 {
		names = append(names, names...)
	}
	var err error
	for _, name := range names {
		err = call(o.client(name))
		var unknownJob *shard.UnknownJobError
		if !errors.As(err, &unknownJob) {
			return err
		}
	}
	return err
}

// Pending implements gateway.OwnerClient. It returns the sum over all shards.
func (o *ownerClients) Pending(ctx context.Context, route lovagestand.RouteName) (int, error) {
	l, ok := o.directory.Layout()
	if !ok {
		return 0, &shard.NotOwnerError{}
	}
	names := l.ShardNames()
	counts, failures := make([]int, len(names)), make([]error, len(names))
	var calls sync.WaitGroup
	for i, name := range names {
		calls.Go(func() { counts[i], failures[i] = o.client(name).Pending(ctx, route) })
	}
	calls.Wait()
	sum := 0
	for i := range names {
		if failures[i] != nil {
			return 0, failures[i]
		}
		sum += counts[i]
	}
	return sum, nil
}
