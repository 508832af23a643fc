package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/job"
)

// TestOrderQueue guards against new jobs and ends that wait for progress records after an
// outage of the store.
func TestOrderQueue(t *testing.T) {
	entry := func(id job.ID, change func(*jobEntry)) *jobEntry {
		e := &jobEntry{id: id, durable: true, progress: job.New(job.Job{ID: id, Steps: []job.Step{{Count: 1}}}, time.Now())}
		change(e)
		return e
	}
	end := func(e *jobEntry) { e.progress = nil }
	queue := []*jobEntry{
		entry("removal", func(e *jobEntry) { end(e); e.endDurable, e.expired = true, true }),
		entry("progress", func(*jobEntry) {}),
		entry("new", func(e *jobEntry) { e.durable = false }),
		entry("more progress", func(*jobEntry) {}),
		entry("end", end),
		entry("duplicate", func(e *jobEntry) { e.waiters = []chan error{nil} }),
	}
	orderQueue(queue)
	var got []job.ID
	for _, e := range queue {
		got = append(got, e.id)
	}
	qt.Assert(t, got, qt.DeepEquals, []job.ID{"new", "end", "duplicate", "progress", "more progress", "removal"})
}
