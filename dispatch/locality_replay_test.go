package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

// The replays run steps with affinity and gangs for one rack through passes of
// [dispatch.Plan], on racks of which near capacity becomes free soon, late or never.

const (
	replayRacks          = 12
	replayWorkersPerRack = 5
	replayTick           = 20 * time.Millisecond
	// replayIdlePass is the time after which a pass runs without an event.
	replayIdlePass = 200 * time.Millisecond
	// replayMaxIdleWait is the bound on the wait of a job of which nothing runs.
	replayMaxIdleWait = 1500 * time.Millisecond
	replayArrivals    = 40 * time.Second
	// endlessTask is the expected and the actual run time of tasks that never end here.
	endlessTask = 24 * time.Hour
	// runSpread is the standard deviation of run times, relative to the expected ones.
	runSpread = 0.5
	// toleratedLoss is by how much the decision may be worse than the better baseline on
	// one load, and urgent steps worse than if they never waited.
	toleratedLoss = 1.05
)

// waitPolicy is how a replay treats steps that cannot start near now.
type waitPolicy string

const (
	decided       waitPolicy = "decided"
	neverWaits    waitPolicy = "never"
	alwaysWaits   waitPolicy = "always"
	constantBonus waitPolicy = "constant"
)

var waitPolicies = []waitPolicy{decided, neverWaits, alwaysWaits, constantBonus}

// replayedStep is a job of one step.
type replayedStep struct {
	arrival   time.Duration
	priority  int
	tasks     int
	milliCPU  int64
	gang      bool
	rack      lovagestand.RackName // affinity; empty for none
	label     string
	runTime   time.Duration // near
	expected  time.Duration
	mean      time.Duration
	objective time.Duration

	waiting  int
	running  int
	since    time.Time
	done     time.Duration
	measured bool
}

// needs returns what a task needs, in the proportion of the workers' capacity.
func (s *replayedStep) needs() lovagestand.Resources {
	return lovagestand.Resources{MilliCPU: s.milliCPU, MemoryMiB: s.milliCPU / 10}
}

// replayedRun is a running task.
type replayedRun struct {
	step                  *replayedStep
	worker                int
	begun, ends, expected time.Time
}

// replay is the state of one replay.
type replay struct {
	policy  waitPolicy
	factor  float64
	workers []dispatch.Worker
	steps   []*replayedStep
	runs    []replayedRun
}

// expectation returns what the owner of a shard expects for a run time near: the caller's
// estimate is off by up to 90% in both directions, and the average of the route gets half
// of the weight.
func expectation(random *rand.Rand, runTime, mean time.Duration) time.Duration {
	estimate := float64(runTime) * (0.1 + 1.8*random.Float64())
	return time.Duration(math.Sqrt(estimate * float64(mean)))
}

func rackName(rack int) lovagestand.RackName {
	return lovagestand.RackName(fmt.Sprintf("r%d", rack))
}

func newReplay(policy waitPolicy, factor float64) *replay {
	r := &replay{policy: policy, factor: factor}
	for i := range replayRacks * replayWorkersPerRack {
		rack := rackName(i / replayWorkersPerRack)
		r.workers = append(r.workers, dispatch.Worker{Rack: rack, Labels: []string{string(rack)}, Capacity: cores(16), Free: cores(16), Open: true, Slowness: 1, Quiet: true})
	}
	return r
}

// occupy starts a task of a background load on a worker.
func (r *replay) occupy(worker int, milliCPU int64, runTime, expected time.Duration) {
	s := &replayedStep{milliCPU: milliCPU}
	r.start(s, worker, now, runTime, expected)
}

func (r *replay) start(s *replayedStep, worker int, at time.Time, runTime, expected time.Duration) {
	s.running++
	r.workers[worker].Free = r.workers[worker].Free.Sub(s.needs())
	r.runs = append(r.runs, replayedRun{step: s, worker: worker, begun: at, ends: at.Add(runTime), expected: at.Add(expected)})
}

