package owner_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/owner"
)

var (
	explorations     = flag.Int("explorations", 400, "number of seeds explored")
	firstExploration = flag.Int("firstExploration", 0, "first seed explored")
)

const (
	// batches is the number of parallel sub-tests that share the seeds.
	batches = 16
	// mutationSeeds is the largest number of seeds tried for each mutation.
	mutationSeeds = 2000
	// recoveryTime is how long a fleet has to recover after the last fault.
	recoveryTime = 30 * time.Second
)

// TestNoTwoOwnersStartTasksOnOneShard explores interleavings of faults. The workers
// check that no start of an earlier owner follows one of a later owner, and every shard
// must have exactly one owner after the last fault.
func TestNoTwoOwnersStartTasksOnOneShard(t *testing.T) {
	for batch := range batches {
		t.Run(fmt.Sprint(batch), func(t *testing.T) {
			t.Parallel()
			for i := batch; i < *explorations; i += batches {
				assertSafeAndRecovered(qt.New(t), uint64(*firstExploration+i))
			}
		})
	}
}

func assertSafeAndRecovered(c *qt.C, seed uint64) {
	c.Helper()
	var variant mutation
	if seed%2 == 1 {
		variant.timing = replaceStandbysLate
	}
	s := newSimulation(seed, variant)
	c.Assert(s.run(s.faultsEnd+recoveryTime), qt.Equals, "", qt.Commentf("seed %d", seed))
	for shard := range s.shards {
		var owners int
		for _, p := range s.processes {
			if _, ok := p.node.Lease(p.clock(), shard); ok && !p.dead {
				owners++
			}
		}
		c.Assert(owners, qt.Equals, 1, qt.Commentf("seed %d: number of owners of %s", seed, shard))
	}
	c.Assert(s.accepted > 100, qt.IsTrue, qt.Commentf("seed %d: only %d starts accepted", seed, s.accepted))
}

// TestExplorationFindsMutations breaks one rule of the protocol at a time and expects
// the exploration to find a violation.
func TestExplorationFindsMutations(t *testing.T) {
	mutations := map[string]mutation{
		"no wait for late starts":      {timing: func(t *owner.Timing) { t.SettleDelay, t.StartWindow = 0, 0 }},
		"no wait before presumed dead": {timing: func(t *owner.Timing) { t.PresumedDeadAfter = 0 }},
		"lease runs from the grant":    {firstSeed: 540, deliver: grantFromReply, timing: replaceStandbysLate},
		"epoch ignored":                {deliver: ignoreEpoch},
		"consent not requested":        {deliver: skipConsent, timing: replaceStandbysLate},
		"lease outlives its grant":     {timing: func(t *owner.Timing) { t.Guard = -t.GrantDuration }},
	}
	for name, m := range mutations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := m.firstSeed; seed < m.firstSeed+mutationSeeds; seed++ {
				s := newSimulation(seed, m)
				if s.run(s.faultsEnd) != "" {
					t.Logf("violation found with seed %d", seed)
					return
				}
			}
			c.Fatalf("no violation found with %d seeds", mutationSeeds)
		})
	}
}

// replaceStandbysLate lets owners keep unresponsive standbys. This is safe, but it
// depends more on the rules that a mutation breaks.
func replaceStandbysLate(t *owner.Timing) { t.ReplaceAfter = time.Minute }

// ignoreEpoch makes a standby grant every lease that is requested, in any epoch.
func ignoreEpoch(_ *simulation, from, to *process, m owner.Message) bool {
	if m.Kind != owner.KindLeaseRequest {
		return false
	}
	to.whenRunning(func() { to.deliver(from, owner.Message{Kind: owner.KindLeaseGrant, Entry: m.Entry, Sent: m.Sent}) })
	return true
}

// skipConsent makes a takeover continue as if the other standby had consented.
func skipConsent(_ *simulation, from, to *process, m owner.Message) bool {
	if m.Kind != owner.KindSeal {
		return false
	}
	to.deliver(from, owner.Message{Kind: owner.KindConsent, Entry: m.Entry, Attempt: m.Attempt})
	return true
}

// grantFromReply makes a lease run from the arrival of the grant instead of from the
// request.
func grantFromReply(_ *simulation, from, to *process, m owner.Message) bool {
	received := to.clock().Sub(time.Unix(0, 0))
	if m.Kind != owner.KindLeaseGrant || m.Sent == received {
		return false
	}
	m.Sent = received
	to.step(func(now time.Time) []owner.Effect { return to.node.Receive(now, from.self.ID, m) })
	return true
}
