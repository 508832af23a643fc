package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/dispatch"
)

// The replay has a late gang that needs many whole workers, below tasks that each take more
// than half of a worker, and below gangs of higher score that hold the reservations of each
// pass. About half of the processors are free.
const (
	wideWorkers = 100
	wideTick    = 40 * time.Millisecond
	// wideAllowed is the share of the workers that policy allows for the gang.
	wideAllowed = 0.45
	// blockedShare is the share of the workers on which a task of the stream runs.
	blockedShare = 0.65
	longestSmall = 6 * time.Second
	// There are otherGangs waiting gangs at all times. Each runs on all but two of the
	// otherAllowed workers that policy allows for it.
	otherGangs, otherAllowed = 4, 14
	otherRunTime             = 500 * time.Millisecond
	wideCall                 = 600 * time.Millisecond
	// wideBound is how long the gang may wait: until it may have the first turn, for the
	// longest run on its workers, for two calls, since the tickets of the first one may
	// expire, and a second for the passes.
	wideBound = 5*time.Second + longestSmall + 2*wideCall + time.Second
)

type wideReplay struct {
	random  *rand.Rand
	workers []dispatch.Worker
	ends    []wideRun
	tickets map[int]time.Time
	pending map[int]bool
	replyAt time.Time
	// stream holds the waiting tasks of the stream, delays how long each has waited.
	stream []wideTask
	delays []time.Duration
	// others holds the workers that policy allows for each of the other gangs.
	others [otherGangs][]int
	free   float64
	passes float64
}

type wideRun struct {
	worker int
	end    time.Time
	// expected is when the end is expected.
	expected time.Time
	task     wideTask
}

type wideTask struct {
	arrival           time.Time
	cores             int64
	runTime, expected time.Duration
}

func newWideReplay(seed uint64) *wideReplay {
	return &wideReplay{random: rand.New(rand.NewPCG(seed, 17)), workers: emptyWorkers(wideWorkers), tickets: map[int]time.Time{}}
}

// run replays the load until the gang starts or a time is over, and returns when it started;
// 0 if it did not. If naive is set, the dispatcher is not told how long the gang has waited.
func (r *wideReplay) run(naive bool, until time.Duration) time.Duration {
	const warmUp = 10 * time.Second
	interval := longestSmall / 2 / time.Duration(blockedShare*wideWorkers)
	next := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < warmUp+until; elapsed += wideTick {
		at := now.Add(elapsed)
		for ; next <= elapsed; next += time.Duration(float64(interval) * r.random.ExpFloat64()) {
			runTime := time.Duration(float64(longestSmall) * r.random.Float64())
			r.stream = append(r.stream, wideTask{at, 17 + r.random.Int64N(4), runTime, time.Duration(float64(runTime) * (0.5 + 0.5*r.random.Float64()))})
		}
		r.ends = slices.DeleteFunc(r.ends, func(w wideRun) bool {
			if w.end.After(at) {
				return false
			}
			r.workers[w.worker].Free = r.workers[w.worker].Free.Add(cores(w.task.cores))
			return true
		})
		if r.pass(at, elapsed-warmUp, naive) {
			return elapsed - warmUp
		}
	}
	return 0
}

// pass runs one pass and reports whether the gang has started. It is accepted once waited is
// not negative.
func (r *wideReplay) pass(at time.Time, waited time.Duration, naive bool) bool {
	if r.pending != nil && !r.replyAt.After(at) {
		for w := range r.pending {
			r.tickets[w] = at.Add(ticketValidity)
		}
		r.pending = nil
	}
	l := dispatch.Load{Now: at, Workers: slices.Clone(r.workers), AdviceCalls: 1, Releases: r.releases(at)}
	for _, t := range r.stream {
		l.Steps = append(l.Steps, dispatch.Step{Tasks: 1, Needs: cores(t.cores), RunTime: t.expected, Score: 1})
	}
	for i := range r.others {
		l.Steps = append(l.Steps, r.otherGang(i))
	}
	if waited >= 0 {
		l.Steps = append(l.Steps, r.gang(at, waited, naive))
		for i := range r.workers {
			r.free += float64(r.workers[i].Free.MilliCPU) / float64(32000*len(r.workers))
		}
		r.passes++
	}
	kept := r.stream[:0]
	for i, d := range decisionsBy(dispatch.Plan(l), len(l.Steps)) {
		switch {
		case i < len(r.stream) && len(d.Workers) == 0:
			kept = append(kept, r.stream[i])
		case i < len(r.stream):
			r.start(at, r.stream[i], d.Workers[0])
			r.delays = append(r.delays, at.Sub(r.stream[i].arrival))
		case len(d.Workers) == 0 && len(d.AdviceFor) == 0:
		case i < len(r.stream)+otherGangs:
			for _, w := range d.Workers {
				r.start(at, wideTask{cores: 20, runTime: otherRunTime, expected: otherRunTime}, w)
			}
			r.others[i-len(r.stream)] = nil
		case len(d.Workers) > 0:
			return true
		case len(d.AdviceFor) > 0:
			r.pending, r.replyAt = map[int]bool{}, at.Add(wideCall)
			for _, w := range d.AdviceFor {
				r.pending[w] = true
			}
		}
	}
	r.stream = kept
	return false
}

