package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

// TestFirstTurnLeavesScarceAccelerators guards against a late step that goes before an urgent
// one because much else is free: all accelerators but one are in use, most processors are not.
func TestFirstTurnLeavesScarceAccelerators(t *testing.T) {
	c := qt.New(t)
	gpu := lovagestand.Resources{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 1}
	workers := make([]dispatch.Worker, 20)
	for i := range workers {
		workers[i] = dispatch.Worker{
			Capacity: lovagestand.Resources{MilliCPU: 32000, MemoryMiB: 128 << 10, Accelerators: 2},
			Free:     lovagestand.Resources{MilliCPU: 30000, MemoryMiB: 120 << 10}, Open: true,
		}
	}
	workers[3].Free.Accelerators = 1
	steps := []dispatch.Step{{Tasks: 1, Needs: gpu, RunTime: time.Second, Score: 100}}
	for range 50 {
		steps = append(steps, dispatch.Step{Tasks: 1, Needs: gpu, RunTime: 20 * time.Second, Score: 0.001, Expired: true, Waited: 6 * time.Second})
	}
	// The pause of loaded workers is in force.
	decisions := decisionsBy(dispatch.Plan(dispatch.Load{Now: now, Workers: workers, Steps: steps, FirstTurnPaused: true}), len(steps))
	c.Check(decisions[0].Workers, qt.HasLen, 1, qt.Commentf("the urgent step has waited for nothing; a late one took the only accelerator"))
}

// TestFirstTurnLeavesScarceMemory is the same with memory.
func TestFirstTurnLeavesScarceMemory(t *testing.T) {
	c := qt.New(t)
	needs := lovagestand.Resources{MilliCPU: 1000, MemoryMiB: 60 << 10}
	workers := make([]dispatch.Worker, 20)
	for i := range workers {
		workers[i] = dispatch.Worker{Capacity: lovagestand.Resources{MilliCPU: 32000, MemoryMiB: 128 << 10}, Free: lovagestand.Resources{MilliCPU: 30000, MemoryMiB: 8 << 10}, Open: true}
	}
	workers[3].Free.MemoryMiB = 68 << 10
	steps := []dispatch.Step{{Tasks: 1, Needs: needs, RunTime: time.Second, Score: 100}}
	for range 50 {
		steps = append(steps, dispatch.Step{Tasks: 1, Needs: needs, RunTime: 20 * time.Second, Score: 0.001, Expired: true, Waited: 6 * time.Second})
	}
	decisions := decisionsBy(dispatch.Plan(dispatch.Load{Now: now, Workers: workers, Steps: steps, FirstTurnPaused: true}), len(steps))
	c.Check(decisions[0].Workers, qt.HasLen, 1, qt.Commentf("a late step took the only memory"))
}

// TestFirstTurnStartsOneTask guards against a late step of many single tasks that takes all
// room in its turn: on loaded workers one late step at a time goes first. One with
// many single tasks takes all that is free in that turn.
func TestFirstTurnStartsOneTask(t *testing.T) {
	c := qt.New(t)
	workers := emptyWorkers(100)
	for i := 35; i < 100; i++ {
		workers[i].Free = cores(0)
	}
	steps := []dispatch.Step{{Tasks: 500, Needs: cores(15), RunTime: 20 * time.Second, Score: 0.001, Expired: true, Waited: 31 * time.Second}}
	for range 40 {
		steps = append(steps, dispatch.Step{Tasks: 1, Needs: cores(14), RunTime: time.Second, Score: 100})
	}
	decisions := decisionsBy(dispatch.Plan(dispatch.Load{Now: now, Workers: workers, Steps: steps}), len(steps))
	urgent := 0
	for _, d := range decisions[1:] {
		urgent += len(d.Workers)
	}
	c.Check(urgent, qt.Equals, 40, qt.Commentf("the late step took room for %d tasks of %d", len(decisions[0].Workers), 70))
}

