package peer

import (
	"context"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/owner"
)

// apply updates the state machine and carries out the resulting effects. Messages
// to replyTo are not sent but returned, so that the reply to the current call can
// carry them. An empty replyTo means that all messages are sent.
func (p *Peer) apply(replyTo lovagestand.InstanceID, update func(now time.Time, n *owner.Node) []owner.Effect) []owner.Message {
	p.mu.Lock()
	effects := update(time.Now(), p.node)
	p.notify()
	p.mu.Unlock()
	var replies []owner.Message
	outgoing := map[lovagestand.InstanceID][]owner.Message{}
	for _, e := range effects {
		send, ok := e.(owner.Send)
		switch {
		case !ok:
			p.perform(e)
		case send.To == replyTo:
			replies = append(replies, send.Message)
		default:
			outgoing[send.To] = append(outgoing[send.To], send.Message)
		}
	}
	for to, messages := range outgoing {
		p.spawn(func() { p.exchange(to, messages, nil) })
	}
	return replies
}

// notify closes the channel returned by [Peer.Changed] if the state machine has
// changed. The caller holds p.mu.
func (p *Peer) notify() {
	if p.node.Version() == p.notifiedVersion {
		return
	}
	p.notifiedVersion = p.node.Version()
	close(p.changed)
	p.changed = make(chan struct{})
}

// perform carries out an effect other than [owner.Send] in a goroutine of its own.
func (p *Peer) perform(e owner.Effect) {
	switch e := e.(type) {
	case owner.Read:
		p.spawn(func() { p.readDocument(e.Region) })
	case owner.Write:
		p.spawn(func() { p.writeDocument(e) })
	case owner.Warm:
		p.spawn(func() { p.warm(e.Shard) })
	case owner.Acquire:
		p.spawn(func() { p.acquire(e.Lease) })
	case owner.Release:
		p.spawn(func() { p.release(e) })
	}
}

func (p *Peer) readDocument(region lovagestand.RegionName) {
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	p.counters.StoreReads.Add(1)
	value, err := p.store.Get(ctx, owner.DocumentKey(region))
	document, parseErr := owner.ParseDocument(region, value.Data)
	if err != nil || parseErr != nil {
		p.logStoreError("read", region, err, parseErr)
	}
	p.apply("", func(now time.Time, n *owner.Node) []owner.Effect {
		return n.ReadDone(now, document, value.Revision, err == nil && parseErr == nil)
	})
}

func (p *Peer) writeDocument(w owner.Write) {
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	region := w.Document.Region
	data, err := w.Document.Encode()
	var revision lovagestand.Revision
	if err == nil {
		p.counters.StoreWrites.Add(1)
		revision, err = p.store.Put(ctx, owner.DocumentKey(region), data, w.Previous, 0)
	}
	if err != nil {
		p.logStoreError("write", region, err, nil)
	}
	p.apply("", func(now time.Time, n *owner.Node) []owner.Effect {
		return n.WriteDone(now, w.Document, revision, err)
	})
}

func (p *Peer) logStoreError(call string, region lovagestand.RegionName, err, parseErr error) {
	if err == nil {
		err = parseErr
	}
	p.log.Warn().Err(err).Str("event", "storeFailed").Str("call", call).Str("region", string(region)).Send()
}

// refreshMembers registers this instance, reads the member list and reports the
// result to the state machine.
func (p *Peer) refreshMembers() {
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	began := time.Now()
	if err := p.members.Register(ctx, p.selfInstance()); err != nil {
		p.log.Warn().Err(err).Str("event", "registerFailed").Send()
	}
	m, err := p.members.Members(ctx)
	if err != nil {
		p.log.Warn().Err(err).Str("event", "listFailed").Send()
		p.apply("", func(_ time.Time, n *owner.Node) []owner.Effect {
			n.MemberListFailed(began)
			return nil
		})
		return
	}
	units := p.units(m)
	p.apply("", func(now time.Time, n *owner.Node) []owner.Effect {
		n.SetUnits(units)
		n.PruneInstances(now)
		return n.MemberListRead(now, began, m.Instances)
	})
}

// selfInstance describes this instance, including whether it is leaving.
func (p *Peer) selfInstance() lovagestand.Instance {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.self.WithLeaving(p.leaving)
}
