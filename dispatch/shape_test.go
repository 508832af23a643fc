package dispatch_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovagestand.example/lovagestand/dispatch"
)

func TestSlots(t *testing.T) {
	c := qt.New(t)
	workers := emptyWorkers(3)
	workers[0].Labels = []string{"c"}
	workers[1].Free = cores(0)
	for name, test := range map[string]struct {
		shape dispatch.Shape
		slots int
	}{
		"all workers":          {dispatch.Shape{Needs: cores(10)}, 9},
		"a label":              {dispatch.Shape{Label: "c", Needs: cores(10)}, 3},
		"a label that is not":  {dispatch.Shape{Label: "d", Needs: cores(10)}, 0},
		"another service":      {dispatch.Shape{Service: "x", Needs: cores(10)}, 0},
		"a limit on a worker":  {dispatch.Shape{Needs: cores(10), MaxPerWorker: 2}, 6},
		"more than a worker":   {dispatch.Shape{Needs: cores(33)}, 0},
		"no needs, but enough": {dispatch.Shape{}, 20},
	} {
		c.Run(name, func(c *qt.C) {
			c.Assert(test.shape.Slots(workers, 20), qt.Equals, test.slots)
		})
	}
}

// naiveWindow is what a pass considered before [dispatch.Window]: the first steps.
func naiveWindow(steps, limit int, _ func(int) bool, _ func(int) int64) []int {
	var window []int
	for i := range min(steps, limit) {
		window = append(window, i)
	}
	return window
}

type window func(steps, limit int, hasRoom func(int) bool, lastConsidered func(int) int64) []int

// startedOf replays passes over steps in order of their ranks: 300 for the only worker with
// a label, which is full, then 60 that need a ticket and have none, then 40 that fit. It
// returns how many of the last 40 have started after a number of passes.
func startedOf(choose window, passes int) int {
	const limit = 100
	kinds := append(append(slices.Repeat([]string{"full"}, 300), slices.Repeat([]string{"ticket"}, 60)...), slices.Repeat([]string{"fits"}, 40)...)
	considered := make([]int64, len(kinds))
	started := 0
	for pass := range passes {
		chosen := choose(len(kinds), limit, func(i int) bool { return kinds[i] != "full" }, func(i int) int64 { return considered[i] })
		for _, i := range slices.Backward(chosen) {
			considered[i] = int64(pass + 1)
			if kinds[i] == "fits" {
				started++
				kinds, considered = slices.Delete(kinds, i, i+1), slices.Delete(considered, i, i+1)
			}
		}
	}
	return started
}

// TestWindow guards against steps that are never considered: of the load that it answers,
// all that fit start within a few passes.
func TestWindow(t *testing.T) {
	c := qt.New(t)
	c.Assert(startedOf(dispatch.Window, 3), qt.Equals, 40)
	c.Assert(startedOf(naiveWindow, 1000), qt.Equals, 0)
}

// TestWindowProperties checks the size and the order of a window, and that it contains the
// steps of the highest ranks.
func TestWindowProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps, limit := rapid.IntRange(0, 50).Draw(t, "steps"), rapid.IntRange(2, 20).Draw(t, "limit")
		room := rapid.SliceOfN(rapid.Bool(), steps, steps).Draw(t, "room")
		last := rapid.SliceOfN(rapid.Int64Range(0, 3), steps, steps).Draw(t, "last")
		got := dispatch.Window(steps, limit, func(i int) bool { return room[i] }, func(i int) int64 { return last[i] })
		if len(got) != min(steps, limit) || !slices.IsSorted(got) || len(slices.Compact(slices.Clone(got))) != len(got) {
			t.Fatalf("not a window of %d of %d steps: %v", limit, steps, got)
		}
		for i := range min(steps, limit/2) {
			if got[i] != i {
				t.Fatalf("step %d is not considered: %v", i, got)
			}
		}
	})
}
