package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagestand.example/lovagestand"
)

// Survey implements [Peers].
func (p *Peer) Survey(_ context.Context, request *SurveyRequest) (*SurveyResponse, error) {
	p.deliver(request.GetFrom(), nil, "")
	me := p.me()
	p.mu.RLock()
	defer p.mu.RUnlock()
	now := time.Now()
	response := &SurveyResponse{From: me}
	for _, i := range p.node.Live(now) {
		said, ok := p.news[i.ID]
		if ok && i.Region == p.self.Region {
			response.Members = append(response.Members, toMember(i, said.revision, now.Sub(said.said)))
		}
	}
	for _, v := range p.bestDigests() {
		response.Digests = append(response.Digests, toDigest(v.aged(now)))
	}
	owners := p.regionOwners()
	response.OwnersHash = hashOwners(owners)
	if response.OwnersHash != request.GetKnown() {
		response.Owners = owners
	}
	return response, nil
}

// survey asks one instance of each other region, another one each time.
func (p *Peer) survey() {
	byRegion := map[lovagestand.RegionName][]lovagestand.InstanceID{}
	for _, i := range p.LiveInstances() {
		if i.Region != p.self.Region {
			byRegion[i.Region] = append(byRegion[i.Region], i.ID)
		}
	}
	for _, ids := range byRegion {
		slices.Sort(ids)
		to := ids[rand.IntN(len(ids))]
		p.spawn(func() { p.ask(to) })
	}
}

func (p *Peer) ask(to lovagestand.InstanceID) {
	client, ok := p.clientOf(to)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	region := p.regionOf(to)
	request := &SurveyRequest{From: p.me(), Known: p.knownAbroad(region)}
	p.counters.Surveys.Add(1)
	p.counters.BytesSent.Add(int64(proto.Size(request)))
	response, err := client.Survey(ctx, request)
	if err != nil {
		p.counters.Failures.Add(1)
		return
	}
	p.counters.BytesReceived.Add(int64(proto.Size(response)))
	p.deliver(response.GetFrom(), nil, "")
	p.learnDigests(response.GetDigests())
	p.learnMembers(response.GetMembers())
	p.learnOwners(region, response)
}

func (p *Peer) learnMembers(members []*Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, m := range members {
		said := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
		p.hear(lovagestand.InstanceID(m.GetId()), m.GetRevision(), said)
	}
}
