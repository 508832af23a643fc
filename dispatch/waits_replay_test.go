package dispatch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/dispatch"
)

const (
	// The fleet is a shard of the large site, and policy allows the share of its workers that
	// it allows there.
	streamWorkers      = 275
	streamAllowedShare = 0.35
	streamPass         = 40 * time.Millisecond
	// Calls of the policy service take adviceFixed and advicePerWorker for each worker; their
	// tickets are usable for ticketUse.
	adviceFixed     = 396 * time.Millisecond
	advicePerWorker = 5600 * time.Microsecond
	ticketUse       = 2350 * time.Millisecond
	// streamRunTime is the mean run time of the tasks of the stream. Their run times are up
	// to streamError off.
	streamRunTime = 2 * time.Second
	streamError   = 0.6
	// streamWarmUp is how long the stream runs before the gang is accepted.
	streamWarmUp = 8 * time.Second
)

// gangInStream replays a stream of small steps that use a share of a fleet, each with tickets
// for its own workers, and one gang of 82 tasks of 15 cores, two of which fit on a worker.
type gangInStream struct {
	random  *rand.Rand
	workers []dispatch.Worker
	runs    []streamRun
	queue   []streamStep
	// arrivals is the core time of the steps that are to arrive.
	arrivals float64
	gang     dispatch.Step
	// usableUntil is until when the tickets of the gang can be used, by worker.
	usableUntil map[int]time.Time
	// asked holds the workers in the call that is pending until answerAt.
	asked    []int
	answerAt time.Time
}

// streamRun is a run of a task of the stream.
type streamRun struct {
	worker        int
	needs         lovagestand.Resources
	end, expected time.Time
}

// streamStep is a step of the stream.
type streamStep struct {
	tasks   int
	needs   int64
	runTime time.Duration
	allowed []int
}

func newGangInStream(seed uint64, gang dispatch.Step) *gangInStream {
	g := &gangInStream{random: rand.New(rand.NewPCG(seed, 1)), workers: emptyWorkers(streamWorkers), usableUntil: map[int]time.Time{}}
	g.gang = gang
	g.gang.Tasks, g.gang.Needs, g.gang.Gang, g.gang.RunTime = 82, cores(15), true, 4*time.Second
	g.gang.NeedsTickets, g.gang.LongAdvice, g.gang.AllowedShare = true, true, streamAllowedShare
	g.gang.RenewAhead, g.gang.AdviceKnown = 600*time.Millisecond, func(int) bool { return true }
	for _, i := range g.allowed() {
		g.gang.Candidates = append(g.gang.Candidates, dispatch.Candidate{Worker: i})
	}
	return g
}

// allowed returns the workers that policy allows for a step.
func (g *gangInStream) allowed() []int {
	var out []int
	for i := range g.workers {
		if g.random.Float64() < streamAllowedShare {
			out = append(out, i)
		}
	}
	return out
}

// step ends the runs that are over and adds the steps that arrive in one pass.
func (g *gangInStream) step(at time.Time, use float64) {
	g.runs = slices.DeleteFunc(g.runs, func(r streamRun) bool {
		if r.end.After(at) {
			return false
		}
		g.workers[r.worker].Free = g.workers[r.worker].Free.Add(r.needs)
		return true
	})
	for g.arrivals += use * streamWorkers * 32 * streamPass.Seconds(); g.arrivals > 0; {
		s := streamStep{tasks: 1 + g.random.IntN(4), needs: int64(1 + g.random.IntN(8)), runTime: time.Duration((0.3 + 1.4*g.random.Float64()) * float64(streamRunTime)), allowed: g.allowed()}
		g.arrivals -= float64(s.tasks) * float64(s.needs) * s.runTime.Seconds()
		g.queue = append(g.queue, s)
	}
}

