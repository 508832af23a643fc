package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
	"lovagestand.example/lovagestand/speed"
)

// The replay runs three routes on a fleet of which a third is 2.4 times as fast as the rest:
// gangs that need advice, urgent steps, and steps that can wait, at 85% of the capacity and
// in a burst at twice that.

const (
	unevenWorkers  = 120
	unevenTick     = 40 * time.Millisecond
	unevenArrivals = 40 * time.Second
	unevenUsage    = 0.85
	// burstFrom and burstUntil bound the burst.
	burstFrom, burstUntil = 18 * time.Second, 24 * time.Second
	// stuckShare of the tasks, or of the gangs, run stuckFactor times as long.
	stuckShare, stuckFactor = 0.03, 7
	// The policy service answers one call of each client at a time.
	unevenClients  = 6
	callTime       = 250 * time.Millisecond
	callPerWorker  = 2 * time.Millisecond
	ticketValidity = 2500 * time.Millisecond
	allowedShare   = 0.8
	// gangGoal is the share of their value that gangs are to earn.
	gangGoal = 0.6
)

// speedPolicy is what a replay knows of the workers' speeds.
type speedPolicy string

const (
	unknownSpeeds speedPolicy = "unknown"
	learnedSpeeds speedPolicy = "learned"
	trueSpeeds    speedPolicy = "true"
)

// unevenStep is a job of one step on one of the three routes.
type unevenStep struct {
	replayedStep
	id, route string
	seed      uint64
	asked     map[int]bool
	pending   map[int]bool
	replyAt   time.Time
	tickets   map[int]time.Time // by allowed worker
	held      []int
	left      int
}

type unevenRoute struct {
	name      string
	share     float64 // of the core time
	tasks     int
	milliCPU  int64
	gang      bool
	mean      time.Duration
	priority  int
	objective time.Duration
}

var unevenRoutes = []unevenRoute{
	{name: "gangs", share: 0.35, tasks: 20, milliCPU: 18000, gang: true, mean: 3400 * time.Millisecond, priority: 1, objective: 7500 * time.Millisecond},
	{name: "urgent", share: 0.1, tasks: 3, milliCPU: 9900, mean: 680 * time.Millisecond, priority: 0, objective: 1500 * time.Millisecond},
	{name: "patient", share: 0.55, tasks: 25, milliCPU: 6900, mean: 1900 * time.Millisecond, priority: 2, objective: 27600 * time.Millisecond},
}

type unevenReplay struct {
	policy   speedPolicy
	random   *rand.Rand
	workers  []dispatch.Worker
	speeds   []float64
	slowness []float64
	fleet    *speed.Fleet
	names    []lovagestand.WorkerName
	steps    []*unevenStep
	runs     []unevenRun
	clients  [unevenClients]time.Time
}

type unevenRun struct {
	replayedRun
	step *unevenStep
	// usual is the run time expected at the usual speed.
	usual time.Duration
}

func newUnevenReplay(policy speedPolicy, seed uint64) *unevenReplay {
	r := &unevenReplay{policy: policy, random: rand.New(rand.NewPCG(seed, 13)), fleet: speed.New()}
	capacity := 0.0
	for i := range unevenWorkers {
		r.speeds = append(r.speeds, []float64{1.7, 0.7, 0.7}[i%3])
		capacity += 64 * r.speeds[i]
		r.slowness = append(r.slowness, 1)
		r.names = append(r.names, lovagestand.WorkerName(fmt.Sprint(i)))
		r.workers = append(r.workers, dispatch.Worker{Rack: rackName(i / 10), Capacity: cores(64), Free: cores(64), Open: true, Quiet: true})
	}
	for _, route := range unevenRoutes {
		rate := unevenUsage * capacity * route.share / (float64(route.tasks) * float64(route.milliCPU) / 1000 * route.mean.Seconds() * (1 + stuckShare*(stuckFactor-1)))
		for at := time.Duration(0); at < unevenArrivals; {
			factor := rate
			if at >= burstFrom && at < burstUntil {
				factor *= 2
			}
			at += time.Duration(r.random.ExpFloat64() / factor * float64(time.Second))
			s := &unevenStep{route: route.name, id: fmt.Sprint(route.name, at), seed: r.random.Uint64(), left: route.tasks, asked: map[int]bool{}, tickets: map[int]time.Time{}}
			s.replayedStep = replayedStep{arrival: at, priority: route.priority, tasks: route.tasks, waiting: route.tasks, milliCPU: route.milliCPU, gang: route.gang, mean: route.mean, objective: route.objective}
			s.runTime = time.Duration(float64(route.mean) * (0.6 + 0.8*r.random.Float64()))
			s.expected = expectation(r.random, s.runTime, route.mean)
			r.steps = append(r.steps, s)
		}
	}
	slices.SortStableFunc(r.steps, func(a, b *unevenStep) int { return int(a.arrival - b.arrival) })
	return r
}

