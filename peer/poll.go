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
	p.receive(request.GetFrom(), nil, "")
	sender := p.selfMember()
	p.mu.RLock()
	defer p.mu.RUnlock()
	now := time.Now()
	response := &SurveyResponse{From: sender}
	for _, i := range p.node.LiveInstances(now) {
		report, ok := p.revisionReports[i.ID]
		if ok && i.Region == p.self.Region {
			response.Members = append(response.Members, toMember(i, report.revision, now.Sub(report.reportedAt)))
		}
	}
	for _, v := range p.bestDigests() {
		response.Digests = append(response.Digests, toDigest(v.withAge(now)))
	}
	owners := p.regionOwners()
	response.OwnersHash = hashOwners(owners)
	if response.OwnersHash != request.GetKnown() {
		response.Owners = owners
	}
	return response, nil
}

// pollRegions polls one instance of each other region, chosen at random.
func (p *Peer) pollRegions() {
	byRegion := map[lovagestand.RegionName][]lovagestand.InstanceID{}
	for _, i := range p.LiveInstances() {
		if i.Region != p.self.Region {
			byRegion[i.Region] = append(byRegion[i.Region], i.ID)
		}
	}
	for _, ids := range byRegion {
		slices.Sort(ids)
		to := ids[rand.IntN(len(ids))]
		p.spawn(func() { p.pollInstance(to) })
	}
}

// pollInstance asks an instance for the state of its region and records the reply.
func (p *Peer) pollInstance(to lovagestand.InstanceID) {
	client, ok := p.clientOf(to)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	region := p.regionOf(to)
	request := &SurveyRequest{From: p.selfMember(), Known: p.remoteOwnersHash(region)}
	p.counters.Surveys.Add(1)
	p.counters.BytesSent.Add(int64(proto.Size(request)))
	response, err := client.Survey(ctx, request)
	if err != nil {
		p.counters.Failures.Add(1)
		return
	}
	p.counters.BytesReceived.Add(int64(proto.Size(response)))
	p.receive(response.GetFrom(), nil, "")
	p.recordDigests(response.GetDigests())
	p.recordRevisions(response.GetMembers())
	p.recordRemoteOwners(region, response)
}

// recordRevisions records the tables' revisions of the members that the reply to a
// poll lists.
func (p *Peer) recordRevisions(members []*Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, m := range members {
		reportedAt := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
		p.recordRevision(lovagestand.InstanceID(m.GetId()), m.GetRevision(), reportedAt)
	}
}
