package peer

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/owner"
)

// Handler returns the HTTP handler for calls from peers.
func (p *Peer) Handler() http.Handler {
	return NewPeersServer(p)
}

// Exchange implements [Peers].
func (p *Peer) Exchange(_ context.Context, request *ExchangeRequest) (*ExchangeResponse, error) {
	from := fromMember(request.GetFrom())
	p.recordDigests(request.GetDigests())
	replies := p.receive(request.GetFrom(), request.GetMessages(), from.ID)
	return &ExchangeResponse{From: p.selfMember(), Messages: toMessages(replies)}, nil
}

// receive records contact with a peer and the revision of its tables, and passes
// its messages to the state machine. It returns the resulting messages to replyTo
// and sends all others.
func (p *Peer) receive(from *Member, messages []*OwnerMessage, replyTo lovagestand.InstanceID) []owner.Message {
	sender := fromMember(from)
	return p.apply(replyTo, func(now time.Time, n *owner.Node) []owner.Effect {
		n.RecordContact(now, sender)
		p.recordRevision(sender.ID, from.GetRevision(), now)
		var effects []owner.Effect
		for _, m := range fromMessages(messages) {
			effects = append(effects, n.Receive(now, sender.ID, m)...)
		}
		return effects
	})
}

// heartbeat runs what is due in the state machine. It then calls every live
// instance of the region, and every other instance for which there are messages.
func (p *Peer) heartbeat() {
	p.updateWatches()
	p.mu.Lock()
	digests := p.unsentDigests
	p.unsentDigests = nil
	now := time.Now()
	effects := p.node.Tick(now)
	p.notify()
	outgoing := map[lovagestand.InstanceID][]owner.Message{}
	for _, i := range p.node.LiveInstances(now) {
		if i.Region == p.self.Region && i.ID != p.self.ID {
			outgoing[i.ID] = nil
		}
	}
	p.mu.Unlock()
	for _, e := range effects {
		if send, ok := e.(owner.Send); ok {
			outgoing[send.To] = append(outgoing[send.To], send.Message)
			continue
		}
		p.perform(e)
	}
	for to, messages := range outgoing {
		p.spawn(func() { p.exchange(to, messages, digests) })
	}
}

// exchange sends messages and digests to one peer and processes its reply. A
// failed call is not retried, since the next heartbeat sends lost messages again.
func (p *Peer) exchange(to lovagestand.InstanceID, messages []owner.Message, digests []*ShardDigest) {
	client, ok := p.clientOf(to)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	request := &ExchangeRequest{From: p.selfMember(), Messages: toMessages(messages), Digests: digests}
	p.counters.Exchanges.Add(1)
	p.counters.BytesSent.Add(int64(proto.Size(request)))
	response, err := client.Exchange(ctx, request)
	if err != nil {
		p.counters.Failures.Add(1)
		p.log.Debug().Err(err).Str("event", "exchangeFailed").Str("peer", string(to)).Send()
		return
	}
	p.counters.BytesReceived.Add(int64(proto.Size(response)))
	p.receive(response.GetFrom(), response.GetMessages(), "")
}

// clientOf returns the client for an instance, and false if the address of the
// instance is unknown.
func (p *Peer) clientOf(id lovagestand.InstanceID) (Peers, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.node.Instance(id)
	if !ok || i.Address == "" {
		return nil, false
	}
	client := p.clients[i.Address]
	if client == nil {
		client = NewPeersProtobufClient("http://"+i.Address, p.client)
		p.clients[i.Address] = client
	}
	return client, true
}

func (p *Peer) selfMember() *Member {
	return toMember(p.selfInstance(), p.ownRevision(), 0)
}

func (p *Peer) recordDigests(list []*ShardDigest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, d := range list {
		v := fromDigest(d)
		v.createdAt = now.Add(-v.Age)
		p.recordDigest(v)
	}
}

func compareIDs(a, b lovagestand.InstanceID) int {
	return cmp.Compare(a, b)
}
