package admission_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/admission"
	"lovagestand.example/lovagestand/dispatch"
)

// The replay has 40 slots, and jobs of customer P's route renew-check with one task
// each. The hot team and the other one have the same weight.
const (
	slots        = 40
	replayStep   = 40 * time.Millisecond
	floodUntil   = 10 * time.Second
	lossAt       = 5 * time.Second
	replayUntil  = 30 * time.Second
	meanRunTime  = 800 * time.Millisecond
	replayTarget = 500 * time.Millisecond
	stretch      = 1.5
)

type replayJob struct {
	id                uint64
	arrival           time.Duration
	hot               bool
	runTime, estimate time.Duration
	end               time.Duration
	rejected          bool
	score             float64
}

func objective(run time.Duration) time.Duration {
	return time.Duration(stretch*float64(run)) + replayTarget
}

func (j *replayJob) useful() bool {
	return j.end > 0 && j.end-j.arrival <= 3*objective(j.runTime)
}

// updateScore computes the score by the estimate, half of whose error owners correct.
func (j *replayJob) updateScore(now time.Duration) {
	j.score = dispatch.Score(dispatch.Work{Age: now - j.arrival, Objective: objective(j.estimate), CriticalPath: j.estimate, Total: j.estimate, Remaining: j.estimate, Mean: meanRunTime})
}

// load is what is replayed: the loads that the hot team, until floodUntil, and the other
// team send, as multiples of the capacity, and the slots that are left from lossAt on.
type load struct {
	hot, other float64
	left       int
}

func (l load) jobs() []*replayJob {
	r := rand.New(rand.NewPCG(1, 1))
	var jobs []*replayJob
	for _, team := range []struct {
		hot   bool
		load  float64
		until time.Duration
	}{{false, l.other, replayUntil - 8*time.Second}, {true, l.hot, floodUntil}} {
		for at := time.Duration(0); at < team.until; at += time.Duration(r.ExpFloat64() / team.load * float64(meanRunTime) / slots) {
			run := time.Duration(float64(meanRunTime) * (0.5 + r.Float64()))
			estimate := time.Duration(float64(run) * (0.3 + 1.4*r.Float64()))
			jobs = append(jobs, &replayJob{id: r.Uint64(), arrival: at, hot: team.hot, runTime: run, estimate: estimate})
		}
	}
	slices.SortFunc(jobs, func(a, b *replayJob) int { return cmp.Compare(a.arrival, b.arrival) })
	return jobs
}

// policy returns the decision for the jobs that arrive after a pass.
type policy func(waiting []*replayJob, use float64, size int) func(j *replayJob) bool

// replay runs the jobs. The other team goes first, since it is within its entitlement.
// Rejected jobs do not return.
func (l load) replay(decide policy) []*replayJob {
	jobs := l.jobs()
	var waiting []*replayJob
	var running []time.Duration
	next, size := 0, slots
	for now := time.Duration(0); now < replayUntil; now += replayStep {
		if now >= lossAt {
			size = l.left
		}
		running = slices.DeleteFunc(running, func(end time.Duration) bool { return end <= now })
		for _, j := range waiting {
			j.updateScore(now)
		}
		slices.SortFunc(waiting, func(a, b *replayJob) int {
			return cmp.Or(compareTeams(a, b), cmp.Compare(b.score, a.score))
		})
		for len(running) < size && len(waiting) > 0 {
			j := waiting[0]
			j.end = now + j.runTime
			running, waiting = append(running, j.end), waiting[1:]
		}
		reject := decide(waiting, float64(len(running))/float64(size), size)
		for ; next < len(jobs) && jobs[next].arrival <= now; next++ {
			j := jobs[next]
			j.updateScore(now)
			if j.rejected = reject(j); !j.rejected {
				waiting = append(waiting, j)
			}
		}
	}
	return jobs
}

func compareTeams(a, b *replayJob) int {
	switch {
	case a.hot == b.hot:
		return 0
	case a.hot:
		return 1
	}
	return -1
}

// byBacklog is the decision under test. The hot team is entitled to what the other one
// does not need.
func byBacklog(waiting []*replayJob, use float64, size int) func(j *replayJob) bool {
	sorted := slices.Clone(waiting)
	slices.SortFunc(sorted, func(a, b *replayJob) int { return cmp.Compare(b.score, a.score) })
	all, teams := &admission.Backlog{}, map[bool]*admission.Backlog{true: {}, false: {}}
	for _, w := range sorted {
		work := w.estimate.Seconds() / float64(size)
		all.Add(w.score, work)
		teams[w.hot].Add(w.score, work)
	}
	return func(j *replayJob) bool {
		share := 1.0
		if j.hot {
			share = 0.75
		}
		l := admission.Load{Use: use, Idle: use < 1, All: all, Team: teams[j.hot], TeamShare: share}
		return admission.Decide(l, admission.Job{Score: j.score, CriticalPath: j.estimate, Stretch: stretch, Target: replayTarget, Hash: j.id}).Rejected
	}
}

// byQueueLength is the naive baseline: a limit for the queue, of the jobs that the slots
// serve in the time that a job of the mean run time has.
func byQueueLength(waiting []*replayJob, _ float64, size int) func(j *replayJob) bool {
	full := time.Duration(len(waiting))*meanRunTime/time.Duration(size) > 3*objective(meanRunTime)-meanRunTime
	return func(*replayJob) bool { return full }
}

// never is the other baseline, today's behavior.
func never([]*replayJob, float64, int) func(j *replayJob) bool {
	return func(*replayJob) bool { return false }
}

type result struct {
	rejected, wrong, others, useful, vain int
}

// resultOf counts the jobs: wrong are the rejected ones that end in time if none is
// rejected, others those of the team that is not hot, vain those that wait in vain.
func resultOf(jobs, free []*replayJob) result {
	r := result{}
	for i, j := range jobs {
		switch {
		case j.useful():
			r.useful++
		case !j.rejected:
			r.vain++
		default:
			r.rejected++
			if free[i].useful() {
				r.wrong++
			}
			if !j.hot {
				r.others++
			}
		}
	}
	return r
}

// TestOnlyHopelessJobsAreRejected replays a hot team beside a team within its
// entitlement. It guards against rejections of jobs that would have ended in time without
// any, of the other team, and below the capacity.
func TestOnlyHopelessJobsAreRejected(t *testing.T) {
	const tolerableFalse = 0.01
	for name, l := range map[string]load{
		"below half load":         {0.2, 0.25, slots},
		"85%":                     {0.6, 0.25, slots},
		"flood":                   {7.5, 0.25, slots},
		"flood on a tenth":        {2.5, 0.02, slots / 10},
		"usual load on a quarter": {0.7, 0.05, slots / 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			jobs := l.replay(never)
			free, decided, limited := resultOf(jobs, jobs), resultOf(l.replay(byBacklog), jobs), resultOf(l.replay(byQueueLength), jobs)
			t.Logf("%d jobs: %+v; by length of the queue %+v; none rejected %+v", len(jobs), decided, limited, free)
			tolerable := int(tolerableFalse * float64(len(jobs)))
			c.Check(decided.wrong <= tolerable, qt.IsTrue)
			c.Check(decided.others, qt.Equals, 0)
			c.Check(decided.wrong <= limited.wrong, qt.IsTrue)
			c.Check(decided.useful >= free.useful-tolerable, qt.IsTrue)
			if l.hot+l.other < 1 && l.left == slots {
				c.Check(decided.rejected, qt.Equals, 0)
			}
		})
	}
}
