package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

// localityLoad is a load of rack r1-0, which is full, and rack r1-1, which is idle. A slot
// of 16 cores on each worker of rack r1-0 becomes free after the time that is given.
func localityLoad(after time.Duration, steps ...dispatch.Step) dispatch.Load {
	workers := emptyWorkers(8)
	for i := range 4 {
		workers[i].Free = cores(0)
	}
	return dispatch.Load{Now: now, Workers: workers, Steps: steps, AdviceCalls: 100, Releases: func(i int) []dispatch.Release {
		if i >= 4 {
			return nil
		}
		return []dispatch.Release{{At: now.Add(after), Spread: after / 10, Frees: cores(16)}, {At: now.Add(endlessTask), Frees: cores(16)}}
	}}
}

// nearStep is a step of 4 s whose data is on rack r1-0.
func nearStep(tasks int, change ...func(*dispatch.Step)) dispatch.Step {
	s := dispatch.Step{Tasks: tasks, Needs: cores(16), Affinity: "r1-0", RunTime: 4 * time.Second, Locality: &dispatch.Locality{
		Factor: dispatch.FarFactor{Value: 2}, Work: dispatch.Work{Priority: 2},
	}}
	for _, f := range change {
		f(&s)
	}
	return s
}

func waits(decisions []dispatch.Decision, step int) int {
	n := 0
	for _, d := range decisions {
		if d.Step == step {
			n += d.Wait.Tasks
		}
	}
	return n
}

// TestLocalityDecision guards against waits for capacity that comes late or never, waits
// beyond the bound, and starts elsewhere where a short wait saves seconds.
func TestLocalityDecision(t *testing.T) {
	c := qt.New(t)
	far := func(s *dispatch.Step) { s.Affinity = "absent" }
	urgent := func(s *dispatch.Step) { s.Locality.Work.Priority = 0 }
	for _, test := range []struct {
		name          string
		after         time.Duration
		step          dispatch.Step
		waits, starts int
	}{
		{"waits for room that comes soon", time.Second, nearStep(2), 2, 0},
		{"other tasks wait longer", 1300 * time.Millisecond, nearStep(2), 2, 0},
		{"nothing of a job waits long while half of the workers are idle", 2 * time.Second, nearStep(2), 0, 2},
		{"tasks beside running ones wait longer", 2 * time.Second, nearStep(2, func(s *dispatch.Step) { s.Locality.Active = true }), 2, 0},
		{"starts elsewhere if room comes late", 5 * time.Second, nearStep(2), 0, 2},
		{"starts elsewhere if there is no such rack", time.Second, nearStep(2, far), 0, 2},
		{"only as many tasks wait as there is room for", time.Second, nearStep(6), 4, 2},
		{"urgent tasks wait less", 1300 * time.Millisecond, nearStep(2, urgent), 0, 2},
		{"urgent tasks wait for room that comes at once", 50 * time.Millisecond, nearStep(2, urgent), 2, 0},
		{"does not wait beyond the bound on its whole wait", time.Second, nearStep(2, func(s *dispatch.Step) { s.Locality.Since = now.Add(-time.Second) }), 0, 2},
		{"does not wait where little is gained", time.Second, nearStep(2, func(s *dispatch.Step) { s.Locality.Factor.Value = 1.1 }), 0, 2},
		{"does not wait without evidence of a gain", time.Second, nearStep(2, func(s *dispatch.Step) { s.Locality.Factor.Spread = 2 }), 0, 2},
		{"gang waits", time.Second, nearStep(3, func(s *dispatch.Step) { s.Gang = true }), 3, 0},
		{"gang for which a rack is too small starts elsewhere", time.Second, nearStep(5, func(s *dispatch.Step) { s.Gang = true }), 0, 5},
	} {
		c.Run(test.name, func(c *qt.C) {
			decisions := dispatch.Plan(localityLoad(test.after, test.step))
			c.Check(waits(decisions, 0), qt.Equals, test.waits)
			c.Check(placed(decisions, 0), qt.HasLen, test.starts)
			for _, d := range decisions {
				bound := test.step.Locality.MaxWait(test.step.RunTime, 2*test.step.RunTime)
				c.Check(d.Wait.Until.After(now.Add(bound)), qt.IsFalse, qt.Commentf("waits longer than the bound"))
			}
		})
	}
}

