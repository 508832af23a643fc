package shard_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

// largeStep returns a step that takes a size in the store.
func largeStep(bytes int) job.Step { return job.Step{Count: 1, Image: strings.Repeat("i", bytes)} }

// withJobMemory bounds the memory of the jobs.
func withJobMemory(bytes int64) func(*shard.Deps) {
	return func(d *shard.Deps) { d.JobMemory = func() int64 { return bytes } }
}

// fill submits large jobs from an ID on until one is rejected, and returns their number.
func fill(c *qt.C, o *owner, from int) int {
	c.Helper()
	var full *shard.MemoryError
	for n := 0; ; n++ {
		if err := o.trySubmit(id(from+n), largeStep(100<<10)); err != nil {
			c.Assert(err, qt.ErrorAs, &full)
			c.Assert(full.RetryAfter >= time.Second && full.RetryAfter <= 30*time.Second, qt.IsTrue)
			return n
		}
	}
}

// TestLargeJobsAreBoundedByMemory guards against callers whose jobs no owner has the memory
// for: a crowd of large jobs is accepted up to a limit, and small ones still are. The next
// owner counts the same, and room that becomes free is used again.
func TestLargeJobsAreBoundedByMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const limit = 4 << 20
		k := newCell(c, 4, always(time.Minute, lovagestand.EndingDone))
		o := k.beginTerm("a", withJobMemory(limit))
		defer func() { o.stop() }()
		time.Sleep(time.Second)
		accepted := fill(c, o, 0)
		c.Assert(accepted > 4, qt.IsTrue)
		c.Assert(o.Status().JobMemoryBytes <= limit/2, qt.IsTrue)
		for i := range 50 {
			o.submit(c, id(1000+i), job.Step{Count: 1})
		}
		used := o.Status().JobMemoryBytes
		o.stop()
		o = k.beginTerm("b", withJobMemory(limit))
		c.Assert(o.Status().JobMemoryBytes, qt.Equals, used)
		c.Assert(fill(c, o, 100), qt.Equals, 0)
		for i := range accepted {
			c.Assert(o.Cancel(t.Context(), job.ID(id(i)), ""), qt.IsNil)
		}
		time.Sleep(5 * time.Second)
		// The small jobs and the ends of the cancelled ones take the room of one.
		c.Assert(fill(c, o, 200) >= accepted-1, qt.IsTrue)
	})
}

// TestTasksCountAsMemory guards against small requests with many tasks.
func TestTasksCountAsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 4, always(time.Minute, lovagestand.EndingDone))
		o := k.beginTerm("a", withJobMemory(shard.MinJobMemory))
		time.Sleep(time.Second)
		defer o.stop()
		o.submit(c, id(0), job.Step{Count: job.MaxTasks})
		c.Assert(o.trySubmit(id(1), job.Step{Count: job.MaxTasks}), qt.Not(qt.IsNil))
		o.submit(c, id(2), job.Step{Count: 1})
	})
}

// TestEndedJobsCountUntilTheyAreRemoved guards against callers who submit and cancel jobs, or
// cancel unknown ones, of which the owner keeps the ends.
func TestEndedJobsCountUntilTheyAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 4, always(time.Minute, lovagestand.EndingDone))
		o := k.beginTerm("a", withJobMemory(10<<10))
		time.Sleep(time.Second)
		defer o.stop()
		var unknownJob *shard.UnknownJobError
		var full *shard.MemoryError
		n := 0
		for {
			err := o.Cancel(t.Context(), job.ID(id(n)), "")
			if n++; n > 100 {
				c.Fatal("each cancellation of an unknown job is kept")
			}
			if !errors.As(err, &unknownJob) {
				c.Assert(err, qt.ErrorAs, &full)
				break
			}
		}
		c.Assert(o.trySubmit(id(1000), job.Step{Count: 1}), qt.ErrorAs, &full)
		time.Sleep(3 * time.Minute)
		c.Assert(o.Status().JobMemoryBytes, qt.Equals, int64(0))
		o.submit(c, id(1000), job.Step{Count: 1})
	})
}

// sizedStore records the size of the largest commit.
type sizedStore struct {
	lovagestand.Keyspace
	largest atomic.Int64
}

func (s *sizedStore) Commit(ctx context.Context, t lovagestand.Transaction) (lovagestand.Revision, error) {
	size := int64(0)
	for _, w := range t.Set {
		size += int64(len(w.Value))
	}
	s.largest.Store(max(s.largest.Load(), size))
	time.Sleep(100 * time.Millisecond)
	return s.Keyspace.Commit(ctx, t)
}

// TestWritesAreBoundedInBytes guards against writes of as many large jobs as one write may
// contain.
func TestWritesAreBoundedInBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := newCell(c, 4, always(time.Minute, lovagestand.EndingDone))
		var store *sizedStore
		k.storeWrapper = func(keys lovagestand.Keyspace) lovagestand.Keyspace {
			store = &sizedStore{Keyspace: keys}
			return store
		}
		o := k.beginTerm("a")
		defer func() { o.stop() }()
		time.Sleep(time.Second)
		var submitting sync.WaitGroup
		for i := range 20 {
			submitting.Go(func() { c.Check(o.trySubmit(id(i), largeStep(100<<10)), qt.IsNil) })
		}
		submitting.Wait()
		c.Assert(store.largest.Load() < 512<<10, qt.IsTrue, qt.Commentf("%d bytes", store.largest.Load()))
	})
}
