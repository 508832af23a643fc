package dispatch_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

// unevenLoad returns a load of one step on workers with the given free cores, of which the
// first two are 2.4 times as fast as the others.
func unevenLoad(s dispatch.Step, free ...int64) dispatch.Load {
	l := dispatch.Load{Now: now, Uneven: true, Steps: []dispatch.Step{s}}
	for i, n := range free {
		speed := 0.7
		if i < 2 {
			speed = 1.7
		}
		l.Workers = append(l.Workers, dispatch.Worker{Capacity: cores(16), Free: cores(n), Open: true, Quiet: true, Slowness: 1, Speed: speed})
	}
	return l
}

// TestGangsRunOnOneClass guards against gangs whose fast members wait for slow ones, and
// against gangs that wait longer for one class than they gain.
func TestGangsRunOnOneClass(t *testing.T) {
	gang := dispatch.Step{Tasks: 4, Needs: cores(4), Gang: true, RunTime: 4 * time.Second}
	for name, r := range map[string]struct {
		free     []int64
		freeFrom time.Duration // when the first worker becomes free
		want     []int
	}{
		"fast workers have room":              {free: []int64{8, 8, 16, 16}, want: []int{0, 0, 1, 1}},
		"fast workers have room soon":         {free: []int64{4, 8, 16, 16}, freeFrom: time.Second},
		"fast workers have room late":         {free: []int64{4, 8, 16, 16}, freeFrom: 9 * time.Second, want: []int{2, 2, 2, 2}},
		"no class has room before it is late": {free: []int64{4, 8, 4, 0}, freeFrom: 9 * time.Second, want: []int{0, 1, 1, 2}},
		"only one task fits on a fast worker": {free: []int64{4, 0, 16, 0}, freeFrom: 9 * time.Second, want: []int{2, 2, 2, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := unevenLoad(gang, r.free...)
			l.Releases = func(worker int) []dispatch.Release {
				if worker == 0 && r.freeFrom > 0 {
					return []dispatch.Release{{At: now.Add(r.freeFrom), Frees: cores(4)}}
				}
				return nil
			}
			var got []int
			for _, d := range dispatch.Plan(l) {
				got = append(got, d.Workers...)
			}
			c.Check(slices.Sorted(slices.Values(got)), qt.DeepEquals, r.want)
		})
	}
}

// TestSingleTasksPreferAClass guards against urgent steps on slow workers while fast ones
// have room, against patient ones on fast workers, and against room that is left idle.
func TestSingleTasksPreferAClass(t *testing.T) {
	c := qt.New(t)
	for _, r := range []struct {
		priority int
		free     []int64
		want     []int
	}{
		{priority: 0, free: []int64{16, 4, 4, 4}, want: []int{0, 1}},
		{priority: 0, free: []int64{0, 4, 4, 0}, want: []int{1, 2}},
		{priority: 2, free: []int64{4, 4, 16, 4}, want: []int{2, 3}},
		{priority: 2, free: []int64{0, 4, 4, 0}, want: []int{1, 2}},
	} {
		s := dispatch.Step{Tasks: 2, Needs: cores(4), MaxPerWorker: 1, RunTime: time.Second, Work: dispatch.Work{Priority: r.priority}}
		c.Check(slices.Sorted(slices.Values(dispatch.Plan(unevenLoad(s, r.free...))[0].Workers)), qt.DeepEquals, r.want)
	}
}

// TestGangsRequestAdviceOnOneClass guards against tickets of workers on which the gang would
// not run, and whose room is not free soon.
func TestGangsRequestAdviceOnOneClass(t *testing.T) {
	c := qt.New(t)
	s := dispatch.Step{Tasks: 4, Needs: cores(4), Gang: true, NeedsTickets: true, AllowedShare: 1, RunTime: 4 * time.Second}
	l := unevenLoad(s, 16, 16, 16, 16)
	l.AdviceCalls = 3
	c.Check(slices.Sorted(slices.Values(dispatch.Plan(l)[0].AdviceFor)), qt.DeepEquals, []int{0, 1})
}

// TestStepsWithSlackGoLast guards against patient steps that take the room before steps that
// lose value, and against patient steps that wait until they are late.
func TestStepsWithSlackGoLast(t *testing.T) {
	c := qt.New(t)
	needs := lovagestand.Resources{MilliCPU: 16000}
	patient := dispatch.Step{Tasks: 1, Needs: needs, RunTime: time.Second, Score: 2, Work: dispatch.Work{Priority: 2, CriticalPath: time.Second, Objective: 20 * time.Second}}
	gang := dispatch.Step{Tasks: 2, Needs: cores(8), Gang: true, RunTime: time.Second, Score: 1, Work: dispatch.Work{Priority: 1}}
	for age, first := range map[time.Duration]int{0: 1, 16 * time.Second: 0} {
		patient.Work.Age = age
		l := unevenLoad(patient, 0, 0, 16, 0)
		l.Steps = append(l.Steps, gang)
		c.Check(dispatch.Plan(l)[0].Step, qt.Equals, first, qt.Commentf("age %v", age))
	}
}

// TestGangsBehindManyStartOnSlowWorkers guards against gangs that are confined to the fast
// workers, on which they can never fit, because many gangs are ahead of them.
func TestGangsBehindManyStartOnSlowWorkers(t *testing.T) {
	gang := dispatch.Step{Tasks: 2, Needs: cores(4), Gang: true, RunTime: time.Second, Service: "a"}
	l := unevenLoad(gang, 0, 0, 8, 0)
	l.Workers[0].Service, l.Workers[1].Service, l.Workers[2].Service, l.Workers[3].Service = "a", "a", "b", "a"
	l.Steps = slices.Repeat(l.Steps, 20)
	for i := range l.Steps {
		l.Steps[i].Score = 2
	}
	gang.Service, gang.Score = "b", 1
	l.Steps = append(l.Steps, gang)
	decisions := dispatch.Plan(l)
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Check(t, decisions[0].Workers, qt.DeepEquals, []int{2, 2})
}
