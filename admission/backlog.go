package admission

import "sort"

// Backlog is waiting work in the order in which it starts.
type Backlog struct {
	// scores are those of the pieces of work, highest first, and work sums their work up
	// to each, in seconds of the whole capacity.
	scores, work []float64
}

// Add appends work, in seconds of the whole capacity. Its score is at most that of the
// work before it.
func (b *Backlog) Add(score, work float64) {
	b.scores = append(b.scores, score)
	b.work = append(b.work, b.Total()+work)
}

// Reset removes all work. The memory is used again.
func (b *Backlog) Reset() {
	b.scores, b.work = b.scores[:0], b.work[:0]
}

// Total returns all work, in seconds of the whole capacity.
func (b *Backlog) Total() float64 {
	if len(b.work) == 0 {
		return 0
	}
	return b.work[len(b.work)-1]
}

// Ahead returns the work that starts before work of a score.
func (b *Backlog) Ahead(score float64) float64 {
	n := sort.Search(len(b.scores), func(i int) bool { return b.scores[i] <= score })
	if n == 0 {
		return 0
	}
	return b.work[n-1]
}
