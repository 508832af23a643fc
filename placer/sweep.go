package placer

import (
	"slices"
	"time"
)

// sweep forgets answers that were kept long enough, and the oldest of those
// that may be made again while there are too many or they take too much.
func (s *shard) sweep(now time.Time) {
	var kept []*request
	size := 0
	for _, r := range s.requests {
		if !r.final() {
			continue
		}
		if now.Sub(r.endedAt) > s.keepFor(r) {
			s.forget(r)
			continue
		}
		kept = append(kept, r)
		size += len(r.answer.Body)
	}
	if len(kept) <= s.timings.maxKept && size <= s.timings.maxKeptBytes {
		return
	}
	s.shrink(kept, size)
}

// keepFor returns how long a final answer is kept.
func (s *shard) keepFor(r *request) time.Duration {
	if r.withdrawn {
		return s.timings.keepWithdrawn
	}
	return s.timings.keepAnswer
}

// shrink forgets kept answers, oldest first, until the rest is within bounds.
// Answers of work that must not run twice stay.
func (s *shard) shrink(kept []*request, size int) {
	slices.SortFunc(kept, func(a, b *request) int { return a.endedAt.Compare(b.endedAt) })
	left := len(kept)
	for _, r := range kept {
		if left <= s.timings.maxKept && size <= s.timings.maxKeptBytes {
			return
		}
		if !r.task.Idempotent || r.task.Exclusive {
			continue
		}
		s.forget(r)
		left--
		size -= len(r.answer.Body)
	}
}