// TestNoWaitOnClosedWorkers guards against a wait for workers that accept no tasks.
func TestNoWaitOnClosedWorkers(t *testing.T) {
	c := qt.New(t)
	load := localityLoad(time.Second, nearStep(2))
	for i := range 4 {
		load.Workers[i].Open = false
	}
	c.Assert(placed(dispatch.Plan(load), 0), qt.HasLen, 2)
}

// TestWaitCountsTasksPerWorker guards against a wait for more tasks on the workers near than
// the step may have on each of them.
func TestWaitCountsTasksPerWorker(t *testing.T) {
	c := qt.New(t)
	load := localityLoad(time.Second, nearStep(7, func(s *dispatch.Step) { s.MaxPerWorker = 1 }))
	load.Workers[0].Free = cores(16)
	decisions := dispatch.Plan(load)
	c.Assert(placed(decisions, 0), qt.HasLen, 4, qt.Commentf("one near and three elsewhere"))
	c.Assert(waits(decisions, 0), qt.Equals, 1, qt.Commentf("three slots are near, two of which go to the tasks that fit nowhere now"))
}

// TestWaitCountsStepsAhead guards against several steps that wait for the same room.
func TestWaitCountsStepsAhead(t *testing.T) {
	c := qt.New(t)
	ahead := nearStep(3, func(s *dispatch.Step) { s.Score = 2 })
	decisions := dispatch.Plan(localityLoad(time.Second, nearStep(3), ahead))
	c.Assert(waits(decisions, 1), qt.Equals, 3)
	c.Assert(waits(decisions, 0), qt.Equals, 1, qt.Commentf("one of four slots is left"))
	c.Assert(placed(decisions, 0), qt.HasLen, 2)
}

// TestWaitCountsWhatTheJobEarns guards against a wait that risks the value of a job which
// is on time elsewhere, and against a start elsewhere of a job that is on time only near.
func TestWaitCountsWhatTheJobEarns(t *testing.T) {
	c := qt.New(t)
	load := func(factor float64, objective, after, spread time.Duration) dispatch.Load {
		l := localityLoad(after, nearStep(1, func(s *dispatch.Step) {
			s.Locality.Work = dispatch.Work{Priority: 2, Age: time.Second, CriticalPath: 4 * time.Second, Objective: objective}
			s.Locality.Factor.Value, s.Locality.Active = factor, true
		}))
		l.Releases = func(i int) []dispatch.Release {
			if i > 0 {
				return nil
			}
			return []dispatch.Release{{At: now.Add(after), Spread: spread, Frees: cores(16)}}
		}
		return l
	}
	// Elsewhere it ends at an age of 7 s.
	c.Check(waits(dispatch.Plan(load(1.5, 0, time.Second, time.Second)), 0), qt.Equals, 1)
	c.Check(waits(dispatch.Plan(load(1.5, 7010*time.Millisecond, time.Second, time.Second)), 0), qt.Equals, 0)
	// The wait saves too little time, but all of the value.
	c.Check(waits(dispatch.Plan(load(1.5, 0, 1850*time.Millisecond, 0)), 0), qt.Equals, 0)
	c.Check(waits(dispatch.Plan(load(1.5, 6950*time.Millisecond, 1850*time.Millisecond, 0)), 0), qt.Equals, 1)
}

