package dispatch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

func TestEvacuate(t *testing.T) {
	c := qt.New(t)
	run := func(step int) dispatch.LeavingRun {
		return dispatch.LeavingRun{Shape: dispatch.Shape{Needs: cores(8)}, Step: step}
	}
	limited := run(0)
	limited.Shape.MaxPerWorker, limited.Placed = 1, map[int]int{0: 1}
	for name, test := range map[string]struct {
		runs    []dispatch.LeavingRun
		mayStop []int
		free    []lovagestand.Resources
		stops   []int
	}{
		"room for all":           {[]dispatch.LeavingRun{run(0), run(0)}, []int{2}, []lovagestand.Resources{cores(16)}, []int{0, 1}},
		"room for one":           {[]dispatch.LeavingRun{run(0), run(0)}, []int{2}, []lovagestand.Resources{cores(15)}, []int{0}},
		"no room":                {[]dispatch.LeavingRun{run(0)}, []int{1}, []lovagestand.Resources{cores(7)}, nil},
		"one of each step":       {[]dispatch.LeavingRun{run(0), run(0), run(1)}, []int{1, 1}, []lovagestand.Resources{cores(32)}, []int{0, 2}},
		"enough stopped already": {[]dispatch.LeavingRun{run(0)}, []int{-1}, []lovagestand.Resources{cores(32)}, nil},
		"the limit on a worker":  {[]dispatch.LeavingRun{limited}, []int{1}, []lovagestand.Resources{cores(32)}, nil},
		"room on another worker": {[]dispatch.LeavingRun{limited}, []int{1}, []lovagestand.Resources{cores(32), cores(8)}, []int{0}},
	} {
		c.Run(name, func(c *qt.C) {
			workers := emptyWorkers(len(test.free))
			for i := range workers {
				workers[i].Free = test.free[i]
			}
			c.Assert(dispatch.Evacuate(test.runs, test.mayStop, workers), qt.DeepEquals, test.stops)
		})
	}
}

// naiveEvacuate is what became of long-running tasks before [dispatch.Evacuate]: they stay.
func naiveEvacuate([]dispatch.LeavingRun, []int, []dispatch.Worker) []int { return nil }

// TestReplacedFleet replays the replacement of a fleet, worker by worker. A worker serves for
// six rounds after its notice, and a run takes a round to stop. Tasks that are lost with
// their worker start again after ten rounds.
func TestReplacedFleet(t *testing.T) {
	c := qt.New(t)
	const workers, tasks, notice, lease = 8, 16, 6, 10
	lostRounds := func(decide func([]dispatch.LeavingRun, []int, []dispatch.Worker) []int) int {
		fleet := emptyWorkers(workers)
		on, awayUntil := make([]int, tasks), make([]int, tasks)
		for i := range tasks {
			on[i] = i % workers
			fleet[on[i]].Free = fleet[on[i]].Free.Sub(cores(8))
		}
		lost := 0
		for round := range workers * (notice + lease) {
			leaving, since := round/(notice+lease), round%(notice+lease)
			for i := range fleet {
				fleet[i].Open = i != leaving || since > notice
			}
			var runs []dispatch.LeavingRun
			var indexes []int
			away := 0
			for i := range tasks {
				if awayUntil[i] > round {
					away++
					lost++
				}
			}
			for i := range tasks {
				switch {
				case on[i] == leaving && since == notice:
					awayUntil[i] = round + lease
					fleet[leaving].Free = fleet[leaving].Free.Add(cores(8))
					on[i] = (leaving + 1) % workers
					fleet[on[i]].Free = fleet[on[i]].Free.Sub(cores(8))
				case on[i] == leaving && since < notice:
					runs, indexes = append(runs, dispatch.LeavingRun{Shape: dispatch.Shape{Needs: cores(8)}}), append(indexes, i)
				}
			}
			for _, r := range decide(runs, []int{1 - away}, fleet) {
				i := indexes[r]
				awayUntil[i] = round + 2
				fleet[leaving].Free = fleet[leaving].Free.Add(cores(8))
				for n := range fleet {
					if fleet[n].Open && cores(8).Fits(fleet[n].Free) {
						on[i] = n
						fleet[n].Free = fleet[n].Free.Sub(cores(8))
						break
					}
				}
			}
		}
		return lost
	}
	evacuated, naive := lostRounds(dispatch.Evacuate), lostRounds(naiveEvacuate)
	c.Logf("rounds without a task: evacuated %d, naive %d", evacuated, naive)
	c.Assert(naive > 0, qt.IsTrue)
	c.Assert(evacuated <= naive/4, qt.IsTrue)
}
