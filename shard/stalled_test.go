package shard_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

// TestStoreThatHasAnsweredIsNotMarkedStalled has a write answered just before it counts
// as stalled, while the shard is locked. No later write follows that would end the
// stall.
func TestStoreThatHasAnsweredIsNotMarkedStalled(t *testing.T) {
	c := qt.New(t)
	k := newCell(c, 0, always(time.Second, lovagestand.EndingDone))
	o := k.beginTerm("a", func(d *shard.Deps) {
		// Pending calls Confirmed while it holds the lock.
		d.Confirmed = func() bool { time.Sleep(500 * time.Millisecond); return true }
	})
	defer o.stop()
	k.delay.Store(int64(550 * time.Millisecond))
	var calling sync.WaitGroup
	calling.Go(func() { o.submit(c, id(1), job.Step{Count: 1}) })
	time.Sleep(300 * time.Millisecond)
	calling.Go(func() { _, _ = o.Pending("quote") })
	calling.Wait()
	k.delay.Store(0)
	time.Sleep(500 * time.Millisecond)
	o.submit(c, id(2), job.Step{Count: 1})
}
