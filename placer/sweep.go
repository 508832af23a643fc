package placer

import (
	"slices"
	"time"
)

// sweep forgets answers that were kept long enough, and the oldest of those
// that may be made again while there are too many or they take too much.
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

// retentionOf returns how long a final answer is kept.
func (s *shard) retentionOf(r *request) time.Duration {
	if r.withdrawn {
		return s.timings.withdrawnRetention
	}
	return s.timings.answerRetention
}

// shrink forgets kept answers, oldest first, until the rest is within bounds.
// Answers of work that must not run twice stay.
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
