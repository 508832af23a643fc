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
	explorations     = flag.Int("explorations", 400, "seeds explored")
	firstExploration = flag.Int("firstExploration", 0, "first seed explored")
)

const (
	// batches is how many shares of the explorations run side by side.
	batches = 16
	// flawExplorations is how many seeds may be tried for each flaw.
	flawExplorations = 2000
	// calm is how long a fleet has to recover after the last fault.
	calm = 30 * time.Second
)

// TestNoTwoOwnersStartTasksOnOneShard explores interleavings of faults, judged by
// the workers, and that every shard is placed on again afterwards.
func TestNoTwoOwnersStartTasksOnOneShard(t *testing.T) {
	for batch := range batches {
		t.Run(fmt.Sprint(batch), func(t *testing.T) {
			t.Parallel()
			for i := batch; i < *explorations; i += batches {
				assertSound(qt.New(t), uint64(*firstExploration+i))
			}
		})
	}
}

func assertSound(c *qt.C, seed uint64) {
	c.Helper()
	var variant flaw
	if seed%2 == 1 {
		variant.timing = lateReplacement
	}
	s := newSimulation(seed, variant)
	c.Assert(s.run(s.quiet+calm), qt.Equals, "", qt.Commentf("seed %d", seed))
	for shard := range s.shards {
		var owners int
		for _, p := range s.processes {
			if _, ok := p.node.Lease(p.clock(), shard); ok && !p.dead {
				owners++
			}
		}
		c.Assert(owners, qt.Equals, 1, qt.Commentf("seed %d: owners of %s", seed, shard))
	}
	c.Assert(s.accepted > 100, qt.IsTrue, qt.Commentf("seed %d: %d starts", seed, s.accepted))
}

// TestExplorationFindsMutations puts a mistake into the protocol and expects the
// exploration to find it.
func TestExplorationFindsMutations(t *testing.T) {
	flaws := map[string]flaw{
		"no settle wait":              {timing: func(t *owner.Timing) { t.Settle, t.StartWindow = 0, 0 }},
		"list trusted at once":        {timing: func(t *owner.Timing) { t.Dropped = 0 }},
		"promise from its reply":      {from: 540, carry: promiseFromReply, timing: lateReplacement},
		"epoch ignored":               {carry: ignoreEpoch},
		"consent not asked for":       {carry: skipConsent, timing: lateReplacement},
		"right kept past the promise": {timing: func(t *owner.Timing) { t.Guard = -t.Promise }},
	}
	for name, f := range flaws {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := f.from; seed < f.from+flawExplorations; seed++ {
				s := newSimulation(seed, f)
				if s.run(s.quiet) != "" {
					t.Logf("found with seed %d", seed)
					return
				}
			}
			c.Fatalf("not found by %d explorations", flawExplorations)
		})
	}
}

// lateReplacement lets owners keep silent standbys, which is sound, but leaves
// more to the rules that a flaw breaks.
func lateReplacement(t *owner.Timing) { t.Replace = time.Minute }

// ignoreEpoch lets a standby promise whatever it is asked for.
func ignoreEpoch(_ *simulation, from, to *process, m owner.Message) bool {
	if m.Kind != owner.KindLeaseRequest {
		return false
	}
	to.do(func() { to.carry(from, owner.Message{Kind: owner.KindLeaseGrant, Entry: m.Entry, Sent: m.Sent}) })
	return true
}

// skipConsent lets a takeover go on as if the other standby had consented.
func skipConsent(_ *simulation, from, to *process, m owner.Message) bool {
	if m.Kind != owner.KindSeal {
		return false
	}
	to.carry(from, owner.Message{Kind: owner.KindConsent, Entry: m.Entry, Attempt: m.Attempt})
	return true
}

// promiseFromReply counts a promise from when it arrives.
func promiseFromReply(_ *simulation, from, to *process, m owner.Message) bool {
	late := to.clock().Sub(time.Unix(0, 0))
	if m.Kind != owner.KindLeaseGrant || m.Sent == late {
		return false
	}
	m.Sent = late
	to.step(func(now time.Time) []owner.Effect { return to.node.Receive(now, from.self.ID, m) })
	return true
}