func (r *wideReplay) start(at time.Time, t wideTask, worker int) {
	r.workers[worker].Free = r.workers[worker].Free.Sub(cores(t.cores))
	r.ends = append(r.ends, wideRun{worker: worker, end: at.Add(t.runTime), expected: at.Add(t.expected), task: t})
}

// otherGang returns a gang of higher score. Another one takes its place when it starts.
func (r *wideReplay) otherGang(i int) dispatch.Step {
	if r.others[i] == nil {
		r.others[i] = r.random.Perm(wideWorkers)[:otherAllowed]
		slices.Sort(r.others[i])
	}
	return dispatch.Step{
		Tasks: otherAllowed - 2, Needs: cores(20), Gang: true, NeedsTickets: true, AllowedShare: wideAllowed, RunTime: otherRunTime, Score: 0.5,
		AdviceKnown: func(int) bool { return true }, Candidates: withTickets(r.others[i]...),
	}
}

func (r *wideReplay) gang(at time.Time, waited time.Duration, naive bool) dispatch.Step {
	s := dispatch.Step{
		Tasks: 44, Needs: cores(15), Gang: true, NeedsTickets: true, AllowedShare: wideAllowed, RunTime: 5 * time.Second, Score: 0.001,
		RenewAhead: wideCall, AdvicePending: r.pending, AdviceKnown: func(int) bool { return true }, Candidates: []dispatch.Candidate{}, Waited: waited,
	}
	if naive {
		s.Waited = 0
	}
	for i := range int(wideAllowed * wideWorkers) {
		s.Candidates = append(s.Candidates, dispatch.Candidate{Worker: 2 * i, HasTicket: r.tickets[2*i].After(at)})
	}
	return s
}

// releases returns the expected releases. A run that takes longer than expected is expected
// to end soon.
func (r *wideReplay) releases(at time.Time) func(int) []dispatch.Release {
	byWorker := map[int][]dispatch.Release{}
	for _, w := range r.ends {
		end := w.expected
		if !end.After(at) {
			end = at.Add(at.Sub(w.end.Add(-w.task.runTime)) / 4)
		}
		byWorker[w.worker] = append(byWorker[w.worker], dispatch.Release{At: end, Frees: cores(w.task.cores)})
	}
	return func(worker int) []dispatch.Release { return byWorker[worker] }
}

// decisionsBy returns the decision for each step.
func decisionsBy(decisions []dispatch.Decision, steps int) []dispatch.Decision {
	out := make([]dispatch.Decision, steps)
	for _, d := range decisions {
		out[d.Step].Workers = append(out[d.Step].Workers, d.Workers...)
		out[d.Step].AdviceFor = append(out[d.Step].AdviceFor, d.AdviceFor...)
	}
	return out
}

// TestWideGangIsNotOvertakenForGood guards against a late gang that never starts, because
// steps of higher score take each worker that it needs as soon as one is free.
func TestWideGangIsNotOvertakenForGood(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			c := qt.New(t)
			c.Check(newWideReplay(seed).run(true, time.Minute), qt.Equals, time.Duration(0), qt.Commentf("it starts without the first turn"))
			r := newWideReplay(seed)
			c.Check(r.run(false, wideBound) > 0, qt.IsTrue, qt.Commentf("it waits"))
			c.Check(r.free > r.passes/2, qt.IsTrue, qt.Commentf("less than half of the processors are free"))
			slices.Sort(r.delays)
			c.Check(r.delays[len(r.delays)*99/100] <= 2*wideTick, qt.IsTrue, qt.Commentf("tasks of the stream wait"))
		})
	}
}
