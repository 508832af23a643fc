package shard

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOwnersThatVanishInSeries replays owners that vanish one after the other, and guards
// against workers whose connections they use up.
func TestOwnersThatVanishInSeries(t *testing.T) {
	const owners = 1000
	for _, accepted := range []int{1, 2, 5, 16, 32, 60, 64, 256} {
		t.Run(fmt.Sprintf("%d accepted", accepted), func(t *testing.T) {
			c := qt.New(t)
			former, keeping := 0, 0
			for range owners {
				kept := keptConnections(accepted, former)
				c.Assert(kept >= 0 && kept <= maxKeptConnections, qt.IsTrue, qt.Commentf("%d", kept))
				if kept > 0 {
					keeping++
				}
				former += leftConnections(kept)
			}
			c.Assert(former <= accepted-accepted/reservedConnections, qt.IsTrue, qt.Commentf("%d left open", former))
			c.Assert(keeping >= accepted/4-2, qt.IsTrue, qt.Commentf("%d owners could keep connections", keeping))
			c.Assert(owners*leftConnections(maxKeptConnections) > accepted, qt.IsTrue, qt.Commentf("a constant number has no end"))
		})
	}
}