// run replays the load and returns the share of its value that each route earns.
func (r *unevenReplay) run() map[string]float64 {
	next, lastPass := 0, time.Duration(-replayIdlePass)
	var waiting []*unevenStep
	for elapsed := time.Duration(0); elapsed < unevenArrivals+20*time.Second; elapsed += unevenTick {
		at := now.Add(elapsed)
		changed := r.endRuns(at)
		for ; next < len(r.steps) && r.steps[next].arrival <= elapsed; next++ {
			waiting, changed = append(waiting, r.steps[next]), true
		}
		for _, s := range waiting {
			changed = s.receive(at) || changed
		}
		if len(waiting) > 0 && (changed || elapsed-lastPass >= replayIdlePass) {
			lastPass = elapsed
			r.pass(at, waiting)
			waiting = slices.DeleteFunc(waiting, func(s *unevenStep) bool { return s.waiting == 0 })
		}
	}
	earned, total := map[string]float64{}, map[string]float64{}
	for _, s := range r.steps {
		total[s.route]++
		switch took := s.done - s.arrival; {
		case s.left > 0:
		case took <= s.objective:
			earned[s.route]++
		case took <= 3*s.objective:
			earned[s.route] += 0.2
		}
	}
	for route := range total {
		earned[route] /= total[route]
	}
	return earned
}

// receive records the reply to a pending call for advice if it is there.
func (s *unevenStep) receive(at time.Time) bool {
	if len(s.pending) == 0 || s.replyAt.After(at) {
		return false
	}
	for w := range s.pending {
		s.asked[w] = true
		if rand.New(rand.NewPCG(s.seed, uint64(w))).Float64() < allowedShare {
			s.tickets[w] = at.Add(ticketValidity)
		}
	}
	s.pending = nil
	return true
}

func (r *unevenReplay) endRuns(at time.Time) bool {
	before := len(r.runs)
	r.runs = slices.DeleteFunc(r.runs, func(run unevenRun) bool {
		if run.ends.After(at) {
			return false
		}
		s, w, took := run.step, run.worker, run.ends.Sub(run.begun)
		r.workers[w].Free = r.workers[w].Free.Add(s.needs())
		r.slowness[w] += 0.15 * (min(took.Seconds()/run.expected.Sub(run.begun).Seconds(), 10) - r.slowness[w])
		s.left--
		s.done = max(s.done, run.ends.Sub(now))
		if !s.gang {
			r.fleet.Add(at, speed.Run{Step: s.id, Tasks: s.tasks, Worker: r.names[w], Took: took, Expected: run.usual})
		}
		return true
	})
	return len(r.runs) < before
}

// speedOf returns the speed of a worker as far as the policy knows it, 0 for unknown.
func (r *unevenReplay) speedOf(at time.Time, worker int) float64 {
	if r.policy == trueSpeeds {
		return r.speeds[worker]
	}
	return r.fleet.Estimate(at, r.names[worker]).Speed
}

func (r *unevenReplay) pass(at time.Time, waiting []*unevenStep) {
	uneven := r.policy == trueSpeeds || r.policy == learnedSpeeds && r.fleet.Update(at, r.names).Uneven
	l := dispatch.Load{Now: at, Workers: slices.Clone(r.workers), Uneven: uneven, HoldRenewals: uneven}
	for i := range l.Workers {
		l.Workers[i].Slowness = r.slowness[i]
		if uneven {
			l.Workers[i].Speed = r.speedOf(at, i)
		}
	}
	releases := make([][]dispatch.Release, len(r.workers))
	for _, run := range r.runs {
		expected := run.expected
		if !expected.After(at) {
			expected = at.Add(at.Sub(run.begun) / 4)
		}
		releases[run.worker] = append(releases[run.worker], dispatch.Release{At: expected, Frees: run.step.needs()})
	}
	for _, list := range releases {
		slices.SortFunc(list, func(a, b dispatch.Release) int { return a.At.Compare(b.At) })
	}
	l.Releases = func(i int) []dispatch.Release { return releases[i] }
	backlog := 1500 * time.Millisecond
	if uneven {
		backlog, l.ExpiredHeadroom = 200*time.Millisecond, 0.2
	}
	for _, busyUntil := range r.clients {
		if busyUntil.Sub(at) < backlog {
			l.AdviceCalls += 3
			l.LongAdviceCalls++
		}
		if !busyUntil.After(at) {
			l.IdleAdviceClients++
		}
	}
	for _, s := range waiting {
		l.Steps = append(l.Steps, s.dispatchStep(at))
	}
	for _, d := range dispatch.Plan(l) {
		s := waiting[d.Step]
		r.start(at, l.Workers, s, d.Workers)
		if len(d.AdviceFor) > 0 {
			r.call(at, backlog, s, d)
		}
	}
}