// run replays the load until all its steps are done, and returns the mean completion times
// of all steps and of the urgent ones.
func (r *replay) run() (time.Duration, time.Duration) {
	next := 0
	lastPass := time.Duration(-replayIdlePass)
	var waiting []*replayedStep
	for elapsed := time.Duration(0); elapsed < 10*replayArrivals; elapsed += replayTick {
		at := now.Add(elapsed)
		changed := r.endRuns(at)
		for ; next < len(r.steps) && r.steps[next].arrival <= elapsed; next++ {
			waiting = append(waiting, r.steps[next])
			changed = true
		}
		if len(waiting) > 0 && (changed || elapsed-lastPass >= replayIdlePass) {
			lastPass = elapsed
			r.pass(at, waiting)
			waiting = slices.DeleteFunc(waiting, func(s *replayedStep) bool { return s.waiting == 0 })
		}
		if next == len(r.steps) && len(waiting) == 0 && !slices.ContainsFunc(r.runs, func(run replayedRun) bool { return run.step.measured }) {
			break
		}
	}
	return r.meanTimes()
}

func (r *replay) meanTimes() (time.Duration, time.Duration) {
	var sum, urgentSum time.Duration
	urgent, measured := 0, 0
	for _, s := range r.steps {
		if !s.measured {
			continue
		}
		measured++
		sum += s.done - s.arrival
		if s.priority == 0 {
			urgent++
			urgentSum += s.done - s.arrival
		}
	}
	return sum / time.Duration(max(1, measured)), urgentSum / time.Duration(max(1, urgent))
}

func (r *replay) endRuns(at time.Time) bool {
	before := len(r.runs)
	r.runs = slices.DeleteFunc(r.runs, func(run replayedRun) bool {
		if run.ends.After(at) {
			return false
		}
		w := &r.workers[run.worker]
		w.Free = w.Free.Add(run.step.needs())
		run.step.running--
		run.step.done = max(run.step.done, run.ends.Sub(now))
		return true
	})
	return len(r.runs) < before
}

// releases returns the expected ends on each worker, with overdue runs as the owner of a
// shard expects them.
func (r *replay) releases(at time.Time) [][]dispatch.Release {
	out := make([][]dispatch.Release, len(r.workers))
	for _, run := range r.runs {
		expected := run.expected
		spread := time.Duration(runSpread * float64(expected.Sub(run.begun)))
		if !expected.After(at) {
			expected = at.Add(at.Sub(run.begun) / 4)
			spread = at.Sub(run.begun) / 2
		}
		out[run.worker] = append(out[run.worker], dispatch.Release{At: expected, Spread: spread, Frees: run.step.needs()})
	}
	for _, releases := range out {
		slices.SortFunc(releases, func(a, b dispatch.Release) int { return a.At.Compare(b.At) })
	}
	return out
}

func (r *replay) pass(at time.Time, waiting []*replayedStep) {
	steps := make([]dispatch.Step, len(waiting))
	for i, s := range waiting {
		steps[i] = r.dispatchStep(at, s)
	}
	workers := slices.Clone(r.workers)
	releases := r.releases(at)
	load := dispatch.Load{Now: at, Workers: workers, Steps: steps, Releases: func(i int) []dispatch.Release { return releases[i] }}
	for _, d := range dispatch.Plan(load) {
		s := waiting[d.Step]
		if d.Wait.Tasks > 0 && s.since.IsZero() {
			s.since = at
		}
		factor := 1.0
		if s.gang && r.split(d.Workers) {
			factor = r.factor
		}
		for _, w := range d.Workers {
			if s.rack != "" {
				factor = 1
				if r.workers[w].Rack != s.rack {
					factor = r.factor
				}
			}
			s.waiting--
			r.start(s, w, at, time.Duration(factor*float64(s.runTime)), time.Duration(factor*float64(s.expected)))
		}
	}
}

