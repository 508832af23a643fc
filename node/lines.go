package node

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/cellpb"
	"lovagestand.example/lovagestand/shard"
)

// lines returns the instances that ask for advice for a shard, this one
// included. Each serves one shard, so that owners do not wait for each other.
func (n *Node) lines(shardName string) []shard.AdviceClient {
	if n.deps.Adviser == nil {
		return nil
	}
	shards := []string{shardName}
	if l, ok := n.directory.Layout(); ok {
		shards = l.Names()
	}
	lines := []shard.AdviceClient{{Instance: n.self.ID, Near: true, Advise: n.deps.Adviser.Advise}}
	for i, m := range n.directory.Members() {
		if m.ID == n.self.ID || shards[i%len(shards)] != shardName {
			continue
		}
		lines = append(lines, shard.AdviceClient{Instance: m.ID, Near: m.Region == n.self.Region, Advise: n.askThrough(m.Address)})
	}
	return lines
}

func (n *Node) askThrough(address string) func(context.Context, string, []lovagestand.WorkerName) (lovagestand.Advice, error) {
	return func(ctx context.Context, step string, workers []lovagestand.WorkerName) (lovagestand.Advice, error) {
		request := &cellpb.AdviseRequest{Step: step, Workers: make([]string, len(workers))}
		for i, w := range workers {
			request.Workers[i] = string(w)
		}
		reply, err := n.peers.at(address).Advise(ctx, request)
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