// call makes a call for advice through the client that is free first.
func (r *unevenReplay) call(at time.Time, backlog time.Duration, s *unevenStep, d dispatch.Decision) {
	first := 0
	for i := range r.clients {
		if r.clients[i].Before(r.clients[first]) {
			first = i
		}
	}
	if r.clients[first].Sub(at) > backlog || d.IfIdle && r.clients[first].After(at) {
		return
	}
	if r.clients[first].Before(at) {
		r.clients[first] = at
	}
	r.clients[first] = r.clients[first].Add(callTime + time.Duration(len(d.AdviceFor))*callPerWorker)
	if s.pending == nil {
		s.pending = map[int]bool{}
	}
	for _, w := range d.AdviceFor {
		s.pending[w] = true
	}
	s.replyAt, s.held = r.clients[first], d.Hold
}

// start starts tasks of a step. A gang is as slow as its slowest member.
func (r *unevenReplay) start(at time.Time, known []dispatch.Worker, s *unevenStep, workers []int) {
	slowest, expectedSlowest := 10.0, 10.0
	speedOf := func(w int) float64 {
		if known[w].Speed > 0 {
			return known[w].Speed
		}
		return 1
	}
	for _, w := range workers {
		slowest, expectedSlowest = min(slowest, r.speeds[w]), min(expectedSlowest, speedOf(w))
	}
	stuck := s.gang && r.random.Float64() < stuckShare
	for _, w := range workers {
		actual, expected := r.speeds[w], speedOf(w)
		if s.gang {
			actual, expected = slowest, expectedSlowest
		}
		runTime := float64(s.runTime)
		if stuck || !s.gang && r.random.Float64() < stuckShare {
			runTime *= stuckFactor
		}
		s.waiting--
		r.workers[w].Free = r.workers[w].Free.Sub(s.needs())
		run := replayedRun{worker: w, begun: at, ends: at.Add(time.Duration(runTime / actual)), expected: at.Add(time.Duration(float64(s.expected) / expected))}
		r.runs = append(r.runs, unevenRun{replayedRun: run, step: s, usual: s.expected})
	}
}

func (s *unevenStep) dispatchStep(at time.Time) dispatch.Step {
	core := time.Duration(s.waiting) * s.expected * time.Duration(s.milliCPU) / 1000
	total := time.Duration(s.tasks) * s.mean * time.Duration(s.milliCPU) / 1000
	work := dispatch.Work{Priority: s.priority, Age: at.Sub(now.Add(s.arrival)), Objective: s.objective, LatestObjective: s.objective * 2, CriticalPath: s.expected, Total: total, Remaining: core, Mean: total}
	out := dispatch.Step{
		Tasks: s.waiting, Needs: s.needs(), Gang: s.gang, RunTime: s.expected, Score: dispatch.Score(work), Expired: work.Expired(), Work: work, Seed: s.seed,
		NeedsTickets: s.gang, LongAdvice: s.gang, AllowedShare: allowedShare, RenewAhead: callTime + 20*callPerWorker + 100*time.Millisecond,
		AdvicePending: s.pending, AdviceKnown: func(w int) bool { return s.asked[w] },
	}
	if s.replyAt.Add(150 * time.Millisecond).After(at) {
		out.Held, out.HeldUntil = s.held, s.replyAt.Add(150*time.Millisecond)
	}
	if len(s.asked) > 0 {
		out.Candidates = []dispatch.Candidate{}
		for w, until := range s.tickets {
			out.Candidates = append(out.Candidates, dispatch.Candidate{Worker: w, HasTicket: until.After(at)})
		}
		slices.SortFunc(out.Candidates, func(a, b dispatch.Candidate) int { return a.Worker - b.Worker })
	}
	return out
}

// TestUnevenWorkersAgainstUnknownAndTrueSpeeds guards against gangs whose fast members wait
// for slow ones, and against urgent steps on slow workers.
func TestUnevenWorkersAgainstUnknownAndTrueSpeeds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const seeds = 3
	mean := map[speedPolicy]map[string]float64{}
	for _, policy := range []speedPolicy{unknownSpeeds, learnedSpeeds, trueSpeeds} {
		mean[policy] = map[string]float64{}
		for seed := range uint64(seeds) {
			for route, value := range newUnevenReplay(policy, seed).run() {
				mean[policy][route] += value / seeds
			}
		}
		c.Logf("%s speeds: %v", policy, mean[policy])
	}
	learned, unknown := mean[learnedSpeeds], mean[unknownSpeeds]
	c.Check(learned["gangs"] >= gangGoal, qt.IsTrue)
	c.Check(learned["gangs"] > unknown["gangs"], qt.IsTrue)
	c.Check(learned["urgent"] >= unknown["urgent"], qt.IsTrue)
}
