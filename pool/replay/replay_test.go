package replay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/pool"
	"lovagestand.example/lovagestand/pool/baseline"
	"lovagestand.example/lovagestand/pool/replay"
)

// TestUrgentWaitsLess checks on a short load that the policy reaches its goals:
// short waits of urgent tasks, little idle capacity on claimed workers, and
// fair shares for teams.
func TestUrgentWaitsLess(t *testing.T) {
	c := qt.New(t)
	load := replay.StandardLoad(3)
	load.Duration = 8 * time.Minute
	policy := replay.Run(load, pool.New("cell"))
	fifo := replay.Run(load, baseline.New("cell"))
	urgent := policy.Wait(lovagestand.ClassUrgent, 0.99)
	c.Assert(urgent <= 1400*time.Millisecond, qt.IsTrue, qt.Commentf("%s", urgent))
	c.Assert(urgent*10 <= fifo.Wait(lovagestand.ClassUrgent, 0.99), qt.IsTrue)
	c.Assert(policy.ClaimedIdle <= 0.02, qt.IsTrue)
	c.Assert(policy.WorstTeam > fifo.WorstTeam, qt.IsTrue)
}

// TestReplayIsDeterministic runs one load twice and expects equal results.
func TestReplayIsDeterministic(t *testing.T) {
	load := replay.StandardLoad(4)
	load.Duration = 3 * time.Minute
	first := replay.Run(load, pool.New("cell"))
	second := replay.Run(load, pool.New("cell"))
	c := qt.New(t)
	c.Assert(second.Waits, qt.DeepEquals, first.Waits)
	c.Assert(second.Preempted, qt.Equals, first.Preempted)
	c.Assert(second.Placed, qt.Equals, first.Placed)
}