// TestFirstTurnForARareLabel guards against a step that gets no turn because other workers
// are free: a small late step needs a label that a tenth of the workers have, and
// steps of higher score keep these full. It gets no first turn, however long it waits.
func TestFirstTurnForARareLabel(t *testing.T) {
	c := qt.New(t)
	workers := emptyWorkers(100)
	for i := range 10 {
		workers[i].Labels = []string{"rare"}
		workers[i].Free = cores(0)
	}
	workers[0].Free = cores(4)
	steps := []dispatch.Step{
		{Tasks: 1, Needs: cores(4), Label: "rare", RunTime: time.Second, Score: 1},
		{Tasks: 1, Needs: cores(4), Label: "rare", RunTime: time.Second, Score: 0.001, Waited: time.Hour},
	}
	decisions := decisionsBy(dispatch.Plan(dispatch.Load{Now: now, Workers: workers, Steps: steps}), len(steps))
	c.Check(decisions[1].Workers, qt.HasLen, 1, qt.Commentf("it has waited for an hour while 0.9 of the processors are free"))
}

// TestFirstTurnIsNotHeldForLong guards against a turn that no other step gets: a gang that needs the room of a run of 50 minutes keeps the only
// first turn from one that could start at once.
func TestFirstTurnIsNotHeldForLong(t *testing.T) {
	c := qt.New(t)
	workers := emptyWorkers(100)
	for i := 30; i < 100; i++ {
		workers[i].Free = cores(0)
	}
	releases := func(i int) []dispatch.Release {
		if i < 30 {
			return nil
		}
		return []dispatch.Release{{At: now.Add(50 * time.Minute), Frees: cores(32)}}
	}
	steps := []dispatch.Step{
		{Tasks: 30, Needs: cores(20), RunTime: time.Second, Score: 1},
		{Tasks: 40, Needs: cores(20), Gang: true, RunTime: time.Second, Score: 0.002, Waited: 2 * time.Minute},
		{Tasks: 20, Needs: cores(20), Gang: true, RunTime: time.Second, Score: 0.001, Waited: time.Minute},
	}
	decisions := decisionsBy(dispatch.Plan(dispatch.Load{Now: now, Workers: workers, Steps: steps, Releases: releases}), len(steps))
	c.Check(decisions[2].Workers, qt.HasLen, 20, qt.Commentf("first: %d tasks", len(decisions[0].Workers)))
}

// TestFirstTurnBehindStepsThatNeverStart guards against a gang behind many older ones that
// need the room of long-running tasks.
func TestFirstTurnBehindStepsThatNeverStart(t *testing.T) {
	c := qt.New(t)
	workers := emptyWorkers(100)
	for i := 50; i < 100; i++ {
		workers[i].Free = cores(0)
	}
	releases := func(i int) []dispatch.Release {
		if i < 50 {
			return nil
		}
		return []dispatch.Release{{At: now.Add(24 * time.Hour), Frees: cores(32)}}
	}
	steps := []dispatch.Step{{Tasks: 50, Needs: cores(20), RunTime: time.Second, Score: 1}}
	for range 200 {
		steps = append(steps, dispatch.Step{Tasks: 60, Needs: cores(20), Gang: true, RunTime: time.Second, Score: 0.002, Waited: time.Hour})
	}
	steps = append(steps, dispatch.Step{Tasks: 40, Needs: cores(20), Gang: true, RunTime: time.Second, Score: 0.001, Waited: time.Minute})
	decisions := decisionsBy(dispatch.Plan(dispatch.Load{Now: now, Workers: workers, Steps: steps, Releases: releases}), len(steps))
	c.Check(decisions[201].Workers, qt.HasLen, 40)
}

