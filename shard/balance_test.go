package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/job"
)

// maxLoadWait is how long a job may wait in a full shard beside an empty one: 2 s before it is
// considered, two polls of the other shard's load, half a second apart, for each of the jobs that
// its room is counted for twice, and the move.
const maxLoadWait = 10 * time.Second

// TestJobsWaitInAFullShardBesideAnEmptyOne guards against gangs that wait in a shard full of long
// tasks while all workers of another one are idle.
func TestJobsWaitInAFullShardBesideAnEmptyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second := newMovingShardsOf(c, time.Minute)
		defer func() { first.current().stop(); second.current().stop() }()
		first.current().submit(c, id(1), job.Step{Count: 8})
		time.Sleep(time.Second)
		c.Assert(first.fleet.Starts(), qt.Equals, 8)
		for i := range 3 {
			first.current().submit(c, id(2+i), job.Step{Count: 2, Gang: true})
		}
		time.Sleep(maxLoadWait)
		c.Check(second.fleet.Starts(), qt.Equals, 6)
		for i := range 3 {
			first.assertUnknown(c, id(2+i))
			assertPhase(c, second.current(), id(2+i), "running")
		}
		c.Assert(first.fleet.Starts(), qt.Equals, 8)
		first.assertNoViolations()
		second.assertNoViolations()
	})
}
