package placer

import (
	"slices"
	"time"
)

// sweep removes the answers whose retention has passed. If the remaining ones
// exceed a limit in number or size, it also removes the oldest answers of work
// that may run again.
func (s *shard) sweep(now time.Time) {
	var retained []*request
	size := 0
	for _, r := range s.requests {
		if !r.final() {
			continue
		}
		if now.Sub(r.answeredAt) > s.retentionOf(r) {
			s.removeRequest(r)
			continue
		}
		retained = append(retained, r)
		size += len(r.answer.Body)
	}
	if len(retained) <= s.timings.maxRetained && size <= s.timings.maxRetainedBytes {
		return
	}
	s.shrink(retained, size)
}

// retentionOf returns how long the final answer of a request is retained.
func (s *shard) retentionOf(r *request) time.Duration {
	if r.withdrawn {
		return s.timings.withdrawnRetention
	}
	return s.timings.answerRetention
}

// shrink removes retained answers, oldest first, until the rest is within the
// limits. It never removes the answers of work that must not run twice.
func (s *shard) shrink(retained []*request, size int) {
	slices.SortFunc(retained, func(a, b *request) int { return a.answeredAt.Compare(b.answeredAt) })
	remaining := len(retained)
	for _, r := range retained {
		if remaining <= s.timings.maxRetained && size <= s.timings.maxRetainedBytes {
			return
		}
		if !r.task.Idempotent || r.task.Exclusive {
			continue
		}
		s.removeRequest(r)
		remaining--
		size -= len(r.answer.Body)
	}
}