// TestFirstTurnIsNotHeldWithoutAdvice guards against the same: a gang whose policy service never answers holds the turn.
func TestFirstTurnIsNotHeldWithoutAdvice(t *testing.T) {
	c := qt.New(t)
	workers := emptyWorkers(100)
	for i := 30; i < 100; i++ {
		workers[i].Free = cores(0)
	}
	steps := []dispatch.Step{
		{Tasks: 30, Needs: cores(20), RunTime: time.Second, Score: 1},
		{Tasks: 2, Needs: cores(20), Gang: true, NeedsTickets: true, RunTime: time.Second, Score: 0.002, Waited: time.Hour},
		{Tasks: 20, Needs: cores(20), Gang: true, RunTime: time.Second, Score: 0.001, Waited: 10 * time.Minute},
	}
	for range 2 {
		l := dispatch.Load{Now: now, Workers: append([]dispatch.Worker(nil), workers...), Steps: append([]dispatch.Step(nil), steps...), AdviceCalls: 0}
		decisions := decisionsBy(dispatch.Plan(l), len(steps))
		c.Check(decisions[2].Workers, qt.HasLen, 20)
	}
}

// TestFirstTurnsFollowTheWait guards against an old gang behind younger ones of higher score
// that have the first turn too. It has 100 workers, 40 of which have a label. One gang a second needs
// 20 of these for 2 s, each waits for some seconds, and the oldest gang, which is late, needs 39.
// Three fifths of the processors are free at all times.
func TestFirstTurnsFollowTheWait(t *testing.T) {
	c := qt.New(t)
	workers := emptyWorkers(100)
	for i := range 40 {
		workers[i].Labels = []string{"rare"}
	}
	type run struct {
		worker int
		end    time.Time
	}
	var runs []run
	var queue []time.Time
	for i := range 7 {
		queue = append(queue, now.Add(time.Duration(i-7)*time.Second))
	}
	started, longest := 0, time.Duration(0)
	for at, next := now, now; at.Before(now.Add(10 * time.Minute)); at = at.Add(50 * time.Millisecond) {
		var left []run
		for _, r := range runs {
			if r.end.After(at) {
				left = append(left, r)
				continue
			}
			workers[r.worker].Free = workers[r.worker].Free.Add(cores(20))
		}
		runs = left
		if !next.After(at) {
			queue, next = append(queue, at), next.Add(time.Second)
		}
		var steps []dispatch.Step
		for _, arrival := range queue {
			steps = append(steps, dispatch.Step{Tasks: 20, Needs: cores(20), Gang: true, Label: "rare", RunTime: 2 * time.Second, Score: 0.5, Waited: at.Sub(arrival)})
		}
		steps = append(steps, dispatch.Step{Tasks: 39, Needs: cores(20), Gang: true, Label: "rare", RunTime: 2 * time.Second, Score: 0.001, Expired: true, Waited: time.Minute + at.Sub(now)})
		releases := map[int][]dispatch.Release{}
		for _, r := range runs {
			releases[r.worker] = append(releases[r.worker], dispatch.Release{At: r.end, Frees: cores(20)})
		}
		l := dispatch.Load{Now: at, Workers: append([]dispatch.Worker(nil), workers...), Steps: steps, Releases: func(i int) []dispatch.Release { return releases[i] }}
		decisions := decisionsBy(dispatch.Plan(l), len(steps))
		if len(decisions[len(queue)].Workers) > 0 {
			c.Logf("started after %s, %d others before", at.Sub(now), started)
			return
		}
		var rest []time.Time
		for i, arrival := range queue {
			if len(decisions[i].Workers) == 0 {
				rest = append(rest, arrival)
				continue
			}
			started++
			longest = max(longest, at.Sub(arrival))
			for _, w := range decisions[i].Workers {
				workers[w].Free = workers[w].Free.Sub(lovagestand.Resources(cores(20)))
				runs = append(runs, run{w, at.Add(2 * time.Second)})
			}
		}
		queue = rest
	}
	c.Errorf("not started in 10 minutes, while %d gangs that had waited for at most %s were", started, longest)
}
