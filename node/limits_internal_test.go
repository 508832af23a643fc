package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/shard"
)

// TestLimitsFollowTheMachine compares the limits with those in docs/operators/limits.md, and
// guards against limits that leave no descriptors to the instance itself.
func TestLimitsFollowTheMachine(t *testing.T) {
	c := qt.New(t)
	for _, m := range []struct {
		memoryMiB   int64
		descriptors int
		want        limits
	}{
		{284, 4100, limits{callerConnections: 1363, internalConnections: 727, readyConnections: 78, callerBytes: 29779558, submissionBytes: 5955911, internalBytes: 5955911, ownerCalls: 195}},
		{160, 4100, limits{callerConnections: 768, internalConnections: 409, readyConnections: 78, callerBytes: 16777216, submissionBytes: 3355443, internalBytes: 3355443, ownerCalls: 195}},
	} {
		l := newLimits(m.memoryMiB, m.descriptors)
		c.Check(l, qt.Equals, m.want)
		c.Check(l.callerConnections+l.internalConnections+l.readyConnections+2*l.ownerCalls < 3*m.descriptors/4, qt.IsTrue)
	}
}

// TestJobMemoryIsThatOfTheSmallestInstance guards against jobs that only a large instance can
// hold.
func TestJobMemoryIsThatOfTheSmallestInstance(t *testing.T) {
	c := qt.New(t)
	large, small, unknown := lovagestand.Instance{MemoryMiB: 500}, lovagestand.Instance{MemoryMiB: 100}, lovagestand.Instance{}
	for _, members := range [][]lovagestand.Instance{{large, small}, {small, unknown, large}} {
		c.Check(jobMemoryOf(large, members, 1), qt.Equals, int64(20<<20))
	}
	c.Check(jobMemoryOf(small, []lovagestand.Instance{large}, 1), qt.Equals, int64(20<<20))
	c.Check(jobMemoryOf(large, nil, 4), qt.Equals, int64(25<<20))
	c.Check(jobMemoryOf(small, nil, 16), qt.Equals, int64(shard.MinJobMemory))
}