// split reports whether a gang was placed on several racks.
func (r *replay) split(workers []int) bool {
	return slices.ContainsFunc(workers, func(w int) bool { return r.workers[w].Rack != r.workers[workers[0]].Rack })
}

// dispatchStep describes a step for the dispatcher under the policy of the replay.
func (r *replay) dispatchStep(at time.Time, s *replayedStep) dispatch.Step {
	age := at.Sub(now.Add(s.arrival))
	core := time.Duration(s.tasks) * s.expected * time.Duration(s.milliCPU) / 1000
	work := dispatch.Work{Priority: s.priority, Age: age, Objective: s.objective, CriticalPath: s.expected, Total: core, Remaining: core, Mean: core}
	out := dispatch.Step{
		Tasks: s.waiting, Needs: s.needs(), Affinity: s.rack, Gang: s.gang, SameRack: s.gang,
		RunTime: s.expected, Score: dispatch.Score(work), Label: s.label,
	}
	if s.rack == "" && !s.gang || r.policy == constantBonus {
		return out
	}
	l := &dispatch.Locality{Factor: dispatch.FarFactor{Value: r.factor}, Work: work, Since: s.since, Active: s.running > 0}
	switch r.policy {
	case neverWaits:
		l.Since = now.Add(-time.Hour)
	case alwaysWaits:
		bound := l.MaxWait(s.expected, time.Duration(r.factor*float64(s.expected)))
		if s.running == 0 && !r.loaded() {
			// Nothing of a job may wait for longer while half of the capacity is free.
			bound = min(bound, replayMaxIdleWait)
		}
		l.Since = now.Add(-time.Hour)
		if age < bound && s.rack != "" {
			out.Label = string(s.rack)
		}
		if age < bound && s.gang && !r.rackHasRoom(s) {
			// A label that no worker has keeps the gang waiting.
			out.Label = "none"
		}
	}
	out.Locality = l
	return out
}

// loaded reports whether 60% of the capacity is in use.
func (r *replay) loaded() bool {
	free, capacity := int64(0), int64(0)
	for i := range r.workers {
		free, capacity = free+r.workers[i].Free.MilliCPU, capacity+r.workers[i].Capacity.MilliCPU
	}
	return 10*(capacity-free) >= 6*capacity
}

// rackHasRoom reports whether a rack has room for a whole gang now.
func (r *replay) rackHasRoom(s *replayedStep) bool {
	room := map[lovagestand.RackName]int64{}
	for i := range r.workers {
		w := &r.workers[i]
		room[w.Rack] += max(0, w.Free.MilliCPU/s.milliCPU)
		if room[w.Rack] >= int64(s.tasks) {
			return true
		}
	}
	return false
}

// nearCapacity is when capacity near the data of steps becomes free in a load.
type nearCapacity string

const (
	soonNear  nearCapacity = "soon"
	lateNear  nearCapacity = "late"
	neverNear nearCapacity = "never"
)

// The racks of the replays: 0 and 1 hold data of which capacity becomes free soon, 2 and 3
// late and 4 never; 5 is closed, and "absent" does not exist. The others hold no data.
func racksOf(kind nearCapacity) []lovagestand.RackName {
	switch kind {
	case soonNear:
		return []lovagestand.RackName{rackName(0), rackName(1)}
	case lateNear:
		return []lovagestand.RackName{rackName(2), rackName(3)}
	}
	return []lovagestand.RackName{rackName(4), rackName(5), "absent"}
}