// load returns the load of a pass. The gang is the last step, if it waits.
func (g *gangInStream) load(at time.Time, gangWaits, teams bool) dispatch.Load {
	var steps []dispatch.Step
	for _, s := range g.queue {
		steps = append(steps, dispatch.Step{Tasks: s.tasks, Needs: cores(s.needs), RunTime: s.runTime, Score: 1, NeedsTickets: true, Candidates: withTickets(s.allowed...)})
	}
	if gangWaits {
		steps = append(steps, g.gangAt(at))
	}
	ends := make([][]dispatch.Release, len(g.workers))
	for _, r := range g.runs {
		expected := r.expected
		if !expected.After(at) {
			expected = at.Add(200 * time.Millisecond)
		}
		ends[r.worker] = append(ends[r.worker], dispatch.Release{At: expected, Frees: r.needs})
	}
	for _, e := range ends {
		slices.SortFunc(e, func(a, b dispatch.Release) int { return a.At.Compare(b.At) })
	}
	l := dispatch.Load{Now: at, Workers: slices.Clone(g.workers), Steps: steps, Releases: func(i int) []dispatch.Release { return ends[i] }, AdviceCalls: 9, LongAdviceCalls: 3, IdleAdviceClients: 1}
	if teams {
		l.HoldRenewals, l.ExpiredHeadroom = true, 0.2
	}
	return l
}

// gangAt returns the gang with the tickets that it has.
func (g *gangInStream) gangAt(at time.Time) dispatch.Step {
	s := g.gang
	s.Waited = at.Sub(now.Add(streamWarmUp))
	s.AdvicePending = nil
	if at.Before(g.answerAt) {
		s.AdvicePending = map[int]bool{}
		for _, i := range g.asked {
			s.AdvicePending[i] = true
		}
	} else {
		for _, i := range g.asked {
			g.usableUntil[i] = at.Add(ticketUse)
		}
		g.asked = nil
	}
	if !at.Before(s.HeldUntil) {
		s.Held = nil
	}
	s.Candidates = slices.Clone(s.Candidates)
	for n := range s.Candidates {
		s.Candidates[n].HasTicket = g.usableUntil[s.Candidates[n].Worker].After(at)
	}
	return s
}

// apply carries out the decisions of a pass and reports whether the gang has started.
func (g *gangInStream) apply(at time.Time, decisions []dispatch.Decision) bool {
	for _, d := range decisions {
		if d.Step < len(g.queue) {
			s := &g.queue[d.Step]
			s.tasks -= len(d.Workers)
			for _, i := range d.Workers {
				g.workers[i].Free = g.workers[i].Free.Sub(cores(s.needs))
				took := time.Duration((1 + streamError*(2*g.random.Float64()-1)) * float64(s.runTime))
				g.runs = append(g.runs, streamRun{worker: i, needs: cores(s.needs), end: at.Add(took), expected: at.Add(s.runTime)})
			}
			continue
		}
		if len(d.Workers) > 0 {
			return true
		}
		if len(d.AdviceFor) > 0 {
			g.asked, g.answerAt = d.AdviceFor, at.Add(adviceFixed+time.Duration(len(d.AdviceFor))*advicePerWorker)
		}
		if len(d.Hold) > 0 {
			g.gang.Held, g.gang.HeldUntil = d.Hold, g.answerAt.Add(150*time.Millisecond)
		}
	}
	g.queue = slices.DeleteFunc(g.queue, func(s streamStep) bool { return s.tasks == 0 })
	return false
}

// startsWithin reports whether the gang starts within a time beside steps that use 65% of
// the fleet. Policy allows it about 96 workers, of which it needs 41.
func (g *gangInStream) startsWithin(limit time.Duration, teams bool) bool {
	const use = 0.65
	for after := time.Duration(0); after < streamWarmUp+limit; after += streamPass {
		at := now.Add(after)
		g.step(at, use)
		if g.apply(at, dispatch.Plan(g.load(at, after >= streamWarmUp, teams))) {
			return true
		}
	}
	return false
}

// TestWideGangStartsBesideAStream guards against a wide gang that never starts because steps
// of higher score take its room: they are decided before it, its reservations do not bind
// them, and its room is not held during its calls without teams or once it is late. Once it is
// late, it is also kept from the last fifth of the processors where there are teams.
func TestWideGangStartsBesideAStream(t *testing.T) {
	for name, c := range map[string]struct {
		gang  dispatch.Step
		teams bool
	}{
		"of the highest score":                {gang: dispatch.Step{Score: 9}},
		"of the lowest score, without teams":  {gang: dispatch.Step{Score: 0.001}},
		"of the lowest score, late and teams": {gang: dispatch.Step{Score: 0.001, Expired: true}, teams: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				qt.New(t).Check(newGangInStream(seed, c.gang).startsWithin(45*time.Second, c.teams), qt.IsTrue, qt.Commentf("seed %d", seed))
			}
		})
	}
}
