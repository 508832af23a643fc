package placer

import (
	"context"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/placer/placerpb"
)

// Check implements [placerpb.Placer].
func (p *Placer) Check(_ context.Context, request *placerpb.CheckRequest) (*placerpb.CheckReply, error) {
	reply := &placerpb.CheckReply{Complete: true, Clear: make([]bool, len(request.GetKeys()))}
	shards := p.openShards()
	completeByShard := make(map[lovagestand.ShardName]bool, len(shards))
	for _, s := range shards {
		completeByShard[s.name] = s.complete()
	}
	for _, n := range p.deps.Ownership.Owned() {
		reply.Shards = append(reply.Shards, string(n))
		if complete, ok := completeByShard[n]; ok && !complete {
			reply.Complete = false
		}
	}
	for i, k := range request.GetKeys() {
		reply.Clear[i] = p.clear(shards, lovagestand.RequestKey(k), request.GetAsker())
	}
	return reply, nil
}

// clear reports whether this instance neither runs, has run nor handles a
// request for a caller. If client is this instance, the requests that it handles
// itself do not count.
func (p *Placer) clear(shards []*shard, key lovagestand.RequestKey, client string) bool {
	if p.deps.MayHaveRun != nil && client != string(p.deps.Self) && p.deps.MayHaveRun(key) {
		return false
	}
	for _, s := range shards {
		r, ok := s.find(key)
		if ok && s.mayHaveRun(r) {
			return false
		}
	}
	return true
}

// complete reports whether the shard has read the state of all of its workers.
func (s *shard) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isReady && len(s.unread) == 0
}

func (s *shard) mayHaveRun(r *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.mayHaveRun()
}
