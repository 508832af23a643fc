package placer

import (
	"slices"
	"time"
)

// answerRemoved answers the requests that wait for a route, a pool or a team
// that the tables no longer have. A request that may have started, or is about
// to be sent, is left alone.
func (s *shard) answerRemoved(now time.Time) {
	if !s.recheck {
		return
	}
	s.recheck = false
	for _, r := range s.requests {
		if r.final() || !r.isWaiting() {
			continue
		}
		if err := s.deps.Catalog.CheckWaiting(r.task); err != nil {
			s.expire(now, r.parts[0], err.Error(), 0)
		}
	}
}

// isWaiting reports whether no part was ever given to a worker.
func (r *request) isWaiting() bool {
	notQueued := func(p *part) bool { return p.state != partQueued }
	return len(r.parts) > 0 && !r.started() && !slices.ContainsFunc(r.parts, notQueued)
}
