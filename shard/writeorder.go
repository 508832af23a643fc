package shard

import (
	"cmp"
	"slices"
)

// The order in which entries are written after an outage of the store.
const (
	// urgentWrite is the order of new jobs, cancellations and ends: callers see them only
	// once they are stored.
	urgentWrite = iota
	// progressWrite is the order of progress records. They only save work at a takeover and
	// memory of workers.
	progressWrite
	// removalWrite is the order of removals.
	removalWrite
)

// writeUrgency returns when an entry is written after an outage of the store.
func (e *jobEntry) writeUrgency() int {
	switch {
	case len(e.waiters) > 0 || !e.durable || e.final() && !e.endDurable:
		return urgentWrite
	case e.expired:
		return removalWrite
	}
	return progressWrite
}

// orderQueue sorts a queue by urgency. Entries of equal urgency keep their order.
func orderQueue(queue []*jobEntry) {
	slices.SortStableFunc(queue, func(a, b *jobEntry) int { return cmp.Compare(a.writeUrgency(), b.writeUrgency()) })
}

// recovering reports whether what was queued during an outage of the store is being
// written.
func (s *Shard) recovering() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.afterOutage
}
