package node

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/shard"
)

// adviceClients returns the advice clients of a shard: the instances that request
// advice on behalf of its owner, this one included. Every other instance is an
// advice client of one shard only, so that owners do not wait for each other.
func (n *Node) adviceClients(shardName string) []shard.AdviceClient {
	if n.deps.Adviser == nil {
		return nil
	}
	shards := []string{shardName}
	if l, ok := n.directory.Layout(); ok {
		shards = l.ShardNames()
	}
	clients := []shard.AdviceClient{{Instance: n.self.ID, SameRegion: true, Advise: n.deps.Adviser.Advise}}
	for i, m := range n.directory.Members() {
		if m.ID == n.self.ID || shards[i%len(shards)] != shardName {
			continue
		}
		clients = append(clients, shard.AdviceClient{Instance: m.ID, SameRegion: m.Region == n.self.Region, Advise: n.adviseThrough(m.Address)})
	}
	return clients
}

// adviseThrough returns a function that requests advice through the instance at an
// address.
func (n *Node) adviseThrough(address string) func(context.Context, string, []lovagestand.WorkerName) (lovagestand.Advice, error) {
	return func(ctx context.Context, step string, workers []lovagestand.WorkerName) (lovagestand.Advice, error) {
		request := &cellpb.AdviseRequest{Step: step, Workers: make([]string, len(workers))}
		for i, w := range workers {
			request.Workers[i] = string(w)
		}
		reply, err := n.peers.client(address).Advise(ctx, request)
		if err != nil {
			return lovagestand.Advice{}, err
		}
		advice := lovagestand.Advice{Validity: time.Duration(reply.GetValidityMillis()) * time.Millisecond}
		for _, t := range reply.GetTickets() {
			advice.Tickets = append(advice.Tickets, lovagestand.Ticket{Worker: lovagestand.WorkerName(t.GetWorker()), Value: t.GetValue()})
		}
		return advice, nil
	}
}