// newAffinityReplay returns a replay of steps whose data is on racks of some kinds.
func newAffinityReplay(policy waitPolicy, factor float64, seed uint64, kinds ...nearCapacity) *replay {
	random := rand.New(rand.NewPCG(seed, 7))
	r := newReplay(policy, factor)
	for i := range r.workers {
		switch i / replayWorkersPerRack {
		case 2, 3:
			// Four long tasks on each worker, which end over the whole replay.
			for range 4 {
				runTime := 20*time.Second + time.Duration(random.Float64()*float64(80*time.Second))
				r.occupy(i, 4000, runTime, expectation(random, runTime, 60*time.Second))
			}
		case 4:
			for range 4 {
				r.occupy(i, 4000, endlessTask, endlessTask)
			}
		case 5:
			r.workers[i].Open = false
		}
	}
	interval := 420 * time.Millisecond
	if len(kinds) > 1 {
		// All kinds together leave free capacity elsewhere, as each kind alone does.
		interval = 700 * time.Millisecond
	}
	for _, kind := range kinds {
		for at := time.Duration(0); at < replayArrivals; at += time.Duration(random.ExpFloat64() * float64(interval)) {
			mean := 3800 * time.Millisecond
			s := &replayedStep{arrival: at, priority: 2, tasks: 1 + random.IntN(7), milliCPU: 4000, mean: mean, objective: 4*mean + 3*time.Second, measured: true}
			if random.IntN(3) == 0 {
				mean = 800 * time.Millisecond
				s.priority, s.tasks, s.mean, s.objective = 0, 3, mean, 3*mean/2+500*time.Millisecond
			}
			s.runTime = time.Duration(float64(mean) * (0.6 + 0.8*random.Float64()))
			s.expected = expectation(random, s.runTime, mean)
			s.waiting = s.tasks
			racks := racksOf(kind)
			s.rack = racks[random.IntN(len(racks))]
			r.steps = append(r.steps, s)
		}
	}
	slices.SortStableFunc(r.steps, func(a, b *replayedStep) int { return int(a.arrival - b.arrival) })
	return r
}

// means are the mean completion times under each policy, in seconds.
type means map[waitPolicy]float64

// The times are averaged over these numbers of seeds. Replays of affinity have few urgent
// steps each.
const affinitySeeds, gangSeeds = 15, 5

// compare replays a load with several seeds under each policy.
func compare(seeds uint64, build func(policy waitPolicy, seed uint64) *replay) (means, means) {
	all, urgent := means{}, means{}
	for _, policy := range waitPolicies {
		for seed := range seeds {
			mean, urgentMean := build(policy, seed).run()
			all[policy] += mean.Seconds() / float64(seeds)
			urgent[policy] += urgentMean.Seconds() / float64(seeds)
		}
	}
	return all, urgent
}

// TestWaitingForDataAgainstNaivePolicies replays steps whose data is on racks where
// capacity becomes free soon, late or never, and all of them together. It guards against
// waits that do not pay, and against starts elsewhere where a short wait pays.
func TestWaitingForDataAgainstNaivePolicies(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, factor := range []float64{1.5, 3} {
		for name, kinds := range map[string][]nearCapacity{
			"soon": {soonNear}, "late": {lateNear}, "never": {neverNear}, "mix": {soonNear, lateNear, neverNear},
		} {
			c.Run(fmt.Sprintf("%s at %g", name, factor), func(c *qt.C) {
				all, urgent := compare(affinitySeeds, func(policy waitPolicy, seed uint64) *replay {
					return newAffinityReplay(policy, factor, seed, kinds...)
				})
				assertNoWorse(c, name, all, urgent)
			})
		}
	}
}