// TestSameRackGangWaitsForOneRack guards against a gang that is split although a rack is
// about to have room, and against one that waits although no rack will.
func TestSameRackGangWaitsForOneRack(t *testing.T) {
	c := qt.New(t)
	gang := nearStep(4, func(s *dispatch.Step) { s.Affinity, s.Gang, s.SameRack = "", true, true })
	load := func(after time.Duration) dispatch.Load {
		l := localityLoad(after, gang)
		// Two tasks fit on each rack now.
		for i := range l.Workers {
			l.Workers[i].Free = cores(0)
			if i%2 == 0 {
				l.Workers[i].Free = cores(16)
			}
		}
		return l
	}
	c.Assert(waits(dispatch.Plan(load(time.Second)), 0), qt.Equals, 4)
	c.Assert(placed(dispatch.Plan(load(9*time.Second)), 0), qt.HasLen, 4)
}

// TestWaitingStepRenewsItsTickets guards against a step that waits for room near its data
// and has no ticket when the room becomes free.
func TestWaitingStepRenewsItsTickets(t *testing.T) {
	c := qt.New(t)
	step := nearStep(2, func(s *dispatch.Step) {
		s.NeedsTickets, s.RenewAhead = true, 300*time.Millisecond
		s.Candidates = []dispatch.Candidate{{Worker: 0}, {Worker: 1}, {Worker: 4, HasTicket: true}, {Worker: 5, HasTicket: true}}
	})
	decisions := dispatch.Plan(localityLoad(time.Second, step))
	c.Assert(waits(decisions, 0), qt.Equals, 2)
	c.Assert(adviceFor(decisions, 0), qt.HasLen, 0)
	decisions = dispatch.Plan(localityLoad(200*time.Millisecond, step))
	c.Assert(waits(decisions, 0), qt.Equals, 2)
	c.Assert(slices.Contains(adviceFor(decisions, 0), 0), qt.IsTrue)
}

// TestFirstAdviceNamesWorkersNearTheData guards against a step that cannot wait for its
// data because policy was never asked about the workers there.
func TestFirstAdviceNamesWorkersNearTheData(t *testing.T) {
	c := qt.New(t)
	workers := emptyWorkers(200)
	step := nearStep(1, func(s *dispatch.Step) { s.NeedsTickets, s.Affinity = true, lovagestand.RackName("r1-40") })
	asked := adviceFor(plan(workers, []dispatch.Step{step}), 0)
	c.Assert(asked[:4], qt.ContentEquals, []int{160, 161, 162, 163})
}

// BenchmarkPlanByLocality compares passes of a busy cell of 350 workers with and without
// decisions on waits.
func BenchmarkPlanByLocality(b *testing.B) {
	for _, name := range []string{"constant", "decided"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				dispatch.Plan(busyLoad(name == "decided"))
			}
		})
	}
}

// busyLoad is a load of 350 workers with 16 running tasks each, and room for one on every
// other, for 100 steps with data on few racks and 20 gangs for one rack.
func busyLoad(decide bool) dispatch.Load {
	workers := emptyWorkers(350)
	releases := make([][]dispatch.Release, len(workers))
	for i := range workers {
		workers[i].Rack = lovagestand.RackName(fmt.Sprintf("r%d", i/20))
		workers[i].Free = cores(int64(i % 2 * 2))
		for n := range 16 {
			releases[i] = append(releases[i], dispatch.Release{At: now.Add(time.Duration(300*n+i) * time.Millisecond), Spread: time.Second, Frees: cores(2)})
		}
	}
	var steps []dispatch.Step
	for i := range 120 {
		s := dispatch.Step{Tasks: 5, Needs: cores(2), Score: float64(i), RunTime: 4 * time.Second, Affinity: lovagestand.RackName(fmt.Sprintf("r%d", i%5))}
		if i < 20 {
			s.Tasks, s.Affinity, s.Gang, s.SameRack = 15, "", true, true
		}
		if decide {
			s.Locality = &dispatch.Locality{Factor: dispatch.FarFactor{Value: 2}, Work: dispatch.Work{Priority: 2}}
		}
		steps = append(steps, s)
	}
	return dispatch.Load{Now: now, Workers: workers, Steps: steps, AdviceCalls: 100, Releases: func(i int) []dispatch.Release { return releases[i] }}
}
