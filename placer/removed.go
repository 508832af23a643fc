package placer

import (
	"slices"
	"time"
)

// answerRemoved answers the requests that wait for a route, a pool or a team
// that has been removed from the tables. It leaves requests alone that may have
// started or are about to be sent to a worker.
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

// isWaiting reports whether no part of the request has been placed on a worker.
func (r *request) isWaiting() bool {
	notQueued := func(p *part) bool { return p.state != partQueued }
	return len(r.parts) > 0 && !r.started() && !slices.ContainsFunc(r.parts, notQueued)
}