// newGangReplay returns a replay of gangs that run faster within one rack, beside single
// tasks that keep half of the racks' capacity: short ones soon, long ones late, and endless
// ones, which leave too little room for a gang on each rack, never.
func newGangReplay(policy waitPolicy, factor float64, seed uint64, kinds ...nearCapacity) *replay {
	random := rand.New(rand.NewPCG(seed, 11))
	r := newReplay(policy, factor)
	for i := range r.workers {
		switch kinds[(i/replayWorkersPerRack)%len(kinds)] {
		case lateNear:
			for range 2 {
				runTime := 20*time.Second + time.Duration(random.Float64()*float64(80*time.Second))
				r.occupy(i, 4000, runTime, expectation(random, runTime, 60*time.Second))
			}
		case neverNear:
			for range 2 {
				r.occupy(i, 4000, endlessTask, endlessTask)
			}
		}
	}
	for rack := range replayRacks {
		if kinds[rack%len(kinds)] == soonNear {
			r.addPinnedTasks(random, rackName(rack))
		}
	}
	// The load is the same in core time for each factor.
	interval := time.Duration(factor * float64(467*time.Millisecond))
	for at := time.Duration(0); at < replayArrivals; at += time.Duration(random.ExpFloat64() * float64(interval)) {
		mean := 4 * time.Second
		s := &replayedStep{arrival: at, priority: 1, gang: true, tasks: 12 + random.IntN(4), milliCPU: 4000, mean: mean, objective: 22 * mean / 10, measured: true}
		if len(kinds) > 1 {
			s.tasks = 6 + random.IntN(14)
		}
		if random.IntN(3) == 0 {
			mean = 800 * time.Millisecond
			s.priority, s.tasks, s.mean, s.objective = 0, 3, mean, 3*mean/2+500*time.Millisecond
		}
		s.runTime = time.Duration(float64(mean) * (0.6 + 0.8*random.Float64()))
		s.expected = expectation(random, s.runTime, mean)
		s.waiting = s.tasks
		r.steps = append(r.steps, s)
	}
	slices.SortStableFunc(r.steps, func(a, b *replayedStep) int { return int(a.arrival - b.arrival) })
	return r
}

// addPinnedTasks adds single tasks that keep half of a rack's capacity.
func (r *replay) addPinnedTasks(random *rand.Rand, rack lovagestand.RackName) {
	for at := time.Duration(0); at < replayArrivals; at += time.Duration(random.ExpFloat64() * float64(200*time.Millisecond)) {
		mean := 2 * time.Second
		s := &replayedStep{arrival: at, priority: 1, tasks: 1, waiting: 1, milliCPU: 4000, mean: mean, objective: 4 * mean, label: string(rack)}
		s.runTime = time.Duration(float64(mean) * (0.6 + 0.8*random.Float64()))
		s.expected = expectation(random, s.runTime, mean)
		r.steps = append(r.steps, s)
	}
}

// TestWaitingForOneRackAgainstNaivePolicies replays gangs that run faster within one rack.
// It guards against gangs that keep racks idle for longer than they gain, and against
// gangs that are split although a rack is about to have room.
func TestWaitingForOneRackAgainstNaivePolicies(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, factor := range []float64{1.5, 3} {
		for name, kinds := range map[string][]nearCapacity{
			"soon": {soonNear}, "late": {lateNear}, "never": {neverNear}, "mix": {soonNear, lateNear, neverNear},
		} {
			c.Run(fmt.Sprintf("%s at %g", name, factor), func(c *qt.C) {
				all, urgent := compare(gangSeeds, func(policy waitPolicy, seed uint64) *replay {
					return newGangReplay(policy, factor, seed, kinds...)
				})
				assertNoWorse(c, name, all, urgent)
			})
		}
	}
}

// assertNoWorse checks the bounds on the mean completion times of one load.
func assertNoWorse(c *qt.C, name string, all, urgent means) {
	c.Logf(name+" mean: decided %.3f never %.3f always %.3f constant %.3f; urgent: decided %.3f never %.3f always %.3f constant %.3f",
		all[decided], all[neverWaits], all[alwaysWaits], all[constantBonus], urgent[decided], urgent[neverWaits], urgent[alwaysWaits], urgent[constantBonus])
	if name == "mix" {
		c.Check(all[decided] < min(all[neverWaits], all[alwaysWaits]), qt.IsTrue, qt.Commentf("not better than both on the mix"))
	} else {
		c.Check(all[decided] <= toleratedLoss*min(all[neverWaits], all[alwaysWaits]), qt.IsTrue, qt.Commentf("worse than the better baseline"))
	}
	c.Check(urgent[decided] <= toleratedLoss*urgent[neverWaits], qt.IsTrue, qt.Commentf("urgent steps wait too long"))
}
